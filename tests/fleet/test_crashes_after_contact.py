"""Real crashes of runners that were in contact, or seemed to crash, before: they count.

Guards against proof of life that outlives the process, and lets requests or prompt parts crash more
runners than their bounds allow.
"""

from __future__ import annotations

import pytest

from hillstack.core.crash_ledger import CrashLedger
from hillstack.core.part_crashes import PartCrashes
from hillstack.core.part_trials import FATAL_MARK
from hillstack.core.run_at_crash import RunAtCrash
from hillstack.messages.runner_ends import RequestAtEnd, RunnerEndNotice
from hillstack.serving.ledger_store import StoredLedger
from tests.fleet.fatal_world import Node, World
from tests.fleet.test_refuted_crashes import PART, at_crash, refresh, refute, store_ledger

BODY = b"fatal-one"
MAX_ENDED = 3
# Requests and tries through each node.
TRIES = 4


def report_part(world: World, node: Node, runner_id: str, at: float) -> None:
    notice = RunnerEndNotice(runner_id, 0, [], parts=[at_crash()])
    world.loop.call_soon(node.pipeline.runner_crashes.observe, "peer", notice, at)


def stored_ledger(world: World) -> CrashLedger:
    return world.part_ledgers.get(PART, StoredLedger(CrashLedger())).ledger


@pytest.mark.parametrize("is_probed", [False, True])
def test_a_request_crashes_at_most_three_runners_through_a_node_that_probed_them(
    is_probed: bool,
) -> None:
    world = World(12, 3, lists_later_nodes=True)
    world.run(1.0)
    if is_probed:
        refute(world, world.nodes["node-0"], *world.runners.by_id)
    world.run(5.0)
    world.partitioned_nodes = {"node-0"}
    for name in ("node-1", "node-0"):
        for _ in range(TRIES):
            world.try_until_done(name, BODY, within=6.0)
            world.run(1.0)
    assert world.runners.crash_count(BODY) <= MAX_ENDED
    world.scheduler.close()


@pytest.mark.parametrize("was_suspected", [False, True])
def test_a_runner_that_crashes_after_an_answer_stays_in_the_ledger(was_suspected: bool) -> None:
    world = World(5, 3, lists_later_nodes=True)
    if was_suspected:
        store_ledger(world, CrashLedger(frozenset({"i-0"})))
        world.run(1.0)
    for node in world.nodes.values():
        refute(world, node, "i-0")
    refresh(world)
    assert not stored_ledger(world)
    world.run(20.0)
    store_ledger(world, CrashLedger(frozenset({"i-0"})))
    refresh(world)
    assert stored_ledger(world).crashed == {"i-0"}
    for node in world.nodes.values():
        assert node.state.part_crashes.trials(PART) == {"i-0"}
    world.scheduler.close()


def test_an_answer_to_a_call_from_before_a_crash_does_not_refute_it() -> None:
    world = World(3, 1)
    node = world.nodes["node-0"]
    store_ledger(world, CrashLedger(frozenset({"i-0"})))
    world.run(1.0)
    report_part(world, node, "i-0", 0.9)
    world.loop.call_soon(node.pipeline.runner_crashes.refute, "i-0", 0.5)
    world.run(0.1)
    assert set(node.state.part_crashes.crashes(PART)) == {"i-0"}
    assert node.state.part_crashes.trials(PART) == {"i-0"}
    world.loop.call_soon(node.pipeline.runner_crashes.refute, "i-0", 1.0)
    world.run(0.1)
    assert not node.state.part_crashes.crashes(PART)
    assert not node.state.part_crashes.trials(PART)
    world.scheduler.close()


def test_a_real_crash_after_a_false_one_is_not_retracted_by_contact_between_them() -> None:
    record = PartCrashes()
    record.record("i-0", 1.0, {PART: RunAtCrash(0.1)})
    record.record("i-0", 2.6, {PART: RunAtCrash(0.1)})
    record.record_trials(PART, ["i-0", FATAL_MARK])
    record.retract("i-0", 2.5)
    assert record.crashes(PART)["i-0"].crashed_at == 2.6
    assert record.trials(PART) == {"i-0", FATAL_MARK}
    assert record.take_unfounded() == []
    record.retract("i-0", 2.7)
    assert not record.crashes(PART)


def test_a_trial_that_became_known_after_the_contact_stays() -> None:
    record = PartCrashes()
    record.record("i-0", 1.0, {PART: RunAtCrash(0.1)})
    record.record_trials(PART, ["i-0"], 3.0)
    record.retract("i-0", 2.0)
    assert not record.crashes(PART)
    assert record.trials(PART) == {"i-0"}
    record.retract("i-0", 3.0)
    assert not record.trials(PART)


def test_proof_from_before_a_real_crash_keeps_the_crash_and_the_permits_of_its_part() -> None:
    world = World(3, 1)
    node = world.nodes["node-0"]
    store_ledger(world, CrashLedger(frozenset(), frozenset({"permit"})))
    world.run(1.0)
    crashes = node.pipeline.runner_crashes
    for at in (1.0, 2.6):
        requests = [RequestAtEnd(7, 100, started=True, content=8)]
        world.loop.call_soon(crashes.observe, "peer", RunnerEndNotice("i-0", 0, requests), at)
        report_part(world, node, "i-0", at)
        world.run(1.6)
    back = RunnerEndNotice("i-0", 100, [], taken_back=True)
    world.loop.call_soon(crashes.observe, "peer", back, 2.6)
    world.run(0.2)
    assert set(node.state.part_crashes.crashes(PART)) == {"i-0"}
    assert stored_ledger(world).permits == {"permit"}
    world.scheduler.close()


def test_a_node_whose_only_crash_was_none_keeps_the_permits_of_others() -> None:
    world = World(5, 3, lists_later_nodes=True)
    permits = frozenset({"permit-1", "permit-2", "permit-3"})
    store_ledger(world, CrashLedger(frozenset(), permits))
    report_part(world, world.nodes["node-0"], "i-0", 1.0)
    for name in ("node-1", "node-2"):
        for runner_id in ("i-1", "i-2"):
            report_part(world, world.nodes[name], runner_id, 1.0)
    world.run(1.1)
    refute(world, world.nodes["node-0"], "i-0")
    world.run(0.5)
    assert stored_ledger(world).permits == permits
    world.scheduler.close()


def test_a_node_that_starts_keeps_the_mark_of_a_ledger_with_one_survivor() -> None:
    world = World(5, 3, lists_later_nodes=True)
    store_ledger(world, CrashLedger(frozenset({"i-0", "i-1", FATAL_MARK})))
    world.run(1.0)
    refute(world, world.nodes["node-0"], "i-0")
    refresh(world)
    assert FATAL_MARK in stored_ledger(world).crashed
    world.scheduler.close()
