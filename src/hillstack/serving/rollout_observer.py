"""Observes the versions of a rollout at this node, reports to the peers and closes a bad version.

Outcomes are counted and reported only while a rollout order is in effect. Every node sums up the
reports of all nodes and evaluates them, so that a bad version is closed everywhere within one or
two seconds, even while the store is unavailable or the node that decides the rollout has failed.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Protocol

from hillstack.core.local_outcomes import DISCONNECT_WINDOW_SECONDS, AttemptOutcome, LocalOutcomes
from hillstack.core.order_age import OrderAge
from hillstack.core.rollout_evidence import OutcomeKey, OutcomeTotals, RolloutEvidence
from hillstack.core.rollout_judge import NO_OPINION, RolloutOpinion, Verdict, opinion_of
from hillstack.core.rollout_plan import is_decided
from hillstack.core.routing_table import RouteKind
from hillstack.core.runner_pool import Runner
from hillstack.core.software_rollouts import RolloutOrder, RolloutStage, is_of_order
from hillstack.core.store_revision import StoreRevision
from hillstack.messages.rollout_reports import OutcomeCounts, RolloutReport
from hillstack.serving.attempt_monitor import UNMONITORED, AttemptMonitor
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job, PlacedAttempt
from hillstack.serving.metrics import FleetMetrics

logger = logging.getLogger(__name__)

# The pause between two reports is at most a sixth of the 5 s in which a bad version must be closed
# everywhere: a lost report, two relays and the evaluation still fit. Each pause is random, so that
# nodes do not all report at the same time.
MIN_REPORT_INTERVAL_SECONDS = 0.4
MAX_REPORT_INTERVAL_SECONDS = 0.8
# Rows of outcomes in one report, about 40 bytes each: together with the rest of a notice they fit a
# datagram. Remaining rows follow in turn in the next reports.
MAX_REPORT_ROWS = 20
# Rollouts whose outcomes are stored, including those whose order this node has not seen yet.
MAX_ROLLOUTS = 64
# Lower bound of the expected time: a fully cached prompt is answered within about one step of its
# engine, whatever was expected.
MIN_EXPECTED_SECONDS = 0.02
# Expected time of an application that has not answered often enough. Both versions get the same, so
# that they can be compared.
DEFAULT_EXPECTED_SECONDS = 0.1
# A runner is busy if at least this share of its slots is in use.
BUSY_SHARE = 0.5
# Incarnation of this process in its own evidence; incarnations of peers are never negative.
LOCAL_INCARNATION = -1
EVALUATED_STAGES = (RolloutStage.CANARY, RolloutStage.SHIFTING)

# A service, and the revision that identifies the order.
Rollout = tuple[str, StoreRevision]


class RolloutJudge(Protocol):
    """Decides from the evidence whether the target version of a rollout is good or bad.

    Implemented by ``hillstack.core.rollout_judge.RolloutJudge``.
    """

    def is_due(self, now: float) -> bool:
        """Return whether an evaluation may change the verdict now; if not, it can be skipped."""
        ...

    def note_ordered_at(self, ordered_at: float) -> None:
        """Set the time of the order if it is earlier than the known time."""
        ...

    def opinion(self) -> RolloutOpinion:
        """Return the latest verdict and its reason."""
        ...

    def evaluate(self, totals: Mapping[OutcomeKey, OutcomeTotals], now: float) -> Verdict:
        """Evaluate the evidence and return the verdict."""
        ...


class RolloutReporter(Protocol):
    """Sends rollout reports to the peers."""

    def send_rollout_reports(self, reports: list[RolloutReport], *, urgent: bool = False) -> None:
        """Report this node's outcomes in current rollouts, immediately if urgent."""
        ...


@dataclass(slots=True)
class _ObservedRollout:
    """State of one rollout.

    Attributes:
        median_seconds: Median time to an answer before the rollout; None if unknown.
        next_row: First row of the next report, if one report has no room for all rows.
        reported_old_running: Attempts at runners of old versions in the latest report; None before
            the first report.
    """

    evidence: RolloutEvidence = field(default_factory=RolloutEvidence)
    outcomes: LocalOutcomes = field(default_factory=LocalOutcomes)
    judge: RolloutJudge | None = None
    age: OrderAge | None = None
    median_seconds: float | None = None
    is_bad: bool = False
    next_row: int = 0
    reported_old_running: int | None = None


class RolloutObserver:
    """Observes the rollouts of one node.

    Args:
        state: State of the node.
        peers: Sends reports to the peers.
        make_judge: Creates the judge for an order and the time at which it was given.
        median_answer_seconds: Returns the median time to an answer of a service's application, if
            known.
        metrics: Counts outcomes.
        clock: Monotonic seconds.
        rng: Source of randomness.
    """

    def __init__(
        self,
        state: FleetState,
        peers: RolloutReporter,
        make_judge: Callable[[RolloutOrder, float], RolloutJudge],
        median_answer_seconds: Callable[[str], float | None],
        metrics: FleetMetrics,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._state = state
        self._peers = peers
        self._make_judge = make_judge
        self._usual_seconds = median_answer_seconds
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._rollouts: dict[Rollout, _ObservedRollout] = {}
        self._shown_stages: dict[str, RolloutStage] = {}

    def evidence(self, service: str) -> RolloutEvidence | None:
        """Return the evidence on the current rollout of a service; None without an order."""
        order = self._state.rollouts.order(service)
        return self._rollout_of_order(order, self._clock()).evidence if order is not None else None

    def opinion(self, service: str) -> RolloutOpinion:
        """Return this node's opinion of the target version of a service's current order.

        The opinion is bad if this node's judge or any report says so, or if the rollout is
        reverted, by this node itself or by its record in the store.
        """
        order = self._state.rollouts.order(service)
        if order is None:
            return NO_OPINION
        now = self._clock()
        self._evaluate(order, now)
        observed = self._rollout_of_order(order, now)
        assert observed.judge is not None
        return opinion_of(
            observed.judge.opinion(),
            is_reported_bad=observed.evidence.is_reported_bad(),
            is_reverted=self._state.rollouts.stage(service) is RolloutStage.REVERTED,
        )

    def watch(self, job: Job, placed: PlacedAttempt, now: float) -> AttemptMonitor:
        """Return a monitor for an attempt that is about to be sent."""
        order = self._state.rollouts.order(job.service)
        if order is None or not self._is_undecided(order):
            return UNMONITORED
        observed = self._rollout_of_order(order, now)
        runner = placed.runner
        if observed.reported_old_running == 0 and self._is_being_replaced(order, runner):
            # This node has reported no attempts at old runners, and now sends one after all. The
            # node that decides the rollout must know before it completes the rollout.
            asyncio.get_running_loop().call_soon(self._send_reports_now)
        busy = runner.running(now) >= BUSY_SHARE * runner.entry.slots
        return AttemptMonitor(
            OutcomeKey(runner.entry.software, job.route.name, busy),
            runner.runner_id,
            now,
            self._expected(observed, job, placed),
            partial(self._record_outcome, order),
            is_stream=job.route.kind is RouteKind.STREAM,
        )

    def _is_being_replaced(self, order: RolloutOrder, runner: Runner) -> bool:
        """Return whether the rollout is moving traffic away from a runner."""
        if runner.entry.software == order.target:
            return False
        return self._state.rollouts.stage(order.service) is RolloutStage.SHIFTING

    def _send_reports_now(self) -> None:
        self._peers.send_rollout_reports(self._make_reports(self._clock()), urgent=True)

    def ended(self, job: Job, now: float) -> None:
        """Record that the attempt of a request has ended and no longer loads its runner."""
        runner = self._state.pool.get(job.watch.runner_id)
        is_cut_off = runner is not None and job.sent_at < runner.path_lost_at
        if job.is_fatal or is_cut_off:
            job.watch.stopped()
        job.watch.ended(now)
        job.watch = UNMONITORED
        rollouts = self._state.rollouts
        if rollouts.stage(job.service) is not RolloutStage.SHIFTING:
            return
        order = rollouts.order(job.service)
        assert order is not None
        if self._rollout_of_order(order, now).reported_old_running and not self._count_old_running(
            order
        ):
            # The node that decides the rollout waits for this before the old runners are stopped.
            self._send_reports_now()

    def add_report(self, node_id: str, incarnation: int, report: RolloutReport, now: float) -> None:
        """Add a report of a peer to the evidence; its order may not be known here yet."""
        order = self._state.rollouts.order(report.service)
        reported_identity = report.order(order.revision if order is not None else None)
        is_current = order is not None and reported_identity == order.revision
        identity = order.identity if order is not None and is_current else reported_identity
        observed = self._rollout_of_report((report.service, identity))
        if observed is None:
            return
        observed.evidence.merge_report(node_id, incarnation, report, now)
        if order is not None and is_current:
            self._evaluate(order, now)

    async def run(self) -> None:
        """Report and evaluate periodically until cancelled."""
        while True:
            self.tick(self._clock())
            pause = self._rng.uniform(MIN_REPORT_INTERVAL_SECONDS, MAX_REPORT_INTERVAL_SECONDS)
            await asyncio.sleep(pause)

    def tick(self, now: float) -> None:
        """Evaluate the reports of all nodes, and report this node's counts to the peers."""
        orders = self._state.rollouts.orders()
        if not orders and not self._rollouts:
            return
        self._drop_finished(now)
        for order in orders:
            self._settle_outcomes(order, now)
            self._evaluate(order, now)
            self._update_metrics(order, now)
        reports = self._make_reports(now)
        if reports:
            self._peers.send_rollout_reports(reports)

    def _expected(self, observed: _ObservedRollout, job: Job, placed: PlacedAttempt) -> float:
        if placed.salt is not None:
            return max(MIN_EXPECTED_SECONDS, placed.delay)
        if observed.median_seconds is None:
            # Stored for the whole rollout: later answers may be slow ones of the new version.
            observed.median_seconds = self._usual_seconds(job.service)
        expected = (
            observed.median_seconds
            if observed.median_seconds is not None
            else DEFAULT_EXPECTED_SECONDS
        )
        return max(MIN_EXPECTED_SECONDS, expected)

    def _record_outcome(self, order: RolloutOrder, outcome: AttemptOutcome, now: float) -> None:
        self._rollout_of_order(order, now).outcomes.add(outcome, now)
        if not outcome.broken:
            self._count_outcome(order, outcome)
        if outcome.failed and outcome.key.version == order.target:
            self._evaluate(order, now)

    def _count_outcome(self, order: RolloutOrder, outcome: AttemptOutcome) -> None:
        version = outcome.key.version
        self._metrics.count_outcome(order.service, version, failed=outcome.failed)

    def _settle_outcomes(self, order: RolloutOrder, now: float) -> None:
        observed = self._rollout_of_order(order, now)
        excused = self._crashed_by_requests() | self._cut_off_lately(now)
        for outcome in observed.outcomes.settle(now, excused):
            self._count_outcome(order, outcome)
        if self._is_undecided(order):
            self._add_local_evidence(order, observed, now)

    def _cut_off_lately(self, now: float) -> set[str]:
        """Return the runners to which this node's path was lost while broken attempts waited."""
        since = now - 2 * DISCONNECT_WINDOW_SECONDS
        return {r.runner_id for r in self._state.pool.all() if r.path_lost_at >= since}

    def _crashed_by_requests(self) -> set[str]:
        """Return the runners crashed by requests that crash runners of several versions.

        If a request crashes runners of one version only, that version may be bad.
        """
        record = self._state.runner_crashes
        if not record:
            return set()
        found: set[str] = set()
        for request in record.fatal().values():
            runners = map(self._state.pool.get, request.runner_ids)
            versions = {runner.entry.software for runner in runners if runner is not None}
            if len(versions) > 1:
                found.update(request.runner_ids)
        return found

    def _evaluate(self, order: RolloutOrder, now: float) -> None:
        """Close the target version if the evidence or a report shows that it is bad.

        This node's own report says so only after it has closed the version, which ends the
        evaluation; so a report found here was sent by a peer.
        """
        if self._state.rollouts.stage(order.service) not in EVALUATED_STAGES:
            return
        observed = self._rollout_of_order(order, now)
        if observed.evidence.is_reported_bad():
            self._close_version(order, observed, "a peer says so", now)
            return
        assert observed.judge is not None and observed.age is not None
        if not observed.judge.is_due(now):
            return
        self._add_local_evidence(order, observed, now)
        observed.judge.note_ordered_at(self._ordered_at(order, observed, now))
        if observed.judge.evaluate(observed.evidence.totals(), now) is Verdict.BAD:
            self._close_version(order, observed, "evidence", now)

    def _add_local_evidence(
        self, order: RolloutOrder, observed: _ObservedRollout, now: float
    ) -> None:
        own = self._make_report(order, observed, observed.outcomes.rows())
        observed.evidence.merge_report(self._state.node_id, LOCAL_INCARNATION, own, now)

    def _close_version(
        self, order: RolloutOrder, observed: _ObservedRollout, cause: str, now: float
    ) -> None:
        observed.is_bad = True
        self._state.rollouts.condemn(order.service, order.identity)
        fields: dict[str, object] = {
            "service": order.service,
            "version": order.target,
            "order_revision": str(order.revision),
            "cause": cause,
            "evidence": _summary(observed.evidence.totals()),
        }
        logger.warning("version closed", extra=fields)
        self._send_reports_now()

    def _make_reports(self, now: float) -> list[RolloutReport]:
        reports = []
        for order in self._state.rollouts.orders():
            if not self._is_undecided(order):
                continue
            observed = self._rollout_of_order(order, now)
            report = self._make_report(order, observed, _next_rows(observed))
            observed.reported_old_running = report.old_running
            reports.append(report)
        return reports

    def _make_report(
        self, order: RolloutOrder, observed: _ObservedRollout, rows: list[OutcomeCounts]
    ) -> RolloutReport:
        stage = self._state.rollouts.stage(order.service)
        assert stage is not None
        old_running = self._count_old_running(order)
        is_bad = observed.is_bad
        now = self._clock()
        # Truncated, not rounded: relayed again and again, the age must never exceed the real one.
        age_ms = max(0, int((now - self._ordered_at(order, observed, now)) * 1000))
        number, era = order.revision.number, order.revision.era
        return RolloutReport(order.service, number, stage, old_running, rows, is_bad, age_ms, era)

    def _ordered_at(self, order: RolloutOrder, observed: _ObservedRollout, now: float) -> float:
        """Return when the order was given, according to this node, the record and the peers."""
        assert observed.age is not None
        record = self._state.rollouts.record(order.service)
        if record is not None and is_of_order(record, order):
            observed.age.note(record, now)
        observed.age.apply_peer_age(observed.evidence.ordered_at)
        return observed.age.ordered_at

    def _count_old_running(self, order: RolloutOrder) -> int:
        """Return the number of this node's attempts that run on other versions than the target."""
        return sum(
            len(runner.attempts)
            for runner in self._state.pool.of_service(order.service)
            if runner.entry.software != order.target
        )

    def _is_undecided(self, order: RolloutOrder) -> bool:
        """Return whether the store has no decision on the rollout of an order yet."""
        return not is_decided(order, self._state.rollouts.record(order.service))

    def _rollout_of_order(self, order: RolloutOrder, now: float) -> _ObservedRollout:
        key = (order.service, order.identity)
        observed = self._rollouts.get(key)
        if observed is None:
            observed = self._rollouts[key] = _ObservedRollout()
        if observed.judge is None:
            observed.age = OrderAge(now)
            observed.judge = self._make_judge(order, observed.age.ordered_at)
        return observed

    def _rollout_of_report(self, key: Rollout) -> _ObservedRollout | None:
        """Return the state of a reported rollout.

        None if its order is older than the current one, or if there are too many rollouts.
        """
        observed = self._rollouts.get(key)
        if observed is not None:
            return observed
        order = self._state.rollouts.order(key[0])
        is_old = order is not None and key[1] < order.revision
        if is_old or len(self._rollouts) >= MAX_ROLLOUTS:
            return None
        observed = self._rollouts[key] = _ObservedRollout()
        return observed

    def _drop_finished(self, now: float) -> None:
        """Drop rollouts of earlier orders, and those without an order that no peer reports."""
        for key, observed in list(self._rollouts.items()):
            order = self._state.rollouts.order(key[0])
            if order is None:
                is_over = not observed.evidence.reporters(now)
            else:
                is_over = key[1] != order.identity and key[1] <= order.revision
            if is_over:
                del self._rollouts[key]

    def _update_metrics(self, order: RolloutOrder, now: float) -> None:
        service = order.service
        left = self._state.exposure.left(service, now)
        self._metrics.set_exposure_left(service, order.target, left)
        stage = self._state.rollouts.stage(service)
        if stage is None or self._shown_stages.get(service) is stage:
            return
        self._shown_stages[service] = stage
        for other in RolloutStage:
            self._metrics.rollout_stage.labels(service, other).set(float(other is stage))


def _next_rows(observed: _ObservedRollout) -> list[OutcomeCounts]:
    """Return the rows for the next report, in turn if one report has no room for all."""
    rows = observed.outcomes.rows()
    if len(rows) <= MAX_REPORT_ROWS:
        return rows
    start = observed.next_row % len(rows)
    observed.next_row = start + MAX_REPORT_ROWS
    return (rows[start:] + rows[:start])[:MAX_REPORT_ROWS]


def _summary(totals: Mapping[OutcomeKey, OutcomeTotals]) -> dict[str, str]:
    """Return a summary for the log: failed of answered attempts and a delay histogram, by key."""
    summary = {}
    for key, total in totals.items():
        name = f"{key.version} {key.route}{' busy' if key.busy else ''}"
        delays = ",".join(str(count) for count in total.delays)
        summary[name] = f"{total.failed}/{total.answered} [{delays}]"
    return summary
