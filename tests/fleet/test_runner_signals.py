"""Signals in the answers of runners: reading, duration, effect on requests, and notices to peers.

``test_runner_signals_process`` describes the failures seen while nodes ignored them.
"""

from __future__ import annotations

import asyncio
import math
from pathlib import Path
from random import Random

import pytest

from hillstack.core.cache_watch import CacheHolder
from hillstack.core.routing_table import RouteKind
from hillstack.core.runner_limit import AnswerKind, AnswerSource
from hillstack.core.runner_pool import (
    HINT_AGAIN_SECONDS,
    HINT_SECONDS,
    UNLISTED_MEMORY_SECONDS,
    Runner,
    RunnerPool,
)
from hillstack.core.runner_signals import MAX_PROCESSES, ReceivedSignals, RunnerSignals
from hillstack.core.weights_rollout import WeightsLoadPlan, WeightsLoadView
from hillstack.daemon.notice_reader import NoticeReader
from hillstack.daemon.weights_orders import WeightsOrder
from hillstack.emulator.fleet_runner import FleetRunner
from hillstack.errors import BackendBrokenError, BackendError
from hillstack.messages.peer_notices import PROTOCOL_VERSION, NodeNotice
from hillstack.platform import names
from hillstack.platform.cache_feed import HttpCacheFeed
from hillstack.platform.connections import make_runner_session
from hillstack.platform.runner_signals import (
    MAX_BACKOFF_SECONDS,
    SentCall,
    SignalReader,
    parse_backoff,
    parse_signals,
)
from hillstack.platform.runners import HttpRunnerClient
from hillstack.serving.fleet_state import UNLISTED_GRACE_SECONDS
from hillstack.serving.metrics import FleetMetrics
from hillstack.serving.placement import RETURN_SPREAD_SECONDS
from hillstack.serving.signal_receiver import SignalReceiver
from hillstack.serving.store_events import RunnerListed, RunnerUnlisted
from hillstack.serving.types import (
    Dispatch,
    RefusalCause,
    RejectedError,
    RunnerRefusedError,
    ServingRequest,
    Verdict,
)
from tests.fleet.builders import (
    APPLICATION,
    ENGINES,
    MODEL,
    make_entry,
    make_request,
    make_route,
    make_state,
    make_table,
    rev,
)
from tests.fleet.deployment import Deployment, deployment
from tests.fleet.fake_runners import Behaviour, FakeAnswer, FakeSink, answers, refuses
from tests.fleet.test_pipeline import EVENTS, PARTS, Bench

NOW = 10.0
LEAVING = RunnerSignals(leaving=True)
BACKOFF = RunnerSignals(backoff_seconds=3.0)
ANSWER = AnswerSource(AnswerKind.REQUEST, 503, request_id="r-0")
SOURCE = str(ANSWER)
FULL = refuses(RefusalCause.FULL)


class SignalRecorder:
    """Records the signals and unknown fields of answers."""

    def __init__(self) -> None:
        self.signals: list[tuple[str, RunnerSignals, str]] = []
        self.unknown: list[tuple[str, str, str]] = []

    def receive(self, runner_id: str, signals: RunnerSignals, source: AnswerSource) -> None:
        self.signals.append((runner_id, signals, str(source)))

    def handle_unknown_field(self, runner_id: str, name: str, value: str) -> None:
        self.unknown.append((runner_id, name, value))


# Reading signals from an answer.


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("3", 3.0),
        (" 3 ", 3.0),
        ("0.25", 0.25),
        ("2.", 2.0),
        ("0", 0.0),
        ("", 0.0),
        ("-1", 0.0),
        ("+1", 0.0),
        ("soon", 0.0),
        ("nan", 0.0),
        ("inf", 0.0),
        ("1e3", 0.0),
        ("1_0", 0.0),
        ("٣", 0.0),
        ("Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
        ("99999999", MAX_BACKOFF_SECONDS),
        ("9" * 400, MAX_BACKOFF_SECONDS),
    ],
)
def test_a_backoff_is_read_in_seconds_and_bounded_and_any_other_text_is_no_backoff(
    text: str, seconds: float
) -> None:
    assert parse_backoff(text) == seconds


def test_only_a_refusal_with_status_503_asks_for_a_backoff() -> None:
    headers = {names.RETRY_AFTER: "3", names.LEAVING: "1"}
    assert parse_signals(503, headers) == RunnerSignals(leaving=True, backoff_seconds=3.0)
    for status in (200, 421, 429, 500, 504):
        assert parse_signals(status, headers) == LEAVING
    assert not parse_signals(503, {names.LEAVING: "0"})


def test_signals_of_another_runner_at_the_same_address_are_attributed_to_that_runner() -> None:
    recorder = SignalRecorder()
    reader = SignalReader(recorder)
    headers = {names.LEAVING: "1", names.INSTANCE: "i-2"}
    reader.read("i-1#1000", 421, headers, SentCall(AnswerKind.REQUEST, "r-1"))
    assert recorder.signals == []
    reader.read("i-2#1000", 421, headers, SentCall(AnswerKind.REQUEST, "r-2"))
    assert recorder.signals == [("i-2#1000", LEAVING, "request r-2: status 421")]


def test_an_unknown_field_is_counted_and_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    metrics = FleetMetrics()
    intake = SignalReceiver(RunnerPool(), metrics, lambda: NOW)
    reader = SignalReader(intake)
    headers = {"Content-Type": "text/plain", names.LEAVING: "1", "Server-News": "4" * 100}
    with caplog.at_level("INFO"):
        for number in range(3):
            reader.read("i-1", 200, headers, SentCall(AnswerKind.REQUEST, f"r-{number}"))
    lines = [r for r in caplog.records if r.message == "unknown field in an answer"]
    assert [(line.field, line.value) for line in lines] == [("server-news", "4" * 64)]  # type: ignore[attr-defined]
    assert b'unknown_answer_fields_total{field="server-news"} 3.0' in metrics.text()


def test_the_number_of_counted_unknown_fields_is_bounded() -> None:
    metrics = FleetMetrics()
    reader = SignalReader(SignalReceiver(RunnerPool(), metrics, lambda: NOW))
    for number in range(100):
        reader.read("i-1", 200, {f"X-{number}": "1"}, SentCall(AnswerKind.REQUEST))
    assert metrics.text().count(b"unknown_answer_fields_total{") == 32


def test_signals_are_read_from_all_answers_of_a_runner(tmp_path: Path) -> None:
    """Answers are heads of streams, failures, refusals, reports, orders and cache feed answers."""

    async def scenario(running: Deployment) -> list[str]:
        recorder = SignalRecorder()
        session = make_runner_session()
        client = HttpRunnerClient(session, recorder)
        runner = await running.add_runner("i-1", ENGINES)
        runner.faults.leaving = True
        address = running.addresses["i-1"]
        await ask_everything(client, HttpCacheFeed(session, recorder), runner, address)
        await session.close()
        assert all((name, signal) == ("i-1", LEAVING) for name, signal, _ in recorder.signals)
        return [source for _, _, source in recorder.signals]

    async def main() -> list[str]:
        async with deployment(tmp_path) as running:
            return await scenario(running)

    assert asyncio.run(main()) == [
        "request success: status 200",
        "request failure: status 500",
        "request refused: status 503",
        "request other-weights: status 421",
        "report: status 200",
        "order: status 202",
        "cache feed: status 200",
        "cache feed: status 200",
    ]


async def ask_everything(
    client: HttpRunnerClient, feed: HttpCacheFeed, runner: FleetRunner, address: str
) -> None:
    """Send a runner a request for each kind of answer that it gives."""
    dispatch = Dispatch("i-1", address, 5.0, weights_version=1)
    (await client.send(make_request(request_id="success"), dispatch)).close()
    runner.faults.status = 500
    (await client.send(make_request(request_id="failure"), dispatch)).close()
    runner.faults.refuse_requests = True
    with pytest.raises(RunnerRefusedError):
        await client.send(make_request(request_id="refused"), dispatch)
    with pytest.raises(RunnerRefusedError):
        other = Dispatch("i-1", address, 5.0, weights_version=2)
        await client.send(make_request(request_id="other-weights"), other)
    await client.report("i-1", address)
    await client.order_weights(WeightsOrder("i-1", address, MODEL, 2, "node-1", 1, 0))
    holder = CacheHolder("i-1", address, "zone-a")
    await feed.listing(holder)
    await feed.changes(holder, 0, 0.0)


def test_a_report_after_a_restart_carries_no_signals_from_before(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with deployment(tmp_path) as running:
            recorder = SignalRecorder()
            session = make_runner_session()
            client = HttpRunnerClient(session, recorder)
            runner = await running.add_runner("i-1", ENGINES)
            runner.faults.leaving = True
            runner.born = 2_000
            with pytest.raises(BackendError):
                await client.report("i-1#1000", running.addresses["i-1"])
            assert recorder.signals == []
            await client.report("i-1#2000", running.addresses["i-1"])
            assert [signal[0] for signal in recorder.signals] == ["i-1#2000"]
            await session.close()

    asyncio.run(main())


# How long a signal is in effect.


def listed(pool: RunnerPool, runner_id: str) -> Runner:
    """Return a runner that the pool lists."""
    runner = pool.get(runner_id)
    assert runner is not None
    return runner


def test_the_directory_does_not_undo_that_a_runner_leaves() -> None:
    """Neither old or new entries with state ready nor a reload after an outage undo the signal."""
    state = make_state(make_table(make_route()), make_entry("i-1"))
    assert state.pool.apply_signals("i-1", LEAVING, SOURCE, NOW)
    for revision in (0, 1, 2, 3):
        state.apply(RunnerListed(make_entry("i-1", revision=revision)), NOW)
        assert not listed(state.pool, "i-1").will_accept(NOW)
    state.apply(RunnerUnlisted("i-1", rev(4)), NOW)
    state.apply(RunnerListed(make_entry("i-1", revision=5)), NOW + 1.0)
    assert not listed(state.pool, "i-1").will_accept(NOW + 1.0)
    state.retain_runners(set(), NOW + 2.0, rev(6))
    forgotten_at = NOW + 2.0 + UNLISTED_GRACE_SECONDS + 2 * UNLISTED_MEMORY_SECONDS
    state.expire(forgotten_at)
    state.expire(forgotten_at + UNLISTED_MEMORY_SECONDS)
    state.apply(RunnerListed(make_entry("i-1", revision=7)), forgotten_at)
    assert not listed(state.pool, "i-1").will_accept(forgotten_at)


def test_a_signal_received_while_its_runner_is_unlisted_applies_once_it_is_listed() -> None:
    pool = RunnerPool()
    pool.apply_signals("i-1", LEAVING, SOURCE, NOW)
    pool.update(make_entry("i-1"))
    assert not listed(pool, "i-1").will_accept(NOW)
    assert [runner.runner_id for runner in pool.restricted_runners(APPLICATION, NOW)] == ["i-1"]
    pool.unlist("i-1", NOW, 0.0)
    pool.apply_signals("i-1", BACKOFF, SOURCE, NOW)
    pool.update(make_entry("i-1", revision=2))
    assert listed(pool, "i-1").signals.backoff_until == NOW + 3.0


def test_signals_do_not_apply_after_a_restart_under_the_same_name() -> None:
    pool = RunnerPool()
    pool.update(make_entry("i-1#1000"))
    for signals in (LEAVING, BACKOFF):
        pool.apply_signals("i-1#1000", signals, SOURCE, NOW)
    pool.update(make_entry("i-1#2000", revision=2))
    assert listed(pool, "i-1#2000").accepts(NOW)
    # An answer of the previous process arrives late.
    pool.apply_signals("i-1#1000", LEAVING, SOURCE, NOW)
    assert listed(pool, "i-1#2000").accepts(NOW)


def test_the_latest_end_of_several_backoffs_is_in_effect() -> None:
    received = ReceivedSignals()
    assert received.apply(BACKOFF, SOURCE, NOW)
    assert not received.apply(RunnerSignals(backoff_seconds=1.0), SOURCE, NOW + 0.1)
    assert not received.apply(RunnerSignals(), SOURCE, NOW + 0.2)
    assert received.remaining_backoff(NOW + 0.2) == pytest.approx(2.8)
    assert received.apply(BACKOFF, "later", NOW + 1.0)
    assert received.remaining_backoff(NOW + 1.0) == pytest.approx(3.0)
    assert received.backoff_source == "later"
    assert not received.restricts_requests(NOW + 4.0)


def test_an_answer_that_was_under_way_does_not_end_a_backoff() -> None:
    pool = RunnerPool()
    pool.update(make_entry("i-1"))
    pool.apply_signals("i-1", BACKOFF, SOURCE, NOW)
    runner = listed(pool, "i-1")
    pool.record_contact(runner, NOW + 0.1)
    pool.succeeded(runner)
    pool.shed(runner, NOW + 0.2)
    assert not runner.accepts(NOW + 2.9)
    assert runner.accepts(NOW + 3.0)


def test_the_number_of_unlisted_runners_with_stored_signals_is_bounded() -> None:
    pool = RunnerPool()
    for number in range(MAX_PROCESSES + 10):
        pool.apply_signals(f"i-{number}", LEAVING, SOURCE, NOW)
    pool.update(make_entry("i-0"))
    assert listed(pool, "i-0").accepts(NOW)
    pool.update(make_entry("i-10"))
    assert not listed(pool, "i-10").accepts(NOW)


def test_no_weights_are_ordered_at_a_runner_that_leaves() -> None:
    entries = [make_entry(name, ENGINES, weights=1) for name in ("i-1", "i-2")]
    state = make_state(make_table(make_route()), *entries, weights=2)
    state.pool.apply_signals("i-1", LEAVING, SOURCE, NOW)
    plan = WeightsLoadPlan(MODEL, state.versions)
    view = WeightsLoadView(state.pool.of_service(ENGINES), {}, set(), 1.0, NOW)
    assert [runner.runner_id for runner in plan.next_loads(view)] == ["i-2"]


# Effect on requests.


class SignalBench(Bench):
    """A pipeline over fake runners that send signals in their answers.

    Attributes:
        notified: Runners of whose leave the node notifies its peers.
    """

    def __post_init__(self) -> None:
        super().__post_init__()
        self.metrics = FleetMetrics()
        self.notified: list[str] = []
        self.intake = SignalReceiver(
            self.state.pool,
            self.metrics,
            self.scheduler.clock,
            lambda runner: self.notified.append(runner.runner_id),
        )

    def with_signals(self, behaviour: Behaviour, *signals: RunnerSignals) -> Behaviour:
        """Return a behaviour that adds one of the signals to each answer, in the given order."""
        remaining = list(signals)

        async def behave(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
            if remaining:
                self.intake.receive(dispatch.runner_id, remaining.pop(0), ANSWER)
            return await behaviour(request, dispatch)

        return behave

    def sent_to(self) -> list[str]:
        return [dispatch.runner_id for dispatch in self.client.dispatches]


def make_signal_bench(*runner_ids: str, kind: RouteKind = RouteKind.SAFE) -> SignalBench:
    service = ENGINES if kind is RouteKind.STREAM else APPLICATION
    route = make_route(kind, service=service, attempts=3, resumable=True)
    entries = [make_entry(name, service, weights=1) for name in runner_ids]
    bench = SignalBench(make_state(make_table(route), *entries))
    for name in runner_ids:
        bench.client.behaviours[name] = answers(b"ok")
    return bench


def test_after_an_answer_that_signals_a_leave_requests_go_to_another_runner() -> None:
    bench = make_signal_bench("i-1", "i-22")
    for name in ("i-1", "i-22"):
        bench.client.behaviours[name] = bench.with_signals(answers(b"ok"), LEAVING)
    bench.serve(make_request())
    (first,) = bench.sent_to()
    (other,) = {"i-1", "i-22"} - {first}
    bench.client.behaviours[other] = answers(b"ok")
    for _ in range(20):
        bench.serve(make_request())
    assert bench.sent_to() == [first, *[other] * 20]
    assert bench.notified == [first]


def test_a_broken_stream_is_not_resumed_at_a_runner_that_signalled_its_leave() -> None:
    bench = make_signal_bench("i-1", "i-22", kind=RouteKind.STREAM)
    broken = answers(EVENTS[0], BackendBrokenError("reset", step="relay", peer="i-1"))
    for name in ("i-1", "i-22"):
        bench.client.behaviours[name] = bench.with_signals(broken, LEAVING)
    _, error = bench.serve(make_request(parts=PARTS))
    assert sorted(bench.sent_to()) == ["i-1", "i-22"]
    assert error is not None, "no third attempt"


def test_where_all_runners_leave_a_request_is_refused_at_once_with_a_retry_time() -> None:
    bench = make_signal_bench("i-1", "i-22")
    for name in ("i-1", "i-22"):
        bench.state.pool.apply_signals(name, LEAVING, SOURCE, 0.0)
    _, error = bench.serve(make_request())
    assert isinstance(error, RejectedError)
    assert (error.verdict, bench.sent_to()) == (Verdict.UNAVAILABLE, [])
    assert error.retry_after is not None and error.retry_after > 0


def test_where_the_only_runner_with_the_weights_leaves_a_request_is_refused_at_once() -> None:
    bench = make_signal_bench("i-1", kind=RouteKind.STREAM)
    bench.state.apply(RunnerListed(make_entry("i-22", ENGINES, weights=0, revision=2)), 0.0)
    bench.state.pool.apply_signals("i-1", LEAVING, SOURCE, 0.0)
    started_at = bench.scheduler.now
    _, error = bench.serve(make_request(parts=PARTS), within=0.01)
    assert isinstance(error, RejectedError)
    assert (error.verdict, bench.sent_to()) == (Verdict.UNAVAILABLE, [])
    assert bench.scheduler.now - started_at <= 0.01


def test_a_leaving_runner_gets_no_request_even_if_it_has_the_prompt_in_its_cache() -> None:
    bench = make_signal_bench("i-1", "i-22", kind=RouteKind.STREAM)
    for name in ("i-1", "i-22"):
        bench.client.behaviours[name] = answers(*EVENTS)
    bench.serve(make_request(parts=PARTS))
    (cache_holder,) = bench.sent_to()
    bench.serve(make_request(parts=PARTS))
    assert bench.sent_to() == [cache_holder, cache_holder]
    bench.state.pool.apply_signals(cache_holder, LEAVING, SOURCE, bench.scheduler.now)
    bench.serve(make_request(parts=PARTS))
    assert bench.sent_to()[-1] != cache_holder


def test_a_runner_in_backoff_gets_no_attempt_of_any_kind() -> None:
    """The runner gets no first attempts, and no retries, whichever runner refused the request."""
    bench = make_signal_bench("i-1", "i-22")
    bench.client.behaviours["i-1"] = bench.with_signals(FULL, BACKOFF)
    bench.client.behaviours["i-22"] = FULL
    while "i-1" not in bench.sent_to():
        bench.serve(make_request(), within=0.1)
    sent = len(bench.sent_to())
    bench.state.budget.set_node_count(1)
    for _ in range(20):
        bench.serve(make_request(), within=0.1)
    assert set(bench.sent_to()[sent:]) == {"i-22"}


def backoff_bench(seconds: float) -> SignalBench:
    """Return a bench whose only runner has asked for a backoff."""
    bench = make_signal_bench("i-1")
    signals = RunnerSignals(backoff_seconds=seconds)
    bench.state.pool.apply_signals("i-1", signals, SOURCE, bench.scheduler.now)
    return bench


def test_a_request_waits_for_a_backoff_that_ends_within_its_objective() -> None:
    bench = backoff_bench(0.2)
    sink, error = bench.serve(make_request())
    assert (error, sink.body, bench.sent_to()) == (None, b"ok", ["i-1"])


def test_a_request_that_would_be_late_after_the_backoff_is_refused_at_once() -> None:
    bench = backoff_bench(3.0)
    _, error = bench.serve(make_request(), within=0.01)
    assert isinstance(error, RejectedError)
    assert error.verdict is Verdict.UNAVAILABLE
    assert error.retry_after is not None
    assert 2.9 <= error.retry_after <= 3.0 + RETURN_SPREAD_SECONDS


def test_retry_times_are_spread() -> None:
    bench = backoff_bench(3.0)
    retry_times: set[float] = set()
    for _ in range(10):
        _, error = bench.serve(make_request(), within=0.0)
        assert isinstance(error, RejectedError) and error.retry_after is not None
        retry_times.add(error.retry_after)
    assert len(retry_times) == 10


@pytest.mark.parametrize(("nodes", "waits"), [(1, 8), (4, 2), (100, 1)])
def test_no_more_requests_wait_for_a_backoff_than_the_runner_has_slots(
    nodes: int, waits: int
) -> None:
    bench = backoff_bench(0.2)
    count = 20
    bench.state.nodes.budget_node_count = lambda now: nodes  # type: ignore[method-assign]
    bench.state.freshness.prove(0.0)
    loop = bench.scheduler.new_loop()
    tasks = [
        bench.scheduler.spawn(loop, bench.pipeline.serve(make_request(), FakeSink()))
        for _ in range(count)
    ]
    bench.scheduler.run_until(0.1)
    assert sum(not task.done() for task in tasks) == waits
    bench.scheduler.run_until(1.0)
    assert len(bench.sent_to()) == waits
    assert sum(task.exception() is None for task in tasks) == waits


def test_a_stream_that_has_begun_waits_for_the_backoff_of_another_runner() -> None:
    bench = make_signal_bench("i-1", "i-22", kind=RouteKind.STREAM)
    broken = answers(EVENTS[0], BackendBrokenError("reset", step="relay", peer="i-1"))
    for name in ("i-1", "i-22"):
        bench.client.behaviours[name] = broken
    bench.serve(make_request(parts=PARTS), within=0.0)
    first = bench.sent_to()[0]
    (other,) = {"i-1", "i-22"} - {first}
    bench = make_signal_bench("i-1", "i-22", kind=RouteKind.STREAM)
    bench.client.behaviours[first] = broken
    bench.client.behaviours[other] = answers(*EVENTS[1:])
    bench.state.pool.apply_signals(other, RunnerSignals(backoff_seconds=1.0), SOURCE, 0.0)
    sink, error = bench.serve(make_request(parts=PARTS))
    assert error is None
    assert sink.body == b"".join(EVENTS)
    assert bench.sent_to() == [first, other]


# Notices to and from peers.


def test_peers_are_notified_of_a_leaving_runner_until_the_directory_lists_it_as_draining() -> None:
    pool = RunnerPool()
    pool.update(make_entry("i-1"))
    pool.apply_signals("i-1", LEAVING, SOURCE, NOW)
    runner = listed(pool, "i-1")
    assert pool.leaving_hints_due(NOW) == [runner]
    pool.apply_leaving_hint(runner, NOW)
    assert pool.leaving_hints_due(NOW + HINT_AGAIN_SECONDS - 0.1) == []
    assert pool.leaving_hints_due(NOW + HINT_AGAIN_SECONDS) == [runner]
    pool.update(make_entry("i-1", draining=True, revision=2))
    assert pool.leaving_hints_due(NOW + HINT_AGAIN_SECONDS) == []


def receive_leaving_notice(bench: SignalBench, *runner_ids: str) -> None:
    """Let the node receive a notice of a peer that runners leave."""
    notice = NodeNotice(PROTOCOL_VERSION, "node-2", leaving=list(runner_ids))
    NoticeReader(bench.state, "zone-a").apply(notice, bench.scheduler.now)


def test_a_peers_notice_diverts_requests_while_another_runner_accepts_them() -> None:
    bench = make_signal_bench("i-1", "i-22")
    receive_leaving_notice(bench, "i-1", "i-unknown")
    for _ in range(10):
        bench.serve(make_request(), within=0.1)
    assert set(bench.sent_to()) == {"i-22"}
    bench.client.behaviours["i-22"] = FULL
    sink, error = bench.serve(make_request(), within=0.1)
    assert (error, sink.body) == (None, b"ok")
    assert bench.sent_to()[-2:] == ["i-22", "i-1"]


def test_a_peers_notice_alone_refuses_no_request_and_lapses() -> None:
    bench = make_signal_bench("i-1")
    receive_leaving_notice(bench, "i-1")
    _, error = bench.serve(make_request(), within=0.1)
    assert error is None
    bench = make_signal_bench("i-1", "i-22")
    receive_leaving_notice(bench, "i-1")
    bench.scheduler.run_until(HINT_SECONDS)
    for _ in range(20):
        bench.serve(make_request(), within=0.01)
        bench.state.pool.failed(listed(bench.state.pool, bench.sent_to()[-1]), 0.0)
    assert set(bench.sent_to()) == {"i-1", "i-22"}


def test_a_late_notice_of_a_peer_does_not_apply_after_a_restart() -> None:
    bench = make_signal_bench("i-1#2000", "i-22")
    receive_leaving_notice(bench, "i-1#1000")
    assert bench.state.pool.hinted(APPLICATION, bench.scheduler.now) == set()


# Effect on the retry budget.


def test_a_runner_that_asks_for_a_backoff_costs_no_retry_budget() -> None:
    """Three runners get 60 requests per second, and one of them refuses everything for 9 s.

    It asks for a backoff of 3 s each time, so it gets three requests in these 9 s, and no request
    of a caller is refused. While nodes ignored the backoff, such a runner got up to 14 requests per
    second from all nodes. That used up the retry budget, so requests were refused that other
    runners could have served.
    """
    bench = make_signal_bench("i-1", "i-22", "i-333")
    seconds = 9.0
    backoffs = math.ceil(seconds / BACKOFF.backoff_seconds)
    bench.client.behaviours["i-1"] = bench.with_signals(FULL, *[BACKOFF] * 100)
    refused = 0
    rng = Random(1)
    while bench.scheduler.now < seconds:
        _, error = bench.serve(make_request(), within=rng.uniform(0.0, 2 / 60))
        refused += error is not None
    assert refused == 0
    assert bench.sent_to().count("i-1") <= backoffs
