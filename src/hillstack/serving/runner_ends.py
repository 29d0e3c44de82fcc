"""Runners that end under the requests of this node, and what peers tell of theirs.

Keeps the node's record, tells the peers, ends what was found fatal, and answers for new tries of
it. While no runner has ended lately, a request costs an entry of a map and nothing more.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hillstack.core.crash_counts import CrashedRun
from hillstack.core.rendezvous import owner, ranked
from hillstack.core.request_fingerprint import content_name, request_fingerprint
from hillstack.core.runner_ends import (
    END_SECONDS,
    FATAL_SECONDS,
    FatalRequest,
    RunAtEnd,
    RunnerEnd,
    Suspicion,
)
from hillstack.core.runner_pool import Runner
from hillstack.messages.runner_ends import RequestAtEnd, RunnerEndNotice
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job
from hillstack.serving.metrics import FleetMetrics
from hillstack.serving.placement import RunnerPlacement
from hillstack.serving.types import Verdict

logger = logging.getLogger(__name__)

# How long after an end a verdict waits for the notices of other nodes that lost runs there: a few
# turns of the event loop, and the way between nodes (1.4 ms between zones). Notices by way of
# relays take up to 30 ms more; a fatal run that was sent meanwhile is ended when they come.
GATHER_SECONDS = 0.015
# Bytes that were under way when a runner ended are read a little later.
LATE_BYTES_SECONDS = 0.02
# A runner that crashed may listen again after some seconds, at its old address: bytes that come
# later do not show that it lived on. Longer than the pause between two looks (``REPEAT_SECONDS``).
SAME_PROCESS_SECONDS = 2.0
# Pause between repeats of a notice: a lost datagram is made good before a caller has tried twice.
REPEAT_SECONDS = 0.8
# So long after an end, which makes six repeats: if all are lost, the nodes are cut off.
REPEAT_FOR_SECONDS = 5.0
# What fits a datagram of 1,400 bytes, at some 30 bytes each.
MAX_TOLD_REQUESTS = 32
# Ends that are repeated at a time, mostly one datagram each.
MAX_REPEATED = 8
# How long peers keep away from a runner with a suspect, if its end is not told: a queue, a prefill
# and what counts as settled.
PROBATION_SECONDS = 1.0
# A suspect waits that long at the most for a runner without another suspect: the age at which fatal
# runs were seen to end their runners, and as much again for a queue; less than an objective of
# 0.5 s to the first event.
APART_SECONDS = 0.4
APART_CHECK_SECONDS = 0.02
# A suspect of which another caller's try is at work waits that long at the most for its outcome: as
# long as a probation.
SAME_REQUEST_SECONDS = 1.0
# Pause between suspects of neighbouring ranks: twice the way between two nodes. Suspects whose
# pauses reach the bound go at the same time, kept apart only by the order of runners that nodes
# share.
STAGGER_SECONDS = 0.005
MAX_STAGGER_SECONDS = 0.1
# A runner may work on for a while on a run that this node has left, since its caller did, its time
# was over or it was found fatal: for so long it counts as being there. Twice the half second in
# which runners stop after a close.
LEFT_SECONDS = 1.0
# The notice of an end may give a time that is somewhat earlier than the leave that came before it.
LEFT_SLACK_SECONDS = 0.1
FATAL_TEXT = "runners ended while they worked on this request"
# Nodes that tell a new one of ends which lie far back.
EARLIER_ENDS_TELLERS = 3
# Runs at an end that the log names: the largest runners have 64.
MAX_LOGGED_RUNS = 16


@dataclass(frozen=True, slots=True)
class _LeftRun:
    """A run that this node left before it was over.

    Attributes:
        at: When, on the node's clock.
        sent_at: When it was sent.
        answering_since: When the first bytes of its answer came; None before.
    """

    job: Job
    runner_id: str
    at: float
    sent_at: float
    answering_since: float | None


class RunnerEndWatch:
    """Keeps one node's record of runners that ended.

    Args:
        state: What the node knows.
        placement: Chooses runners, and knows where peers are told.
        clock: Monotonic seconds.
        metrics: Where ends and verdicts are counted.
    """

    def __init__(
        self,
        state: FleetState,
        placement: RunnerPlacement,
        clock: Callable[[], float],
        metrics: FleetMetrics,
    ) -> None:
        self._state = state
        self._record = state.runner_ends
        self._counts = state.crash_counts
        self._placement = placement
        self._peers = placement.peers
        self._clock = clock
        self._metrics = metrics
        self._active: dict[str, tuple[Job, Runner]] = {}
        # Runners at which this node lost runs, with the time.
        self._lost_here: dict[str, float] = {}
        self._untold: set[str] = set()
        self._announced: set[int] = set()
        self._left: deque[_LeftRun] = deque()
        self._on_time_since: Callable[[], float] = lambda: -math.inf
        self._is_stopping = False
        self._telling: asyncio.Handle | None = None
        self._gathering: asyncio.TimerHandle | None = None

    def handle_lag(self, on_time_since: Callable[[], float]) -> None:
        """Ask a function since when bytes are read as they come: those read late show nothing."""
        self._on_time_since = on_time_since

    def _has_lived_on(self, runner: Runner, ended_at: float) -> bool:
        """Return whether the process that seemed to end at a moment was heard after it."""
        heard_at = runner.last_heard_at
        if heard_at <= ended_at + LATE_BYTES_SECONDS or heard_at < self._on_time_since():
            return False
        if heard_at < ended_at + SAME_PROCESS_SECONDS:
            return True
        # A connection that is older than the end and still open is one of the same process.
        return any(at is runner and job.sent_at < ended_at for job, at in self._active.values())

    def sent(self, job: Job, runner: Runner, attempt_id: str, now: float) -> None:
        """Note an attempt that is being sent."""
        job.sent_at = now
        job.answering_since = None
        self._active[attempt_id] = job, runner
        if job.is_suspect:
            names = self._names(job)
            self._state.probations.begin(attempt_id, runner.runner_id, names)
            for name in names:
                self._counts.note_trial(name, now)
            self._tell_probation(runner.runner_id, PROBATION_SECONDS, names)
            self._metrics.runner_ends.labels("suspect_sent").inc()
            self._log_suspect(job, runner)

    def started(self, job: Job, attempt_id: str, now: float) -> None:
        """Note the first bytes of an attempt's answer."""
        job.answering_since = now
        self._state.probations.started(attempt_id, now)

    def finished(self, attempt_id: str, *, may_work_on: bool = False) -> None:
        """Note the end of an attempt.

        Args:
            attempt_id: The attempt.
            may_work_on: Whether its runner may still be at work on it.
        """
        found = self._active.pop(attempt_id, None)
        if found is not None and may_work_on:
            self._note_left(*found)
        runner_id = self._state.probations.end(attempt_id)
        if runner_id is not None:
            self._tell_probation(runner_id, 0.0)

    def _note_left(self, job: Job, runner: Runner) -> None:
        now = self._clock()
        while self._left and now - self._left[0].at >= LEFT_SECONDS:
            self._left.popleft()
        left = _LeftRun(job, runner.runner_id, now, job.sent_at, job.answering_since)
        self._left.append(left)

    def _left_at(self, runner_id: str, ended_at: float) -> dict[int, RunAtEnd]:
        """Return the runs that this node left at a runner shortly before it ended."""
        runs: dict[int, RunAtEnd] = {}
        for left in self._left:
            since = ended_at - left.at
            if left.runner_id != runner_id or not -LEFT_SLACK_SECONDS < since < LEFT_SECONDS:
                continue
            answering = None if left.answering_since is None else ended_at - left.answering_since
            run = RunAtEnd(ended_at - left.sent_at, answering, self._content(left.job))
            runs[self._fingerprint(left.job)] = run
        return runs

    def answered(self, job: Job, *, succeeded: bool) -> None:
        """Note that an answer was passed on: if its request was suspected, it is not any more.

        Args:
            job: The request.
            succeeded: Whether the runner did its work. It may refuse or fail a request that would
                have ended it, so that alone sets the count of ends back.
        """
        if not self._record and not self._counts:
            return
        if succeeded:
            self._set_counts_back(self._names(job))
        self._clear(self._fingerprint(job))

    async def check(self, job: Job) -> None:
        """Find out whether a request may be sent, and whether it is suspected.

        A suspect waits for a while where all runners that may take it have another one: in most
        cases one of them is found fatal meanwhile, and the rest go anywhere.

        Raises:
            RejectedError: It is fatal.
            StreamCutError: The same, and its answer has begun.
        """
        job.suspect_rank = None
        if not self._record and not self._counts:
            return
        await self._judge(job)
        if job.is_suspect:
            await self._wait_apart(job)

    async def _judge(self, job: Job) -> None:
        fingerprint = self._fingerprint(job)
        suspicion = self._suspicion(fingerprint)
        if suspicion is not Suspicion.NONE:
            await self._wait_for_peers(fingerprint)
            suspicion = self._suspicion(fingerprint)
        job.suspect_rank = self._record.rank(fingerprint)
        if job.suspect_rank is None and self._counts.is_suspect(self._content(job), self._clock()):
            job.suspect_rank = self._record.place(fingerprint)
        if suspicion is Suspicion.FATAL or not self._is_within_bound(job):
            self._metrics.runner_ends.labels("refused").inc()
            raise self.ended_for_good(job)

    def _is_within_bound(self, job: Job) -> bool:
        """Return whether a request may be sent, however likely it is the cause of its ends."""
        if any(map(self._counts.is_bounded, self._names(job))):
            self._set_outlived_back()
        bounded = [name for name in self._names(job) if self._counts.is_bounded(name)]
        if not bounded:
            return True
        now = self._clock()
        if job.trial_send != job.sends:
            # All tries of one content meet the same order of nodes.
            rank = self._node_rank(self._content(job))
            pause = self._trial_pause(self._fingerprint(job))
            if not all(self._counts.may_try(name, rank, now, pause) for name in bounded):
                return False
            for name in bounded:
                self._counts.note_trial(name, now)
            job.trial_send = job.sends
        if job.suspect_rank is None:
            job.suspect_rank = self._record.place(self._fingerprint(job))
        return True

    def _trial_pause(self, fingerprint: int) -> float:
        """Return the least time before a trial: short where it may be another's content."""
        is_likely = fingerprint in self._record.fatal() or self._counts.is_bounded(fingerprint)
        return FATAL_SECONDS if is_likely else 0.0

    def _node_rank(self, name: int) -> int:
        """Return this node's place in an order of all nodes, which they share for a name."""
        others = {node.node_id for node in self._state.nodes.all()} - {self._state.node_id}
        return ranked(f"{name:016x}", [*others, self._state.node_id]).index(self._state.node_id)

    async def _wait_apart(self, job: Job) -> None:
        """Wait for a runner without another suspect, for a bounded time.

        Of several callers' tries of one request one goes at a time: their number must not be that
        of the runners that end.
        """
        started_at = self._clock()
        latest = job.deadline - APART_SECONDS
        # Those of a lower rank choose first, and their nodes' word is heard; so is that of nodes
        # which try the same request at the same moment.
        steps = (job.suspect_rank or 0) + self._node_rank(self._content(job))
        await asyncio.sleep(min(MAX_STAGGER_SECONDS, STAGGER_SECONDS * steps))
        await self._judge(job)
        while job.is_suspect and self._clock() < latest:
            waited = self._clock() - started_at
            is_tried = self._state.probations.is_tried(self._suspected_name(job), self._clock())
            must_share = self._placement.must_share(job, self._clock())
            if not is_tried and not must_share:
                return
            if waited >= (SAME_REQUEST_SECONDS if is_tried else APART_SECONDS):
                return
            await asyncio.sleep(APART_CHECK_SECONDS)
            await self._judge(job)

    def _suspected_name(self, job: Job) -> int:
        """Return the name by which other tries are known as the same suspect."""
        content = self._content(job)
        is_suspect = self._counts.is_suspect(content, self._clock())
        return content if is_suspect else self._fingerprint(job)

    def ended_for_good(self, job: Job) -> Exception:
        """Return the error that ends a fatal request: it has run, if not in this try."""
        job.may_have_run = True
        fingerprint = self._fingerprint(job)
        fields: dict[str, object] = {
            "request": job.request.request_id,
            "fingerprint": f"{fingerprint:016x}",
            "ends": self._most_ends(job),
        }
        found = self._record.fatal().get(fingerprint)
        if found is not None:
            fields |= _evidence(found)
        logger.info("fatal request not sent", extra=fields)
        return job.gave_up(Verdict.FAILED, FATAL_TEXT)

    def lost(self, job: Job, runner: Runner, now: float) -> None:
        """Note that an attempt broke off since its connection did.

        All of this node's attempts there count as lost with it: if one of them is heard after
        this, the runner has not ended.
        """
        if self._is_stopping or _is_expected(runner, now):
            return
        runs = self._left_at(runner.runner_id, now)
        runs[self._fingerprint(job)] = self._run(job, now)
        for other, at in self._active.values():
            if at is runner:
                runs.setdefault(self._fingerprint(other), self._run(other, now))
        self._note_lost(runner, runs, now)

    def unreachable(self, runner: Runner, now: float) -> None:
        """Note that a runner takes no connections.

        If this node has just left runs there, one of them may have ended it: nobody else need have
        had a connection that broke.
        """
        if self._is_stopping or _is_expected(runner, now):
            return
        runs = self._left_at(runner.runner_id, now)
        if runs and self._record.get(runner.runner_id) is None:
            self._note_lost(runner, runs, now)

    def _note_lost(self, runner: Runner, runs: dict[int, RunAtEnd], now: float) -> None:
        if runner.runner_id not in self._lost_here:
            self._metrics.runner_ends.labels("seen").inc()
            self._lost_here[runner.runner_id] = now
            _log_end(runner, runs)
        self._note_end(runner.runner_id, now, runs, runner.running(now) + 1)
        self._untold.add(runner.runner_id)
        self._schedule_reaction()

    def observe(self, peer: str, notice: RunnerEndNotice, now: float) -> None:
        """Take over what a peer tells."""
        ended_at = now - notice.ended_ms_ago / 1000
        if notice.probation_ms is not None:
            until = now + notice.probation_ms / 1000
            for request in notice.requests:
                names = (request.fingerprint, request.content)
                self._state.probations.told(notice.runner_id, until, names)
                for name in names:
                    self._counts.note_trial(name, now)
            return
        if notice.taken_back:
            end = self._record.get(notice.runner_id)
            if end is not None and ended_at > end.ended_at + SAME_PROCESS_SECONDS:
                # The peer may have heard the next process.
                return
            if self._record.take_back(notice.runner_id, ended_at):
                self._counts.take_back(notice.runner_id)
                fields = {"runner": notice.runner_id, "by": peer}
                logger.info("runner has not ended", extra=fields)
            return
        for fingerprint in notice.succeeded:
            self._counts.clear(fingerprint, now)
        for fingerprint in notice.cleared:
            self._record.clear(fingerprint, now)
        if not notice.requests:
            return
        runner = self._state.pool.get(notice.runner_id)
        if runner is not None and (
            self._has_lived_on(runner, ended_at) or _is_expected(runner, now)
        ):
            return
        runs = {request.fingerprint: _told_run(request) for request in notice.requests}
        left = self._left_at(notice.runner_id, ended_at)
        runs |= left
        # Told once: a notice that does not name all runs there must not be answered by another.
        if left and notice.runner_id not in self._lost_here:
            self._lost_here.setdefault(notice.runner_id, ended_at)
            self._untold.add(notice.runner_id)
        self._note_end(notice.runner_id, ended_at, runs, notice.running)
        self._schedule_reaction()

    def _note_end(
        self, runner_id: str, ended_at: float, runs: dict[int, RunAtEnd], running: int
    ) -> None:
        """Take an end into the record, and into the count of each request that was there."""
        self._record.note_end(runner_id, ended_at, runs, self._clock(), running)
        if self._record.was_heard_after(runner_id, ended_at):
            return
        for fingerprint, run in runs.items():
            crashed = CrashedRun(runner_id, ended_at - run.age, ended_at, run.is_settled)
            self._counts.note(fingerprint, crashed)
            if run.content:
                self._counts.note(run.content, crashed)

    def welcome(self, node_id: str) -> None:
        """Tell a node that has just started of the ends that this node saw, and its part of others.

        Each end that this node did not see is told by one node (rendezvous): those that saw it may
        be gone. Ends that are known only by the requests that were at several are told by three:
        they lie far back, and some nodes may have started since.
        """
        self._refresh()
        others = [node.node_id for node in self._state.nodes.all() if node.node_id != node_id]
        now = self._clock()
        notices = [
            notice
            for end in self._record.ends()
            if end.runner_id in self._lost_here
            or owner(end.runner_id, others) == self._state.node_id
            for notice in self._notices(end, now)
        ]
        notices += self._earlier_ends(others, now)
        self._peers.send_runner_ends(node_id, notices)

    def _earlier_ends(self, others: list[str], now: float) -> list[RunnerEndNotice]:
        """Return the notices of ends that are only counted any more."""
        ended_at: dict[str, float] = {}
        requests: dict[str, list[RequestAtEnd]] = {}
        for fingerprint, run in self._counts.repeated():
            if self._record.get(run.runner_id) is not None:
                continue
            ended_at[run.runner_id] = run.ended_at
            age_ms = round((run.ended_at - run.began_at) * 1000)
            answering_ms = age_ms if run.is_settled else 0
            told = requests.setdefault(run.runner_id, [])
            told.append(RequestAtEnd(fingerprint, age_ms, run.is_settled, answering_ms))
        return [
            RunnerEndNotice(
                runner_id,
                round((now - ended_at[runner_id]) * 1000),
                told[first : first + MAX_TOLD_REQUESTS],
            )
            for runner_id, told in requests.items()
            if self._state.node_id in ranked(runner_id, others)[:EARLIER_ENDS_TELLERS]
            for first in range(0, len(told), MAX_TOLD_REQUESTS)
        ]

    async def run(self) -> None:
        """Tell the latest ends again with each heartbeat, until cancelled."""
        try:
            while True:
                await asyncio.sleep(REPEAT_SECONDS)
                self._repeat()
        finally:
            # The node ends: it closes its connections itself, and its socket for peers.
            self._is_stopping = True

    def _repeat(self) -> None:
        self._refresh()
        self._set_outlived_back()
        now = self._clock()
        latest = [end for end in self._record.ends() if end.runner_id in self._lost_here]
        for end in latest[-MAX_REPEATED:]:
            if now - end.ended_at < REPEAT_FOR_SECONDS:
                self._tell_end(end, now)

    def _tell_end(self, end: RunnerEnd, now: float) -> None:
        for notice in self._notices(end, now):
            self._peers.runner_ended(notice)

    def _tell_probation(
        self, runner_id: str, seconds: float, names: tuple[int, int] = (0, 0)
    ) -> None:
        fingerprint, content = names
        requests = [RequestAtEnd(fingerprint, 0, started=False, content=content)]
        notice = RunnerEndNotice(runner_id, 0, requests, probation_ms=round(seconds * 1000))
        self._peers.runner_ended(notice)

    def _log_suspect(self, job: Job, runner: Runner) -> None:
        fingerprint = self._fingerprint(job)
        fields = {
            "request": job.request.request_id,
            "fingerprint": f"{fingerprint:016x}",
            "content": f"{self._content(job):016x}",
            "runner": runner.runner_id,
            "ended": [end.runner_id for end in self._record.ends() if fingerprint in end.runs],
            "ends": self._most_ends(job),
        }
        logger.info("suspect sent", extra=fields)

    def _most_ends(self, job: Job) -> int:
        """Return how many runners ended under a request, by the name that tells of more."""
        return max(self._counts.count(name) for name in self._names(job))

    def _suspicion(self, fingerprint: int) -> Suspicion:
        self._refresh()
        return self._record.suspicion(fingerprint, self._clock())

    def _refresh(self) -> None:
        """Forget what is old, and take back the ends of runners that were heard since."""
        now = self._clock()
        self._record.expire(now)
        self._counts.expire(now)
        for end in self._record.ends():
            runner = self._state.pool.get(end.runner_id)
            if runner is None or not self._has_lived_on(runner, end.ended_at):
                continue
            self._record.take_back(end.runner_id, runner.last_heard_at)
            self._counts.take_back(end.runner_id)
            self._lost_here.pop(end.runner_id, None)
            self._metrics.runner_ends.labels("taken_back").inc()
            logger.info("runner has not ended", extra={"runner": end.runner_id})
            told_ago = max(0, int((now - runner.last_heard_at) * 1000))
            self._peers.runner_ended(RunnerEndNotice(end.runner_id, told_ago, [], taken_back=True))
        self._lost_here = {
            runner_id: ended_at
            for runner_id, ended_at in self._lost_here.items()
            if now - ended_at < END_SECONDS or self._record.get(runner_id) is not None
        }

    def _set_counts_back(self, names: Iterable[int]) -> None:
        """Note that a run with these names did not end its runner, and tell the peers."""
        now = self._clock()
        found = [name for name in names if self._counts.clear(name, now)]
        if found:
            self._peers.runner_ended(RunnerEndNotice("", 0, [], succeeded=found))

    def _set_outlived_back(self) -> None:
        """Set the counts back of requests that go on here for longer than any that crashes."""
        if not self._counts:
            return
        now = self._clock()
        for job, _ in self._active.values():
            run = self._run(job, now)
            if not run.is_settled:
                continue
            outlived = [
                name for name in self._names(job) if self._counts.is_outlived(name, run.age)
            ]
            self._set_counts_back(outlived)

    def _clear(self, fingerprint: int) -> None:
        was = self._record.suspicion(fingerprint, self._clock())
        runner_ids = self._record.clear(fingerprint, self._clock())
        if not runner_ids:
            return
        self._peers.runner_ended(RunnerEndNotice(runner_ids[-1], 0, [], cleared=[fingerprint]))
        if was is not Suspicion.NONE:
            self._metrics.runner_ends.labels("cleared").inc()
            logger.info("request cleared", extra={"fingerprint": f"{fingerprint:016x}"})

    async def _wait_for_peers(self, fingerprint: int) -> None:
        """Wait until the notices of other nodes on the last end are in: then all judge alike."""
        left = self._record.ended_last_under(fingerprint) + GATHER_SECONDS - self._clock()
        if left > 0:
            await asyncio.sleep(left)

    def _schedule_reaction(self) -> None:
        """Tell the peers soon, and act on verdicts once the notices of other nodes are in."""
        loop = asyncio.get_running_loop()
        if self._untold and self._telling is None:
            # Attempts that break in the same turn of the loop are told together.
            self._telling = loop.call_soon(self._tell)
        if self._gathering is None:
            self._gathering = loop.call_later(GATHER_SECONDS, self._enforce)

    def _tell(self) -> None:
        """Tell the peers what this node lost."""
        self._telling = None
        now = self._clock()
        untold, self._untold = self._untold, set()
        for runner_id in sorted(untold):
            end = self._record.get(runner_id)
            if end is not None:
                self._tell_end(end, now)

    def _enforce(self) -> None:
        """End the runs of fatal requests that are under way, and log what was found."""
        self._gathering = None
        self._refresh()
        now = self._clock()
        for fingerprint, found in list(self._record.fatal().items()):
            is_held = self._record.suspicion(fingerprint, now) is Suspicion.FATAL
            if is_held and not self._has_outlived(found, now):
                self._end_runs(fingerprint)
                self._announce(found)
        self._announced &= self._record.fatal().keys()
        self._end_bounded_runs(now)

    def _announce(self, found: FatalRequest) -> None:
        if found.fingerprint in self._announced:
            return
        self._announced.add(found.fingerprint)
        self._metrics.runner_ends.labels("fatal").inc()
        logger.warning("request ends runners", extra=_evidence(found))

    def _has_outlived(self, found: FatalRequest, now: float) -> bool:
        """Return whether a run of a request here has outlived its ends; if so it is cleared."""
        longest = max(found.ages, default=0.0)
        for job, _ in self._active.values():
            run = self._run(job, now)
            if self._fingerprint(job) == found.fingerprint and run.is_settled and run.age > longest:
                self._clear(found.fingerprint)
                return True
        return False

    def _end_bounded_runs(self, now: float) -> None:
        """End the runs that began before the last end that their request may have was told.

        Those that have long been answering are not likely to end their runners.
        """
        self._set_outlived_back()
        for job, _ in list(self._active.values()):
            if job.trial_send is not None or job.answer_ready:
                continue
            if self._run(job, now).is_settled:
                continue
            if any(map(self._counts.is_bounded, self._names(job))):
                job.is_fatal = True
                job.end_now()

    def _end_runs(self, fingerprint: int) -> None:
        for job, _ in list(self._active.values()):
            if self._fingerprint(job) == fingerprint and not job.answer_ready:
                job.is_fatal = True
                job.end_now()

    def _notices(self, end: RunnerEnd, now: float) -> list[RunnerEndNotice]:
        """Return the notices of an end, one a datagram: mostly a single one."""
        parts = range(0, max(1, len(end.runs)), MAX_TOLD_REQUESTS)
        return [self._notice(end, now, first) for first in parts]

    def _notice(self, end: RunnerEnd, now: float, first: int = 0) -> RunnerEndNotice:
        """Return the notice of an end, with some of its runs: the most suspected come first."""
        runs = sorted(end.runs.items(), key=lambda item: (-item[1].weight, item[0]))
        told = runs[first : first + MAX_TOLD_REQUESTS]
        requests = [_told(fingerprint, run) for fingerprint, run in told]
        ended_ms_ago = max(0, round((now - end.ended_at) * 1000))
        return RunnerEndNotice(end.runner_id, ended_ms_ago, requests, end.running)

    def _names(self, job: Job) -> tuple[int, int]:
        return self._fingerprint(job), self._content(job)

    def _content(self, job: Job) -> int:
        if job.content is None:
            job.content = content_name(job.tenant_name, job.request.path, job.request.body)
        return job.content

    def _run(self, job: Job, now: float) -> RunAtEnd:
        answering = None if job.answering_since is None else now - job.answering_since
        return RunAtEnd(now - job.sent_at, answering, self._content(job))

    def _fingerprint(self, job: Job) -> int:
        if job.fingerprint is None:
            request = job.request
            texts = (
                job.tenant_name,
                request.method,
                request.host,
                request.target,
                request.model,
            )
            job.fingerprint = request_fingerprint(texts, request.shape, request.body)
        return job.fingerprint


def _is_expected(runner: Runner, now: float) -> bool:
    """Return whether a runner breaks its runs off because it was told to leave or to load."""
    if runner.has_ended and not runner.entry.draining:
        # It left nothing: its next process was heard of before its connections broke off.
        return False
    return not runner.stays(now) or now < runner.loading_until


def _told(fingerprint: int, run: RunAtEnd) -> RequestAtEnd:
    answering_ms = 0 if run.answering is None else round(run.answering * 1000)
    return RequestAtEnd(
        fingerprint,
        round(run.age * 1000),
        started=run.answering is not None,
        answering_ms=answering_ms,
        content=run.content,
    )


def _told_run(request: RequestAtEnd) -> RunAtEnd:
    answering = request.answering_ms / 1000 if request.started else None
    return RunAtEnd(request.age_ms / 1000, answering, request.content)


def _log_end(runner: Runner, runs: dict[int, RunAtEnd]) -> None:
    """Log which requests of this node a runner ended under, the youngest runs first."""
    youngest = sorted(runs.items(), key=lambda item: item[1].age)[:MAX_LOGGED_RUNS]
    fields = {
        "runner": runner.runner_id,
        "requests": {f"{name:016x}": round(run.age * 1000) for name, run in youngest},
        "running": len(runs),
    }
    logger.info("runner ended", extra=fields)


def _evidence(found: FatalRequest) -> dict[str, object]:
    return {
        "fingerprint": f"{found.fingerprint:016x}",
        "runners": list(found.runner_ids),
        "ages_ms": [round(age * 1000) for age in found.ages],
        "share": round(found.share, 3),
    }
