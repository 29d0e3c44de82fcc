"""Judges whether the target version of a rollout is good or bad, by its answers on all nodes.

The target is compared with the other versions on the same route, under the same load and in the
same seconds, so a problem that affects all versions counts against none. The verdict is bad if a
sequential test (``ChangeScore``) finds it so even without the worst burst: a runner that crashes or
loads weights causes one burst of bad answers, while a bad version continues to cause them. The
verdict good comes as late as possible, when the time left in the order just suffices to shift the
traffic, and only with at least ``MIN_ANSWERED`` answers, good or bad, on each route that has had
``ROUTE_ANSWERS`` or more from all versions.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass

from hillstack.core.change_score import ChangeScore, ScoredStep
from hillstack.core.outcome_steps import OutcomeSteps
from hillstack.core.rollout_evidence import OutcomeKey, OutcomeTotals
from hillstack.core.version_baseline import Baseline, baseline_of, slow_count

# Length of a burst in steps of 0.5 s: after a crash the answers fail at once, and all nodes have
# reported them within about a second.
BURST_STEPS = 3
# Number of stored steps, 20 s: longer than the longest burst and the recovery after it together.
MEMORY_STEPS = 40
# Log odds from which a version is bad. Four failures reach it where one answer in a hundred usually
# fails.
BAD_SCORE = 10.0
# Log odds that must remain without the worst burst. Two failures reach it.
BAD_SCORE_WITHOUT_BURST = 5.0
# Log odds from which a version is not considered good. More than one failure is needed to reach it.
DOUBT_SCORE = 3.0
# A burst of at least ``CRASH_ANSWERS`` bad answers indicates a crash rather than a version that
# fails some requests. It no longer prevents the verdict good once ``RECOVERY_STEPS`` (3 s) have
# passed without many further failures.
CRASH_ANSWERS = 5
RECOVERY_STEPS = 6
# A bad version is assumed to fail or delay at least this share of its answers, and several times as
# many as the other versions (as an odds ratio).
BAD_FAILED_SHARE = 0.15
BAD_SLOW_SHARE = 0.35
BAD_ODDS_RATIO = 4.0
# Answers required on each route. A version that fails a quarter of its requests has no failure
# among this many answers in 3 of 100 cases.
MIN_ANSWERED = 12
# Answers on a route, of all versions, from which the service counts as having requests for it.
ROUTE_ANSWERS = 10
# Share of busy answers of the other versions from which the target needs answers under load too.
BUSY_SHARE = 0.3
# Time reserved for shifting the traffic: the record must reach all nodes, the old runners must
# finish their requests, and the last record must be written.
SHIFT_SECONDS = 4.0
# Greatest share of the order's time reserved for shifting; a short order still leaves two thirds of
# its time for judging.
SHIFT_SHARE = 1 / 3
# Name of the group of all answers of the target.
ALL = "all"


class Verdict(enum.Enum):
    """Verdict on a version.

    Attributes:
        UNDECIDED: There is not enough evidence yet.
        BAD: The version must get no more requests.
        GOOD: The version may get all requests.
    """

    UNDECIDED = "undecided"
    BAD = "bad"
    GOOD = "good"


@dataclass(frozen=True, slots=True)
class RolloutOpinion:
    """A node's verdict on the target version of the current order.

    Attributes:
        verdict: The verdict.
        reason: The evidence for the verdict, for operators.
    """

    verdict: Verdict
    reason: str


NO_OPINION = RolloutOpinion(Verdict.UNDECIDED, "nothing seen yet")


def opinion_of(
    judged: RolloutOpinion, *, is_reported_bad: bool, is_reverted: bool
) -> RolloutOpinion:
    """Return the judge's opinion, or a bad one if the version was reported bad or is reverted.

    Args:
        judged: The opinion of this node's judge.
        is_reported_bad: Whether any node, which may be this one, reported that the version is bad.
        is_reverted: Whether the rollout counts as reverted on this node, by its own evidence or by
            the rollout's record.
    """
    if judged.verdict is Verdict.BAD:
        return judged
    if is_reported_bad:
        reason = "found bad by another node; here: " + judged.reason
        return RolloutOpinion(Verdict.BAD, reason)
    if is_reverted:
        return RolloutOpinion(Verdict.BAD, "condemned on this node; now: " + judged.reason)
    return judged


class ProblemKind(enum.StrEnum):
    """The kinds of problems of answers."""

    FAILED = "failed"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class RolloutFindings:
    """Evidence against a version.

    Attributes:
        group: Group of answers: all, one route, under load, or one route under load.
        problem: Kind of the problem.
        answered: Answers of the target within the stored steps.
        bad: Answers of the target that failed or were slow.
        expected: Number of bad answers expected at the rate of the other versions.
        score: Log odds against the version.
    """

    group: str
    problem: ProblemKind
    answered: int
    bad: int
    expected: float
    score: float

    def describe(self) -> str:
        """Return a description of the evidence for operators."""
        return (
            f"{self.group}: {self.bad} of {self.answered} {self.problem},"
            f" {self.expected:.1f} expected (score {self.score:.1f})"
        )


class RolloutJudge:
    """Judges the target version of one order.

    Args:
        target: The target version.
        ordered_at: When the order was given, on the clock that is passed to ``evaluate``.
        over_seconds: Time within which the rollout should be decided.
    """

    def __init__(self, target: str, ordered_at: float, over_seconds: float) -> None:
        self._target = target
        shift = min(SHIFT_SECONDS, SHIFT_SHARE * over_seconds)
        self._min_good_age = over_seconds - shift
        self._good_from = ordered_at + self._min_good_age
        self._steps = OutcomeSteps(MEMORY_STEPS)
        self._scores: dict[tuple[str, ProblemKind], ChangeScore] = {}
        self._verdict = Verdict.UNDECIDED
        self._reason = NO_OPINION.reason

    @property
    def verdict(self) -> Verdict:
        """The latest verdict."""
        return self._verdict

    def note_ordered_at(self, ordered_at: float) -> None:
        """Apply a new estimate of when the order was given; only an earlier time has an effect."""
        self._good_from = min(self._good_from, ordered_at + self._min_good_age)

    def opinion(self) -> RolloutOpinion:
        """Return the latest verdict with its reason."""
        return RolloutOpinion(self._verdict, self._reason)

    def is_due(self, now: float) -> bool:
        """Return whether ``evaluate`` would evaluate totals now; if not, they needn't be summed."""
        return self._verdict is not Verdict.BAD and self._steps.is_due(now)

    def evaluate(self, totals: Mapping[OutcomeKey, OutcomeTotals], now: float) -> Verdict:
        """Evaluate the outcomes of all nodes since the order; return the verdict.

        A bad verdict is final; a good one may become bad or undecided while the traffic shifts.
        """
        if self._verdict is Verdict.BAD:
            return self._verdict
        step = self._steps.add_totals(totals, now)
        if step is not None:
            self._score(step)
            self._verdict, self._reason = self._decide(now)
        return self._verdict

    def findings(self) -> list[RolloutFindings]:
        """Return the evidence against the version, strongest first."""
        found = [
            _describe_score(group, problem, score)
            for (group, problem), score in self._scores.items()
            if score.score > 0
        ]
        return sorted(found, key=lambda finding: -finding.score)

    def _score(self, step: Mapping[OutcomeKey, OutcomeTotals]) -> None:
        """Add the answers of a step to the scores of their groups."""
        sums: dict[tuple[str, ProblemKind], list[ScoredStep]] = {}
        for key, new in step.items():
            if key.version != self._target:
                continue
            baseline = baseline_of(self._steps, self._target, key.route, key.busy)
            if baseline is None:
                continue
            for problem, scored in _scored_steps(new, baseline):
                for group in _groups(key):
                    sums.setdefault((group, problem), []).append(scored)
        for name, parts in sums.items():
            score = self._scores.setdefault(name, ChangeScore(BURST_STEPS, MEMORY_STEPS))
            score.add(_sum_steps(parts))
        for name, score in self._scores.items():
            if name not in sums:
                # A step without answers still counts towards the length of a burst.
                score.add(ScoredStep(0.0, 0, 0, 0.0))

    def _decide(self, now: float) -> tuple[Verdict, str]:
        findings = self.findings()
        for finding in findings:
            if finding.score >= BAD_SCORE and self._persists(finding):
                return Verdict.BAD, finding.describe()
        missing = self._missing_answers()
        if missing:
            return Verdict.UNDECIDED, missing
        for finding in findings:
            if self._is_in_doubt(finding):
                return Verdict.UNDECIDED, "in doubt: " + finding.describe()
        if now < self._good_from:
            return Verdict.UNDECIDED, "nothing against it so far"
        return Verdict.GOOD, self._good_reason()

    def _persists(self, finding: RolloutFindings) -> bool:
        """Return whether there is enough evidence besides the worst burst."""
        score = self._scores[finding.group, finding.problem]
        return score.score_without_burst() >= BAD_SCORE_WITHOUT_BURST

    def _is_in_doubt(self, finding: RolloutFindings) -> bool:
        """Return whether the problem may persist, rather than being one crash that is over."""
        score = self._scores[finding.group, finding.problem]
        if score.score < DOUBT_SCORE:
            return False
        if finding.problem is ProblemKind.SLOW:
            return True
        crashed, steps_ago = self._scores[ALL, ProblemKind.FAILED].worst_burst()
        if crashed < CRASH_ANSWERS or steps_ago < BURST_STEPS + RECOVERY_STEPS:
            return True
        return score.score_without_burst_at(steps_ago) >= DOUBT_SCORE

    def _missing_answers(self) -> str:
        """Return which answers are too few for the verdict good; empty if there are enough."""
        routes = {key.route for key in self._steps.outcome_keys()}
        for route in sorted(routes):
            answered = self._answered(route=route)
            if self._has_requests(route) and answered < MIN_ANSWERED:
                return f"only {answered} answers on route {route}"
        if not self._answered():
            return "no answers yet"
        busy = self._answered(busy=True)
        if self._others_busy_share() >= BUSY_SHARE and busy < MIN_ANSWERED:
            return f"only {busy} answers under load"
        return ""

    def _has_requests(self, route: str) -> bool:
        """Return whether the service has requests for a route, counting all versions."""
        return self._steps.total(lambda key: key.route == route).answered >= ROUTE_ANSWERS

    def _answered(self, route: str | None = None, busy: bool = False) -> int:
        def matches(key: OutcomeKey) -> bool:
            if key.version != self._target or (busy and not key.busy):
                return False
            return route is None or key.route == route

        return self._steps.total(matches).answered

    def _others_busy_share(self) -> float:
        others = self._steps.total(lambda key: key.version != self._target).answered
        busy = self._steps.total(lambda key: key.version != self._target and key.busy).answered
        return busy / others if others else 0.0

    def _good_reason(self) -> str:
        totals = self._steps.total(lambda key: key.version == self._target)
        return f"{totals.answered} answers, {totals.failed} failed, on all routes like the others"


def _groups(key: OutcomeKey) -> list[str]:
    """Return the groups that answers with a key belong to."""
    groups = [ALL, f"route {key.route}"]
    if key.busy:
        groups += ["under load", f"route {key.route} under load"]
    return groups


def _scored_steps(new: OutcomeTotals, baseline: Baseline) -> list[tuple[ProblemKind, ScoredStep]]:
    """Return the scored answers of a step for each kind of problem."""
    failed = _scored_step(new.answered, new.failed, baseline.failed, BAD_FAILED_SHARE)
    timed = sum(new.delays)
    if baseline.slow_above is None or not timed:
        return [(ProblemKind.FAILED, failed)]
    slow = _scored_step(timed, slow_count(new, baseline.slow_above), baseline.slow, BAD_SLOW_SHARE)
    return [(ProblemKind.FAILED, failed), (ProblemKind.SLOW, slow)]


def _scored_step(answered: int, bad: int, usual_share: float, min_share: float) -> ScoredStep:
    """Return answers with their log likelihood ratio, bad version to good version.

    Args:
        answered: Number of answers.
        bad: Number of answers that failed or were slow.
        usual_share: Share of bad answers of the other versions.
        min_share: Smallest assumed share of bad answers of a bad version.
    """
    odds = BAD_ODDS_RATIO * usual_share / (1 - usual_share)
    share = max(min_share, odds / (1 + odds))
    gain = bad * math.log(share / usual_share)
    gain += (answered - bad) * math.log((1 - share) / (1 - usual_share))
    return ScoredStep(gain, answered, bad, answered * usual_share)


def _sum_steps(parts: list[ScoredStep]) -> ScoredStep:
    return ScoredStep(
        sum(part.gain for part in parts),
        sum(part.answered for part in parts),
        sum(part.bad for part in parts),
        sum(part.expected for part in parts),
    )


def _describe_score(group: str, problem: ProblemKind, score: ChangeScore) -> RolloutFindings:
    steps = score.steps()
    return RolloutFindings(
        group,
        problem,
        sum(step.answered for step in steps),
        sum(step.bad for step in steps),
        sum(step.expected for step in steps),
        score.score,
    )
