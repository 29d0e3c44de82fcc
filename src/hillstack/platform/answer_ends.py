"""The ends of answers that have neither a length nor chunks.

Such an answer ends with its connection. The operating system also closes the connections of a
process that is killed, and in the same way, so the end of the connection proves nothing. It counts
as the end of the answer only if the process that sent it still runs: what the process closed itself
is taken to be complete.
"""

from __future__ import annotations

import logging
from typing import Protocol

import aiohttp

from hillstack.errors import ConnectionLostError
from hillstack.platform import names
from hillstack.serving.metrics import FleetMetrics

logger = logging.getLogger(__name__)


class ProcessCheck(Protocol):
    """Calls processes of runners."""

    async def is_running(self, runner_id: str, address: str) -> bool:
        """Return whether a process answers now; False if that is not known."""
        ...


class AnswerEnds:
    """Finds out whether answers that end with their connection are complete.

    Args:
        processes: Calls processes of runners; None to take all such answers as complete.
        metrics: Counts the ends; None to log them only.
    """

    def __init__(
        self, processes: ProcessCheck | None = None, metrics: FleetMetrics | None = None
    ) -> None:
        self._processes = processes
        self._metrics = metrics

    async def confirm(self, response: aiohttp.ClientResponse, runner_id: str, address: str) -> None:
        """Check that an answer whose connection has ended is complete.

        Args:
            response: The answer.
            runner_id: The process that sent it.
            address: ``IP:PORT`` of the process.

        Raises:
            ConnectionLostError: Nothing proves that the answer is complete.
        """
        is_complete = self._processes is None or await self._processes.is_running(
            runner_id, address
        )
        fields = {"request": response.headers.get(names.REQUEST_ID), "runner": runner_id}
        logger.info("answer ended with its connection", extra=fields | {"complete": is_complete})
        if self._metrics is not None:
            end = "complete" if is_complete else "unproven"
            self._metrics.unframed_answers.labels(end).inc()
        if not is_complete:
            text = "the answer ended with its connection, and its runner does not answer"
            raise ConnectionLostError(text, step="relay", peer=runner_id)
