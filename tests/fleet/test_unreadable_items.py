"""Invalid items in the store, written by another program: none of them may take effect.

An item that can't be decoded counts as removed, and reading the other items goes on.
"""

from __future__ import annotations

import json
import logging
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hillstack.daemon.change_log import StoredItem
from hillstack.platform import names
from hillstack.platform.bodies import StoreItem
from hillstack.platform.store import MetadataStore, _to_stored_item
from hillstack.serving.fleet_state import FleetState
from tests.fleet.builders import ENGINES, MODEL, make_route, make_state, make_table, rev

KINDS = (
    names.CONFIGURATION_KEY,
    names.WEIGHTS_PREFIX + MODEL,
    names.RUNNERS_PREFIX + "i-9",
    names.RUNNERS_PREFIX,
    names.ROLLOUTS_PREFIX + ENGINES,
    names.ROLLOUT_STATUS_PREFIX + ENGINES,
    names.NODES_PREFIX + "node-9",
    names.NODES_PREFIX,
    names.DUTY_KEY,
    names.ROLLOUT_DUTY_PREFIX + ENGINES,
    names.ROLLOUT_RECORDS_PREFIX + ENGINES,
    "another/key",
)
VALID_ENTRY: dict[str, Any] = {
    "service": ENGINES,
    "address": "10.0.0.9:8000",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "models": [{"name": MODEL, "version": 1}],
    "seq": 4,
    "born": 1_000,
}
WRONG_VALUES: tuple[Any, ...] = (None, "text", "", -1, 1.5, 10**40, True, [], {}, [None], {"a": 1})

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
# Bodies with the right field names: each field may be missing or have any value.
arbitrary_bodies = st.fixed_dictionaries(
    {},
    optional={
        name: json_values
        for name in (
            *VALID_ENTRY,
            "model",
            "target_version",
            "over_s",
            "routes",
            "tenants",
            "stage",
        )
    },
)
values = st.one_of(
    st.binary(max_size=200),
    json_values.map(lambda value: json.dumps(value).encode()),
    arbitrary_bodies.map(lambda value: json.dumps(value).encode()),
)


def make_store(on_unreadable: Any = lambda: None) -> MetadataStore:
    session: Any = None
    return MetadataStore("10.0.0.1:1", session, on_unreadable)


def apply_items(state: FleetState, store: MetadataStore, *items: StoredItem) -> None:
    for change in store.read_items(items):
        if change.event is not None:
            state.apply(change.event, 10.0)


def entry(revision: int, runner_id: str = "i-1", **changes: Any) -> StoredItem:
    body = {name: value for name, value in (VALID_ENTRY | changes).items() if value is not ...}
    return StoredItem(names.RUNNERS_PREFIX + runner_id, rev(revision), json.dumps(body).encode())


def accepting_runners(state: FleetState) -> list[str]:
    return [runner.entry.directory_name for runner in state.pool.accepting(ENGINES, 10.0)]


@pytest.mark.parametrize("field", ["service", "address", "zone", "slots", "state"])
def test_entry_without_a_required_field_lists_no_runner(field: str) -> None:
    state, store = make_state(make_table(make_route())), make_store()
    apply_items(state, store, entry(10), entry(11, "i-2"))
    without: dict[str, Any] = {field: ...}
    apply_items(state, store, entry(12, **without), entry(13, "i-3"))
    assert accepting_runners(state) == ["i-2", "i-3"]
    apply_items(state, store, entry(14))
    assert accepting_runners(state) == ["i-2", "i-3", "i-1"]


@pytest.mark.parametrize("field", ["service", "address", "zone", "slots", "state", "born"])
@pytest.mark.parametrize("value", WRONG_VALUES)
def test_entry_with_a_field_of_a_wrong_type_lists_no_runner(field: str, value: Any) -> None:
    state, store = make_state(make_table(make_route())), make_store()
    apply_items(state, store, entry(10), entry(11, "i-2"))
    is_empty_text = field in ("service", "zone") and isinstance(value, str)
    apply_items(state, store, entry(12, **{field: value}))
    expected = ["i-2"] if not is_empty_text else accepting_runners(state)
    assert accepting_runners(state) == expected


@pytest.mark.parametrize(
    "value", [b"", b"\xff\xfe", b"{", b"null", b"[]", b'"ready"', b"\x00" * 4_096]
)
def test_undecodable_entry_counts_as_removed_until_a_valid_one_follows(
    value: bytes,
) -> None:
    state, store = make_state(make_table(make_route())), make_store()
    apply_items(state, store, entry(10), entry(11, "i-2"))
    apply_items(state, store, StoredItem(names.RUNNERS_PREFIX + "i-1", rev(12), value))
    assert accepting_runners(state) == ["i-2"]
    # An unreadable item that is older than the known entry has no effect.
    apply_items(state, store, StoredItem(names.RUNNERS_PREFIX + "i-2", rev(5), value))
    assert accepting_runners(state) == ["i-2"]
    apply_items(state, store, entry(13))
    assert accepting_runners(state) == ["i-2", "i-1"]


@pytest.mark.parametrize("state_name", ["draining", "leaving", "READY", "starting"])
def test_entry_that_is_not_ready_accepts_no_requests(state_name: str) -> None:
    state, store = make_state(make_table(make_route())), make_store()
    apply_items(state, store, entry(10))
    apply_items(state, store, entry(11, state=state_name))
    assert accepting_runners(state) == []
    assert (len(state.pool.all()) == 1) == (state_name == "draining")


def test_value_that_is_not_base64_lists_no_runner() -> None:
    state, store = make_state(make_table(make_route())), make_store()
    apply_items(state, store, entry(10))
    for text in ("%%%", "abc", "é", "YQ"):
        apply_items(
            state, store, _to_stored_item(StoreItem(names.RUNNERS_PREFIX + "i-1", 12, text), 0)
        )
        assert accepting_runners(state) == []


def test_invalid_configuration_leaves_the_last_valid_one_in_force() -> None:
    state, store = make_state(make_table(make_route(), version=7)), make_store()
    for value in (b"", b"{}", b'{"version":"8"}', b'{"version":8,"routes":[{}]}'):
        item = StoredItem(names.CONFIGURATION_KEY, rev(20), value)
        apply_items(state, store, item, entry(21))
        assert state.table is not None and state.table.version == 7
        assert accepting_runners(state) == ["i-1"]


def test_unreadable_item_is_logged_once_per_revision_and_shortened(
    caplog: pytest.LogCaptureFixture,
) -> None:
    counted: list[int] = []
    store = make_store(lambda: counted.append(1))
    key = names.RUNNERS_PREFIX + "i-1"
    long = b'{"state":"' + b"x" * 50_000 + b'"}'
    for _ in range(3):
        store.read_items([StoredItem(key, rev(12), long), StoredItem(key + "2", rev(12), b"")])
    store.read_items([StoredItem(key, rev(13), long)])
    logged = [vars(each) for each in caplog.records if each.levelno == logging.ERROR]
    assert len(logged) == len(counted) == 3
    assert all(len(str(fields["error"])) <= 200 for fields in logged)


@given(st.lists(st.tuples(st.sampled_from(KINDS), values), max_size=8))
def test_no_item_stops_reading_or_affects_another_item(contents: list[tuple[str, bytes]]) -> None:
    state, store = make_state(make_table(make_route())), make_store()
    items = [
        StoredItem(key, rev(20 + number), value) for number, (key, value) in enumerate(contents)
    ]
    apply_items(state, store, entry(10), *items, entry(40, "i-2"))
    assert {"i-1", "i-2"} <= set(accepting_runners(state))


@given(st.text(max_size=300), st.text(max_size=100), values)
def test_no_key_stops_reading(prefix: str, rest: str, value: bytes) -> None:
    state, store = make_state(make_table(make_route())), make_store()
    apply_items(state, store, entry(10), StoredItem(prefix + rest, rev(11), value))
    store.listed([prefix + rest, names.RUNNERS_PREFIX, names.NODES_PREFIX + rest])
    assert "i-1" in accepting_runners(state)


@given(st.text(max_size=40))
def test_no_value_text_stops_reading(text: str) -> None:
    item = _to_stored_item(StoreItem(names.RUNNERS_PREFIX + "i-1", 12, text), 0)
    assert make_store().read_items([item])[0].item is item


def test_all_fields_of_a_valid_entry_are_read() -> None:
    state, store = make_state(make_table(make_route())), make_store()
    apply_items(state, store, entry(10))
    runner = state.pool.listed_as("i-1")
    assert runner is not None
    known = runner.entry
    assert (known.service, known.address, known.zone, known.slots) == (
        ENGINES,
        "10.0.0.9:8000",
        "zone-a",
        8,
    )
    assert (known.started_ms, known.software, known.weights) == (1_000, "v1", {MODEL: 1})
    assert msgspec.json.decode(msgspec.json.encode(VALID_ENTRY)) == VALID_ENTRY
