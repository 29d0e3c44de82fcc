"""Which requests end the runners that work on them.

A record of runners that ended while they had requests, from all nodes, and what follows for the
requests that were there. One that is at work when a runner ends may be the cause; one that begins
at another runner afterwards and is there when that one ends too most likely is. Others may have
been at both by chance, moved there together, so each is weighed by how young its run was (a run
that ends its runner does so at about the same age each time, long running streams did not), and by
how many others were there. Names of requests are those of ``request_fingerprint``.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import combinations

# An end is forgotten after this time if no fatal request was found at it: a caller's next try,
# which would end a second runner, comes within some seconds.
END_SECONDS = 30.0
# How long after the last end under it a fatal request is refused without a run: a caller that is
# blamed falsely, or whose request has been repaired, waits a minute.
FATAL_SECONDS = 60.0
# After ``FATAL_SECONDS`` it may run again as a suspect; one further end makes it fatal again, so it
# takes at most one runner a minute. After this time since an end, the end itself is forgotten.
EVIDENCE_SECONDS = 300.0
# A rack of runners and as many again; the oldest are forgotten first.
MAX_ENDS = 64
# Places of the largest runners seen (64), twice.
MAX_REQUESTS_AT_END = 128
# Cleared fingerprints that are remembered: each was at some recorded end, so that runs which peers
# tell of later are not added to that end again.
MAX_CLEARED = 1_024
# A run whose answer has been under way for that long is not likely to be the cause: if its runner
# ends, it goes on elsewhere without restriction. Four times the age at which fatal runs were seen
# to end their runners.
SETTLED_SECONDS = 0.5
# Weight of a run that has just settled; one that has not settled weighs 1. It falls with the age of
# the answer, down to the least weight: a request that ends runners late must be found in the end.
SETTLED_WEIGHT = 0.2
LEAST_WEIGHT = 0.02
# Weight of each request of which only the number is known: its node has not named it yet.
UNKNOWN_WEIGHT = 0.3
# Weight of the runner itself as the cause of its end: half of a run that has just begun.
RUNNER_WEIGHT = 0.5
# Added to both ages before they are compared: runs wait in their runner's queue for some time, so
# a difference of this size says nothing.
AGE_SLACK_SECONDS = 0.1
# A peer's times are known to within the way of its notice, some milliseconds.
ORDER_SLACK_SECONDS = 0.02
# Score of chance: that two runners ended by themselves while a request that was moved happened to
# be at both. Compared with the score of the request, the product of its shares at both ends: that
# of one out of 24 settled streams at each end is less.
CHANCE = 0.002
# The same where another request explains one of the ends: two fatal ones at work at a time.
CHANCE_BESIDE_FATAL = 0.05
# Added for each other runner that ended at the same moment and is not explained: power, a switch.
CHANCE_BESIDE_END = 0.04
# From this probability on a request is fatal: as likely a cause as all else together.
FATAL_SHARE = 0.5
# Runs that began one after the other's end under which a request is fatal in any case.
SURE_ENDS = 3
# So many other runners that end within ``RACK_SECONDS`` have a common cause: power, a switch.
RACK_ENDS = 3
RACK_SECONDS = 0.25


class Suspicion(enum.StrEnum):
    """What is held of a request."""

    NONE = "none"
    SUSPECT = "suspect"
    FATAL = "fatal"


@dataclass(frozen=True, slots=True)
class RunAtEnd:
    """A run that was at a runner when it ended.

    Attributes:
        age: Seconds since it was sent there.
        answering: Seconds since the first bytes of its answer; None before them.
        content: The request's content name; 0 if it is not known.
    """

    age: float
    answering: float | None = None
    content: int = 0

    @property
    def weight(self) -> float:
        """How much it is suspected beside others that were there."""
        if not self.is_settled:
            return 1.0
        assert self.answering is not None
        return max(LEAST_WEIGHT, SETTLED_WEIGHT * SETTLED_SECONDS / self.answering)

    @property
    def is_settled(self) -> bool:
        """Whether it had run for so long that it is hardly the cause."""
        return self.answering is not None and self.answering > SETTLED_SECONDS

    def likeness(self, other: RunAtEnd) -> float:
        """Return how much alike two runs were in age when their runners ended, up to 1."""
        if self.answering is not None and other.answering is not None:
            own, others = self.answering, other.answering
        else:
            own, others = self.age, other.age
        low, high = sorted((own + AGE_SLACK_SECONDS, others + AGE_SLACK_SECONDS))
        return low / high


@dataclass(slots=True)
class RunnerEnd:
    """The end of a runner.

    Attributes:
        ended_at: On this node's clock.
        running: Number of requests that all nodes together are believed to have had there.
        runs: The runs that were there, as far as told, by fingerprint.
    """

    runner_id: str
    ended_at: float
    running: int = 0
    runs: dict[int, RunAtEnd] = field(default_factory=dict)

    def began_at(self, fingerprint: int) -> float:
        """Return when a run there was sent."""
        return self.ended_at - self.runs[fingerprint].age

    def share(self, fingerprint: int) -> float:
        """Return a run's part, up to 1, of the weights of all there and of the runner itself."""
        unknown = max(0, self.running - len(self.runs))
        total = sum(run.weight for run in self.runs.values()) + UNKNOWN_WEIGHT * unknown
        total += RUNNER_WEIGHT
        return self.runs[fingerprint].weight / total


@dataclass(frozen=True, slots=True)
class FatalRequest:
    """A request that is held to have ended runners.

    Attributes:
        runner_ids: Runners at whose end it was, in order.
        ages: Seconds for which it had been there.
        share: How likely it is the cause, beside what else was there; 1 if it is sure.
    """

    fingerprint: int
    runner_ids: tuple[str, ...]
    ages: tuple[float, ...]
    share: float


class RunnerEndRecord:
    """Ends of runners and the requests that were there. Bounded in number and in time."""

    def __init__(self) -> None:
        self._ends: OrderedDict[str, RunnerEnd] = OrderedDict()
        self._cleared: OrderedDict[int, float] = OrderedDict()
        self._taken_back: OrderedDict[str, float] = OrderedDict()
        self._fatal: dict[int, FatalRequest] = {}
        self._suspects: set[int] = set()
        self._is_up_to_date = True

    def __bool__(self) -> bool:
        return bool(self._ends)

    def ends(self) -> list[RunnerEnd]:
        """Return all ends, the oldest first."""
        return list(self._ends.values())

    def get(self, runner_id: str) -> RunnerEnd | None:
        """Return the end of a runner, or None if it is not known to have ended."""
        return self._ends.get(runner_id)

    def fatal(self) -> Mapping[int, FatalRequest]:
        """Return the fatal requests by fingerprint."""
        self._bring_up_to_date()
        return self._fatal

    def suspects(self) -> set[int]:
        """Return the suspects that are not fatal."""
        self._bring_up_to_date()
        return self._suspects

    def suspicion(self, fingerprint: int, now: float) -> Suspicion:
        """Return what is held of a request."""
        self._bring_up_to_date()
        if fingerprint in self._fatal:
            is_held = now - self.ended_last_under(fingerprint) < FATAL_SECONDS
            return Suspicion.FATAL if is_held else Suspicion.SUSPECT
        return Suspicion.SUSPECT if fingerprint in self._suspects else Suspicion.NONE

    def rank(self, fingerprint: int) -> int | None:
        """Return the place of a request among the suspects, on which all nodes agree; else None."""
        self._bring_up_to_date()
        if fingerprint not in self._suspects and fingerprint not in self._fatal:
            return None
        return self.place(fingerprint)

    def place(self, fingerprint: int) -> int:
        """Return the place that a request has, or would have, among the suspects."""
        return sum(1 for other in self.suspects() if other < fingerprint)

    def ended_last_under(self, fingerprint: int) -> float:
        """Return when the last runner ended under a request."""
        ends = [end.ended_at for end in self._ends.values() if fingerprint in end.runs]
        return max(ends, default=float("-inf"))

    def note_end(
        self,
        runner_id: str,
        ended_at: float,
        runs: Mapping[int, RunAtEnd],
        now: float,
        running: int = 0,
    ) -> None:
        """Note that a runner ended, or that further requests were there.

        Args:
            runner_id: The incarnation.
            ended_at: When, on this node's clock.
            runs: Requests that were there.
            now: Time on this node's clock.
            running: Requests believed to be there, of all nodes.
        """
        if self.was_heard_after(runner_id, ended_at):
            return
        if now - ended_at >= EVIDENCE_SECONDS:
            return
        end = self._ends.get(runner_id)
        if end is None:
            end = self._ends[runner_id] = RunnerEnd(runner_id, ended_at)
        end.running = max(end.running, running)
        for fingerprint, run in runs.items():
            self._add_run(end, fingerprint, run)
        while len(self._ends) > MAX_ENDS:
            self._ends.popitem(last=False)
        self._is_up_to_date = False

    def was_heard_after(self, runner_id: str, ended_at: float) -> bool:
        """Return whether a runner was heard after it seemed to have ended."""
        return ended_at <= self._taken_back.get(runner_id, float("-inf"))

    def take_back(self, runner_id: str, heard_at: float) -> bool:
        """Note that a runner was heard; return whether a recorded end of it was dropped."""
        known = self._taken_back.get(runner_id, float("-inf"))
        self._taken_back[runner_id] = max(known, heard_at)
        self._taken_back.move_to_end(runner_id)
        while len(self._taken_back) > MAX_ENDS:
            self._taken_back.popitem(last=False)
        end = self._ends.get(runner_id)
        if end is None or end.ended_at > heard_at:
            return False
        del self._ends[runner_id]
        self._is_up_to_date = False
        return True

    def clear(self, fingerprint: int, now: float) -> list[str]:
        """Note that a run of a request ended well; return the runners at whose ends it had been."""
        runner_ids = [end.runner_id for end in self._ends.values() if fingerprint in end.runs]
        if not runner_ids:
            return []
        self._cleared[fingerprint] = now
        self._cleared.move_to_end(fingerprint)
        while len(self._cleared) > MAX_CLEARED:
            self._cleared.popitem(last=False)
        for runner_id in runner_ids:
            del self._ends[runner_id].runs[fingerprint]
        self._is_up_to_date = False
        return runner_ids

    def expire(self, now: float) -> None:
        """Forget what is old: the ends under fatal requests later than the others."""
        if not self._ends:
            return
        self._bring_up_to_date()
        evidence = {runner_id for found in self._fatal.values() for runner_id in found.runner_ids}
        old = [
            end.runner_id
            for end in self._ends.values()
            if now - end.ended_at
            >= (EVIDENCE_SECONDS if end.runner_id in evidence else END_SECONDS)
        ]
        for runner_id in old:
            del self._ends[runner_id]
        if old:
            self._is_up_to_date = False
        if not self._ends:
            self._cleared.clear()

    def _add_run(self, end: RunnerEnd, fingerprint: int, run: RunAtEnd) -> None:
        if self._cleared.get(fingerprint, float("-inf")) >= end.ended_at:
            return
        known = end.runs.get(fingerprint)
        if known is None and len(end.runs) >= MAX_REQUESTS_AT_END:
            return
        # Of several callers' runs of one request the oldest counts: if it were fatal, that one
        # would have ended the runner, at the age at which it always does.
        if known is None or run.age > known.age:
            end.runs[fingerprint] = run

    def _bring_up_to_date(self) -> None:
        """Work out who is fatal and who is suspect, if anything was told since the last time."""
        if self._is_up_to_date:
            return
        self._is_up_to_date = True
        self._fatal = {}
        explained: set[str] = set()
        repeated = self._repeated()
        while repeated:
            found = [self._weighed(fingerprint, explained) for fingerprint in repeated]
            best = max(found, key=lambda fatal: (fatal.share, fatal.fingerprint))
            if best.share < FATAL_SHARE:
                break
            self._fatal[best.fingerprint] = best
            explained.update(best.runner_ids)
            repeated.discard(best.fingerprint)
        self._suspects = set()
        for end in self._ends.values():
            if end.runner_id not in explained:
                self._suspects |= self._suspects_of(end)

    def _suspects_of(self, end: RunnerEnd) -> set[int]:
        near = self._near(end)
        return {
            fingerprint
            for fingerprint, run in end.runs.items()
            if not run.is_settled
            and fingerprint not in self._fatal
            and not _has_common_cause(near, fingerprint)
        }

    def _repeated(self) -> set[int]:
        """Return the requests that were at two ends or more."""
        seen: set[int] = set()
        repeated: set[int] = set()
        for end in self._ends.values():
            repeated.update(seen & end.runs.keys())
            seen.update(end.runs)
        return repeated

    def _weighed(self, fingerprint: int, explained: set[str]) -> FatalRequest:
        """Return what speaks for a request as the cause of the ends at which it was."""
        ends = [
            end
            for end in self._ends.values()
            if fingerprint in end.runs and not _has_common_cause(self._near(end), fingerprint)
        ]
        ends.sort(key=lambda end: end.ended_at)
        unexplained = [end for end in ends if end.runner_id not in explained]
        if _count_in_turn(unexplained, fingerprint) >= SURE_ENDS:
            return _fatal_request(fingerprint, unexplained, 1.0)
        best = _fatal_request(fingerprint, [], 0.0)
        for first, second in combinations(ends, 2):
            share = self._pair_share(fingerprint, first, second, explained)
            if share > best.share:
                best = _fatal_request(fingerprint, [first, second], share)
        return best

    def _near(self, end: RunnerEnd) -> list[RunnerEnd]:
        """Return the other runners that ended at the same moment."""
        return [
            other
            for other in self._ends.values()
            if other is not end and abs(other.ended_at - end.ended_at) <= RACK_SECONDS
        ]

    def _ends_beside(self, end: RunnerEnd, fingerprint: int, explained: set[str]) -> int:
        """Return how many unexplained runners ended at the same moment without a request."""
        return sum(
            fingerprint not in other.runs and other.runner_id not in explained
            for other in self._near(end)
        )

    def _pair_share(
        self, fingerprint: int, first: RunnerEnd, second: RunnerEnd, explained: set[str]
    ) -> float:
        """Return how likely a request is what ended two runners, beside all others and chance."""
        explained_count = (first.runner_id in explained) + (second.runner_id in explained)
        if explained_count == 2 or not _is_in_turn(fingerprint, first, second):
            return 0.0
        scores = {
            other: _pair_score(other, first, second)
            for other in first.runs.keys() & second.runs.keys()
            if _is_in_turn(other, first, second)
        }
        chance = CHANCE_BESIDE_FATAL if explained_count else CHANCE
        beside = max(self._ends_beside(end, fingerprint, explained) for end in (first, second))
        chance += CHANCE_BESIDE_END * beside
        return scores[fingerprint] / (sum(scores.values()) + chance)


def _has_common_cause(near: list[RunnerEnd], fingerprint: int) -> bool:
    """Return whether so many runners ended at one moment that a common cause is likely.

    Runners at which the request itself was do not count: it may have ended them.
    """
    others = 0
    for end in near:
        others += fingerprint not in end.runs
        if others >= RACK_ENDS:
            return True
    return False


def _fatal_request(fingerprint: int, ends: Iterable[RunnerEnd], share: float) -> FatalRequest:
    at = list(ends)
    runner_ids = tuple(end.runner_id for end in at)
    ages = tuple(round(end.runs[fingerprint].age, 3) for end in at)
    return FatalRequest(fingerprint, runner_ids, ages, share)


def _pair_score(fingerprint: int, first: RunnerEnd, second: RunnerEnd) -> float:
    likeness = first.runs[fingerprint].likeness(second.runs[fingerprint])
    return first.share(fingerprint) * second.share(fingerprint) * likeness


def _is_in_turn(fingerprint: int, first: RunnerEnd, second: RunnerEnd) -> bool:
    """Return whether a request was sent to the second runner after the first one had ended.

    Many callers may share a request that runs at many runners at a time: that they end shows
    nothing of it.
    """
    return second.began_at(fingerprint) >= first.ended_at - ORDER_SLACK_SECONDS


def _count_in_turn(ends: list[RunnerEnd], fingerprint: int) -> int:
    """Return how many of the ends, in their order, a request can have caused one by one."""
    count = 0
    last: RunnerEnd | None = None
    for end in ends:
        if last is None or _is_in_turn(fingerprint, last, end):
            count += 1
            last = end
    return count
