"""Stops requests with a prompt part that crashes runners, together with the peers.

Requests that share such a part may be unlike each other in everything else. This node reports the
parts of its runs at a crash to the peers, and clears parts whose runs succeed
(``core.part_crashes``). A request with a fatal part is rejected at once. One with a suspected part
needs a permit, of which there are three for a part over all nodes, until a run with the part
succeeds. While no runner has crashed, a request costs a look at two empty collections.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable, Mapping

from hillstack.core.part_crashes import (
    MIN_SUSPECT_CRASHES,
    NO_SUSPICION,
    SURVIVAL_MARGIN_SECONDS,
    PartSuspicion,
    PartVerdict,
)
from hillstack.core.rendezvous import ranked
from hillstack.core.run_at_crash import RunAtCrash
from hillstack.core.runner_pool import Runner
from hillstack.messages.runner_ends import RunnerEndNotice
from hillstack.serving.crash_logs import log_fatal_part, log_part, log_part_refused
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job
from hillstack.serving.metrics import FleetMetrics
from hillstack.serving.part_ledger_upkeep import PartLedgerUpkeep
from hillstack.serving.part_notices import part_notices, part_runs, reported_part_runs
from hillstack.serving.peers import PeerNotifier
from hillstack.serving.permitted_sends import PermittedSends
from hillstack.serving.request_names import (
    fingerprint_of,
    part_names_of,
    shared_part_names,
)
from hillstack.serving.suspect_permits import PermitServices, SuspectPermits
from hillstack.serving.suspected_parts import (
    TrialOrder,
    has_long_answered,
    has_unused_permit,
    is_resumed,
    known_ledger,
    likeliest_part,
    with_ledgers,
)
from hillstack.serving.types import Verdict

PART_REASON = "runners ended while they worked on a part of this prompt"
# Longest wait of a request for the outcome of a trial of one of its parts.
TRIAL_WAIT_SECONDS = 1.0
TRIAL_CHECK_SECONDS = 0.02
# Retry delay while a trial is under way, which ends or settles in most cases within this time.
TRIAL_RETRY_SECONDS = 1.0
# Age from which a run that is still under way counts as a success for comparison: its runner has
# outlasted the time in a queue and the beginning of the answer.
LONG_RUN_SECONDS = 1.5
# A check of a stream that is due a little early would find that it has not survived yet.
SURVIVAL_CHECK_SECONDS = SURVIVAL_MARGIN_SECONDS + 0.01
# Number of nodes that report a crash to a node that has just started.
CRASH_REPORTERS = 3

# A revision that ``PartCrashes`` never has.
UNKNOWN_REVISION = -1

ActiveAttempts = Mapping[str, tuple[Job, Runner]]


class PartCrashMonitor:
    """Judges requests of one node by the parts of their prompts.

    Args:
        state: State of the node.
        peers: Sends notices to the peers.
        clock: Monotonic seconds.
        metrics: Counts verdicts.
        active: This node's attempts under way, by identifier.
    """

    def __init__(
        self,
        state: FleetState,
        peers: PeerNotifier,
        clock: Callable[[], float],
        metrics: FleetMetrics,
        active: ActiveAttempts,
    ) -> None:
        self._state = state
        self._crashes = state.part_crashes
        self._ledgers = state.part_ledgers
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._active = active
        # Parts of which a request of this node acquires a permit, or runs under one.
        self._trials: dict[int, Job] = {}
        self._order = TrialOrder()
        # Attempts that were counted as successes while they were under way.
        self._counted: set[str] = set()
        self._fatal: list[int] = []
        self._upkeep = PartLedgerUpkeep(state, clock)
        # The crashes that this node last reacted to.
        self._revision = UNKNOWN_REVISION
        self.set_permits(None)

    def set_permits(self, services: PermitServices | None) -> None:
        """Set the permits for suspected parts."""
        self._services = services
        self._permits = SuspectPermits(
            services,
            self._state.runner_crashes,
            self._ledgers,
            self._has_evidence,
            self._clock,
            PART_REASON,
        )

    def check(self, job: Job) -> None:
        """Check whether the parts of a request allow to send it, now or after a trial.

        Raises:
            RejectedError: The request has a fatal part.
            StreamCutError: The same, and its answer has begun.
        """
        if self._is_active():
            self._judge_or_reject(job)

    async def prepare_send(self, job: Job) -> None:
        """Check whether a request may be sent now, and acquire a permit if a part is suspected.

        Raises:
            RejectedError: The request has a fatal part, or one of whose trials it got no permit.
            StreamCutError: The same, and its answer has begun.
        """
        latest = self._clock() + TRIAL_WAIT_SECONDS
        while self._is_active():
            verdict = self._judge_or_reject(job)
            is_suspect = verdict.suspicion is not PartSuspicion.NONE
            if not is_suspect or self._services is None or has_long_answered(job):
                return
            part = likeliest_part(verdict.parts, self._crashes)
            if has_unused_permit(job, part):
                job.suspect_rank = self._state.runner_crashes.place(part)
                return
            may_wait = self._clock() < latest
            is_free = self._trials.get(part, job) is job
            has_fewest = self._order.may_go(part, len(verdict.parts), self._clock())
            if is_free and has_fewest and not (may_wait and len(verdict.parts) > 1):
                served_in = self._crashes.served_in_seconds(part, self._clock())
                if served_in == 0:
                    self._trials[part] = job
                    return
                if served_in is not None:
                    raise job.give_up_error(Verdict.UNAVAILABLE, PART_REASON, served_in)
                await self._acquire(job, part)
            elif may_wait:
                await asyncio.sleep(TRIAL_CHECK_SECONDS)
            else:
                raise job.give_up_error(Verdict.UNAVAILABLE, PART_REASON, TRIAL_RETRY_SECONDS)

    async def _acquire(self, job: Job, part: int) -> None:
        self._trials[part] = job
        permitted = job.part_permits.setdefault(part, PermittedSends())
        await self._permits.acquire(job, part, permitted)
        if not has_unused_permit(job, part):
            # The store has no ledger of the part, and this node no longer suspects it.
            self._ledgers.update(part, None, self._clock())

    def sent(self, job: Job, runner_id: str) -> None:
        """Record that a request is sent to a runner."""
        for part, permitted in job.part_permits.items():
            if not has_unused_permit(job, part):
                continue
            permitted.sent(runner_id)
            log_part("suspected part sent", job, part, runner=runner_id)
            self._metrics.runner_ends.labels("part_sent").inc()

    def started(self, attempt_id: str) -> None:
        """Record the first bytes of an attempt's answer; check later whether it survives."""
        if self._is_active():
            loop = asyncio.get_running_loop()
            loop.call_later(SURVIVAL_CHECK_SECONDS, self._check_stream, attempt_id)

    def finished(self, job: Job, runner_id: str, *, may_still_run: bool) -> None:
        """Record the end of an attempt."""
        for permitted in job.part_permits.values():
            self._permits.finished(job, permitted, runner_id, may_still_run=may_still_run)
        self._release_trials(job)

    def answered(self, job: Job, *, succeeded: bool) -> None:
        """Record that an answer was passed on; a success clears the parts of its request."""
        if not succeeded or not self._is_active():
            return
        self._record_success(job)
        for part, permitted in job.part_permits.items():
            self._permits.answered(part, permitted, succeeded=True)
        self._clear(job, [part for part in shared_part_names(job) if self._refutes(job, part)])

    def ended(self, job: Job) -> None:
        """Record that work on a request has ended."""
        self._release_trials(job)
        for part, permitted in job.part_permits.items():
            crashed = self._crashes.crashes(part).keys()
            runners = {send.runner_id for send in permitted.sends}
            self._crashes.record_trials(part, runners & crashed, self._clock())
            self._permits.ended(part, permitted)

    def record(self, runner_id: str, crashed_at: float, runs: Iterable[RunAtCrash]) -> None:
        """Record a crash that this node observed, under the parts of its runs."""
        self._crashes.record(runner_id, crashed_at, part_runs(runs))
        self._react()

    def observe(self, notice: RunnerEndNotice, ended_at: float) -> None:
        """Record the parts in a peer's notice of a crash."""
        if notice.parts:
            self._crashes.record(notice.runner_id, ended_at, reported_part_runs(notice))
            self._react()

    def observe_success(self, names: list[int], now: float) -> None:
        """Clear the parts with which runs have succeeded at a peer."""
        for name in names:
            self._forget(name, now)
        if names:
            self._react()

    def retract(self, runner_id: str, contact_at: float) -> None:
        """Remove the crash of a runner that has not crashed."""
        self._crashes.retract(runner_id, contact_at)
        self._react()

    def notices(self, runner_ids: Iterable[str]) -> list[RunnerEndNotice]:
        """Return the notices of the parts that crashes of runners may have been caused by."""
        now = self._clock()
        return [
            notice
            for runner_id in runner_ids
            for notice in part_notices(runner_id, self._crashes.runs_at(runner_id), now)
        ]

    def initial_notices(self, others: list[str]) -> list[RunnerEndNotice]:
        """Return the notices for a node that has just started, which some nodes share.

        Args:
            others: The nodes that know of the crashes.
        """
        return self.notices(
            runner_id
            for runner_id in self._crashes.runner_ids()
            if self._state.node_id in ranked(runner_id, others)[:CRASH_REPORTERS]
        )

    def refresh(self, now: float) -> None:
        """Expire old crashes, clear parts whose runs survive, and repeat marks that were lost."""
        if not self._is_active():
            return
        for part in self._ledgers.expire(now):
            self._crashes.forget_ledger(part)
        for part in self._crashes.expire(now):
            if self._services is not None:
                self._services.recorder.report_success(part)
        self._counted.intersection_update(self._active)
        for attempt_id, (job, _) in list(self._active.items()):
            if now - job.sent_at > LONG_RUN_SECONDS:
                self._count_long_run(attempt_id)
            self._check_survival(attempt_id)
        if self._services is not None:
            self._upkeep.correct_ledgers(self._services, self._fatal)
        # Successes and marks make parts fatal too, without a change of the crashes.
        self._revision = UNKNOWN_REVISION
        self._react()

    def must_abort(self, job: Job) -> bool:
        """Return whether a run under way has a fatal part; a trial goes on to its end."""
        if not self._is_active() or any(trial is job for trial in self._trials.values()):
            return False
        return self._judge(job).suspicion is PartSuspicion.FATAL

    def _is_active(self) -> bool:
        return bool(self._crashes) or bool(self._ledgers)

    def _judge(self, job: Job) -> PartVerdict:
        """Judge a request by the crashes known here, or by ledgers where those are too few."""
        now = self._clock()
        parts = part_names_of(job)
        verdict = self._crashes.judge(parts, now) if parts else NO_SUSPICION
        if verdict.suspicion is PartSuspicion.FATAL or not self._ledgers:
            return verdict
        few = [part for part in parts if not self._is_suspect(part)]
        listed = [part for part in few if self._permits.has_ledger(part)]
        return with_ledgers(
            verdict, {part: known_ledger(self._state, part, now) for part in listed}
        )

    def _judge_or_reject(self, job: Job) -> PartVerdict:
        verdict = self._judge(job)
        if verdict.suspicion is not PartSuspicion.FATAL:
            return verdict
        self._metrics.runner_ends.labels("part_refused").inc()
        log_part_refused(job, verdict.parts[0], self._crashes)
        if self._state.runner_crashes.last_crash_under(fingerprint_of(job)) > -math.inf:
            # An earlier try of this request has run.
            job.may_have_run = True
        raise job.give_up_error(Verdict.UNAVAILABLE, PART_REASON, verdict.retry_after)

    def _is_suspect(self, part: int) -> bool:
        return len(self._crashes.crashes(part)) >= MIN_SUSPECT_CRASHES

    def _has_evidence(self, part: int) -> bool:
        return self._is_suspect(part) or bool(self._crashes.trials(part))

    def _release_trials(self, job: Job) -> None:
        if self._trials:
            self._trials = {part: at for part, at in self._trials.items() if at is not job}

    def _refutes(self, job: Job, part: int) -> bool:
        """Return whether a success of a request shows that a part does not crash runners."""
        if self._crashes.crashes(part):
            age = self._clock() - job.sent_at if is_resumed(job) else math.inf
            return self._crashes.is_evidence(part, job.sent_at, age)
        return self._permits.has_ledger(part)

    def _check_stream(self, attempt_id: str) -> None:
        """Check a stream whose answer began a while ago."""
        if self._count_long_run(attempt_id):
            self._check_survival(attempt_id)

    def _count_long_run(self, attempt_id: str) -> bool:
        """Count a run that is still under way as a success for comparison, once.

        Returns:
            Whether it is under way and was not counted before.
        """
        found = self._active.get(attempt_id)
        if found is None or attempt_id in self._counted:
            return False
        self._counted.add(attempt_id)
        self._record_success(found[0])
        return True

    def _record_success(self, job: Job) -> None:
        if shared_part_names(job):
            self._crashes.record_success(part_names_of(job), self._clock())

    def _check_survival(self, attempt_id: str) -> None:
        """Clear the parts whose crashes a run under way has outlasted."""
        job, _ = self._active.get(attempt_id, (None, None))
        if job is None or not self._crashes:
            return
        now = self._clock()
        answering = None if job.answering_since is None else now - job.answering_since
        survived = [
            part
            for part in shared_part_names(job)
            if self._crashes.has_survived(part, job.sent_at, now - job.sent_at, answering)
        ]
        self._clear(job, survived)

    def _clear(self, job: Job, parts: list[int]) -> None:
        if not parts:
            return
        now = self._clock()
        for part in parts:
            if self._services is not None and self._permits.has_ledger(part):
                self._services.recorder.report_success(part)
            self._forget(part, now)
            log_part("part cleared", job, part)
        self._peers.report_runner_crash(RunnerEndNotice("", 0, [], succeeded=parts))
        self._react()

    def _forget(self, part: int, now: float) -> None:
        """Forget the crashes and the ledger of a part that does not crash runners."""
        self._crashes.clear(part, now)
        self._ledgers.update(part, None, now)

    def _react(self) -> None:
        """Apply changed crashes: what they explain, and which parts are fatal."""
        if self._crashes.revision != self._revision:
            self._revision = self._crashes.revision
            fatal = self._crashes.fatal_parts()
            explained = self._crashes.explained_runners(fatal)
            self._state.runner_crashes.set_explained_by_parts(explained)
            self._state.crash_counts.set_explained_by_parts(explained)
            self._announce(fatal)
            self._fatal = fatal
        if self._services is not None:
            self._upkeep.write_marks(self._services, self._fatal)

    def _announce(self, fatal: list[int]) -> None:
        for part in fatal:
            if part in self._fatal:
                continue
            self._metrics.runner_ends.labels("fatal_part").inc()
            log_fatal_part(part, self._crashes)
