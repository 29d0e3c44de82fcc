"""The judge of a rollout's target version: single faults, and how often its verdict is wrong."""

from __future__ import annotations

from collections import Counter

import pytest

from hillstack.core.rollout_evidence import DELAY_BUCKETS, OutcomeKey, OutcomeTotals
from hillstack.core.rollout_judge import (
    MIN_ANSWERED,
    SHIFT_SECONDS,
    RolloutJudge,
    Verdict,
)
from tests.fleet.fixed_interval_judge import FixedLookJudge
from tests.fleet.rollout_draws import (
    NEW,
    OLD,
    OVER_SECONDS,
    DrawnRollout,
    Fault,
    Judge,
    Played,
    Troubles,
    bad_rollout,
    good_rollout,
    play_many,
)

SEEDS = range(200)
COMPARED_SEEDS = range(60)
RATE = 120.0


def make_judge() -> RolloutJudge:
    return RolloutJudge(NEW, 0.0, OVER_SECONDS)


def make_fixed() -> Judge:
    return FixedLookJudge(NEW, 0.0, OVER_SECONDS)


def play(seed: int, fault: Fault | None, troubles: Troubles, rate: float = RATE) -> Played:
    return DrawnRollout(seed, fault, troubles, rate).play(make_judge())


def steady(key: OutcomeKey, rate: float, at: float, failed: float = 0.0) -> OutcomeTotals:
    """Return the totals of a steady rate of answers."""
    answered = int(rate * at)
    delays = [0] * DELAY_BUCKETS
    delays[4] = answered
    return OutcomeTotals(answered, int(rate * at * failed), tuple(delays))


def look_until(
    judge: RolloutJudge, seconds: float, rates: dict[OutcomeKey, float], failing: str = ""
) -> Verdict:
    """Pass steady rates to a judge; all answers of the version ``failing`` fail."""
    now = 0.0
    verdict = Verdict.UNDECIDED
    while now <= seconds and verdict is Verdict.UNDECIDED:
        totals = {
            key: steady(key, rate, now, 1.0 if key.version == failing else 0.0)
            for key, rate in rates.items()
        }
        verdict = judge.evaluate(totals, now)
        now += 0.25
    return verdict


OLD_CELL = OutcomeKey(OLD, "common", False)
NEW_CELL = OutcomeKey(NEW, "common", False)
NEW_RARE = OutcomeKey(NEW, "rare", False)
OLD_RARE = OutcomeKey(OLD, "rare", False)
OLD_BUSY = OutcomeKey(OLD, "common", True)


def test_a_good_version_is_trusted_when_the_time_to_shift_begins() -> None:
    judge = make_judge()
    rates = {OLD_CELL: 54.0, NEW_CELL: 6.0}
    assert look_until(judge, OVER_SECONDS - SHIFT_SECONDS - 0.5, rates) is Verdict.UNDECIDED
    assert look_until(make_judge(), OVER_SECONDS - SHIFT_SECONDS + 0.5, rates) is Verdict.GOOD


def test_a_version_that_fails_all_is_bad_well_before_fifty_bad_answers() -> None:
    played = play(1, Fault(share=1.0), Troubles(), rate=60.0)
    assert played.verdict is Verdict.BAD
    assert played.spoiled <= 25


@pytest.mark.parametrize(
    "fault",
    [
        Fault(share=0.5),
        Fault(share=0.5, start=4.0),
        Fault(share=0.5, slower=4.0),
        Fault(share=0.7, slower=3.0),
        Fault(share=0.9, rare=True),
        Fault(share=0.9, slower=6.0, rare=True),
        Fault(share=0.6, busy=True),
        Fault(share=0.9, slower=6.0, busy=True),
    ],
    ids=[
        "failing",
        "later",
        "slow",
        "three times slower",
        "rare route",
        "slow on a rare route",
        "busy",
        "slow if busy",
    ],
)
def test_a_bad_version_is_found(fault: Fault) -> None:
    for seed in range(5):
        assert play(seed, fault, Troubles()).verdict is Verdict.BAD, seed


@pytest.mark.parametrize(
    "troubles",
    [
        Troubles(background=0.01),
        Troubles(target_crash=3.0),
        Troubles(old_crash=3.0),
        Troubles(overload=(3.0, 6.0)),
        Troubles(colder=1.2),
        Troubles(loads=((NEW, 2.0), (OLD, 5.0))),
    ],
    ids=[
        "a few failures",
        "a runner crashed",
        "an old one crashed",
        "overload",
        "a fifth slower",
        "weights loaded",
    ],
)
def test_problems_of_other_causes_do_not_count_against_a_version(troubles: Troubles) -> None:
    for seed in range(8):
        assert play(seed, None, troubles).verdict is not Verdict.BAD, seed


def test_a_version_is_not_trusted_without_answers_on_a_route_that_has_requests() -> None:
    judge = make_judge()
    rates = {OLD_CELL: 54.0, NEW_CELL: 6.0, OLD_RARE: 18.0, NEW_RARE: 0.5}
    assert look_until(judge, OVER_SECONDS, rates) is Verdict.UNDECIDED
    assert "route rare" in judge.opinion().reason


def test_a_version_is_not_trusted_without_answers_under_load_if_the_others_are_busy() -> None:
    judge = make_judge()
    rates = {OLD_CELL: 20.0, OLD_BUSY: 34.0, NEW_CELL: 6.0}
    assert look_until(judge, OVER_SECONDS, rates) is Verdict.UNDECIDED
    assert "under load" in judge.opinion().reason


def test_without_answers_the_verdict_is_undecided() -> None:
    judge = make_judge()
    assert look_until(judge, OVER_SECONDS, {}) is Verdict.UNDECIDED
    assert judge.opinion().reason == "no answers yet"


def test_few_answers_are_not_enough() -> None:
    judge = make_judge()
    rates = {OLD_CELL: 54.0, NEW_CELL: (MIN_ANSWERED - 2) / OVER_SECONDS}
    assert look_until(judge, OVER_SECONDS, rates) is Verdict.UNDECIDED


def test_a_trusted_version_can_still_become_bad() -> None:
    judge = make_judge()
    rates = {OLD_CELL: 54.0, NEW_CELL: 6.0}
    assert look_until(judge, OVER_SECONDS - SHIFT_SECONDS + 0.5, rates) is Verdict.GOOD
    trusted_at = OVER_SECONDS - SHIFT_SECONDS + 0.5
    answered, now = 60, trusted_at
    verdict = Verdict.GOOD
    while now < trusted_at + 3.0:
        now += 0.25
        answered += 15
        failed = answered - 60
        totals = {OLD_CELL: steady(OLD_CELL, 54.0, trusted_at)}
        totals[NEW_CELL] = OutcomeTotals(answered, failed, (0, 0, 0, 0, 60, 0, 0, 0, 0, 0))
        verdict = judge.evaluate(totals, now)
    assert verdict is Verdict.BAD


def test_a_version_that_carries_all_traffic_is_not_bad_for_being_slower() -> None:
    judge = make_judge()
    shifted_at = OVER_SECONDS - SHIFT_SECONDS + 0.5
    look_until(judge, shifted_at, {OLD_CELL: 54.0, NEW_CELL: 6.0})
    for look in range(1, 40):
        slow = 15 * look
        # The old runners finish their remaining requests.
        remaining = min(3 * look, 20)
        totals = {
            OLD_CELL: steady(OLD_CELL, 54.0, shifted_at + remaining / 54.0),
            NEW_CELL: OutcomeTotals(50 + slow, 0, (0, 0, 0, 0, 50, 0, 0, 0, slow, 0)),
        }
        assert judge.evaluate(totals, shifted_at + 0.25 * look) is not Verdict.BAD


def test_a_bad_verdict_is_final() -> None:
    judge = make_judge()
    rates = {OLD_CELL: 54.0, NEW_CELL: 6.0}
    assert look_until(judge, 8.0, rates, failing=NEW) is Verdict.BAD
    good = {OLD_CELL: steady(OLD_CELL, 54.0, 20.0), NEW_CELL: steady(NEW_CELL, 60.0, 20.0)}
    assert judge.evaluate(good, 20.0) is Verdict.BAD


def test_the_reason_contains_the_problem_and_the_figures() -> None:
    judge = make_judge()
    look_until(judge, 8.0, {OLD_CELL: 54.0, NEW_CELL: 6.0}, failing=NEW)
    finding = judge.findings()[0]
    assert finding.problem == "failed" and finding.bad == finding.answered
    assert "failed" in judge.opinion().reason and "expected" in judge.opinion().reason


def test_failures_of_all_versions_count_against_none() -> None:
    judge = make_judge()
    now = 0.0
    while now < OVER_SECONDS:
        totals = {
            OLD_CELL: steady(OLD_CELL, 54.0, now, 0.3),
            NEW_CELL: steady(NEW_CELL, 6.0, now, 0.3),
        }
        assert judge.evaluate(totals, now) is not Verdict.BAD
        now += 0.25


def verdicts(played: list[tuple[DrawnRollout, Played]]) -> Counter[Verdict]:
    return Counter(result.verdict for _, result in played)


def test_good_versions_are_rarely_reverted_because_of_other_problems() -> None:
    found = verdicts(play_many(good_rollout, make_judge, SEEDS))
    assert found[Verdict.BAD] <= 0.01 * len(SEEDS)
    assert found[Verdict.GOOD] >= 0.93 * len(SEEDS)


def test_bad_versions_are_rarely_trusted() -> None:
    played = play_many(bad_rollout, make_judge, SEEDS)
    assert verdicts(played)[Verdict.GOOD] <= 0.1 * len(SEEDS)
    # Some bad versions had almost no bad answers before the verdict; they don't count here.
    seen = [
        result for _, result in played if result.verdict is Verdict.GOOD and result.spoiled >= 5
    ]
    assert len(seen) <= 0.02 * len(SEEDS)


def test_a_version_is_found_bad_long_before_it_must_be_closed() -> None:
    """A bad version must get no requests from 5 s after its 50th bad answer on.

    Two of these seconds are reserved for the verdict to reach all nodes.
    """
    rollouts = [DrawnRollout(seed, Fault(share=1.0), Troubles(), 240.0) for seed in range(5)]
    rollouts += [bad_rollout(seed) for seed in SEEDS]
    late = []
    for rollout in rollouts:
        if len(rollout.spoiled) >= 50:
            played = rollout.play(make_judge())
            late.append(played.decided_at - rollout.spoiled[49])
            assert played.verdict is Verdict.BAD
    assert len(late) >= 20
    assert max(late) <= 3.0


def test_the_sequential_test_is_wrong_less_often_than_fixed_evaluations() -> None:
    chosen = verdicts(play_many(good_rollout, make_judge, COMPARED_SEEDS))
    fixed = verdicts(play_many(good_rollout, make_fixed, COMPARED_SEEDS))
    assert chosen[Verdict.BAD] < fixed[Verdict.BAD]
    chosen = verdicts(play_many(bad_rollout, make_judge, COMPARED_SEEDS))
    fixed = verdicts(play_many(bad_rollout, make_fixed, COMPARED_SEEDS))
    assert chosen[Verdict.GOOD] < fixed[Verdict.GOOD]


def test_totals_are_evaluated_once_per_step() -> None:
    judge = make_judge()
    asked = []
    for tenth in range(50):
        now = tenth / 10
        if judge.is_due(now):
            asked.append(now)
            judge.evaluate({OLD_CELL: steady(OLD_CELL, 54.0, now)}, now)
    assert len(asked) == 10
