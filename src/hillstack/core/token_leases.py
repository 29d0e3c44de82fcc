"""One node's part of tenants' limits: the time that it contributes and the tokens leased to it."""

from __future__ import annotations

from dataclasses import dataclass

# Most time that a node contributes at once: slightly more than the interval between its messages.
# Older time is lost. Time that nodes have not contributed yet adds to the bursts in the worst
# window, here six tenths of a second of each limit's rate.
MAX_CONTRIBUTED_SECONDS = 0.6
# Averaging time of a node's usage, about the interval between two renewals.
USAGE_WINDOW_SECONDS = 0.5
# A node leases tokens ahead for its usage of this time, which covers two renewals.
LEASE_AHEAD_SECONDS = 1.0
# Usage below which nothing is leased ahead, in requests of the last cost per second. A request then
# waits for one exchange of some milliseconds instead.
MIN_REQUESTS_PER_SECOND = 0.25


@dataclass(slots=True)
class _Lease:
    """Tokens of one tenant leased to this node.

    Attributes:
        tokens: Number of unused tokens.
        ends_at: When the tokens expire.
        use: Average usage in tokens per second.
        used_at: Time up to which the usage is averaged.
        last_cost: Cost of the last request.
    """

    tokens: float = 0.0
    ends_at: float = 0.0
    use: float = 0.0
    used_at: float = 0.0
    last_cost: float = 0.0


class TokenLeases:
    """Leased tokens and uncontributed time of one node.

    Args:
        now: Time on the node's clock. Earlier time is never contributed.
    """

    def __init__(self, now: float) -> None:
        self._contributed_until = now
        self._leases: dict[str, _Lease] = {}

    def take_contribution(self, now: float) -> float:
        """Return the time since the last contribution, limited to ``MAX_CONTRIBUTED_SECONDS``.

        The time counts as contributed from now on, even if the message is lost.
        """
        seconds = min(MAX_CONTRIBUTED_SECONDS, max(0.0, now - self._contributed_until))
        self._contributed_until = now
        return seconds

    def spend(self, tenant: str, cost: float, now: float) -> bool:
        """Use tokens for a request; return whether there were enough."""
        lease = self._valid(tenant, now)
        self._record_usage(lease, cost, now)
        if lease.tokens < cost:
            return False
        lease.tokens -= cost
        return True

    def add(self, tenant: str, tokens: float, ends_at: float, now: float) -> None:
        """Add leased tokens; all tokens of the tenant expire at the earlier of both times."""
        lease = self._valid(tenant, now)
        lease.ends_at = min(lease.ends_at, ends_at) if lease.tokens > 0 else ends_at
        lease.tokens += tokens

    def withdraw_tokens(self, tenant: str, now: float) -> float:
        """Remove and return all tokens of a tenant."""
        lease = self._valid(tenant, now)
        tokens, lease.tokens = lease.tokens, 0.0
        return tokens

    def wanted(self, tenant: str, now: float) -> float:
        """Return the tokens that the node is expected to use in ``LEASE_AHEAD_SECONDS``.

        At least the cost of one request; 0 if the tenant sends rarely.
        """
        lease = self._valid(tenant, now)
        use = self._usage(lease, now)
        if lease.last_cost <= 0 or use < MIN_REQUESTS_PER_SECOND * lease.last_cost:
            return 0.0
        return max(use * LEASE_AHEAD_SECONDS, lease.last_cost)

    def is_low(self, tenant: str, now: float) -> bool:
        """Return whether the tokens are unlikely to suffice for the next requests."""
        return self._valid(tenant, now).tokens < 0.5 * self.wanted(tenant, now)

    def tenants(self) -> list[str]:
        """Return the tenants that this node has tokens for or served lately."""
        return list(self._leases)

    def expire(self, now: float) -> None:
        """Remove tenants that have no tokens here and no recent usage."""
        for tenant in self.tenants():
            if self._valid(tenant, now).tokens <= 0 and self.wanted(tenant, now) <= 0:
                del self._leases[tenant]

    def _valid(self, tenant: str, now: float) -> _Lease:
        lease = self._leases.get(tenant)
        if lease is None:
            lease = self._leases[tenant] = _Lease(used_at=now)
        if now >= lease.ends_at:
            lease.tokens = 0.0
        return lease

    def _usage(self, lease: _Lease, now: float) -> float:
        return lease.use / (1.0 + max(0.0, now - lease.used_at) / USAGE_WINDOW_SECONDS)

    def _record_usage(self, lease: _Lease, cost: float, now: float) -> None:
        lease.use = self._usage(lease, now) + cost / USAGE_WINDOW_SECONDS
        lease.used_at = now
        lease.last_cost = cost
