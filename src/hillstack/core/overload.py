"""Refuses requests that would wait too long in a queue, with a retry delay.

In an overload every request waits, so every request is late. Refusing the requests that would wait
longer than the objective keeps the queues short, so that the other requests are in time; a caller
that retries after the delay may be in time too. Only the wait counts, not the request's own work: a
long prompt must not be refused more often than a short one.
"""

from __future__ import annotations

# Shortest retry delay: about the duration of a long prefill.
MIN_RETRY_SECONDS = 0.2
# Longest retry delay: a third of the longest observed caller timeout (15 s). Callers ignore longer
# delays.
MAX_RETRY_SECONDS = 5.0


def overload_retry_after(
    waiting: float, own_work: float, target: float, remaining: float
) -> float | None:
    """Return the retry delay in seconds if the request should be refused, else None.

    After the delay the queue is expected to be short enough for the request to meet the objective.
    On an earlier retry the request would only be refused again.

    Args:
        waiting: Expected seconds until the best runner begins to work on the request.
        own_work: Expected seconds from then until the first event.
        target: Objective for the first event, in seconds; 0 for none.
        remaining: Seconds until the request's deadline.
    """
    allowed = min(target, remaining) if target > 0 else remaining
    if waiting <= allowed:
        return None
    retry_after = waiting - max(0.0, target - own_work)
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, retry_after))
