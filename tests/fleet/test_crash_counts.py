"""The count of runners that crashed under a request, which bounds the sends of the request."""

from __future__ import annotations

import pytest

from hillstack.core.crash_counts import (
    MAX_CRASHES,
    MAX_NAMES,
    REPEATED_RETENTION_SECONDS,
    SINGLE_RETENTION_SECONDS,
    TRIAL_INTERVAL_SECONDS,
    TRIAL_PAUSES_SECONDS,
    CrashCounts,
    CrashedRun,
)
from hillstack.messages.runner_ends import RequestAtEnd, RunnerEndNotice
from hillstack.serving.types import Verdict
from tests.fleet.crash_traffic import CONTACT_SECONDS, MAX_LATE_SENDS
from tests.fleet.fatal_world import World

NAME = 7
FATAL = b"fatal 1"


def crash(counts: CrashCounts, number: int, ended_at: float, age: float = 0.1) -> None:
    counts.note(NAME, CrashedRun(f"i-{number}", ended_at - age, ended_at))


def make_bounded_counts() -> CrashCounts:
    counts = CrashCounts()
    for number in range(MAX_CRASHES):
        crash(counts, number, 1.0 + number)
    return counts


def test_sequential_crashes_bound_a_request() -> None:
    counts = CrashCounts()
    for number in range(MAX_CRASHES):
        assert not counts.has_reached_bound(NAME)
        crash(counts, number, 1.0 + number)
        crash(counts, number, 1.0 + number)
    assert counts.has_reached_bound(NAME)


def test_simultaneous_crashes_count_once() -> None:
    counts = CrashCounts()
    for number in range(6):
        crash(counts, number, 1.0 + number / 100, age=0.5)
    assert counts.count(NAME) == 1


def test_the_order_of_the_reports_does_not_matter() -> None:
    counts = CrashCounts()
    for number in (2, 0, 1):
        crash(counts, number, 1.0 + number)
    assert counts.has_reached_bound(NAME)


def test_success_resets_the_count_also_for_crashes_reported_later() -> None:
    counts = make_bounded_counts()
    assert counts.clear(NAME, 4.0)
    crash(counts, 9, 3.9)
    assert counts.count(NAME) == 0
    crash(counts, 10, 4.1)
    assert counts.count(NAME) == 1


def test_a_retracted_crash_does_not_count() -> None:
    counts = make_bounded_counts()
    counts.retract("i-1")
    assert counts.count(NAME) == MAX_CRASHES - 1


def test_nodes_take_turns_with_trials() -> None:
    counts = make_bounded_counts()
    first = MAX_CRASHES + TRIAL_PAUSES_SECONDS[0]
    assert not counts.may_try(NAME, 0, first - 0.1)
    assert counts.may_try(NAME, 0, first)
    assert not counts.may_try(NAME, 1, first)
    assert counts.may_try(NAME, 1, first + TRIAL_INTERVAL_SECONDS)


def test_a_request_gets_three_trials_whatever_their_outcome() -> None:
    counts = make_bounded_counts()
    trials = 0
    for second in range(4 * 3_600):
        if counts.may_try(NAME, 0, float(second)):
            counts.record_trial(NAME, float(second))
            trials += 1
    assert trials == len(TRIAL_PAUSES_SECONDS) == MAX_LATE_SENDS


def test_a_crash_in_a_trial_is_not_counted_as_a_further_trial() -> None:
    counts = make_bounded_counts()
    trials = 0
    for second in range(4, 4 * 3_600):
        if counts.may_try(NAME, 0, float(second)):
            counts.record_trial(NAME, float(second))
            trials += 1
            crash(counts, 10 + trials, second + 0.2)
    assert trials == MAX_LATE_SENDS


def test_crashes_of_earlier_runs_use_up_no_trial() -> None:
    counts = make_bounded_counts()
    for number in range(6):
        crash(counts, 10 + number, MAX_CRASHES + 0.1 * (1 + number), age=0.05)
    last = MAX_CRASHES + 0.6
    assert counts.may_try(NAME, 0, last + TRIAL_PAUSES_SECONDS[0])


def test_settled_streams_are_bounded_after_more_crashes() -> None:
    counts = CrashCounts()
    for number in range(2 * MAX_CRASHES):
        assert not counts.has_reached_bound(NAME)
        ended_at = 10.0 * (1 + number)
        run = CrashedRun(f"i-{number}", ended_at - 4.0, ended_at, is_settled=True)
        counts.note(NAME, run)
    assert counts.has_reached_bound(NAME)
    assert not counts.may_try(NAME, 0, 1_000_000.0)


def test_a_run_much_older_than_the_crashed_runs_has_survived() -> None:
    counts = make_bounded_counts()
    assert not counts.has_survived(NAME, 1.1)
    assert counts.has_survived(NAME, 1.3)
    assert not counts.has_survived(NAME + 1, 100.0)


def test_requests_with_one_crash_do_not_evict_those_with_several() -> None:
    counts = make_bounded_counts()
    for other in range(2 * MAX_NAMES):
        counts.note(1_000 + other, CrashedRun("i-9", 4.0, 5.0))
    assert counts.has_reached_bound(NAME)
    assert counts.count(1_000) == 0


def test_counts_expire() -> None:
    counts = make_bounded_counts()
    counts.note(8, CrashedRun("i-9", 1.0, 2.0))
    counts.expire(SINGLE_RETENTION_SECONDS + 10.0)
    assert counts.count(8) == 0
    assert counts.has_reached_bound(NAME)
    counts.expire(REPEATED_RETENTION_SECONDS + 10.0)
    assert not counts


@pytest.mark.parametrize("pause", [20.0, 60.0, 240.0])
def test_a_caller_that_retries_rarely_is_bounded_too(pause: float) -> None:
    world = World(24, 3, application=True, unsafe=True)
    for number in range(30):
        world.try_until_done(f"node-{number % 3}", FATAL)
        world.run(pause)
    crashes = world.runners.crashes_under(FATAL)
    known_at = crashes[MAX_CRASHES - 1] + CONTACT_SECONDS
    later = [at for at, body in world.runners.arrivals if body == FATAL and at > known_at]
    assert len(later) <= MAX_LATE_SENDS


def test_an_answer_with_a_failure_clears_no_request() -> None:
    world = World(12, 1)
    node = world.nodes["node-0"]
    watch = node.pipeline.runner_crashes
    world.try_until_done("node-0", FATAL)
    (fingerprint,) = node.state.runner_crashes.fatal()
    outcome = world.send("node-0", b"short")
    world.run(0.01)
    (job, _), *_ = watch._active.values()
    job.fingerprint = fingerprint
    watch.answered(job, succeeded=False)
    assert node.state.crash_counts.count(fingerprint) == 2
    watch.answered(job, succeeded=True)
    assert node.state.crash_counts.count(fingerprint) == 0
    world.run(1.0)
    assert outcome.is_served


def test_a_starting_node_is_sent_old_crashes() -> None:
    world = World(12, 1, application=True, unsafe=True)
    for _ in range(2):
        world.try_until_done("node-0", FATAL)
        world.run(400.0)
    node = world.nodes["node-0"]
    started = world.add_node("node-1")
    node.state.nodes.list_node(started.state.nodes.get("node-1"))  # type: ignore[arg-type]
    node.pipeline.runner_crashes.send_initial_state("node-1")
    world.run(0.05)
    world.try_until_done("node-1", FATAL)
    assert world.try_until_done("node-1", FATAL).verdict() is Verdict.FAILED
    assert len(world.runners.ended()) == MAX_CRASHES


def test_a_success_notice_resets_the_count_of_peers() -> None:
    world = World(4, 2)
    counts = world.nodes["node-1"].state.crash_counts
    requests = [RequestAtEnd(NAME, 110, started=False)]
    watch = world.nodes["node-1"].pipeline.runner_crashes
    world.loop.call_soon(watch.observe, "node-0", RunnerEndNotice("gone", 0, requests), 0.0)
    world.run(0.01)
    assert counts.count(NAME) == 1
    notice = RunnerEndNotice("", 0, [], succeeded=[NAME])
    world.loop.call_soon(watch.observe, "node-0", notice, world.scheduler.now)
    world.run(0.01)
    assert counts.count(NAME) == 0
