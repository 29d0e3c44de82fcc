"""The bound on arrivals beyond the first of each request, over all nodes and any window."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RepeatBound:
    """The retry budget of one service.

    Attributes:
        ratio: Further arrivals allowed per request.
        slack: Further arrivals allowed per window in addition.
        window: Length of the window in seconds.
    """

    ratio: float
    slack: float
    window: float


@dataclass(frozen=True, slots=True)
class WorstWindow:
    """The window in which the repeats exceed the bound the most, or come closest to it."""

    began_at: float
    repeats: int
    allowed: float

    @property
    def excess(self) -> float:
        return self.repeats - self.allowed


def worst_window(sent: list[float], repeated: list[float], bound: RepeatBound) -> WorstWindow:
    """Return the worst window.

    The requests of a window are those of this window, of the one before it, or of the one half a
    window before it, whichever has most.

    Args:
        sent: When callers sent their requests.
        repeated: When arrivals beyond the first of their request reached a runner.
        bound: The retry budget.
    """
    sent, repeated = sorted(sent), sorted(repeated)

    def requests(began_at: float) -> int:
        return bisect_right(sent, began_at + bound.window) - bisect_left(sent, began_at)

    worst = WorstWindow(0.0, 0, bound.slack)
    for index, began_at in enumerate(repeated):
        repeats = bisect_right(repeated, began_at + bound.window) - index
        earlier = (0.0, bound.window / 2, bound.window)
        most = max(requests(began_at - offset) for offset in earlier)
        window = WorstWindow(began_at, repeats, bound.ratio * most + bound.slack)
        worst = max(worst, window, key=lambda each: each.excess)
    return worst
