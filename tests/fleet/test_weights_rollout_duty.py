"""The duty of ordering weights, in virtual time: lost and late orders, new holders, fences."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import pytest

from hillstack.core.planned_stop import STOP_MARGIN_SECONDS
from hillstack.core.relay_choice import RelayChoice
from hillstack.core.store_revision import StoreRevision
from hillstack.core.weights_rollout import START_DELAY_SECONDS
from hillstack.daemon.duty_lease import DutyLease
from hillstack.daemon.key_value import Condition, Entry, Put
from hillstack.daemon.lease_renewer import (
    RENEW_REFUSED_SECONDS,
    RENEW_RETRY_SECONDS,
    renewal_pause,
)
from hillstack.daemon.peer_exchange import PeerExchange
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.weights_orders import OrderOutcome, RunnerReport, WeightsOrder
from hillstack.daemon.weights_rollout_duty import WeightsRolloutDuty
from hillstack.errors import (
    BackendError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    RunnerRestartedError,
)
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.store_events import WeightsNamed
from hillstack.simulation.virtual_loop import Scheduler
from tests.fleet.builders import (
    ENGINES,
    MODEL,
    make_entry,
    make_rng,
    make_route,
    make_state,
    make_table,
    rev,
)

TTL = 2.0
HOLDER_GAP = 3.0
LOAD_SECONDS = 0.6


@dataclass
class MemoryLeases:
    """Leases and keys of a store that is always reachable."""

    scheduler: Scheduler
    revision: int = 0
    keys: dict[str, tuple[Entry, int]] = field(default_factory=dict)
    ends: dict[int, float] = field(default_factory=dict)
    ttl: float = TTL
    silent: bool = False
    era: int = 0

    def expire(self) -> None:
        now = self.scheduler.now
        over = {lease for lease, end in self.ends.items() if now >= end}
        self.ends = {lease: end for lease, end in self.ends.items() if lease not in over}
        self.keys = {k: v for k, v in self.keys.items() if v[1] not in over}

    async def get(self, key: str) -> Entry | None:
        self.expire()
        return self.keys[key][0] if key in self.keys else None

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> StoreRevision | None:
        self.expire()
        if any(condition.key in self.keys for condition in conditions):
            return None
        self.revision += 1
        for put in puts:
            self.keys[put.key] = (
                Entry(put.key, put.value, rev(self.revision)),
                put.lease_id,
            )
        return rev(self.revision)

    async def grant_lease(self, ttl_seconds: float) -> int:
        self.revision += 1
        self.ends[self.revision] = self.scheduler.now + ttl_seconds
        return self.revision

    async def keep_alive(self, lease_id: int) -> bool:
        self.expire()
        if lease_id in self.ends:
            self.ends[lease_id] = self.scheduler.now + self.ttl
        return lease_id in self.ends

    async def revoke_lease(self, lease_id: int) -> None:
        if self.silent:
            await asyncio.Event().wait()
        self.ends[lease_id] = -1.0
        self.expire()


@dataclass
class FakeRunners:
    """Runners that load weights in virtual time, and can lose or delay orders."""

    scheduler: Scheduler
    weights: dict[str, int]
    taken: dict[str, int] = field(default_factory=dict)
    fences: dict[str, int] = field(default_factory=dict)
    busy_until: dict[str, float] = field(default_factory=dict)
    target: dict[str, int] = field(default_factory=dict)
    orders: list[tuple[float, WeightsOrder]] = field(default_factory=list)
    replaced: set[str] = field(default_factory=set)
    restarted: set[str] = field(default_factory=set)
    lose: int = 0
    late: float | None = None
    max_loading: int = 0

    async def report(self, runner_id: str, address: str) -> RunnerReport:
        if runner_id in self.restarted:
            raise RunnerRestartedError("another process", step="report", peer=runner_id)
        self._settle(runner_id)
        busy = self.scheduler.now < self.busy_until.get(runner_id, 0.0)
        weights = {MODEL: self.weights[runner_id]}
        return RunnerReport(weights, busy, self.taken.get(runner_id, 0))

    async def order_weights(self, order: WeightsOrder) -> OrderOutcome:
        self.orders.append((self.scheduler.now, order))
        if self.lose > 0:
            self.lose -= 1
            if self.late is not None:
                when = self.scheduler.now + self.late
                self.scheduler.at(when, functools.partial(self._accept_late, order))
            await asyncio.sleep(0.4)
            raise BackendError("no answer", step="order", peer=order.address)
        return self._take(order)

    def _accept_late(self, order: WeightsOrder) -> None:
        self._take(order)

    def _take(self, order: WeightsOrder) -> OrderOutcome:
        runner_id = order.runner_id
        self._settle(runner_id)
        if runner_id in self.replaced:
            return OrderOutcome.OTHER_INSTANCE
        if order.fence < self.fences.get(runner_id, 0):
            return OrderOutcome.FENCED
        if order.expected_orders != self.taken.get(runner_id, 0):
            return OrderOutcome.CONFLICT
        self.fences[runner_id] = order.fence
        self.taken[runner_id] = order.expected_orders + 1
        self.busy_until[runner_id] = self.scheduler.now + LOAD_SECONDS
        self.target[runner_id] = order.version
        loading = sum(1 for until in self.busy_until.values() if until > self.scheduler.now)
        self.max_loading = max(self.max_loading, loading)
        return OrderOutcome.TAKEN

    def _settle(self, runner_id: str) -> None:
        if runner_id in self.target and self.scheduler.now >= self.busy_until[runner_id]:
            self.weights[runner_id] = self.target.pop(runner_id)


@dataclass
class Node:
    """One node that may hold the duty."""

    state: FleetState
    duty: WeightsRolloutDuty
    peers: PeerExchange
    loop: Any


class Bench:
    """Runners, a store and nodes, in virtual time."""

    def __init__(self, count: int = 6) -> None:
        self.scheduler = Scheduler()
        self.leases = MemoryLeases(self.scheduler)
        self.ids = [f"i-{n}" for n in range(count)]
        self.runners = FakeRunners(self.scheduler, dict.fromkeys(self.ids, 1))

    def add_node(self, name: str) -> Node:
        entries = [make_entry(name, ENGINES, weights=1) for name in self.ids]
        state = make_state(make_table(make_route()), *entries)
        state.node_id = name
        choice = RelayChoice(name, state.nodes)
        clock = self.scheduler.clock
        peers = PeerExchange(state, PeerLink(), choice, "zone-a", clock, make_rng())
        lease = DutyLease(self.leases, "duty", name, TTL, self.scheduler.clock)
        duty = WeightsRolloutDuty(
            state, lease, self.runners, peers, HOLDER_GAP, self.scheduler.clock, make_rng()
        )
        loop = self.scheduler.new_loop()
        self.scheduler.spawn(loop, duty.maintain_lease())
        self.scheduler.spawn(loop, duty.run())
        return Node(state, duty, peers, loop)

    def run(self, seconds: float) -> None:
        self.scheduler.run_until(self.scheduler.now + seconds)

    def name_weights(self, version: int, *nodes: Node) -> None:
        for node in nodes:
            node.state.apply(WeightsNamed(MODEL, version), self.scheduler.now)


def loaded_weights(bench: Bench) -> dict[str, int]:
    for runner_id in bench.ids:
        bench.runners._settle(runner_id)
    return bench.runners.weights


def test_all_runners_get_the_newest_version_a_few_at_a_time() -> None:
    bench = Bench()
    node = bench.add_node("node-1")
    bench.run(4.0)
    bench.name_weights(2, node)
    bench.run(7.0)
    assert set(loaded_weights(bench).values()) == {2}
    assert bench.runners.max_loading <= 3
    assert len(bench.runners.orders) == 6
    bench.scheduler.close()


def order_delay_during_prefills(seconds: float) -> float:
    """Announce a version during prefills at the only runner; return the delay of the order."""
    bench = Bench(count=1)
    node = bench.add_node("node-1")
    bench.run(4.0)
    named_at = bench.scheduler.now
    runner = node.state.pool.get("i-0")
    assert runner is not None
    runner.prefill_done_at = named_at + seconds
    bench.name_weights(2, node)
    bench.run(4.0)
    assert loaded_weights(bench) == {"i-0": 2}
    bench.scheduler.close()
    return bench.runners.orders[0][0] - named_at


def test_a_runner_is_ordered_after_its_prefills_are_done() -> None:
    # Guards against an order during prefills: the load evicted prompts of 10,000 tokens and more,
    # whose prefill had to be repeated (seen in Lagos quiet-1).
    assert order_delay_during_prefills(1.0) >= 1.0


def test_the_wait_for_prefills_is_bounded() -> None:
    assert order_delay_during_prefills(100.0) < 4.0


def test_a_version_that_is_superseded_before_its_orders_is_skipped() -> None:
    bench = Bench()
    node = bench.add_node("node-1")
    bench.run(4.0)
    bench.name_weights(2, node)
    bench.run(START_DELAY_SECONDS / 2)
    bench.name_weights(3, node)
    bench.run(8.0)
    assert set(loaded_weights(bench).values()) == {3}
    assert {order.version for _, order in bench.runners.orders} == {3}
    bench.scheduler.close()


@pytest.mark.parametrize("late", [None, 2.5])
def test_lost_orders_are_repeated_and_late_orders_have_no_effect(late: float | None) -> None:
    bench = Bench()
    node = bench.add_node("node-1")
    bench.run(4.0)
    bench.runners.lose, bench.runners.late = 3, late
    bench.name_weights(2, node)
    bench.run(1.0)
    bench.name_weights(3, node)
    bench.run(14.0)
    assert set(loaded_weights(bench).values()) == {3}
    bench.scheduler.close()


def test_only_one_node_orders_and_the_next_has_a_higher_fence() -> None:
    bench = Bench()
    first, second = bench.add_node("node-1"), bench.add_node("node-2")
    bench.run(4.0)
    holder = next(n for n in (first, second) if n.duty._lease.fence() is not None)
    other = second if holder is first else first
    other.state.duty_holder = holder.state.node_id
    bench.name_weights(2, first, second)
    bench.run(7.0)
    assert {order.holder for _, order in bench.runners.orders} == {holder.state.node_id}
    bench.scheduler.kill(holder.loop)
    bench.run(TTL)
    other.state.duty_holder = None
    before = len(bench.runners.orders)
    bench.name_weights(3, other)
    bench.run(9.0)
    later = [order for _, order in bench.runners.orders[before:]]
    assert set(loaded_weights(bench).values()) == {3}
    assert {order.holder for order in later} == {other.state.node_id}
    fences = [order.fence for _, order in bench.runners.orders]
    assert fences == sorted(fences) and len(set(fences)) == 2
    bench.scheduler.close()


def test_a_node_without_the_duty_sets_no_timer_for_orders(monkeypatch: pytest.MonkeyPatch) -> None:
    bench = Bench()
    first, second = bench.add_node("a"), bench.add_node("b")
    bench.run(START_DELAY_SECONDS + 3.0)
    holders = [node for node in (first, second) if node.duty._lease.fence() is not None]
    assert len(holders) == 1
    waiting = second if holders == [first] else first
    made: list[float] = []
    call_at = waiting.loop.call_at

    def counted(when: float, *arguments: Any, **options: Any) -> Any:
        made.append(when)
        return call_at(when, *arguments, **options)

    monkeypatch.setattr(waiting.loop, "call_at", counted)
    bench.run(2.0)
    # The node checks the lease every 0.4 s, and each check may sleep twice.
    assert len(made) <= 10


def test_a_paused_holder_loses_its_lease_by_its_own_clock() -> None:
    bench = Bench()
    node = bench.add_node("node-1")
    bench.run(4.0)
    assert node.duty._lease.fence() is not None
    node.loop.frozen = True
    bench.run(TTL)
    node.loop.frozen = False
    assert node.duty._lease.fence() is None
    bench.scheduler.close()


def test_a_holder_waits_for_runners_that_a_peer_ordered_recently() -> None:
    bench = Bench()
    node = bench.add_node("node-1")
    bench.run(4.0)
    ordered_at = bench.scheduler.now
    runner = node.state.pool.get("i-0")
    assert runner is not None
    runner.peer_ordered_at = ordered_at
    bench.name_weights(2, node)
    bench.run(9.0)
    first = {order.runner_id: at for at, order in reversed(bench.runners.orders)}
    assert first["i-0"] >= ordered_at + HOLDER_GAP
    assert min(first.values()) < ordered_at + HOLDER_GAP
    assert set(loaded_weights(bench).values()) == {2}
    bench.scheduler.close()


def test_a_refused_fence_is_not_used_again() -> None:
    bench = Bench()
    node = bench.add_node("node-1")
    bench.scheduler.run_until(HOLDER_GAP + 1.0)
    bench.runners.fences = dict.fromkeys(bench.ids, 1_000_000)
    node.state.apply(WeightsNamed(MODEL, 2), bench.scheduler.now)
    bench.scheduler.run_until(bench.scheduler.now + 8.0)
    first = bench.runners.orders[0][0]
    fence = bench.runners.orders[0][1].fence
    later = [at for at, order in bench.runners.orders if order.fence == fence and at > first + 0.1]
    assert later == []


def test_a_node_that_has_just_started_sends_no_orders_yet() -> None:
    bench = Bench()
    node = bench.add_node("node-1")
    bench.name_weights(2, node)
    bench.run(HOLDER_GAP - 0.1)
    assert bench.runners.orders == []
    bench.run(9.0)
    assert set(loaded_weights(bench).values()) == {2}
    bench.scheduler.close()


def test_a_stopping_node_does_not_acquire_the_duty() -> None:
    bench = Bench()
    node = bench.add_node("node-1")
    node.duty.stop_acquiring()
    bench.run(5.0)
    assert node.duty._lease.fence() is None
    bench.scheduler.close()


def test_a_planned_stop_does_not_wait_for_a_silent_store() -> None:
    # A process has 0.7 s to stop after its last request is answered, but a store call may take 1.5
    # s.
    bench = Bench()
    node = bench.add_node("node-1")
    bench.run(1.0)
    assert node.duty._lease.fence() is not None
    bench.leases.silent = True
    releasing = bench.scheduler.spawn(node.loop, node.duty.release_on_stop())
    bench.run(STOP_MARGIN_SECONDS / 2)
    assert releasing.done() and node.duty._lease.fence() is None
    bench.scheduler.close()


def test_a_refused_renewal_waits_longer_than_a_lost_one() -> None:
    refused = PlatformUnavailableError("503", step="renew", peer="store")
    lost = PlatformOutcomeUnknownError("timeout", step="renew", peer="store")
    assert renewal_pause(refused) == RENEW_REFUSED_SECONDS > RENEW_RETRY_SECONDS
    assert renewal_pause(lost) == RENEW_RETRY_SECONDS


def test_a_runner_whose_address_has_another_process_is_ordered_once() -> None:
    bench = Bench()
    node = bench.add_node("node-1")
    bench.run(4.0)
    bench.runners.replaced.add("i-0")
    bench.name_weights(2, node)
    bench.run(10.0)
    assert [order.runner_id for _, order in bench.runners.orders].count("i-0") == 1
    others = {
        runner: version for runner, version in loaded_weights(bench).items() if runner != "i-0"
    }
    assert set(others.values()) == {2}
    bench.scheduler.close()


def test_a_restarted_runner_is_not_ordered_and_reported_to_the_peers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bench = Bench(count=2)
    node, other = bench.add_node("node-1"), bench.add_node("node-2")
    reported: list[str] = []
    for each in (node, other):
        monkeypatch.setattr(each.peers, "restarted", reported.append)
    bench.run(4.0)
    bench.runners.restarted = {"i-1"}
    bench.name_weights(2, node, other)
    bench.run(3.0)
    assert loaded_weights(bench)["i-0"] == 2
    assert {order.runner_id for _, order in bench.runners.orders} == {"i-0"}
    assert reported == ["i-1"]
    holder = node if node.duty._lease.fence() is not None else other
    assert holder.state.pool.get("i-1") is None
    bench.scheduler.close()
