"""The token buckets that a node holds for itself and for the nodes that bring their shares to it.

A limit is kept over all nodes by conservation, not by agreement. The time of every node is worth
an equal part of each bucket's refill. A node hands its time to one holder, and counts it as gone
before it says so; a holder turns the time into tokens, and leases or transfers them. A message that
is lost destroys what it carried, and nothing ever makes any anew. So all holders together give out
no more than the limit allows, whoever they are, whatever they believe of one another, and whoever
is cut off, paused or started again.

What that costs: while a part of the nodes is gone, their part of the refill is missing. A tenant is
sure of the part of its rate that the living nodes hold.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from hillstack.core.tenant_limits import LimitTolerance, TenantLimit

# A node hands over its time every half a second: after two that were lost it no longer counts.
CONTRIBUTOR_SECONDS = 1.5
# How often the contributors are counted anew: some ten times within the time above.
RECOUNT_SECONDS = 0.15
# Part of the margin that buckets hold beyond the burst: a burst of 29,000 tokens in three zones is
# one prompt of 9,190 in each, and requests come in another order than they were sent.
EXTRA_SHARE = 0.3
# Part of the margin that all nodes together bring with their start. Nobody knows what was used
# before a restart of all nodes; without anything, all would be refused until the rate has filled
# some. Two such restarts in a window take nine tenths of the margin, of which the two seconds
# without any node give back four tenths or more (at the limits seen, from 29,000 tokens/s on).
START_SHARE = 0.45
# Part of a bucket that may be leased for requests that are still to come. Leased tokens count as
# part of the bucket's fill, so they add nothing to what the worst window holds; but until they are
# returned, others can't use them.
LEASE_SHARE = 0.35
# Above this fill a bucket leases for requests to come; below, only for those that are there.
LEASE_FILL = 0.5
# For each rank below the most urgent one, a bucket must hold so much of a request's cost on top of
# it. So the last tokens go to urgent and to small requests, of which they serve more: with costs of
# 900 and 9,000 tokens one refused long prompt leaves room for ten urgent questions.
RESERVE_OF_RANK = 0.5
# No caller is told to come back sooner: the way to it and back, and some work.
LEAST_WAIT_SECONDS = 0.05
# What a holder keeps back when another asks it for tokens: its own use for so long, some ten times
# the way there and back between zones.
KEEP_BACK_SECONDS = 0.1
# Over this time the use of a bucket is averaged: long against the pauses between requests of a busy
# tenant, short against the second in which one may begin to send ten times as much.
USE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class _Lease:
    """Tokens that a node was leased, and when."""

    tokens: float
    leased_at: float


@dataclass(slots=True)
class _Bucket:
    """One tenant's bucket.

    Attributes:
        level: Tokens in it.
        refilled_at: Refill time up to which it is filled.
        started_at: Until when it has been given what nodes brought with their start.
        capacity: What it could hold when it was filled.
        leases: Tokens that each node was leased last for requests to come.
        leased: Their sum.
        use: Tokens given out a second.
        used_at: Until when the use is averaged.
        room_at: When there is room again for the last request that was refused.
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
    """A node that hands its time over: its process, its last message, and when that came."""

    incarnation: int
    number: int
    heard_at: float


@dataclass(slots=True)
class TokenBuckets:
    """Buckets of all tenants whose limits are asked for here.

    Attributes:
        tolerance: How far limits may be passed.
        lease_seconds: How long a lease lasts.
        start_share: Part of the margin that all nodes together bring with their start.
        is_whole: Whether a request is let pass only where all of its cost is there. A bucket then
            gives out no more than it holds, however many holders there are; it may need tokens of
            other holders for each request.
    """

    tolerance: LimitTolerance
    lease_seconds: float
    start_share: float = START_SHARE
    is_whole: bool = False
    _refill_time: float = 0.0
    _starts: deque[tuple[float, float]] = field(default_factory=deque)
    _contributors: dict[str, _Contributor] = field(default_factory=dict)
    _share: float = 0.0
    _node_count: int = 1
    _counted_at: float = float("-inf")
    _buckets: dict[str, _Bucket] = field(default_factory=dict)

    def is_repeated(self, node_id: str, incarnation: int, number: int) -> bool:
        """Return whether a node's message came before, or one that was sent after it."""
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
        """Take over the time of a node.

        Args:
            node_id: The node.
            incarnation: Its process.
            number: Number of its message, rising.
            seconds: Its time since it last handed some over to anybody.
            node_count: Nodes that share the limits.
            now: Time on this node's clock.
            is_first: Whether its process has handed over none before.
        """
        known = self._contributors.get(node_id)
        self._contributors[node_id] = _Contributor(incarnation, number, now)
        self._node_count = max(1, node_count)
        self._refill_time += seconds / self._node_count
        if is_first:
            self._starts.append((now, 1.0 / self._node_count))
        if known is None or not self._counts(known, now):
            self._counted_at = float("-inf")
        self._recount(now)

    def share(self) -> float:
        """Return the part of all nodes that hand their time to this one."""
        return self._share

    def take(self, tenant: str, limit: TenantLimit, cost: float, rank: int, now: float) -> bool:
        """Take a request's cost out of a bucket; return whether it was there.

        A request that costs more than a bucket holds takes all of a full one, and the rest of what
        comes next.
        """
        bucket = self._filled(tenant, limit, now)
        if bucket.level <= 0 or bucket.level < self._needed(limit, cost, rank):
            return False
        bucket.level -= cost
        self._note_use(bucket, cost, now)
        return True

    def missing(self, tenant: str, limit: TenantLimit, cost: float, rank: int, now: float) -> float:
        """Return how many tokens to ask other holders for, where a bucket lacks some for a cost.

        It is some more than is lacking: the next requests would ask again.
        """
        bucket = self._filled(tenant, limit, now)
        lacking = max(0.0, self._with_reserve(cost, rank) - bucket.level)
        return lacking + self._use(bucket, now) * KEEP_BACK_SECONDS if lacking > 0 else 0.0

    def lease(
        self, tenant: str, limit: TenantLimit, node_id: str, wanted: float, now: float
    ) -> float:
        """Return tokens for requests of a node that are still to come, as many as can be spared."""
        bucket = self._filled(tenant, limit, now)
        self._end_leases(bucket, now)
        capacity = self._capacity(limit)
        room = LEASE_SHARE * capacity - bucket.leased
        spare = bucket.level - LEASE_FILL * capacity
        leased = max(0.0, min(wanted, room, spare))
        if self.is_whole:
            leased = math.floor(leased)
        if leased > 0.0:
            bucket.level -= leased
            bucket.leased += leased
            bucket.leases[node_id] = _Lease(leased, now)
        return leased

    def give(self, tenant: str, limit: TenantLimit, wanted: float, now: float) -> float:
        """Return tokens for another holder: what is not needed here at once."""
        bucket = self._filled(tenant, limit, now)
        kept_back = self._use(bucket, now) * KEEP_BACK_SECONDS
        given = max(0.0, min(wanted, bucket.level - kept_back))
        bucket.level -= given
        return given

    def put_back(
        self, tenant: str, limit: TenantLimit, node_id: str, tokens: float, now: float
    ) -> None:
        """Take over what a node has not used of its lease: it has none any more."""
        bucket = self._filled(tenant, limit, now)
        lease = bucket.leases.pop(node_id, None)
        if lease is not None:
            bucket.leased -= lease.tokens
            self._note_use(bucket, max(0.0, lease.tokens - tokens), now)
        bucket.level += tokens

    def receive(self, tenant: str, limit: TenantLimit, tokens: float, now: float) -> None:
        """Take over tokens that another holder gave."""
        self._filled(tenant, limit, now).level += tokens

    def wait_seconds(
        self, tenant: str, limit: TenantLimit, cost: float, rank: int, now: float
    ) -> float:
        """Return after how long a request that was refused finds room.

        Each refused request is given its own place, one after another at the rate of the limit, so
        that those who were refused together do not return together.
        """
        bucket = self._filled(tenant, limit, now)
        rate = limit.rate * self._share
        window = self.tolerance.window_seconds
        if rate <= 0:
            return window
        lacking = max(0.0, self._needed(limit, cost, rank) - bucket.level) / rate
        soonest = now + max(LEAST_WAIT_SECONDS, lacking)
        bucket.room_at = min(max(bucket.room_at + cost / rate, soonest), now + window)
        return bucket.room_at - now

    def expire(self, limit_of: Callable[[str], TenantLimit | None], now: float) -> None:
        """Forget nodes that hand nothing over, and buckets that are full again and nobody uses."""
        for node_id in [n for n, c in self._contributors.items() if not self._counts(c, now)]:
            del self._contributors[node_id]
        while self._starts and now - self._starts[0][0] > self.tolerance.window_seconds:
            self._starts.popleft()
        for tenant, bucket in list(self._buckets.items()):
            if now - bucket.used_at <= self.tolerance.window_seconds:
                continue
            limit = limit_of(tenant)
            # One that is made anew is filled by all the time since this process began: it is full.
            if limit is not None:
                self._end_leases(bucket, now)
            if limit is None or self._filled(tenant, limit, now).level >= self._capacity(limit):
                del self._buckets[tenant]

    def levels(self) -> dict[str, float]:
        """Return the tokens in each bucket that is in use."""
        return {tenant: bucket.level for tenant, bucket in self._buckets.items()}

    def _counts(self, contributor: _Contributor, now: float) -> bool:
        return now - contributor.heard_at <= CONTRIBUTOR_SECONDS

    def _recount(self, now: float) -> None:
        if now - self._counted_at < RECOUNT_SECONDS:
            return
        self._counted_at = now
        count = sum(1 for c in self._contributors.values() if self._counts(c, now))
        self._share = min(1.0, count / self._node_count)

    def _needed(self, limit: TenantLimit, cost: float, rank: int) -> float:
        """Return what a bucket must hold for a request."""
        needed = min(self._with_reserve(cost, rank), self._capacity(limit))
        return max(cost, needed) if self.is_whole else needed

    def _with_reserve(self, cost: float, rank: int) -> float:
        return cost * (1.0 + RESERVE_OF_RANK * max(0, rank))

    def _capacity(self, limit: TenantLimit) -> float:
        return self._share * (limit.burst + EXTRA_SHARE * self.tolerance.margin(limit))

    def _filled(self, tenant: str, limit: TenantLimit, now: float) -> _Bucket:
        """Return a tenant's bucket, filled up to now.

        What it may hold follows the limit, and the nodes that hand over their time now: a holder
        that was paused or left must not keep what the next one fills anew.
        """
        self._recount(now)
        bucket = self._buckets.get(tenant)
        if bucket is None:
            began = now - self.tolerance.window_seconds
            bucket = self._buckets[tenant] = _Bucket(started_at=began, used_at=now)
        gained = limit.rate * (self._refill_time - bucket.refilled_at)
        bucket.refilled_at = self._refill_time
        capacity = self._capacity(limit)
        filled = min(capacity - bucket.leased, bucket.level + gained)
        # Tokens that another holder gave for a request may lie above what is filled.
        is_reduced = capacity < bucket.capacity
        bucket.level = filled if is_reduced else max(filled, bucket.level)
        bucket.capacity = capacity
        if self._starts and self._starts[-1][0] > bucket.started_at:
            started = sum(part for at, part in self._starts if at > bucket.started_at)
            bucket.level += started * self.start_share * self.tolerance.margin(limit)
            bucket.started_at = self._starts[-1][0]
        return bucket

    def _end_leases(self, bucket: _Bucket, now: float) -> None:
        """Forget leases that have lapsed."""
        ended = [
            node_id
            for node_id, lease in bucket.leases.items()
            if now - lease.leased_at > self.lease_seconds
        ]
        for node_id in ended:
            bucket.leased -= bucket.leases.pop(node_id).tokens

    def _use(self, bucket: _Bucket, now: float) -> float:
        elapsed = max(0.0, now - bucket.used_at)
        return bucket.use / (1.0 + elapsed / USE_SECONDS)

    def _note_use(self, bucket: _Bucket, tokens: float, now: float) -> None:
        bucket.use = self._use(bucket, now) + tokens / USE_SECONDS
        bucket.used_at = now
