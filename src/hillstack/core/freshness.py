"""How old a node's knowledge of the configuration store may be.

The age is counted on the monotonic clock from the moment a linearizable call was *sent*: whatever
was acknowledged before that moment is in its answer. A node whose knowledge is older than the bound
must not serve requests with a key, since the key may have been revoked meanwhile.
"""

from __future__ import annotations

import math


class Freshness:
    """Age of the last linearizable answer.

    Args:
        bound_seconds: Age from which requests with a key are refused; infinite when stale
            knowledge is acceptable.
    """

    def __init__(self, bound_seconds: float = math.inf) -> None:
        self._bound = bound_seconds
        self._proved_at = -math.inf
        self._fresh = False

    def prove(self, call_started_at: float) -> None:
        """Note the answer of a linearizable call."""
        self._proved_at = max(self._proved_at, call_started_at)

    def proved_at(self) -> float:
        """Return the moment up to which all acknowledged changes are known."""
        return self._proved_at

    def age(self, now: float) -> float:
        """Return the age in seconds; infinite before the first answer."""
        return now - self._proved_at

    def is_fresh(self, now: float) -> bool:
        """Return whether requests with a key may be served."""
        return self.age(now) <= self._bound

    def changed(self, now: float) -> bool | None:
        """Return the new state if it differs from that of the last call, else None."""
        fresh = self.is_fresh(now)
        if fresh is self._fresh:
            return None
        self._fresh = fresh
        return fresh
