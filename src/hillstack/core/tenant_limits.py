"""What a tenant may send in a time, over all nodes together, and how far that may be passed."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class LimitUnit(enum.StrEnum):
    """What a limit counts.

    Attributes:
        REQUESTS: Each request as one.
        TOKENS: The tokens of the prompt and the most that may be generated.
    """

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class TenantLimit:
    """The limit of one tenant: a token bucket that all nodes share.

    Attributes:
        rate: What the bucket gains in a second, in its unit.
        burst: What the bucket holds at most, in its unit.
        unit: What is counted.
        plain_cost: Tokens that a request without a size counts as; only where tokens are counted.
    """

    rate: float
    burst: float
    unit: LimitUnit = LimitUnit.REQUESTS
    plain_cost: float = 1.0

    def cost(self, tokens: int | None) -> float:
        """Return what a request counts as.

        Args:
            tokens: Tokens of its prompt and the most that it may generate; None if it names none.
        """
        if self.unit is LimitUnit.REQUESTS:
            return 1.0
        return self.plain_cost if tokens is None else float(tokens)


@dataclass(frozen=True, slots=True)
class LimitTolerance:
    """How far the sum over all nodes may pass a limit, as the operator sets it.

    Attributes:
        window_seconds: Length of the window in which use is counted.
        overshoot: Part of what a limit allows in a window that may come on top of it.
        slack: What may come on top of that, in the unit of the limit.
    """

    window_seconds: float = 10.0
    overshoot: float = 0.0
    slack: float = 0.0

    def allowed(self, limit: TenantLimit) -> float:
        """Return what may be used in a window at the most, in the unit of the limit."""
        return self._nominal(limit) * (1.0 + self.overshoot) + self.slack

    def margin(self, limit: TenantLimit) -> float:
        """Return by how much the use in a window may pass the limit itself."""
        return self._nominal(limit) * self.overshoot + self.slack

    def _nominal(self, limit: TenantLimit) -> float:
        return limit.rate * self.window_seconds + limit.burst
