"""Counts the runners that crashed under each prompt part, and judges which parts crash runners.

A request that crashes runners may do so because of one part of its prompt, which it shares with
requests that are otherwise unlike it. All parts of the runs on a crashed runner are candidates,
including those that many sound requests contain. Success tells them apart: a part is cleared when a
run with it, sent no earlier than those on the crashed runners, outlasts the age at which they
crashed.

Until some runs without a part have succeeded, the crashes say nothing about it: the runners may
crash under all requests.

Parts that remain may still occur only together. A part is fatal for a request if the request
contains all candidates that could explain the crashes under the part instead. If one of them is not
in the request, a single run of the request shows which of the two is the cause, so the part is a
suspect. If such a candidate was at more crashes, it explains those under the part, which is then no
suspect.
"""

from __future__ import annotations

import enum
import math
from collections import OrderedDict, deque
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass

from hillstack.core.crash_counts import REPEATED_RETENTION_SECONDS, SINGLE_RETENTION_SECONDS
from hillstack.core.crash_ledger import MAX_LEDGER_CRASHES
from hillstack.core.part_crash import PartCrash
from hillstack.core.part_trials import FATAL_MARK, PartTrials
from hillstack.core.run_at_crash import SETTLED_SECONDS, RunAtCrash
from hillstack.core.runner_crashes import (
    MAX_NOTICE_LATENCY_SECONDS,
    ORDER_SLACK_SECONDS,
    RACK_SECONDS,
)

# Crashes from which a part is a suspect. With 1, each crash would make all parts of its runs
# suspects, although most crashes have other causes.
MIN_SUSPECT_CRASHES = 2
# Crashes from which a part may be fatal, two of which must be independent.
MIN_FATAL_CRASHES = 3
MIN_INDEPENDENT_CRASHES = 2
# Crashes within this time may have a common cause, such as the power of a rack. Includes the
# latency of the notices that date them.
COMMON_CAUSE_SECONDS = RACK_SECONDS + MAX_NOTICE_LATENCY_SECONDS
# Time without any send after the latest crash under a fatal part, by the number of its trials that
# crashed a runner; no trial follows the third.
TRIAL_PAUSES_SECONDS = (10.0, 10.0, 60.0)
# A run has outlasted the crashes under a part when its answer has been under way for this multiple
# of the longest time at them, plus the margin.
SURVIVAL_FACTOR = 2.0
SURVIVAL_MARGIN_SECONDS = SETTLED_SECONDS
# The same for the age of a run whose answer comes as a whole. The age includes the time in a queue.
WHOLE_SURVIVAL_MARGIN_SECONDS = 1.0
# Parts stored: those of 32 runners with 64 requests each, most of which share their parts.
MAX_PARTS = 4_096
# Crashes stored for a part: the first ones, and the latest one.
MAX_CRASHES_PER_PART = 16
# Successful runs without a part, and none with it, from which the part may be fatal. Otherwise the
# runners may crash under all requests.
MIN_CONTRAST = 3
# How long a part whose trials are used up is held back for want of such runs. A node that has just
# started sees them within this time if there are any; if there are none, all requests may crash.
CONTRAST_WAIT_SECONDS = 2.0
# Latest successful runs that are stored, for comparison with the crashes.
MAX_SUCCESSES = 64


class PartSuspicion(enum.IntEnum):
    """How a request is treated for its parts.

    Attributes:
        NONE: It is sent as any other.
        SUSPECT: It needs a permit, which is issued for one of its suspected parts.
        FATAL: It is not sent.
    """

    NONE = 0
    SUSPECT = 1
    FATAL = 2


@dataclass(frozen=True, slots=True)
class PartVerdict:
    """The judgement of a request by its parts.

    Attributes:
        parts: The suspected or fatal parts that decided it.
        retry_after: Seconds until a request with a fatal part may be sent again.
    """

    suspicion: PartSuspicion = PartSuspicion.NONE
    parts: tuple[int, ...] = ()
    retry_after: float = 0.0


NO_SUSPICION = PartVerdict()


class PartCrashes:
    """Runner crashes by prompt part, bounded in number and in age.

    Attributes:
        revision: Rises with each change of the crashes.
    """

    def __init__(self) -> None:
        self._by_part: OrderedDict[int, dict[str, PartCrash]] = OrderedDict()
        self._parts_at: dict[str, set[int]] = {}
        self._cleared: OrderedDict[int, float] = OrderedDict()
        # The latest successful runs: when they ended, and their parts.
        self._successes: deque[tuple[float, frozenset[int]]] = deque(maxlen=MAX_SUCCESSES)
        self._trials = PartTrials()
        # Parts whose trials are used up, without a contrast, and since when.
        self._lacking_contrast: dict[int, float] = {}
        self.revision = 0

    def __bool__(self) -> bool:
        """Return whether a crash is recorded under any part."""
        return bool(self._by_part)

    def record(self, runner_id: str, crashed_at: float, runs: Mapping[int, RunAtCrash]) -> None:
        """Record the crash of a runner under parts, or a further report of it."""
        for part, run in runs.items():
            if crashed_at <= self._cleared.get(part, -math.inf):
                continue
            crashes = self._by_part.setdefault(part, {})
            known = crashes.get(runner_id)
            if known is None and len(crashes) >= MAX_CRASHES_PER_PART:
                self._remove_crash(part, max(crashes, key=lambda name: crashes[name].crashed_at))
            reported = PartCrash(crashed_at, run)
            crashes[runner_id] = reported if known is None else known.merged(reported)
            self._parts_at.setdefault(runner_id, set()).add(part)
            self._by_part.move_to_end(part)
            self.revision += known is None
        while len(self._by_part) > MAX_PARTS:
            self._evict()

    def record_success(self, parts: Collection[int], now: float) -> None:
        """Record that a run of a request with these parts succeeded."""
        self._successes.append((now, frozenset(parts)))

    def served_in_seconds(self, part: int, now: float) -> float | None:
        """Return after how long a suspected part is sent although its trials are used up.

        By then nothing has shown for some time that the part crashes runners, and not everything
        else as well.

        Returns:
            The seconds until then; None if the part may be tried, or if something has shown it.
        """
        if len(self.trials(part)) < MAX_LEDGER_CRASHES or self._has_contrast(part):
            self._lacking_contrast.pop(part, None)
            return None
        since = self._lacking_contrast.setdefault(part, now)
        return max(0.0, since + CONTRAST_WAIT_SECONDS - now)

    def record_trials(
        self, part: int, crashed: Collection[str], known_since: float = -math.inf
    ) -> None:
        """Record runners that crashed under trials of a part, or the mark of a node."""
        self._trials.record(part, crashed, known_since)

    def trials(self, part: int) -> frozenset[str]:
        """Return the runners that crashed under trials of a part."""
        return self._trials.get(part)

    def marked_parts(self) -> list[int]:
        """Return the parts that some node has found fatal, according to their ledgers."""
        return self._trials.marked()

    def take_unfounded(self) -> list[int]:
        """Remove and return the marks of parts that retractions have left with too few crashes."""
        return self._trials.take_unfounded(self._by_part, MIN_FATAL_CRASHES)

    def forget_ledger(self, part: int) -> None:
        """Forget the trials of a part whose ledger is gone, if no crash under it is known."""
        if part not in self._by_part:
            self._forget_trials(part)

    def crashes(self, part: int) -> Mapping[str, PartCrash]:
        """Return the crashes under a part, by runner."""
        return self._by_part.get(part, {})

    def runs_at(self, runner_id: str) -> dict[int, PartCrash]:
        """Return the crash of a runner as recorded under each part that is not cleared."""
        parts = self._parts_at.get(runner_id, ())
        return {part: self._by_part[part][runner_id] for part in parts}

    def runner_ids(self) -> Iterator[str]:
        """Yield the crashed runners."""
        yield from self._parts_at

    def trial_runner_ids(self) -> Iterator[str]:
        """Yield the runners that crashed under trials."""
        yield from self._trials.runner_ids()

    def clear(self, part: int, now: float) -> None:
        """Clear a part after a run with it survived."""
        self._forget_trials(part)
        if part not in self._by_part:
            return
        self._remove(part)
        self._cleared[part] = now
        self._cleared.move_to_end(part)
        while len(self._cleared) > MAX_PARTS:
            self._cleared.popitem(last=False)

    def is_evidence(self, part: int, sent_at: float, age: float = math.inf) -> bool:
        """Return whether the success of a run would clear a part.

        A run that was sent before the first of the crashed ones may have begun its answer before
        the part crashed runners.

        Args:
            part: Name of the part.
            sent_at: When the request was sent.
            age: Seconds that the run took, if it was the rest of a stream, which may be shorter
                than the time after which runners crash.
        """
        crashes = self._by_part.get(part, {}).values()
        if not crashes or age < min(crash.run.age for crash in crashes):
            return False
        return sent_at >= min(crash.began_at for crash in crashes)

    def has_survived(self, part: int, sent_at: float, age: float, answering: float | None) -> bool:
        """Return whether a run that is under way has outlasted the crashes under a part.

        Args:
            part: Name of the part.
            sent_at: When the request was sent.
            age: Seconds since then.
            answering: Seconds since the first bytes of the answer; None before them.
        """
        if not self.is_evidence(part, sent_at):
            return False
        runs = [crash.run for crash in self._by_part[part].values()]
        if answering is not None:
            longest = max(run.answering or 0.0 for run in runs)
            return answering > SURVIVAL_FACTOR * longest + SURVIVAL_MARGIN_SECONDS
        oldest = max(run.age for run in runs)
        return age > SURVIVAL_FACTOR * oldest + WHOLE_SURVIVAL_MARGIN_SECONDS

    def judge(self, parts: Collection[int], now: float) -> PartVerdict:
        """Judge a request by the crashes under its parts."""
        suspects: list[int] = []
        for part in parts:
            suspicion = self._judge_part(part, parts)
            if suspicion is PartSuspicion.FATAL:
                retry_after = self._refused_until(part) - now
                if retry_after > 0:
                    return PartVerdict(PartSuspicion.FATAL, (part,), retry_after)
            if suspicion is not PartSuspicion.NONE:
                suspects.append(part)
        if not suspects:
            return NO_SUSPICION
        return PartVerdict(PartSuspicion.SUSPECT, tuple(sorted(suspects)))

    def explained_runners(self, fatal: Iterable[int]) -> frozenset[str]:
        """Return the runners whose crash a fatal part explains, whatever else ran on them."""
        return frozenset(runner_id for part in fatal for runner_id in self._by_part[part])

    def fatal_parts(self) -> list[int]:
        """Return the parts under which so many runners crashed that they may be fatal."""
        return [
            part
            for part, crashes in self._by_part.items()
            if is_fatal_count(crashes) and self._has_contrast(part)
        ]

    def retract(self, runner_id: str, contact_at: float = math.inf) -> None:
        """Remove a runner's crash under all parts, unless it crashed after a contact."""
        known = list(self._parts_at.get(runner_id, ()))
        for part in known:
            left = self._by_part[part][runner_id].after_contact(contact_at)
            if left is None:
                self._remove_crash(part, runner_id)
            else:
                self._by_part[part][runner_id] = left
        kept = self._parts_at.get(runner_id, set())
        retracted = [part for part in known if part not in kept]
        self._trials.retract(runner_id, contact_at, retracted, kept)

    def expire(self, now: float) -> list[int]:
        """Drop parts whose latest crash is older than the retention; return those with trials."""
        old = [
            part
            for part, crashes in self._by_part.items()
            if now - _last_crash_at(crashes)
            >= (REPEATED_RETENTION_SECONDS if len(crashes) > 1 else SINGLE_RETENTION_SECONDS)
        ]
        for part in old:
            self._remove(part)
        return [part for part in old if self._forget_trials(part)]

    def _forget_trials(self, part: int) -> bool:
        """Forget the trials of a part; return whether there were any."""
        self._lacking_contrast.pop(part, None)
        return self._trials.forget(part)

    def _judge_part(self, part: int, parts: Collection[int]) -> PartSuspicion:
        crashes = self._by_part.get(part, {})
        if len(crashes) < MIN_SUSPECT_CRASHES:
            return PartSuspicion.NONE
        others = set.intersection(*(self._parts_at[runner_id] for runner_id in crashes))
        others.difference_update(parts)
        if any(len(self._by_part[other]) > len(crashes) for other in others):
            return PartSuspicion.NONE
        if others or not is_fatal_count(crashes) or not self._has_contrast(part):
            return PartSuspicion.SUSPECT
        return PartSuspicion.FATAL

    def _has_contrast(self, part: int) -> bool:
        """Return whether enough runs without a part have succeeded since the first crash under it.

        Runs with the part have not, or it would be cleared. A node that knows too few of the
        crashes to suspect the part started later than the first one.
        """
        if FATAL_MARK in self.trials(part):
            return True
        crashes = self._by_part.get(part, {})
        first = -math.inf
        if len(crashes) >= MIN_SUSPECT_CRASHES:
            first = min(crash.crashed_at for crash in crashes.values())
        without = sum(at >= first and part not in parts for at, parts in self._successes)
        return without >= MIN_CONTRAST

    def _refused_until(self, part: int) -> float:
        trials = len(self.trials(part))
        last = _last_crash_at(self._by_part[part])
        if trials >= len(TRIAL_PAUSES_SECONDS):
            return last + REPEATED_RETENTION_SECONDS
        return last + TRIAL_PAUSES_SECONDS[trials]

    def _remove(self, part: int) -> None:
        for runner_id in list(self._by_part[part]):
            self._remove_crash(part, runner_id)

    def _remove_crash(self, part: int, runner_id: str) -> None:
        self.revision += 1
        crashes = self._by_part[part]
        del crashes[runner_id]
        if not crashes:
            del self._by_part[part]
        self._parts_at[runner_id].discard(part)
        if not self._parts_at[runner_id]:
            del self._parts_at[runner_id]

    def _evict(self) -> None:
        """Drop the part that was reported the longest ago, one with a single crash if possible."""
        single = (part for part, crashes in self._by_part.items() if len(crashes) == 1)
        self._remove(next(single, next(iter(self._by_part))))


def is_fatal_count(crashes: Mapping[str, PartCrash]) -> bool:
    """Return whether crashes are so many, and so independent, that their part may be fatal."""
    if len(crashes) < MIN_FATAL_CRASHES:
        return False
    return _count_independent(crashes) >= MIN_INDEPENDENT_CRASHES


def _count_independent(crashes: Mapping[str, PartCrash]) -> int:
    """Return how many crashes can't have a common cause with the independent one before."""
    count = 0
    last: PartCrash | None = None
    for crash in sorted(crashes.values(), key=lambda crash: crash.crashed_at):
        if last is None or _is_independent(last, crash):
            count += 1
            last = crash
    return count


def _is_independent(earlier: PartCrash, later: PartCrash) -> bool:
    if later.began_at >= earlier.crashed_at - ORDER_SLACK_SECONDS:
        return True
    return later.crashed_at > earlier.crashed_at + COMMON_CAUSE_SECONDS


def _last_crash_at(crashes: Mapping[str, PartCrash]) -> float:
    return max(crash.crashed_at for crash in crashes.values())
