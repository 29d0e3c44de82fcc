"""Limits the number of runners that one request can crash, whatever differs between its tries.

The tests guard against four failures, seen as a request that had crashed three runners, was sent
eight more times and crashed twelve. Callers received 502 and broken streams.

1. A verdict weighs a request against all others that were running at the same crashes. Several
   concurrent fatal requests explain each other's crashes, so none becomes the likely cause. Without
   a count, sixteen of them crashed up to 14 runners each and eight up to 10; with it, three each.
2. A try with another query, prompt or model counted as a new request. Two requests with varying
   queries crashed up to 27 runners each; counted by the content that all tries share, four each.
3. A run counted only while its node waited for it, but a runner continues, and crashes, after the
   caller has left or the deadline has passed. Callers that left 15 ms before the crash hid up to 31
   crashes; with runs counted for a second after they were abandoned, at most four.
4. Later bytes of a runner retracted its crash, even if they came from its next process at the same
   address, or if a node read them late after a pause and then notified all others. The last four
   tests cover this; three of them fail if any later bytes retract a crash.
"""

from __future__ import annotations

import functools
from collections.abc import Callable
from random import Random

import pytest

from hillstack.core.request_fingerprint import content_name
from hillstack.messages.runner_ends import RequestAtEnd, RunnerEndNotice
from hillstack.serving.suspect_permits import FATAL_REASON
from tests.fleet.crash_traffic import (
    CONTACT_SECONDS,
    MAX_LATE_SENDS,
    STEP_SECONDS,
    CrashTraffic,
    Variation,
    identical_tries,
    other_model,
    other_parts,
    other_query,
)
from tests.fleet.fatal_world import Node, Outcome, World

SECONDS = 25.0
# One in fifty: the rounded bound of the crash record for racks that fail (``test_runner_ends``).
MAX_INNOCENT_SHARE = 0.02


@pytest.mark.parametrize(
    ("nodes", "runners", "fatal", "vary"),
    [
        pytest.param(4, 6, 1, identical_tries, id="one"),
        pytest.param(4, 6, 2, other_query, id="other-query"),
        pytest.param(4, 6, 4, other_parts, id="other-parts"),
        pytest.param(6, 8, 3, other_model, id="other-model"),
        pytest.param(7, 8, 8, identical_tries, id="eight-at-a-time"),
        pytest.param(4, 8, 16, identical_tries, id="sixteen-at-a-time"),
    ],
)
@pytest.mark.parametrize("seed", [1, 2])
def test_at_most_three_sends_follow_the_third_crash(
    nodes: int, runners: int, fatal: int, vary: Variation, seed: int
) -> None:
    traffic = CrashTraffic(World(runners, nodes), seed, fatal, vary)
    traffic.run(SECONDS)
    assert traffic.max_late_sends() <= MAX_LATE_SENDS


@pytest.mark.parametrize("pause", [0.7, 4.0, 13.0])
@pytest.mark.parametrize("vary", [identical_tries, other_query])
def test_simultaneous_tries_at_all_nodes_are_bounded(vary: Variation, pause: float) -> None:
    world = World(40, 6)
    body = b"fatal 1"
    for number in range(20):
        for place, node in enumerate(world.nodes):
            send: Callable[..., Outcome] = functools.partial(world.send, node, body)
            send(**vary(10 * number + place))
        world.run(pause)
    known_at = world.runners.crashes_under(body)[2] + CONTACT_SECONDS
    later = [at for at, sent in world.runners.arrivals if sent == body and at > known_at]
    assert len(later) <= MAX_LATE_SENDS


def innocent_share(seed: int, word: bytes, *, one_body: bool) -> float:
    """Return the share of tries that are refused as fatal while runners crash by themselves."""
    world = World(8, 4)
    world.runners.events[b"mid"] = 60
    traffic = CrashTraffic(world, seed, 0, others_per_second=0.0)
    rng = Random(seed)
    tries: list[Outcome] = []

    def step(now: float) -> None:
        if rng.random() < 20 * STEP_SECONDS:
            number = len(tries)
            body = word if one_body else word + b" %d" % number
            node = rng.choice(sorted(world.nodes))
            tries.append(world.send(node, body, query=f"try={number}"))
        if rng.random() < STEP_SECONDS / 2.0:
            rng.choice(list(world.runners.by_id.values())).crash()

    traffic.run(20.0, step)
    world.run(9.0)
    errors = [str(sent.error) for sent in tries if sent.error is not None]
    return sum(FATAL_REASON in error for error in errors) / len(tries)


@pytest.mark.parametrize("one_body", [False, True], ids=["own-bodies", "one-body"])
@pytest.mark.parametrize("word", [b"short", b"mid", b"long"])
def test_few_innocent_requests_are_refused_when_runners_crash_by_themselves(
    word: bytes, one_body: bool
) -> None:
    shares = [innocent_share(seed, word, one_body=one_body) for seed in (1, 2)]
    assert max(shares) <= MAX_INNOCENT_SHARE


def test_requests_that_share_a_short_body_with_a_fatal_one_are_served() -> None:
    """Requests with the path, tenant and body of a request that is fatal because of its query."""
    world = World(8, 3)
    node = world.nodes["node-0"]
    watch = node.pipeline.runner_crashes
    content = content_name("tenant-1", "/gen/x", b"short")

    def tell() -> None:
        for number in range(2):
            requests = [RequestAtEnd(77, 110, started=False, content=content)]
            notice = RunnerEndNotice(f"gone-{number}", 2_000 - 1_000 * number, requests)
            watch.observe("node-9", notice, world.scheduler.now)

    world.loop.call_soon(tell)
    world.run(0.01)
    tries = [world.send("node-0", b"short", query=f"q={number}") for number in range(20)]
    world.run(3.0)
    assert all(sent.is_served for sent in tries)
    assert node.state.crash_counts.count(content) == 0
    assert node.state.crash_counts.count(77) == 2


@pytest.mark.parametrize("seed", [1, 2])
def test_crashes_after_the_caller_left_are_counted(seed: int) -> None:
    world = World(6, 4)
    world.runners.continues_abandoned_runs = True
    traffic = CrashTraffic(world, seed, 2, leaves_after_seconds=0.1)
    traffic.run(SECONDS)
    assert traffic.max_late_sends() <= MAX_LATE_SENDS


def test_an_unobserved_crash_is_found_by_the_next_refused_connection() -> None:
    world = World(3, 1)
    world.runners.continues_abandoned_runs = True
    fatal = world.send("node-0", b"fatal 1")
    world.run(0.1)
    world.loop.call_soon(fatal.task.cancel)
    world.run(0.1)
    record = world.nodes["node-0"].state.runner_crashes
    assert len(world.runners.ended()) == 1
    assert not record
    for number in range(6):
        world.send("node-0", b"short %d" % number)
    world.run(0.3)
    (crash,) = record.crashes()
    assert len(crash.runs) == 1


def test_an_abandoned_run_is_reported_when_a_peer_reports_the_crash() -> None:
    world = World(1, 2)
    world.runners.continues_abandoned_runs = True
    beside = world.send("node-1", b"long 1")
    fatal = world.send("node-0", b"fatal 1")
    world.run(0.1)
    world.loop.call_soon(fatal.task.cancel)
    world.run(0.5)
    assert beside.task.done() and beside.error is not None
    for node in world.nodes.values():
        (crash,) = node.state.runner_crashes.crashes()
        assert len(crash.runs) == 2


def test_a_run_abandoned_long_before_a_crash_is_not_counted() -> None:
    world = World(1, 1)
    left = world.send("node-0", b"long 1")
    world.send("node-0", b"long 2")
    world.run(0.2)
    world.loop.call_soon(left.task.cancel)
    world.run(1.5)
    world.runners.by_id["i-0"].crash()
    world.run(0.01)
    (crash,) = world.nodes["node-0"].state.runner_crashes.crashes()
    assert len(crash.runs) == 1


def _report_crash_from_peer(world: World, runner_id: str, ended_ms_ago: int) -> None:
    """Let a peer report a runner crash to the first node."""
    notice = RunnerEndNotice(runner_id, ended_ms_ago, [RequestAtEnd(77, 110, started=False)])
    watch = world.nodes["node-0"].pipeline.runner_crashes
    world.loop.call_soon(watch.observe, "node-9", notice, world.scheduler.now)
    world.run(0.001)


def test_a_runner_that_listens_again_after_some_seconds_has_crashed() -> None:
    world = World(1, 1)
    node = world.nodes["node-0"]
    _report_crash_from_peer(world, "i-0", 0)
    world.run(3.0)
    assert world.try_until_done("node-0", b"short 1").is_served
    node.pipeline.runner_crashes._refresh()
    assert node.state.crash_counts.count(77) == 1
    assert node.state.runner_crashes.get("i-0") is not None


def test_a_connection_older_than_the_crash_proves_that_its_runner_is_alive() -> None:
    world = World(1, 1)
    node = world.nodes["node-0"]
    world.send("node-0", b"long 1")
    world.run(4.0)
    _report_crash_from_peer(world, "i-0", 3_000)
    assert node.state.crash_counts.count(77) == 0


def test_bytes_that_were_read_late_do_not_prove_that_a_runner_is_alive() -> None:
    world = World(1, 1)
    node = world.nodes["node-0"]
    lag_free_since = [1_000.0]
    node.pipeline.runner_crashes.set_lag_source(lambda: lag_free_since[0])
    world.send("node-0", b"long 1")
    world.run(1.0)
    _report_crash_from_peer(world, "i-0", 500)
    assert node.state.crash_counts.count(77) == 1
    # Bytes that are read without delay prove it.
    lag_free_since[0] = world.scheduler.now
    world.run(0.1)
    node.pipeline.runner_crashes._refresh()
    assert node.state.crash_counts.count(77) == 0


def test_a_peer_with_later_contact_does_not_retract_a_crash() -> None:
    world = World(3, 1)
    node = world.nodes["node-0"]
    world.try_until_done("node-0", b"fatal 1")
    ends = [crash.runner_id for crash in node.state.runner_crashes.crashes()]
    watch = node.pipeline.runner_crashes

    def tell(runner_id: str) -> None:
        told = RunnerEndNotice(runner_id, 0, [], taken_back=True)
        world.loop.call_soon(watch.observe, "node-9", told, world.scheduler.now)
        world.run(0.01)

    # A peer with contact right after the crash retracts it: only this node's connections were cut.
    tell(ends[0])
    world.run(3.0)
    tell(ends[1])
    assert [crash.runner_id for crash in node.state.runner_crashes.crashes()] == ends[1:]


def test_nodes_with_abandoned_runs_do_not_answer_notices_endlessly() -> None:
    world = World(2, 2)
    world.runners.continues_abandoned_runs = True
    tries = [world.send(f"node-{number % 2}", b"long %d" % number) for number in range(160)]
    world.run(0.2)
    for sent in tries:
        world.loop.call_soon(sent.task.cancel)
    world.run(0.1)
    told: list[RunnerEndNotice] = []
    deliver = world.deliver

    def count(source: str, node: Node, notice: RunnerEndNotice) -> None:
        told.append(notice)
        deliver(source, node, notice)

    world.deliver = count  # type: ignore[method-assign]
    _report_crash_from_peer(world, "i-0", 0)
    world.run(2.0)
    assert told
    assert len(told) < 20


@pytest.mark.parametrize("cut_after", [0.0, 0.02, 0.04, 0.06])
def test_a_crash_after_a_cut_connection_of_another_node_is_counted(cut_after: float) -> None:
    """A runner crashes just after another node has lost only its own connection to it.

    Guards against a request that crashed four runners: its crash was recorded with the time of the
    cut, and bytes from between the two retracted the crash.
    """
    world = World(1, 2)
    body = b"fatal 1"
    world.send("node-1", b"long 1")
    world.run(0.6)
    outcome = world.send("node-0", body)
    world.run(0.01 + cut_after)
    world.loop.call_soon(world.runners.by_id["i-0"].cut_connection_of, "r-1")
    for number in range(1, 6):
        world.start_runner(f"i-{number}")
    world.run(3.0)
    assert outcome.task.done()
    for number in range(4):
        world.try_until_done(f"node-{number % 2}", body)
    crashes = world.runners.crash_count(body)
    world.scheduler.close()
    assert crashes <= 2
