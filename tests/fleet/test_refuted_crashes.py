"""Crashes of runners that turn out to be none: what is forgotten of them, and when it is checked.

Guards against shared prompt parts that are refused for hours because nodes were cut off from
runners by resets, which look like crashes.
"""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, field

import pytest

from hillstack.core.crash_ledger import CrashLedger
from hillstack.core.part_crashes import MIN_FATAL_CRASHES, PartCrashes
from hillstack.core.part_trials import FATAL_MARK
from hillstack.core.request_fingerprint import part_name
from hillstack.core.run_at_crash import RunAtCrash
from hillstack.core.runner_crashes import FATAL_CRASH_RETENTION_SECONDS
from hillstack.core.store_revision import StoreRevision
from hillstack.daemon.crash_checks import (
    FIRST_PAUSE_SECONDS,
    MAX_PAUSE_SECONDS,
    TICK_SECONDS,
    CrashChecks,
)
from hillstack.errors import PeerError
from hillstack.messages.runner_ends import PartAtEnd, RequestAtEnd, RunnerEndNotice
from hillstack.serving.ledger_store import StoredLedger
from hillstack.serving.store_events import PartLedgerChanged, RunnerUnlisted
from tests.fleet.fatal_world import Node, World
from tests.fleet.part_traffic import FIRST_PART

PART = part_name(FIRST_PART)
PARTS = ((FIRST_PART, 500), ("own", 500))
CRASHED = ("i-0", "i-1", "i-2")
NODES = 3
AGE_MS = 100
OTHER_PART = 99
# Longer than the pauses of a writer of ledgers and of the notices that nodes repeat.
SETTLE_SECONDS = 8.0
CHECK_SECONDS = 0.35


def cut_world(*, mark: bool = True) -> World:
    """Return a world whose nodes take three runners for crashed under a part, two in its trials."""
    world = World(5, NODES, lists_later_nodes=True)
    crashed = {*CRASHED[:2], FATAL_MARK} if mark else set(CRASHED[:2])
    store_ledger(world, CrashLedger(frozenset(crashed)))
    for node in world.nodes.values():
        for number, runner_id in enumerate(CRASHED):
            notice = RunnerEndNotice(runner_id, 300 * (3 - number), [], parts=[at_crash()])
            world.loop.call_soon(node.pipeline.runner_crashes.observe, "peer", notice, 1.0)
            node.state.part_crashes.record_success([OTHER_PART], 1.0)
    world.run(1.0)
    return world


def at_crash() -> PartAtEnd:
    return PartAtEnd(PART, AGE_MS, AGE_MS)


def store_ledger(world: World, ledger: CrashLedger) -> None:
    world.ledger_writes += 1
    world.part_ledgers[PART] = StoredLedger(ledger, StoreRevision(0, world.ledger_writes))
    for node in world.nodes.values():
        node.state.apply(PartLedgerChanged(PART, ledger), world.scheduler.now)


def refute(world: World, node: Node, *runner_ids: str) -> None:
    """Let processes of runners answer calls of a node."""
    for runner_id in runner_ids:
        called_at = world.scheduler.now
        world.loop.call_soon(node.pipeline.runner_crashes.refute, runner_id, called_at)
    world.run(0.2)


def refresh(world: World) -> None:
    """Let the nodes look after their ledgers, as they do in each process."""
    tasks = []
    for node in world.nodes.values():
        tasks.append(world.scheduler.spawn(world.loop, node.pipeline.runner_crashes.run()))
    world.run(SETTLE_SECONDS)
    for task in tasks:
        world.loop.call_soon(task.cancel)
    world.run(0.1)


# Guards against runners in the trials and the ledger of a part that no proof of life removes.
def test_a_part_is_served_again_once_the_runners_that_seemed_to_crash_answer() -> None:
    world = cut_world()
    assert not world.try_until_done("node-0", b"one", parts=PARTS).is_served
    for node in world.nodes.values():
        refute(world, node, *CRASHED)
    for number, name in enumerate(world.nodes):
        assert world.try_until_done(name, b"again-%d" % number, parts=PARTS).is_served
    world.scheduler.close()


# Guards against a ledger that outlives the nodes which wrote it, with crashes that were none.
def test_a_node_that_knows_runners_from_a_ledger_only_serves_the_part_once_they_answer() -> None:
    world = World(5, NODES, lists_later_nodes=True)
    store_ledger(world, CrashLedger(frozenset({*CRASHED[:2], FATAL_MARK})))
    node = world.nodes["node-0"]
    assert not world.try_until_done("node-0", b"one", parts=PARTS).is_served
    refute(world, node, *CRASHED[:2])
    refresh(world)
    assert world.try_until_done("node-0", b"two", parts=PARTS).is_served
    world.scheduler.close()


def test_the_ledger_of_a_part_is_empty_when_no_crash_is_left() -> None:
    world = cut_world(mark=False)
    for node in world.nodes.values():
        refute(world, node, *CRASHED)
    refresh(world)
    stored = world.part_ledgers.get(PART, StoredLedger(CrashLedger()))
    assert not stored.ledger
    world.scheduler.close()


def test_survivors_leave_a_ledger_and_the_others_stay(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    world = cut_world(mark=False)
    for node in world.nodes.values():
        refute(world, node, "i-0")
    refresh(world)
    assert world.part_ledgers[PART].ledger.crashed == {"i-1"}
    assert "ledger of a part corrected" in caplog.text
    world.scheduler.close()


def test_a_part_whose_other_crashes_are_real_stays_a_suspect() -> None:
    world = cut_world()
    for node in world.nodes.values():
        refute(world, node, "i-2")
        verdict = node.state.part_crashes.judge([PART], world.scheduler.now)
        assert verdict.parts == (PART,)
    world.scheduler.close()


def test_a_mark_goes_with_the_crashes_behind_it_and_not_before() -> None:
    record = PartCrashes()
    for number in range(MIN_FATAL_CRASHES + 1):
        record.record(f"i-{number}", float(number), {PART: RunAtCrash(0.1)})
    record.record_trials(PART, ["i-0", FATAL_MARK])
    assert record.take_unfounded() == []
    record.retract("i-0", 10.0)
    assert record.take_unfounded() == []
    assert record.marked_parts() == [PART]
    assert record.trials(PART) == {FATAL_MARK}
    record.retract("i-1", 10.0)
    assert record.take_unfounded() == [PART]
    assert record.marked_parts() == []


def test_a_node_that_knows_a_mark_from_a_ledger_only_keeps_it() -> None:
    record = PartCrashes()
    record.record_trials(PART, ["i-0", "i-1", FATAL_MARK])
    record.retract("i-0", 10.0)
    assert record.take_unfounded() == []
    assert record.trials(PART) == {"i-1", FATAL_MARK}


def test_a_crash_after_the_contact_stays_with_its_trial_and_mark() -> None:
    record = PartCrashes()
    record.record("i-0", 5.0, {PART: RunAtCrash(0.1)})
    record.record_trials(PART, ["i-0", FATAL_MARK])
    record.retract("i-0", 4.0)
    assert record.take_unfounded() == []
    assert record.trials(PART) == {"i-0", FATAL_MARK}
    assert set(record.crashes(PART)) == {"i-0"}


@dataclass
class FakeCalls:
    """Answers the calls of runners that are alive, and records when each one was called."""

    world: World
    alive: set[str] = field(default_factory=set)
    called: list[tuple[float, str]] = field(default_factory=list)
    error: Exception | None = None

    async def answers(self, runner_id: str, address: str) -> bool:
        """Return whether a runner is alive."""
        self.called.append((self.world.scheduler.now, runner_id))
        await asyncio.sleep(0.001)
        if self.error is not None:
            raise self.error
        return runner_id in self.alive

    def times(self, runner_id: str) -> list[float]:
        """Return when a runner was called."""
        return [at for at, called in self.called if called == runner_id]


def known_crashes(node: Node) -> set[str]:
    """Return the runners that crashed under the part according to the ledger that a node knows."""
    contacts = node.state.runner_crashes.contacts
    return set(node.state.part_ledgers.crashes(PART, contacts.latest))


def start_checks(world: World, node: Node) -> FakeCalls:
    calls = FakeCalls(world)
    checks = CrashChecks(node.state, node.pipeline.runner_crashes, calls, world.scheduler.clock)
    world.scheduler.spawn(world.loop, checks.run())
    return calls


def test_runners_in_ledgers_of_parts_are_called_until_they_answer() -> None:
    world = World(3, 1)
    node = world.nodes["node-0"]
    crashed = frozenset({"i-0", "i-9", FATAL_MARK})
    node.state.apply(PartLedgerChanged(PART, CrashLedger(crashed)), 0.0)
    calls = start_checks(world, node)
    world.run(CHECK_SECONDS)
    assert {runner_id for _, runner_id in calls.called} == {"i-0"}
    assert "i-0" in known_crashes(node)
    calls.alive.add("i-0")
    world.run(FIRST_PAUSE_SECONDS + CHECK_SECONDS)
    assert "i-0" not in known_crashes(node)
    count = len(calls.called)
    world.run(2 * MAX_PAUSE_SECONDS)
    assert len(calls.called) == count
    world.scheduler.close()


# Guards against counts that are kept for hours, after a cut that was longer than all else is kept.
def test_runners_at_counted_crashes_are_called_after_a_long_cut() -> None:
    world = World(6, 1)
    node = world.nodes["node-0"]
    crashes = node.pipeline.runner_crashes
    task = world.scheduler.spawn(world.loop, crashes.run())
    for number in range(3):
        requests = [RequestAtEnd(7, 100, started=False, content=8)]
        notice = RunnerEndNotice(f"i-{number}", 0, requests)
        world.loop.call_soon(crashes.observe, "peer", notice, world.scheduler.now)
        world.run(1.0)
    calls = start_checks(world, node)
    world.run(FATAL_CRASH_RETENTION_SECONDS + 5.0)
    assert node.state.crash_counts.has_reached_bound(7)
    calls.alive.update(world.runners.by_id)
    world.run(3 * MAX_PAUSE_SECONDS)
    assert not node.state.crash_counts.has_reached_bound(7)
    world.loop.call_soon(task.cancel)
    world.run(0.1)
    world.scheduler.close()


def test_a_runner_that_does_not_answer_is_called_less_and_less_often() -> None:
    world = World(3, 1)
    node = world.nodes["node-0"]
    calls = start_checks(world, node)
    notice = RunnerEndNotice("i-1", 0, [], parts=[at_crash()])
    world.loop.call_soon(node.pipeline.runner_crashes.observe, "peer", notice, 0.0)
    world.run(10 * MAX_PAUSE_SECONDS)
    times = calls.times("i-1")
    pauses = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert pauses[:3] == pytest.approx(
        [FIRST_PAUSE_SECONDS * factor for factor in (1, 2, 4)], abs=TICK_SECONDS
    )
    assert pauses[3:] == pytest.approx([MAX_PAUSE_SECONDS] * len(pauses[3:]), abs=TICK_SECONDS)
    node.state.apply(RunnerUnlisted("i-1"), world.scheduler.now)
    world.run(2 * MAX_PAUSE_SECONDS)
    assert len(calls.times("i-1")) == len(times)
    world.scheduler.close()


def test_a_call_that_fails_is_repeated() -> None:
    world = World(3, 1)
    node = world.nodes["node-0"]
    node.state.apply(PartLedgerChanged(PART, CrashLedger(frozenset({"i-0"}))), 0.0)
    calls = start_checks(world, node)
    calls.error = PeerError("no route", step="relay", peer="node-1")
    calls.alive.add("i-0")
    world.run(CHECK_SECONDS)
    calls.error = None
    world.run(FIRST_PAUSE_SECONDS + CHECK_SECONDS)
    assert "i-0" not in known_crashes(node)
    world.scheduler.close()
