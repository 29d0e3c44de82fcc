"""Placement during a software rollout: which versions requests are sent to."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from unittest.mock import Mock

import pytest

from hillstack.core.part_index import PromptPart
from hillstack.core.routing_table import RouteKind
from hillstack.core.runner_load import OwnAttempt, RunnerLoad
from hillstack.core.runner_pool import Runner
from hillstack.core.software_rollouts import (
    RolloutOrder,
    RolloutRecord,
    RolloutStage,
    SoftwareRollouts,
)
from hillstack.core.version_arrivals import HOLD_SECONDS, VersionArrivals
from hillstack.core.version_exposure import SLACK_SETTLE_SECONDS, VersionExposure
from hillstack.errors import BackendBrokenError
from hillstack.serving.store_events import (
    RolloutOrdered,
    RolloutRecorded,
    RolloutWithdrawn,
    RunnerListed,
)
from hillstack.serving.types import (
    Dispatch,
    RefusalCause,
    ServingRequest,
    StreamCutError,
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
from tests.fleet.fake_runners import (
    Behaviour,
    FakeAnswer,
    answers,
    answers_after,
    breaks_off,
    refuses,
)
from tests.fleet.test_pipeline import (
    EVENTS,
    Bench,
    assert_rejected,
    make_unsafe,
    stream_request,
)

OLD, NEW = "v1", "v2"
REVISION = 9
SHARE = 0.1


def is_new(runner_id: str) -> bool:
    return runner_id.startswith("n-")


def make_bench(
    old: int = 4,
    new: int = 4,
    *,
    slack: float = 0.0,
    ordered: bool = True,
    service: str = APPLICATION,
) -> Bench:
    """Return a bench with runners ``o-N`` of the old version and ``n-N`` of the new version."""
    route = make_route(attempts=3)
    if service == ENGINES:
        kind = RouteKind.STREAM
        route = make_route(kind, prefix="/gen/", service=service, resumable=True, attempts=3)
    bench = Bench(make_state(make_table(route)))
    bench.state.exposure = VersionExposure(SHARE, slack)
    bench.state.directory_known = False
    list_runners(bench, OLD, old, service)
    list_runners(bench, NEW, new, service)
    bench.state.directory_known = True
    if ordered:
        order(bench, service)
    return bench


def list_runners(bench: Bench, version: str, count: int, service: str = APPLICATION) -> None:
    for number in range(count):
        name = f"{'n' if version == NEW else 'o'}-{number}"
        weights = 1 if service == ENGINES else 0
        entry = make_entry(name, service, weights=weights, software=version)
        bench.state.apply(RunnerListed(entry), bench.scheduler.now)
        bench.client.behaviours[name] = answers(*EVENTS) if weights else answers(b"body")


def order(bench: Bench, service: str = APPLICATION, revision: int = REVISION) -> None:
    event = RolloutOrdered(RolloutOrder(service, NEW, 600.0, rev(revision)))
    bench.state.apply(event, bench.scheduler.now)


def record(bench: Bench, stage: RolloutStage, service: str = APPLICATION) -> None:
    rejected = (NEW,) if stage is RolloutStage.REVERTED else ()
    written = RolloutRecord(
        service,
        NEW,
        rev(REVISION),
        stage,
        rejected=rejected,
        revision=rev(30),
    )
    bench.state.apply(RolloutRecorded(written), bench.scheduler.now)


def behave(bench: Bench, behaviour: Behaviour, *, new: bool) -> None:
    for name in bench.client.behaviours:
        if is_new(name) == new:
            bench.client.behaviours[name] = behaviour


async def resumes(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
    """Answer with the events that the caller has not received yet."""
    return FakeAnswer(list(EVENTS[dispatch.last_event_id or 0 :]))


def serve(bench: Bench, count: int) -> Counter[str]:
    """Serve requests of an application; return the number of sends by runner."""
    before = len(bench.client.dispatches)
    for _ in range(count):
        bench.serve(make_request(), 0.1)
    return Counter(dispatch.runner_id for dispatch in bench.client.dispatches[before:])


def sends_to_new(sends: Counter[str]) -> int:
    return sum(count for name, count in sends.items() if is_new(name))


def runners(bench: Bench, *, new: bool) -> Iterable[Runner]:
    return [runner for runner in bench.state.pool.all() if is_new(runner.runner_id) == new]


def test_without_an_order_all_versions_are_used() -> None:
    sends = serve(make_bench(ordered=False), 80)
    assert 20 < sends_to_new(sends) < 60


def test_without_an_order_versions_are_not_checked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bench = make_bench(32, 0, ordered=False)
    job = bench.pipeline._admission.admit(make_request())
    access_checks = Mock()
    monkeypatch.setattr(SoftwareRollouts, "access", access_checks)
    monkeypatch.setattr(VersionArrivals, "is_held", access_checks)
    usable = bench.placement.versions.usable(job, 0.0)
    assert usable.candidates is usable.holders
    assert usable.candidates == bench.state.pool.accepting(APPLICATION, 0.0)
    assert bench.placement.has_room(job, 0.0)
    serve(bench, 20)
    access_checks.assert_not_called()


def test_an_untrusted_version_gets_at_most_its_share() -> None:
    sends = serve(make_bench(), 400)
    assert 0.07 * 400 < sends_to_new(sends) <= SHARE * 400


def test_the_slack_is_added_to_the_share() -> None:
    bench = make_bench(slack=20.0)
    bench.run(do_nothing(), SLACK_SETTLE_SECONDS)
    assert 14 <= sends_to_new(serve(bench, 100)) <= SHARE * 100 + 20


async def do_nothing() -> None:
    return


def test_canaries_are_concentrated_to_make_a_new_runner_as_busy_as_old_ones() -> None:
    sends = serve(make_bench(8, 8), 400)
    (canaries,) = [count for name, count in sends.items() if is_new(name)]
    usual = (sends.total() - canaries) / 8
    assert 0.6 * usual < canaries < 1.2 * usual


def test_a_canary_goes_to_the_next_new_runner_when_the_first_is_full() -> None:
    bench = make_bench(8, 8)
    first = next(name for name in serve(bench, 100) if is_new(name))
    full = bench.state.pool.get(first)
    assert full is not None
    bench.state.pool.note_peer_load(full, "peer", RunnerLoad(8), bench.scheduler.now)
    used = {name for name in serve(bench, 20) if is_new(name)}
    assert used and first not in used


def test_a_failed_canary_is_tried_again_at_a_trusted_runner() -> None:
    bench = make_bench()
    behave(bench, breaks_off(), new=True)
    sends = serve(bench, 100)
    assert sends.total() == 100 + sends_to_new(sends)
    assert 0 < sends_to_new(sends) <= SHARE * 100
    assert all(answer.status == 200 for answer in bench.client.answers)


def test_a_canary_that_is_answered_with_a_failure_is_tried_again_at_a_trusted_runner() -> None:
    bench = make_bench()
    behave(bench, answers(b"bad", status=500), new=True)
    statuses = set()
    for _ in range(100):
        sink, error = bench.serve(make_request(), 0.1)
        statuses.add((sink.status, type(error)))
    assert statuses == {(200, type(None))}


def test_a_refused_canary_counts_and_goes_to_a_trusted_runner() -> None:
    bench = make_bench()
    behave(bench, refuses(RefusalCause.FULL), new=True)
    sends = serve(bench, 100)
    assert sends.total() == 100 + sends_to_new(sends)
    assert 0 < sends_to_new(sends) <= SHARE * 100


def test_an_unsafe_canary_is_sent_once() -> None:
    bench = make_bench()
    make_unsafe(bench)
    behave(bench, breaks_off(), new=True)
    failed = 0
    for _ in range(100):
        _, error = bench.serve(make_request(), 0.1)
        failed += error is not None
        if error is not None:
            assert_rejected(error, Verdict.FAILED)
    sends = Counter(dispatch.runner_id for dispatch in bench.client.dispatches)
    assert sends.total() == 100
    assert failed == sends_to_new(sends) > 0


def test_with_no_trusted_runner_at_work_the_exposure_is_not_exceeded() -> None:
    bench = make_bench()
    for runner in runners(bench, new=False):
        bench.state.pool.note_leaving(runner)
    sends = serve(bench, 100)
    assert sends_to_new(sends) == sends.total() == 9


def test_a_refusal_without_trusted_runners_gives_a_retry_time() -> None:
    bench = make_bench(new=4)
    for runner in runners(bench, new=False):
        runner.suspected_until = 2.0
    _, error = bench.serve(make_request(), 0.1)
    rejected = assert_rejected(error, Verdict.UNAVAILABLE)
    assert rejected.retry_after == pytest.approx(2.0)


def test_closed_runners_are_counted_for_the_log() -> None:
    bench = make_bench()
    record(bench, RolloutStage.REVERTED)
    job = bench.pipeline._admission.admit(make_request())
    assert bench.placement.census(job, 0.0).closed == 4


def test_a_canary_is_served_if_new_runners_have_old_weights() -> None:
    bench = make_bench(service=ENGINES)
    for runner in runners(bench, new=True):
        runner.weights[MODEL] = 0
    for _ in range(50):
        sink, error = bench.serve(stream_request(), 0.1)
        assert error is None and sink.status == 200


def test_a_canary_fetches_parts_cached_by_old_runners() -> None:
    bench = make_bench(old=1, new=1, service=ENGINES)
    warm = bench.state.pool.get("o-0")
    assert warm is not None
    sources = set()
    for _ in range(60):
        # The shared part is cached only at the old runner.
        bench.state.index.clear("n-0")
        bench.state.index.record_cached("o-0", f"shared|{MODEL}|1", [PromptPart("shared", 20_000)])
        bench.serve(stream_request(parts=(("shared", 20_000), ("own", 500))), 1.0)
        dispatch = bench.client.dispatches[-1]
        if dispatch.runner_id == "n-0":
            sources.add(dispatch.fetch_from)
    assert sources == {warm.address}


def test_a_trusted_runner_fetches_nothing_from_an_untrusted_one() -> None:
    bench = make_bench(old=1, new=1, service=ENGINES)
    for _ in range(30):
        bench.state.index.clear("o-0")
        bench.state.index.record_cached("n-0", f"shared|{MODEL}|1", [PromptPart("shared", 20_000)])
        bench.serve(stream_request(parts=(("shared", 20_000), ("own", 500))), 1.0)
    to_old = [d for d in bench.client.dispatches if d.runner_id == "o-0"]
    assert to_old and all(dispatch.fetch_from is None for dispatch in to_old)


def test_slow_canaries_do_not_change_the_expected_prefill_rate() -> None:
    bench = make_bench(old=1, new=1, service=ENGINES)
    behave(bench, answers_after(0.5, *EVENTS), new=True)
    behave(bench, answers_after(0.02, *EVENTS), new=False)
    for _ in range(60):
        bench.serve(stream_request(parts=(("own", 3_000),)), 2.0)
    assert "n-0" in [dispatch.runner_id for dispatch in bench.client.dispatches]
    assert bench.placement.prefill_rate(ENGINES) > 38_000


def test_while_shifting_all_requests_go_to_the_new_version() -> None:
    bench = make_bench()
    record(bench, RolloutStage.SHIFTING)
    assert sends_to_new(serve(bench, 50)) == 50


def test_while_shifting_old_runners_are_used_if_no_new_one_accepts_work() -> None:
    bench = make_bench()
    record(bench, RolloutStage.SHIFTING)
    for runner in runners(bench, new=True):
        runner.suspected_until = 100.0
    assert sends_to_new(serve(bench, 10)) == 0
    assert len(bench.client.answers) == 10


def test_while_shifting_old_runners_are_not_used_if_a_new_one_accepts_work() -> None:
    bench = make_bench()
    record(bench, RolloutStage.SHIFTING)
    for runner in list(runners(bench, new=True))[1:]:
        runner.suspected_until = 100.0
    assert serve(bench, 10) == {"n-0": 10}


def test_while_shifting_parts_are_fetched_from_the_old_runners() -> None:
    bench = make_bench(old=1, new=1, service=ENGINES)
    record(bench, RolloutStage.SHIFTING, ENGINES)
    bench.state.index.record_cached("o-0", f"shared|{MODEL}|1", [PromptPart("shared", 20_000)])
    bench.serve(stream_request(parts=(("shared", 20_000), ("own", 500))), 1.0)
    (dispatch,) = bench.client.dispatches
    old = bench.state.pool.get("o-0")
    assert old is not None
    assert (dispatch.runner_id, dispatch.fetch_from) == ("n-0", old.address)


def test_a_complete_rollout_never_goes_back_to_the_old_version() -> None:
    bench = make_bench()
    record(bench, RolloutStage.COMPLETE)
    for runner in runners(bench, new=True):
        runner.suspected_until = 100.0
    assert not serve(bench, 5)


def test_a_recorded_completion_overrides_a_late_bad_verdict() -> None:
    bench = make_bench()
    bench.state.rollouts.condemn(APPLICATION, rev(REVISION))
    record(bench, RolloutStage.COMPLETE)
    assert sends_to_new(serve(bench, 5)) == 5


def test_a_reverted_version_gets_no_new_requests() -> None:
    bench = make_bench()
    record(bench, RolloutStage.REVERTED)
    assert sends_to_new(serve(bench, 50)) == 0


def test_a_version_found_bad_gets_no_new_requests_whatever_the_store_says() -> None:
    bench = make_bench()
    bench.state.rollouts.condemn(APPLICATION, rev(REVISION))
    assert sends_to_new(serve(bench, 50)) == 0


def test_a_reverted_version_completes_its_running_requests() -> None:
    bench = make_bench(old=1, new=1, service=ENGINES)
    slow = answers(EVENTS[0], 0.3, EVENTS[1], 0.3, EVENTS[2])
    behave(bench, slow, new=True)
    record(bench, RolloutStage.SHIFTING, ENGINES)
    bench.scheduler.at(0.2, lambda: bench.state.rollouts.condemn(ENGINES, rev(REVISION)))
    sink, error = bench.serve(stream_request(), 5.0)
    assert error is None and sink.finished
    assert [dispatch.runner_id for dispatch in bench.client.dispatches] == ["n-0"]


def test_after_a_withdrawn_order_a_version_that_was_never_trusted_stays_closed() -> None:
    bench = make_bench()
    record(bench, RolloutStage.CANARY)
    bench.state.apply(RolloutWithdrawn(APPLICATION, rev(REVISION + 1)), bench.scheduler.now)
    assert sends_to_new(serve(bench, 50)) == 0


@pytest.mark.parametrize("recorded", [False, True])
def test_after_a_withdrawn_order_the_only_version_is_used(recorded: bool) -> None:
    bench = make_bench(old=0)
    if recorded:
        record(bench, RolloutStage.CANARY)
    bench.state.apply(RolloutWithdrawn(APPLICATION, rev(REVISION + 1)), bench.scheduler.now)
    assert sends_to_new(serve(bench, 5)) == 5


@pytest.mark.parametrize("stage", [None, RolloutStage.CANARY, RolloutStage.REVERTED])
def test_after_a_withdrawn_order_a_bad_version_stays_closed_even_if_it_is_alone(
    stage: RolloutStage | None,
) -> None:
    bench = make_bench(old=0)
    if stage is not None:
        record(bench, stage)
    if stage is not RolloutStage.REVERTED:
        bench.state.rollouts.condemn(APPLICATION, rev(REVISION))
    bench.state.apply(RolloutWithdrawn(APPLICATION, rev(REVISION + 1)), bench.scheduler.now)
    assert sends_to_new(serve(bench, 5)) == 0


def test_after_a_withdrawn_order_its_target_is_not_used_if_others_are_listed() -> None:
    bench = make_bench()
    bench.state.apply(RolloutWithdrawn(APPLICATION, rev(REVISION + 1)), bench.scheduler.now)
    for runner in runners(bench, new=False):
        runner.suspected_until = bench.scheduler.now + 1e6
    assert sends_to_new(serve(bench, 5)) == 0


def test_new_runners_listed_before_their_order_wait_for_it() -> None:
    bench = make_bench(new=0, ordered=False)
    list_runners(bench, NEW, 4)
    early = sends_to_new(serve(bench, 20))
    order(bench)
    assert early == 0
    assert sends_to_new(serve(bench, 200)) <= SHARE * 200


def test_without_an_order_a_new_version_is_used_after_the_hold_time() -> None:
    bench = make_bench(new=0, ordered=False)
    list_runners(bench, NEW, 4)
    bench.run(do_nothing(), HOLD_SECONDS)
    assert sends_to_new(serve(bench, 80)) > 20


def test_a_new_version_is_used_immediately_if_no_other_accepts_work() -> None:
    bench = make_bench(new=0, ordered=False)
    list_runners(bench, NEW, 4)
    for runner in runners(bench, new=False):
        bench.state.pool.note_leaving(runner)
    assert sends_to_new(serve(bench, 5)) == 5


def test_an_overload_of_only_the_new_runners_causes_no_refusals() -> None:
    bench = make_bench(old=2, new=2, service=ENGINES)
    for runner in runners(bench, new=True):
        runner.prefill_done_at = 50.0
        runner.attempts.add("a", OwnAttempt(1, 1, 0.0, 100.0))
    for _ in range(40):
        _, error = bench.serve(stream_request(), 0.1)
        assert error is None


def test_requests_refused_by_trusted_runners_are_not_sent_to_untrusted_ones() -> None:
    bench = make_bench(old=1, new=4)
    behave(bench, refuses(RefusalCause.FULL), new=False)
    sends = serve(bench, 60)
    assert sends_to_new(sends) <= SHARE * 60


def test_runners_of_another_service_are_not_affected() -> None:
    bench = make_bench(service=ENGINES)
    entry = replace(make_entry("o-9", APPLICATION), software="v7")
    bench.state.apply(RunnerListed(entry), 0.0)
    job_free = bench.state.pool.accepting(APPLICATION, 0.0)
    assert [runner.runner_id for runner in job_free] == ["o-9"]
    assert not bench.state.rollouts.concerns(APPLICATION)


async def breaks_first(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
    """Break a new stream off after its first event, and end one that is resumed."""
    if dispatch.last_event_id is not None:
        return await resumes(request, dispatch)
    reset = BackendBrokenError("reset", step="relay", peer=dispatch.runner_id)
    return FakeAnswer([EVENTS[0], reset])


# The events of two versions don't fit together.
def test_a_broken_stream_of_a_canary_is_resumed_at_its_version() -> None:
    bench = make_bench(old=2, new=2, service=ENGINES)
    behave(bench, breaks_first, new=True)
    behave(bench, breaks_first, new=False)
    for _ in range(60):
        first = len(bench.client.dispatches)
        sink, error = bench.serve(stream_request(), 1.0)
        assert error is None and sink.finished
        sends = [dispatch.runner_id for dispatch in bench.client.dispatches[first:]]
        assert len(sends) == 2
        assert sends[0] != sends[1] and sends[0][0] == sends[1][0]
    assert any(dispatch.runner_id.startswith("n-") for dispatch in bench.client.dispatches)


def test_a_broken_stream_without_another_runner_of_its_version_is_cut() -> None:
    bench = make_bench(old=2, new=1, service=ENGINES)
    behave(bench, breaks_first, new=True)
    behave(bench, resumes, new=False)
    cut = 0
    for _ in range(60):
        first = len(bench.client.dispatches)
        _, error = bench.serve(stream_request(), 1.0)
        sends = [dispatch.runner_id for dispatch in bench.client.dispatches[first:]]
        if sends[0] == "n-0":
            assert sends == ["n-0"] and isinstance(error, StreamCutError)
            cut += 1
        else:
            assert error is None
    assert cut
