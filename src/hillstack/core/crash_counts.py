"""Counts the runners that crashed one after another while each request ran on them.

``RunnerCrashRecord`` estimates which request caused a crash, and can be wrong when many requests
run on many crashed runners. This count ignores other possible causes: it bounds the number of
runners that any single request can crash. It is reset by a successful answer, or by a run that
continues beyond the age at which the earlier runs crashed (``CrashCounts.has_survived``). A crash
is removed if its runner proves to be running still, and a count expires 1 hour after a single crash
or 6 hours after the latest of several. A request is counted under both names of
``request_fingerprint``: where an innocent request shares the content name and resets that count,
the count of the fingerprint remains.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from hillstack.core.run_at_crash import RunAtCrash
from hillstack.core.runner_crashes import ORDER_SLACK_SECONDS

# Crashes under one content name from which a request with that name is a suspect, even if no crash
# is recorded for its fingerprint. With 1, all requests with the same short body would become
# suspects.
MIN_SUSPECT_CRASHES = 2
# Sum of the weights of a request's crashes from which it is refused, except for single trials.
MAX_CRASHES = 3
# Weight of a crash long after the answer had begun. A request that crashes runners usually does so
# at its start, while long streams that are moved between runners are present at unrelated crashes.
# If all crashes are late, the sixth one reaches the bound. The request has no trials left then,
# since the fourth to sixth run, if sent after the third crash was known, count as sends beyond the
# bound.
LATE_CRASH_WEIGHT = 0.5
# A run has survived once its age exceeds this multiple of the shortest age of the request's crashed
# runs, plus the slack: a request crashes its runners at about the same age each time, apart from
# its time in the queue.
SURVIVED_AGE_FACTOR = 2.0
SURVIVED_SLACK_SECONDS = 1.0
# Time after which all nodes have been notified of a crash. Only sends after that time count as
# sends beyond the bound.
PROPAGATION_SECONDS = 2.0
# Pauses before the first, second and third trial of a request that has reached the bound, counted
# from the latest crash or trial. The index is the number of sends beyond the bound so far: the
# trials, or the crashed runs that were sent after the third crash was known, if these are more.
# There is no fourth trial. The first trial is early, for requests that share only a short body with
# the request that crashes runners.
TRIAL_PAUSES_SECONDS = (10.0, 120.0, 1_800.0)
# Interval between the trials of successive nodes, so that each node is notified of the trial of the
# node before it.
TRIAL_INTERVAL_SECONDS = 1.0
# Retention of requests with one crash: a caller that retries once in some minutes must still be
# matched with the crashes of its earlier attempts.
SINGLE_RETENTION_SECONDS = 3_600.0
# Retention of requests with several crashes.
REPEATED_RETENTION_SECONDS = 6 * 3_600.0
# Two names for each of the requests on the largest runners (64 requests), for a rack of 32 runners.
MAX_NAMES = 4_096
# Crashes stored for a name. The first ones are retained, since they show when the bound was
# reached; later crashes are few, since the request is then refused.
MAX_RUNS_PER_NAME = 16


@dataclass(frozen=True, slots=True)
class CrashedRun:
    """A run of a request on a runner that crashed, with times on this node's clock.

    Attributes:
        began_at: When the request was sent to the runner.
        crashed_at: When the runner crashed.
        is_settled: Whether the answer had been under way for long.
        latest_reported_at: The latest time of the crash in any report; None if there is only one.
    """

    runner_id: str
    began_at: float
    crashed_at: float
    is_settled: bool = False
    latest_reported_at: float | None = None

    @classmethod
    def of(cls, runner_id: str, crashed_at: float, run: RunAtCrash) -> CrashedRun:
        """Return the run of a request on a runner that crashed at this time."""
        return cls(runner_id, crashed_at - run.age, crashed_at, run.is_settled)

    def reported_again(self, crashed_at: float) -> CrashedRun:
        """Return the run after a further report of the crash."""
        latest = self.crashed_at if self.latest_reported_at is None else self.latest_reported_at
        return replace(self, latest_reported_at=max(latest, crashed_at))

    def after_contact(self, contact_at: float) -> CrashedRun | None:
        """Return the run after contact with the runner, which refutes earlier reports.

        None if all reports are refuted.
        """
        if self.crashed_at > contact_at:
            return self
        if self.latest_reported_at is None or self.latest_reported_at <= contact_at:
            return None
        return replace(self, crashed_at=self.latest_reported_at)


@dataclass(slots=True)
class _Crashes:
    """The crashes of runners under one request.

    Attributes:
        runs: The crashed runs, in the order of the crashes.
        trials: Number of sends beyond the bound so far.
        last_trial_at: When the latest send beyond the bound began.
    """

    runs: list[CrashedRun] = field(default_factory=list)
    trials: int = 0
    last_trial_at: float = -math.inf

    def add(self, run: CrashedRun) -> None:
        for place, known in enumerate(self.runs):
            if known.runner_id == run.runner_id:
                self.runs[place] = known.reported_again(run.crashed_at)
                return
        if len(self.runs) >= MAX_RUNS_PER_NAME:
            self.runs.pop()
        self.runs.append(run)
        self.runs.sort(key=lambda known: known.crashed_at)

    @property
    def last_crash_at(self) -> float:
        return self.runs[-1].crashed_at

    @property
    def third_crash_known_at(self) -> float:
        """When all nodes know of the third crash, counting simultaneous crashes separately."""
        return self.runs[MAX_CRASHES - 1].crashed_at + PROPAGATION_SECONDS

    def sequential_runs(self) -> list[CrashedRun]:
        """Return the crashed runs that began after the crash of the run before them.

        Only these can have been caused one after another. Callers may send the same request to many
        runners at the same time; the failure of a rack of these runners counts once.
        """
        found: list[CrashedRun] = []
        for run in self.runs:
            if not found or run.began_at >= found[-1].crashed_at - ORDER_SLACK_SECONDS:
                found.append(run)
        return found

    def has_reached_bound(self) -> bool:
        weights = (LATE_CRASH_WEIGHT if run.is_settled else 1.0 for run in self.sequential_runs())
        return sum(weights) >= MAX_CRASHES

    def sends_beyond_bound(self) -> int:
        """Return how many crashed runs were sent after all nodes knew of the third crash."""
        return sum(run.began_at > self.third_crash_known_at for run in self.runs)


class CrashCounts:
    """Runner crashes by request, bounded in number and in age."""

    def __init__(self) -> None:
        # Requests with one crash and with several are stored separately, so that the former never
        # evict the latter.
        self._single: OrderedDict[int, _Crashes] = OrderedDict()
        self._repeated: OrderedDict[int, _Crashes] = OrderedDict()
        self._cleared: OrderedDict[int, float] = OrderedDict()
        self._explained: frozenset[str] = frozenset()

    def set_explained_by_parts(self, runner_ids: frozenset[str]) -> None:
        """Set the runners whose crash a prompt part explains; they count for no request."""
        self._explained = runner_ids

    def __bool__(self) -> bool:
        """Return whether a crash is recorded for any request."""
        return bool(self._single or self._repeated)

    def note(self, name: int, run: CrashedRun) -> None:
        """Record that a request was running on a runner that crashed."""
        if run.crashed_at <= self._cleared.get(name, -math.inf):
            return
        known = self._get(name)
        crashes = known if known is not None else _Crashes()
        crashes.add(run)
        self._store(name, crashes)

    def count(self, name: int) -> int:
        """Return how many runners crashed under a request, one after another."""
        crashes = self._unexplained(name)
        return len(crashes.sequential_runs()) if crashes is not None else 0

    def is_suspect(self, name: int, now: float) -> bool:
        """Return whether requests with a name must run one at a time.

        Runners that crash together under one name usually belong to one rack and count once. But if
        MAX_CRASHES of them crashed and no successful run has reset the count since, any later run
        is a send beyond the bound.
        """
        crashes = self._unexplained(name)
        if crashes is None:
            return False
        if len(crashes.sequential_runs()) >= MIN_SUSPECT_CRASHES:
            return True
        return len(crashes.runs) >= MAX_CRASHES and now > crashes.third_crash_known_at

    def has_reached_bound(self, name: int) -> bool:
        """Return whether a request has reached the bound of crashes."""
        crashes = self._unexplained(name)
        return crashes is not None and crashes.has_reached_bound()

    def has_survived(self, name: int, age: float) -> bool:
        """Return whether a run has survived the age at which its request crashes runners.

        Args:
            name: Name of the request.
            age: Seconds since the run was sent; its answer has begun.
        """
        crashes = self._get(name)
        if crashes is None:
            return False
        shortest = min(run.crashed_at - run.began_at for run in crashes.runs)
        return age > SURVIVED_AGE_FACTOR * shortest + SURVIVED_SLACK_SECONDS

    def may_try(self, name: int, rank: int, now: float, min_pause: float = 0.0) -> bool:
        """Return whether a node may send a request that has reached the bound once more.

        Args:
            name: Name of the request.
            rank: Position of the node in an order that all nodes agree on.
            now: Time on the node's clock.
            min_pause: Minimum seconds between the latest crash and a trial.
        """
        crashes = self._unexplained(name)
        if crashes is None or not crashes.has_reached_bound():
            return True
        spent = max(crashes.sends_beyond_bound(), crashes.trials)
        if spent >= len(TRIAL_PAUSES_SECONDS):
            return False
        since = max(crashes.last_crash_at, crashes.last_trial_at)
        pause = max(TRIAL_PAUSES_SECONDS[spent], min_pause)
        return now >= since + pause + rank * TRIAL_INTERVAL_SECONDS

    def record_trial(self, name: int, now: float) -> None:
        """Record a trial of a request that has reached the bound.

        Other nodes wait for the next pause, so that only one node sends the request.
        """
        crashes = self._get(name)
        if crashes is None or not crashes.has_reached_bound():
            return
        if now >= crashes.last_trial_at + TRIAL_INTERVAL_SECONDS:
            crashes.trials += 1
        crashes.last_trial_at = now

    def clear(self, name: int, now: float) -> bool:
        """Reset the count of a request after a successful run; return whether it had one."""
        found = self._single.pop(name, None) or self._repeated.pop(name, None)
        if found is None:
            return False
        self._cleared[name] = now
        self._cleared.move_to_end(name)
        while len(self._cleared) > MAX_NAMES:
            self._cleared.popitem(last=False)
        return True

    def retract(self, runner_id: str, contact_at: float = math.inf) -> None:
        """Remove a runner's crash from all requests: the runner did not crash.

        Args:
            runner_id: The runner.
            contact_at: When the runner was last in contact; reports of a later crash stay.
        """
        for name, crashes in [*self._single.items(), *self._repeated.items()]:
            if all(run.runner_id != runner_id for run in crashes.runs):
                continue
            left = (
                run if run.runner_id != runner_id else run.after_contact(contact_at)
                for run in crashes.runs
            )
            crashes.runs = sorted(
                (run for run in left if run is not None), key=lambda run: run.crashed_at
            )
            self._store(name, crashes)

    def repeated(self) -> Iterator[tuple[int, CrashedRun]]:
        """Yield name and crashed run for all runs of requests with several crashes."""
        for name, crashes in self._repeated.items():
            for run in crashes.runs:
                yield name, run

    def expire(self, now: float) -> None:
        """Drop requests whose latest crash is older than the retention time."""
        _drop_older_than(self._single, now - SINGLE_RETENTION_SECONDS)
        _drop_older_than(self._repeated, now - REPEATED_RETENTION_SECONDS)
        if not self:
            self._cleared.clear()

    def _get(self, name: int) -> _Crashes | None:
        return self._repeated.get(name) or self._single.get(name)

    def _unexplained(self, name: int) -> _Crashes | None:
        """Return the crashes under a request that no prompt part explains; None without any."""
        crashes = self._get(name)
        if crashes is None or self._explained.isdisjoint(run.runner_id for run in crashes.runs):
            return crashes
        runs = [run for run in crashes.runs if run.runner_id not in self._explained]
        return replace(crashes, runs=runs) if runs else None

    def _store(self, name: int, crashes: _Crashes) -> None:
        self._single.pop(name, None)
        self._repeated.pop(name, None)
        if not crashes.runs:
            return
        entries = self._repeated if len(crashes.runs) > 1 else self._single
        entries[name] = crashes
        while len(self._single) + len(self._repeated) > MAX_NAMES:
            (self._single or self._repeated).popitem(last=False)


def _drop_older_than(entries: OrderedDict[int, _Crashes], before: float) -> None:
    """Drop the entries inserted first while their latest crash is older than ``before``."""
    while entries:
        name, crashes = next(iter(entries.items()))
        if crashes.last_crash_at >= before:
            return
        del entries[name]
