"""A stream under way is given up only for an attempt that takes it up.

Guards against LOST: beside a change of the configuration, a stream that its runner would have
completed ended in the middle, because its node had given up the silent run for an attempt that
it could not make.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from hillstack.core.shared_retry_budget import SharedRetryBudget
from hillstack.serving.job import MAX_SENDS, MAX_TAKE_UP_SENDS
from hillstack.serving.store_events import RunnerListed, WeightsNamed
from hillstack.serving.types import Dispatch, RefusalCause, ServingRequest, StreamCutError
from tests.fleet.builders import (
    ENGINES,
    MODEL,
    VERSION_GRACE_SECONDS,
    make_entry,
    make_request,
)
from tests.fleet.fake_runners import (
    Behaviour,
    FakeAnswer,
    FakeSink,
    answers,
    hangs,
    refuses,
)
from tests.fleet.test_pipeline import EVENTS, PARTS, Bench, make_stream_bench, stream_request

SILENT_SECONDS = 2.0
WHOLE = b"".join(EVENTS)


def answers_rest(pause: float = 0.0) -> Behaviour:
    """Return a behaviour that streams the events after the last one received."""

    async def behave(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        rest = EVENTS[dispatch.last_event_id or 0 :]
        return FakeAnswer([rest[0], pause, *rest[1:]] if pause else list(rest))

    return behave


def silent_first(bench: Bench, others: Behaviour) -> Behaviour:
    """Return a behaviour of all runners.

    The runner of the first request is silent during each answer for a while, and then goes on.
    """

    async def behave(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        is_first = dispatch.runner_id == bench.client.dispatches[0].runner_id
        return await (answers_rest(SILENT_SECONDS) if is_first else others)(request, dispatch)

    return behave


@pytest.mark.parametrize(
    "cause", [RefusalCause.FULL, RefusalCause.UNREACHABLE, RefusalCause.OTHER_INSTANCE]
)
def test_a_silent_stream_is_not_lost_if_the_other_runner_refuses_it(cause: RefusalCause) -> None:
    bench = make_stream_bench(i_1=answers(), i_22=answers())
    behave = silent_first(bench, refuses(cause))
    bench.client.behaviours = dict.fromkeys(("i-1", "i-22"), behave)
    sink, error = bench.serve(stream_request(patience=5.0))
    assert error is None
    assert (sink.body, sink.heads, sink.finished) == (WHOLE, 1, True)


def test_streams_that_fall_silent_together_are_not_given_up_for_one_further_attempt() -> None:
    bench = make_stream_bench(i_1=answers())
    # Of the slack, 0.6 may be saved up.
    bench.state.budget = SharedRetryBudget(0.0, 1.0 / 0.6, 10.0)
    behave = silent_first(bench, answers_rest())
    bench.client.behaviours = dict.fromkeys(("i-1", "i-22"), behave)
    sinks = [FakeSink(), FakeSink()]
    loop = bench.scheduler.new_loop()
    tasks: list[asyncio.Task[Any]] = []
    for number, sink in enumerate(sinks):
        request = make_request("/gen/x", parts=PARTS, request_id=f"r-{number}")
        tasks.append(bench.scheduler.spawn(loop, bench.pipeline.serve(request, sink)))
    bench.scheduler.run_until(0.3)
    second = make_entry("i-22", ENGINES, weights=1)
    bench.state.apply(RunnerListed(second), bench.scheduler.now)
    bench.scheduler.run_until(10.0)
    assert [task.exception() for task in tasks] == [None, None]
    assert [sink.body for sink in sinks] == [WHOLE, WHOLE]


def test_a_silent_stream_is_not_given_up_for_weights_that_are_about_to_be_replaced() -> None:
    bench = make_stream_bench(i_1=answers(), i_22=answers())
    behave = silent_first(bench, hangs())
    bench.client.behaviours = dict.fromkeys(("i-1", "i-22"), behave)
    # The bound falls .4 s after the stream counts as silent.
    bench.state.apply(WeightsNamed(MODEL, 2), 1.5 - VERSION_GRACE_SECONDS)
    sink, error = bench.serve(stream_request(patience=5.0))
    assert error is None
    assert (sink.body, sink.heads, sink.finished) == (WHOLE, 1, True)


def test_a_silent_stream_is_not_given_up_for_the_last_attempt_of_the_budget() -> None:
    bench = make_stream_bench(i_1=answers(), i_22=answers())
    bench.state.budget = SharedRetryBudget(0.0, 1.0 / 0.6, 10.0)
    behave = silent_first(bench, refuses(RefusalCause.FULL))
    bench.client.behaviours = dict.fromkeys(("i-1", "i-22"), behave)
    sink, error = bench.serve(stream_request(patience=5.0))
    assert error is None and sink.body == WHOLE


def test_a_stream_that_was_given_up_does_not_go_to_weights_that_are_about_to_be_replaced() -> None:
    bench = make_stream_bench(i_1=answers(), i_22=answers())
    accepts_after = 2.0

    async def behave(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        if dispatch.runner_id == bench.client.dispatches[0].runner_id:
            return await answers_rest(100.0)(request, dispatch)
        if dispatch.weights_version == 1:
            return await hangs()(request, dispatch)
        is_full = bench.scheduler.now < accepts_after
        others = refuses(RefusalCause.FULL) if is_full else answers_rest()
        return await others(request, dispatch)

    bench.client.behaviours = dict.fromkeys(("i-1", "i-22", "i-333"), behave)
    bench.state.apply(WeightsNamed(MODEL, 2), 1.5 - VERSION_GRACE_SECONDS)
    sink = FakeSink()
    work = bench.pipeline.serve(stream_request(patience=5.0), sink)
    task = bench.scheduler.spawn(bench.scheduler.new_loop(), work)
    bench.scheduler.run_until(0.3)
    newer = make_entry("i-333", ENGINES, weights=2)
    bench.state.apply(RunnerListed(newer), bench.scheduler.now)
    bench.scheduler.run_until(10.0)
    assert task.exception() is None and sink.body == WHOLE


def test_a_stream_that_no_runner_takes_up_is_sent_a_bounded_number_of_times() -> None:
    bench = make_stream_bench(i_1=answers(), i_22=answers())

    async def behave(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        is_first = len(bench.client.dispatches) == 1
        chosen = answers_rest(100.0) if is_first else refuses(RefusalCause.FULL)
        return await chosen(request, dispatch)

    bench.client.behaviours = dict.fromkeys(("i-1", "i-22"), behave)
    _, error = bench.serve(stream_request(patience=5.0))
    assert isinstance(error, StreamCutError)
    assert len(bench.client.dispatches) <= MAX_SENDS + MAX_TAKE_UP_SENDS


def test_a_stream_of_a_process_that_has_ended_is_given_up_for_the_last_attempt() -> None:
    bench = make_stream_bench(i_1=answers(), i_22=answers())
    bench.state.budget = SharedRetryBudget(0.0, 1.0 / 0.6, 10.0)
    behave = silent_first(bench, answers_rest())
    bench.client.behaviours = dict.fromkeys(("i-1", "i-22"), behave)

    async def end_first() -> None:
        await asyncio.sleep(0.1)
        first = bench.state.pool.get(bench.client.dispatches[0].runner_id)
        assert first is not None
        bench.state.note_restarted(first, bench.scheduler.now)

    bench.scheduler.spawn(bench.scheduler.new_loop(), end_first())
    sink, error = bench.serve(stream_request(patience=5.0), within=1.0)
    assert error is None and sink.body == WHOLE
