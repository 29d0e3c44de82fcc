"""A restarted runner is a new process: no state of the previous process applies to it."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hillstack.core.part_index import PromptPart
from hillstack.core.run_at_crash import RunAtCrash
from hillstack.core.runner_crashes import RunnerCrashRecord, Suspicion
from hillstack.core.runner_load import OwnAttempt, RunnerLoad
from hillstack.core.runner_pool import Runner
from hillstack.daemon.change_log import StoredItem
from hillstack.daemon.notice_reader import NoticeReader
from hillstack.errors import BackendError, RunnerRestartedError
from hillstack.messages.peer_notices import (
    PROTOCOL_VERSION,
    CacheNotice,
    LoadNotice,
    NodeNotice,
    WeightsNotice,
    WeightsPhase,
)
from hillstack.platform import names
from hillstack.platform.formats import to_event
from hillstack.platform.runner_identifiers import check_runner_process, instance_of, runner_id_of
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.store_events import RunnerUnlisted
from tests.fleet.builders import ENGINES, MODEL, make_route, make_state, make_table, rev

FIRST, SECOND = "i-1#1000", "i-1#2000"
PART = PromptPart("part", 900)


def write(
    state: FleetState, born: int | None, revision: int, *, weights: int = 1, now: float = 10.0
) -> None:
    """Apply an entry of the runner as its process writes it to the directory."""
    body: dict[str, object] = {
        "service": ENGINES,
        "address": "10.0.0.9:8000",
        "zone": "zone-a",
        "slots": 8,
        "state": "ready",
        "models": [{"name": MODEL, "version": weights}],
    }
    if born is not None:
        body["born"] = born
    item = StoredItem(f"{names.RUNNERS_PREFIX}i-1", rev(revision), msgspec.json.encode(body))
    event = to_event(item)
    assert event is not None
    state.apply(event, now)


def make_fleet(born: int | None = 1_000) -> FleetState:
    state = make_state(make_table(make_route()))
    write(state, born, 10)
    return state


def runner_of(state: FleetState, runner_id: str) -> Runner:
    runner = state.pool.get(runner_id)
    assert runner is not None
    return runner


def usable(state: FleetState, now: float = 10.0) -> list[str]:
    return [runner.runner_id for runner in state.pool.accepting(ENGINES, now)]


def test_no_state_of_a_process_applies_to_the_next_one() -> None:
    state = make_fleet()
    previous = runner_of(state, FIRST)
    pool = state.pool
    pool.note_loading(previous, MODEL, 4, 9.0)
    pool.observe_weights(previous, MODEL, 4)
    pool.sent(previous, "r-1/1", OwnAttempt(5_000, 6_000, 9.0, 9.5), 1_000.0)
    pool.note_peer_load(previous, "node-2", RunnerLoad(3, 1, 900), 9.0)
    pool.failed(previous, 9.9)
    state.index.record_cached(FIRST, "salt", [PART])
    write(state, 2_000, 11, weights=3)
    after = runner_of(state, SECOND)
    assert usable(state) == [SECOND]
    assert previous.has_ended and not previous.will_accept(10.0)
    assert (after.weights_after_load(MODEL), after.running(10.0)) == (3, 0)
    assert (after.prefill_wait(10.0), after.failures) == (0.0, 0)
    for runner_id in (FIRST, SECOND):
        assert state.index.matched_tokens(runner_id, "salt", [PART]) == 0


def test_late_directory_events_of_the_previous_process_are_ignored() -> None:
    state = make_fleet()
    write(state, 2_000, 12)
    write(state, 1_000, 11)
    assert usable(state) == [SECOND]
    # The lapse of the first process's entry arrives after the entry of the second process.
    state.apply(RunnerUnlisted("i-1", rev(11)), 10.0)
    assert usable(state) == [SECOND]
    state.apply(RunnerUnlisted("i-1", rev(13)), 10.0)
    assert usable(state) == []
    write(state, 1_000, 11)
    assert usable(state) == []
    write(state, 2_000, 14)
    assert usable(state) == [SECOND]


def test_a_late_write_of_the_previous_process_is_in_effect_until_the_next_write() -> None:
    state = make_fleet()
    write(state, 2_000, 12)
    after = runner_of(state, SECOND)
    state.index.record_cached(SECOND, "salt", [PART])
    write(state, 1_000, 13)
    assert usable(state) == [FIRST]
    # The second process is alive and may be at work, so its requests are not given up.
    assert not after.has_ended
    write(state, 2_000, 14)
    assert usable(state) == [SECOND]
    assert runner_of(state, SECOND) is after
    assert state.index.matched_tokens(SECOND, "salt", [PART]) == PART.tokens


def test_a_process_whose_clock_was_set_back_is_used() -> None:
    state = make_fleet()
    write(state, 500, 11)
    assert usable(state) == ["i-1#500"]


def test_notices_of_peers_on_the_previous_process_do_not_change_the_next_one() -> None:
    state = make_fleet()
    write(state, 2_000, 11)
    reader = NoticeReader(state, "zone-a")
    notice = NodeNotice(
        PROTOCOL_VERSION,
        "node-2",
        loads=[LoadNotice(FIRST, 9, 9, 9_000)],
        weights=[WeightsNotice(FIRST, MODEL, 7, WeightsPhase.LOADING)],
        suspected=[FIRST],
        cache=[CacheNotice(FIRST, "salt", [("part", 900)])],
        restarted=[FIRST],
    )
    reader.apply(notice, 10.0)
    reader.apply_loads("node-2", notice.loads, 10.0)
    reader.apply_zone_loads("zone-b", notice.loads, 10.0)
    after = runner_of(state, SECOND)
    assert usable(state) == [SECOND]
    assert (after.running(10.0), after.weights_after_load(MODEL)) == (0, 1)
    assert state.index.matched_tokens(SECOND, "salt", [PART]) == 0


def test_a_process_that_a_peer_reports_as_replaced_gets_no_requests() -> None:
    state = make_fleet()
    notice = NodeNotice(PROTOCOL_VERSION, "node-2", restarted=[FIRST])
    assert notice.is_urgent() and notice.is_news()
    NoticeReader(state, "zone-a").apply(notice, 10.0)
    assert usable(state) == []
    write(state, 2_000, 11)
    assert usable(state) == [SECOND]


def test_each_replaced_process_is_reported_once() -> None:
    state = make_fleet()
    ended: list[str] = []
    state.handle_restarted(lambda runner: ended.append(runner.runner_id))
    notice = NodeNotice(PROTOCOL_VERSION, "node-2", restarted=[FIRST])
    NoticeReader(state, "zone-a").apply(notice, 10.0)
    write(state, 2_000, 11)
    assert ended == [FIRST]
    write(state, 3_000, 12)
    assert ended == [FIRST, SECOND]


def test_an_entry_without_a_start_time_names_no_process_with_one() -> None:
    state = make_fleet()
    write(state, None, 11)
    assert usable(state) == []
    write(state, 1_000, 12)
    assert usable(state) == [FIRST]


def test_without_a_start_time_a_runner_is_identified_by_its_name() -> None:
    state = make_fleet(born=None)
    assert usable(state) == ["i-1"]
    runner_of(state, "i-1").weights[MODEL] = 4
    write(state, None, 11)
    assert usable(state) == ["i-1"]
    assert runner_of(state, "i-1").weights_version(MODEL) == 4
    # An entry with a start time replaces one without, whatever its start time is.
    write(state, 500, 12)
    assert usable(state) == ["i-1#500"]


def test_only_an_answer_of_a_later_process_shows_that_a_process_has_ended() -> None:
    check_runner_process(FIRST, 1_000, "report")
    check_runner_process(FIRST, 0, "report")
    check_runner_process("i-1", 5_000, "report")
    with pytest.raises(RunnerRestartedError):
        check_runner_process(FIRST, 1_001, "report")
    with pytest.raises(BackendError) as caught:
        check_runner_process(FIRST, 999, "report")
    assert not isinstance(caught.value, RunnerRestartedError)


@given(st.text(), st.integers(0, 10**14), st.text(), st.integers(0, 10**14))
def test_process_identifiers_are_distinct_and_reversible(
    instance: str, born: int, other: str, other_born: int
) -> None:
    runner_id = runner_id_of(instance, born)
    assert instance_of(runner_id) == instance
    same = (instance, born) == (other, other_born)
    assert (runner_id == runner_id_of(other, other_born)) == same


def test_two_crashes_under_one_name_are_counted_separately() -> None:
    record = RunnerCrashRecord()
    record.record_crash(FIRST, 9.0, {7: RunAtCrash(0.1)}, 9.0)
    assert record.suspicion(7, 9.5) is Suspicion.SUSPECT
    record.record_crash(SECOND, 9.5, {7: RunAtCrash(0.1)}, 9.5)
    assert record.suspicion(7, 9.5) is Suspicion.FATAL
