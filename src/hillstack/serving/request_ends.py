"""Logs and counts how the requests of a node end."""

from __future__ import annotations

import logging
from collections.abc import Callable

from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job
from hillstack.serving.metrics import FleetMetrics
from hillstack.serving.types import RejectedError, ServingRequest, StreamCutError

logger = logging.getLogger(__name__)


class RequestEnds:
    """Logs each request that is not served, with what decided it.

    Args:
        state: State of the node.
        metrics: Counts answers that are cut.
        clock: Monotonic seconds.
    """

    def __init__(
        self, state: FleetState, metrics: FleetMetrics, clock: Callable[[], float]
    ) -> None:
        self._state = state
        self._metrics = metrics
        self._clock = clock

    def rejected(self, request: ServingRequest, error: RejectedError) -> None:
        """Log a request that the node answers itself."""
        now = self._clock()
        fields = {
            "request": request.request_id,
            "verdict": error.verdict,
            "step": error.step,
            "held_ms": round((now - request.arrived_at) * 1000, 1),
            "retry_after": error.retry_after,
            "store_age_ms": round(min(self._state.freshness.age(now), 1e6) * 1000),
            "configuration": self._state.table.version if self._state.table is not None else None,
        }
        logger.info("rejected: " + error.message, extra=fields)

    def cut(self, job: Job, error: StreamCutError) -> None:
        """Log an answer that ends in the middle.

        ``failure`` says how the latest attempt failed: whether the runner broke it off, or this
        node abandoned it.
        """
        now = self._clock()
        self._metrics.cut_answers.labels(error.cause).inc()
        fields = {
            "request": job.request.request_id,
            "route": job.route.name,
            "cause": error.cause,
            "failure": job.failure,
            "attempt": job.sends,
            "runs": job.runs,
            "silent_ms": round((now - job.received_at) * 1000),
            "left_ms": round((job.deadline - now) * 1000),
            "retries_allowed": round(self._state.budget.allowed(job.service, now), 2),
            "configuration": self._state.table.version if self._state.table is not None else None,
        }
        logger.info("answer cut: " + error.message, extra=fields)

    def left(self, request: ServingRequest, *, accepting: bool) -> None:
        """Log a request that is cancelled: its caller has left, or the process ends."""
        fields = {"request": request.request_id, "stopping": not accepting}
        logger.info("caller left", extra=fields)
