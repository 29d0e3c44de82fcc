"""The duty of ordering weights, in virtual time: lost and late orders, new holders, fences."""

from __future__ import annotations

from typing import Any

import pytest

from hillstack.core.cache_sources import order_delay_seconds
from hillstack.core.planned_stop import STOP_MARGIN_SECONDS
from hillstack.core.runner_pool import Runner
from hillstack.core.weights_rollout import START_DELAY_SECONDS
from hillstack.daemon.lease_renewer import (
    RENEW_REFUSED_SECONDS,
    RENEW_RETRY_SECONDS,
    renewal_pause,
)
from hillstack.daemon.weights_rollout_duty import UNREACHABLE_PAUSE_SECONDS
from hillstack.errors import PlatformOutcomeUnknownError, PlatformUnavailableError
from hillstack.serving.store_events import WeightsNamed
from tests.fleet.builders import MODEL
from tests.fleet.duty_bench import HOLDER_GAP, LOAD_SECONDS, TTL, Bench, loaded_weights


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


# Guards against loads that end with an error of another kind, unlogged, and begin again at once.
def test_a_load_that_fails_unexpectedly_is_logged_and_begun_again_later(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    bench = Bench(count=1)
    node = bench.add_node("node-1")
    bench.run(4.0)
    advance = node.duty._advance
    begun: list[float] = []

    async def fail_twice(runner: Runner, model: str, version: int) -> int | None:
        begun.append(bench.scheduler.now)
        if len(begun) <= 2:
            raise ValueError("not expected")
        return await advance(runner, model, version)

    monkeypatch.setattr(node.duty, "_advance", fail_twice)
    bench.name_weights(2, node)
    bench.run(9.0)
    assert loaded_weights(bench) == {"i-0": 2}
    assert begun[1] - begun[0] >= UNREACHABLE_PAUSE_SECONDS
    assert caplog.text.count("background task failed") == 2
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
    bench.run(START_DELAY_SECONDS + HOLDER_GAP + 1.0)
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
    bench.run(HOLDER_GAP + 1.0)
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


# A runner that had just loaded a version was ordered to load the next one at once, although other
# nodes might still fetch the parts that it had made in between.
def test_a_runner_that_has_just_loaded_waits_until_all_nodes_know_the_next_version() -> None:
    bench = Bench()
    nodes = bench.add_nodes(3)
    bench.follow(4.0)
    bench.name_weights(2, *nodes)
    for node in nodes:
        for other in nodes:
            node.state.announcement_receipts.note(other.state.node_id, MODEL, 2)
    while not bench.runners.orders:
        bench.follow(0.05)
    (first,) = {order.runner_id for _, order in bench.runners.orders[:1]}
    bench.follow(LOAD_SECONDS + 0.01)
    holder = bench.nodes[bench.holder() or ""]
    named_at = bench.scheduler.now
    bench.name_weights(3, holder)
    bench.follow(10.0)
    times = [at for at, order in bench.runners.orders if order.runner_id == first]
    assert set(loaded_weights(bench).values()) == {3}
    assert times[1] >= named_at + order_delay_seconds(holder.state.versions.grace)
    bench.scheduler.close()
