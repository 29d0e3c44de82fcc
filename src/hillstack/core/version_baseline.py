"""Baseline for a version on a route: the outcomes of the other versions in the same seconds."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from hillstack.core.outcome_steps import OutcomeSteps
from hillstack.core.rollout_evidence import (
    DELAY_BUCKETS,
    EXPECTED_BUCKET,
    OutcomeKey,
    OutcomeTotals,
)

# Numbers of steps of 0.5 s over which the other versions are evaluated: as long as a burst, and
# several times as long. The worse of both rates is used, since a problem of the whole service
# affects the versions at slightly different times.
SHORT_STEPS = 3
LONG_STEPS = 10
# Fewest answers from which a rate is computed.
MIN_COMPARED = 20
MIN_COMPARED_SHORT = 10
# Weight of the prior in a rate: the least rate counts as if observed in this many answers, so that
# few answers don't change the rate much.
PRIOR_ANSWERS = 10.0
# Least failure rate: one of a hundred answers fails in an ordinary deployment while runners stop
# and start.
MIN_FAILED_RATE = 0.01
# Least failure rate if the other versions have too few answers in the same seconds: a problem of
# the service then can't be distinguished from one of the version.
MIN_FAILED_RATE_ALONE = 0.05
# Least rate of slow answers.
MIN_SLOW_RATE = 0.02
# An answer is slow if it took clearly longer than all but this share of the other versions'
# answers.
SLOW_SHARE = 0.1
# Delay buckets (a factor of 1.4 each) by which an answer is clearly slower. A version that is a
# fifth slower, for example because its caches are cold, is not bad.
CLEAR_BUCKETS = 1
# Additional delay buckets, a factor of 1.4, if the other versions were not observed under the same
# load.
UNLIKE_BUCKETS = 1


@dataclass(frozen=True, slots=True)
class Baseline:
    """Rates of the other versions.

    Attributes:
        failed: Share of answers that failed.
        slow_above: Last delay bucket whose answers are not slow; None if no answer counts as slow.
        slow: Share of answers that were slow.
    """

    failed: float
    slow_above: int | None
    slow: float


def baseline_of(steps: OutcomeSteps, target: str, route: str, busy: bool) -> Baseline | None:
    """Return the baseline for a route and load; None if there are too few answers to compare with.

    Once the target answers more requests than all other versions together, it carries their load,
    so being slower than they were is no evidence against it.
    """
    baseline = _closest_baseline(steps, target, route, busy)
    if baseline is None or not _carries_most(steps, target):
        return baseline
    return replace(baseline, slow_above=None)


def _carries_most(steps: OutcomeSteps, target: str) -> bool:
    """Return whether the target answers more requests than all other versions together."""
    own = steps.total(lambda key: key.version == target, SHORT_STEPS)
    others = steps.total(lambda key: key.version != target, SHORT_STEPS)
    return own.answered > others.answered


def _closest_baseline(steps: OutcomeSteps, target: str, route: str, busy: bool) -> Baseline | None:
    """Return the baseline from the observations that best match the target's conditions."""

    def is_same(key: OutcomeKey) -> bool:
        return key.version != target and key.route == route and key.busy == busy

    def is_same_route(key: OutcomeKey) -> bool:
        return key.version != target and key.route == route

    def is_other(key: OutcomeKey) -> bool:
        return key.version != target

    for matches, extra_buckets in ((is_same, 0), (is_same_route, UNLIKE_BUCKETS)):
        latest = steps.total(matches, LONG_STEPS)
        if latest.answered >= MIN_COMPARED:
            return _recent_baseline(steps, matches, latest, extra_buckets)
    for matches in (is_same_route, is_other):
        known = steps.total(matches)
        if known.answered >= MIN_COMPARED:
            return _older_baseline(known)
    return None


def _recent_baseline(
    steps: OutcomeSteps,
    matches: Callable[[OutcomeKey], bool],
    latest: OutcomeTotals,
    extra_buckets: int,
) -> Baseline:
    above = _slow_above(latest, extra_buckets)
    samples = [latest]
    short = steps.total(matches, SHORT_STEPS)
    if short.answered >= MIN_COMPARED_SHORT:
        samples.append(short)
    failed = max(_failed_rate(sample) for sample in samples)
    slow = max(_slow_rate(sample, above) for sample in samples)
    return Baseline(max(MIN_FAILED_RATE, failed), above, max(MIN_SLOW_RATE, slow))


def _older_baseline(known: OutcomeTotals) -> Baseline:
    above = _slow_above(known, UNLIKE_BUCKETS)
    slow = max(MIN_SLOW_RATE, _slow_rate(known, above))
    return Baseline(max(MIN_FAILED_RATE_ALONE, _failed_rate(known)), above, slow)


def _slow_above(totals: OutcomeTotals, extra_buckets: int) -> int | None:
    """Return the delay bucket above which answers count as slow; None if it is the last one."""
    timed = sum(totals.delays)
    allowed = math.floor(SLOW_SHARE * timed)
    beyond = 0
    above = DELAY_BUCKETS - 1
    while above > EXPECTED_BUCKET and beyond + totals.delays[above] <= allowed:
        beyond += totals.delays[above]
        above -= 1
    above = max(EXPECTED_BUCKET + 1, above) + CLEAR_BUCKETS + extra_buckets
    return above if above < DELAY_BUCKETS - 1 else None


def slow_count(totals: OutcomeTotals, above: int | None) -> int:
    """Return the number of slow answers."""
    return sum(totals.delays[above + 1 :]) if above is not None else 0


def _failed_rate(totals: OutcomeTotals) -> float:
    return (totals.failed + MIN_FAILED_RATE * PRIOR_ANSWERS) / (totals.answered + PRIOR_ANSWERS)


def _slow_rate(totals: OutcomeTotals, above: int | None) -> float:
    timed = sum(totals.delays)
    return (slow_count(totals, above) + MIN_SLOW_RATE * PRIOR_ANSWERS) / (timed + PRIOR_ANSWERS)
