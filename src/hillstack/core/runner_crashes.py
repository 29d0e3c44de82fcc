"""Detects requests that crash the runners on which they run.

``RunnerCrashRecord`` holds the crashes of runners that had requests, as reported by all nodes, and
classifies the requests. A request that was running when a runner crashed may be the cause and is a
suspect. A request that was then sent to another runner and was running when that runner crashed too
is probably the cause; if its probability is high enough, it is classified as fatal.

Other requests may have been present at both crashes because they were moved together. Each request
is therefore weighted by the age of its run and by the number of other requests on the runner: a
fatal request crashes its runners at about the same age each time, and long running streams are
unlikely causes. Requests are identified by the names of ``request_fingerprint``.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import combinations

from hillstack.core.run_at_crash import RunAtCrash
from hillstack.core.runner_contacts import RunnerContacts

# Retention of crashes without a fatal request. A caller's next attempt, which would crash a second
# runner, arrives within some seconds.
CRASH_RETENTION_SECONDS = 30.0
# A fatal request is refused without a run for this time after the last crash under it. A caller
# whose request was classified wrongly, or has been fixed, waits no longer than that.
FATAL_REFUSAL_SECONDS = 60.0
# Retention of crashes with a fatal request. After ``FATAL_REFUSAL_SECONDS`` the request may run
# again as a suspect, and one further crash makes it fatal again, so that it crashes at most one
# runner per minute.
FATAL_CRASH_RETENTION_SECONDS = 300.0
# Maximum number of recorded crashes: a rack of runners twice. The oldest are dropped first.
MAX_RECORDED_CRASHES = 64
# Maximum number of runs recorded for a crash: twice the slots of the largest observed runners (64).
MAX_RUNS_PER_CRASH = 128
# Maximum number of cleared fingerprints. They are stored so that runs of these requests which peers
# report late are not added to a recorded crash again.
MAX_CLEARED_REQUESTS = 1_024
# Weight of each request that is counted but not identified, since its node has not reported it yet.
UNIDENTIFIED_WEIGHT = 0.3
# Weight of the runner itself as the cause of its crash: half of that of a run that has just begun.
RUNNER_WEIGHT = 0.5
# Tolerance for the order of events that peers report: the latency of a notice, some milliseconds.
ORDER_SLACK_SECONDS = 0.02
# Maximum latency of a notice, between regions and with the pauses of its relays. A node dates the
# crashes that peers report too late by the latency of the report.
MAX_NOTICE_LATENCY_SECONDS = 0.1
# Score of the hypothesis that two runners crashed independently and a moved request was on both by
# coincidence. It is compared with the score of the request, the product of its shares of both
# crashes. The score of one of 24 settled streams at each crash is lower than this.
COINCIDENCE_SCORE = 0.002
# The same score where another fatal request explains one of the crashes.
COINCIDENCE_SCORE_BESIDE_FATAL = 0.05
# Added to the score for each other unexplained crash at the same time, which points to a common
# cause such as power or a switch.
COINCIDENCE_SCORE_PER_CRASH = 0.04
# Probability from which a request is fatal: as likely a cause as all others together.
FATAL_PROBABILITY = 0.5
# Number of consecutive crashes, each under a run sent after the crash before, from which a request
# is always fatal.
CERTAIN_CRASHES = 3
# This many other runners that crash within ``RACK_SECONDS`` have a common cause, such as power or a
# switch.
RACK_CRASHES = 3
RACK_SECONDS = 0.25
# Time after the last crash under a fatal request by which the other crashes of a rack have been
# reported. Reports that arrive later come from nodes whose connections stayed silent.
VERDICT_SETTLING_SECONDS = RACK_SECONDS + MAX_NOTICE_LATENCY_SECONDS


class Suspicion(enum.StrEnum):
    """The classification of a request."""

    NONE = "none"
    SUSPECT = "suspect"
    FATAL = "fatal"


@dataclass(slots=True)
class RunnerCrash:
    """The crash of a runner.

    Attributes:
        runner_id: The incarnation that crashed.
        crashed_at: Time of the crash, on this node's clock.
        running: Estimated number of requests of all nodes on the runner.
        runs: The runs that were on the runner when it crashed, by fingerprint.
        is_local: Whether this node observed the crash first, so that ``crashed_at`` does not
            include the latency of a notice.
    """

    runner_id: str
    crashed_at: float
    running: int = 0
    runs: dict[int, RunAtCrash] = field(default_factory=dict)
    is_local: bool = False
    # The latest time that a report of the crash gave, of all reports and by fingerprint. A report
    # that is earlier than contact with the runner was wrong: its node had lost only its own
    # connections. Later reports are not affected.
    _latest_reported_at: float = float("-inf")
    _reported_at: dict[int, float] = field(default_factory=dict)
    # The runs at the time of the crash that their report gave.
    _reported_runs: dict[int, RunAtCrash] = field(default_factory=dict)

    def began_at(self, fingerprint: int) -> float:
        """Return when the run of a request was sent."""
        return self.crashed_at - self.runs[fingerprint].age

    def was_reported_after(self, contact_at: float) -> bool:
        """Return whether a report gave a time of the crash after contact with the runner."""
        return self._latest_reported_at > contact_at

    def add_report(
        self, crashed_at: float, runs: Mapping[int, RunAtCrash], *, is_local: bool
    ) -> None:
        """Record the time of the crash in a report, and the runs in the report."""
        self._latest_reported_at = max(self._latest_reported_at, crashed_at)
        for fingerprint, run in runs.items():
            if fingerprint not in self._reported_runs:
                if len(self._reported_runs) >= MAX_RUNS_PER_CRASH:
                    continue
                self._reported_at[fingerprint] = crashed_at
            latest = max(self._reported_at[fingerprint], crashed_at)
            self._reported_at[fingerprint] = latest
            tolerance = 0.0 if is_local else MAX_NOTICE_LATENCY_SECONDS
            self._add_run(fingerprint, run, crashed_at, tolerance)

    def _add_run(
        self, fingerprint: int, run: RunAtCrash, reported_at: float, tolerance: float
    ) -> None:
        # Where several callers sent the same request, the oldest run counts: a fatal request
        # crashes runners at the same age each time, so the oldest run would be the cause.
        known = self._reported_runs.get(fingerprint)
        if known is None or run.age > known.age:
            self._reported_runs[fingerprint] = run
        at_crash = self._at_crash(run, reported_at, tolerance)
        known = self.runs.get(fingerprint)
        if at_crash is not None and (known is None or at_crash.age > known.age):
            self.runs[fingerprint] = at_crash

    def _at_crash(self, run: RunAtCrash, reported_at: float, tolerance: float) -> RunAtCrash | None:
        """Return a reported run at the time of the crash; None if it was sent after the crash.

        A node whose connections stay silent notices the crash late, and its runs seem older.

        Args:
            run: The run at the time of the crash in the report.
            reported_at: The time of the crash in the report.
            tolerance: Seconds by which this time may seem later than it is.
        """
        delay = reported_at - self.crashed_at
        if delay <= tolerance:
            return run
        if run.age <= delay:
            return None
        # A peer's notice dates the crash too late by its latency.
        excess = 0.0 if self.is_local else MAX_NOTICE_LATENCY_SECONDS
        return run.until(min(delay + excess, run.age))

    def remove_run(self, fingerprint: int) -> None:
        """Remove the run of a request that did not cause the crash."""
        self.runs.pop(fingerprint, None)
        self._reported_runs.pop(fingerprint, None)
        self._reported_at.pop(fingerprint, None)

    def drop_reports_until(self, contact_at: float) -> None:
        """Drop the runs that were only reported before contact with the runner."""
        for fingerprint in [f for f, at in self._reported_at.items() if at <= contact_at]:
            self.remove_run(fingerprint)
        self.crashed_at = min(self._reported_at.values(), default=self._latest_reported_at)
        reported_runs, self._reported_runs, self.runs = self._reported_runs, {}, {}
        for fingerprint, run in reported_runs.items():
            reported_at = self._reported_at[fingerprint]
            self._add_run(fingerprint, run, reported_at, MAX_NOTICE_LATENCY_SECONDS)

    def share(self, fingerprint: int) -> float:
        """Return a run's share, at most 1, of the weights of all runs and of the runner itself."""
        unknown = max(0, self.running - len(self.runs))
        total = sum(run.weight for run in self.runs.values()) + UNIDENTIFIED_WEIGHT * unknown
        total += RUNNER_WEIGHT
        return self.runs[fingerprint].weight / total


@dataclass(frozen=True, slots=True)
class FatalRequest:
    """A request that is classified as the cause of runner crashes.

    Attributes:
        runner_ids: The runners that crashed under the request, in order.
        ages: Age of the request's run at each crash, in seconds.
        share: Probability that the request is the cause; 1 if it is certain.
    """

    fingerprint: int
    runner_ids: tuple[str, ...]
    ages: tuple[float, ...]
    share: float


class RunnerCrashRecord:
    """Runner crashes and the requests that were running, bounded in number and in age.

    Attributes:
        contacts: Contacts with the runners that seemed to crash.
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, RunnerCrash] = OrderedDict()
        self._cleared: OrderedDict[int, float] = OrderedDict()
        self.contacts = RunnerContacts()
        self._fatal: dict[int, FatalRequest] = {}
        # Verdicts that later reports of their crashes do not undo.
        self._settled_verdicts: dict[int, FatalRequest] = {}
        self._suspects: set[int] = set()
        self._explained_by_parts: frozenset[str] = frozenset()
        self._is_classified = True

    def __bool__(self) -> bool:
        return bool(self._crashes)

    def crashes(self) -> list[RunnerCrash]:
        """Return all crashes in the order in which they were recorded."""
        return list(self._crashes.values())

    def get(self, runner_id: str) -> RunnerCrash | None:
        """Return the crash of a runner, or None if none is recorded."""
        return self._crashes.get(runner_id)

    def set_explained_by_parts(self, runner_ids: frozenset[str]) -> None:
        """Set the runners whose crash a prompt part explains; their runs are no suspects."""
        if runner_ids != self._explained_by_parts:
            self._explained_by_parts = runner_ids
            self._is_classified = False

    def fatal(self) -> Mapping[int, FatalRequest]:
        """Return the fatal requests by fingerprint."""
        self._reclassify()
        return self._fatal

    def suspects(self) -> set[int]:
        """Return the suspects that are not fatal."""
        self._reclassify()
        return self._suspects

    def suspicion(self, fingerprint: int, now: float) -> Suspicion:
        """Return the classification of a request."""
        self._reclassify()
        if fingerprint in self._fatal:
            is_refused = now - self.last_crash_under(fingerprint) < FATAL_REFUSAL_SECONDS
            return Suspicion.FATAL if is_refused else Suspicion.SUSPECT
        return Suspicion.SUSPECT if fingerprint in self._suspects else Suspicion.NONE

    def rank(self, fingerprint: int) -> int | None:
        """Return the rank of a suspect or fatal request, on which all nodes agree, else None."""
        self._reclassify()
        if fingerprint not in self._suspects and fingerprint not in self._fatal:
            return None
        return self.place(fingerprint)

    def place(self, fingerprint: int) -> int:
        """Return the rank that a request has, or would have, among the suspects."""
        return sum(1 for other in self.suspects() if other < fingerprint)

    def last_crash_under(self, fingerprint: int) -> float:
        """Return when the last runner crashed under a request."""
        crashes = [
            crash.crashed_at for crash in self._crashes.values() if fingerprint in crash.runs
        ]
        return max(crashes, default=float("-inf"))

    def record_crash(
        self,
        runner_id: str,
        crashed_at: float,
        runs: Mapping[int, RunAtCrash],
        now: float,
        running: int = 0,
        *,
        is_local: bool = False,
    ) -> None:
        """Record a runner's crash, or add further requests to a recorded crash.

        Args:
            runner_id: The incarnation that crashed.
            crashed_at: Time of the crash, on this node's clock.
            runs: Requests that were running on it.
            now: Time on this node's clock.
            running: Estimated number of requests of all nodes on it.
            is_local: Whether this node observed the crash itself.
        """
        if self.was_contacted_after(runner_id, crashed_at):
            return
        if now - crashed_at >= FATAL_CRASH_RETENTION_SECONDS:
            return
        self._settle_verdicts(now)
        self.contacts.forget_survival(runner_id)
        crash = self._crashes.get(runner_id)
        if crash is None:
            crash = RunnerCrash(runner_id, crashed_at, is_local=is_local)
            self._crashes[runner_id] = crash
        crash.running = max(crash.running, running)
        not_cleared = self._not_cleared(runs, crash.crashed_at)
        crash.add_report(crashed_at, not_cleared, is_local=is_local)
        while len(self._crashes) > MAX_RECORDED_CRASHES:
            self._crashes.popitem(last=False)
        self._is_classified = False

    def was_contacted_after(self, runner_id: str, crashed_at: float) -> bool:
        """Return whether the runner was in contact after its supposed crash."""
        return crashed_at <= self.contacts.latest(runner_id)

    def has_survived(self, runner_id: str) -> bool:
        """Return whether the latest reported crash of a runner was refuted by contact."""
        return self.contacts.has_survived(runner_id)

    def record_contact(self, runner_id: str, contact_at: float) -> bool:
        """Record contact with a runner; return whether it refutes a report of the crash.

        The crash is dropped unless it was reported again for a time after the contact.
        """
        self.contacts.record(runner_id, contact_at)
        crash = self._crashes.get(runner_id)
        if crash is None or crash.crashed_at > contact_at:
            return False
        if crash.was_reported_after(contact_at):
            crash.drop_reports_until(contact_at)
        else:
            del self._crashes[runner_id]
            self.contacts.record_survival(runner_id, contact_at)
        self._is_classified = False
        return True

    def clear(self, fingerprint: int, now: float) -> list[str]:
        """Clear a request after a successful run; return the runners that had crashed under it."""
        runner_ids = [
            crash.runner_id for crash in self._crashes.values() if fingerprint in crash.runs
        ]
        if not runner_ids:
            return []
        self._cleared[fingerprint] = now
        self._cleared.move_to_end(fingerprint)
        while len(self._cleared) > MAX_CLEARED_REQUESTS:
            self._cleared.popitem(last=False)
        for runner_id in runner_ids:
            self._crashes[runner_id].remove_run(fingerprint)
        self._is_classified = False
        return runner_ids

    def expire(self, now: float) -> None:
        """Drop old crashes; crashes under fatal requests are retained longer than the others."""
        if not self._crashes:
            return
        self._reclassify()
        evidence = {runner_id for fatal in self._fatal.values() for runner_id in fatal.runner_ids}
        old = [
            crash.runner_id
            for crash in self._crashes.values()
            if now - crash.crashed_at
            >= (
                FATAL_CRASH_RETENTION_SECONDS
                if crash.runner_id in evidence
                else CRASH_RETENTION_SECONDS
            )
        ]
        for runner_id in old:
            del self._crashes[runner_id]
        if old:
            self._is_classified = False
        if not self._crashes:
            self._cleared.clear()

    def _not_cleared(
        self, runs: Mapping[int, RunAtCrash], crashed_at: float
    ) -> dict[int, RunAtCrash]:
        """Return the runs of requests that have not been cleared since a crash."""
        return {
            fingerprint: run
            for fingerprint, run in runs.items()
            if self._cleared.get(fingerprint, float("-inf")) < crashed_at
        }

    def _settle_verdicts(self, now: float) -> None:
        """Settle the verdicts on requests whose last crash all nodes should have reported."""
        self._reclassify()
        for fingerprint, found in self._fatal.items():
            if now >= self._last_crash_of(found) + VERDICT_SETTLING_SECONDS:
                self._settled_verdicts[fingerprint] = found

    def _last_crash_of(self, found: FatalRequest) -> float:
        return max(self._crashes[runner_id].crashed_at for runner_id in found.runner_ids)

    def _is_refuted(self, found: FatalRequest, explained: set[str]) -> bool:
        """Return whether a verdict has lost its evidence, or another one explains its crashes."""
        crashes = [self._crashes.get(runner_id) for runner_id in found.runner_ids]
        if any(crash is None or found.fingerprint not in crash.runs for crash in crashes):
            return True
        return explained.issuperset(found.runner_ids)

    def _keep_settled_verdicts(self, explained: set[str]) -> None:
        """Keep the settled verdicts that a new classification lacks, unless they are refuted."""
        self._settled_verdicts = {
            fingerprint: found
            for fingerprint, found in self._settled_verdicts.items()
            if fingerprint in self._fatal or not self._is_refuted(found, explained)
        }
        for fingerprint, found in self._settled_verdicts.items():
            if fingerprint not in self._fatal:
                self._fatal[fingerprint] = found
                explained.update(found.runner_ids)

    def _reclassify(self) -> None:
        """Classify the requests again if the record has changed since the last classification."""
        if self._is_classified:
            return
        self._is_classified = True
        self._fatal = {}
        explained = set(self._explained_by_parts)
        repeated = self._repeated()
        while repeated:
            findings = [self._find_cause(fingerprint, explained) for fingerprint in repeated]
            best = max(findings, key=lambda fatal: (fatal.share, fatal.fingerprint))
            if best.share < FATAL_PROBABILITY:
                break
            self._fatal[best.fingerprint] = best
            explained.update(best.runner_ids)
            repeated.discard(best.fingerprint)
        self._keep_settled_verdicts(explained)
        self._suspects = set()
        for crash in self._crashes.values():
            if crash.runner_id not in explained:
                self._suspects |= self._suspects_of(crash)

    def _suspects_of(self, crash: RunnerCrash) -> set[int]:
        simultaneous = self._simultaneous(crash)
        return {
            fingerprint
            for fingerprint, run in crash.runs.items()
            if not run.is_settled
            and fingerprint not in self._fatal
            and not _has_common_cause(simultaneous, fingerprint)
        }

    def _repeated(self) -> set[int]:
        """Return the requests that were running at two or more crashes."""
        seen: set[int] = set()
        repeated: set[int] = set()
        for crash in self._crashes.values():
            repeated.update(seen & crash.runs.keys())
            seen.update(crash.runs)
        return repeated

    def _find_cause(self, fingerprint: int, explained: set[str]) -> FatalRequest:
        """Return the crashes for which a request is the most likely cause, with the probability."""
        crashes = [
            crash
            for crash in self._crashes.values()
            if fingerprint in crash.runs
            and not _has_common_cause(self._simultaneous(crash), fingerprint)
        ]
        crashes.sort(key=lambda crash: crash.crashed_at)
        unexplained = [crash for crash in crashes if crash.runner_id not in explained]
        if _count_sequential(unexplained, fingerprint) >= CERTAIN_CRASHES:
            return _fatal_request(fingerprint, unexplained, 1.0)
        best = _fatal_request(fingerprint, [], 0.0)
        for first, second in combinations(crashes, 2):
            share = self._pair_share(fingerprint, first, second, explained)
            if share > best.share:
                best = _fatal_request(fingerprint, [first, second], share)
        return best

    def _simultaneous(self, crash: RunnerCrash) -> list[RunnerCrash]:
        """Return the crashes of other runners at the same time."""
        return [
            other
            for other in self._crashes.values()
            if other is not crash and abs(other.crashed_at - crash.crashed_at) <= RACK_SECONDS
        ]

    def _unexplained_simultaneous(
        self, crash: RunnerCrash, fingerprint: int, explained: set[str]
    ) -> int:
        """Return the number of unexplained crashes at the same time without the request."""
        return sum(
            fingerprint not in other.runs and other.runner_id not in explained
            for other in self._simultaneous(crash)
        )

    def _pair_share(
        self, fingerprint: int, first: RunnerCrash, second: RunnerCrash, explained: set[str]
    ) -> float:
        """Return the probability that a request crashed two runners.

        The alternatives are the other requests on both runners, and coincidence.
        """
        explained_crashes = (first.runner_id in explained) + (second.runner_id in explained)
        if explained_crashes == 2 or not _is_sequential(fingerprint, first, second):
            return 0.0
        scores = {
            other: _pair_score(other, first, second)
            for other in first.runs.keys() & second.runs.keys()
            if _is_sequential(other, first, second)
        }
        coincidence = COINCIDENCE_SCORE_BESIDE_FATAL if explained_crashes else COINCIDENCE_SCORE
        unexplained = max(
            self._unexplained_simultaneous(crash, fingerprint, explained)
            for crash in (first, second)
        )
        coincidence += COINCIDENCE_SCORE_PER_CRASH * unexplained
        return scores[fingerprint] / (sum(scores.values()) + coincidence)


def _has_common_cause(simultaneous: list[RunnerCrash], fingerprint: int) -> bool:
    """Return whether so many runners crashed at the same time that a common cause is likely.

    Runners with the request itself do not count, since the request may have crashed them.
    """
    others = 0
    for crash in simultaneous:
        others += fingerprint not in crash.runs
        if others >= RACK_CRASHES:
            return True
    return False


def _fatal_request(fingerprint: int, crashes: Iterable[RunnerCrash], share: float) -> FatalRequest:
    at = list(crashes)
    runner_ids = tuple(crash.runner_id for crash in at)
    ages = tuple(round(crash.runs[fingerprint].age, 3) for crash in at)
    return FatalRequest(fingerprint, runner_ids, ages, share)


def _pair_score(fingerprint: int, first: RunnerCrash, second: RunnerCrash) -> float:
    similarity = first.runs[fingerprint].similarity(second.runs[fingerprint])
    return first.share(fingerprint) * second.share(fingerprint) * similarity


def _is_sequential(fingerprint: int, first: RunnerCrash, second: RunnerCrash) -> bool:
    """Return whether a request was sent to the second runner after the first had crashed.

    Many callers may send the same request to many runners at the same time. If these runners crash,
    that is no evidence against the request.
    """
    is_dated_late = second.is_local and not first.is_local
    slack = MAX_NOTICE_LATENCY_SECONDS if is_dated_late else ORDER_SLACK_SECONDS
    return second.began_at(fingerprint) >= first.crashed_at - slack


def _count_sequential(crashes: list[RunnerCrash], fingerprint: int) -> int:
    """Return how many of the crashes, in order, a request can have caused one after another."""
    count = 0
    last: RunnerCrash | None = None
    for crash in crashes:
        if last is None or _is_sequential(fingerprint, last, crash):
            count += 1
            last = crash
    return count
