"""Rate limits of tenants over all nodes, and by how much their sum may exceed them."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class LimitUnit(enum.StrEnum):
    """Unit in which a limit counts.

    Attributes:
        REQUESTS: Each request counts as one.
        TOKENS: A request counts as its prompt tokens plus its limit of generated tokens.
    """

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class TenantLimit:
    """The limit of one tenant: a token bucket that all nodes share.

    Attributes:
        rate: Refill rate of the bucket per second, in its unit.
        burst: Capacity of the bucket, in its unit.
        unit: The unit.
        default_cost: Cost of a request without a known size; used only with the unit ``TOKENS``.
    """

    rate: float
    burst: float
    unit: LimitUnit = LimitUnit.REQUESTS
    default_cost: float = 1.0

    def cost(self, tokens: int | None) -> float:
        """Return the cost of a request in the unit of the limit.

        Args:
            tokens: Prompt tokens plus the limit of generated tokens; None if the request does not
                contain them.
        """
        if self.unit is LimitUnit.REQUESTS:
            return 1.0
        return self.default_cost if tokens is None else float(tokens)


@dataclass(frozen=True, slots=True)
class LimitTolerance:
    """By how much the sum over all nodes may exceed a limit, as configured by the operator.

    Attributes:
        window_seconds: Length of the window in which usage is counted.
        overshoot: Allowed excess as a fraction of what the limit allows in a window.
        slack: Allowed excess in addition to ``overshoot``, in the unit of the limit.
    """

    window_seconds: float = 10.0
    overshoot: float = 0.0
    slack: float = 0.0

    def allowed(self, limit: TenantLimit) -> float:
        """Return the greatest usage allowed in a window, in the unit of the limit."""
        return self._nominal(limit) * (1.0 + self.overshoot) + self.slack

    def margin(self, limit: TenantLimit) -> float:
        """Return by how much the usage in a window may exceed the limit, in its unit."""
        return self._nominal(limit) * self.overshoot + self.slack

    def _nominal(self, limit: TenantLimit) -> float:
        return limit.rate * self.window_seconds + limit.burst
