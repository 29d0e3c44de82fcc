"""Token buckets and leases: limits that hold for any sequence of operations."""

from __future__ import annotations

import math
from collections import deque
from itertools import pairwise

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hillstack.core.tenant_limits import LimitTolerance, LimitUnit, TenantLimit
from hillstack.core.token_buckets import OVERFILL_SHARE, TokenBuckets
from hillstack.core.token_leases import MAX_CONTRIBUTED_SECONDS, TokenLeases

TENANT = "tenant-1"
LIMIT = TenantLimit(1_000.0, 1_000.0, LimitUnit.TOKENS, 200.0)
TOLERANCE = LimitTolerance(8.0, 0.1, 4_000.0)
LEASE_SECONDS = 1.2
NODES = 4


def make_buckets(tolerance: LimitTolerance = TOLERANCE) -> TokenBuckets:
    return TokenBuckets(tolerance, LEASE_SECONDS)


def contribute(buckets: TokenBuckets, seconds: float, now: float, number: int = 1) -> None:
    """Let all nodes contribute their time."""
    for node in range(NODES):
        buckets.contribute(f"node-{node}", 1, number, seconds, NODES, now)


def full_buckets(now: float = 20.0) -> TokenBuckets:
    buckets = make_buckets()
    contribute(buckets, 10.0, now)
    return buckets


def test_a_request_counts_by_its_tokens_or_as_one() -> None:
    assert LIMIT.cost(1_540) == 1_540
    assert LIMIT.cost(None) == 200
    assert TenantLimit(10.0, 5.0).cost(1_540) == 1


def test_usage_allowed_in_a_window() -> None:
    assert math.isclose(TOLERANCE.allowed(LIMIT), 9_000 * 1.1 + 4_000)
    assert math.isclose(TOLERANCE.margin(LIMIT), 900 + 4_000)


def test_buckets_without_contributed_time_grant_nothing() -> None:
    buckets = make_buckets()
    assert not buckets.take_tokens(TENANT, LIMIT, 1.0, 0, 100.0)
    assert buckets.lease(TENANT, LIMIT, "node-1", 1.0, 100.0) == 0
    assert buckets.transfer_out(TENANT, LIMIT, 1.0, 100.0) == 0


def test_a_full_bucket_holds_the_burst_and_then_follows_the_rate() -> None:
    buckets = full_buckets()
    taken = 0
    while buckets.take_tokens(TENANT, LIMIT, 100.0, 0, 20.0):
        taken += 100
    assert LIMIT.burst <= taken <= LIMIT.burst + TOLERANCE.margin(LIMIT)
    for node in range(NODES):
        buckets.contribute(f"node-{node}", 1, 2, 0.5, NODES, 20.5)
    refilled = 0
    while buckets.take_tokens(TENANT, LIMIT, 100.0, 0, 20.5):
        refilled += 100
    assert 400 <= refilled <= 500


def test_the_refill_of_failed_nodes_is_missing() -> None:
    buckets = make_buckets()
    for number in range(20):
        buckets.contribute("node-1", 1, number, 0.5, NODES, number / 2)
    while buckets.take_tokens(TENANT, LIMIT, 10.0, 0, 10.0):
        pass
    buckets.contribute("node-1", 1, 99, 0.5, NODES, 10.5)
    refilled = 0
    while buckets.take_tokens(TENANT, LIMIT, 10.0, 0, 10.5):
        refilled += 10
    # An eighth of the refill of one second, plus a remainder smaller than one request.
    assert 110 <= refilled <= 135


def test_a_holder_without_contributors_retains_no_tokens() -> None:
    buckets = full_buckets(now=20.0)
    assert not buckets.take_tokens(TENANT, LIMIT, 100.0, 0, 25.0)
    assert buckets.transfer_out(TENANT, LIMIT, 100.0, 25.0) == 0


def test_a_request_that_exceeds_the_capacity_empties_a_full_bucket_and_uses_later_refills() -> None:
    buckets = full_buckets()
    assert buckets.take_tokens(TENANT, LIMIT, 4_000.0, 0, 20.0)
    contribute(buckets, 0.5, 20.5, number=2)
    assert not buckets.take_tokens(TENANT, LIMIT, 1.0, 0, 20.5)


def test_the_last_tokens_are_reserved_for_urgent_and_small_requests() -> None:
    buckets = full_buckets()
    while buckets.take_tokens(TENANT, LIMIT, 200.0, 1, 20.0):
        pass
    assert buckets.take_tokens(TENANT, LIMIT, 40.0, 1, 20.0)
    while buckets.take_tokens(TENANT, LIMIT, 40.0, 1, 20.0):
        pass
    assert buckets.take_tokens(TENANT, LIMIT, 20.0, 0, 20.0)


def test_each_start_of_a_node_contributes_its_initial_tokens_once() -> None:
    buckets = make_buckets()
    for node in range(NODES):
        buckets.contribute(f"node-{node}", 1, 1, 0.0, NODES, 20.0, is_first=True)
    taken = 0
    while buckets.take_tokens(TENANT, LIMIT, 10.0, 0, 20.0):
        taken += 10
    assert 0.4 * TOLERANCE.margin(LIMIT) <= taken <= 0.45 * TOLERANCE.margin(LIMIT)
    contribute(buckets, 0.0, 20.1, number=2)
    assert not buckets.take_tokens(TENANT, LIMIT, 10.0, 0, 20.1)


def test_a_removed_bucket_gets_no_initial_tokens_again() -> None:
    buckets = make_buckets()
    for node in range(NODES):
        buckets.contribute(f"node-{node}", 1, 1, 9.0, NODES, 20.0, is_first=True)
    assert buckets.take_tokens(TENANT, LIMIT, 500.0, 0, 20.0)
    contribute(buckets, 0.5, 40.0, number=2)
    buckets.expire(lambda tenant: LIMIT, 40.0)
    taken = 0
    while buckets.take_tokens(TENANT, LIMIT, 10.0, 0, 40.0):
        taken += 10
    assert taken <= LIMIT.burst + OVERFILL_SHARE * TOLERANCE.margin(LIMIT)


def test_requests_refused_together_are_not_retried_together() -> None:
    buckets = full_buckets()
    while buckets.take_tokens(TENANT, LIMIT, 100.0, 0, 20.0):
        pass
    waits = [buckets.wait_seconds(TENANT, LIMIT, 100.0, 0, 20.0) for _ in range(5)]
    gaps = [later - earlier for earlier, later in pairwise(waits)]
    assert waits[0] > 0
    assert all(math.isclose(gap, 100.0 / LIMIT.rate, rel_tol=0.01) for gap in gaps)


def test_a_wait_is_no_longer_than_the_window() -> None:
    buckets = full_buckets()
    waits = [buckets.wait_seconds(TENANT, LIMIT, 5_000.0, 0, 20.0) for _ in range(9)]
    assert max(waits) <= TOLERANCE.window_seconds


def test_leased_tokens_count_towards_the_capacity() -> None:
    buckets = full_buckets()
    leased = buckets.lease(TENANT, LIMIT, "node-1", 1e9, 20.0)
    assert leased > 0
    contribute(buckets, 5.0, 20.5, number=2)
    taken = leased
    while buckets.take_tokens(TENANT, LIMIT, 10.0, 0, 20.5):
        taken += 10
    assert taken <= LIMIT.burst + OVERFILL_SHARE * TOLERANCE.margin(LIMIT)


def test_returned_tokens_can_be_leased_again() -> None:
    buckets = full_buckets()
    first = buckets.lease(TENANT, LIMIT, "node-1", 1e9, 20.0)
    assert buckets.lease(TENANT, LIMIT, "node-2", 1e9, 20.0) == 0
    buckets.end_lease(TENANT, LIMIT, "node-1", first, 20.1)
    assert math.isclose(buckets.lease(TENANT, LIMIT, "node-2", 1e9, 20.1), first)


def test_a_lowered_limit_takes_effect_at_once() -> None:
    tolerance = LimitTolerance(8.0, 0.1, 0.0)
    buckets = make_buckets(tolerance)
    contribute(buckets, 10.0, 20.0)
    assert buckets.take_tokens(TENANT, LIMIT, 100.0, 0, 20.0)
    lower = TenantLimit(100.0, 100.0, LimitUnit.TOKENS)
    taken = 0
    while buckets.take_tokens(TENANT, lower, 10.0, 0, 20.0):
        taken += 10
    assert taken <= lower.burst + tolerance.margin(lower)


def test_a_repeated_message_is_recognized() -> None:
    buckets = make_buckets()
    buckets.contribute("node-1", 5, 3, 0.5, NODES, 0.0)
    assert buckets.is_repeated("node-1", 5, 3)
    assert buckets.is_repeated("node-1", 5, 2)
    assert not buckets.is_repeated("node-1", 5, 4)
    assert not buckets.is_repeated("node-1", 6, 1)


def test_idle_buckets_are_removed() -> None:
    buckets = full_buckets()
    assert buckets.take_tokens(TENANT, LIMIT, 100.0, 0, 20.0)
    contribute(buckets, 0.5, 40.0, number=2)
    buckets.expire(lambda tenant: LIMIT, 40.0)
    assert buckets.levels() == {}


def test_a_node_does_not_contribute_the_time_of_a_pause() -> None:
    leases = TokenLeases(0.0)
    assert leases.take_contribution(0.4) == 0.4
    assert leases.take_contribution(9.0) == MAX_CONTRIBUTED_SECONDS
    assert leases.take_contribution(9.0) == 0


def test_leased_tokens_expire() -> None:
    leases = TokenLeases(0.0)
    leases.add(TENANT, 100.0, 1.2, 0.0)
    assert leases.spend(TENANT, 60.0, 1.1)
    assert not leases.spend(TENANT, 40.0, 1.2)


def test_tokens_that_are_taken_out_can_not_be_spent() -> None:
    leases = TokenLeases(0.0)
    leases.add(TENANT, 100.0, 1.2, 0.0)
    assert leases.withdraw_tokens(TENANT, 0.1) == 100
    assert not leases.spend(TENANT, 1.0, 0.1)


def test_tokens_are_leased_ahead_for_a_busy_tenant_and_not_for_an_idle_one() -> None:
    leases = TokenLeases(0.0)
    for number in range(10):
        leases.spend(TENANT, 50.0, number / 10)
    assert leases.wanted(TENANT, 1.0) >= 300
    assert leases.wanted(TENANT, 60.0) == 0
    leases.expire(60.0)
    assert leases.tenants() == []


class LimitMachine(RuleBasedStateMachine):
    """Nodes contribute time to any holder, lose messages, restart and transfer tokens.

    After any sequence of operations, the usage in each window stays within what is allowed.
    """

    @initialize()
    def start(self) -> None:
        self.now = 50.0
        self.holders = [make_buckets() for _ in range(3)]
        self.nodes = [TokenLeases(self.now) for _ in range(NODES)]
        self.is_first = [True] * NODES
        self.numbers = [0] * NODES
        self.restarts: deque[float] = deque()
        self.ran: deque[tuple[float, float]] = deque()
        self.total = 0.0

    def record_use(self, cost: float) -> None:
        self.ran.append((self.now, cost))
        self.total += cost

    @rule(seconds=st.floats(0.05, 1.5))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(node=st.integers(0, NODES - 1), holder=st.integers(0, 2), is_lost=st.booleans())
    def hand_over(self, node: int, holder: int, is_lost: bool) -> None:
        seconds = self.nodes[node].take_contribution(self.now)
        returned = self.nodes[node].withdraw_tokens(TENANT, self.now)
        self.numbers[node] += 1
        is_first, self.is_first[node] = self.is_first[node], False
        if is_lost:
            return
        buckets = self.holders[holder]
        name = f"node-{node}"
        number = self.numbers[node]
        buckets.contribute(name, 1, number, seconds, NODES, self.now, is_first=is_first)
        buckets.end_lease(TENANT, LIMIT, name, returned, self.now)

    @rule(seconds=st.integers(1, 12))
    def hand_over_in_turn(self, seconds: int) -> None:
        """All nodes contribute their time to the first holder, as in normal operation."""
        for _ in range(2 * seconds):
            self.now += 0.5
            for node in range(NODES):
                self.hand_over(node, 0, False)

    @rule(node=st.integers(0, NODES - 1), holder=st.integers(0, 2), is_lost=st.booleans())
    def lease(self, node: int, holder: int, is_lost: bool) -> None:
        leased = self.holders[holder].lease(TENANT, LIMIT, f"node-{node}", 1e9, self.now)
        if leased > 0 and not is_lost:
            self.nodes[node].add(TENANT, leased, self.now + LEASE_SECONDS, self.now)

    @rule(source=st.integers(0, 2), receiver=st.integers(0, 2), is_lost=st.booleans())
    def transfer(self, source: int, receiver: int, is_lost: bool) -> None:
        given = self.holders[source].transfer_out(TENANT, LIMIT, 1e9, self.now)
        if not is_lost:
            self.holders[receiver].transfer_in(TENANT, LIMIT, given, self.now)

    @rule(holder=st.integers(0, 2), cost=st.floats(10.0, 500.0), rank=st.integers(0, 2))
    def drain(self, holder: int, cost: float, rank: int) -> None:
        while self.holders[holder].take_tokens(TENANT, LIMIT, cost, rank, self.now):
            self.record_use(cost)

    @rule(node=st.integers(0, NODES - 1), cost=st.floats(1.0, 300.0))
    def spend(self, node: int, cost: float) -> None:
        while self.nodes[node].spend(TENANT, cost, self.now):
            self.record_use(cost)

    @rule()
    def restart_all(self) -> None:
        """Kill all processes, at most twice in a window, and start them again a second later."""
        while self.restarts and self.now - self.restarts[0] > TOLERANCE.window_seconds:
            self.restarts.popleft()
        if len(self.restarts) >= 2:
            return
        self.restarts.append(self.now)
        self.now += 1.0
        self.holders = [make_buckets() for _ in range(3)]
        self.nodes = [TokenLeases(self.now) for _ in range(NODES)]
        self.is_first = [True] * NODES

    @invariant()
    def no_window_holds_more_than_is_allowed(self) -> None:
        if not hasattr(self, "ran"):
            return
        while self.ran and self.now - self.ran[0][0] >= TOLERANCE.window_seconds:
            self.total -= self.ran.popleft()[1]
        assert self.total <= TOLERANCE.allowed(LIMIT) + 1e-6


TestLimitMachine = LimitMachine.TestCase
TestLimitMachine.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)
