"""Requests that return to a runner whose run was left over a silent relay, in virtual time."""

from __future__ import annotations

from hillstack.core.relayed_runs import MAX_LEFT_RUNS, LeftRelayedRuns
from hillstack.serving.types import Dispatch, RefusalCause, ServingRequest
from tests.fleet.fake_runners import Behaviour, FakeAnswer, answers, refuses
from tests.fleet.test_pipeline import (
    EVENTS,
    Bench,
    keep_receiving,
    make_stream_bench,
    stream_request,
)

HUNG_SECONDS = 100.0


def make_left_bench(*behaviours: Behaviour, receives: bool = True) -> Bench:
    """Return a bench on which the first attempt hangs after an event, over a stopped relay."""

    async def behave(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        number = len(bench.client.dispatches) - 1
        if number == 0:
            bench.state.left_relayed_runs.add(request.request_id, dispatch.address)
            return FakeAnswer([EVENTS[0], HUNG_SECONDS])
        return await behaviours[number - 1](request, dispatch)

    bench = make_stream_bench(i_1=behave, i_22=behave, i_333=behave)
    if receives:
        keep_receiving(bench, 20.0)
    return bench


def runners_of(bench: Bench) -> list[str]:
    return [dispatch.runner_id for dispatch in bench.client.dispatches]


# The request went on at another runner, while only the stopped relay could end its first run.
def test_a_request_returns_to_the_runner_that_only_a_relay_can_free() -> None:
    bench = make_left_bench(answers(*EVENTS[1:]))
    sink, error = bench.serve(stream_request(), within=4.0)
    assert error is None and sink.finished and sink.body == b"".join(EVENTS)
    first, second = runners_of(bench)
    assert first == second


# Guards against a request that fails because the runner to which it returns is full.
def test_a_request_whose_return_is_refused_goes_on_at_another_runner() -> None:
    bench = make_left_bench(refuses(RefusalCause.FULL), answers(*EVENTS[1:]))
    sink, error = bench.serve(stream_request(), within=4.0)
    assert error is None and sink.finished and sink.body == b"".join(EVENTS)
    first, second, third = runners_of(bench)
    assert first == second != third


# Guards against a request that waits for a runner which answers nobody any more.
def test_a_request_does_not_return_to_a_silent_runner() -> None:
    bench = make_left_bench(answers(*EVENTS[1:]), receives=False)
    sink, error = bench.serve(stream_request(), within=6.0)
    assert error is None and sink.finished and sink.body == b"".join(EVENTS)
    first, second = runners_of(bench)
    assert first != second


def test_runs_of_callers_that_have_left_are_forgotten() -> None:
    runs = LeftRelayedRuns()
    for number in range(MAX_LEFT_RUNS + 1):
        runs.add(f"r-{number}", "10.0.0.1:1")
    assert not runs.take("r-0", "10.0.0.1:1")
    assert not runs.take("r-1", "10.0.0.2:1")
    assert runs.take("r-2", "10.0.0.1:1") and not runs.take("r-2", "10.0.0.1:1")
