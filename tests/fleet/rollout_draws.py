"""Random rollouts in virtual time, with the outcomes that a judge receives."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from hillstack.core.rollout_evidence import DELAY_BUCKETS, OutcomeKey, OutcomeTotals
from hillstack.core.rollout_judge import Verdict

OVER_SECONDS = 12.0
LOOK_SECONDS = 0.25
CANARY_SHARE = 0.1
RARE_RATE = 20.0
OLD, NEW = "v1", "v2"
RATES = (60.0, 120.0, 240.0)
# Delay of a node's counts on their way to the judge: at most two heartbeats.
REPORT_DELAY_SECONDS = (0.1, 1.0)
CRASH_ATTEMPTS = 8
CRASH_SECONDS = 0.4
LOAD_SECONDS = 0.8


class Judge(Protocol):
    """Interface of a judge of the target version."""

    def evaluate(self, totals: Mapping[OutcomeKey, OutcomeTotals], now: float) -> Verdict: ...


@dataclass(frozen=True)
class Fault:
    """A fault of the target version.

    Attributes:
        share: Fraction of the answers that the fault affects.
        slower: Factor by which affected answers are slower; 0 if they fail.
        start: Time after the order from which the fault occurs, in seconds.
        rare: Whether the fault affects only the rarest route.
        busy: Whether the fault affects only runners under load.
    """

    share: float
    slower: float = 0.0
    start: float = 0.0
    rare: bool = False
    busy: bool = False

    def spoils(self, key: OutcomeKey, at: float, rng: Random) -> bool:
        if key.version != NEW or at < self.start:
            return False
        if (self.rare and key.route != "rare") or (self.busy and not key.busy):
            return False
        return rng.random() < self.share


@dataclass(frozen=True)
class Troubles:
    """Problems that the target version does not cause; times are in seconds after the order."""

    background: float = 0.0
    colder: float = 1.0
    target_crash: float | None = None
    old_crash: float | None = None
    overload: tuple[float, float] | None = None
    loads: tuple[tuple[str, float], ...] = ()


@dataclass
class Counts:
    answered: int = 0
    failed: int = 0
    delays: list[int] = field(default_factory=lambda: [0] * DELAY_BUCKETS)


@dataclass(frozen=True)
class Played:
    """Result of a judge on one rollout.

    Attributes:
        verdict: The verdict.
        decided_at: Time of the verdict, in seconds after the order.
        spoiled: Answers that the fault affected until then, reported or not.
    """

    verdict: Verdict
    decided_at: float
    spoiled: int


class DrawnRollout:
    """Answers of one rollout, drawn from a seed."""

    def __init__(self, seed: int, fault: Fault | None, troubles: Troubles, rate: float) -> None:
        self.rng = Random(seed)
        self.fault = fault
        self.troubles = troubles
        self.rate = rate
        self.busy_share = self.rng.choice([0.0, 0.2, 0.6]) if not (fault and fault.busy) else 0.5
        self.reports: list[tuple[float, OutcomeKey, bool, int | None]] = []
        self.spoiled: list[float] = []
        self._draw()

    def play(self, judge: Judge) -> Played:
        """Pass the reported outcomes to a judge until it decides or the order's time is over."""
        totals: dict[OutcomeKey, Counts] = {}
        reports = iter(sorted(self.reports, key=lambda report: report[0]))
        report = next(reports, None)
        now = 0.0
        while now < OVER_SECONDS:
            while report is not None and report[0] <= now:
                _, key, failed, bucket = report
                counts = totals.setdefault(key, Counts())
                counts.answered += 1
                counts.failed += failed
                if bucket is not None:
                    counts.delays[bucket] += 1
                report = next(reports, None)
            seen = {
                k: OutcomeTotals(c.answered, c.failed, tuple(c.delays)) for k, c in totals.items()
            }
            verdict = judge.evaluate(seen, now)
            if verdict is not Verdict.UNDECIDED:
                return Played(verdict, now, sum(1 for at in self.spoiled if at <= now))
            now += LOOK_SECONDS
        return Played(Verdict.UNDECIDED, now, len(self.spoiled))

    def _draw(self) -> None:
        at = self.rng.expovariate(self.rate)
        while at < OVER_SECONDS:
            version = NEW if self.rng.random() < CANARY_SHARE else OLD
            self._answer(version, at)
            at += self.rng.expovariate(self.rate)
        for version, crash in ((NEW, self.troubles.target_crash), (OLD, self.troubles.old_crash)):
            if crash is not None:
                for _ in range(CRASH_ATTEMPTS):
                    when = crash + CRASH_SECONDS * self.rng.random()
                    self._report(when, OutcomeKey(version, self._route(), False), True, None)

    def _route(self) -> str:
        if self.rng.random() < RARE_RATE / self.rate:
            return "rare"
        return self.rng.choice(["common", "common", "other"]) if self.rate > 100 else "common"

    def _answer(self, version: str, at: float) -> None:
        rng, troubles = self.rng, self.troubles
        key = OutcomeKey(version, self._route(), rng.random() < self.busy_share)
        delay = rng.lognormvariate(0.0, 0.35)
        failed = rng.random() < troubles.background
        if version == NEW:
            delay *= troubles.colder
        if troubles.overload and troubles.overload[0] <= at < troubles.overload[1]:
            delay *= 2.5
            failed = failed or rng.random() < 0.25
        for loading, start in troubles.loads:
            if loading == version and start <= at < start + LOAD_SECONDS and rng.random() < 0.5:
                delay *= 4
        if self.fault is not None and self.fault.spoils(key, at, rng):
            self.spoiled.append(at)
            failed = failed or not self.fault.slower
            delay *= self.fault.slower or 1.0
        bucket = min(DELAY_BUCKETS - 1, max(0, round(2 * (math.log2(delay) + 2))))
        self._report(at + 0.05 * delay, key, failed, None if failed else bucket)

    def _report(self, at: float, key: OutcomeKey, failed: bool, bucket: int | None) -> None:
        self.reports.append((at + self.rng.uniform(*REPORT_DELAY_SECONDS), key, failed, bucket))


def good_rollout(seed: int) -> DrawnRollout:
    """Draw a rollout of a good version, with or without other problems."""
    rng = Random(seed * 7 + 1)
    troubles = rng.choice(
        [
            Troubles(),
            Troubles(background=0.01),
            Troubles(colder=1.2),
            Troubles(target_crash=rng.uniform(1, 7)),
            Troubles(old_crash=rng.uniform(1, 7), background=0.005),
            Troubles(overload=(3.0, 3.0 + rng.uniform(1, 4))),
            Troubles(loads=((NEW, rng.uniform(1, 4)), (OLD, 5.0), (NEW, 6.5))),
        ]
    )
    return DrawnRollout(seed, None, troubles, rng.choice(RATES))


def bad_rollout(seed: int) -> DrawnRollout:
    """Draw a rollout of a version with a random fault."""
    rng = Random(seed * 7 + 2)
    fault = Fault(
        share=rng.choice([0.25, 0.5, 0.9]),
        slower=rng.choice([0.0, 0.0, 4.0, 6.0]),
        start=rng.choice([0.0, 0.0, 4.0]),
        rare=rng.random() < 0.25,
        busy=rng.random() < 0.25,
    )
    troubles = rng.choice([Troubles(), Troubles(background=0.01), Troubles(old_crash=3.0)])
    return DrawnRollout(seed, fault, troubles, rng.choice(RATES))


def play_many(
    draw: Callable[[int], DrawnRollout], make_judge: Callable[[], Judge], seeds: range
) -> list[tuple[DrawnRollout, Played]]:
    """Draw a rollout for each seed and judge it."""
    played = []
    for seed in seeds:
        rollout = draw(seed)
        played.append((rollout, rollout.play(make_judge())))
    return played
