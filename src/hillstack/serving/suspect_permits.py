"""Permits of one node's suspects: acquired before a send, and ended with its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from hillstack.core.crash_ledger import KnownLedgers, SendOutcome
from hillstack.core.run_at_crash import SETTLED_SECONDS
from hillstack.core.runner_crashes import RunnerCrash, RunnerCrashRecord
from hillstack.serving.crash_knowledge import CrashKnowledge
from hillstack.serving.crash_permits import CrashPermits, PeerPermitSource, Suspect
from hillstack.serving.job import Job
from hillstack.serving.ledger_recorder import LedgerRecorder
from hillstack.serving.permitted_sends import PermittedSend
from hillstack.serving.request_names import fingerprint_of
from hillstack.serving.run_survival import RunSurvival
from hillstack.serving.types import Verdict

FATAL_REASON = "runners ended while they worked on this request"


@dataclass(frozen=True, slots=True)
class PermitServices:
    """What one node needs to acquire permits and to end them.

    Attributes:
        knowledge: Runners that crashed under a request.
        permits: Issues permits.
        peers: Takes peer permits back.
        recorder: Records the outcome of sends in the ledgers.
        survival: Checks runners on which this node abandoned a run.
    """

    knowledge: CrashKnowledge
    permits: CrashPermits
    peers: PeerPermitSource
    recorder: LedgerRecorder
    survival: RunSurvival


class SuspectPermits:
    """Acquires permits for jobs, and records the outcome of their sends.

    Args:
        services: Permits of all nodes; None if there are none.
        record: Runner crashes that this node knows.
        ledgers: Requests that have a ledger.
        is_suspect: Returns whether this node suspects a request, by fingerprint.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        services: PermitServices | None,
        record: RunnerCrashRecord,
        ledgers: KnownLedgers,
        is_suspect: Callable[[int], bool],
        clock: Callable[[], float],
    ) -> None:
        self._services = services
        self._record = record
        self._ledgers = ledgers
        self._is_suspect = is_suspect
        self._clock = clock

    def has_ledger(self, fingerprint: int) -> bool:
        """Return whether a request needs a permit according to the store."""
        return self._ledgers.get(fingerprint, self._clock()) is not None

    async def acquire(self, job: Job) -> None:
        """Acquire a permit to send a suspect.

        Raises:
            RejectedError: The request may not be sent now.
            StreamCutError: The same, and its answer has begun.
        """
        if self._services is None:
            return
        fingerprint = fingerprint_of(job)
        knowledge = self._services.knowledge
        earlier = self._outcome(job, knowledge.noticed(fingerprint))
        self._give_back_peer_permits(job, earlier)
        grant = await self._services.permits.acquire(
            Suspect(
                fingerprint,
                lambda: knowledge.crashed(fingerprint),
                lambda: self._is_suspect(fingerprint),
                self._record.has_survived,
                earlier,
                frozenset(send.permit for send in job.permitted.abandoned()),
            )
        )
        if grant.is_stored:
            job.permitted.recorded(earlier)
        if grant.permit is not None:
            job.permitted.sends.append(PermittedSend(grant.permit, grant.peer_permit))
        if not grant.may_send:
            raise job.give_up_error(Verdict.UNAVAILABLE, FATAL_REASON, grant.retry_after)

    def sent(self, job: Job, runner_id: str) -> None:
        """Record that a request is sent to a runner."""
        job.permitted.sent(runner_id)

    def finished(self, job: Job, runner_id: str, *, may_still_run: bool) -> None:
        """Record the end of a send; a run that had settled is no cause of a later crash."""
        if not job.permitted.sends:
            return
        now = self._clock()
        is_settled = job.answering_since is not None and now - job.answering_since > SETTLED_SECONDS
        job.permitted.finished(runner_id, now, may_still_run=may_still_run and not is_settled)

    def answered(self, job: Job, *, succeeded: bool) -> None:
        """Remove the ledger of a request after a successful run."""
        if not succeeded or self._services is None:
            return
        if not job.permitted.sends and not self._ledgers:
            return
        fingerprint = fingerprint_of(job)
        if not job.permitted.sends and not self.has_ledger(fingerprint):
            return
        for send in job.permitted.sends:
            if send.peer_permit is not None:
                self._services.peers.give_back(fingerprint, send.peer_permit)
        job.permitted.sends.clear()
        job.permitted.crashed_runners.clear()
        self._services.recorder.report_success(fingerprint)

    def ended(self, job: Job) -> None:
        """Record the outcome of a request's sends after work on it has ended."""
        if self._services is None or not job.permitted:
            return
        if not job.permitted.sends and not self._is_suspect(fingerprint_of(job)):
            # The runner crashed together with others, or has not crashed.
            return
        job.permitted.will_not_be_sent()
        abandoned = job.permitted.abandoned()
        if len(abandoned) < len(job.permitted.sends) or job.permitted.crashed_runners:
            self._services.recorder.start(self._record_ended(job))
        if abandoned:
            self._services.recorder.start(self._record_abandoned(job, abandoned))

    async def _record_abandoned(self, job: Job, abandoned: list[PermittedSend]) -> None:
        """Record the outcome of abandoned sends once it is known.

        A permit of a send whose runner may have crashed stays until its ledger expires.
        """
        assert self._services is not None
        await asyncio.gather(*(self._services.survival.check(send) for send in abandoned))
        await self._record_ended(job)

    async def _record_ended(self, job: Job) -> None:
        """Record the outcome of the sends that have ended, and return their peer permits."""
        assert self._services is not None
        noticed = self._services.knowledge.noticed(fingerprint_of(job))
        outcome = self._outcome(job, noticed)
        self._give_back_peer_permits(job, outcome)
        recorded = SendOutcome(outcome.permits, outcome.crashed | noticed)
        await self._services.recorder.record_outcome(fingerprint_of(job), recorded)

    def _give_back_peer_permits(self, job: Job, outcome: SendOutcome) -> None:
        assert self._services is not None
        for permit in job.permitted.unused_peer_permits(outcome):
            self._services.peers.give_back(fingerprint_of(job), permit)

    def retract(self, crash: RunnerCrash) -> None:
        """Remove a runner that has not crashed from the ledgers of the requests that it ran."""
        for fingerprint in crash.runs:
            ledger = self._ledgers.get(fingerprint, self._clock())
            if self._services is not None and ledger and crash.runner_id in ledger.crashed:
                self._services.recorder.report_survival(fingerprint, crash.runner_id)

    def _outcome(self, job: Job, noticed: set[str]) -> SendOutcome:
        return job.permitted.outcome(noticed, self._record.has_survived)
