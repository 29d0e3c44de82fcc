"""Age of a node's view of the configuration store, and the bound on that age.

The age is measured on the monotonic clock from the moment a linearizable call was *sent*: the
answer contains every change that was acknowledged before. A node whose view is older than the bound
must not serve requests with an API key, since the key may have been revoked meanwhile.
"""

from __future__ import annotations

import math


class Freshness:
    """Tracks the age of the latest linearizable answer.

    Args:
        bound_seconds: Age beyond which requests with an API key are refused; infinite if a stale
            view is acceptable.
    """

    def __init__(self, bound_seconds: float = math.inf) -> None:
        self._bound = bound_seconds
        self._proved_at = -math.inf
        self._fresh = False

    def prove(self, call_started_at: float) -> None:
        """Record that a linearizable call, sent at ``call_started_at``, was answered."""
        self._proved_at = max(self._proved_at, call_started_at)

    def proved_at(self) -> float:
        """Return the time up to which this node has all acknowledged changes."""
        return self._proved_at

    def age(self, now: float) -> float:
        """Return the age of the view in seconds; infinite before the first answer."""
        return now - self._proved_at

    def is_fresh(self, now: float) -> bool:
        """Return whether requests with an API key may be served."""
        return self.age(now) <= self._bound

    def changed(self, now: float) -> bool | None:
        """Return the result of ``is_fresh`` if it differs from the previous call, else None."""
        fresh = self.is_fresh(now)
        if fresh is self._fresh:
            return None
        self._fresh = fresh
        return fresh
