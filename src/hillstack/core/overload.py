"""Refuses a request that would wait too long behind others, and says when to come back.

In an overload everything waits, and so everything is late. Refusing what would wait longer than the
objective keeps the queues short, so that the others are in time; and a caller that comes back when
told may be in time too. Only the wait counts, not the request's own work: a long prompt must not be
refused more often than a short one.
"""

from __future__ import annotations

# Callers come back no sooner: about a long prefill.
MIN_RETRY_SECONDS = 0.2
# Callers come back no later: a third of the longest patience seen (15 s), which is all they heed.
MAX_RETRY_SECONDS = 5.0


def overload_retry_after(
    waiting: float, own_work: float, target: float, remaining: float
) -> float | None:
    """Return when to come back if the request should be refused, else None.

    The caller is told when the queue has become so short that the request's own work ends within
    the objective; no sooner, since it would only be refused again.

    Args:
        waiting: Expected seconds until the best runner begins with the request's own work.
        own_work: Expected seconds of that work until the first event.
        target: Objective for the first event; 0 for none.
        remaining: Seconds until the request's deadline.
    """
    allowed = min(target, remaining) if target > 0 else remaining
    if waiting <= allowed:
        return None
    shrunk = waiting - max(0.0, target - own_work)
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, shrunk))
