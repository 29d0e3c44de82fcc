"""Where a node, not the runner or the deadline, decides that the work on a request ends."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import pytest

from hillstack.core.routing_table import RequestLimits, RouteKind, RoutingTable, TenantEntry
from hillstack.serving.pipeline import RequestPipeline
from hillstack.serving.start_gate import StartGate
from hillstack.serving.store_events import ConfigurationChanged, WeightsNamed
from hillstack.serving.types import CutCause, RejectedError, StreamCutError, Verdict
from tests.fleet.builders import (
    ENGINES,
    MODEL,
    VERSION_GRACE_SECONDS,
    make_entry,
    make_request,
    make_route,
    make_state,
    make_table,
)
from tests.fleet.deployment import Deployment, until
from tests.fleet.fake_runners import Behaviour, FakeSink, answers, answers_after, hangs
from tests.fleet.test_cut_off_pipeline import LOST_AFTER_SECONDS, loses_path
from tests.fleet.test_node_process import play
from tests.fleet.test_pipeline import (
    EVENTS,
    PARTS,
    RESET,
    Bench,
    first_then,
    make_bench,
    make_stream_bench,
    stream_request,
)

WHOLE = b"".join(EVENTS)
# Enough that the stream outlasts the arrival of a configuration.
STREAM_EVENTS = 60
STREAM_ROUTE = make_route(RouteKind.STREAM, prefix="/gen/", service=ENGINES, resumable=True)


def make_prompt_bench(kind: RouteKind, behaviour: Behaviour) -> Bench:
    """Return a bench with one inference engine, and a route whose requests may run only once."""
    route = make_route(kind, prefix="/gen/", service=ENGINES, attempts=1)
    bench = Bench(make_state(make_table(route), make_entry("i-1", ENGINES, weights=1)))
    bench.client.behaviours["i-1"] = behaviour
    return bench


# Guards against LOST: the run of a request that may run only once was given up when a peer found
# the path lost, although its runner's answer arrived later.
@pytest.mark.parametrize("kind", [RouteKind.UNSAFE, RouteKind.SAFE, RouteKind.STREAM])
def test_a_run_that_can_not_be_repeated_is_not_given_up_on_a_lost_path(kind: RouteKind) -> None:
    bench = make_prompt_bench(kind, answers_after(2.0, *EVENTS))
    loses_path(bench, "i-1", LOST_AFTER_SECONDS)
    sink, error = bench.serve(make_request("/gen/x", parts=PARTS, patience=4.0))
    assert error is None
    assert (sink.body, sink.heads, sink.finished) == (WHOLE, 1, True)


def replace_table(bench: Bench, table: RoutingTable, after: float) -> None:
    """Let an operator's configuration arrive."""
    change = ConfigurationChanged(table)
    bench.scheduler.at(after, lambda: bench.state.apply(change, bench.scheduler.now))


# Guards against LOST: a change of the configuration ended answers under way.
@pytest.mark.parametrize("pause", [0.3, 2.0])
@pytest.mark.parametrize(
    "table",
    [
        make_table(version=2),
        make_table(make_route(prefix="/gen/", service="other"), version=2),
        make_table(make_route(prefix="/gen/", service=ENGINES, attempts=1), version=2),
        make_table(STREAM_ROUTE, version=2, keys={}),
        RoutingTable.build(2, [], [], {}, RequestLimits()),
    ],
    ids=["route_removed", "service_replaced", "kind_replaced", "tenant_removed", "all_removed"],
)
def test_a_change_of_the_configuration_ends_no_stream_under_way(
    table: RoutingTable, pause: float
) -> None:
    first, *rest = EVENTS
    bench = make_stream_bench(i_1=answers(first, pause, *rest))
    replace_table(bench, table, 0.1)
    sink, error = bench.serve(stream_request(patience=5.0))
    assert error is None
    assert (sink.body, sink.heads, sink.finished) == (WHOLE, 1, True)
    assert len(bench.client.dispatches) == 1


# Guards against LOST: a stream whose runner broke off was not resumed, because its route or tenant
# had been removed meanwhile.
@pytest.mark.parametrize("keys", [None, {}], ids=["route_removed", "route_and_tenant_removed"])
def test_a_broken_stream_is_resumed_after_a_change_of_the_configuration(
    keys: dict[str, TenantEntry] | None,
) -> None:
    first, *rest = EVENTS
    bench = make_stream_bench(i_1=answers(), i_22=answers())
    behave = first_then(answers(first, 0.3, RESET), answers(*rest))
    bench.client.behaviours = dict.fromkeys(("i-1", "i-22"), behave)
    replace_table(bench, make_table(version=2, keys=keys), 0.1)
    sink, error = bench.serve(stream_request(patience=5.0))
    assert error is None
    assert (sink.body, sink.heads, sink.finished) == (WHOLE, 1, True)


# Guards against LOST: a change of the configuration ended requests whose answer had not begun.
@pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.UNSAFE])
def test_a_change_of_the_configuration_ends_no_request_that_runs(kind: RouteKind) -> None:
    bench = Bench(make_state(make_table(make_route(kind)), make_entry("i-1")))
    bench.client.behaviours["i-1"] = answers_after(0.5, b"whole")
    replace_table(bench, RoutingTable.build(2, [], [], {}, RequestLimits()), 0.1)
    sink, error = bench.serve(make_request(patience=3.0))
    assert error is None
    assert (sink.body, sink.finished) == (b"whole", True)


# Guards against LOST: a request that waited for the first read of the store was not answered before
# its process ended.
def test_a_request_at_the_start_gate_is_answered_when_its_node_stops() -> None:
    bench = make_bench(i_1=answers(b"x"))
    bench.state.start_gate = StartGate()
    loop = bench.scheduler.new_loop()
    serving = bench.pipeline.serve(make_request(), FakeSink())
    task: asyncio.Task[Any] = bench.scheduler.spawn(loop, serving)
    bench.scheduler.at(0.1, lambda: stop(bench.pipeline))
    bench.scheduler.run_until(0.2)
    assert task.done()
    error = task.exception()
    assert isinstance(error, RejectedError) and error.verdict is Verdict.UNAVAILABLE
    assert not bench.client.dispatches


def stop(pipeline: RequestPipeline) -> None:
    pipeline.stop_accepting()
    pipeline.end_waiting()


# Pins down the one decision that ends a stream under way without another attempt: its last run must
# not begin on weights that are due to be replaced.
def test_the_last_run_of_a_stream_ends_when_newer_weights_are_due() -> None:
    first = EVENTS[0]
    bench = make_stream_bench(i_1=answers(), i_22=answers())
    behave = first_then(answers(first, 0.1, RESET), hangs())
    bench.client.behaviours = dict.fromkeys(("i-1", "i-22"), behave)
    bench.state.apply(WeightsNamed(MODEL, 2), 1.5 - VERSION_GRACE_SECONDS)
    sink, error = bench.serve(stream_request(patience=5.0))
    assert isinstance(error, StreamCutError) and error.cause is CutCause.FAILED
    assert (sink.body, sink.finished) == (first, False)
    assert bench.scheduler.now >= 1.0


# Guards against LOST: a reload and a change of the configuration ended answers under way.
def test_a_reload_beside_a_new_configuration_ends_no_stream_of_a_process(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        runner = await running.add_runner("i-1", ENGINES)
        runner.events = STREAM_EVENTS
        node = await running.add_node("node-1")
        call = asyncio.create_task(running.call(node, "/stream/x"))
        await until(lambda: runner.ran == ["r-1"], "the stream runs")
        running.send_signal(node, signal.SIGHUP)
        running.configure(routes=[], tenants=[])
        await running.call_until(node, "/safe/x", 404)
        await until(lambda: "settings read again" in node.messages(), "reload")
        assert not call.done()
        answer = await call
        assert answer.status == 200
        assert answer.body.count(b"id: ") == STREAM_EVENTS

    play(tmp_path, scenario)
