"""Refuses a request that would wait too long behind others, and says when to come back.

In an overload everything waits, and so everything is late. Refusing what would wait longer than the
objective keeps the queues short, so that the others are in time; and a caller that comes back when
told may be in time too. Only the wait counts, not the request's own work: a long prompt must not be
refused more often than a short one.
"""

from __future__ import annotations

# Share of the objective that may be spent behind others: of 1.0, 1.3 and 2.0 the best or equal on
# scale-2 of two deployments (docs/PLATFORM.md, overload).
WAIT_FACTOR = 1.0
# Share of the objective that the queue should have shrunk to when the caller comes back: chosen so
# that the second try is in time.
TARGET_SHARE = 0.5
# Callers come back no sooner: about a long prefill.
MIN_RETRY_SECONDS = 0.2
# Callers come back no later: a third of the longest patience seen (15 s), which is all they heed.
MAX_RETRY_SECONDS = 5.0


def overload_retry_after(waiting: float, target: float) -> float | None:
    """Return when to come back if the request should be refused, else None.

    Args:
        waiting: Expected seconds until the best runner begins with the request's own work.
        target: Objective for the first event; 0 for none.
    """
    if target <= 0 or waiting <= WAIT_FACTOR * target:
        return None
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, waiting - TARGET_SHARE * target))
