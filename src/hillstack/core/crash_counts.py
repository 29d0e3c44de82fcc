"""How many runners ended under each request, one after the other, whatever else explains the ends.

``RunnerEndRecord`` weighs who is the likely cause, and may be wrong as often as many requests are
at many ends. This count does not weigh: it bounds the runners that any request can take. Only an
answer of success sets it back. Names of requests are both of ``request_fingerprint``: the narrow
one still counts where an innocent request has the wide one in common and sets that back.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from hillstack.core.runner_ends import ORDER_SLACK_SECONDS

# From this number of ends under one content a request with it is a suspect, if its own fingerprint
# was at no end. One end would make suspects of all that have a short body in common.
SUSPECT_CRASHES = 2
# From this number of ends on a request is refused, but for single trials.
MAX_CRASHES = 3
# What an end counts at which the answer had long been under way: a request that crashes runners
# mostly does so as it begins, and streams that are moved along stand at ends of all kinds. One that
# crashes them late has used up its trials when it is refused.
SETTLED_WEIGHT = 0.5
# A run that goes on for that many times the shortest age at which others were at ends is none that
# ends its runners: those take about the same time each time, beside some time in their queue.
OUTLIVED_TIMES = 2.0
OUTLIVED_SLACK_SECONDS = 1.0
# All nodes know of an end by then. What is sent later is one of the sends beyond the bound, what
# had been sent before is not.
KNOWN_SECONDS = 2.0
# How long after the latest end the next trial may be, by the number of ends from ``MAX_CRASHES``
# on. There is none after the last one: a request gets three sends beyond its third end. The first
# one is early, for requests that have no more than a short body in common with the one that ends
# its runners.
TRIAL_PAUSES_SECONDS = (10.0, 120.0, 1_800.0)
# Nodes may try in turn, so far apart that each hears of the trial of the one before.
TRIAL_STEP_SECONDS = 1.0
# A caller that comes once in some minutes still meets the ends of its tries before.
REMEMBER_SECONDS = 3_600.0
# Those that the request came back to are forgotten later than the others.
REMEMBER_AGAIN_SECONDS = 6 * 3_600.0
# Two names each of the requests at the largest runners (64), in a rack of them.
MAX_NAMES = 4_096
# Ends that are kept of a name, the first ones: they show when the bound was reached. Later ones are
# few, since the request is refused then.
MAX_ENDS_OF_NAME = 16


@dataclass(frozen=True, slots=True)
class CrashedRun:
    """A run that was at a runner when it ended, with times on this node's clock.

    Attributes:
        is_settled: Whether its answer had long been under way.
    """

    runner_id: str
    began_at: float
    ended_at: float
    is_settled: bool = False


@dataclass(slots=True)
class _Crashes:
    """The ends under one request.

    Attributes:
        runs: The runs at them, in the order of the ends.
        trials: Sends beyond the bound so far.
        tried_at: When the latest of them began.
    """

    runs: list[CrashedRun] = field(default_factory=list)
    trials: int = 0
    tried_at: float = -math.inf

    def add(self, run: CrashedRun) -> None:
        if any(known.runner_id == run.runner_id for known in self.runs):
            return
        if len(self.runs) >= MAX_ENDS_OF_NAME:
            self.runs.pop()
        self.runs.append(run)
        self.runs.sort(key=lambda known: known.ended_at)

    @property
    def ended_last(self) -> float:
        return self.runs[-1].ended_at

    @property
    def known_at(self) -> float:
        """When all nodes know of the third end, whatever it has in common with the others."""
        return self.runs[MAX_CRASHES - 1].ended_at + KNOWN_SECONDS

    def in_turn(self) -> list[CrashedRun]:
        """Return the runs at the ends that the request can have caused one by one.

        Many callers may share a request that runs at many runners at a time: that a rack of them
        ends counts once.
        """
        found: list[CrashedRun] = []
        for run in self.runs:
            if not found or run.began_at >= found[-1].ended_at - ORDER_SLACK_SECONDS:
                found.append(run)
        return found

    def is_bounded(self) -> bool:
        weights = (SETTLED_WEIGHT if run.is_settled else 1.0 for run in self.in_turn())
        return sum(weights) >= MAX_CRASHES

    def sent_late(self) -> int:
        """Return how many ends there are of runs that were sent long after the third end."""
        return sum(run.began_at > self.known_at for run in self.runs)


class CrashCounts:
    """Ends of runners by request. Bounded in number and in time."""

    def __init__(self) -> None:
        # Apart, so that requests at single ends never push out those that came back.
        self._once: OrderedDict[int, _Crashes] = OrderedDict()
        self._again: OrderedDict[int, _Crashes] = OrderedDict()
        self._cleared: OrderedDict[int, float] = OrderedDict()

    def __bool__(self) -> bool:
        """Whether any request was at an end."""
        return bool(self._once or self._again)

    def note(self, name: int, run: CrashedRun) -> None:
        """Note that a request was at work at a runner that ended."""
        if run.ended_at <= self._cleared.get(name, -math.inf):
            return
        known = self._get(name)
        crashes = known if known is not None else _Crashes()
        crashes.add(run)
        self._keep(name, crashes)

    def count(self, name: int) -> int:
        """Return how many runners ended under a request, one after the other."""
        crashes = self._get(name)
        return len(crashes.in_turn()) if crashes is not None else 0

    def is_suspect(self, name: int, now: float) -> bool:
        """Return whether requests with a name go one at a time: the next end may be the last one.

        Runners that ended together under one name are mostly a rack. If no run has set its count
        back since, what comes later is one of the sends beyond the bound.
        """
        crashes = self._get(name)
        if crashes is None:
            return False
        if len(crashes.in_turn()) >= SUSPECT_CRASHES:
            return True
        return len(crashes.runs) >= MAX_CRASHES and now > crashes.known_at

    def is_bounded(self, name: int) -> bool:
        """Return whether a request has had the ends that it may have."""
        crashes = self._get(name)
        return crashes is not None and crashes.is_bounded()

    def is_outlived(self, name: int, age: float) -> bool:
        """Return whether a run of a request has gone on for longer than one that ends its runner.

        Args:
            name: The request.
            age: Seconds since the run was sent; its answer is under way.
        """
        crashes = self._get(name)
        if crashes is None:
            return False
        shortest = min(run.ended_at - run.began_at for run in crashes.runs)
        return age > OUTLIVED_TIMES * shortest + OUTLIVED_SLACK_SECONDS

    def may_try(self, name: int, rank: int, now: float, least_pause: float = 0.0) -> bool:
        """Return whether a node may send a bounded request once more.

        Args:
            name: The request.
            rank: Place of the node among all nodes, in an order that they share.
            now: Time on the node's clock.
            least_pause: Seconds after the latest end before which none may.
        """
        crashes = self._get(name)
        if crashes is None or not crashes.is_bounded():
            return True
        spent = max(crashes.sent_late(), crashes.trials)
        if spent >= len(TRIAL_PAUSES_SECONDS):
            return False
        since = max(crashes.ended_last, crashes.tried_at)
        pause = max(TRIAL_PAUSES_SECONDS[spent], least_pause)
        return now >= since + pause + rank * TRIAL_STEP_SECONDS

    def note_trial(self, name: int, now: float) -> None:
        """Note that a node sends a bounded request once more: no other one does meanwhile."""
        crashes = self._get(name)
        if crashes is None or not crashes.is_bounded():
            return
        if now >= crashes.tried_at + TRIAL_STEP_SECONDS:
            crashes.trials += 1
        crashes.tried_at = now

    def clear(self, name: int, now: float) -> bool:
        """Note that a run of a request ended with success; return whether it had been at an end."""
        found = self._once.pop(name, None) or self._again.pop(name, None)
        if found is None:
            return False
        self._cleared[name] = now
        self._cleared.move_to_end(name)
        while len(self._cleared) > MAX_NAMES:
            self._cleared.popitem(last=False)
        return True

    def take_back(self, runner_id: str) -> None:
        """Note that a runner has not ended."""
        for name, crashes in [*self._once.items(), *self._again.items()]:
            left = [run for run in crashes.runs if run.runner_id != runner_id]
            if len(left) == len(crashes.runs):
                continue
            crashes.runs = left
            self._keep(name, crashes)

    def repeated(self) -> Iterator[tuple[int, CrashedRun]]:
        """Yield the runs at the ends of requests that were at several."""
        for name, crashes in self._again.items():
            for run in crashes.runs:
                yield name, run

    def expire(self, now: float) -> None:
        """Forget what is old."""
        _drop_old(self._once, now - REMEMBER_SECONDS)
        _drop_old(self._again, now - REMEMBER_AGAIN_SECONDS)
        if not self:
            self._cleared.clear()

    def _get(self, name: int) -> _Crashes | None:
        return self._again.get(name) or self._once.get(name)

    def _keep(self, name: int, crashes: _Crashes) -> None:
        self._once.pop(name, None)
        self._again.pop(name, None)
        if not crashes.runs:
            return
        kept = self._again if len(crashes.runs) > 1 else self._once
        kept[name] = crashes
        while len(self._once) + len(self._again) > MAX_NAMES:
            (self._once or self._again).popitem(last=False)


def _drop_old(kept: OrderedDict[int, _Crashes], before: float) -> None:
    """Drop the entries that were noted first, as far as their ends are old."""
    while kept:
        name, crashes = next(iter(kept.items()))
        if crashes.ended_last >= before:
            return
        del kept[name]
