"""A sound runner that is silent for a second or so and goes on, alone or with all others."""

from __future__ import annotations

import pytest

from hillstack.core.routing_table import RouteKind
from hillstack.serving.types import Dispatch, ServingRequest
from tests.fleet.builders import (
    APPLICATION,
    ENGINES,
    make_entry,
    make_request,
    make_route,
    make_state,
    make_table,
)
from tests.fleet.fake_runners import Behaviour, FakeAnswer, answers_after
from tests.fleet.test_pipeline import Bench

SILENT_SECONDS = 1.1
EVENTS = [f"id: {number}\ndata: x\n\n".encode() for number in range(1, 4)]
# Runs that a route with two attempts allows.
MOST_RUNS = {RouteKind.SAFE: 2, RouteKind.UNSAFE: 1, RouteKind.STREAM: 2}


def streams_with_pause(pause: float) -> Behaviour:
    """Return a behaviour that streams all events after the last one received, with a pause."""

    async def behave(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        rest = EVENTS[dispatch.last_event_id or 0 :]
        return FakeAnswer([rest[0], pause, *rest[1:]])

    return behave


def make_silent_bench(kind: RouteKind, silent: int) -> Bench:
    """Return a bench with two runners, the first ones of which are silent for a while."""
    is_stream = kind is RouteKind.STREAM
    service = ENGINES if is_stream else APPLICATION
    route = make_route(kind, service=service, resumable=is_stream)
    entries = [make_entry(name, service, weights=int(is_stream)) for name in ("i-1", "i-22")]
    bench = Bench(make_state(make_table(route), *entries))
    for number, entry in enumerate(entries):
        pause = SILENT_SECONDS if number < silent else 0.0
        bench.client.behaviours[entry.runner_id] = (
            streams_with_pause(pause) if is_stream else answers_after(pause, b"x")
        )
    return bench


@pytest.mark.parametrize("silent", [1, 2])
@pytest.mark.parametrize("kind", list(MOST_RUNS))
def test_a_runner_that_is_silent_for_a_second_costs_no_request(
    kind: RouteKind, silent: int
) -> None:
    bench = make_silent_bench(kind, silent)
    parts = (("own", 100),) if kind is RouteKind.STREAM else ()
    sink, error = bench.serve(make_request(patience=5.0, parts=parts))
    assert error is None and sink.status == 200 and sink.finished
    assert len(bench.client.dispatches) <= MOST_RUNS[kind]
    assert not bench.peers.runner_ends


@pytest.mark.parametrize("kind", list(MOST_RUNS))
def test_runners_that_were_silent_for_a_second_are_used_again(kind: RouteKind) -> None:
    bench = make_silent_bench(kind, 2)
    parts = (("own", 100),) if kind is RouteKind.STREAM else ()
    bench.serve(make_request(patience=5.0, parts=parts), within=3.0)
    now = bench.scheduler.now
    assert all(runner.accepts(now) for runner in bench.state.pool.all())
