"""The runner pool: suspicion, silence, draining, weights versions, loads of peers."""

from __future__ import annotations

from hillstack.core.runner_load import PEER_LOAD_SECONDS, OwnAttempt, RunnerLoad
from hillstack.core.runner_pool import (
    LOADING_SECONDS,
    SILENCE_SECONDS,
    SUSPECT_SECONDS,
    UNREACHABLE_SECONDS,
    Runner,
    RunnerPool,
)
from tests.fleet.builders import APPLICATION, MODEL, make_entry


def make_pool() -> tuple[RunnerPool, Runner]:
    pool = RunnerPool()
    runner = pool.update(make_entry("i-1", weights=1))
    assert runner is not None
    return pool, runner


def test_draining_and_leaving_runners_get_no_work() -> None:
    pool, runner = make_pool()
    assert pool.accepting(APPLICATION, 0.0) == [runner]
    pool.update(make_entry("i-1", draining=True, revision=2))
    assert pool.accepting(APPLICATION, 0.0) == []


def test_an_entry_with_an_older_revision_is_ignored() -> None:
    pool, runner = make_pool()
    pool.update(make_entry("i-1", draining=True, revision=5))
    assert pool.update(make_entry("i-1", revision=4)) is None
    assert runner.entry.draining


def test_suspicion_doubles_with_each_failure_until_an_answer() -> None:
    pool, runner = make_pool()
    pool.failed(runner, 0.0)
    assert not runner.accepts(SUSPECT_SECONDS - 0.01)
    assert runner.accepts(SUSPECT_SECONDS)
    pool.failed(runner, 1.0)
    assert not runner.accepts(1.0 + 2 * SUSPECT_SECONDS - 0.01)
    pool.record_contact(runner, 1.5)
    assert runner.accepts(1.5)
    pool.failed(runner, 2.0)
    assert runner.accepts(2.0 + SUSPECT_SECONDS)


def test_a_refused_connection_suspects_the_runner_for_longer() -> None:
    pool, runner = make_pool()
    pool.unreachable(runner, 0.0)
    assert not runner.accepts(UNREACHABLE_SECONDS - 0.1)


def test_a_runner_is_silent_only_with_an_overdue_attempt() -> None:
    pool, runner = make_pool()
    assert not runner.is_silent(100.0)
    pool.sent(runner, "a", OwnAttempt(0, 0, 0.0, due_at=1.0), 1.0)
    assert not runner.is_silent(0.9)
    assert runner.is_silent(1.1)
    pool.record_contact(runner, 1.2)
    assert not runner.is_silent(1.2 + SILENCE_SECONDS / 2)
    assert runner.is_silent(1.3 + SILENCE_SECONDS)
    pool.finished(runner, "a")
    assert not runner.is_silent(9.0)


def test_a_runner_is_silent_if_a_started_stream_gets_no_bytes() -> None:
    pool, runner = make_pool()
    pool.sent(runner, "a", OwnAttempt(0, 0, 0.0, due_at=100.0), 1.0)
    pool.record_contact(runner, 0.5)
    pool.started(runner, "a", 0.5)
    assert runner.is_silent(0.6 + SILENCE_SECONDS)


def test_a_suspicion_of_a_peer_is_ignored_after_recent_contact() -> None:
    pool, runner = make_pool()
    pool.record_contact(runner, 1.0)
    pool.apply_peer_suspicion(runner, 1.1)
    assert runner.accepts(1.1)
    pool.apply_peer_suspicion(runner, 1.1 + SILENCE_SECONDS)
    assert not runner.accepts(1.1 + SILENCE_SECONDS)


def test_versions_rise_by_what_is_seen_and_fall_only_by_the_runners_word() -> None:
    pool, runner = make_pool()
    pool.note_loading(runner, MODEL, 3, 0.0)
    assert not runner.accepts(LOADING_SECONDS / 2)
    assert pool.observe_weights(runner, MODEL, 3)
    assert runner.accepts(LOADING_SECONDS / 2)
    assert not pool.observe_weights(runner, MODEL, 2)
    assert runner.weights_version(MODEL) == 3
    pool.correct_weights(runner, MODEL, 2)
    assert runner.weights_version(MODEL) == 2


def test_loads_of_peers_count_until_they_expire() -> None:
    pool, runner = make_pool()
    pool.note_peer_load(runner, "node-2", RunnerLoad(3, 1, 900), 10.0)
    pool.sent(runner, "a", OwnAttempt(0, 100, 10.0, due_at=11.0), 1.0)
    assert runner.running(10.0) == 4
    assert runner.committed_tokens(10.0) == 1_000
    assert runner.long_running(10.0) == 1
    assert runner.running(10.1 + PEER_LOAD_SECONDS) == 1
    pool.note_peer_load(runner, "node-2", RunnerLoad(), 10.1)
    assert runner.running(10.1) == 1


def test_prefills_queue_behind_one_another() -> None:
    pool, runner = make_pool()
    pool.sent(runner, "a", OwnAttempt(1_000, 0, 0.0, due_at=9.0), 1_000.0)
    pool.sent(runner, "b", OwnAttempt(500, 0, 0.0, due_at=9.0), 1_000.0)
    assert runner.prefill_wait(0.0) == 1.5
    pool.started(runner, "a", 0.2)
    assert runner.prefill_wait(0.2) > 0
    pool.started(runner, "b", 0.4)
    assert runner.prefill_wait(0.4) == 0.0


def test_a_runner_whose_load_was_not_told_to_have_ended_probably_has_loaded() -> None:
    pool, runner = make_pool()
    pool.note_loading(runner, MODEL, 4, 0.0)
    assert runner.likely_weights(MODEL, LOADING_SECONDS / 2) == 1
    assert runner.likely_weights(MODEL, LOADING_SECONDS) == 4
    assert runner.weights_version(MODEL) == 1
    pool.correct_weights(runner, MODEL, 2)
    assert runner.likely_weights(MODEL, LOADING_SECONDS) == 2
