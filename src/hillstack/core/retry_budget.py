"""Retry budgets: limit retries to a share of the requests."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_at: float


class RetryBudget:
    """A token bucket per tenant, filled by each request and, at a low rate, over time.

    Args:
        ratio: Tokens added per request.
        minimum_per_second: Tokens added per second, for tenants with few requests.
        capacity: Greatest number of tokens in a bucket.
    """

    def __init__(self, ratio: float, minimum_per_second: float, capacity: float = 10.0) -> None:
        self.ratio = ratio
        self.minimum_per_second = minimum_per_second
        self._capacity = capacity
        self._buckets: dict[str, _Bucket] = {}

    def on_request(self, tenant: str, now: float) -> None:
        """Add the tokens that a request's first attempt earns."""
        bucket = self._refill(tenant, now)
        bucket.tokens = min(self._capacity, bucket.tokens + self.ratio)

    def try_retry(self, tenant: str, now: float) -> bool:
        """Take a token for a retry; return whether one was available."""
        bucket = self._refill(tenant, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _refill(self, tenant: str, now: float) -> _Bucket:
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._buckets[tenant] = _Bucket(self._capacity, now)
        gained = max(0.0, now - bucket.refilled_at) * self.minimum_per_second
        bucket.tokens = min(self._capacity, bucket.tokens + gained)
        bucket.refilled_at = now
        return bucket
