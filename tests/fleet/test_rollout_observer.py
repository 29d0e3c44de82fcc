"""Observation and reports of the versions in a rollout; a bad version is closed in time."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from random import Random

import pytest

from hillstack.core.local_outcomes import (
    DISCONNECT_WINDOW_SECONDS,
    AttemptOutcome,
    LocalOutcomes,
    delay_bucket,
)
from hillstack.core.order_age import FIRST_SEEN_AGE_SECONDS
from hillstack.core.rollout_evidence import (
    DELAY_BUCKETS,
    MAX_OUTCOME_KEYS,
    MOST_PROCESSES,
    REPORTER_SECONDS,
    OutcomeKey,
    OutcomeTotals,
    RolloutEvidence,
)
from hillstack.core.rollout_judge import NO_OPINION, RolloutOpinion, Verdict
from hillstack.core.run_at_crash import RunAtCrash
from hillstack.core.software_rollouts import RolloutOrder, RolloutRecord, RolloutStage
from hillstack.errors import BackendBrokenError
from hillstack.messages.rollout_reports import OutcomeCounts, RolloutReport
from hillstack.serving.attempt_monitor import AttemptMonitor
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.metrics import FleetMetrics
from hillstack.serving.rollout_observer import MAX_REPORT_ROWS, MAX_ROLLOUTS, RolloutObserver
from hillstack.serving.store_events import RolloutOrdered, RolloutRecorded, RunnerListed
from hillstack.serving.types import AttemptAbandonedError, RefusalCause, RunnerRefusedError
from tests.fleet.builders import (
    APPLICATION,
    make_entry,
    make_request,
    make_route,
    make_state,
    make_table,
    rev,
)
from tests.fleet.fake_runners import FakeSink, answers, answers_after, breaks_off, hangs, refuses
from tests.fleet.node_network import NodeNetwork
from tests.fleet.rollout_traffic import (
    NEW,
    OLD,
    OVER_SECONDS,
    RARE,
    SHARE,
    RolloutTraffic,
    ThresholdJudge,
    rollout_table,
)
from tests.fleet.test_pipeline import Bench

ROUTE = "route/app/"
KEY = OutcomeKey(NEW, ROUTE, False)
REVISION = 9
NODES = 16


def counts(answered: int, failed: int = 0, route: str = ROUTE) -> OutcomeCounts:
    delays = [0] * DELAY_BUCKETS
    delays[4] = answered - failed
    return OutcomeCounts(NEW, route, False, answered, failed, delays)


def report(
    *outcomes: OutcomeCounts, stage: str = "canary", old_running: int = 0, bad: bool = False
) -> RolloutReport:
    return RolloutReport(APPLICATION, REVISION, stage, old_running, list(outcomes), bad)


# Evidence from the reports of all nodes.


def test_counts_of_all_processes_add_up() -> None:
    evidence = RolloutEvidence()
    evidence.merge_report("a", 1, report(counts(10, 2)), 0.0)
    evidence.merge_report("b", 1, report(counts(5, 1)), 0.0)
    total = evidence.totals()[KEY]
    assert (total.answered, total.failed, total.delays[4]) == (15, 3, 12)


def test_a_repeated_and_a_late_report_change_nothing() -> None:
    evidence = RolloutEvidence()
    for answered in (10, 10, 4, 10):
        evidence.merge_report("a", 1, report(counts(answered)), 0.0)
    assert evidence.totals()[KEY].answered == 10


def test_the_next_report_replaces_lost_ones() -> None:
    evidence = RolloutEvidence()
    evidence.merge_report("a", 1, report(counts(3)), 0.0)
    evidence.merge_report("a", 1, report(counts(30, 7)), 0.0)
    assert evidence.totals()[KEY].failed == 7


def test_counts_of_a_node_before_its_restart_are_kept() -> None:
    evidence = RolloutEvidence()
    evidence.merge_report("a", 1, report(counts(10)), 0.0)
    evidence.merge_report("a", 2, report(counts(3)), 0.0)
    assert evidence.totals()[KEY].answered == 13


def test_a_late_report_of_an_earlier_process_is_not_the_nodes_state() -> None:
    evidence = RolloutEvidence()
    evidence.merge_report("a", 1, report(old_running=5, stage="shifting"), 0.0)
    evidence.merge_report("a", 2, report(old_running=0, stage="shifting"), 0.1)
    evidence.merge_report("a", 1, report(old_running=5, stage="shifting"), 0.2)
    assert evidence.reporters(0.2)["a"].old_running == 0


def test_a_late_first_report_of_an_earlier_process_is_soon_replaced() -> None:
    evidence = RolloutEvidence()
    evidence.merge_report("a", 2, report(old_running=3, stage="shifting"), 0.0)
    evidence.merge_report("a", 1, report(old_running=0, stage="shifting"), 0.1)
    for number in range(1, 7):
        evidence.merge_report("a", 2, report(old_running=3, stage="shifting"), 0.5 * number)
    assert evidence.reporters(3.0)["a"].old_running == 3
    assert evidence.reporters(3.0)["a"].received_at == 3.0


def test_a_stage_does_not_go_back_with_a_late_report() -> None:
    evidence = RolloutEvidence()
    evidence.merge_report("a", 1, report(stage="shifting", old_running=3), 0.0)
    evidence.merge_report("a", 1, report(stage="canary"), 0.1)
    assert evidence.reporters(0.1)["a"].stage == "shifting"


def test_a_silent_node_is_no_reporter() -> None:
    evidence = RolloutEvidence()
    evidence.merge_report("a", 1, report(), 0.0)
    assert list(evidence.reporters(REPORTER_SECONDS - 0.1)) == ["a"]
    assert not evidence.reporters(REPORTER_SECONDS)


def test_one_bad_report_of_a_peer_is_enough() -> None:
    evidence = RolloutEvidence()
    evidence.merge_report("a", 1, report(bad=True), 0.0)
    evidence.merge_report("a", 1, report(), 0.0)
    assert evidence.is_reported_bad()


def test_evidence_is_bounded() -> None:
    evidence = RolloutEvidence()
    for number in range(MAX_OUTCOME_KEYS + 10):
        evidence.merge_report("a", 1, report(counts(1, route=f"r-{number}")), 0.0)
    for number in range(MOST_PROCESSES + 10):
        evidence.merge_report("b", number, report(counts(1)), 0.0)
    assert len(evidence.totals()) == MAX_OUTCOME_KEYS
    # Outcomes and processes beyond the limits are ignored; one of the processes is "a".
    assert sum(total.answered for total in evidence.totals().values()) <= MAX_OUTCOME_KEYS


def test_a_report_with_too_many_or_too_few_delays_is_cut_or_padded() -> None:
    evidence = RolloutEvidence()
    evidence.merge_report("a", 1, report(OutcomeCounts(NEW, ROUTE, False, 2, 0, [1] * 30)), 0.0)
    evidence.merge_report("b", 1, report(OutcomeCounts(NEW, ROUTE, False, 2, 0, [1])), 0.0)
    assert evidence.totals()[KEY].delays == (2, *[1] * (DELAY_BUCKETS - 1))


# Outcomes at one node.


@pytest.mark.parametrize(
    ("slowness", "bucket"), [(0.0, 0), (0.25, 0), (0.5, 2), (1.0, 4), (2.0, 6), (4.0, 8), (99.0, 9)]
)
def test_delays_are_counted_in_half_octaves(slowness: float, bucket: int) -> None:
    assert delay_bucket(slowness) == bucket


def broken(runner_id: str, version: str) -> AttemptOutcome:
    return AttemptOutcome(OutcomeKey(version, ROUTE, False), runner_id, failed=True, broken=True)


def test_a_broken_answer_counts_after_the_cut_window() -> None:
    outcomes = LocalOutcomes()
    outcomes.add(broken("n-0", NEW), 1.0)
    assert not outcomes.settle(1.0 + DISCONNECT_WINDOW_SECONDS / 2)
    assert len(outcomes.settle(1.0 + DISCONNECT_WINDOW_SECONDS)) == 1
    assert outcomes.rows()[0].failed == 1


def test_connections_to_several_versions_broken_by_a_network_cut_do_not_count() -> None:
    outcomes = LocalOutcomes()
    for runner_id, version, at in (("n-0", NEW, 1.0), ("o-0", OLD, 1.2), ("o-1", OLD, 1.3)):
        outcomes.add(broken(runner_id, version), at)
    assert not outcomes.settle(1.5) and not outcomes.settle(3.0)
    assert not outcomes.rows()


def test_new_runners_that_break_together_are_not_a_network_cut() -> None:
    outcomes = LocalOutcomes()
    for number in range(4):
        outcomes.add(broken(f"n-{number}", NEW), 1.0)
    assert len(outcomes.settle(2.0)) == 4


def test_attempts_broken_by_a_fatal_request_do_not_count() -> None:
    outcomes = LocalOutcomes()
    outcomes.add(broken("n-0", NEW), 1.0)
    outcomes.add(broken("n-1", NEW), 1.0)
    counted = outcomes.settle(2.0, excused={"n-0"})
    assert [outcome.runner_id for outcome in counted] == ["n-1"]
    assert outcomes.rows()[0].failed == 1


class MonitoredAttempt:
    """An attempt monitor and the outcomes that it reported."""

    def __init__(self, *, is_stream: bool = False) -> None:
        self.outcomes: list[AttemptOutcome] = []
        self.monitor = AttemptMonitor(
            KEY, "n-0", 0.0, 0.1, lambda outcome, now: self.outcomes.append(outcome)
        )
        if is_stream:
            self.monitor = AttemptMonitor(
                KEY, "n-0", 0.0, 0.1, lambda o, now: self.outcomes.append(o), is_stream=True
            )


def refused() -> RunnerRefusedError:
    return RunnerRefusedError("full", step="s", peer="n-0", cause=RefusalCause.FULL)


def test_an_answer_counts_with_its_delay() -> None:
    attempt = MonitoredAttempt()
    attempt.monitor.head(200, 0.2, signed=True)
    attempt.monitor.ended(5.0)
    (outcome,) = attempt.outcomes
    assert not outcome.failed and outcome.slowness == pytest.approx(2.0)


def test_the_delay_of_a_stream_is_that_of_its_first_event() -> None:
    attempt = MonitoredAttempt(is_stream=True)
    attempt.monitor.head(200, 0.01, signed=True)
    attempt.monitor.first_bytes(0.4)
    attempt.monitor.ended(5.0)
    assert attempt.outcomes[0].slowness == pytest.approx(4.0)


@pytest.mark.parametrize(
    ("status", "signed", "failed"),
    [
        (200, True, False),
        (404, True, False),
        (500, True, True),
        (502, False, True),
        (200, False, True),
    ],
)
def test_a_failure_is_a_server_error_or_an_unsigned_success(
    status: int, signed: bool, failed: bool
) -> None:
    attempt = MonitoredAttempt()
    attempt.monitor.head(status, 0.1, signed=signed)
    attempt.monitor.ended(0.2)
    assert attempt.outcomes[0].failed == failed and not attempt.outcomes[0].broken


def test_an_answer_that_breaks_off_is_a_failure() -> None:
    attempt = MonitoredAttempt()
    attempt.monitor.head(200, 0.1, signed=True)
    attempt.monitor.raised(BackendBrokenError("reset", step="relay", peer="n-0"))
    attempt.monitor.ended(0.2)
    assert attempt.outcomes[0].failed and attempt.outcomes[0].broken


def test_a_refusal_does_not_count() -> None:
    attempt = MonitoredAttempt()
    attempt.monitor.raised(refused())
    attempt.monitor.ended(0.2)
    assert not attempt.outcomes


@pytest.mark.parametrize(
    "error",
    [
        asyncio.CancelledError(),
        TimeoutError(),
        AttemptAbandonedError("silent", step="await answer", peer="n-0"),
    ],
)
def test_an_attempt_abandoned_early_does_not_count(error: BaseException) -> None:
    attempt = MonitoredAttempt()
    attempt.monitor.raised(error)
    attempt.monitor.ended(0.05)
    assert not attempt.outcomes


def test_the_time_of_an_attempt_aborted_as_fatal_does_not_count() -> None:
    attempt = MonitoredAttempt()
    attempt.monitor.raised(asyncio.CancelledError())
    attempt.monitor.stopped()
    attempt.monitor.ended(0.8)
    assert not attempt.outcomes


def test_a_failure_counts_even_if_the_attempt_was_aborted_later() -> None:
    attempt = MonitoredAttempt()
    attempt.monitor.head(500, 0.1, signed=True)
    attempt.monitor.raised(asyncio.CancelledError())
    attempt.monitor.stopped()
    attempt.monitor.ended(0.8)
    assert attempt.outcomes[0].failed


def test_an_attempt_abandoned_late_counts_with_the_time_waited() -> None:
    attempt = MonitoredAttempt()
    attempt.monitor.raised(asyncio.CancelledError())
    attempt.monitor.ended(0.8)
    (outcome,) = attempt.outcomes
    assert not outcome.failed and outcome.slowness == pytest.approx(8.0)


class FakeReporter:
    """Stores the reports that are sent."""

    def __init__(self) -> None:
        self.sent_reports: list[tuple[list[RolloutReport], bool]] = []

    def send_rollout_reports(self, reports: list[RolloutReport], *, urgent: bool = False) -> None:
        self.sent_reports.append((reports, urgent))

    def latest(self) -> RolloutReport:
        return self.sent_reports[-1][0][0]


class Observed:
    """One node with pipeline and observer, and its runners ``n-0`` and ``o-0``."""

    def __init__(self, *, ordered: bool = True) -> None:
        entries = [make_entry("n-0", software=NEW), make_entry("o-0", software=OLD)]
        self.bench = Bench(make_state(make_table(make_route(attempts=2)), *entries))
        self.state: FleetState = self.bench.state
        self.reporter = FakeReporter()
        self.metrics = FleetMetrics()
        self.observer = RolloutObserver(
            self.state,
            self.reporter,
            ThresholdJudge,
            self.bench.placement.median_answer_seconds,
            self.metrics,
            self.bench.scheduler.clock,
            Random(1),
        )
        self.bench.pipeline._observer = self.observer
        if ordered:
            order = RolloutOrder(APPLICATION, NEW, OVER_SECONDS, rev(REVISION))
            self.state.apply(RolloutOrdered(order), 0.0)

    def record(self, stage: RolloutStage) -> None:
        record = RolloutRecord(APPLICATION, NEW, rev(REVISION), stage, revision=rev(30))
        self.state.apply(RolloutRecorded(record), 0.0)

    def judge(self) -> ThresholdJudge:
        (order,) = self.state.rollouts.orders()
        judge = self.observer._rollout_of_order(order, 0.0).judge
        assert isinstance(judge, ThresholdJudge)
        return judge

    def totals(self) -> dict[OutcomeKey, OutcomeTotals]:
        self.observer.tick(self.bench.scheduler.now)
        evidence = self.observer.evidence(APPLICATION)
        assert evidence is not None
        return evidence.totals()


def test_a_node_that_starts_late_learns_the_age_of_the_order_from_a_peer() -> None:
    """The record alone gives the age of the order only as of when the record was written.

    If each newly started lease holder writes that age again, the age does not advance: with holders
    replaced every 4.6 s, a rollout of 12 s was decided after 19.0 s.
    """
    saw, starts = Observed(), Observed(ordered=False)
    order = RolloutOrder(APPLICATION, NEW, OVER_SECONDS, rev(REVISION))
    saw.observer.tick(0.0)
    for node in (saw, starts):
        node.bench.scheduler.run_until(30.0)
    saw.observer.tick(30.0)
    stage = RolloutStage.CANARY
    record = RolloutRecord(
        APPLICATION,
        NEW,
        rev(REVISION),
        stage,
        revision=rev(30),
        elapsed_seconds=5.0,
    )
    starts.state.apply(RolloutOrdered(order), 30.0)
    starts.state.apply(RolloutRecorded(record), 30.0)
    starts.observer.add_report("node-2", 7, saw.reporter.latest(), 30.0)
    starts.observer.tick(30.0)
    assert starts.reporter.latest().order_age_ms == saw.reporter.latest().order_age_ms >= 30_000


def test_an_order_age_exchanged_repeatedly_does_not_grow() -> None:
    first, second = Observed(), Observed()
    for node in (first, second):
        node.observer.tick(0.0)
    for number in range(200):
        now = 10.0 + number * 0.0137
        for node in (first, second):
            node.bench.scheduler.run_until(now)
            node.observer.tick(now)
        first.observer.add_report("second", 1, second.reporter.latest(), now)
        second.observer.add_report("first", 1, first.reporter.latest(), now)
    age = now + FIRST_SEEN_AGE_SECONDS
    assert age - 0.001 <= first.reporter.latest().order_age_ms / 1000 <= age


def test_without_an_order_nothing_is_counted_or_reported() -> None:
    observed = Observed(ordered=False)
    observed.bench.client.behaviours = dict.fromkeys(("n-0", "o-0"), answers(b"x"))
    observed.bench.serve(make_request())
    observed.observer.tick(observed.bench.scheduler.now)
    assert observed.observer.evidence(APPLICATION) is None
    assert not observed.reporter.sent_reports and not observed.observer._rollouts


@pytest.mark.parametrize(
    ("behaviour", "expected"),
    [
        (answers(b"x"), (1, 0)),
        (answers(b"x", status=500), (1, 1)),
        (answers(b"x", signed=False), (1, 1)),
        (breaks_off(), (1, 1)),
        (answers_after(0.9, b"x"), (1, 0)),
        (hangs(), (1, 0)),
        (refuses(RefusalCause.FULL), (0, 0)),
    ],
)
def test_the_pipeline_reports_outcomes_of_attempts(behaviour, expected) -> None:  # type: ignore[no-untyped-def]
    observed = Observed()
    observed.bench.client.behaviours = {"o-0": behaviour}
    observed.bench.serve(make_request(), 10.0)
    total = observed.totals().get(OutcomeKey(OLD, ROUTE, False), OutcomeTotals(0, 0, ()))
    assert (total.answered, total.failed) == expected


def test_a_node_reports_its_counts_while_an_order_is_undecided() -> None:
    observed = Observed()
    observed.bench.client.behaviours = {"o-0": answers(b"x")}
    observed.bench.serve(make_request())
    observed.observer.tick(observed.bench.scheduler.now)
    sent_reports = observed.reporter.latest()
    assert (sent_reports.service, sent_reports.order_revision, sent_reports.stage) == (
        APPLICATION,
        REVISION,
        "canary",
    )
    assert [(row.version, row.answered) for row in sent_reports.outcomes] == [(OLD, 1)]


@pytest.mark.parametrize("stage", [RolloutStage.COMPLETE, RolloutStage.REVERTED])
def test_a_decided_rollout_is_no_longer_reported(stage: RolloutStage) -> None:
    observed = Observed()
    observed.record(stage)
    observed.observer.tick(1.0)
    assert not observed.reporter.sent_reports


def test_a_bad_verdict_is_reported_until_the_store_has_it() -> None:
    observed = Observed()
    observed.observer.add_report("peer", 1, report(bad=True), 1.0)
    assert observed.state.rollouts.stage(APPLICATION) is RolloutStage.REVERTED
    assert observed.reporter.sent_reports[-1][1] and observed.reporter.latest().bad
    observed.observer.tick(2.0)
    assert observed.reporter.latest().bad and observed.reporter.latest().stage == "reverted"


def test_a_bad_report_on_an_unknown_order_counts_once_the_order_is_known() -> None:
    observed = Observed(ordered=False)
    observed.observer.add_report("peer", 1, report(bad=True), 1.0)
    order = RolloutOrder(APPLICATION, NEW, OVER_SECONDS, rev(REVISION))
    observed.state.apply(RolloutOrdered(order), 1.1)
    observed.observer.tick(1.2)
    assert observed.state.rollouts.stage(APPLICATION) is RolloutStage.REVERTED


def test_a_bad_report_on_an_earlier_order_does_not_count() -> None:
    observed = Observed()
    earlier = RolloutReport(APPLICATION, REVISION - 1, "canary", 0, [], True)
    observed.observer.add_report("peer", 1, earlier, 1.0)
    observed.observer.tick(1.2)
    assert observed.state.rollouts.stage(APPLICATION) is RolloutStage.CANARY


def test_a_bad_report_after_the_completion_changes_nothing() -> None:
    observed = Observed()
    observed.record(RolloutStage.COMPLETE)
    observed.observer.add_report("peer", 1, report(bad=True), 1.0)
    assert observed.state.rollouts.stage(APPLICATION) is RolloutStage.COMPLETE


def test_the_closing_is_logged_with_the_evidence(caplog: pytest.LogCaptureFixture) -> None:
    observed = Observed()
    with caplog.at_level(logging.WARNING):
        observed.observer.add_report("peer", 1, report(counts(40, 20)), 1.0)
    (line,) = [line for line in caplog.records if line.message == "version closed"]
    assert line.__dict__["evidence"] == {f"{NEW} {ROUTE}": "20/40 [0,0,0,0,20,0,0,0,0,0]"}


# Requests that crash runners.


def crash_runners(observed: Observed, *runner_ids: str) -> None:
    """Let one request crash runners one after the other, each with another attempt running."""
    order = observed.state.rollouts.orders()[0]
    for number, runner_id in enumerate(runner_ids):
        at = 1.0 + 0.2 * number
        runs = {7: RunAtCrash(0.1, None)}
        observed.state.runner_crashes.record_crash(runner_id, at, runs, at, 1)
        runner = observed.state.pool.get(runner_id)
        assert runner is not None
        observed.observer._record_outcome(order, broken(runner_id, runner.entry.software), at)
    assert 7 in observed.state.runner_crashes.fatal()


def test_attempts_broken_beside_a_request_that_crashes_both_versions_do_not_count() -> None:
    observed = Observed()
    crash_runners(observed, "n-0", "o-0")
    observed.observer.tick(2.0)
    assert not observed.totals()


def test_failures_count_if_a_request_crashes_runners_of_one_version_only() -> None:
    observed = Observed()
    entry = make_entry("n-1", software=NEW)
    observed.state.apply(RunnerListed(entry), 0.0)
    crash_runners(observed, "n-0", "n-1")
    observed.observer.tick(2.0)
    assert observed.totals()[KEY].failed == 2


# The node's opinion of the target version, for the node that decides the rollout.


def test_without_an_order_there_is_no_opinion() -> None:
    observed = Observed(ordered=False)
    assert observed.observer.opinion(APPLICATION) == NO_OPINION


def test_the_opinion_is_that_of_the_judge_that_closes_the_version() -> None:
    observed = Observed()
    assert observed.observer.opinion(APPLICATION) == RolloutOpinion(Verdict.UNDECIDED, "1 looks")
    observed.bench.scheduler.run_until(1.0)
    observed.observer.add_report("peer", 1, report(counts(40, 20)), 1.0)
    assert observed.state.rollouts.stage(APPLICATION) is RolloutStage.REVERTED
    assert observed.observer.opinion(APPLICATION) == RolloutOpinion(Verdict.BAD, "2 looks")


def test_an_opinion_names_the_peer_that_found_the_version_bad() -> None:
    observed = Observed()
    observed.observer.add_report("peer", 1, report(bad=True), 1.0)
    opinion = observed.observer.opinion(APPLICATION)
    assert opinion.verdict is Verdict.BAD
    assert opinion.reason == "found bad by another node; here: 0 looks"


def test_the_judge_evaluates_only_when_due() -> None:
    observed = Observed()
    for _ in range(10):
        observed.observer.opinion(APPLICATION)
        observed.observer.add_report("peer", 1, report(counts(1)), 0.0)
    assert observed.judge().looks == 1


def test_a_node_that_starts_late_judges_by_the_age_in_the_record() -> None:
    observed = Observed()
    observed.observer.opinion(APPLICATION)
    observed.bench.scheduler.run_until(1.0)
    record = RolloutRecord(
        APPLICATION,
        NEW,
        rev(REVISION),
        RolloutStage.CANARY,
        revision=rev(30),
        elapsed_seconds=7.0,
    )
    observed.state.apply(RolloutRecorded(record), 1.0)
    observed.observer.opinion(APPLICATION)
    assert observed.judge().ordered_at == pytest.approx(-6.0)


def test_the_end_of_the_last_attempt_at_an_old_runner_is_reported_immediately() -> None:
    observed = Observed()
    observed.bench.client.behaviours = {"o-0": answers_after(1.0, b"x")}
    scheduler = observed.bench.scheduler
    scheduler.at(0.3, lambda: observed.record(RolloutStage.SHIFTING))
    scheduler.at(0.4, lambda: observed.observer.tick(0.4))
    observed.bench.run(observed.bench.pipeline.serve(make_request(), FakeSink()), 0.9)
    assert observed.reporter.latest().old_running == 1
    scheduler.run_until(2.0)
    assert observed.reporter.latest().old_running == 0
    assert observed.reporter.sent_reports[-1][1]


def test_an_attempt_at_an_old_runner_while_shifting_is_reported_immediately() -> None:
    observed = Observed()
    observed.record(RolloutStage.SHIFTING)
    observed.observer.tick(0.0)
    assert observed.reporter.latest().old_running == 0
    runner = observed.state.pool.get("n-0")
    assert runner is not None
    runner.suspected_until = 5.0
    observed.bench.client.behaviours = {"o-0": answers_after(1.0, b"x")}
    observed.bench.run(observed.bench.pipeline.serve(make_request(), FakeSink()), 0.5)
    assert observed.reporter.latest().old_running == 1
    assert observed.reporter.sent_reports[-1][1]
    sent_reports = len(observed.reporter.sent_reports)
    observed.bench.run(observed.bench.pipeline.serve(make_request(), FakeSink()), 0.9)
    assert len(observed.reporter.sent_reports) == sent_reports


def test_outcomes_that_do_not_fit_a_report_follow_in_turn() -> None:
    observed = Observed()
    attempt = observed.observer._rollout_of_order(observed.state.rollouts.orders()[0], 0.0)
    for number in range(MAX_REPORT_ROWS + 5):
        attempt.outcomes.add(AttemptOutcome(OutcomeKey(NEW, f"r-{number}", False), "n-0"), 0.0)
    sent_reports = set()
    for _ in range(2):
        observed.observer.tick(1.0)
        assert len(observed.reporter.latest().outcomes) == MAX_REPORT_ROWS
        sent_reports |= {row.route for row in observed.reporter.latest().outcomes}
    assert len(sent_reports) == MAX_REPORT_ROWS + 5


def test_reports_of_many_unknown_rollouts_are_bounded() -> None:
    observed = Observed()
    for number in range(MAX_ROLLOUTS + 10):
        strange = RolloutReport(f"service-{number}", 1, "canary", 0)
        observed.observer.add_report("peer", 1, strange, 1.0)
    assert len(observed.observer._rollouts) <= MAX_ROLLOUTS
    observed.observer.tick(1.0 + REPORTER_SECONDS)
    assert len(observed.observer._rollouts) == 1


def test_outcomes_are_counted_by_service_and_version() -> None:
    observed = Observed()
    observed.bench.client.behaviours = {"o-0": answers(b"x", status=500)}
    observed.bench.serve(make_request())
    observed.observer.tick(observed.bench.scheduler.now)
    text = observed.metrics.text().decode()
    labels = f'{{service="{APPLICATION}",version="{OLD}"}}'
    assert f"hillstack_version_failures_total{labels} 1.0" in text
    assert f'hillstack_rollout_stage{{service="{APPLICATION}",stage="canary"}} 1.0' in text
    assert f'hillstack_exposure_left{{service="{APPLICATION}",version="{NEW}"}}' in text


# Many nodes.


def make_traffic(network: NodeNetwork) -> RolloutTraffic:
    traffic = RolloutTraffic(network)
    network.run(4.0)
    return traffic


@pytest.fixture
def network() -> Iterator[NodeNetwork]:
    made = NodeNetwork(NODES, 3, table=rollout_table())
    yield made
    made.close()


def failing(path: str, since: float) -> tuple[bool, float]:
    return True, 1.0


def test_a_good_version_uses_its_exposure_and_stays_within(network: NodeNetwork) -> None:
    traffic = make_traffic(network)
    traffic.order()
    traffic.play(14.0)
    traffic.assert_bounded()
    assert len(traffic.sent) > 0.6 * SHARE * traffic.requests
    stages = {node.state.rollouts.stage(APPLICATION) for node in network.nodes.values()}
    assert stages == {RolloutStage.CANARY}
    assert set(traffic.statuses) == {200}


def test_all_nodes_come_to_the_same_counts(network: NodeNetwork) -> None:
    traffic = make_traffic(network)
    traffic.order()
    traffic.play(4.0)
    network.run(2.0)
    seen = [traffic.observers[name].evidence(APPLICATION) for name in network.nodes]
    answered = {
        sum(total.answered for key, total in one.totals().items() if key.version == NEW)
        for one in seen
        if one is not None
    }
    assert answered == {len(traffic.sent)}


def test_a_bad_version_is_soon_closed_on_all_nodes(network: NodeNetwork) -> None:
    traffic = make_traffic(network)
    traffic.behaviour = failing
    traffic.order()
    traffic.play(12.0)
    traffic.assert_bounded()
    traffic.assert_closed_in_time()
    assert max(send.at for send in traffic.sent) < traffic.ordered_at + 4.0


def test_a_slow_version_is_closed(network: NodeNetwork) -> None:
    traffic = make_traffic(network)
    traffic.behaviour = lambda path, since: (False, 6.0)
    traffic.order()
    traffic.play(12.0)
    traffic.assert_bounded()
    traffic.assert_closed_in_time()


def test_a_version_that_turns_bad_later_is_closed(network: NodeNetwork) -> None:
    traffic = make_traffic(network)
    traffic.behaviour = lambda path, since: (since > 5.0, 1.0)
    traffic.order()
    traffic.play(14.0)
    traffic.assert_bounded()
    traffic.assert_closed_in_time()


def test_a_version_that_is_bad_on_the_rare_route_alone_is_closed(network: NodeNetwork) -> None:
    traffic = make_traffic(network)
    traffic.behaviour = lambda path, since: (path.startswith(RARE), 1.0)
    traffic.order()
    traffic.play(14.0)
    traffic.assert_bounded()
    traffic.assert_closed_in_time()
    assert len(traffic.bad_at) < 50


def test_a_version_that_is_bad_only_when_as_busy_as_the_old_one_is_closed(
    network: NodeNetwork,
) -> None:
    traffic = make_traffic(network)
    traffic.behaviour = failing
    # With 240 requests per second of 0.05 s each, 2.7 run at each of the four old runners.
    traffic.min_running = 3
    traffic.order()
    traffic.play(12.0, rate=240.0)
    traffic.assert_bounded()
    stages = {node.state.rollouts.stage(APPLICATION) for node in network.nodes.values()}
    assert stages == {RolloutStage.REVERTED}


def test_a_bad_version_is_closed_by_peer_reports_while_the_store_is_down(
    network: NodeNetwork,
) -> None:
    traffic = make_traffic(network)
    traffic.behaviour = lambda path, since: (since > 2.0, 1.0)
    traffic.order()
    traffic.play(1.5)
    network.store.down_for = None
    traffic.play(12.0)
    traffic.assert_bounded()
    traffic.assert_closed_in_time()
    stages = {node.state.rollouts.stage(APPLICATION) for node in network.nodes.values()}
    assert stages == {RolloutStage.REVERTED}


def test_a_bad_version_is_closed_in_time_when_datagrams_are_lost() -> None:
    network = NodeNetwork(NODES, 3, table=rollout_table(), loss=0.2)
    traffic = make_traffic(network)
    traffic.behaviour = failing
    traffic.order()
    traffic.play(12.0)
    traffic.assert_bounded()
    traffic.assert_closed_in_time()
    network.close()


def test_partitioned_nodes_stay_within_their_share(network: NodeNetwork) -> None:
    traffic = make_traffic(network)
    traffic.behaviour = failing
    traffic.order()
    traffic.play(0.8)
    cut = list(network.nodes.values())[:5]
    for node in cut:
        node.cut = True
    network.store.down_for = {node.node_id for node in cut}
    traffic.play(14.0)
    traffic.assert_bounded()
    traffic.assert_closed_in_time()


def test_nodes_that_rejoin_after_a_partition_close_the_version(network: NodeNetwork) -> None:
    traffic = make_traffic(network)
    traffic.behaviour = failing
    traffic.order()
    traffic.play(0.8)
    cut = list(network.nodes.values())[:2]
    for node in cut:
        node.cut = True
    traffic.play(6.0)
    for node in cut:
        node.cut = False
    traffic.play(2.0)
    before = len(traffic.sent)
    traffic.play(6.0)
    assert len(traffic.sent) == before


def test_a_paused_node_closes_the_version_when_it_resumes() -> None:
    network = NodeNetwork(NODES, 3, table=rollout_table(), own_loops=True)
    traffic = make_traffic(network)
    traffic.behaviour = failing
    traffic.order()
    traffic.play(0.8)
    paused = next(iter(network.nodes.values()))
    paused.loop.frozen = True
    traffic.play(9.0)
    paused.loop.frozen = False
    woke_at = network.scheduler.now
    traffic.play(6.0)
    traffic.assert_bounded()
    late = [s for s in traffic.sent if s.node_id == paused.node_id and s.at > woke_at + 1.0]
    assert not late
    network.close()


def test_restarted_nodes_add_no_slack_and_lose_no_evidence(network: NodeNetwork) -> None:
    traffic = make_traffic(network)
    traffic.order()
    for _ in range(4):
        traffic.play(3.0)
        for node_id in list(network.nodes)[:8]:
            traffic.restart(node_id)
    traffic.play(3.0)
    traffic.assert_bounded()
    counted = []
    for node_id in list(network.nodes)[8:]:
        evidence = traffic.observers[node_id].evidence(APPLICATION)
        assert evidence is not None
        totals = evidence.totals()
        counted.append(sum(t.answered for key, t in totals.items() if key.version == NEW))
    # A restart loses running attempts and the counts since the last report of the process.
    assert min(counted) >= 0.8 * len(traffic.sent)


def test_simultaneous_restarts_send_nothing_to_the_untrusted_version(network: NodeNetwork) -> None:
    traffic = make_traffic(network)
    traffic.order()
    traffic.play(3.0)
    for node_id in list(network.nodes):
        traffic.restart(node_id)
    before = len(traffic.sent)
    traffic.play(6.0)
    assert len(traffic.sent) == before
    traffic.assert_bounded()


def test_new_runners_listed_before_their_order_get_no_requests(
    network: NodeNetwork,
) -> None:
    traffic = make_traffic(network)
    traffic.list_runners(NEW, 4)
    traffic.play(2.0)
    assert not traffic.sent
    traffic.order()
    traffic.play(12.0)
    traffic.assert_bounded()
    assert traffic.sent


def test_while_shifting_all_nodes_report_no_attempts_at_old_runners(
    network: NodeNetwork,
) -> None:
    traffic = make_traffic(network)
    revision = traffic.order()
    traffic.play(3.0)
    traffic.record("shifting", revision)
    traffic.play(3.0)
    evidence = traffic.observers["node-0"].evidence(APPLICATION)
    assert evidence is not None
    reporters = evidence.reporters(network.scheduler.now)
    assert set(reporters) == set(network.nodes)
    assert {(state.stage, state.old_running) for state in reporters.values()} == {("shifting", 0)}
