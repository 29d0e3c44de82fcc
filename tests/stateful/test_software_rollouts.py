"""Stateful test of rollouts: the operator is notified correctly despite faults of lease holders."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hillstack.core.rollout_plan import is_decided
from hillstack.core.software_rollouts import RolloutStage
from hillstack.core.store_revision import StoreRevision
from tests.fleet.builders import APPLICATION
from tests.fleet.rollout_bench import (
    LEASE_TTL_SECONDS,
    NEW,
    NEWER,
    OVER_SECONDS,
    RUNNERS_PER_VERSION,
    RolloutBench,
)

NAMES = ("node-a", "node-b", "node-c")
# After any faults, all messages are received and all records written within this time.
SETTLE_SECONDS = OVER_SECONDS + 2 * LEASE_TTL_SECONDS + 4.0
# Within this time a node's report has reached all others, and an earlier write has finished.
PROPAGATION_SECONDS = 2.0
MAX_NODES = 9


class RolloutMachine(RuleBasedStateMachine):
    """Three nodes; without further faults each current order is decided once and correctly."""

    def __init__(self) -> None:
        super().__init__()
        self.bench = RolloutBench(*NAMES)
        for n in range(RUNNERS_PER_VERSION):
            self.bench.list_runner(f"newer-{n}", NEWER)
        self.always_bad: set[StoreRevision] = set()
        self.withdrawn: set[StoreRevision] = set()
        self.notified_when_withdrawn: dict[StoreRevision, int] = {}
        self.busy_since: dict[str, float] = {}

    @rule(seconds=st.sampled_from([2.0, 4.0, 8.0]))
    def pass_long(self, seconds: float) -> None:
        self.pass_time(seconds)

    @rule(seconds=st.sampled_from([0.5, 1.0, 2.0]))
    def pass_time(self, seconds: float) -> None:
        before = len(self.bench.store.statuses)
        self.bench.run(seconds)
        self.check_old_runners(before)

    def is_undecided(self) -> bool:
        order = self.bench.store.order
        return order is not None and not is_decided(order, self.bench.store.record)

    @rule(
        version=st.sampled_from([NEW, NEWER]),
        failing=st.sampled_from([0.0, 0.6]),
        change=st.integers(0, 5),
    )
    def order(self, version: str, failing: float, change: int) -> None:
        """Give an order; an undecided order is rarely replaced."""
        if self.is_undecided() and change:
            self.pass_time(1.0)
            return
        self.end_order()
        self.bench.failing = failing
        order = self.bench.order(version)
        if failing:
            self.always_bad.add(order.revision)

    @rule(change=st.integers(0, 3))
    def withdraw(self, change: int) -> None:
        if change:
            self.pass_time(1.0)
            return
        self.end_order()
        self.bench.withdraw()

    def end_order(self) -> None:
        """Record the number of notifications of an order when it is replaced or withdrawn."""
        order = self.bench.store.order
        if order is not None:
            self.withdrawn.add(order.revision)
            self.notified_when_withdrawn[order.revision] = self.status_count(order.revision)

    def status_count(self, revision: StoreRevision) -> int:
        return self.bench.store.status_order_revisions.count(revision)

    @precondition(lambda self: len(self.bench.nodes) < MAX_NODES)
    @rule(which=st.integers(0, 2))
    def restart(self, which: int) -> None:
        alive = [node for node in self.bench.nodes if node.alive]
        node = alive[which % len(alive)]
        self.bench.kill(node)
        self.busy_since.pop(node.name, None)
        self.bench.add_node(node.name)

    @precondition(lambda self: len(self.bench.nodes) < MAX_NODES)
    @rule()
    def kill_holder(self) -> None:
        holder = self.bench.holder()
        if holder is not None:
            self.bench.kill(holder)
            self.busy_since.pop(holder.name, None)
            self.bench.add_node(holder.name)

    @rule()
    def pause_holder(self) -> None:
        holder = self.bench.holder()
        if holder is not None:
            holder.loop.frozen = True

    @rule()
    def wake_all(self) -> None:
        for node in self.bench.nodes:
            if node.alive:
                node.loop.frozen = False

    @rule(which=st.integers(0, 2), hears=st.booleans())
    def cut_from_store(self, which: int, hears: bool) -> None:
        alive = [node for node in self.bench.nodes if node.alive]
        alive[which % len(alive)].receives_store_events = hears

    @rule(down=st.booleans())
    def set_store_down(self, down: bool) -> None:
        self.bench.store.is_down = down

    @rule(lose=st.integers(0, 2))
    def lose_answers(self, lose: int) -> None:
        self.bench.store.answers_to_lose = lose

    @rule()
    def hold_a_write(self) -> None:
        self.bench.store.writes_to_delay = 1

    @rule()
    def let_late_writes_go(self) -> None:
        delayed, self.bench.store.delayed_writes = self.bench.store.delayed_writes, []
        for write in delayed:
            self.bench.store.apply_write(*write)

    @rule(which=st.integers(0, 2), running=st.sampled_from([0, 2]))
    def use_old_runners(self, which: int, running: int) -> None:
        alive = [node for node in self.bench.nodes if node.alive]
        node = alive[which % len(alive)]
        node.old_running = running
        if running:
            self.busy_since.setdefault(node.name, self.bench.scheduler.now)
        else:
            self.busy_since.pop(node.name, None)

    def check_old_runners(self, before: int) -> None:
        """Check that no connected node used old runners when a rollout was reported complete."""
        for at, state, _ in self.bench.store.statuses[before:]:
            if state != "complete":
                continue
            for node in self.bench.nodes:
                since = self.busy_since.get(node.name, at)
                if (
                    node.is_reporting()
                    and node.receives_store_events
                    and at - since >= PROPAGATION_SECONDS
                ):
                    assert not node.old_running

    @invariant()
    def notifications_of_each_order_come_in_order(self) -> None:
        for revision in set(self.bench.store.status_order_revisions):
            states = [
                status[1]
                for status, of in zip(
                    self.bench.store.statuses, self.bench.store.status_order_revisions, strict=True
                )
                if of == revision
            ]
            begun = [state for state in states if state == "running"]
            assert states[0] == "running" and len(states) - len(begun) <= 1
            assert states[-1] != "running" or len(begun) == len(states)

    @invariant()
    def a_version_that_was_always_bad_is_never_complete(self) -> None:
        for status, of in zip(
            self.bench.store.statuses, self.bench.store.status_order_revisions, strict=True
        ):
            assert not (of in self.always_bad and status[1] == "complete")

    @invariant()
    def no_notification_follows_the_end_of_an_order(self) -> None:
        for revision, count in self.notified_when_withdrawn.items():
            assert self.status_count(revision) == count

    @invariant()
    def the_record_only_goes_forward(self) -> None:
        rank = list(RolloutStage)
        records = [record for _, record in self.bench.store.records]
        for earlier, later in pairwise(records):
            if earlier.order_revision == later.order_revision:
                assert rank.index(earlier.stage) <= rank.index(later.stage)
            else:
                assert earlier.order_revision < later.order_revision

    def teardown(self) -> None:
        store = self.bench.store
        store.is_down, store.answers_to_lose, store.writes_to_delay = False, 0, 0
        for node in self.bench.nodes:
            node.receives_store_events = True
        self.wake_all()
        self.let_late_writes_go()
        # No more faults, but some requests still run at old runners.
        self.pass_time(SETTLE_SECONDS)
        for node in self.bench.nodes:
            node.old_running = 0
        self.busy_since.clear()
        self.bench.run(SETTLE_SECONDS)
        order = store.order
        if order is not None:
            assert is_decided(order, store.record)
            assert self.status_count(order.revision) >= 2
        assert store.holder() is None
        for node in self.bench.nodes:
            if node.alive:
                assert node.state.rollouts.record(APPLICATION) == store.record
        self.notifications_of_each_order_come_in_order()
        self.a_version_that_was_always_bad_is_never_complete()
        self.the_record_only_goes_forward()
        self.bench.scheduler.close()


TestRollouts = RolloutMachine.TestCase
TestRollouts.settings = settings(max_examples=60, stateful_step_count=20, deadline=None)
