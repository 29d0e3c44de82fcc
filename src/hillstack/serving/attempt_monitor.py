"""Records the outcome of an attempt at a runner, if the runner is responsible for it."""

from __future__ import annotations

from collections.abc import Callable

from hillstack.core.local_outcomes import AttemptOutcome
from hillstack.core.rollout_evidence import OutcomeKey
from hillstack.errors import BackendBrokenError
from hillstack.serving.types import (
    SERVER_ERROR,
    SUCCESS,
    AttemptAbandonedError,
    RunnerRefusedError,
)

OutcomeHandler = Callable[[AttemptOutcome, float], None]


class AttemptMonitor:
    """Monitors one attempt and reports its outcome when the attempt ends.

    An answer counts as an outcome; a status of 500 or more, a success without a signature and an
    answer that breaks off count as failures. A refusal does not count, because the runner did not
    run the request.

    An attempt that this node or the caller gave up counts as answered, not as failed. If the first
    bytes had arrived, it counts with the time until then. Before the first bytes, it counts only if
    the time waited exceeded the expected time, and then with the time waited; it does not count if
    the node aborted the request as fatal.

    Args:
        key: Version, route and load under which the outcome is counted.
        runner_id: The runner that the attempt was sent to.
        sent_at: When the attempt was sent.
        expected_seconds: Expected time to the first bytes.
        is_stream: Whether the first event, not the head, counts as the first bytes.
        on_end: Called with the outcome, if it counts, and the time; None to discard it.
    """

    def __init__(
        self,
        key: OutcomeKey,
        runner_id: str,
        sent_at: float,
        expected_seconds: float,
        on_end: OutcomeHandler | None,
        *,
        is_stream: bool = False,
    ) -> None:
        self._key = key
        self._runner_id = runner_id
        self._sent_at = sent_at
        self._expected_seconds = expected_seconds
        self._on_end = on_end
        self._is_stream = is_stream
        self._waited_seconds: float | None = None
        self._failed = False
        self._broken = False
        self._refused = False
        self._abandoned = False
        self._was_stopped = False

    def head(self, status: int, now: float, *, signed: bool) -> None:
        """Record the head of the answer."""
        self._failed = status >= SERVER_ERROR or (status in SUCCESS and not signed)
        if not self._is_stream or status not in SUCCESS:
            self.first_bytes(now)

    def first_bytes(self, now: float) -> None:
        """Record the first bytes that the caller can use."""
        if self._waited_seconds is None:
            self._waited_seconds = now - self._sent_at

    def raised(self, error: BaseException) -> None:
        """Record the error with which the attempt ended."""
        if isinstance(error, RunnerRefusedError):
            self._refused = True
        elif isinstance(error, BackendBrokenError) and not isinstance(error, AttemptAbandonedError):
            self._broken = not self._failed
        else:
            self._abandoned = True

    @property
    def runner_id(self) -> str:
        """The runner that the attempt was sent to."""
        return self._runner_id

    def stopped(self) -> None:
        """Record that the node aborted the attempt, so the time waited does not count.

        It aborts fatal requests, and attempts on connections that were cut off from their runner.
        """
        self._was_stopped = True

    def ended(self, now: float) -> None:
        """Record the end of the attempt and report the outcome, if it counts."""
        if self._on_end is None or self._refused:
            return
        waited = now - self._sent_at if self._waited_seconds is None else self._waited_seconds
        failed = self._failed or self._broken
        is_inconclusive = self._was_stopped or waited <= self._expected_seconds
        if self._abandoned and not failed and self._waited_seconds is None and is_inconclusive:
            return
        slowness = waited / self._expected_seconds
        outcome = AttemptOutcome(self._key, self._runner_id, failed, self._broken, slowness)
        self._on_end(outcome, now)


UNMONITORED = AttemptMonitor(OutcomeKey("", "", False), "", 0.0, 1.0, None)
