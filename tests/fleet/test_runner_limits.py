"""Limits that runners name for all nodes together: reading, exchange between nodes, and effect.

``test_runner_limits_process`` describes the failures seen while nodes ignored the limits.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from random import Random

import pytest

from hillstack.core.cache_watch import CacheHolder
from hillstack.core.runner_limit import (
    HINT_SECONDS,
    MIN_PROBE_RATE,
    AnswerKind,
    AnswerSource,
    RunnerLimit,
)
from hillstack.core.runner_pool import Runner, RunnerPool
from hillstack.core.runner_signals import RunnerSignals
from hillstack.core.tenant_limits import TenantLimit
from hillstack.core.token_buckets import TokenBuckets
from hillstack.daemon.cache_follower import CacheChanges, CacheListing
from hillstack.daemon.limit_scopes import RUNNER_START_SHARE, RUNNER_TOLERANCE
from hillstack.daemon.limited_calls import (
    LONGEST_FEED_PAUSE_SECONDS,
    ORDER_PATIENCE_SECONDS,
    RateLimitedCacheFeed,
    RateLimitedOrderSender,
)
from hillstack.daemon.notice_reader import NoticeReader
from hillstack.daemon.weights_orders import OrderOutcome, RunnerReport, WeightsOrder
from hillstack.messages.datagrams import DatagramKind
from hillstack.messages.peer_notices import NO_LIMIT, PROTOCOL_VERSION, LimitNotice, NodeNotice
from hillstack.platform import names
from hillstack.platform.runner_signals import MAX_REQUESTS_PER_SECOND, parse_limit, parse_signals
from hillstack.serving.metrics import FleetMetrics
from hillstack.serving.ports import PlaceAnswer
from hillstack.serving.runner_limits import (
    CALL_RANK,
    HOLDER_TIMEOUT_SECONDS,
    MAX_PAUSE_SECONDS,
    NO_ANSWER_PAUSE_SECONDS,
    RunnerLimits,
)
from hillstack.serving.types import RefusalCause, RejectedError
from hillstack.simulation.virtual_loop import Scheduler
from tests.fleet.builders import (
    ENGINES,
    make_entry,
    make_request,
    make_route,
    make_state,
    make_table,
)
from tests.fleet.fake_runners import FakeLimiter, answers, breaks_off, refuses
from tests.fleet.node_network import NodeNetwork, list_runners
from tests.fleet.runner_limit_traffic import RunnerTraffic, constant
from tests.fleet.test_limit_network import FAULTS, inject_fault
from tests.fleet.test_pipeline import EVENTS, PARTS, RESET, Bench, make_bench, make_stream_bench

NOW = 100.0
REQUEST = AnswerSource(AnswerKind.REQUEST, 200, request_id="r-0", was_carried_out=True)


def answer(
    seconds_since_request: float = 0.0,
    kind: AnswerKind = AnswerKind.REQUEST,
    *,
    is_whole: bool = True,
) -> AnswerSource:
    """Return the source of an answer with status 200."""
    return AnswerSource(kind, 200, seconds_since_request, was_carried_out=is_whole)


# Reading a limit from an answer.


@pytest.mark.parametrize(
    ("text", "limit"),
    [
        ("2.3", 2.3),
        (" 1 ", 1.0),
        ("0", 0.0),
        ("0.05", 0.05),
        ("7.", 7.0),
        ("", None),
        ("-1", None),
        ("+1", None),
        ("none", None),
        ("nan", None),
        ("inf", None),
        ("1e3", None),
        ("1,5", None),
        ("٣", None),
        ("9" * 400, MAX_REQUESTS_PER_SECOND),
    ],
)
def test_a_limit_is_a_decimal_number_and_any_other_text_is_no_limit(
    text: str, limit: float | None
) -> None:
    assert parse_limit(text) == limit


@pytest.mark.parametrize("status", [200, 421, 429, 500, 503, 504])
def test_answers_of_any_status_name_a_limit(status: int) -> None:
    assert parse_signals(status, {names.REQUEST_LIMIT: "2"}).limit == 2.0


def test_a_runner_with_limit_zero_is_probed_seldom() -> None:
    limit = RunnerLimit()
    limit.apply(0.0, REQUEST, NOW)
    assert limit.in_force(NOW) == 0.0
    assert limit.rate_to_use(NOW) == MIN_PROBE_RATE


# Which answer is in effect.


def test_an_answer_without_a_limit_ends_the_limit() -> None:
    limit = RunnerLimit()
    assert limit.apply(2.0, answer(), NOW)
    assert not limit.apply(2.0, answer(), NOW + 1)
    assert limit.apply(0.5, answer(), NOW + 2)
    assert limit.apply(None, answer(), NOW + 3)
    assert limit.in_force(NOW + 3) is None


def test_an_answer_requested_before_the_limit_was_named_does_not_end_it() -> None:
    limit = RunnerLimit()
    limit.apply(2.0, answer(0.1), NOW)
    assert not limit.apply(None, answer(0.3), NOW + 0.1)
    assert not limit.apply(None, answer(0.15), NOW + 0.1)
    assert limit.apply(None, answer(0.05), NOW + 0.1)


def test_a_late_answer_does_not_restore_an_ended_limit() -> None:
    limit = RunnerLimit()
    limit.apply(2.0, answer(), NOW)
    limit.apply(None, answer(0.1), NOW + 1)
    assert not limit.apply(2.0, answer(0.5), NOW + 1.1)
    assert limit.in_force(NOW + 1.1) is None
    assert limit.apply(2.0, answer(0.1), NOW + 1.2)


def test_of_two_limits_the_one_requested_later_is_in_effect() -> None:
    limit = RunnerLimit()
    limit.apply(0.5, answer(0.1), NOW)
    assert not limit.apply(8.0, answer(0.5), NOW + 0.1)
    assert limit.in_force(NOW + 0.1) == 0.5


def test_a_failure_or_a_refusal_without_a_limit_does_not_end_the_limit() -> None:
    limit = RunnerLimit()
    limit.apply(2.0, answer(), NOW)
    assert not limit.apply(None, answer(is_whole=False), NOW + 1)
    assert limit.in_force(NOW + 1) == 2.0


def test_answers_of_another_kind_end_a_limit_only_if_that_kind_has_named_it() -> None:
    limit = RunnerLimit()
    limit.apply(2.0, answer(), NOW)
    assert not limit.apply(None, answer(kind=AnswerKind.CACHE), NOW + 1)
    limit.apply(2.0, answer(kind=AnswerKind.CACHE), NOW + 2)
    assert limit.apply(None, answer(kind=AnswerKind.CACHE), NOW + 3)


def test_the_next_process_has_no_limit() -> None:
    pool = RunnerPool()
    pool.update(make_entry("i-1"))
    pool.apply_limit("i-1", 2.0, REQUEST, NOW)
    assert pool.limit_of("i-1", NOW) == 2.0
    pool.unlist("i-1", NOW, 0.0)
    pool.update(make_entry("i-2"))
    assert pool.limit_of("i-2", NOW) is None
    assert list(pool.active_limits(NOW)) == ["i-1"]
    pool.expire_unlisted(NOW + 60.0)
    assert not pool.active_limits(NOW + 60.0)


def test_a_limit_stays_in_effect_for_a_process_that_is_unlisted_and_listed_again() -> None:
    pool = RunnerPool()
    pool.update(make_entry("i-1", revision=1))
    pool.apply_limit("i-1", 2.0, REQUEST, NOW)
    pool.unlist("i-1", NOW, 0.0)
    pool.expire_unlisted(NOW + 60.0)
    pool.update(make_entry("i-1", revision=2))
    runner = pool.get("i-1")
    assert runner is not None and runner.signals.limit.in_force(NOW + 60.0) == 2.0


# Notices of peers.


def test_a_limit_reported_by_a_peer_lapses() -> None:
    limit = RunnerLimit()
    assert not limit.apply_hint(2.0, 0.1, NOW)
    assert limit.in_force(NOW) == 2.0
    assert limit.in_force(NOW + HINT_SECONDS) is None


def test_a_peer_lowers_a_limit_at_once_and_raises_it_only_if_its_report_is_surely_later() -> None:
    limit = RunnerLimit()
    limit.apply(2.0, REQUEST, NOW)
    limit.apply_hint(8.0, 1.0, NOW + 1)
    assert limit.in_force(NOW + 1) == 2.0
    limit.apply_hint(0.5, 0.9, NOW + 1)
    assert limit.in_force(NOW + 1) == 0.5
    limit.apply_hint(8.0, 1.0, NOW + 2)
    assert limit.in_force(NOW + 2) == 8.0


def test_a_peers_report_older_than_the_end_of_a_limit_is_rejected_as_outdated() -> None:
    limit = RunnerLimit()
    limit.apply(2.0, REQUEST, NOW)
    limit.apply(None, answer(0.1), NOW + 1)
    assert limit.apply_hint(2.0, 0.5, NOW + 1.2)
    assert limit.in_force(NOW + 1.2) is None
    assert not limit.apply_hint(2.0, 0.1, NOW + 1.2)


def test_a_peers_report_of_an_end_lets_one_request_probe_the_limit() -> None:
    limit = RunnerLimit()
    limit.apply(2.0, REQUEST, NOW)
    limit.apply_end_hint(0.1, NOW + 1)
    assert limit.in_force(NOW + 1) == 2.0
    assert [limit.take_probe() for _ in range(3)] == [True, False, False]
    assert limit.apply(None, REQUEST, NOW + 1.1)


def test_a_peers_report_of_an_end_before_the_latest_answer_is_ignored() -> None:
    limit = RunnerLimit()
    limit.apply(2.0, REQUEST, NOW)
    limit.apply_end_hint(1.0, NOW + 0.5)
    assert not limit.take_probe()


def test_a_peers_report_of_an_end_ends_a_limit_known_from_peers_alone() -> None:
    limit = RunnerLimit()
    limit.apply_hint(2.0, 0.0, NOW)
    limit.apply_end_hint(0.0, NOW + 1)
    assert limit.in_force(NOW + 1) is None


def test_a_notice_carries_limits_and_their_ends() -> None:
    state = make_state(make_table(make_route()), make_entry("i-1"))
    reader = NoticeReader(state, "zone-a")
    outdated: list[str] = []
    reader.handle_outdated_limits(outdated.append)

    def receive(rate: float, age_ms: int, now: float) -> None:
        notices = [LimitNotice("i-1", rate, age_ms), LimitNotice("i-unknown", rate, age_ms)]
        reader.apply(NodeNotice(PROTOCOL_VERSION, "node-2", limits=notices), now)

    receive(2.0, 10, NOW)
    assert state.pool.limit_of("i-1", NOW) == 2.0
    assert state.pool.limit_of("i-unknown", NOW) is None
    receive(NO_LIMIT, 10, NOW + 1)
    assert state.pool.limit_of("i-1", NOW + 1) is None
    state.pool.apply_limit("i-1", 2.0, REQUEST, NOW + 2)
    state.pool.apply_limit("i-1", None, REQUEST, NOW + 3)
    receive(2.0, 500, NOW + 3.1)
    assert outdated == ["i-1"]


# Effect on requests.


class LimitedBench:
    """A pipeline over fake runners, some of which name limits, with a fake limiter.

    Attributes:
        limiter: Replaces the token buckets that all nodes share.
    """

    def __init__(self, bench: Bench, *limited: str) -> None:
        self.bench = bench
        self.limiter = FakeLimiter()
        self.limits = RunnerLimits(
            bench.state.pool, self.limiter, FleetMetrics(), bench.scheduler.clock
        )
        bench.pipeline._runner_limits = self.limits
        for runner_id in limited:
            bench.state.pool.apply_limit(runner_id, 2.0, REQUEST, bench.scheduler.now)

    def sent_to(self) -> list[str]:
        return [dispatch.runner_id for dispatch in self.bench.client.dispatches]


def test_a_request_within_the_limit_is_sent_and_counted() -> None:
    limited = LimitedBench(make_bench(i_1=answers(b"a")), "i-1")
    sink, error = limited.bench.serve(make_request())
    assert (sink.status, error) == (200, None)
    assert [(name, cost) for name, cost, _ in limited.limiter.taken] == [("i-1", 1.0)]


class SignallingPlaces:
    """Grants each place, and the runner of the first one signals meanwhile.

    Attributes:
        asked: The runners at which places were asked for.
    """

    def __init__(self, bench: Bench, signals: RunnerSignals) -> None:
        self._bench = bench
        self._signals = signals
        self.asked: list[str] = []

    async def take(self, runner: Runner, rejections_per_second: float) -> PlaceAnswer:
        if not self.asked:
            pool, now = self._bench.state.pool, self._bench.scheduler.now
            pool.apply_signals(runner.runner_id, self._signals, "GET /other", now)
        self.asked.append(runner.runner_id)
        return PlaceAnswer(granted=True, issuer="node-2")


# Guards against requests that reach a runner which has signalled while they waited for a place.
@pytest.mark.parametrize(
    "signals", [RunnerSignals(leaving=True), RunnerSignals(backoff_seconds=1.5)]
)
def test_a_runner_that_signals_while_a_request_waits_for_its_place_gets_no_request(
    signals: RunnerSignals,
) -> None:
    bench = make_bench(i_1=answers(b"a"), i_2=answers(b"a"))
    places = SignallingPlaces(bench, signals)
    clock = bench.scheduler.clock
    bench.pipeline._runner_limits = RunnerLimits(
        bench.state.pool, FakeLimiter(), FleetMetrics(), clock, places
    )
    sink, error = bench.serve(make_request())
    assert (sink.status, error) == (200, None)
    signalled, other = places.asked
    assert signalled != other
    assert [dispatch.runner_id for dispatch in bench.client.dispatches] == [other]


def test_without_room_a_request_goes_to_another_runner_at_once() -> None:
    bench = make_bench(i_1=answers(b"a"), i_2=answers(b"b"))
    limited = LimitedBench(bench, "i-1")
    limited.limiter.wait = 30.0
    for _ in range(20):
        began_at = bench.scheduler.now
        sink, error = bench.serve(make_request(), 0.01)
        assert (sink.status, error) == (200, None)
        assert bench.scheduler.now - began_at <= 0.011
    assert limited.sent_to() == ["i-2"] * 20
    assert len(limited.limiter.taken) <= 1


def test_each_attempt_takes_tokens() -> None:
    """First attempts and retries after a refusal or a broken connection each reach a runner."""
    full = refuses(RefusalCause.FULL)
    limited = LimitedBench(
        make_bench(i_1=full, i_2=breaks_off(), i_3=answers(b"c")), "i-1", "i-2", "i-3"
    )
    limited.bench.state.budget.on_request("application", 0.0)
    sink, _ = limited.bench.serve(make_request())
    assert sink.status == 200
    assert [name for name, _, _ in limited.limiter.taken] == limited.sent_to()
    assert len(limited.sent_to()) >= 2


def test_a_stream_resumed_at_another_runner_takes_tokens_there() -> None:
    bench = make_stream_bench(i_1=answers(EVENTS[0], RESET), i_2=answers(EVENTS[0], RESET))
    limited = LimitedBench(bench, "i-1", "i-2")
    bench.serve(make_request("/gen/x", parts=PARTS))
    assert [name for name, _, _ in limited.limiter.taken] == limited.sent_to()


def test_a_request_waits_for_room_if_all_runners_are_limited_and_it_is_still_in_time() -> None:
    bench = make_bench(i_1=answers(b"a"))
    limited = LimitedBench(bench, "i-1")
    limited.limiter.wait = 0.2
    bench.scheduler.at(0.1, lambda: setattr(limited.limiter, "wait", 0.0))
    sink, error = bench.serve(make_request())
    assert (sink.status, error) == (200, None)
    assert limited.sent_to() == ["i-1"]


def test_a_request_is_refused_with_a_retry_time_if_all_runners_are_limited_for_longer() -> None:
    bench = make_bench(i_1=answers(b"a"), i_2=answers(b"b"))
    limited = LimitedBench(bench, "i-1", "i-2")
    limited.limiter.wait = 3.0
    waits: list[float] = []
    for _ in range(20):
        _, error = bench.serve(make_request(), 0.01)
        assert isinstance(error, RejectedError) and error.retry_after is not None
        waits.append(error.retry_after)
    assert limited.sent_to() == []
    assert min(waits) >= 0.5 * MAX_PAUSE_SECONDS
    assert max(waits) - min(waits) >= 0.1
    assert len(limited.limiter.taken) == 2


def test_a_limiter_that_does_not_answer_delays_no_request() -> None:
    bench = make_bench(i_1=answers(b"a"), i_2=answers(b"b"))
    limited = LimitedBench(bench, "i-1")

    async def never(tenant: str, limit: TenantLimit, cost: float, rank: int) -> float:
        await asyncio.sleep(1_000.0)
        return 0.0

    limited.limiter.take = never  # type: ignore[method-assign]
    for _ in range(6):
        sink, error = bench.serve(make_request(), HOLDER_TIMEOUT_SECONDS + 0.01)
        assert (sink.status, error) == (200, None)
    assert limited.sent_to() == ["i-2"] * 6
    assert NO_ANSWER_PAUSE_SECONDS > HOLDER_TIMEOUT_SECONDS


def test_a_runner_is_used_again_as_soon_as_an_answer_names_no_limit() -> None:
    bench = make_bench(i_1=answers(b"a"))
    limited = LimitedBench(bench, "i-1")
    limited.limiter.wait = 3.0
    bench.serve(make_request(), 0.01)
    bench.state.pool.apply_limit("i-1", None, REQUEST, bench.scheduler.now)
    sink, error = bench.serve(make_request(), 0.01)
    assert (sink.status, error) == (200, None)


def test_a_peers_report_of_an_end_lets_one_request_pass_without_room() -> None:
    bench = make_bench(i_1=answers(b"a"), i_2=answers(b"b"))
    limited = LimitedBench(bench, "i-1")
    limited.limiter.wait = 3.0
    bench.state.pool.apply_limit_end_hint("i-1", 0.0, bench.scheduler.now + 1.0)
    bench.scheduler.run_until(1.0)
    for _ in range(10):
        bench.serve(make_request(), 0.01)
    assert limited.sent_to().count("i-1") == 1


# Calls that are not requests of callers.


class FakeFeed:
    """A cache feed that records when it is queried."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self.asked_at: list[float] = []

    async def listing(self, holder: CacheHolder) -> CacheListing:
        self.asked_at.append(self._scheduler.now)
        return CacheListing(1, 0, [])

    async def changes(self, holder: CacheHolder, since: int, wait_seconds: float) -> CacheChanges:
        self.asked_at.append(self._scheduler.now)
        await asyncio.sleep(0.3)
        return CacheChanges(1, 0, [], gap=False)


HOLDER = CacheHolder("i-1", "10.0.0.1:1", "zone-a")


@pytest.mark.parametrize(("rate", "most"), [(1.0, 3), (8.0, 17), (0.0, 3)])
def test_cache_queries_use_a_small_part_of_a_limit(rate: float, most: int) -> None:
    scheduler, pool = Scheduler(), RunnerPool()
    pool.update(make_entry("i-1", ENGINES))
    feed = FakeFeed(scheduler)
    limits = RunnerLimits(pool, FakeLimiter(), FleetMetrics(), scheduler.clock)
    limited = RateLimitedCacheFeed(feed, limits, pool, scheduler.clock)

    async def follow() -> None:
        while True:
            await limited.changes(HOLDER, 0, 1.0)

    task = scheduler.spawn(scheduler.new_loop(), follow())
    scheduler.run_until(10.0)
    unlimited = len(feed.asked_at)
    assert unlimited >= 30
    pool.apply_limit("i-1", rate, REQUEST, 10.0)
    scheduler.run_until(30.0)
    assert 1 <= len(feed.asked_at) - unlimited <= most
    pool.apply_limit("i-1", None, REQUEST, 30.0)
    before = len(feed.asked_at)
    scheduler.run_until(33.0)
    assert len(feed.asked_at) - before >= 8, (
        "queried as often as before, soon after the limit has ended"
    )
    task.cancel()
    assert LONGEST_FEED_PAUSE_SECONDS <= 10.0


def test_a_cache_query_is_not_sent_without_room() -> None:
    scheduler, pool = Scheduler(), RunnerPool()
    pool.update(make_entry("i-1", ENGINES))
    pool.apply_limit("i-1", 1.0, REQUEST, 0.0)
    limiter = FakeLimiter()
    limiter.wait = 0.5
    feed = FakeFeed(scheduler)
    limits = RunnerLimits(pool, limiter, FleetMetrics(), scheduler.clock)
    task = scheduler.spawn(
        scheduler.new_loop(),
        RateLimitedCacheFeed(feed, limits, pool, scheduler.clock).listing(HOLDER),
    )
    scheduler.run_until(60.0)
    assert feed.asked_at == []
    limiter.wait = 0.0
    scheduler.run_until(62.0)
    assert len(feed.asked_at) == 1 and task.done()


class FakeOrders:
    """Records when a report is queried or an order is sent."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self.asked_at: list[float] = []

    async def report(self, runner_id: str, address: str) -> RunnerReport:
        self.asked_at.append(self._scheduler.now)
        return RunnerReport({}, busy=False, orders_taken=0)

    async def order_weights(self, order: WeightsOrder) -> OrderOutcome:
        self.asked_at.append(self._scheduler.now)
        return OrderOutcome.TAKEN


def test_orders_and_reports_have_priority_and_wait_only_briefly_for_room() -> None:
    scheduler, pool = Scheduler(), RunnerPool()
    pool.update(make_entry("i-1", ENGINES))
    pool.apply_limit("i-1", 1.0, REQUEST, 0.0)
    limiter = FakeLimiter()
    limiter.wait = 3.0
    sender = FakeOrders(scheduler)
    limits = RunnerLimits(pool, limiter, FleetMetrics(), scheduler.clock)
    orders = RateLimitedOrderSender(sender, limits)
    order = WeightsOrder("i-1", "10.0.0.1:1", "model-a", 2, "node-1", 1, 0)

    async def work() -> None:
        await orders.report("i-1", "10.0.0.1:1")
        await orders.order_weights(order)

    task = scheduler.spawn(scheduler.new_loop(), work())
    scheduler.run_until(5.0)
    assert task.done()
    first, second = sender.asked_at
    assert first <= ORDER_PATIENCE_SECONDS + 0.01
    assert second <= 2 * ORDER_PATIENCE_SECONDS + 0.02
    assert {rank for _, _, rank in limiter.taken} == {CALL_RANK}


# Limits over many nodes.


def make_network(
    count: int, zones: int = 3, *, loss: float = 0.0, own_loops: bool = False
) -> NodeNetwork:
    network = NodeNetwork(count, zones, loss=loss, own_loops=own_loops)
    list_runners(network)
    network.run(5.0)
    return network


@pytest.fixture
def network() -> Iterator[NodeNetwork]:
    made = make_network(7)
    yield made
    made.close()


def allowed(limit: float) -> float:
    """Return the most requests that may reach a runner in a window of the tolerance."""
    return RUNNER_TOLERANCE.allowed(TenantLimit(limit, burst=0.0))


def test_the_tolerance_is_the_documented_one() -> None:
    assert [allowed(limit) for limit in (0.0, 1.0, 2.0, 8.0)] == [5.0, 11.0, 17.0, 53.0]


@pytest.mark.parametrize("count", [3, 7, 12, 30])
@pytest.mark.parametrize("limit", [0.0, 0.5, 1.0, 2.3, 8.0, 40.0])
def test_all_nodes_together_respect_a_limit_and_use_most_of_it(count: int, limit: float) -> None:
    """Each node alone would use up the limit, and nodes learn of the limit at different times."""
    network = make_network(count)
    traffic = RunnerTraffic(network, constant(limit))
    traffic.send(30.0, 3.0 * limit + 20.0)
    network.run(31.0)
    network.close()
    assert traffic.worst_window() <= allowed(limit)
    assert traffic.used(10.0, 35.0) >= 0.8 * 25.0 * limit - 1
    assert max(traffic.delays) <= HOLDER_TIMEOUT_SECONDS + 0.01


@pytest.mark.parametrize("limit", [0.5, 1.0, 2.3])
def test_many_holders_grant_no_more_than_one_holder_would(limit: float) -> None:
    """Twelve zones have a holder each; one request from each at the same time would be too many."""
    network = make_network(36, 12)
    traffic = RunnerTraffic(network, constant(limit))
    traffic.send(40.0, 60.0)
    network.run(41.0)
    network.close()
    assert traffic.worst_window() <= allowed(limit)
    assert traffic.used(15.0, 45.0) >= 0.8 * 30.0 * limit - 1


def test_full_buckets_of_many_holders_hold_no_more_than_the_slack() -> None:
    """A holder that has tokens for a part of a request only must not grant the request."""
    limit, holders = TenantLimit(1.0, burst=0.0), 12
    taken = 0
    for number in range(holders):
        buckets = TokenBuckets(
            RUNNER_TOLERANCE, 1.0, start_share=RUNNER_START_SHARE, requires_full_cost=True
        )
        for message in range(20):
            buckets.contribute(f"node-{number}", 1, message, 0.6, holders, NOW)
        taken += sum(buckets.take_tokens("i-1", limit, 1.0, 0, NOW) for _ in range(10))
    assert taken <= RUNNER_TOLERANCE.margin(limit)


def test_a_node_with_all_the_traffic_gets_most_of_the_limit(network: NodeNetwork) -> None:
    traffic = RunnerTraffic(network, constant(4.0), entry_node_count=1)
    traffic.send(20.0, 20.0)
    network.run(21.0)
    assert traffic.worst_window() <= allowed(4.0)
    assert traffic.used(10.0, 25.0) >= 0.8 * 15.0 * 4.0


def test_a_limit_that_changes_is_followed(network: NodeNetwork) -> None:
    steps = {10.0: 2.0, 20.0: 0.5, 30.0: 8.0, 40.0: None}

    def limit(now: float) -> float | None:
        return next((value for until, value in steps.items() if now < until), None)

    traffic = RunnerTraffic(network, limit)
    traffic.send(42.0, 40.0)
    network.run(43.0)
    counted = traffic.counted()

    def between(start: float, end: float) -> int:
        return sum(start <= at < end for at in counted)

    assert between(12.0, 20.0) <= 2 * allowed(0.5)
    assert 0.6 * 8 * 7.0 <= between(23.0, 30.0) <= 2 * allowed(8.0)
    assert between(31.5, 40.0) >= 0.9 * 8.5 * 40.0, "all nodes know that the limit has ended"


def test_all_nodes_learn_of_the_end_of_a_limit_within_a_second(network: NodeNetwork) -> None:
    traffic = RunnerTraffic(network, lambda now: 1.0 if now < 15.0 else None)
    traffic.send(25.0, 30.0)
    network.run(26.0)
    first_after_end_at = min(at for at in traffic.counted() if at >= 15.0)
    counted = traffic.counted()
    assert (
        sum(first_after_end_at + 1.5 <= at < first_after_end_at + 4.5 for at in counted)
        >= 0.9 * 3.0 * 30.0
    )


def test_an_outage_of_the_store_changes_nothing(network: NodeNetwork) -> None:
    network.store.down_for = None
    traffic = RunnerTraffic(network, constant(2.0))
    traffic.send(20.0, 30.0)
    network.run(21.0)
    assert traffic.worst_window() <= allowed(2.0)
    assert traffic.used(10.0, 25.0) >= 0.8 * 15.0 * 2.0


@pytest.mark.parametrize("limit", [1.0, 2.3])
def test_nodes_that_are_cut_off_use_their_own_share_only(
    network: NodeNetwork, limit: float
) -> None:
    traffic = RunnerTraffic(network, constant(limit))
    traffic.send(30.0, 40.0)
    cut = sorted(network.nodes)[:3]
    for is_cut in (False, True, False, True, False):
        for node_id in cut:
            network.nodes[node_id].cut = is_cut
        network.run(6.0)
    assert traffic.worst_window() <= allowed(limit)


@pytest.mark.parametrize("seed", range(6))
def test_no_mix_of_faults_lets_more_reach_a_runner_than_is_allowed(seed: int) -> None:
    """Nodes are cut off, paused, killed and healed at random, and datagrams are lost."""
    rng = Random(seed)
    count, loss = rng.choice((7, 12, 24)), rng.choice((0.0, 0.02, 0.05))
    network = make_network(count, loss=loss, own_loops=True)
    limit = rng.choice((0.5, 1.0, 2.3, 6.0))
    traffic = RunnerTraffic(network, constant(limit), seed=seed)
    traffic.send(25.0, 40.0)
    end = network.scheduler.now + 25.0
    while network.scheduler.now < end:
        network.run(rng.uniform(0.5, 2.5))
        inject_fault(network, rng.choice(FAULTS), rng)
    network.close()
    assert traffic.worst_window() <= allowed(limit)


def test_a_starting_node_learns_of_limits_before_it_sends_a_request(
    network: NodeNetwork,
) -> None:
    traffic = RunnerTraffic(network, constant(1.0))
    traffic.send(8.0, 30.0)
    network.run(5.0)
    node = network.add("node-3", network.nodes["node-3"].zone)
    network.run(1.0)
    assert node.state.pool.limit_of("i-0", network.scheduler.now) == 1.0


def test_beside_holders_of_an_earlier_build_the_others_use_their_own_share_only(
    network: NodeNetwork,
) -> None:
    """Those holders drop datagrams of unknown kinds, ignore limits and transfer no state."""
    earlier = set(sorted(network.nodes)[::2])
    new_kinds = range(DatagramKind.RUNNER_TOKEN_QUESTION, DatagramKind.RUNNER_TRANSFER_ANSWER + 1)
    carry = network.carry

    def carry_known(data: bytes, source: str, target: str) -> None:
        names = {n.node_id for n in network.nodes.values() if n.address in (source, target)}
        if data[0] not in new_kinds or not names & earlier:
            carry(data, source, target)

    network.carry = carry_known  # type: ignore[method-assign]
    traffic = RunnerTraffic(network, constant(2.0))
    traffic._entry_nodes = sorted(set(network.nodes) - earlier)
    traffic.send(20.0, 30.0)
    network.run(21.0)
    assert traffic.worst_window() <= allowed(2.0)
    assert traffic.used(10.0, 25.0) >= 0.3 * 15.0 * 2.0
    assert max(traffic.delays) <= HOLDER_TIMEOUT_SECONDS + 0.01


def test_nothing_is_sent_about_limits_that_no_runner_names(network: NodeNetwork) -> None:
    node = next(iter(network.nodes.values()))
    waiting = network.scheduler.spawn(
        node.loop, node.runner_limits.take("i-0", TenantLimit(1.0, burst=0.0), 1.0, 0)
    )
    network.run(1.0)
    assert waiting.done(), "a request does not wait for a limit that has ended"


def test_signals_are_empty_without_a_limit() -> None:
    assert not RunnerSignals()
    assert RunnerSignals(limit=0.0)


def test_a_runner_without_room_does_not_accept(network: NodeNetwork) -> None:
    runner = Runner(make_entry("i-1"))
    assert runner.accepts(NOW)
    runner.signals.limit.exhausted_until = NOW + 1.0
    assert not runner.accepts(NOW)
    assert runner.accepts(NOW + 1.0)


# A signal that only one node has received.


@pytest.mark.parametrize("seed", range(5))
def test_what_one_node_alone_was_told_does_not_lapse_at_the_others(seed: int) -> None:
    """Guards against hints that lapse at the peers for seconds at a time.

    That happened while the node repeated its signals with each heartbeat only by chance.
    """
    network = make_network(7)
    sender, *others = network.nodes.values()
    sender.exchange._rng.seed(seed)
    pool = sender.state.pool
    leaving, limited = pool.get("i-1"), pool.get("i-2")
    assert leaving is not None and limited is not None
    pool.apply_signals("i-1", RunnerSignals(leaving=True), "request r-0: status 200", 0.0)
    pool.apply_limit("i-2", 1.0, REQUEST, network.scheduler.now)
    network.at_node(sender, lambda: sender.exchange.leaving(leaving))
    network.at_node(sender, lambda: sender.exchange.limit_changed("i-2", limited.signals.limit))
    network.run(1.0)
    for _ in range(120):
        network.run(0.25)
        now = network.scheduler.now
        assert all(node.state.pool.hinted(ENGINES, now) == {"i-1"} for node in others)
        assert all(node.state.pool.limit_of("i-2", now) == 1.0 for node in others)
    network.close()
