"""Permits bound the runners that one request crashes, whatever the nodes know of one another.

The tests guard against callers whose streams break because one request crashed four runners after
all nodes were restarted, or through nodes that are cut off from each other.
"""

from __future__ import annotations

import gc

import pytest

from hillstack.core.crash_ledger import MAX_CRASHES, MAX_RETENTION_SECONDS
from hillstack.serving.crash_permits import ISOLATED_RETRY_SECONDS
from hillstack.serving.types import RejectedError, Verdict
from tests.fleet.fatal_world import World

BODY = b"fatal 1"
INNOCENT = b"short 1"


class RestartedWorld(World):
    """All nodes are killed and started again from time to time.

    Attributes:
        is_store_down: Whether the store answers no node.
    """

    is_store_down = False
    are_regions_cut = False

    def reaches_store(self, name: str) -> bool:
        return not self.is_store_down

    def is_isolated(self, name: str) -> bool:
        return self.are_regions_cut

    def restart_all_nodes(self) -> None:
        names = list(self.nodes)
        self.nodes.clear()
        for name in names:
            self.add_node(name)

    def close(self) -> None:
        self.scheduler.close()
        self.nodes.clear()
        gc.collect()


@pytest.mark.parametrize("tries_between", [1, 2, 3])
@pytest.mark.parametrize("path", ["", "/once/x"])
def test_a_request_crashes_at_most_three_runners_while_all_nodes_restart(
    tries_between: int, path: str
) -> None:
    world = RestartedWorld(runners=20, nodes=3)
    for _ in range(6):
        for number in range(tries_between):
            world.send(f"node-{number}", BODY, path=path)
            world.run(0.5)
        world.restart_all_nodes()
        world.run(0.3)
    crashes = world.runners.crash_count(BODY)
    world.close()
    assert crashes <= MAX_CRASHES


def test_a_request_without_a_permit_is_rejected_as_not_run_with_the_time_to_come_back() -> None:
    world = RestartedWorld(runners=20, nodes=3)
    for _ in range(4):
        world.try_until_done("node-0", BODY)
        world.run(0.2)
        world.restart_all_nodes()
    sent_at = world.scheduler.now
    error = world.try_until_done("node-0", BODY).error
    waited = world.scheduler.now - sent_at
    world.close()
    assert waited < 0.2
    assert isinstance(error, RejectedError)
    assert error.verdict is Verdict.UNAVAILABLE
    assert error.retry_after == MAX_RETENTION_SECONDS


# Guards against a fourth crash through a node that started after two of them, and whose store
# fails after the third.
def test_the_bound_holds_when_the_store_fails_after_all_nodes_restarted() -> None:
    world = RestartedWorld(runners=20, nodes=3)
    world.try_until_done("node-0", BODY)
    world.run(0.5)
    world.restart_all_nodes()
    world.try_until_done("node-1", BODY)
    world.is_store_down = True
    for _ in range(3):
        for name in world.nodes:
            world.try_until_done(name, BODY)
    crashes = world.runners.crash_count(BODY)
    world.close()
    assert crashes <= MAX_CRASHES


def test_an_innocent_suspect_is_served_while_the_store_is_down() -> None:
    world = RestartedWorld(runners=6, nodes=2)
    world.is_store_down = True
    outcome = world.send("node-0", INNOCENT)
    world.run(0.05)
    busy = max(world.runners.by_id.values(), key=lambda runner: len(runner.running_bodies))
    busy.crash()
    world.run(2.0)
    is_served = outcome.is_served
    world.close()
    assert is_served


def test_a_node_without_the_store_and_the_other_regions_sends_no_suspect_again() -> None:
    world = RestartedWorld(runners=6, nodes=2)
    world.is_store_down = world.are_regions_cut = True
    world.try_until_done("node-0", BODY)
    again = world.try_until_done("node-0", BODY)
    crashes = world.runners.crash_count(BODY)
    error = again.error
    world.close()
    assert crashes == 1
    assert isinstance(error, RejectedError)
    assert error.retry_after == ISOLATED_RETRY_SECONDS


def test_a_successful_run_removes_the_ledger() -> None:
    world = RestartedWorld(runners=6, nodes=2)
    outcome = world.send("node-0", INNOCENT)
    world.run(0.05)
    busy = max(world.runners.by_id.values(), key=lambda runner: len(runner.running_bodies))
    busy.crash()
    world.run(0.06)
    had_ledger = bool(world.ledgers)
    world.run(2.0)
    ledgers, is_served = dict(world.ledgers), outcome.is_served
    world.close()
    assert had_ledger
    assert is_served
    assert not ledgers


def test_a_caller_that_leaves_gives_its_permit_back() -> None:
    world = RestartedWorld(runners=6, nodes=2)
    outcome = world.send("node-0", b"long 1")
    world.run(0.05)
    busy = max(world.runners.by_id.values(), key=lambda runner: len(runner.running_bodies))
    busy.crash()
    world.run(0.1)
    outcome.task.cancel()
    world.run(2.0)
    permits = [permit for stored in world.ledgers.values() for permit in stored.ledger.permits]
    world.close()
    assert permits == []


def test_a_crash_is_recorded_once_the_store_answers_again() -> None:
    world = RestartedWorld(runners=6, nodes=2)
    world.is_store_down = True
    world.try_until_done("node-0", BODY)
    world.run(2.0)
    world.is_store_down = False
    world.run(1.0)
    crashed = [len(stored.ledger.crashed) for stored in world.ledgers.values()]
    crashes = world.runners.crash_count(BODY)
    world.close()
    assert crashed == [crashes]


# Guards against a fourth crash where several fatal requests crash runners at the same time, which
# looks like a failed rack, and all nodes restart after that.
def test_requests_that_crash_runners_together_crash_at_most_three_each_across_a_restart() -> None:
    world = RestartedWorld(runners=40, nodes=3)
    bodies = [b"fatal %d" % number for number in range(4)]
    for _ in range(3):
        for number, body in enumerate(bodies):
            # Without a part in common, which would bound the four together.
            parts = ((f"first-{number}", 2_000), ("own", 500))
            world.send(f"node-{number % 3}", body, parts=parts)
            world.run(0.05)
        world.run(1.5)
        world.restart_all_nodes()
    crashes = [world.runners.crash_count(body) for body in bodies]
    world.close()
    assert max(crashes) <= MAX_CRASHES
