"""What a node does at which time of a planned stop.

A request that is sent later than ``LATE_REQUEST_SECONDS`` after the signal must be answered in
full, however long it runs; one that is sent earlier may be cut when the grace period ends. So the
node refuses new work a little before that time: a request is on its way for a while, and a look at
the clock comes with a delay.
"""

from __future__ import annotations

# Callers find out within that time that a node is not ready.
LATE_REQUEST_SECONDS = 3.0
# Requests that come later would not be finished within the grace of 8 s at the longest timeout.
ACCEPT_SECONDS = 2.6
# A connection without a request by then will hardly have one.
UNUSED_CONNECTION_SECONDS = 3.0
# Left of the grace for closing connections and handing the duty over: some calls of 0.15 s.
STOP_MARGIN_SECONDS = 0.7


class PlannedStop:
    """The course of one stop.

    Args:
        grace_seconds: Time from the signal to the end of the process by force.
    """

    def __init__(self, grace_seconds: float) -> None:
        self._grace = grace_seconds

    def accepts(self, elapsed: float) -> bool:
        """Return whether new requests are still taken."""
        return elapsed < min(ACCEPT_SECONDS, self._grace / 2)

    def closes_unused(self, elapsed: float) -> bool:
        """Return whether connections without any request yet are closed too."""
        return elapsed >= min(UNUSED_CONNECTION_SECONDS, self._grace / 2)

    def is_over(self, elapsed: float, active: int) -> bool:
        """Return whether the process should end now."""
        if elapsed >= self._grace - STOP_MARGIN_SECONDS:
            return True
        return active == 0 and elapsed >= min(LATE_REQUEST_SECONDS, self._grace / 2)
