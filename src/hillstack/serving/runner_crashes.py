"""Detects requests that crash runners, together with the peers, and stops them.

A fatal request is a request that crashes the runners that run it. The monitor records the runner
crashes that this node and its peers see, reports this node's crashes to the peers, aborts running
fatal requests and rejects further tries of them. A request that was running at a crash may be a
suspect; suspects are sent to separate runners until they are answered or found fatal. While no
runner has crashed recently, each attempt only costs an entry in a dictionary.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Iterable

from hillstack.core.crash_counts import CrashedRun
from hillstack.core.rendezvous import owner, ranked
from hillstack.core.run_at_crash import RunAtCrash
from hillstack.core.runner_crashes import (
    CRASH_RETENTION_SECONDS,
    FATAL_REFUSAL_SECONDS,
    FatalRequest,
    RunnerCrash,
    Suspicion,
)
from hillstack.core.runner_pool import Runner
from hillstack.messages.runner_ends import RequestAtEnd, RunnerEndNotice
from hillstack.serving.abandoned_runs import AbandonedRuns, run_of
from hillstack.serving.crash_logs import evidence_fields, log_crash, log_suspect
from hillstack.serving.crash_notices import crash_notices, earlier_crash_notices, run_at_crash
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job
from hillstack.serving.metrics import FleetMetrics
from hillstack.serving.part_crashes import PartCrashMonitor
from hillstack.serving.placement import RunnerPlacement
from hillstack.serving.request_names import content_of, fingerprint_of, names_of
from hillstack.serving.suspect_permits import FATAL_REASON, PermitServices, SuspectPermits
from hillstack.serving.types import RejectedError, StreamCutError, Verdict

logger = logging.getLogger(__name__)

# How long a verdict on a crash waits for notices of other nodes that lost runs there: a few event
# loop iterations and the latency between nodes (1.4 ms between zones). Relayed notices take up to
# 30 ms more; a fatal run that was sent in the meantime is aborted when they arrive.
PEER_NOTICE_WAIT_SECONDS = 0.015
# Bytes that were in transit when a runner crashed are read up to this much later.
LATE_BYTES_SECONDS = 0.02
# Bytes that arrive from a runner within this time after its connections broke prove that it has not
# crashed: a new process is assumed to listen at the old address only after some seconds. Later
# bytes may come from the new process. Not the time after which a failed runner is tried again,
# which is shorter (``runner_pool.SUSPECT_SECONDS``). Must exceed the pause between two checks
# (``NOTICE_INTERVAL_SECONDS``).
MIN_RESTART_SECONDS = 2.0
# Pause between repetitions of a crash notice: a lost datagram is repeated before a caller has tried
# twice.
NOTICE_INTERVAL_SECONDS = 0.8
# How long after a crash its notices are repeated, which makes six repetitions: if all are lost, the
# network between the nodes is partitioned.
NOTICE_REPEAT_SECONDS = 5.0
# Crashes whose notices are repeated at a time, usually one datagram each.
MAX_REPEATED_CRASHES = 8
# How long peers avoid a runner with a suspect if the end of the attempt is not reported: covers the
# time in the queue, the prefill and the time after which a run counts as settled.
PROBATION_SECONDS = 1.0
# Longest wait of a suspect for a runner without another suspect. One half covers the age at which
# fatal runs were seen to crash runners (a quarter of ``core.runner_crashes.SETTLED_SECONDS``) with
# a margin, the other half a queue. Less than an objective of 0.5 s to the first event.
SEPARATION_WAIT_SECONDS = 0.4
SEPARATION_CHECK_SECONDS = 0.02
# Longest wait of a suspect for the outcome of another caller's try of the same request: as long as
# a probation.
SAME_REQUEST_WAIT_SECONDS = 1.0
# Delay between suspects of consecutive ranks: twice the one-way latency between two nodes. Suspects
# whose delays reach the maximum are sent at the same time; only the order of runners, which all
# nodes share, then keeps them apart.
STAGGER_SECONDS = 0.005
MAX_STAGGER_SECONDS = 0.1
# Number of nodes that report each older crash to a node that has just started.
EARLIER_CRASH_REPORTERS = 3


class RunnerCrashMonitor:
    """Monitors runner crashes and suspected requests for one node.

    Args:
        state: State of the node.
        placement: Chooses runners, and holds the sender of notices to the peers.
        clock: Monotonic seconds.
        metrics: Counts crashes and verdicts.
    """

    def __init__(
        self,
        state: FleetState,
        placement: RunnerPlacement,
        clock: Callable[[], float],
        metrics: FleetMetrics,
    ) -> None:
        self._state = state
        self._record = state.runner_crashes
        self._counts = state.crash_counts
        self._placement = placement
        self._peers = placement.peers
        self._clock = clock
        self._metrics = metrics
        self._active: dict[str, tuple[Job, Runner]] = {}
        # Runners at which this node lost runs, with the time of the loss.
        self._locally_lost: dict[str, float] = {}
        self._unreported: set[str] = set()
        self._announced_fatal: set[int] = set()
        self._abandoned = AbandonedRuns()
        self._permits = self._make_permits(None)
        self._parts = PartCrashMonitor(state, self._peers, clock, metrics, self._active)
        self._lag_free_since: Callable[[], float] = lambda: -math.inf
        self._is_stopping = False
        self._report_handle: asyncio.Handle | None = None
        self._enforce_handle: asyncio.TimerHandle | None = None

    def set_lag_source(self, lag_free_since: Callable[[], float]) -> None:
        """Set the function that returns since when the event loop has read bytes without delay.

        Bytes that were read late don't prove that a runner is alive.
        """
        self._lag_free_since = lag_free_since

    def set_permits(self, services: PermitServices) -> None:
        """Set the permits that bound the runners which a request crashes across all nodes."""
        self._permits = self._make_permits(services)
        self._parts.set_permits(services.parts)

    def _make_permits(self, services: PermitServices | None) -> SuspectPermits:
        return SuspectPermits(
            services, self._record, self._state.crash_ledgers, self._is_suspected, self._clock
        )

    def _is_suspected(self, fingerprint: int) -> bool:
        return self._suspicion(fingerprint) is not Suspicion.NONE

    def _has_survived(self, runner: Runner, ended_at: float) -> bool:
        """Return whether a process that seemed to crash at a time has sent bytes afterwards."""
        received_at = runner.last_contact_at
        if received_at <= ended_at + LATE_BYTES_SECONDS or received_at < self._lag_free_since():
            return False
        if received_at < ended_at + MIN_RESTART_SECONDS:
            return True
        # An attempt sent before the crash that still runs belongs to the same process.
        return any(at is runner and job.sent_at < ended_at for job, at in self._active.values())

    def sent(self, job: Job, runner: Runner, attempt_id: str, now: float) -> None:
        """Record an attempt that is being sent."""
        job.sent_at = job.received_at = now
        job.answering_since = None
        job.permitted.sent(runner.runner_id)
        self._parts.sent(job, runner.runner_id)
        self._active[attempt_id] = job, runner
        if job.is_suspect:
            names = names_of(job)
            self._state.probations.begin(attempt_id, runner.runner_id, names)
            for name in names:
                self._counts.record_trial(name, now)
            self._send_probation(runner.runner_id, PROBATION_SECONDS, names)
            self._metrics.runner_ends.labels("suspect_sent").inc()
            log_suspect(job, runner, self._record.crashes(), self._max_crash_count(job))

    def started(self, job: Job, attempt_id: str, now: float) -> None:
        """Record the first bytes of an attempt's answer."""
        job.answering_since = now
        self._state.probations.started(attempt_id, now)
        self._parts.started(attempt_id)

    def finished(self, attempt_id: str, *, may_still_run: bool = False) -> None:
        """Record the end of an attempt.

        Args:
            attempt_id: Identifier of the attempt.
            may_still_run: Whether the runner may still run it.
        """
        found = self._active.pop(attempt_id, None)
        if found is not None:
            job, runner_id = found[0], found[1].runner_id
            self._permits.finished(job, job.permitted, runner_id, may_still_run=may_still_run)
            self._parts.finished(job, runner_id, may_still_run=may_still_run)
        if found is not None and may_still_run:
            self._abandoned.add(*found, self._clock())
        probation_at = self._state.probations.end(attempt_id)
        if probation_at is not None:
            self._send_probation(probation_at, 0.0)

    def answered(self, job: Job, *, succeeded: bool) -> None:
        """Record that an answer was passed on, and clear any suspicion against its request.

        Args:
            job: The request.
            succeeded: Whether the answer is a success. Only a success resets the crash count,
                because a runner may refuse or fail a request that would have crashed it.
        """
        if job.permitted.sends or self._state.crash_ledgers:
            self._permits.answered(fingerprint_of(job), job.permitted, succeeded=succeeded)
        self._parts.answered(job, succeeded=succeeded)
        if not self._record and not self._counts:
            return
        if succeeded:
            self._reset_counts(names_of(job))
        self._clear_suspicion(fingerprint_of(job))

    def ended(self, job: Job) -> None:
        """Record that work on a request has ended."""
        if job.permitted:
            self._permits.ended(fingerprint_of(job), job.permitted)
        self._parts.ended(job)

    async def check(self, job: Job) -> None:
        """Check whether a request may be sent, and set its suspect rank.

        A suspect waits for a while if every runner that may run it already runs another suspect. In
        most cases one of the suspects is found fatal in the meantime, and the others are cleared.

        Raises:
            RejectedError: The request is fatal.
            StreamCutError: The request is fatal and its answer has begun.
        """
        self._parts.check(job)
        if await self._classify_if_any_crash(job):
            await self._wait_for_separation(job)

    async def prepare_send(self, job: Job) -> None:
        """Check whether a request may be sent now, and acquire a permit for a suspect.

        Raises:
            RejectedError: The request is fatal, or has no permit.
            StreamCutError: The same, and its answer has begun.
        """
        if await self._classify_if_any_crash(job):
            try:
                await self._permits.acquire(job, fingerprint_of(job), job.permitted)
            except (RejectedError, StreamCutError):
                self._metrics.runner_ends.labels("refused").inc()
                raise
            await self._wait_for_separation(job)
        await self._parts.prepare_send(job)

    async def _classify_if_any_crash(self, job: Job) -> bool:
        """Classify a request if any crash is known; return whether it is a suspect."""
        job.suspect_rank = None
        if not self._record and not self._counts and not self._state.crash_ledgers:
            return False
        await self._classify(job)
        return job.is_suspect

    async def _classify(self, job: Job) -> None:
        fingerprint = fingerprint_of(job)
        suspicion = self._suspicion(fingerprint)
        if suspicion is not Suspicion.NONE:
            await self._wait_for_peers(fingerprint)
            suspicion = self._suspicion(fingerprint)
        job.suspect_rank = self._record.rank(fingerprint)
        if job.suspect_rank is None and self._counts.is_suspect(content_of(job), self._clock()):
            job.suspect_rank = self._record.place(fingerprint)
        if job.suspect_rank is None and self._permits.has_ledger(fingerprint):
            job.suspect_rank = self._record.place(fingerprint)
        if suspicion is Suspicion.FATAL or not self._is_within_bound(job):
            self._metrics.runner_ends.labels("refused").inc()
            raise self.fatal_error(job)

    def _is_within_bound(self, job: Job) -> bool:
        """Return whether a request is below the crash limit or may be sent as a trial."""
        if any(map(self._counts.has_reached_bound, names_of(job))):
            self._reset_survivor_counts()
        bounded = [name for name in names_of(job) if self._counts.has_reached_bound(name)]
        if not bounded:
            return True
        now = self._clock()
        if job.trial_send != job.sends:
            # The rank depends on the content, so all tries of one content see the same node order.
            rank = self._node_rank(content_of(job))
            pause = self._trial_pause(fingerprint_of(job))
            if not all(self._counts.may_try(name, rank, now, pause) for name in bounded):
                return False
            for name in bounded:
                self._counts.record_trial(name, now)
            job.trial_send = job.sends
        if job.suspect_rank is None:
            job.suspect_rank = self._record.place(fingerprint_of(job))
        return True

    def _trial_pause(self, fingerprint: int) -> float:
        """Return the minimum pause between the latest crash and a trial.

        There is none if only the content has reached the crash limit, because another request with
        the same content may be the fatal one.
        """
        is_likely = fingerprint in self._record.fatal() or self._counts.has_reached_bound(
            fingerprint
        )
        return FATAL_REFUSAL_SECONDS if is_likely else 0.0

    def _node_rank(self, name: int) -> int:
        """Return this node's rank in an order of all nodes that is the same on every node."""
        others = {node.node_id for node in self._state.nodes.all()} - {self._state.node_id}
        return ranked(f"{name:016x}", [*others, self._state.node_id]).index(self._state.node_id)

    async def _wait_for_separation(self, job: Job) -> None:
        """Wait for a runner without another suspect, for a bounded time.

        Tries of one request by several callers are sent one at a time, because each of them could
        crash another runner.
        """
        started_at = self._clock()
        latest = job.deadline - SEPARATION_WAIT_SECONDS
        # Suspects with a lower rank choose first, so that their nodes' notices arrive before this
        # one is placed. The same applies to nodes that try the same request at the same time.
        steps = (job.suspect_rank or 0) + self._node_rank(content_of(job))
        await asyncio.sleep(min(MAX_STAGGER_SECONDS, STAGGER_SECONDS * steps))
        await self._classify(job)
        while job.is_suspect and self._clock() < latest:
            waited = self._clock() - started_at
            is_tried = self._state.probations.is_tried(self._suspected_name(job), self._clock())
            must_share_runner = self._placement.must_share_runner(job, self._clock())
            if not is_tried and not must_share_runner:
                return
            if waited >= (SAME_REQUEST_WAIT_SECONDS if is_tried else SEPARATION_WAIT_SECONDS):
                return
            await asyncio.sleep(SEPARATION_CHECK_SECONDS)
            await self._classify(job)

    def _suspected_name(self, job: Job) -> int:
        """Return the name that identifies other tries of the same suspect."""
        content = content_of(job)
        is_suspect = self._counts.is_suspect(content, self._clock())
        return content if is_suspect else fingerprint_of(job)

    def fatal_error(self, job: Job) -> Exception:
        """Return the error for a fatal request, which has run in this try or in an earlier one."""
        job.may_have_run = True
        fingerprint = fingerprint_of(job)
        fields: dict[str, object] = {
            "request": job.request.request_id,
            "fingerprint": f"{fingerprint:016x}",
            "ends": self._max_crash_count(job),
        }
        found = self._record.fatal().get(fingerprint)
        if found is not None:
            fields |= evidence_fields(found)
        logger.info("fatal request not sent", extra=fields)
        return job.give_up_error(Verdict.FAILED, FATAL_REASON)

    def lost(self, job: Job, runner: Runner, now: float) -> None:
        """Record that an attempt failed because its connection broke.

        All of this node's attempts at the runner count as lost too. If one of them receives bytes
        later, or the runner answers a call (``refute``), it has not crashed.
        """
        if self._is_stopping or _is_expected_disconnect(runner, now):
            return
        runs = self._abandoned.at_crash(runner.runner_id, now)
        runs[fingerprint_of(job)] = run_of(job, now)
        if not run_of(job, now).is_settled:
            job.permitted.crashed_runners.add(runner.runner_id)
        for other, at in self._active.values():
            if at is runner:
                runs.setdefault(fingerprint_of(other), run_of(other, now))
        self._note_lost_runs(runner, runs, now)

    def unreachable(self, runner: Runner, now: float) -> None:
        """Record that a runner accepts no connections.

        If this node has just abandoned runs there, one of them may have crashed the runner, perhaps
        without breaking any connection.
        """
        if self._is_stopping or _is_expected_disconnect(runner, now):
            return
        runs = self._abandoned.at_crash(runner.runner_id, now)
        if runs and self._record.get(runner.runner_id) is None:
            self._note_lost_runs(runner, runs, now)

    def _note_lost_runs(self, runner: Runner, runs: dict[int, RunAtCrash], now: float) -> None:
        if runner.runner_id not in self._locally_lost:
            self._metrics.runner_ends.labels("seen").inc()
            self._locally_lost[runner.runner_id] = now
            log_crash(runner, runs)
        self._record_crash(runner.runner_id, now, runs, runner.running(now) + 1, is_local=True)
        self._parts.record(runner.runner_id, now, runs.values())
        self._unreported.add(runner.runner_id)
        self._schedule_reaction()

    def observe(self, peer: str, notice: RunnerEndNotice, now: float) -> None:
        """Process a crash notice of a peer."""
        ended_at = now - notice.ended_ms_ago / 1000
        if notice.probation_ms is not None:
            until = now + notice.probation_ms / 1000
            for request in notice.requests:
                names = (request.fingerprint, request.content)
                self._state.probations.note_peer_suspect(notice.runner_id, until, names)
                for name in names:
                    self._counts.record_trial(name, now)
            return
        if notice.taken_back:
            crash = self._record.get(notice.runner_id)
            if crash is not None and ended_at > crash.crashed_at + MIN_RESTART_SECONDS:
                # The peer may have received bytes from the next process.
                return
            if self._record.record_contact(notice.runner_id, ended_at):
                self._counts.retract(notice.runner_id, ended_at)
                self._parts.retract(notice.runner_id, ended_at)
                fields = {"runner": notice.runner_id, "by": peer}
                logger.info("runner has not ended", extra=fields)
            return
        for fingerprint in notice.succeeded:
            self._counts.clear(fingerprint, now)
        self._parts.observe_success(notice.succeeded, now)
        for fingerprint in notice.cleared:
            self._record.clear(fingerprint, now)
        if not notice.requests and not notice.parts:
            return
        runner = self._state.pool.get(notice.runner_id)
        if runner is not None and (
            self._has_survived(runner, ended_at) or _is_expected_disconnect(runner, now)
        ):
            return
        if not self._record.was_contacted_after(notice.runner_id, ended_at):
            self._parts.observe(notice, ended_at)
        runs = {request.fingerprint: run_at_crash(request) for request in notice.requests}
        if runs:
            self._record_crash(notice.runner_id, ended_at, runs, notice.running)
        if self._abandoned.any_at(notice.runner_id):
            self._record_abandoned_runs(notice.runner_id)
        self._schedule_reaction()

    def _record_abandoned_runs(self, runner_id: str) -> None:
        """Add the runs that this node abandoned at a runner to the crash that a peer reported.

        Their ages are counted up to the first report of the crash: a later one of the same crash
        would make them seem older. If this node observed the crash first, it has recorded them.
        """
        self._refresh()
        crash = self._record.get(runner_id)
        if crash is None or crash.is_local:
            return
        runs = self._abandoned.at_crash(runner_id, crash.crashed_at)
        if not runs:
            return
        # Reported only once: otherwise two nodes could answer each other's incomplete notices
        # endlessly.
        if runner_id not in self._locally_lost:
            self._locally_lost[runner_id] = crash.crashed_at
            self._unreported.add(runner_id)
        self._record_crash(runner_id, crash.crashed_at, runs, crash.running)
        self._parts.record(runner_id, crash.crashed_at, runs.values())

    def _record_crash(
        self,
        runner_id: str,
        ended_at: float,
        runs: dict[int, RunAtCrash],
        running: int,
        *,
        is_local: bool = False,
    ) -> None:
        """Record a crash, and count it for each request that the runner was running."""
        now = self._clock()
        self._record.record_crash(runner_id, ended_at, runs, now, running, is_local=is_local)
        if self._record.was_contacted_after(runner_id, ended_at):
            return
        crash = self._record.get(runner_id)
        for fingerprint, run in runs.items():
            crashed = CrashedRun.of(runner_id, ended_at, run)
            if crash is not None and fingerprint in crash.runs:
                known = crash.runs[fingerprint]
                crashed = CrashedRun.of(runner_id, crash.crashed_at, known).reported_again(ended_at)
            self._counts.note(fingerprint, crashed)
            if run.content:
                self._counts.note(run.content, crashed)

    def send_initial_state(self, node_id: str) -> None:
        """Report crashes to a node that has just started.

        This node reports the crashes that it saw itself. A crash that it did not see is reported by
        one node, chosen by rendezvous hashing, because the nodes that saw it may have stopped. The
        crashes under a fatal request are reported by each node of the region: the new node may
        receive a try of the request as soon as it has heard of a single peer.
        Older crashes, known only from the counts of requests with several crashes, are reported by
        three nodes, because some nodes may have started since.
        """
        self._refresh()
        others = [node.node_id for node in self._state.nodes.all() if node.node_id != node_id]
        now = self._clock()
        evidence = self._fatal_evidence() if self._is_in_own_region(node_id) else set()
        notices = [
            notice
            for crash in self._record.crashes()
            if crash.runner_id in self._locally_lost
            or crash.runner_id in evidence
            or owner(crash.runner_id, others) == self._state.node_id
            for notice in crash_notices(crash, now)
        ]
        notices += [
            notice
            for notice in earlier_crash_notices(self._counts, self._record, now)
            if self._state.node_id in ranked(notice.runner_id, others)[:EARLIER_CRASH_REPORTERS]
        ]
        notices += self._parts.initial_notices(others)
        self._peers.send_runner_crashes(node_id, notices)

    def _fatal_evidence(self) -> set[str]:
        """Return the runners that crashed under fatal requests."""
        fatal = self._record.fatal().keys()
        crashes = self._record.crashes()
        return {crash.runner_id for crash in crashes if not fatal.isdisjoint(crash.runs)}

    def _is_in_own_region(self, node_id: str) -> bool:
        node = self._state.nodes.get(node_id)
        return node is None or self._state.topology.is_own_region(node.zone)

    async def run(self) -> None:
        """Repeat the notices of recent crashes periodically until cancelled."""
        try:
            while True:
                await asyncio.sleep(NOTICE_INTERVAL_SECONDS)
                self._repeat_notices()
        except asyncio.CancelledError:
            self._is_stopping = True  # The node closes its connections and its socket for peers.
            raise

    def _repeat_notices(self) -> None:
        self._refresh()
        self._reset_survivor_counts()
        now = self._clock()
        self._parts.refresh(now)
        latest = [
            crash for crash in self._record.crashes() if crash.runner_id in self._locally_lost
        ]
        for crash in latest[-MAX_REPEATED_CRASHES:]:
            if now - crash.crashed_at < NOTICE_REPEAT_SECONDS:
                self._send_crash_notices(crash, now)

    def _send_crash_notices(self, crash: RunnerCrash, now: float) -> None:
        for notice in crash_notices(crash, now) + self._parts.notices([crash.runner_id]):
            self._peers.report_runner_crash(notice)

    def _send_probation(
        self, runner_id: str, seconds: float, names: tuple[int, int] = (0, 0)
    ) -> None:
        fingerprint, content = names
        requests = [RequestAtEnd(fingerprint, 0, started=False, content=content)]
        notice = RunnerEndNotice(runner_id, 0, requests, probation_ms=round(seconds * 1000))
        self._peers.report_runner_crash(notice)

    def _max_crash_count(self, job: Job) -> int:
        """Return how many runners a request crashed, by the name with the higher count."""
        return max(self._counts.count(name) for name in names_of(job))

    def _suspicion(self, fingerprint: int) -> Suspicion:
        self._refresh()
        return self._record.suspicion(fingerprint, self._clock())

    def _refresh(self) -> None:
        """Expire old entries, and retract crashes of runners that have sent bytes since."""
        now = self._clock()
        self._record.expire(now)
        self._counts.expire(now)
        for crash in self._record.crashes():
            runner = self._state.pool.get(crash.runner_id)
            if runner is None or not self._has_survived(runner, crash.crashed_at):
                continue
            self._take_back(crash, runner.last_contact_at)
        self._locally_lost = {
            runner_id: ended_at
            for runner_id, ended_at in self._locally_lost.items()
            if now - ended_at < CRASH_RETENTION_SECONDS or self._record.get(runner_id) is not None
        }

    def _take_back(self, crash: RunnerCrash, contact_at: float) -> None:
        """Drop a crash of a runner that was in contact afterwards, and notify the peers."""
        self._permits.retract(crash)
        self._record.record_contact(crash.runner_id, contact_at)
        self._counts.retract(crash.runner_id, contact_at)
        self._parts.retract(crash.runner_id, contact_at)
        if self._record.get(crash.runner_id) is None:
            self._locally_lost.pop(crash.runner_id, None)
        self._metrics.runner_ends.labels("taken_back").inc()
        logger.info("runner has not ended", extra={"runner": crash.runner_id})
        seen_ms_ago = max(0, int((self._clock() - contact_at) * 1000))
        self._peers.report_runner_crash(
            RunnerEndNotice(crash.runner_id, seen_ms_ago, [], taken_back=True)
        )

    def is_at_stake(self, notice: RunnerEndNotice) -> bool:
        """Return whether this node runs a request that a crash notice may turn out fatal."""
        reported = {request.fingerprint for request in notice.requests}
        return any(fingerprint_of(job) in reported for job, _ in self._active.values())

    def refute(self, runner_id: str, called_at: float) -> None:
        """Take back a crash because the runner's process answers a call that was sent later.

        The process may have crashed since it was called, so this proves no more than that time.
        """
        crash = self._record.get(runner_id)
        if crash is None:
            self._record.record_contact(runner_id, called_at)
            self._counts.retract(runner_id, called_at)
            self._parts.retract(runner_id, called_at)
        elif crash.crashed_at <= called_at:
            self._take_back(crash, called_at)

    def _reset_counts(self, names: Iterable[int]) -> None:
        """Reset the crash counts of these names after a successful run, and notify the peers."""
        now = self._clock()
        found = [name for name in names if self._counts.clear(name, now)]
        if found:
            self._peers.report_runner_crash(RunnerEndNotice("", 0, [], succeeded=found))

    def _reset_survivor_counts(self) -> None:
        """Reset the counts of requests that run here for longer than runs that crash runners."""
        if not self._counts:
            return
        now = self._clock()
        for job, _ in self._active.values():
            run = run_of(job, now)
            if not run.is_settled:
                continue
            survived = [name for name in names_of(job) if self._counts.has_survived(name, run.age)]
            self._reset_counts(survived)

    def _clear_suspicion(self, fingerprint: int) -> None:
        was = self._record.suspicion(fingerprint, self._clock())
        runner_ids = self._record.clear(fingerprint, self._clock())
        if not runner_ids:
            return
        self._peers.report_runner_crash(
            RunnerEndNotice(runner_ids[-1], 0, [], cleared=[fingerprint])
        )
        if was is not Suspicion.NONE:
            self._metrics.runner_ends.labels("cleared").inc()
            logger.info("request cleared", extra={"fingerprint": f"{fingerprint:016x}"})

    async def _wait_for_peers(self, fingerprint: int) -> None:
        """Wait for other nodes' notices of the latest crash, so that all nodes decide alike."""
        remaining = (
            self._record.last_crash_under(fingerprint) + PEER_NOTICE_WAIT_SECONDS - self._clock()
        )
        if remaining > 0:
            await asyncio.sleep(remaining)

    def _schedule_reaction(self) -> None:
        """Schedule notices to peers, and enforcement once the notices of peers have arrived."""
        loop = asyncio.get_running_loop()
        if self._unreported and self._report_handle is None:
            # Attempts that break in the same event loop iteration are reported together.
            self._report_handle = loop.call_soon(self._report_lost)
        if self._enforce_handle is None:
            self._enforce_handle = loop.call_later(PEER_NOTICE_WAIT_SECONDS, self._enforce_verdicts)

    def _report_lost(self) -> None:
        """Notify the peers of the crashes at which this node lost runs."""
        self._report_handle = None
        now = self._clock()
        untold, self._unreported = self._unreported, set()
        for runner_id in sorted(untold):
            crash = self._record.get(runner_id)
            if crash is not None:
                self._send_crash_notices(crash, now)

    def _enforce_verdicts(self) -> None:
        """Abort running fatal requests, and log newly found ones."""
        self._enforce_handle = None
        self._refresh()
        now = self._clock()
        for fingerprint, found in list(self._record.fatal().items()):
            is_held = self._record.suspicion(fingerprint, now) is Suspicion.FATAL
            if is_held and not self._has_survived_crash_age(found, now):
                self._abort_runs(fingerprint)
                self._announce(found)
        self._announced_fatal &= self._record.fatal().keys()
        self._abort_bounded_runs(now)

    def _announce(self, found: FatalRequest) -> None:
        if found.fingerprint in self._announced_fatal:
            return
        self._announced_fatal.add(found.fingerprint)
        self._metrics.runner_ends.labels("fatal").inc()
        logger.warning("request ends runners", extra=evidence_fields(found))

    def _has_survived_crash_age(self, found: FatalRequest, now: float) -> bool:
        """Clear a fatal request if a run of it has outlasted the ages at its crashes.

        Returns:
            Whether the request was cleared.
        """
        longest = max(found.ages, default=0.0)
        for job, _ in self._active.values():
            run = run_of(job, now)
            if fingerprint_of(job) == found.fingerprint and run.is_settled and run.age > longest:
                self._clear_suspicion(found.fingerprint)
                return True
        return False

    def _abort_bounded_runs(self, now: float) -> None:
        """Abort runs of requests that have reached the crash limit since they were sent.

        Runs that have been answering for long are unlikely to crash their runners and continue.
        """
        self._reset_survivor_counts()
        for job, _ in list(self._active.values()):
            if job.trial_send is not None or job.answer_ready:
                continue
            if run_of(job, now).is_settled:
                continue
            is_bounded = any(map(self._counts.has_reached_bound, names_of(job)))
            if is_bounded or self._parts.must_abort(job):
                job.is_fatal = True
                job.expire_now()

    def _abort_runs(self, fingerprint: int) -> None:
        for job, _ in list(self._active.values()):
            if fingerprint_of(job) == fingerprint and not job.answer_ready:
                job.is_fatal = True
                job.expire_now()


def _is_expected_disconnect(runner: Runner, now: float) -> bool:
    """Return whether a runner breaks off runs because it is leaving or loading weights."""
    if runner.has_ended and not runner.entry.draining:
        # The runner did not leave: its next process was seen before its connections broke.
        return False
    return not runner.will_accept(now) or now < runner.loading_until
