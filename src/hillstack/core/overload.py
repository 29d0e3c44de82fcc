"""Refuses a request whose first event would surely be late, and says when to come back.

In an overload everything waits, and so everything is late. Refusing what would be late anyway keeps
the queues as short as the objective allows, so that the others are in time; and a caller that comes
back when told may be in time too.
"""

from __future__ import annotations

LATE_FACTOR = 1.3
TARGET_SHARE = 0.5
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 5.0


def overload_retry_after(delay: float, target: float) -> float | None:
    """Return when to come back if the request should be refused, else None.

    Args:
        delay: Expected seconds to the first event at the best runner.
        target: Objective for the first event; 0 for none.
    """
    if target <= 0 or delay <= LATE_FACTOR * target:
        return None
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, delay - TARGET_SHARE * target))
