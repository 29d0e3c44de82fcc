"""Requests that crash the runner that runs them.

A fatal request crashes each runner about 0.1 s after it began there, together with about twenty
other streams. If every node and every try treats the crash as the runner's own failure, a request
is sent to two runners, and its caller's retry through another node to two more, so that each fatal
request crashes four runners.
"""

from __future__ import annotations

import pytest

from hillstack.core.node_directory import NodeEntry
from hillstack.core.part_index import PromptPart
from hillstack.core.prompt_shape import PromptShape
from hillstack.core.request_fingerprint import request_fingerprint
from hillstack.core.runner_crashes import (
    CRASH_RETENTION_SECONDS,
    FATAL_CRASH_RETENTION_SECONDS,
    FATAL_REFUSAL_SECONDS,
    MAX_RECORDED_CRASHES,
)
from hillstack.messages.runner_ends import RequestAtEnd, RunnerEndNotice
from hillstack.serving.crash_notices import crash_notice
from hillstack.serving.runner_crashes import NOTICE_INTERVAL_SECONDS
from hillstack.serving.types import Verdict
from tests.fleet.builders import HOST, MODEL
from tests.fleet.fatal_world import PARTS, World

FATAL = b"fatal 1"


@pytest.fixture(params=[False, True], ids=["engines", "applications"])
def application(request: pytest.FixtureRequest) -> bool:
    return bool(request.param)


def test_a_fatal_request_crashes_at_most_two_runners(application: bool) -> None:
    world = World(8, 1, application=application)
    first = world.try_until_done("node-0", FATAL)
    assert first.verdict() in (Verdict.FAILED, "cut")
    for _ in range(3):
        again = world.try_until_done("node-0", FATAL)
        assert again.verdict() is Verdict.FAILED
    assert len(world.runners.ended()) == 2


def test_a_retry_through_another_node_crashes_no_further_runner(application: bool) -> None:
    world = World(8, 3, application=application)
    world.try_until_done("node-0", FATAL)
    for node in ("node-1", "node-2", "node-0"):
        again = world.try_until_done(node, FATAL)
        assert again.verdict() is Verdict.FAILED
        assert not again.sink.heads
    assert len(world.runners.ended()) == 2


def test_a_retry_that_overtakes_the_crash_notice_is_aborted_at_its_runner() -> None:
    world = World(8, 2)
    first = world.send("node-0", FATAL)
    while not first.task.done():
        world.run(0.0005)
    again = world.send("node-1", FATAL)
    world.run(1.0)
    assert again.verdict() in (Verdict.FAILED, "cut")
    assert len(world.runners.ended()) == 2


def test_a_refused_fatal_request_is_reported_as_failed_not_as_not_run() -> None:
    world = World(8, 1)
    world.try_until_done("node-0", FATAL)
    again = world.try_until_done("node-0", FATAL)
    assert again.verdict() is Verdict.FAILED
    assert again.error is not None and getattr(again.error, "retry_after", 0) is None


def test_other_requests_are_served_as_before() -> None:
    world = World(8, 2)
    world.try_until_done("node-0", FATAL)
    world.run(4.0)
    outcomes = [world.send(f"node-{number % 2}", b"short %d" % number) for number in range(20)]
    world.run(2.0)
    assert all(outcome.is_served for outcome in outcomes)


def test_streams_beside_a_fatal_request_are_resumed_at_other_runners() -> None:
    world = World(8, 2)
    streams = [world.send(f"node-{number % 2}", b"long %d" % number) for number in range(24)]
    world.run(2.0)
    fatal = world.send("node-0", FATAL)
    world.run(9.0)
    assert not fatal.is_served
    assert len(world.runners.ended()) == 2
    assert all(stream.is_served for stream in streams)


def test_requests_that_just_began_beside_a_fatal_request_are_served() -> None:
    world = World(8, 2)
    fatal = world.send("node-0", FATAL)
    world.run(0.05)
    victims = [world.send(f"node-{number % 2}", b"short %d" % number) for number in range(12)]
    world.run(4.0)
    assert not fatal.is_served
    assert len(world.runners.ended()) == 2
    assert all(victim.is_served for victim in victims)


def test_a_suspect_is_tried_at_a_runner_with_few_other_requests() -> None:
    world = World(6, 1)
    streams = [world.send("node-0", b"long %d" % number) for number in range(15)]
    world.run(1.0)
    fatal = world.send("node-0", FATAL)
    world.run(1.0)
    assert not fatal.is_served
    second = world.runners.ended()[-1]
    beside = min(len(runner.bodies_at_crash) for runner in world.runners.ended())
    assert FATAL in second.bodies_at_crash
    assert beside <= 3
    world.run(8.0)
    assert all(stream.is_served for stream in streams)


def test_other_requests_avoid_a_runner_with_a_suspect() -> None:
    world = World(4, 1)
    world.send("node-0", FATAL)
    world.run(0.16)
    later = [world.send("node-0", b"short %d" % number) for number in range(6)]
    world.run(2.0)
    assert len(world.runners.ended()) == 2
    beside = [body for runner in world.runners.ended() for body in runner.bodies_at_crash]
    assert [body for body in beside if body != FATAL] == []
    assert all(outcome.is_served for outcome in later)


def test_two_concurrent_fatal_requests_crash_two_runners_each() -> None:
    world = World(10, 2)
    outcomes = [world.send("node-0", b"fatal 1"), world.send("node-1", b"fatal 2")]
    world.run(2.0)
    outcomes += [world.send("node-1", b"fatal 1"), world.send("node-0", b"fatal 2")]
    world.run(2.0)
    assert not any(outcome.is_served for outcome in outcomes)
    assert world.runners.crash_count(b"fatal 1") <= 2
    assert world.runners.crash_count(b"fatal 2") <= 2


def test_concurrent_tries_of_one_fatal_request_crash_two_runners() -> None:
    world = World(8, 3)
    tries = [world.send(f"node-{number}", FATAL) for number in range(3)]
    world.run(0.05)
    tries += [world.send(f"node-{number}", FATAL) for number in range(3)]
    world.run(4.0)
    tries += [world.send(f"node-{number}", FATAL) for number in range(3)]
    world.run(4.0)
    assert not any(outcome.is_served for outcome in tries)
    assert len(world.runners.ended()) == 2


def test_a_crash_just_after_a_fatal_run_was_aborted_counts_for_that_run() -> None:
    world = World(8, 2)
    world.partitioned_nodes = {"node-1"}
    world.try_until_done("node-0", FATAL)
    record = world.nodes["node-1"].state.runner_crashes
    # Without a ledger and the notices, the other node does not know that it may not send it.
    world.lose_ledgers()
    again = world.send("node-1", FATAL)
    world.run(0.09)
    world.partitioned_nodes = set()
    # A try through the other node is running when the notices of both crashes arrive.
    at = next(runner for runner in world.runners.by_id.values() if FATAL in runner.running_bodies)
    crashes = world.nodes["node-0"].state.runner_crashes.crashes()
    for crash in crashes:
        notice = crash_notice(crash, world.scheduler.now)
        world.deliver("node-0", world.nodes["node-1"], notice)
    world.run(0.02)
    assert again.task.done() and at.is_alive
    at.crash()
    fingerprint = next(iter(record.fatal()))
    told = RunnerEndNotice(at.runner_id, 0, [RequestAtEnd(1, 2_000, True, 1_900)])
    world.deliver("node-0", world.nodes["node-1"], told)
    world.run(0.02)
    known = record.get(at.runner_id)
    assert known is not None and fingerprint in known.runs
    # The node of the aborted run reports the crash to the others.
    other = world.nodes["node-0"].state.runner_crashes.get(at.runner_id)
    assert other is not None and fingerprint in other.runs


def test_a_suspect_that_no_runner_accepts_is_refused_immediately() -> None:
    world = World(1, 1)
    first = world.try_until_done("node-0", FATAL)
    assert first.verdict() == "cut"
    sent_at = world.scheduler.now
    again = world.try_until_done("node-0", FATAL)
    assert again.verdict() is Verdict.UNAVAILABLE
    assert world.scheduler.now - sent_at < 0.05


def test_two_fatal_requests_at_one_runner_crash_two_runners_each() -> None:
    world = World(8, 1)
    world.runners.by_id.update()
    state = world.nodes["node-0"].state
    for runner in state.pool.all()[1:]:
        runner.suspected_until = 0.05
    world.send("node-0", b"fatal 1")
    world.run(0.02)
    world.send("node-0", b"fatal 2")
    world.run(3.0)
    for body in (b"fatal 1", b"fatal 2", b"fatal 1", b"fatal 2"):
        world.try_until_done("node-0", body)
    assert len(world.runners.ended()[0].bodies_at_crash) == 2
    # One of the two caused the first crash; the other one is found after two more crashes.
    assert len(world.runners.ended()) <= 4


def test_a_lost_notice_is_repeated() -> None:
    world = World(8, 2)
    world.notices_to_drop = 100
    world.scheduler.spawn(world.loop, world.nodes["node-0"].pipeline.runner_crashes.run())
    world.try_until_done("node-0", FATAL)
    world.notices_to_drop = 0
    world.run(NOTICE_INTERVAL_SECONDS + 0.05)
    again = world.try_until_done("node-1", FATAL)
    assert again.verdict() is Verdict.FAILED
    assert len(world.runners.ended()) == 2


def test_a_starting_node_receives_crashes_from_its_peers() -> None:
    world = World(8, 1)
    world.try_until_done("node-0", FATAL)
    world.run(10.0)
    world.add_node("node-1")
    world.nodes["node-0"].state.nodes.list_node(
        world.nodes["node-1"].state.nodes.get("node-1")  # type: ignore[arg-type]
    )
    world.nodes["node-0"].pipeline.runner_crashes.send_initial_state("node-1")
    world.run(0.05)
    again = world.try_until_done("node-1", FATAL)
    assert again.verdict() is Verdict.FAILED
    assert len(world.runners.ended()) == 2


def test_restarts_of_all_nodes_report_no_crashes_and_lose_none() -> None:
    world = World(8, 3)
    world.try_until_done("node-0", FATAL)
    streams = [world.send(f"node-{number % 3}", b"long %d" % number) for number in range(9)]
    world.run(0.5)
    for stream in streams:
        world.loop.call_soon(stream.task.cancel)
    world.run(0.1)
    for name in list(world.nodes):
        started = world.add_node(name)
        for node in world.nodes.values():
            node.state.nodes.list_node(NodeEntry(name, "10.1.0.1:1", "zone-a"))
        for node in world.nodes.values():
            if node is not started:
                node.pipeline.runner_crashes.send_initial_state(name)
        world.run(0.3)
    for node in world.nodes.values():
        assert len(node.state.runner_crashes.crashes()) == 2
    for name in world.nodes:
        assert world.try_until_done(name, FATAL).verdict() is Verdict.FAILED
        assert world.try_until_done(name, b"short 1").is_served
    assert len(world.runners.ended()) == 2


def test_partitioned_nodes_lose_two_runners_per_side() -> None:
    world = World(8, 2)
    world.partitioned_nodes = {"node-1"}
    for node in ("node-0", "node-1", "node-0", "node-1"):
        world.try_until_done(node, FATAL)
    assert len(world.runners.ended()) <= 4


def test_a_cut_connection_is_not_a_runner_crash() -> None:
    world = World(3, 1)
    streams = [world.send("node-0", b"long %d" % number) for number in range(9)]
    world.run(0.2)
    next(r for r in world.runners.by_id.values() if len(r.runs) > 1).cut_connection()
    world.run(0.5)
    state = world.nodes["node-0"].state
    again = world.try_until_done("node-0", b"short 1")
    assert again.is_served
    assert not state.runner_crashes.crashes()
    world.run(9.0)
    assert all(stream.is_served for stream in streams)


def test_a_request_whose_connections_are_cut_twice_is_not_fatal() -> None:
    world = World(3, 1)
    streams = [world.send("node-0", b"long %d" % number) for number in range(9)]
    world.run(0.2)
    unlucky = world.send("node-0", b"unlucky")
    for _ in range(2):
        world.run(0.1)
        runner = next(r for r in world.runners.by_id.values() if b"unlucky" in r.running_bodies)
        runner.cut_connection(len(runner.runs) - 1)
    world.run(0.2)
    assert unlucky.task.done()
    assert world.try_until_done("node-0", b"unlucky").is_served
    world.run(9.0)
    assert all(stream.is_served for stream in streams)


def test_silence_and_refusals_are_not_crashes() -> None:
    world = World(3, 1)
    state = world.nodes["node-0"].state
    world.runners.by_id["i-0"].is_alive = False
    outcomes = [world.send("node-0", b"short %d" % number) for number in range(6)]
    world.run(1.0)
    assert all(outcome.is_served for outcome in outcomes)
    assert not state.runner_crashes.crashes()


def test_a_runner_that_crashes_by_itself_makes_no_request_fatal() -> None:
    world = World(6, 2)
    streams = [world.send(f"node-{number % 2}", b"long %d" % number) for number in range(24)]
    world.run(1.0)
    world.runners.by_id["i-0"].crash()
    world.run(2.0)
    world.runners.by_id["i-1"].crash()
    world.run(8.0)
    for node in world.nodes.values():
        assert not node.state.runner_crashes.fatal()
    lost_twice = [stream for stream in streams if not stream.is_served]
    # The route allows two attempts, so streams that were running at both crashes are cut.
    assert len(lost_twice) <= 8


def test_a_request_of_many_callers_is_cleared_by_a_successful_run() -> None:
    world = World(6, 2, application=True)
    outcomes = []
    for round_number in range(60):
        outcomes += [world.send(f"node-{number}", b"popular") for number in (0, 1)]
        if round_number in (20, 40):
            busy = max(world.runners.by_id.values(), key=lambda runner: len(runner.running_bodies))
            busy.crash()
        world.run(0.03)
    world.run(2.0)
    for node in world.nodes.values():
        assert not node.state.runner_crashes.fatal()
    assert all(outcome.is_served for outcome in outcomes)


def test_streams_of_one_request_by_many_callers_survive_unrelated_crashes() -> None:
    world = World(6, 2)
    outcomes = []
    for round_number in range(60):
        outcomes += [world.send(f"node-{number}", b"long popular") for number in (0, 1)]
        if round_number in (20, 40):
            busy = max(world.runners.by_id.values(), key=lambda runner: len(runner.running_bodies))
            busy.crash()
        world.run(0.05)
    world.run(9.0)
    for node in world.nodes.values():
        assert not node.state.runner_crashes.fatal()
    verdicts = [outcome.verdict() for outcome in outcomes]
    # A stream is cut if the second crash broke its second run, the last one that the route allows.
    assert verdicts.count("served") >= 0.8 * len(outcomes)
    assert Verdict.FAILED not in verdicts


def test_a_run_that_survives_the_age_of_earlier_crashes_clears_its_request() -> None:
    world = World(4, 1)
    node = world.nodes["node-0"]
    stream = world.send("node-0", b"long popular")
    world.run(1.0)
    fingerprint = request_fingerprint(
        ("tenant-1", "POST", HOST, "/gen/x", MODEL),
        PromptShape(tuple(PromptPart(*part) for part in PARTS), 50),
        b"long popular",
    )

    def tell() -> None:
        for number, ended_ms_ago in ((1, 300), (2, 100)):
            requests = [RequestAtEnd(fingerprint, 110, started=False)]
            notice = RunnerEndNotice(f"gone-{number}", ended_ms_ago, requests)
            node.pipeline.runner_crashes.observe("node-9", notice, world.scheduler.now)

    world.loop.call_soon(tell)
    world.run(0.001)
    assert fingerprint in node.state.runner_crashes.fatal()
    world.run(0.1)
    assert not node.state.runner_crashes.fatal()
    world.run(9.0)
    assert stream.is_served


def test_a_ready_answer_is_delivered_although_its_request_is_found_fatal() -> None:
    world = World(4, 1, application=True)
    node = world.nodes["node-0"]
    reading = world.send("node-0", b"slowly read")
    reading.sink.reading_seconds = 1.0
    while reading.sink.status is None:
        world.run(0.01)
    fingerprint = request_fingerprint(
        ("tenant-1", "POST", HOST, "/app/x", ""), None, b"slowly read"
    )

    def tell() -> None:
        for number, ended_ms_ago in ((1, 300), (2, 100)):
            requests = [RequestAtEnd(fingerprint, 110, started=False)]
            notice = RunnerEndNotice(f"gone-{number}", ended_ms_ago, requests)
            node.pipeline.runner_crashes.observe("node-9", notice, world.scheduler.now)

    world.loop.call_soon(tell)
    world.run(0.1)
    assert fingerprint in node.state.runner_crashes.fatal()
    world.run(1.5)
    assert reading.is_served


def test_all_attempts_of_a_node_at_a_runner_count_as_lost_with_the_first_one() -> None:
    world = World(2, 1)
    record = world.nodes["node-0"].state.runner_crashes
    for number in range(6):
        world.send("node-0", b"long %d" % number)
    world.run(1.0)
    runner = max(world.runners.by_id.values(), key=lambda runner: len(runner.running_bodies))
    there = len(runner.running_bodies)
    assert there > 1
    runner.cut_connection()
    world.run(0.001)
    assert [len(crash.runs) for crash in record.crashes()] == [there]


def test_an_unsafe_request_is_never_resent_and_is_fatal_after_its_second_try() -> None:
    world = World(6, 2, application=True, unsafe=True)
    first = world.try_until_done("node-0", FATAL)
    assert first.verdict() is Verdict.FAILED
    assert len(world.runners.ended()) == 1
    second = world.try_until_done("node-1", FATAL)
    assert second.verdict() is Verdict.FAILED
    for node in ("node-0", "node-1"):
        assert world.try_until_done(node, FATAL).verdict() is Verdict.FAILED
    assert len(world.runners.ended()) == 2


def test_an_unsafe_request_beside_a_fatal_request_is_not_repeated() -> None:
    world = World(1, 1, application=True, unsafe=True)
    beside = world.send("node-0", b"beside")
    world.send("node-0", FATAL)
    world.run(2.0)
    assert beside.verdict() is Verdict.FAILED
    served = [name for runner in world.runners.by_id.values() for name in runner.served]
    assert served.count("r-1") == 1


def test_the_crash_record_is_bounded_and_expires() -> None:
    world = World(4, 1)
    node = world.nodes["node-0"]
    record = node.state.runner_crashes

    def tell() -> None:
        for number in range(3 * MAX_RECORDED_CRASHES):
            requests = [RequestAtEnd(number * 1_000 + at, 100, False) for at in range(300)]
            notice = RunnerEndNotice(f"gone-{number}", number, requests)
            node.pipeline.runner_crashes.observe("node-9", notice, world.scheduler.now)

    world.loop.call_soon(tell)
    world.run(0.1)
    assert len(record.crashes()) == MAX_RECORDED_CRASHES
    assert all(len(crash.runs) <= 128 for crash in record.crashes())
    world.run(CRASH_RETENTION_SECONDS + 1.0)
    assert world.try_until_done("node-0", b"short 1").is_served
    assert not record


def test_a_fatal_request_gets_one_more_try_and_expires_later() -> None:
    world = World(8, 1)
    world.try_until_done("node-0", FATAL)
    record = world.nodes["node-0"].state.runner_crashes
    world.run(FATAL_REFUSAL_SECONDS - 1.0)
    assert world.try_until_done("node-0", FATAL).verdict() is Verdict.FAILED
    assert len(world.runners.ended()) == 2
    world.run(2.0)
    world.try_until_done("node-0", FATAL)
    assert world.try_until_done("node-0", FATAL).verdict() is Verdict.FAILED
    assert len(world.runners.ended()) == 3
    world.run(FATAL_CRASH_RETENTION_SECONDS)
    assert world.try_until_done("node-0", b"short 1").is_served
    assert not record


def test_a_leaving_or_loading_runner_that_disconnects_is_not_a_crash() -> None:
    world = World(6, 1)
    state = world.nodes["node-0"].state
    world.send("node-0", b"long 1")
    world.run(0.1)
    first = next(runner for runner in state.pool.all() if runner.attempts)
    state.pool.note_leaving(first)
    world.runners.by_id[first.runner_id].crash()
    world.run(0.1)
    second = next(runner for runner in state.pool.all() if runner.attempts)
    state.pool.note_loading(second, "model-a", 2, world.scheduler.now)
    world.runners.by_id[second.runner_id].crash()
    world.run(1.0)
    assert len(world.runners.ended()) == 2
    assert not state.runner_crashes


def test_without_crashes_no_fingerprint_is_computed(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> int:
        raise AssertionError

    monkeypatch.setattr("hillstack.serving.request_names.request_fingerprint", fail)
    monkeypatch.setattr("hillstack.serving.request_names.part_name", fail)
    world = World(4, 1)
    assert all(world.try_until_done("node-0", b"short %d" % n).is_served for n in range(5))


def test_crashes_and_verdicts_are_counted() -> None:
    world = World(8, 1)
    world.try_until_done("node-0", FATAL)
    world.run(0.1)
    world.try_until_done("node-0", FATAL)
    text = world.nodes["node-0"].pipeline._metrics.text().decode()
    assert 'hillstack_runner_ends_total{event="seen"} 2.0' in text
    assert 'hillstack_runner_ends_total{event="suspect_sent"} 1.0' in text
    assert 'hillstack_runner_ends_total{event="fatal"} 1.0' in text
    assert 'hillstack_runner_ends_total{event="refused"}' in text
