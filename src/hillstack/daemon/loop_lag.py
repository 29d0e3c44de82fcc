"""Whether the event loop is behind with its reading.

A request that is read late may have lost its caller meanwhile: both the request and the close wait
in the socket. Only then is it worth to look for the close before the request is sent anywhere.
"""

from __future__ import annotations

from collections.abc import Callable

# Between two ticks, which another loop of the node gives (``runner_monitor``).
TICK_SECONDS = 0.1
# Reading that is later counts as behind: a fifth of the half second in which a close must have its
# effect.
LATE_SECONDS = 0.1
# What waited meanwhile is read by then; where it takes longer, ticks come late again.
BEHIND_SECONDS = 1.0


class LoopLag:
    """Measures how late a regular tick comes.

    Args:
        clock: Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._ticked_at = clock()
        # A start holds all reading up.
        self._behind_until = self._ticked_at + BEHIND_SECONDS

    def ticked(self) -> None:
        """Note a tick."""
        now = self._clock()
        if self._is_late(now):
            self._behind_until = now + BEHIND_SECONDS
        self._ticked_at = now

    def is_behind(self) -> bool:
        """Return whether what is read now may have waited for long."""
        now = self._clock()
        return now < self._behind_until or self._is_late(now)

    def on_time_since(self) -> float:
        """Return since when reading is not behind; now, if it is."""
        now = self._clock()
        return now if self._is_late(now) else min(now, self._behind_until)

    def _is_late(self, now: float) -> bool:
        return now - self._ticked_at > TICK_SECONDS + LATE_SECONDS
