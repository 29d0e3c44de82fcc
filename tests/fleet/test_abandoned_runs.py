"""A permit counts until its runner has survived the run, also if the run was abandoned.

Guards against a fourth crash: a run was aborted, or its caller left, while its runner had crashed
without breaking the connection yet. A second later the permit was removed from the ledger as if the
runner had survived, and the crash was in no ledger.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from hillstack.core.crash_ledger import CrashLedger, SendOutcome
from hillstack.serving.permitted_sends import PermittedSend, PermittedSends
from hillstack.serving.run_survival import MAX_CHECKS
from tests.fleet.fatal_world import World

BODY = b"fatal 1"
INNOCENT = b"long 1"
# A route that sends a request at most once.
SENT_ONCE = "/once/x"
SILENT_SECONDS = 0.7


@pytest.fixture
def world() -> Iterator[World]:
    made = World(20, 2)
    yield made
    made.scheduler.close()


def ledger_of(world: World) -> CrashLedger:
    (stored,) = world.ledgers.values()
    return stored.ledger


def test_a_runner_that_crashed_silently_before_its_caller_left_keeps_its_permit(
    world: World,
) -> None:
    world.silent_seconds["node-0"] = SILENT_SECONDS
    world.send("node-1", BODY, path=SENT_ONCE)
    world.run(0.5)
    tried = world.send("node-0", BODY, path=SENT_ONCE)
    while world.runners.crash_count(BODY) < 2:
        world.run(0.005)
    world.loop.call_soon(tried.task.cancel)
    world.run(MAX_CHECKS + 2.0)
    ledger = ledger_of(world)
    assert len(ledger.crashed) + len(ledger.permits) == 2


def test_a_runner_that_survives_a_run_whose_caller_left_gives_the_permit_back(
    world: World,
) -> None:
    tried = world.send("node-0", INNOCENT)
    world.run(0.05)
    busy = max(world.runners.by_id.values(), key=lambda runner: len(runner.running_bodies))
    busy.crash()
    world.run(0.1)
    assert ledger_of(world).permits
    world.loop.call_soon(tried.task.cancel)
    world.run(2.0)
    ledger = ledger_of(world)
    assert ledger.crashed == {busy.runner_id}
    assert not ledger.permits


def test_a_refused_send_is_over_although_its_runner_crashed_before() -> None:
    sends = PermittedSends([PermittedSend("p-1")])
    sends.sent("i-0")
    sends.finished("i-0", 1.0, may_still_run=False)
    assert sends.outcome({"i-0"}, lambda _: False) == SendOutcome(frozenset({"p-1"}))


def test_an_abandoned_send_is_open_until_its_runner_crashes_or_survives() -> None:
    sends = PermittedSends([PermittedSend("p-1")])
    sends.sent("i-0")
    sends.finished("i-0", 1.0, may_still_run=True)
    assert [send.permit for send in sends.abandoned()] == ["p-1"]
    assert sends.outcome((), lambda _: False) == SendOutcome()
    crashed = sends.outcome({"i-0"}, lambda _: False)
    assert crashed == SendOutcome(frozenset({"p-1"}), frozenset({"i-0"}))
    assert sends.outcome({"i-0"}, lambda _: True) == SendOutcome(frozenset({"p-1"}))
    sends.recorded(crashed)
    assert not sends
