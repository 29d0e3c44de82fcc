"""Logs and counts what shows where a run may still go on after its request has been decided.

Two facts of a connection are recorded: answers that were not those of the request, and how the
connection was closed if its answer was not complete. Together with the end of the attempt they
show how long a run may have outlived the decision to leave its runner.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

from hillstack.serving.metrics import FleetMetrics

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class UnfinishedRun:
    """The end of a connection over which an answer was still due.

    Attributes:
        request_id: The request whose answer was due.
        address: ``IP:PORT`` of the runner.
        relay_id: The peer that relayed the connection; None for a direct connection.
        closed_by_router: Whether this node closed the connection, not the runner or the network.
        closing_seconds: Time from this node's decision to close until the connection was closed; 0
            if this node did not close it.
        unsent_bytes: Bytes of the request that were not sent at that decision.
        error: The error with which the connection ended; None if there was none.
    """

    request_id: str
    address: str
    relay_id: str | None
    closed_by_router: bool
    closing_seconds: float
    unsent_bytes: int
    error: BaseException | None


class ConnectionLog:
    """Logs facts of connections to runners, and counts them.

    Args:
        metrics: Counts the facts; None to log them only.
    """

    def __init__(self, metrics: FleetMetrics | None = None) -> None:
        self._metrics = metrics

    def discarded(self, request_id: str | None, address: str, status: int, named: str) -> None:
        """Record an answer that was discarded.

        Args:
            request_id: The request whose answer was due; None for a call of the router's own.
            address: ``IP:PORT`` of the runner.
            status: Status of the answer.
            named: The request that the answer names; empty if it names none.
        """
        fields = {"request": request_id, "peer": address, "status": status, "named": named}
        logger.info("answer discarded", extra=fields)
        if self._metrics is not None:
            self._metrics.discarded_answers.labels("other request" if named else "none").inc()

    def run_left(self, run: UnfinishedRun) -> None:
        """Record the end of a connection over which an answer was still due."""
        fields = {
            "request": run.request_id,
            "peer": run.address,
            "relay": run.relay_id,
            "closed_by": "router" if run.closed_by_router else "peer",
            "closing_ms": round(run.closing_seconds * 1000, 1),
            "unsent_bytes": run.unsent_bytes,
            "error": str(run.error) if run.error is not None else None,
        }
        logger.info("connection of a run closed", extra=fields)
        if self._metrics is not None and run.closed_by_router:
            self._metrics.run_close.observe(run.closing_seconds)
