"""Detects that the event loop lags, so that it reads from its sockets late.

The caller of a request that is read late may have disconnected: both the request and the close of
the connection then wait in the socket. Only in this case is it worth checking for the close before
the request is sent to a runner.
"""

from __future__ import annotations

from collections.abc import Callable

# Interval of the ticks, which ``runner_monitor`` generates.
TICK_SECONDS = 0.1
# A tick with a larger delay counts as lag: a fifth of the half second within which the close of a
# connection must take effect.
LAG_THRESHOLD_SECONDS = 0.1
# Time to read the data that queued up during a lag. If it takes longer, the next ticks are late
# too.
BEHIND_SECONDS = 1.0


class LoopLag:
    """Measures the delay of a regular tick.

    Args:
        clock: Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._ticked_at = clock()
        # The startup delays all reads.
        self._behind_until = self._ticked_at + BEHIND_SECONDS

    def note_tick(self) -> None:
        """Record a tick."""
        now = self._clock()
        if self._is_late(now):
            self._behind_until = now + BEHIND_SECONDS
        self._ticked_at = now

    def is_lagging(self) -> bool:
        """Return whether data that is read now may have waited in its socket for long."""
        now = self._clock()
        return now < self._behind_until or self._is_late(now)

    def lag_free_since(self) -> float:
        """Return the time since which the loop has not lagged; now if it lags."""
        now = self._clock()
        return now if self._is_late(now) else min(now, self._behind_until)

    def _is_late(self, now: float) -> bool:
        return now - self._ticked_at > TICK_SECONDS + LAG_THRESHOLD_SECONDS
