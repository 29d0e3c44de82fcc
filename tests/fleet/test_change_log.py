"""The change log matches the store at its revision, whatever the order of reads and relays."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hillstack.daemon.change_log import ChangeLog, StoredItem
from tests.fleet.builders import rev

KEYS = ("runner-1", "runner-2", "runner-3")
VALUES = (b"version 1", b"version 2")
LOGS = (0, 1, 2)


class StoreModel:
    """A store that retains its whole history."""

    def __init__(self) -> None:
        self.revision = 0
        self.held: dict[str, StoredItem] = {}
        self.history: list[StoredItem] = []

    def write(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        item = StoredItem(key, rev(self.revision), value)
        self.history.append(item)
        self.held.pop(key, None)
        if value is not None:
            self.held[key] = item

    def changes(self, revision: int) -> list[StoredItem]:
        return [item for item in self.history if item.revision.number > revision]

    def held_at(self, revision: int) -> dict[str, StoredItem]:
        held: dict[str, StoredItem] = {}
        for item in self.history:
            if item.revision.number <= revision:
                held.pop(item.key, None)
                if item.value is not None:
                    held[item.key] = item
        return held


def existing_items(log: ChangeLog) -> dict[str, StoredItem]:
    return {item.key: item for item in log.since(rev(-1)).items if item.value is not None}


class ChangeLogMachine(RuleBasedStateMachine):
    """Three nodes that read the store or each other's logs in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.store = StoreModel()
        self.logs = [ChangeLog() for _ in LOGS]

    @rule(key=st.sampled_from(KEYS), value=st.sampled_from(VALUES))
    def write(self, key: str, value: bytes) -> None:
        self.store.write(key, value)

    @rule(key=st.sampled_from(KEYS))
    def remove(self, key: str) -> None:
        if key in self.store.held:
            self.store.write(key, None)

    @rule(key=st.sampled_from(KEYS))
    def remove_and_rewrite(self, key: str) -> None:
        held = self.store.held.get(key)
        if held is not None:
            self.store.write(key, None)
            self.store.write(key, held.value)

    @rule(node=st.sampled_from(LOGS))
    def poll_store(self, node: int) -> None:
        log = self.logs[node]
        log.apply(self.store.changes(log.revision.number), rev(self.store.revision))

    @rule(node=st.sampled_from(LOGS))
    def load(self, node: int) -> None:
        self.logs[node].load(self.store.held.values(), rev(self.store.revision))

    @rule(node=st.sampled_from(LOGS), peer=st.sampled_from(LOGS))
    def poll_peer(self, node: int, peer: int) -> None:
        log = self.logs[node]
        since = self.logs[peer].since(log.revision)
        if since.revision < log.revision:
            return
        log.apply(since.items, since.revision)
        if since.keys is not None:
            log.retain(since.keys, since.revision)

    @invariant()
    def logs_match_the_store_at_their_revision(self) -> None:
        for log in self.logs:
            assert existing_items(log) == self.store.held_at(log.revision.number)

    @invariant()
    def lists_show_no_differences(self) -> None:
        for log in self.logs:
            for revision in range(self.store.revision + 1):
                held = self.store.held_at(revision)
                if revision <= log.revision.number and not any(
                    k not in existing_items(log) for k in held
                ):
                    assert log.differences(list(held.values()), rev(revision)) == []


TestChangeLog = ChangeLogMachine.TestCase


def test_missed_changes_are_found_by_a_full_list() -> None:
    store = StoreModel()
    for key in KEYS:
        store.write(key, VALUES[0])
    log = ChangeLog()
    log.load(
        [item for item in store.held.values() if item.key != KEYS[0]],
        rev(store.revision),
    )
    assert log.differences(list(store.held.values()), rev(store.revision)) == [KEYS[0]]
    log.load(store.held.values(), rev(store.revision))
    store.write(KEYS[1], VALUES[1])
    store.write(KEYS[2], None)
    log.apply([], rev(store.revision))
    missed = log.differences(list(store.held.values()), rev(store.revision))
    assert sorted(missed) == [KEYS[1], KEYS[2]]


def test_an_older_list_shows_no_differences() -> None:
    store = StoreModel()
    log = ChangeLog()
    store.write(KEYS[0], VALUES[0])
    store.write(KEYS[1], VALUES[0])
    older, revision = list(store.held.values()), store.revision
    store.write(KEYS[0], VALUES[1])
    store.write(KEYS[1], None)
    store.write(KEYS[2], VALUES[0])
    log.apply(store.history, rev(store.revision))
    assert log.differences(older, rev(revision)) == []


def test_a_change_newer_than_a_paginated_lists_revision_is_kept() -> None:
    store = StoreModel()
    store.write(KEYS[0], VALUES[0])
    store.write(KEYS[0], None)
    store.write(KEYS[0], VALUES[1])
    log = ChangeLog()
    log.load(store.held.values(), rev(1))
    log.apply(store.history[1:2], rev(2))
    assert existing_items(log) == store.held
