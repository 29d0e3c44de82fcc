"""What a node hands on of the store: at any moment, all that the store holds, in any batches."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hillstack.daemon.change_log import ChangeLog, StoreChange, StoredItem
from hillstack.serving.fleet_state import RunnerListed, RunnerUnlisted, StoreEvent
from tests.fleet.builders import ENGINES, make_entry

RUNNERS = ("i-1", "i-2", "i-3")
VERSIONS = (1, 2)


class StoreModel:
    """A store that keeps its whole history."""

    def __init__(self) -> None:
        self.revision = 0
        self.held: dict[str, StoreChange] = {}
        self.history: list[StoreChange] = []

    def write(self, runner_id: str, weights: int) -> None:
        self.revision += 1
        entry = make_entry(runner_id, ENGINES, weights=weights, revision=self.revision)
        value = f"{weights} at {self.revision}".encode()
        self._note(runner_id, value, RunnerListed(entry))

    def remove(self, runner_id: str) -> None:
        self.revision += 1
        self._note(runner_id, None, RunnerUnlisted(runner_id))

    def _note(self, key: str, value: bytes | None, event: StoreEvent) -> None:
        change = StoreChange(StoredItem(key, self.revision, value), event)
        self.history.append(change)
        self.held.pop(key, None)
        if value is not None:
            self.held[key] = change

    def changes(self, revision: int) -> list[StoreChange]:
        return [change for change in self.history if change.item.revision > revision]


class ChangeLogMachine(RuleBasedStateMachine):
    """One node watches the store and another follows by way of it, each when it likes."""

    def __init__(self) -> None:
        super().__init__()
        self.store = StoreModel()
        self.watching = ChangeLog()
        self.following = ChangeLog()
        self.meanings: dict[StoredItem, StoreEvent | None] = {}

    @rule(runner_id=st.sampled_from(RUNNERS), weights=st.sampled_from(VERSIONS))
    def write(self, runner_id: str, weights: int) -> None:
        self.store.write(runner_id, weights)

    @rule(runner_id=st.sampled_from(RUNNERS))
    def remove(self, runner_id: str) -> None:
        if runner_id in self.store.held:
            self.store.remove(runner_id)

    @rule(runner_id=st.sampled_from(RUNNERS))
    def lapse_and_return(self, runner_id: str) -> None:
        known = self.store.held.get(runner_id)
        if known is not None and isinstance(known.event, RunnerListed):
            self.store.remove(runner_id)
            self.store.write(runner_id, next(iter(known.event.entry.weights.values())))

    @rule()
    def watch(self) -> None:
        self.watching.take(self.store.changes(self.watching.revision), self.store.revision)

    @rule()
    def compare(self) -> None:
        comparison = self.watching.compare(list(self.store.held.values()), self.store.revision)
        assert comparison.missed == []
        removals = [StoreChange(item, RunnerUnlisted(item.key)) for item in comparison.removed]
        news = sorted(comparison.news, key=lambda change: change.item.revision)
        self.watching.take([*news, *removals], self.store.revision)

    @rule()
    def load(self) -> None:
        self.watching.load(self.store.held.values(), self.store.revision)

    @rule()
    def follow(self) -> None:
        self.meanings |= {change.item: change.event for change in self.store.history}
        since = self.watching.since(self.following.revision)
        changes = [
            StoreChange(item, self.meanings.get(item, RunnerUnlisted(item.key)))
            for item in since.items
        ]
        self.following.take(changes, since.revision)
        if since.keys is not None:
            self.following.retain(since.keys, since.revision)

    @invariant()
    def what_is_known_is_what_the_store_held(self) -> None:
        for log in (self.watching, self.following):
            held: dict[str, bool] = {}
            for change in self.store.history:
                if change.item.revision <= log.revision:
                    held[change.item.key] = not change.is_removal
            known = {item.key for item in log.since(-1).items if item.value is not None}
            assert known == {key for key, exists in held.items() if exists}

    @invariant()
    def equal_revisions_have_equal_digests(self) -> None:
        if self.watching.revision == self.following.revision:
            assert self.watching.digest() == self.following.digest()


TestChangeLog = ChangeLogMachine.TestCase


def test_logs_that_know_otherwise_have_other_digests() -> None:
    store = StoreModel()
    for number, runner_id in enumerate(RUNNERS):
        store.write(runner_id, VERSIONS[number % 2])
    whole, lacking, older = ChangeLog(), ChangeLog(), ChangeLog()
    whole.load(store.held.values(), store.revision)
    lacking.load(list(store.held.values())[1:], store.revision)
    store.write("i-1", 7)
    older.load(store.held.values(), store.revision)
    assert len({whole.digest(), lacking.digest(), older.digest()}) == 3


def test_what_is_newer_than_the_revision_is_told_but_has_no_digest() -> None:
    # A list of several pages: a later page shows what was written after the first one.
    store = StoreModel()
    for runner_id in RUNNERS:
        store.write(runner_id, 1)
    first, second, third = store.history
    log = ChangeLog()
    log.load([first, third], 1)
    assert log.digest() is None
    log.take([second, third], 3)
    assert log.digest() is not None
    assert [item.key for item in log.since(2).items] == ["i-3"]
