"""Timing of a planned stop of a node.

A request that was sent within ``LATE_REQUEST_SECONDS`` after the signal may be cut off when the
grace period ends. A later request would have to be answered in full, however long it runs, if the
node accepted it. The node therefore refuses all new requests from ``ACCEPT_SECONDS`` on, shortly
before that time: a request takes some time to arrive, and the node's timers fire with a delay.
These times are at most half of the grace period.
"""

from __future__ import annotations

# Callers notice within this time that the node is not ready.
LATE_REQUEST_SECONDS = 3.0
# With the longest request timeout, later requests could not finish within the grace period of 8 s.
ACCEPT_SECONDS = 2.6
# A connection without a request by this time is unlikely to get one.
UNUSED_CONNECTION_SECONDS = 3.0
# Part of the grace period reserved for closing connections and releasing the node's leases: some
# calls of 0.15 s.
STOP_MARGIN_SECONDS = 0.7


class PlannedStop:
    """The stages of one planned stop.

    Args:
        grace_seconds: Time from the signal until the process is killed.
    """

    def __init__(self, grace_seconds: float) -> None:
        self._grace = grace_seconds

    def accepts(self, elapsed: float) -> bool:
        """Return whether new requests are still accepted."""
        return elapsed < min(ACCEPT_SECONDS, self._grace / 2)

    def closes_unused(self, elapsed: float) -> bool:
        """Return whether connections that have not carried a request yet are closed too."""
        return elapsed >= min(UNUSED_CONNECTION_SECONDS, self._grace / 2)

    def is_over(self, elapsed: float, active: int) -> bool:
        """Return whether the process should exit now."""
        if elapsed >= self._grace - STOP_MARGIN_SECONDS:
            return True
        return active == 0 and elapsed >= min(LATE_REQUEST_SECONDS, self._grace / 2)
