"""Sees how the versions of a rollout fare at this node, tells the peers, and acts on bad news.

Counts and reports stand only while an order does. Every node adds up what all have told and lets a
judge look, so that a bad version is closed everywhere within a second or two, also while the store
is away or the rollout's holder is gone.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Protocol

from hillstack.core.order_age import OrderAge
from hillstack.core.own_outcomes import AttemptOutcome, OwnOutcomes
from hillstack.core.rollout_evidence import OutcomeKey, OutcomeTotals, RolloutEvidence
from hillstack.core.rollout_judge import NO_OPINION, RolloutOpinion, Verdict, opinion_of
from hillstack.core.rollout_plan import is_decided
from hillstack.core.routing_table import RouteKind
from hillstack.core.runner_pool import Runner
from hillstack.core.software_rollouts import RolloutOrder, RolloutStage, is_of_order
from hillstack.core.store_revision import StoreRevision
from hillstack.messages.rollout_reports import OutcomeCounts, RolloutReport
from hillstack.serving.attempt_watch import NOT_WATCHED, AttemptWatch
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job, PlacedAttempt
from hillstack.serving.metrics import FleetMetrics

logger = logging.getLogger(__name__)

# A sixth of the time in which a bad version must be closed everywhere (5 s) at the most: a lost
# report, the way by two relays and the judge's look still fit. Drawn anew each time, so that nodes
# do not all tell at once.
LEAST_REPORT_SECONDS = 0.4
MOST_REPORT_SECONDS = 0.8
# Kinds of outcomes in one report, some 40 bytes each: with what else a notice has they fit a
# datagram. Further ones follow with the next reports, in turn.
MOST_ROWS = 20
# Rollouts of which something is kept, orders that are not seen yet included.
MOST_ROLLOUTS = 64
# Shorter expected times count as this: a prompt that is cached whole is answered within about one
# step of its engine, whatever was expected.
LEAST_EXPECTED_SECONDS = 0.02
# Expected of an application that has not answered often enough: the same for both versions, so that
# they can be compared.
UNKNOWN_EXPECTED_SECONDS = 0.1
# A runner with that part of its places taken is busy.
BUSY_SHARE = 0.5
# Incarnation under which this process stands in its own evidence; those of peers are not negative.
OWN_INCARNATION = -1
JUDGED = (RolloutStage.CANARY, RolloutStage.SHIFTING)

# A service, and what names the order.
Rollout = tuple[str, StoreRevision]


class RolloutJudge(Protocol):
    """Decides from the evidence whether a version is good or bad."""

    def is_due(self, now: float) -> bool:
        """Return whether a look would change anything now: totals needn't be added up before."""
        ...

    def note_ordered_at(self, ordered_at: float) -> None:
        """Take over that the order is perhaps older than was known."""
        ...

    def opinion(self) -> RolloutOpinion:
        """Return the verdict of the latest look with its reason."""
        ...

    def look(self, totals: Mapping[OutcomeKey, OutcomeTotals], now: float) -> Verdict:
        """Return what the evidence says now."""
        ...


class RolloutTeller(Protocol):
    """Tells the peers."""

    def tell_rollouts(self, reports: list[RolloutReport], *, urgent: bool = False) -> None:
        """Tell what this node saw of the rollouts that are under way, soon or at once."""
        ...


@dataclass(slots=True)
class _Watched:
    """What this node keeps of one rollout.

    Attributes:
        usual: Median time to an answer before the rollout; None if it is not known.
        next_row: From where the next report goes on, where one has no room for all outcomes.
        told_running: Attempts at old runners as last told; None before the first report.
    """

    evidence: RolloutEvidence = field(default_factory=RolloutEvidence)
    outcomes: OwnOutcomes = field(default_factory=OwnOutcomes)
    judge: RolloutJudge | None = None
    age: OrderAge | None = None
    usual: float | None = None
    is_bad: bool = False
    next_row: int = 0
    told_running: int | None = None


class RolloutObserver:
    """Observes the rollouts of one node.

    Args:
        state: What the node knows.
        peers: Where peers are told.
        make_judge: Makes the judge of an order that was given at a time.
        usual_seconds: Returns the median time to an answer of an application, if it is known.
        metrics: Where outcomes are counted.
        clock: Monotonic seconds.
        rng: Source of randomness.
    """

    def __init__(
        self,
        state: FleetState,
        peers: RolloutTeller,
        make_judge: Callable[[RolloutOrder, float], RolloutJudge],
        usual_seconds: Callable[[str], float | None],
        metrics: FleetMetrics,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._state = state
        self._peers = peers
        self._make_judge = make_judge
        self._usual_seconds = usual_seconds
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._watched: dict[Rollout, _Watched] = {}
        self._shown_stages: dict[str, RolloutStage] = {}

    def evidence(self, service: str) -> RolloutEvidence | None:
        """Return what is known of the rollout of the order that stands; None without an order."""
        order = self._state.rollouts.order(service)
        return self._of_order(order, self._clock()).evidence if order is not None else None

    def opinion(self, service: str) -> RolloutOpinion:
        """Return what this node holds of the target of the order that stands."""
        order = self._state.rollouts.order(service)
        if order is None:
            return NO_OPINION
        now = self._clock()
        self._look(order, now)
        watched = self._of_order(order, now)
        assert watched.judge is not None
        return opinion_of(
            watched.judge.opinion(),
            peer_says_bad=watched.evidence.peer_says_bad(),
            is_condemned=self._state.rollouts.stage(service) is RolloutStage.REVERTED,
        )

    def watch(self, job: Job, placed: PlacedAttempt, now: float) -> AttemptWatch:
        """Return what notes how an attempt fares that is about to be sent."""
        order = self._state.rollouts.order(job.service)
        if order is None or not self._is_undecided(order):
            return NOT_WATCHED
        watched = self._of_order(order, now)
        runner = placed.runner
        if watched.told_running == 0 and self._is_old(order, runner):
            # It helps out. The holder waits for nothing here, and must know before it completes.
            asyncio.get_running_loop().call_soon(self._tell_now)
        busy = runner.running(now) >= BUSY_SHARE * runner.entry.slots
        return AttemptWatch(
            OutcomeKey(runner.entry.software, job.route.name, busy),
            runner.runner_id,
            now,
            self._expected(watched, job, placed),
            partial(self._note, order),
            is_stream=job.route.kind is RouteKind.STREAM,
        )

    def _is_old(self, order: RolloutOrder, runner: Runner) -> bool:
        """Return whether traffic moves away from a runner."""
        if runner.entry.software == order.target:
            return False
        return self._state.rollouts.stage(order.service) is RolloutStage.SHIFTING

    def _tell_now(self) -> None:
        self._peers.tell_rollouts(self._reports(self._clock()), urgent=True)

    def ended(self, job: Job, now: float) -> None:
        """Note that the attempt of a request has ended, and is no load on its runner any more."""
        if job.is_fatal:
            job.watch.stopped()
        job.watch.ended(now)
        job.watch = NOT_WATCHED
        rollouts = self._state.rollouts
        if rollouts.stage(job.service) is not RolloutStage.SHIFTING:
            return
        order = rollouts.order(job.service)
        assert order is not None
        if self._of_order(order, now).told_running and not self._old_running(order):
            # The rollout's holder waits for it: the old runners can end.
            self._tell_now()

    def take_report(
        self, node_id: str, incarnation: int, report: RolloutReport, now: float
    ) -> None:
        """Take over what a peer saw; its order may not be known here yet."""
        order = self._state.rollouts.order(report.service)
        about = report.order(order.revision if order is not None else None)
        is_standing = order is not None and about == order.revision
        identity = order.identity if order is not None and is_standing else about
        watched = self._of_report((report.service, identity))
        if watched is None:
            return
        watched.evidence.take(node_id, incarnation, report, now)
        if order is not None and is_standing:
            self._look(order, now)

    async def run(self) -> None:
        """Tell and judge now and then, until cancelled."""
        while True:
            self.tick(self._clock())
            pause = self._rng.uniform(LEAST_REPORT_SECONDS, MOST_REPORT_SECONDS)
            await asyncio.sleep(pause)

    def tick(self, now: float) -> None:
        """Tell the peers what was counted, and look at what all have told."""
        orders = self._state.rollouts.orders()
        if not orders and not self._watched:
            return
        self._forget(now)
        for order in orders:
            self._settle(order, now)
            self._look(order, now)
            self._show(order, now)
        reports = self._reports(now)
        if reports:
            self._peers.tell_rollouts(reports)

    def _expected(self, watched: _Watched, job: Job, placed: PlacedAttempt) -> float:
        if placed.salt is not None:
            return max(LEAST_EXPECTED_SECONDS, placed.delay)
        if watched.usual is None:
            # Kept from now on: later answers may be slow ones of the new version.
            watched.usual = self._usual_seconds(job.service)
        expected = watched.usual if watched.usual is not None else UNKNOWN_EXPECTED_SECONDS
        return max(LEAST_EXPECTED_SECONDS, expected)

    def _note(self, order: RolloutOrder, outcome: AttemptOutcome, now: float) -> None:
        self._of_order(order, now).outcomes.add(outcome, now)
        if not outcome.broken:
            self._count(order, outcome)
        if outcome.failed and outcome.key.version == order.target:
            self._look(order, now)

    def _count(self, order: RolloutOrder, outcome: AttemptOutcome) -> None:
        version = outcome.key.version
        self._metrics.count_outcome(order.service, version, failed=outcome.failed)

    def _settle(self, order: RolloutOrder, now: float) -> None:
        watched = self._of_order(order, now)
        for outcome in watched.outcomes.settle(now, self._ended_by_requests()):
            self._count(order, outcome)
        if self._is_undecided(order):
            self._take_own(order, watched, now)

    def _ended_by_requests(self) -> set[str]:
        """Return the runners that were ended by requests which end runners of several versions.

        Where a request ends those of one version only, that version may be what is bad.
        """
        record = self._state.runner_ends
        if not record:
            return set()
        found: set[str] = set()
        for request in record.fatal().values():
            runners = map(self._state.pool.get, request.runner_ids)
            versions = {runner.entry.software for runner in runners if runner is not None}
            if len(versions) > 1:
                found.update(request.runner_ids)
        return found

    def _look(self, order: RolloutOrder, now: float) -> None:
        """Close the target version if the evidence, or a peer, says that it is bad."""
        if self._state.rollouts.stage(order.service) not in JUDGED:
            return
        watched = self._of_order(order, now)
        if watched.evidence.peer_says_bad():
            self._close(order, watched, "a peer says so", now)
            return
        assert watched.judge is not None and watched.age is not None
        if not watched.judge.is_due(now):
            return
        self._take_own(order, watched, now)
        watched.judge.note_ordered_at(self._ordered_at(order, watched, now))
        if watched.judge.look(watched.evidence.totals(), now) is Verdict.BAD:
            self._close(order, watched, "evidence", now)

    def _take_own(self, order: RolloutOrder, watched: _Watched, now: float) -> None:
        own = self._report(order, watched, watched.outcomes.rows())
        watched.evidence.take(self._state.node_id, OWN_INCARNATION, own, now)

    def _close(self, order: RolloutOrder, watched: _Watched, cause: str, now: float) -> None:
        watched.is_bad = True
        self._state.rollouts.condemn(order.service, order.identity)
        fields: dict[str, object] = {
            "service": order.service,
            "version": order.target,
            "order_revision": str(order.revision),
            "cause": cause,
            "evidence": _summary(watched.evidence.totals()),
        }
        logger.warning("version closed", extra=fields)
        self._tell_now()

    def _reports(self, now: float) -> list[RolloutReport]:
        reports = []
        for order in self._state.rollouts.orders():
            if not self._is_undecided(order):
                continue
            watched = self._of_order(order, now)
            report = self._report(order, watched, _next_rows(watched))
            watched.told_running = report.old_running
            reports.append(report)
        return reports

    def _report(
        self, order: RolloutOrder, watched: _Watched, rows: list[OutcomeCounts]
    ) -> RolloutReport:
        stage = self._state.rollouts.stage(order.service)
        assert stage is not None
        old_running = self._old_running(order)
        is_bad = watched.is_bad
        now = self._clock()
        # Cut off, not rounded: told on again and again it must never become older than it is.
        age_ms = max(0, int((now - self._ordered_at(order, watched, now)) * 1000))
        number, era = order.revision.number, order.revision.era
        return RolloutReport(order.service, number, stage, old_running, rows, is_bad, age_ms, era)

    def _ordered_at(self, order: RolloutOrder, watched: _Watched, now: float) -> float:
        """Return when the order was given, by what this node saw, the record and the peers."""
        assert watched.age is not None
        record = self._state.rollouts.record(order.service)
        if record is not None and is_of_order(record, order):
            watched.age.note(record, now)
        watched.age.note_told(watched.evidence.ordered_at)
        return watched.age.ordered_at

    def _old_running(self, order: RolloutOrder) -> int:
        """Return this node's attempts that are still at runners of other versions."""
        return sum(
            len(runner.attempts)
            for runner in self._state.pool.of_service(order.service)
            if runner.entry.software != order.target
        )

    def _is_undecided(self, order: RolloutOrder) -> bool:
        """Return whether the store does not say yet how the rollout of an order ended."""
        return not is_decided(order, self._state.rollouts.record(order.service))

    def _of_order(self, order: RolloutOrder, now: float) -> _Watched:
        key = (order.service, order.identity)
        watched = self._watched.get(key)
        if watched is None:
            watched = self._watched[key] = _Watched()
        if watched.judge is None:
            watched.age = OrderAge(now)
            watched.judge = self._make_judge(order, watched.age.ordered_at)
        return watched

    def _of_report(self, key: Rollout) -> _Watched | None:
        """Return what is kept of a rollout; None of one that is older than the standing order."""
        watched = self._watched.get(key)
        if watched is not None:
            return watched
        order = self._state.rollouts.order(key[0])
        is_old = order is not None and key[1] < order.revision
        if is_old or len(self._watched) >= MOST_ROLLOUTS:
            return None
        watched = self._watched[key] = _Watched()
        return watched

    def _forget(self, now: float) -> None:
        """Drop rollouts that are over: of an earlier order, or of none and not told any more."""
        for key, watched in list(self._watched.items()):
            order = self._state.rollouts.order(key[0])
            if order is None:
                is_over = not watched.evidence.reporters(now)
            else:
                is_over = key[1] != order.identity and key[1] <= order.revision
            if is_over:
                del self._watched[key]

    def _show(self, order: RolloutOrder, now: float) -> None:
        service = order.service
        left = self._state.exposure.left(service, now)
        self._metrics.show_exposure(service, order.target, left)
        stage = self._state.rollouts.stage(service)
        if stage is None or self._shown_stages.get(service) is stage:
            return
        self._shown_stages[service] = stage
        for other in RolloutStage:
            self._metrics.rollout_stage.labels(service, other).set(float(other is stage))


def _next_rows(watched: _Watched) -> list[OutcomeCounts]:
    """Return the outcomes for the next report, in turn where there are many."""
    rows = watched.outcomes.rows()
    if len(rows) <= MOST_ROWS:
        return rows
    start = watched.next_row % len(rows)
    watched.next_row = start + MOST_ROWS
    return (rows[start:] + rows[:start])[:MOST_ROWS]


def _summary(totals: Mapping[OutcomeKey, OutcomeTotals]) -> dict[str, str]:
    """Return outcomes for the log: failed of answered, and the delays, by what they were of."""
    summary = {}
    for key, total in totals.items():
        name = f"{key.version} {key.route}{' busy' if key.busy else ''}"
        delays = ",".join(str(count) for count in total.delays)
        summary[name] = f"{total.failed}/{total.answered} [{delays}]"
    return summary
