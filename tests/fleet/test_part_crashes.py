"""The counts of crashes by prompt part, and the judgement of requests by them."""

from __future__ import annotations

from hillstack.core.crash_counts import REPEATED_RETENTION_SECONDS, SINGLE_RETENTION_SECONDS
from hillstack.core.part_crashes import (
    COMMON_CAUSE_SECONDS,
    CONTRAST_WAIT_SECONDS,
    MAX_CRASHES_PER_PART,
    MAX_PARTS,
    MIN_CONTRAST,
    TRIAL_PAUSES_SECONDS,
    PartCrashes,
    PartSuspicion,
)
from hillstack.core.part_trials import FATAL_MARK
from hillstack.core.run_at_crash import RunAtCrash

FIRST, MIDDLE, FATAL, OTHER = 1, 2, 3, 4
AGE = 0.1


def record_with_successes() -> PartCrashes:
    """Return a record in which enough runs with none of the parts have succeeded."""
    record = PartCrashes()
    for _ in range(MIN_CONTRAST):
        record.record_success([], 100_000.0)
    return record


def crash(record: PartCrashes, number: int, *parts: int, at: float | None = None) -> None:
    """Record the crash of a runner, by default a second after the one before."""
    crashed_at = float(number) if at is None else at
    record.record(f"i-{number}", crashed_at, dict.fromkeys(parts, RunAtCrash(AGE)))


def suspicion(record: PartCrashes, *parts: int, now: float = 10.0) -> PartSuspicion:
    return record.judge(parts, now).suspicion


def test_a_single_crash_makes_no_part_suspect() -> None:
    record = record_with_successes()
    crash(record, 1, FIRST, FATAL)
    assert suspicion(record, FIRST, FATAL) is PartSuspicion.NONE


def test_a_part_is_suspect_after_two_crashes_and_fatal_after_three() -> None:
    record = record_with_successes()
    crash(record, 1, FATAL)
    crash(record, 2, FATAL)
    assert suspicion(record, FATAL) is PartSuspicion.SUSPECT
    crash(record, 3, FATAL)
    assert suspicion(record, FIRST, FATAL, OTHER) is PartSuspicion.FATAL
    assert suspicion(record, FIRST, OTHER) is PartSuspicion.NONE


def test_a_part_is_not_fatal_after_crashes_with_a_common_cause() -> None:
    record = record_with_successes()
    for number in range(8):
        crashed_at = 5.0 + number / 8 * COMMON_CAUSE_SECONDS
        record.record(f"i-{number}", crashed_at, {FATAL: RunAtCrash(2.0)})
    assert suspicion(record, FATAL) is PartSuspicion.SUSPECT


def test_a_cleared_part_leaves_the_fatal_one_to_explain_the_crashes() -> None:
    record = record_with_successes()
    for number in range(1, 4):
        crash(record, number, FIRST, FATAL)
    assert suspicion(record, FIRST) is PartSuspicion.SUSPECT
    assert suspicion(record, FIRST, FATAL) is PartSuspicion.FATAL
    assert record.is_evidence(FIRST, 1.0)
    record.clear(FIRST, 4.0)
    assert suspicion(record, FIRST) is PartSuspicion.NONE
    assert suspicion(record, FIRST, FATAL) is PartSuspicion.FATAL


def test_a_part_at_some_of_the_crashes_of_another_one_is_no_suspect() -> None:
    record = record_with_successes()
    crash(record, 1, FIRST, FATAL)
    crash(record, 2, FIRST, FATAL)
    crash(record, 3, FATAL)
    assert suspicion(record, FIRST) is PartSuspicion.NONE
    assert suspicion(record, FIRST, FATAL) is PartSuspicion.FATAL


def test_parts_that_only_occur_together_are_refused_together() -> None:
    record = record_with_successes()
    for number in range(1, 4):
        crash(record, number, MIDDLE, FATAL)
    assert suspicion(record, MIDDLE, FATAL) is PartSuspicion.FATAL


def test_two_fatal_parts_do_not_excuse_each_other() -> None:
    record = record_with_successes()
    for number in range(1, 7):
        crash(record, number, FATAL if number % 2 else OTHER)
    crash(record, 7, FATAL, OTHER)
    assert suspicion(record, FATAL) is PartSuspicion.FATAL
    assert suspicion(record, OTHER) is PartSuspicion.FATAL


def test_a_run_that_was_sent_before_the_crashed_ones_clears_nothing() -> None:
    record = record_with_successes()
    crash(record, 5, FATAL)
    assert not record.is_evidence(FATAL, 5.0 - 2 * AGE)
    assert record.is_evidence(FATAL, 5.0)
    assert not record.is_evidence(OTHER, 5.0)


def test_the_rest_of_a_stream_clears_nothing_if_it_is_shorter_than_the_crashed_runs() -> None:
    record = PartCrashes()
    crash(record, 5, FATAL)
    assert not record.is_evidence(FATAL, 5.0, AGE / 2)
    assert record.is_evidence(FATAL, 5.0, 2 * AGE)


def test_a_run_survives_beyond_the_times_at_the_crashes() -> None:
    record = record_with_successes()
    record.record("i-1", 5.0, {FATAL: RunAtCrash(0.5, 0.2)})
    assert not record.has_survived(FATAL, 5.0, 1.5, 0.9)
    assert record.has_survived(FATAL, 5.0, 1.5, 1.0)
    assert not record.has_survived(FATAL, 5.0, 1.9, None)
    assert record.has_survived(FATAL, 5.0, 2.1, None)


def test_late_reports_of_a_crash_before_a_success_count_for_nothing() -> None:
    record = record_with_successes()
    crash(record, 1, FATAL)
    record.clear(FATAL, 2.0)
    crash(record, 1, FATAL)
    assert not record


def test_a_runner_that_has_not_crashed_is_removed_from_all_parts() -> None:
    record = record_with_successes()
    for number in range(1, 4):
        crash(record, number, FIRST, FATAL)
    record.retract("i-3", contact_at=2.5)
    assert set(record.crashes(FATAL)) == {"i-1", "i-2", "i-3"}
    record.retract("i-3", contact_at=3.5)
    assert set(record.crashes(FATAL)) == {"i-1", "i-2"}
    record.retract("i-1")
    record.retract("i-2")
    assert not record
    assert list(record.runner_ids()) == []


def test_a_fatal_part_is_tried_after_each_pause_and_no_more_after_the_third_trial() -> None:
    record = record_with_successes()
    for number in range(1, 4):
        crash(record, number, FATAL)
    last = 3.0
    for trials, pause in enumerate(TRIAL_PAUSES_SECONDS):
        assert suspicion(record, FATAL, now=last + pause - 0.1) is PartSuspicion.FATAL
        assert suspicion(record, FATAL, now=last + pause) is PartSuspicion.SUSPECT
        last += pause
        crash(record, 4 + trials, FATAL, at=last)
        record.record_trials(FATAL, [f"i-{4 + trials}"])
    now = last + REPEATED_RETENTION_SECONDS - 1.0
    assert record.expire(now) == []
    assert suspicion(record, FATAL, now=now) is PartSuspicion.FATAL
    assert record.expire(now + 1.0) == [FATAL]
    assert not record


def test_the_crashes_are_bounded_in_number_and_in_age() -> None:
    record = record_with_successes()
    for number in range(MAX_CRASHES_PER_PART + 4):
        crash(record, number, FATAL)
    assert len(record.crashes(FATAL)) == MAX_CRASHES_PER_PART
    assert f"i-{MAX_CRASHES_PER_PART + 3}" in record.crashes(FATAL)
    for number in range(MAX_PARTS + 10):
        crash(record, 100 + number, 1_000 + number)
    assert suspicion(record, FATAL, now=20.0) is PartSuspicion.FATAL
    assert len(record.fatal_parts()) == 1
    record.expire(100.0 + MAX_PARTS + 10.0 + SINGLE_RETENTION_SECONDS)
    assert set(record.crashes(FATAL))
    assert not record.crashes(1_000 + MAX_PARTS)


def test_runs_at_a_crash_that_a_fatal_part_explains_are_known() -> None:
    record = record_with_successes()
    crash(record, 1, FATAL)
    crash(record, 2, FATAL)
    assert record.explained_runners(record.fatal_parts()) == frozenset()
    crash(record, 3, FATAL)
    assert record.explained_runners(record.fatal_parts()) == {"i-1", "i-2", "i-3"}


def test_no_part_is_fatal_while_no_request_without_it_succeeds() -> None:
    record = PartCrashes()
    for number in range(1, 9):
        crash(record, number, FIRST)
    assert suspicion(record, FIRST) is PartSuspicion.SUSPECT
    for _ in range(MIN_CONTRAST):
        record.record_success([FIRST], 10.0)
        record.record_success([OTHER], 0.5)
    assert suspicion(record, FIRST) is PartSuspicion.SUSPECT
    for _ in range(MIN_CONTRAST):
        record.record_success([OTHER], 10.0)
    assert suspicion(record, FIRST) is PartSuspicion.FATAL


def test_a_part_that_a_peer_has_found_fatal_needs_no_further_success() -> None:
    record = PartCrashes()
    for number in range(1, 4):
        crash(record, number, FATAL)
    record.record_trials(FATAL, [FATAL_MARK])
    assert suspicion(record, FATAL) is PartSuspicion.FATAL
    record.clear(FATAL, 4.0)
    for number in range(5, 9):
        crash(record, number, FATAL)
    assert suspicion(record, FATAL) is PartSuspicion.SUSPECT


def test_used_up_trials_stop_a_part_only_if_requests_without_it_succeed() -> None:
    record = PartCrashes()
    for number in range(1, 4):
        crash(record, number, FIRST)
    assert record.served_in_seconds(FIRST, 3.0) is None
    record.record_trials(FIRST, ["i-1", "i-2", "i-3"])
    assert record.served_in_seconds(FIRST, 4.0) == CONTRAST_WAIT_SECONDS
    assert record.served_in_seconds(FIRST, 4.5) == CONTRAST_WAIT_SECONDS - 0.5
    assert record.served_in_seconds(FIRST, 4.0 + CONTRAST_WAIT_SECONDS) == 0
    for _ in range(MIN_CONTRAST):
        record.record_success([OTHER], 10.0)
    assert record.served_in_seconds(FIRST, 10.0) is None


def test_used_up_trials_of_crashes_that_a_node_does_not_know_stop_a_part_too() -> None:
    record = PartCrashes()
    record.record_trials(FIRST, ["i-1", "i-2"])
    for _ in range(MIN_CONTRAST):
        record.record_success([OTHER], 1.0)
    assert record.served_in_seconds(FIRST, 2.0) is None
    crash(record, 3, FIRST, at=5.0)
    assert record.served_in_seconds(FIRST, 6.0) is None


def test_a_cleared_part_has_no_trials_to_use_up() -> None:
    record = PartCrashes()
    record.record_trials(FIRST, ["i-1", "i-2"])
    assert record.served_in_seconds(FIRST, 1.0) == CONTRAST_WAIT_SECONDS
    record.clear(FIRST, 2.0)
    assert record.served_in_seconds(FIRST, 9.0) is None
    record.record_trials(FIRST, ["i-3", "i-4"])
    assert record.served_in_seconds(FIRST, 10.0) == CONTRAST_WAIT_SECONDS
