"""A judge with fixed evaluations, as a comparison for the sequential test.

It evaluates once a second. Failures are compared with those of the other versions by Fisher's exact
test, over the latest seconds and since the order; delays are compared by the ratio of medians.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping

from hillstack.core.outcome_steps import OutcomeSteps
from hillstack.core.rollout_evidence import OutcomeKey, OutcomeTotals
from hillstack.core.rollout_judge import MIN_ANSWERED, ROUTE_ANSWERS, SHIFT_SECONDS, Verdict

STEPS_PER_EVALUATION = 2
WINDOWS = (6, None)
# About 12 evaluations of 2 windows and up to 8 groups: one wrong verdict in fifty good rollouts.
BAD_PROBABILITY = 1e-4
DOUBT_PROBABILITY = 0.01
# Three powers of the square root of two: 2.8 times the median of the others.
BAD_MEDIAN_BUCKETS = 3
MIN_MEDIAN_ANSWERS = 8

Matches = Callable[[OutcomeKey], bool]


class FixedLookJudge:
    """Judges by evaluations at fixed intervals."""

    def __init__(self, target: str, ordered_at: float, over_seconds: float) -> None:
        self._target = target
        self._good_from = ordered_at + over_seconds - SHIFT_SECONDS
        self._steps = OutcomeSteps(40)
        self._evaluations = 0

    def evaluate(self, totals: Mapping[OutcomeKey, OutcomeTotals], now: float) -> Verdict:
        if self._steps.add_totals(totals, now) is None:
            return Verdict.UNDECIDED
        self._evaluations += 1
        if self._evaluations % STEPS_PER_EVALUATION:
            return Verdict.UNDECIDED
        worst = min(
            self._probability(group, window) for group in self._groups() for window in WINDOWS
        )
        if worst < BAD_PROBABILITY or any(self._is_slow(group) for group in self._groups()):
            return Verdict.BAD
        if worst < DOUBT_PROBABILITY or now < self._good_from or self._is_missing():
            return Verdict.UNDECIDED
        return Verdict.GOOD

    def _groups(self) -> Iterator[Matches]:
        yield lambda key: True
        yield lambda key: key.busy
        for route in {key.route for key in self._steps.outcome_keys()}:
            yield lambda key, route=route: key.route == route  # type: ignore[misc]
            yield lambda key, route=route: key.route == route and key.busy  # type: ignore[misc]

    def _sides(self, group: Matches, window: int | None) -> tuple[OutcomeTotals, OutcomeTotals]:
        own = self._steps.total(lambda key: key.version == self._target and group(key), window)
        others = self._steps.total(lambda key: key.version != self._target and group(key), window)
        return own, others

    def _probability(self, group: Matches, window: int | None) -> float:
        own, others = self._sides(group, window)
        return fisher_probability(own.failed, own.answered, others.failed, others.answered)

    def _is_slow(self, group: Matches) -> bool:
        own, others = self._sides(group, WINDOWS[0])
        if min(sum(own.delays), sum(others.delays)) < MIN_MEDIAN_ANSWERS:
            return False
        return median(own.delays) - median(others.delays) >= BAD_MEDIAN_BUCKETS

    def _is_missing(self) -> bool:
        for route in {key.route for key in self._steps.outcome_keys()}:
            own, others = self._sides(lambda key, route=route: key.route == route, None)  # type: ignore[misc]
            if own.answered + others.answered >= ROUTE_ANSWERS and own.answered < MIN_ANSWERED:
                return True
        return False


def median(delays: tuple[int, ...]) -> int:
    """Return the index of the delay bucket that contains the median answer."""
    half = sum(delays) / 2
    seen = 0
    for entry, count in enumerate(delays):
        seen += count
        if seen >= half:
            return entry
    return 0


def fisher_probability(bad: int, answered: int, others_bad: int, others_answered: int) -> float:
    """Return the probability of at least this many bad answers if both sides are alike."""
    if not bad or not answered:
        return 1.0
    all_answered, all_bad = answered + others_answered, bad + others_bad
    whole = _choose(all_answered, answered)
    return sum(
        math.exp(_choose(all_bad, k) + _choose(all_answered - all_bad, answered - k) - whole)
        for k in range(bad, min(answered, all_bad) + 1)
        if answered - k <= all_answered - all_bad
    )


def _choose(of: int, some: int) -> float:
    return math.lgamma(of + 1) - math.lgamma(some + 1) - math.lgamma(of - some + 1)
