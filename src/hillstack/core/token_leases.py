"""What one node has of tenants' limits: its own time, and the tokens that are leased to it."""

from __future__ import annotations

from dataclasses import dataclass

# Time that a node hands over at once at the most: somewhat more than lies between two of its
# messages. What is older is lost: time that all nodes have not handed over yet comes on top of the
# bursts in the worst window, here six tenths of a second of each limit's rate.
MAX_HANDED_SECONDS = 0.6
# Over this time a node's use is averaged; about the time between two renewals.
USE_SECONDS = 0.5
# Leased ahead is what the node uses in so long: two renewals.
AHEAD_SECONDS = 1.0
# Below this use, in requests of the last size a second, nothing is leased ahead: a request waits
# for one exchange of some milliseconds instead.
LEAST_REQUESTS_PER_SECOND = 0.25


@dataclass(slots=True)
class _Lease:
    """Tokens of one tenant.

    Attributes:
        tokens: How many are left.
        ends_at: When they lapse.
        use: Tokens used a second.
        used_at: Until when the use is averaged.
        last_cost: What the last request cost.
    """

    tokens: float = 0.0
    ends_at: float = 0.0
    use: float = 0.0
    used_at: float = 0.0
    last_cost: float = 0.0


class TokenLeases:
    """Tokens and time of one node.

    Args:
        now: Time on the node's clock: time before it is not the node's to hand over.
    """

    def __init__(self, now: float) -> None:
        self._handed_until = now
        self._leases: dict[str, _Lease] = {}

    def hand_over(self, now: float) -> float:
        """Return the node's time since it last handed some over, which is gone from now on."""
        seconds = min(MAX_HANDED_SECONDS, max(0.0, now - self._handed_until))
        self._handed_until = now
        return seconds

    def spend(self, tenant: str, cost: float, now: float) -> bool:
        """Use up tokens for a request; return whether there were enough."""
        lease = self._valid(tenant, now)
        self._note_use(lease, cost, now)
        if lease.tokens < cost:
            return False
        lease.tokens -= cost
        return True

    def add(self, tenant: str, tokens: float, ends_at: float, now: float) -> None:
        """Take over tokens that were leased; those that are there already last as long."""
        lease = self._valid(tenant, now)
        lease.ends_at = min(lease.ends_at, ends_at) if lease.tokens > 0 else ends_at
        lease.tokens += tokens

    def take_out(self, tenant: str, now: float) -> float:
        """Return all tokens of a tenant, which are no longer this node's from now on."""
        lease = self._valid(tenant, now)
        tokens, lease.tokens = lease.tokens, 0.0
        return tokens

    def wanted(self, tenant: str, now: float) -> float:
        """Return the tokens that the node is likely to use until the lease is renewed."""
        lease = self._valid(tenant, now)
        use = self._use(lease, now)
        if lease.last_cost <= 0 or use < LEAST_REQUESTS_PER_SECOND * lease.last_cost:
            return 0.0
        return max(use * AHEAD_SECONDS, lease.last_cost)

    def is_low(self, tenant: str, now: float) -> bool:
        """Return whether the next requests are likely to find too little."""
        return self._valid(tenant, now).tokens < 0.5 * self.wanted(tenant, now)

    def tenants(self) -> list[str]:
        """Return the tenants that this node has served lately."""
        return list(self._leases)

    def expire(self, now: float) -> None:
        """Forget tenants that have no tokens here and send nothing any more."""
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

    def _use(self, lease: _Lease, now: float) -> float:
        return lease.use / (1.0 + max(0.0, now - lease.used_at) / USE_SECONDS)

    def _note_use(self, lease: _Lease, cost: float, now: float) -> None:
        lease.use = self._use(lease, now) + cost / USE_SECONDS
        lease.used_at = now
        lease.last_cost = cost
