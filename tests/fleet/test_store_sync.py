"""Synchronization with the store: changes, freshness, lost history and outages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

import pytest

from hillstack.core.freshness import Freshness
from hillstack.core.node_directory import NodeEntry
from hillstack.core.relay_choice import RelayChoice
from hillstack.core.store_revision import StoreRevision
from hillstack.core.weights_versions import WeightsVersions
from hillstack.daemon.change_log import ChangeLog, ListedKeys, StoreChange, StoredItem
from hillstack.daemon.store_relay import RelayedChanges
from hillstack.daemon.store_sync import WATCH_WAIT_SECONDS, StoreSync
from hillstack.errors import (
    HistoryLostError,
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformThrottledError,
    PlatformUnavailableError,
)
from hillstack.platform.store import CALL_LIMIT_SECONDS, Changes, Snapshot
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.store_events import (
    NodeListed,
    NodeUnlisted,
    RunnerListed,
    RunnerUnlisted,
    StoreEvent,
    WeightsNamed,
)
from hillstack.simulation.virtual_loop import Scheduler
from tests.fleet.builders import (
    APPLICATION,
    ENGINES,
    MODEL,
    VERSION_GRACE_SECONDS,
    make_budget,
    make_entry,
    make_rng,
    make_route,
    make_state,
    make_table,
    rev,
)


def key_of(event: StoreEvent) -> str:
    match event:
        case RunnerListed(entry):
            return f"runner/{entry.runner_id}"
        case RunnerUnlisted(runner_id):
            return f"runner/{runner_id}"
        case NodeListed(node_id) | NodeUnlisted(node_id):
            return f"node/{node_id}"
        case _:
            return type(event).__name__


def as_changes(events: list[StoreEvent], first_revision: int = 1) -> list[StoreChange]:
    """Return changes with one revision each; each value is the text form of its event."""
    changes = []
    for revision, event in enumerate(events, first_revision):
        is_removed = isinstance(event, RunnerUnlisted | NodeUnlisted)
        value = None if is_removed else repr(event).encode()
        changes.append(StoreChange(StoredItem(key_of(event), rev(revision), value), event))
    return changes


@dataclass
class FakeStore:
    """A store with scripted answers."""

    snapshots: list[Snapshot] = field(default_factory=list)
    listed_nodes: set[str] = field(default_factory=set)
    pending: list[StoreEvent] = field(default_factory=list)
    failure: PlatformError | None = None
    announced: list[str] = field(default_factory=list)
    meanings: dict[bytes | None, StoreEvent] = field(default_factory=dict)
    calls: int = 0
    loads: int = 0
    held: dict[str, StoreChange] = field(default_factory=dict)
    loaded_snapshot: Snapshot | None = None
    history: list[StoreChange] = field(default_factory=list)
    revision: int = 0
    unanswered_polls: int = 0
    # Whether polls return no changes although changes are made.
    hides_changes: bool = False

    async def snapshot(self, *, allow_stale: bool = False) -> Snapshot:
        self.calls += 1
        self.loads += 1
        if isinstance(self.failure, PlatformUnavailableError):
            raise self.failure
        self._load_snapshot()
        self._apply_pending()
        return Snapshot(list(self.held.values()), rev(self.revision), rev(self.revision))

    async def changes(self, revision: StoreRevision, wait_seconds: float) -> Changes:
        self.calls += 1
        if self.failure is not None:
            raise self.failure
        if self.unanswered_polls > 0:
            self.unanswered_polls -= 1
            await asyncio.sleep(wait_seconds + CALL_LIMIT_SECONDS)
            raise PlatformOutcomeUnknownError("no answer", step="watch", peer="store")
        if self.hides_changes:
            seen_changes = len(self.history)
            self._apply_pending()
            del self.history[seen_changes:]
            return Changes([], rev(self.revision))
        self._apply_pending()
        newer = [change for change in self.history if change.item.revision > revision]
        return Changes(newer, rev(self.revision))

    def _load_snapshot(self) -> None:
        scripted = self.snapshots[0]
        if scripted is not self.loaded_snapshot:
            self.loaded_snapshot = scripted
            self.held = {change.item.key: change for change in scripted.changes}
            self.revision = scripted.revision.number

    def _apply_pending(self) -> None:
        events, self.pending = self.pending, []
        changes = as_changes(events, self.revision + 1)
        self.revision += len(events)
        self.history += changes
        for change in changes:
            self.held.pop(change.item.key, None)
            if change.item.value is not None:
                self.held[change.item.key] = change

    async def announce_node(self, node: NodeEntry) -> StoreRevision:
        self.announced.append(f"{node.address} {node.zone}")
        self.listed_nodes.add(node.node_id)
        self.pending.append(NodeListed(node.node_id, node.address, node.zone))
        return rev(11)

    def read_items(self, items: Iterable[StoredItem]) -> list[StoreChange]:
        return [StoreChange(item, self.meanings.get(item.value)) for item in items]

    def listed(self, keys: Iterable[str]) -> ListedKeys:
        runner_ids = {key.removeprefix("runner/") for key in keys if key.startswith("runner/")}
        return ListedKeys(runner_ids, set(self.listed_nodes), False)


@dataclass
class Bench:
    """The store sync of one node with a scripted store, in virtual time."""

    state: FleetState
    store: FakeStore
    scheduler: Scheduler
    is_lagging: bool = False

    def run(self, seconds: float) -> None:
        self.scheduler.run_until(self.scheduler.now + seconds)


@dataclass
class FakePeers:
    """Peers with scripted answers."""

    answers: dict[str, RelayedChanges | None] = field(default_factory=dict)
    asked: list[str] = field(default_factory=list)

    async def ask(self, node_id: str, revision: StoreRevision) -> RelayedChanges | None:
        self.asked.append(node_id)
        return self.answers.get(node_id)


def make_sync(
    store: FakeStore,
    state: FleetState,
    scheduler: Scheduler,
    peers: FakePeers | None = None,
    is_lagging: Callable[[], bool] = lambda: False,
) -> StoreSync:
    return StoreSync(
        store,
        state,
        ChangeLog(),
        peers or FakePeers(),
        RelayChoice(state.node_id, state.nodes),
        NodeEntry(state.node_id, "10.0.0.1:1", "zone-a"),
        1.0,
        scheduler.clock,
        make_rng(),
        is_lagging,
    )


@pytest.fixture
def bench() -> Iterator[Bench]:
    state = make_state(make_table(make_route()))
    entries = [make_entry("i-1"), make_entry("i-2", ENGINES, weights=1)]
    events: list[StoreEvent] = [RunnerListed(entry) for entry in entries]
    store = FakeStore([Snapshot(as_changes(events), rev(10), rev(10))])
    scheduler = Scheduler()
    bench = Bench(state, store, scheduler)
    sync = make_sync(store, state, scheduler, is_lagging=lambda: bench.is_lagging)
    scheduler.spawn(scheduler.new_loop(), sync.run())
    scheduler.run_until(0.5)
    yield bench
    scheduler.close()


def accepting(bench: Bench) -> list[str]:
    now = bench.scheduler.now
    runners = [*bench.state.pool.accepting(APPLICATION, now)]
    return [runner.runner_id for runner in runners]


def test_calls_are_paced_and_prove_freshness(bench: Bench) -> None:
    bench.run(10.0)
    assert bench.store.calls <= 12
    assert bench.state.freshness.age(bench.scheduler.now) <= 1.1
    assert bench.store.announced == ["10.0.0.1:1 zone-a"]


def test_a_removed_runner_gets_no_work_at_once(bench: Bench) -> None:
    bench.store.pending.append(RunnerUnlisted("i-1"))
    bench.run(1.1)
    assert accepting(bench) == []


def test_lost_history_reloads_the_whole_store(bench: Bench) -> None:
    bench.store.failure = HistoryLostError("history gone", step="watch", peer="store")
    bench.store.snapshots[0] = Snapshot(
        as_changes([RunnerListed(make_entry("i-2", ENGINES, weights=1))]),
        rev(99),
        rev(99),
    )
    bench.run(1.5)
    assert 2 <= bench.store.loads <= 4
    assert accepting(bench) == []


def test_an_outage_keeps_runners_and_ends_freshness(bench: Bench) -> None:
    bench.store.failure = PlatformUnavailableError("down", step="watch", peer="store")
    bench.run(5.0)
    assert accepting(bench) == ["i-1"]
    assert not bench.state.freshness.is_fresh(bench.scheduler.now)


def test_a_poll_over_a_broken_connection_keeps_freshness(bench: Bench) -> None:
    # The peer has no answer either: a failure that breaks all open connections breaks its own too.
    bench.state.apply(NodeListed("node-2", "10.0.0.2:1", "zone-a"), bench.scheduler.now)
    bench.run(2.0)
    for _ in range(5):
        bench.store.unanswered_polls = 1
        oldest = 0.0
        for _ in range(100):
            bench.run(0.1)
            oldest = max(oldest, bench.state.freshness.age(bench.scheduler.now))
        assert bench.store.unanswered_polls == 0
        assert oldest <= 1.2 + WATCH_WAIT_SECONDS + CALL_LIMIT_SECONDS


def test_a_store_that_never_answers_is_not_polled_twice_each_time(bench: Bench) -> None:
    bench.state.apply(NodeListed("node-2", "10.0.0.2:1", "zone-a"), bench.scheduler.now)
    bench.run(2.0)
    before = bench.store.calls
    bench.store.unanswered_polls = 1_000
    bench.run(20.0)
    assert bench.store.calls - before <= 8


def test_runners_whose_entries_expired_in_an_outage_stay_in_use_until_relisted(
    bench: Bench,
) -> None:
    runner = bench.state.pool.get("i-1")
    bench.store.failure = PlatformUnavailableError("down", step="watch", peer="store")
    bench.run(4.0)
    bench.store.failure = None
    bench.store.pending = [RunnerUnlisted("i-1"), RunnerUnlisted("i-2")]
    bench.run(1.0)
    assert accepting(bench) == ["i-1"]
    bench.store.pending = [RunnerListed(make_entry("i-1", revision=50))]
    bench.run(5.0)
    assert accepting(bench) == ["i-1"]
    assert bench.state.pool.get("i-1") is runner
    assert bench.state.pool.get("i-2") is None


def test_a_relisted_runner_keeps_its_state(bench: Bench) -> None:
    runner = bench.state.pool.get("i-2")
    assert runner is not None
    bench.state.pool.observe_weights(runner, MODEL, 3)
    bench.store.pending = [RunnerUnlisted("i-2")]
    bench.run(1.1)
    assert bench.state.pool.get("i-2") is None
    bench.store.pending = [RunnerListed(make_entry("i-2", ENGINES, weights=1, revision=60))]
    bench.run(1.1)
    assert bench.state.pool.get("i-2") is runner
    assert runner.weights_version(MODEL) == 3 and runner.accepts(bench.scheduler.now)


@pytest.mark.parametrize("removal_revision", [None, rev(45)])
def test_an_entry_that_is_listed_again_after_its_removal_is_kept(
    bench: Bench, removal_revision: StoreRevision | None
) -> None:
    # A paginated list can show an entry before the removal that precedes it has been applied.
    entry = make_entry("i-9", ENGINES, weights=1, revision=46)
    now = bench.scheduler.now
    bench.state.apply(RunnerListed(entry), now)
    bench.state.note_store_recovered(now)
    bench.state.apply(RunnerUnlisted("i-9", removal_revision), now)
    bench.state.apply(RunnerListed(entry), now)
    bench.state.expire(now + 10.0)
    assert bench.state.pool.get("i-9") is not None


def test_a_removal_older_than_the_entry_is_ignored(bench: Bench) -> None:
    entry = make_entry("i-9", ENGINES, weights=1, revision=46)
    bench.state.apply(RunnerListed(entry), bench.scheduler.now)
    bench.state.apply(RunnerUnlisted("i-9", rev(45)), bench.scheduler.now)
    assert bench.state.pool.get("i-9") is not None
    bench.state.apply(RunnerUnlisted("i-9", rev(47)), bench.scheduler.now)
    assert bench.state.pool.get("i-9") is None


def test_versions_announced_in_an_outage_count_from_its_end(bench: Bench) -> None:
    # inc-1e0b: versions announced during an outage of 6 s counted from before the outage. When the
    # store was back, all runners were outdated at once, and nothing was served for 3 s.
    bench.scheduler.run_until(3.0)
    bench.store.failure = PlatformUnavailableError("status 503", step="watch", peer="store")
    bench.scheduler.run_until(9.0)
    bench.store.failure = None
    bench.store.pending = [WeightsNamed(MODEL, 7)]
    bench.scheduler.run_until(11.0)
    assert bench.state.versions.newest(MODEL) == 7
    assert 8.0 < bench.state.versions.bound_start(MODEL, 6) <= 9.0
    assert bench.state.versions.superseded_at(MODEL, 6) <= 3.0


def test_an_outage_restarts_version_deadlines_but_a_lost_answer_does_not(
    bench: Bench,
) -> None:
    bench.store.pending = [WeightsNamed(MODEL, 2)]
    bench.run(1.1)
    before = bench.state.versions.deadline(MODEL, 1)
    bench.store.failure = PlatformUnavailableError("late", step="watch", peer="store")
    bench.run(0.6)
    bench.store.failure = None
    bench.run(1.0)
    assert bench.state.versions.deadline(MODEL, 1) == before
    bench.store.failure = PlatformUnavailableError("down", step="watch", peer="store")
    bench.run(3.0)
    down_until = bench.scheduler.now
    bench.store.failure = None
    bench.run(1.0)
    after = bench.state.versions.deadline(MODEL, 1)
    assert before < after <= down_until + VERSION_GRACE_SECONDS


@pytest.mark.parametrize("reason", ["throttled", "late itself", "late itself at last"])
def test_failed_calls_to_a_running_store_restart_no_bounds(bench: Bench, reason: str) -> None:
    # A store that throttles calls is up, and a node whose event loop lags misses answers. Both were
    # taken for outages and restarted all bounds, so that older weights were used longer than
    # allowed.
    bench.store.pending = [WeightsNamed(MODEL, 2)]
    bench.run(1.1)
    before = bench.state.versions.deadline(MODEL, 1)
    throttled = PlatformThrottledError("status 429", step="watch", peer="store")
    lost = PlatformOutcomeUnknownError("no answer", step="watch", peer="store")
    bench.store.failure = throttled if reason == "throttled" else lost
    bench.is_lagging = reason == "late itself"
    bench.run(2.5)
    bench.is_lagging = reason != "throttled"
    bench.run(0.5)
    bench.store.failure = None
    # Entries may have expired anyway, so a runner that is missing from the list stays in use.
    bench.store.pending = [RunnerUnlisted("i-1")]
    bench.run(1.0)
    assert bench.state.versions.deadline(MODEL, 1) == before
    assert bench.state.outage_ended_at() == float("-inf")
    assert accepting(bench) == ["i-1"]


def test_an_announcement_counts_from_the_last_answer_before_it(bench: Bench) -> None:
    bench.run(5.0)
    proved_at = bench.state.freshness.proved_at()
    bench.store.pending = [WeightsNamed(MODEL, 5)]
    bench.run(1.1)
    assert bench.state.versions.bound_start(MODEL, 4) == proved_at


def test_a_version_that_a_poll_did_not_return_counts_from_before_the_poll(bench: Bench) -> None:
    # Polls return no changes while changes are made, and then the history is lost. The polls in
    # between seem to prove that the version did not exist yet.
    bench.run(5.0)
    proved_at = bench.state.freshness.proved_at()
    bench.store.hides_changes = True
    bench.store.pending = [WeightsNamed(MODEL, 5)]
    bench.run(3.1)
    assert bench.state.versions.newest(MODEL) == 1
    bench.store.hides_changes = False
    bench.store.failure = HistoryLostError("gone", step="watch", peer="store")
    bench.run(1.1)
    bench.store.failure = None
    bench.run(1.1)
    assert bench.state.versions.newest(MODEL) == 5
    assert bench.state.versions.bound_start(MODEL, 4) == proved_at


def test_requests_wait_for_the_first_store_read_but_not_for_a_store_that_is_down() -> None:
    for failure in (None, PlatformUnavailableError("refused", step="list", peer="store")):
        state = FleetState("node-1", Freshness(4.0), WeightsVersions(8.0), make_budget())
        store = FakeStore([Snapshot([], rev(10), rev(10))], failure=failure)
        scheduler = Scheduler()
        sync = make_sync(store, state, scheduler)
        loop = scheduler.new_loop()
        waiting = scheduler.spawn(loop, state.start_gate.wait_for_first_read())
        scheduler.run_until(0.1)
        assert not waiting.done()
        scheduler.spawn(loop, sync.run())
        scheduler.run_until(0.2)
        assert waiting.done()
        scheduler.close()
