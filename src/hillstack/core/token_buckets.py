"""The token buckets that a node holds for itself and for the nodes that contribute time to it.

Limits over all nodes are enforced by conservation instead of consensus. The time of each node is
worth an equal part of the refill of each bucket. A node contributes its time to one holder, and
deducts it before it sends the message. A holder converts the time into tokens, and leases or
transfers them. A lost message destroys the time or tokens in it, and nothing ever creates them
again. So all holders together grant no more than the limit allows, whichever nodes they are,
whatever they know of one another, and whichever nodes are partitioned, paused or restarted.

The cost of this design: while some nodes have failed, their part of the refill is missing. A tenant
is guaranteed only the part of its rate that the live nodes contribute.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from hillstack.core.tenant_limits import LimitTolerance, TenantLimit

# A node contributes its time every half a second. After two lost messages it no longer counts as a
# contributor.
CONTRIBUTOR_SECONDS = 1.5
# Interval between counts of the contributors: about ten counts within the time above.
RECOUNT_SECONDS = 0.15
# Share of the margin by which buckets exceed the burst. A third of a burst of 29,000 tokens, in
# each of three zones, is just one prompt of 9,190 tokens, and requests arrive in another order than
# they were sent.
OVERFILL_SHARE = 0.3
# Share of the margin that all nodes together contribute when they start. After a restart of all
# nodes the earlier usage is unknown, and without initial tokens all requests would be refused until
# the buckets have refilled. Two such restarts in a window use nine tenths of the margin. In the two
# seconds without any node nothing is refilled, which saves four tenths of the margin or more, for
# limits from 29,000 tokens/s on.
START_SHARE = 0.45
# Share of a bucket that may be leased ahead for future requests. Leased tokens still occupy
# capacity of the bucket, so they don't raise the usage in the worst window; but other nodes can't
# use them until they are returned.
LEASE_SHARE = 0.35
# Fill level above which a bucket leases ahead; below it, tokens go to waiting requests only.
LEASE_FILL = 0.5
# Additional share of a request's cost that a bucket must hold per rank below the most urgent one.
# The last tokens thus go to urgent and to small requests, of which they serve more: with costs of
# 900 and 9,000 tokens, one refused long prompt leaves room for ten urgent requests.
RESERVE_OF_RANK = 0.5
# Shortest wait returned to a caller: a round trip to the caller and some processing.
MIN_WAIT_SECONDS = 0.05
# A holder that another one asks for tokens retains its own usage of this time, about ten round
# trips between zones.
RETAINED_USAGE_SECONDS = 0.1
# Averaging time of a bucket's usage: long compared with the gaps between requests of a busy tenant,
# short compared with the second within which a tenant may begin to send ten times as much.
USAGE_WINDOW_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class _Lease:
    """Tokens leased to a node, and the time of the lease."""

    tokens: float
    leased_at: float


@dataclass(slots=True)
class _Bucket:
    """One tenant's bucket.

    Attributes:
        level: Tokens in the bucket.
        refilled_at: Value of the refill time up to which the bucket is refilled.
        started_at: Time up to which the contributions of starting nodes are included.
        capacity: Capacity at the latest refill.
        leases: The latest lease of each node for future requests.
        leased: Sum of the leased tokens.
        use: Average usage in tokens per second.
        used_at: Time up to which the usage is averaged.
        room_at: When the bucket will have room for the latest refused request.
    """

    level: float = 0.0
    refilled_at: float = 0.0
    started_at: float = 0.0
    capacity: float = 0.0
    leases: dict[str, _Lease] = field(default_factory=dict)
    leased: float = 0.0
    use: float = 0.0
    used_at: float = 0.0
    room_at: float = 0.0


@dataclass(slots=True)
class _Contributor:
    """A node that contributes time: its process, and the number and arrival of its last message."""

    incarnation: int
    number: int
    received_at: float


@dataclass(slots=True)
class TokenBuckets:
    """The buckets of all tenants whose limits this node enforces as a holder.

    Attributes:
        tolerance: By how much limits may be exceeded.
        lease_seconds: Duration of a lease.
        start_share: Share of the margin that all nodes together contribute when they start.
        requires_full_cost: Whether a request is admitted only if the bucket covers its whole cost.
            A bucket then never grants more than it holds, however many holders there are, but it
            may need tokens of other holders for each request.
    """

    tolerance: LimitTolerance
    lease_seconds: float
    start_share: float = START_SHARE
    requires_full_cost: bool = False
    _refill_time: float = 0.0
    _starts: deque[tuple[float, float]] = field(default_factory=deque)
    _contributors: dict[str, _Contributor] = field(default_factory=dict)
    _share: float = 0.0
    _node_count: int = 1
    _counted_at: float = float("-inf")
    _buckets: dict[str, _Bucket] = field(default_factory=dict)

    def is_repeated(self, node_id: str, incarnation: int, number: int) -> bool:
        """Return whether this message of a node, or a later one, has already arrived."""
        known = self._contributors.get(node_id)
        if known is None or known.incarnation != incarnation:
            return False
        return number <= known.number

    def contribute(
        self,
        node_id: str,
        incarnation: int,
        number: int,
        seconds: float,
        node_count: int,
        now: float,
        *,
        is_first: bool = False,
    ) -> None:
        """Add time that a node contributes.

        Args:
            node_id: The contributing node.
            incarnation: Incarnation of the node's process.
            number: Sequence number of the message.
            seconds: Time since the node's last contribution to any holder.
            node_count: Number of nodes that share the limits.
            now: Time on this node's clock.
            is_first: Whether this is the first contribution of the node's process.
        """
        known = self._contributors.get(node_id)
        self._contributors[node_id] = _Contributor(incarnation, number, now)
        self._node_count = max(1, node_count)
        self._refill_time += seconds / self._node_count
        if is_first:
            self._starts.append((now, 1.0 / self._node_count))
        if known is None or not self._is_contributing(known, now):
            self._counted_at = float("-inf")
        self._recount(now)

    def share(self) -> float:
        """Return the fraction of all nodes that contribute their time to this one."""
        return self._share

    def take_tokens(
        self, tenant: str, limit: TenantLimit, cost: float, rank: int, now: float
    ) -> bool:
        """Take a request's cost from a bucket; return whether the bucket had enough tokens.

        A request that costs more than the capacity empties a full bucket and leaves its level
        negative, so that later refills cover the rest.
        """
        bucket = self._refilled(tenant, limit, now)
        if bucket.level <= 0 or bucket.level < self._needed(limit, cost, rank):
            return False
        bucket.level -= cost
        self._record_usage(bucket, cost, now)
        return True

    def missing(self, tenant: str, limit: TenantLimit, cost: float, rank: int, now: float) -> float:
        """Return the number of tokens to request from other holders for a cost; 0 if none.

        The number exceeds the missing tokens by the expected usage of the next requests.
        """
        bucket = self._refilled(tenant, limit, now)
        lacking = max(0.0, self._with_reserve(cost, rank) - bucket.level)
        return lacking + self._usage(bucket, now) * RETAINED_USAGE_SECONDS if lacking > 0 else 0.0

    def lease(
        self, tenant: str, limit: TenantLimit, node_id: str, wanted: float, now: float
    ) -> float:
        """Lease spare tokens to a node for future requests; return their number."""
        bucket = self._refilled(tenant, limit, now)
        self._expire_leases(bucket, now)
        capacity = self._capacity(limit)
        room = LEASE_SHARE * capacity - bucket.leased
        spare = bucket.level - LEASE_FILL * capacity
        leased = max(0.0, min(wanted, room, spare))
        if self.requires_full_cost:
            leased = math.floor(leased)
        if leased > 0.0:
            bucket.level -= leased
            bucket.leased += leased
            bucket.leases[node_id] = _Lease(leased, now)
        return leased

    def transfer_out(self, tenant: str, limit: TenantLimit, wanted: float, now: float) -> float:
        """Transfer tokens to another holder; return their number.

        Tokens for the bucket's own usage of the next ``RETAINED_USAGE_SECONDS`` are retained.
        """
        bucket = self._refilled(tenant, limit, now)
        retained = self._usage(bucket, now) * RETAINED_USAGE_SECONDS
        given = max(0.0, min(wanted, bucket.level - retained))
        bucket.level -= given
        return given

    def end_lease(
        self, tenant: str, limit: TenantLimit, node_id: str, tokens: float, now: float
    ) -> None:
        """End a node's lease and add its unused tokens to the bucket."""
        bucket = self._refilled(tenant, limit, now)
        lease = bucket.leases.pop(node_id, None)
        if lease is not None:
            bucket.leased -= lease.tokens
            self._record_usage(bucket, max(0.0, lease.tokens - tokens), now)
        bucket.level += tokens

    def transfer_in(self, tenant: str, limit: TenantLimit, tokens: float, now: float) -> None:
        """Add tokens that another holder transferred."""
        self._refilled(tenant, limit, now).level += tokens

    def wait_seconds(
        self, tenant: str, limit: TenantLimit, cost: float, rank: int, now: float
    ) -> float:
        """Return the time after which a refused request should be retried.

        Refused requests are scheduled one after another at the rate of the limit, so that requests
        refused together are not retried together.
        """
        bucket = self._refilled(tenant, limit, now)
        rate = limit.rate * self._share
        window = self.tolerance.window_seconds
        if rate <= 0:
            return window
        lacking = max(0.0, self._needed(limit, cost, rank) - bucket.level) / rate
        soonest = now + max(MIN_WAIT_SECONDS, lacking)
        bucket.room_at = min(max(bucket.room_at + cost / rate, soonest), now + window)
        return bucket.room_at - now

    def expire(self, limit_of: Callable[[str], TenantLimit | None], now: float) -> None:
        """Remove nodes that no longer contribute, and unused buckets that are full again."""
        for node_id in [
            n for n, c in self._contributors.items() if not self._is_contributing(c, now)
        ]:
            del self._contributors[node_id]
        while self._starts and now - self._starts[0][0] > self.tolerance.window_seconds:
            self._starts.popleft()
        for tenant, bucket in list(self._buckets.items()):
            if now - bucket.used_at <= self.tolerance.window_seconds:
                continue
            limit = limit_of(tenant)
            # If a removed bucket is created again later, the refill time since the start of this
            # process fills it.
            if limit is not None:
                self._expire_leases(bucket, now)
            if limit is None or self._refilled(tenant, limit, now).level >= self._capacity(limit):
                del self._buckets[tenant]

    def levels(self) -> dict[str, float]:
        """Return the tokens in each bucket that is in use."""
        return {tenant: bucket.level for tenant, bucket in self._buckets.items()}

    def _is_contributing(self, contributor: _Contributor, now: float) -> bool:
        return now - contributor.received_at <= CONTRIBUTOR_SECONDS

    def _recount(self, now: float) -> None:
        if now - self._counted_at < RECOUNT_SECONDS:
            return
        self._counted_at = now
        count = sum(1 for c in self._contributors.values() if self._is_contributing(c, now))
        self._share = min(1.0, count / self._node_count)

    def _needed(self, limit: TenantLimit, cost: float, rank: int) -> float:
        """Return the level that a bucket must have to admit a request."""
        needed = min(self._with_reserve(cost, rank), self._capacity(limit))
        return max(cost, needed) if self.requires_full_cost else needed

    def _with_reserve(self, cost: float, rank: int) -> float:
        return cost * (1.0 + RESERVE_OF_RANK * max(0, rank))

    def _capacity(self, limit: TenantLimit) -> float:
        return self._share * (limit.burst + OVERFILL_SHARE * self.tolerance.margin(limit))

    def _refilled(self, tenant: str, limit: TenantLimit, now: float) -> _Bucket:
        """Return a tenant's bucket, refilled up to now.

        The capacity follows the limit and the number of current contributors. A holder that was
        paused or lost its contributors must not retain tokens that the next holder refills too.
        """
        self._recount(now)
        bucket = self._buckets.get(tenant)
        if bucket is None:
            window_start = now - self.tolerance.window_seconds
            bucket = self._buckets[tenant] = _Bucket(started_at=window_start, used_at=now)
        gained = limit.rate * (self._refill_time - bucket.refilled_at)
        bucket.refilled_at = self._refill_time
        capacity = self._capacity(limit)
        filled = min(capacity - bucket.leased, bucket.level + gained)
        # Tokens transferred by another holder for a request may exceed the capacity.
        is_reduced = capacity < bucket.capacity
        bucket.level = filled if is_reduced else max(filled, bucket.level)
        bucket.capacity = capacity
        if self._starts and self._starts[-1][0] > bucket.started_at:
            started = sum(part for at, part in self._starts if at > bucket.started_at)
            bucket.level += started * self.start_share * self.tolerance.margin(limit)
            bucket.started_at = self._starts[-1][0]
        return bucket

    def _expire_leases(self, bucket: _Bucket, now: float) -> None:
        """Remove expired leases."""
        ended = [
            node_id
            for node_id, lease in bucket.leases.items()
            if now - lease.leased_at > self.lease_seconds
        ]
        for node_id in ended:
            bucket.leased -= bucket.leases.pop(node_id).tokens

    def _usage(self, bucket: _Bucket, now: float) -> float:
        elapsed = max(0.0, now - bucket.used_at)
        return bucket.use / (1.0 + elapsed / USAGE_WINDOW_SECONDS)

    def _record_usage(self, bucket: _Bucket, tokens: float, now: float) -> None:
        bucket.use = self._usage(bucket, now) + tokens / USAGE_WINDOW_SECONDS
        bucket.used_at = now
