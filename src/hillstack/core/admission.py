"""Weighted fair admission control, with costs in tokens.

While no request waits, all requests are admitted, so that no capacity is left idle. The exception
are tenants without a weight, whose share is 0: they are refused while they have recent use. As
queues grow, tenants are refused by how far their recent use exceeds their fair share of the use of
all active tenants. When the mean wait is a hundredth of the target wait, only tenants at ten times
their share or more are refused; when the mean wait reaches the target, all tenants above their
share are. A request that cannot meet its deadline is refused at once. Each refusal contains a retry
delay.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass

USAGE_HALF_LIFE_SECONDS = 5.0
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0
ACTIVE_TOKENS = 1.0
EXCESS_EXPONENT = 2.0
PRUNE_INTERVAL_SECONDS = 1.0


class RefusalReason(enum.StrEnum):
    """Why a request was not admitted."""

    OVER_SHARE = "over_share"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline_unreachable"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that was not admitted.

    Attributes:
        retry_after: Seconds after which the request is expected to be admitted.
    """

    reason: RefusalReason
    retry_after: float


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """The properties of a request that decide on its admission.

    Attributes:
        cost_tokens: Expected work: uncached prompt tokens plus output tokens.
        estimated_wait: Seconds until the engine with the shortest wait would start the request.
        mean_wait: Mean of the estimated waits of all engines, in seconds.
        deadline_in: Seconds until the deadline of the request.
        urgent: Whether the request is exempt from fair sharing; ``max_wait`` still applies.
    """

    tenant: str
    cost_tokens: float
    estimated_wait: float
    mean_wait: float
    deadline_in: float
    urgent: bool = False


@dataclass(slots=True)
class _Usage:
    """Exponentially decaying token usage."""

    tokens: float
    updated_at: float

    def decayed(self, now: float) -> float:
        elapsed = max(0.0, now - self.updated_at)
        return self.tokens * math.exp2(-elapsed / USAGE_HALF_LIFE_SECONDS)

    def add(self, tokens: float, now: float) -> None:
        self.tokens = self.decayed(now) + tokens
        self.updated_at = now


class Admission:
    """Weighted fair admission of the requests of all tenants.

    Args:
        weights: Weight of each tenant, relative to the other tenants.
        target_wait: Mean wait, in seconds, from which every tenant above its share is refused.
        max_wait: Estimated wait, in seconds, from which no request is admitted.
    """

    def __init__(self, weights: Mapping[str, float], target_wait: float, max_wait: float) -> None:
        self._weights = dict(weights)
        self._target_wait = target_wait
        self._max_wait = max_wait
        # The tenants with recent use. The sums of their use and of their weights are updated with
        # each change, so that a decision does not iterate over all tenants.
        self._usage: dict[str, _Usage] = {}
        self._total = _Usage(0.0, 0.0)
        self._active_weight = 0.0
        self._prune_at = 0.0

    def reconfigure(
        self, weights: Mapping[str, float], target_wait: float, max_wait: float
    ) -> None:
        """Apply the limits of a new bundle; recorded use is retained."""
        self._weights = dict(weights)
        self._target_wait = target_wait
        self._max_wait = max_wait
        self._active_weight = sum(self._weights.get(tenant, 0.0) for tenant in self._usage)

    def try_admit(self, request: AdmissionRequest, now: float) -> Refusal | None:
        """Admit a request and record its cost, or return the refusal."""
        refusal = self._refusal(request, now)
        if refusal is None:
            self._record(request.tenant, request.cost_tokens, now)
        return refusal

    def _refusal(self, request: AdmissionRequest, now: float) -> Refusal | None:
        wait = request.estimated_wait
        if wait >= request.deadline_in:
            return Refusal(RefusalReason.DEADLINE, _clamp_retry_after(wait - self._target_wait))
        if wait >= self._max_wait:
            return Refusal(RefusalReason.OVERLOADED, _clamp_retry_after(wait - self._target_wait))
        if request.urgent:
            return None
        return self._over_share(request, now)

    def _over_share(self, request: AdmissionRequest, now: float) -> Refusal | None:
        self._prune(now)
        usage = self._usage.get(request.tenant)
        used = usage.decayed(now) if usage is not None else 0.0
        total = self._total.decayed(now)
        fair = total * self._share(request.tenant)
        if used <= fair or total <= ACTIVE_TOKENS or request.mean_wait <= 0.0:
            return None
        excess = used / fair if fair > 0 else math.inf
        if request.mean_wait * excess**EXCESS_EXPONENT < self._target_wait:
            return None
        until_fair = USAGE_HALF_LIFE_SECONDS * math.log2(excess) if fair > 0 else math.inf
        return Refusal(RefusalReason.OVER_SHARE, _clamp_retry_after(until_fair))

    def _share(self, tenant: str) -> float:
        own = self._weights.get(tenant, 0.0)
        all_active = self._active_weight + (own if tenant not in self._usage else 0.0)
        return own / all_active if all_active > 0 else 0.0

    def _record(self, tenant: str, tokens: float, now: float) -> None:
        self._total.add(tokens, now)
        usage = self._usage.get(tenant)
        if usage is not None:
            usage.add(tokens, now)
            return
        self._usage[tenant] = _Usage(tokens, now)
        self._active_weight += self._weights.get(tenant, 0.0)

    def _prune(self, now: float) -> None:
        """Drop tenants whose use has decayed and recompute the sums to remove rounding drift."""
        if now < self._prune_at:
            return
        self._prune_at = now + PRUNE_INTERVAL_SECONDS
        decayed = {tenant: usage.decayed(now) for tenant, usage in self._usage.items()}
        for tenant, tokens in decayed.items():
            if tokens < ACTIVE_TOKENS:
                del self._usage[tenant]
        self._total = _Usage(sum(decayed[tenant] for tenant in self._usage), now)
        self._active_weight = sum(self._weights.get(tenant, 0.0) for tenant in self._usage)


def _clamp_retry_after(seconds: float) -> float:
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
