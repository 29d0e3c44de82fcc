"""A prompt part that crashes each runner that begins an answer on it, in requests otherwise unlike.

Guards against callers who find no runner because requests that share nothing but one part of their
prompts crash one runner after the other, each as if it were the first.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random

import pytest

from hillstack.core.crash_ledger import CrashLedger
from hillstack.core.part_crashes import TRIAL_PAUSES_SECONDS
from hillstack.core.request_fingerprint import part_name
from hillstack.core.store_revision import StoreRevision
from hillstack.serving.ledger_store import StoredLedger
from hillstack.serving.store_events import PartLedgerChanged
from hillstack.serving.types import RejectedError, Verdict
from tests.fleet.fatal_world import FATAL_PART, NOTICE_SECONDS, Node, World
from tests.fleet.part_traffic import (
    CONTACT_SECONDS,
    FIRST_PART,
    MAX_LATE_SENDS,
    FatalPart,
    PartTraffic,
)
from tests.fleet.test_crash_permits import RestartedWorld

# Sound requests are served at least half as often as before, at the first try.
MIN_SERVED_SHARE = 0.5
# From this time after the fifth crash on they must be.
SETTLED_SECONDS = 2 * CONTACT_SECONDS
SEEDS = range(2)
FATAL_PARTS = ((FIRST_PART, 500), (FATAL_PART, 500), ("own-new", 500))
SOUND_PARTS = ((FIRST_PART, 500), ("own-new", 500))


class LossyWorld(World):
    """Each second notice is lost."""

    sent = 0

    def notice_seconds(self, source: str, node: Node) -> float | None:
        self.sent += 1
        return None if self.sent % 2 else NOTICE_SECONDS


@dataclass
class CrashLoop:
    """Crashes one of the runners after each pause, whatever it runs."""

    world: World
    seed: int
    pause: float

    def __post_init__(self) -> None:
        self._rng = Random(self.seed)
        self._next_at = 1.0

    def step(self, now: float) -> None:
        if now < self._next_at:
            return
        self._next_at += self.pause
        alive = [runner for runner in self.world.runners.by_id.values() if runner.is_alive]
        if alive:
            self._rng.choice(alive).crash()


class SilentStoreWorld(World):
    """The store answers nobody for a while.

    Attributes:
        silent_from: When the store becomes silent.
        silent_until: When it answers again.
    """

    silent_from = float("inf")
    silent_until = float("inf")

    def reaches_store(self, name: str) -> bool:
        return not self.silent_from <= self.scheduler.now < self.silent_until


@contextmanager
def playing(traffic: PartTraffic) -> Iterator[PartTraffic]:
    """End the world of the traffic, and read what it left unread."""
    try:
        yield traffic
    finally:
        traffic.read_errors()
        traffic.world.scheduler.close()


def assert_bounded(traffic: PartTraffic, part_id: str = FATAL_PART) -> None:
    crashes = traffic.crashes(part_id)
    late = traffic.late_sends(part_id)
    assert not traffic.unexpected_errors()
    assert late <= MAX_LATE_SENDS, f"{late} late sends, crashes at {crashes}"


def assert_served(traffic: PartTraffic, since: float) -> None:
    now = traffic.world.scheduler.now
    share = traffic.served_share(since, now - 1.0)
    assert share >= MIN_SERVED_SHARE, f"{share:.2f} of the sound requests were served"


def store_ledger_of_first_part(world: World, ledger: CrashLedger) -> None:
    """Store a ledger of the part that all requests share, as all nodes know."""
    name = part_name(FIRST_PART)
    world.part_ledgers[name] = StoredLedger(ledger, StoreRevision(0, 1))
    for node in world.nodes.values():
        node.state.apply(PartLedgerChanged(name, ledger), 0.0)


def first_crashes(traffic: PartTraffic, seconds: float = 6.0) -> float:
    """Run until the crashes that are allowed have happened; return the time of the last one."""
    traffic.run(seconds)
    crashes = traffic.crashes()
    return crashes[min(len(crashes), 5) - 1]


def assert_stopped(traffic: PartTraffic, seconds: float = 14.0) -> None:
    """Check both promises some seconds after the crashes that are allowed."""
    fifth = first_crashes(traffic)
    traffic.run(seconds)
    assert_bounded(traffic)
    assert_served(traffic, fifth + SETTLED_SECONDS)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("per_second", [1.0, 8.0])
@pytest.mark.parametrize(("before", "after"), [(0, 0), (1, 0), (1, 2), (None, 1)])
def test_a_part_in_any_place_is_sent_at_most_three_times_after_five_crashes(
    seed: int, per_second: float, before: int | None, after: int
) -> None:
    world = World(8, 4, lists_later_nodes=True)
    part = FatalPart(per_second=per_second, before=before, after=after)
    with playing(PartTraffic(world, seed, [part])) as traffic:
        assert_stopped(traffic)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_part_of_requests_that_may_run_once_is_bounded_too(seed: int) -> None:
    world = World(8, 4, lists_later_nodes=True)
    with playing(PartTraffic(world, seed, path="/once/x")) as traffic:
        assert_stopped(traffic)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_part_of_requests_without_cache_is_bounded_too(seed: int) -> None:
    world = World(8, 4, application=True, lists_later_nodes=True)
    with playing(PartTraffic(world, seed)) as traffic:
        assert_stopped(traffic)


@pytest.mark.parametrize("seed", SEEDS)
def test_two_parts_at_a_time_are_bounded_each(seed: int) -> None:
    world = World(12, 6, lists_later_nodes=True)
    parts = [FatalPart("fatal-1"), FatalPart("fatal-2", before=2)]
    with playing(PartTraffic(world, seed, parts)) as traffic:
        traffic.run(20.0)
        for part in parts:
            assert_bounded(traffic, part.part_id)
        assert_served(traffic, 6.0 + SETTLED_SECONDS)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("pause", [20.0, 70.0, 150.0])
def test_a_part_is_bounded_after_a_pause_without_it(seed: int, pause: float) -> None:
    world = World(10, 4, lists_later_nodes=True)
    part = FatalPart()
    with playing(PartTraffic(world, seed, [part], sound_per_second=20.0)) as traffic:
        first_crashes(traffic)
        traffic.run(8.0)
        part.per_second = 0.0
        traffic.run(pause)
        part.per_second = 3.0
        traffic.run(30.0)
        assert_bounded(traffic)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("per_second", [3.0, 40.0])
def test_a_part_is_bounded_after_all_nodes_were_restarted(seed: int, per_second: float) -> None:
    world = RestartedWorld(10, 4, lists_later_nodes=True)
    part = FatalPart(per_second=per_second)
    with playing(PartTraffic(world, seed, [part])) as traffic:
        fifth = first_crashes(traffic, 4.0)
        for _ in range(3):
            traffic.run(5.0)
            world.restart_all_nodes()
        traffic.run(10.0)
        assert_bounded(traffic)
        assert_served(traffic, fifth + 15.0 + SETTLED_SECONDS)


# Guards against nodes that send a part whose trials are used up because they have not yet seen any
# request succeed.
@pytest.mark.parametrize("pause", [0.5, 0.8, 1.2])
def test_a_part_is_bounded_while_all_nodes_restart_in_series(pause: float) -> None:
    world = RestartedWorld(10, 4, lists_later_nodes=True)
    with playing(PartTraffic(world, 0, [FatalPart(per_second=8.0)])) as traffic:
        traffic.run(0.4)
        for _ in range(round(8.0 / pause)):
            world.restart_all_nodes()
            traffic.run(pause)
        traffic.run(6.0)
        assert_bounded(traffic)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_part_is_bounded_after_the_ledgers_were_lost(seed: int) -> None:
    world = World(10, 4, lists_later_nodes=True)
    with playing(PartTraffic(world, seed)) as traffic:
        first_crashes(traffic)
        for _ in range(4):
            world.lose_ledgers()
            traffic.run(20.0)
        assert_bounded(traffic)


# Nodes that have started since know the crashes only from the ledger that is lost.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_part_is_bounded_if_the_ledgers_are_lost_after_all_nodes_were_restarted(
    seed: int,
) -> None:
    world = RestartedWorld(10, 4, lists_later_nodes=True)
    with playing(PartTraffic(world, seed, [FatalPart(per_second=20.0)])) as traffic:
        first_crashes(traffic)
        for _ in range(2):
            world.restart_all_nodes()
            traffic.run(4.0)
            world.lose_ledgers()
            traffic.run(6.0)
        assert_bounded(traffic)


# Guards against permits of killed nodes that keep a sound part from being tried, for hours.
@pytest.mark.parametrize("crashed", [[], ["i-8"]])
def test_a_sound_part_is_served_after_nodes_were_killed_during_its_trials(
    crashed: list[str],
) -> None:
    world = World(8, 2, lists_later_nodes=True)
    permits = frozenset({"node-7/1.0/1", "node-8/1.0/1"})
    ledger = CrashLedger(frozenset(crashed), permits)
    store_ledger_of_first_part(world, ledger)
    with playing(PartTraffic(world, 1, [], sound_per_second=5.0)) as traffic:
        traffic.run(SETTLED_SECONDS + 3.0)
        assert traffic.served_share(SETTLED_SECONDS, SETTLED_SECONDS + 2.0) == 1.0


# Guards against a trial that waits for a permit again at each runner that is gone.
def test_a_trial_that_a_runner_refuses_goes_to_another_one_under_the_same_permit() -> None:
    world = World(8, 2, lists_later_nodes=True)
    ledger = CrashLedger(frozenset(), frozenset({"node-7/1.0/1"}))
    store_ledger_of_first_part(world, ledger)
    for number in range(3):
        world.runners.by_id[f"i-{number}"].crash()
    outcome = world.try_until_done("node-0", b"short new", within=2.5, parts=SOUND_PARTS)
    world.scheduler.close()
    assert outcome.is_served


@pytest.mark.parametrize("seed", SEEDS)
def test_a_part_is_bounded_at_nodes_that_join(seed: int) -> None:
    world = RestartedWorld(10, 2, lists_later_nodes=True)
    with playing(PartTraffic(world, seed)) as traffic:
        first_crashes(traffic)
        for number in range(2, 5):
            world.add_node(f"node-{number}")
            traffic.run(6.0)
        assert_bounded(traffic)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_part_is_bounded_while_the_store_is_silent(seed: int) -> None:
    world = SilentStoreWorld(10, 4, lists_later_nodes=True)
    world.silent_from, world.silent_until = 0.0, 10.0
    with playing(PartTraffic(world, seed)) as traffic:
        assert_stopped(traffic, 20.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_part_is_bounded_where_a_node_was_cut_off(seed: int) -> None:
    world = World(10, 4, lists_later_nodes=True)
    with playing(PartTraffic(world, seed)) as traffic:
        world.partitioned_nodes = {"node-3"}
        traffic.run(3.0)
        world.partitioned_nodes = set()
        first_crashes(traffic)
        traffic.run(14.0)
        assert_bounded(traffic)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_part_is_bounded_where_each_second_notice_is_lost(seed: int) -> None:
    world = LossyWorld(10, 4, lists_later_nodes=True)
    with playing(PartTraffic(world, seed)) as traffic:
        first_crashes(traffic)
        traffic.run(14.0)
        assert_bounded(traffic)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_part_is_bounded_at_a_node_that_serves_nothing_else(seed: int) -> None:
    world = World(10, 4, lists_later_nodes=True)
    with playing(PartTraffic(world, seed)) as traffic:
        first_crashes(traffic)
        traffic.fatal_at, traffic.sound_at = "node-3", "node-0"
        traffic.run(14.0)
        assert_bounded(traffic)


# Guards against a part in all requests that is taken for the cause while a whole service crashes.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("pause", [0.4, 1.5])
def test_requests_with_a_common_part_are_served_after_their_service_has_crashed(
    seed: int, pause: float
) -> None:
    world = World(8, 4, lists_later_nodes=True)
    with playing(PartTraffic(world, seed, [], sound_per_second=20.0)) as traffic:
        crashes = CrashLoop(world, seed, pause)
        traffic.run(10.0, crashes.step)
        traffic.run(6.0)
        assert traffic.served_share(12.0, 15.0) == 1.0


def test_a_request_with_a_fatal_part_is_rejected_as_not_run_with_the_time_to_come_back() -> None:
    world = World(8, 4, lists_later_nodes=True)
    with playing(PartTraffic(world, 1)) as traffic:
        traffic.run(5.0)
        outcome = world.try_until_done("node-0", b"new", parts=FATAL_PARTS)
        error = outcome.error
        assert isinstance(error, RejectedError)
        assert error.verdict is Verdict.UNAVAILABLE
        assert error.retry_after is not None
        assert 1.0 < error.retry_after <= max(TRIAL_PAUSES_SECONDS)
        assert world.try_until_done("node-0", b"short new", parts=SOUND_PARTS).is_served


# Requests that run for 2 s are nearly all cut short by the crashes, so that little shows which is
# sound.
@pytest.mark.parametrize(
    ("nodes", "sound_per_second", "per_second", "seed"),
    [
        pytest.param(2, 4.0, 1.0, 4, id="few"),
        pytest.param(2, 4.0, 3.0, 1, id="more"),
        pytest.param(4, 2.0, 3.0, 0, id="many"),
        pytest.param(4, 2.0, 3.0, 1, id="none-succeeds"),
    ],
)
def test_a_part_is_bounded_where_long_requests_come_seldom(
    nodes: int, sound_per_second: float, per_second: float, seed: int
) -> None:
    world = World(8, nodes, application=True, lists_later_nodes=True)
    world.runners.events[b"short"] = 100
    part = FatalPart(per_second=0.0, before=0)
    with playing(PartTraffic(world, seed, [part], sound_per_second)) as traffic:
        traffic.run(3.0)
        part.per_second = per_second
        traffic.run(17.0)
        assert_bounded(traffic)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("per_second", [3.0, 8.0])
def test_a_part_is_bounded_beside_few_long_streams(seed: int, per_second: float) -> None:
    world = World(8, 4, lists_later_nodes=True)
    world.runners.events[b"short"] = 100
    part = FatalPart(per_second=0.0)
    with playing(PartTraffic(world, seed, [part], sound_per_second=4.0)) as traffic:
        traffic.run(3.0)
        part.per_second = per_second
        traffic.run(17.0)
        assert_bounded(traffic)
        assert_served(traffic, 12.0)
