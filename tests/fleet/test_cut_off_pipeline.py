"""What a node concludes of attempts on connections that were cut off, in virtual time."""

from __future__ import annotations

import asyncio

import pytest

from hillstack.core.rollout_evidence import OutcomeKey, OutcomeTotals
from hillstack.core.routing_table import RouteKind
from hillstack.core.runner_pool import Runner
from hillstack.errors import BackendBrokenError, ConnectionLostError
from hillstack.serving.types import Dispatch, ServingRequest
from tests.fleet.builders import make_entry, make_request, make_route, make_state, make_table
from tests.fleet.fake_runners import Behaviour, FakeAnswer, answers, hangs
from tests.fleet.rollout_traffic import OLD
from tests.fleet.test_pipeline import Bench, make_bench
from tests.fleet.test_rollout_observer import ROUTE, Observed

LOST_AFTER_SECONDS = 0.5
# A check takes some tenths of a second, after the connection has broken.
CHECK_SECONDS = 0.1


def runner_of(bench: Bench, runner_id: str) -> Runner:
    runner = bench.state.pool.get(runner_id)
    assert runner is not None
    return runner


def loses_path(bench: Bench, runner_id: str, after: float) -> None:
    """Let the node find out that it is cut off from a runner."""
    now = bench.scheduler.now
    pool = bench.state.pool
    bench.scheduler.at(
        now + after, lambda: pool.note_path_lost(runner_of(bench, runner_id), now + after)
    )


def hangs_once(answer: bytes) -> Behaviour:
    """Return a behaviour that hangs at the first request and answers the later ones."""
    sent: list[str] = []

    async def behave(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        sent.append(request.request_id)
        if len(sent) == 1:
            await asyncio.sleep(1_000)
        return FakeAnswer([answer])

    return behave


def breaks_once(error: BackendBrokenError, answer: bytes) -> Behaviour:
    sent: list[str] = []

    async def behave(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        sent.append(request.request_id)
        if len(sent) == 1:
            raise error
        return FakeAnswer([answer])

    return behave


def test_an_attempt_on_a_lost_path_is_sent_again_to_the_only_runner() -> None:
    bench = make_bench(i_1=hangs_once(b"x"))
    loses_path(bench, "i-1", LOST_AFTER_SECONDS)
    sink, error = bench.serve(make_request(patience=3.0))
    assert error is None and sink.body == b"x"
    assert [dispatch.runner_id for dispatch in bench.client.dispatches] == ["i-1", "i-1"]


def test_an_attempt_on_a_lost_path_does_not_make_the_runner_suspected() -> None:
    bench = make_bench(i_1=hangs_once(b"x"), i_2=answers(b"y"))
    loses_path(bench, "i-1", LOST_AFTER_SECONDS)
    bench.serve(make_request(patience=3.0))
    assert all(runner.accepts(bench.scheduler.now) for runner in bench.state.pool.all())
    assert not bench.peers.suspects and not bench.peers.runner_ends


def test_a_silent_attempt_without_a_lost_path_still_suspects_the_runner() -> None:
    bench = make_bench(i_1=hangs(), i_2=hangs())
    bench.serve(make_request(patience=3.0))
    assert any(runner.failures for runner in bench.state.pool.all())


# Guards against crashes that are not counted: a request that a cut has held back reaches its runner
# when the path works again, and may crash it then.
def test_a_connection_that_was_cut_off_and_breaks_later_is_a_crash_until_the_runner_answers() -> (
    None
):
    async def breaks_late(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        await asyncio.sleep(2.0)
        raise ConnectionLostError("reset", step="await answer", peer=dispatch.runner_id)

    table = make_table(make_route(RouteKind.UNSAFE))
    bench = Bench(make_state(table, make_entry("i-1")))
    bench.client.behaviours["i-1"] = breaks_late
    loses_path(bench, "i-1", LOST_AFTER_SECONDS)
    bench.serve(make_request(patience=5.0))
    crashes = bench.pipeline.runner_crashes
    assert [notice.taken_back for notice in bench.peers.runner_ends] == [False]
    assert bench.state.runner_crashes.get("i-1") is not None
    crashes.refute("i-1", bench.scheduler.now)
    assert [notice.taken_back for notice in bench.peers.runner_ends] == [False, True]
    assert bench.state.runner_crashes.get("i-1") is None


def test_an_answer_to_a_call_before_the_crash_refutes_nothing() -> None:
    async def breaks_off(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        await asyncio.sleep(0.5)
        raise ConnectionLostError("reset", step="await answer", peer=dispatch.runner_id)

    bench = make_bench(i_1=breaks_off)
    called_at = bench.scheduler.now + 0.4
    bench.serve(make_request(patience=2.0), within=2.0)
    bench.pipeline.runner_crashes.refute("i-1", called_at)
    assert bench.state.runner_crashes.get("i-1") is not None


@pytest.mark.parametrize("is_cut_off", [True, False])
def test_attempts_on_a_lost_path_are_no_evidence_against_a_version(is_cut_off: bool) -> None:
    observed = Observed()
    error = BackendBrokenError("broken", step="test", peer="o-0")
    observed.bench.client.behaviours = {"o-0": breaks_once(error, b"x")}
    if is_cut_off:
        loses_path(observed.bench, "o-0", CHECK_SECONDS)
    observed.bench.serve(make_request(), 1.0)
    total = observed.totals().get(OutcomeKey(OLD, ROUTE, False), OutcomeTotals(0, 0, ()))
    assert total.failed == (0 if is_cut_off else 1)
