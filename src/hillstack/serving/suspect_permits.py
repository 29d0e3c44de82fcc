"""Permits of one node's suspects: acquired before a send, and ended with its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from hillstack.core.crash_ledger import KnownLedgers, SendOutcome
from hillstack.core.run_at_crash import SETTLED_SECONDS
from hillstack.core.runner_crashes import RunnerCrash, RunnerCrashRecord
from hillstack.serving.crash_knowledge import Knowledge
from hillstack.serving.crash_permits import CrashPermits, PeerPermitSource, Suspect
from hillstack.serving.job import Job
from hillstack.serving.ledger_recorder import LedgerRecorder
from hillstack.serving.permitted_sends import PermittedSend, PermittedSends
from hillstack.serving.run_survival import RunSurvival
from hillstack.serving.types import Verdict

FATAL_REASON = "runners ended while they worked on this request"


@dataclass(frozen=True, slots=True)
class PermitServices:
    """What one node needs to acquire permits and to end them.

    Attributes:
        knowledge: Runners that crashed under a name.
        permits: Issues permits.
        peers: Takes peer permits back.
        recorder: Records the outcome of sends in the ledgers.
        survival: Checks runners on which this node abandoned a run.
        parts: The same for prompt parts; None where these have no permits.
    """

    knowledge: Knowledge
    permits: CrashPermits
    peers: PeerPermitSource
    recorder: LedgerRecorder
    survival: RunSurvival
    parts: PermitServices | None = None

    def close(self) -> None:
        """Stop the work in the background."""
        self.recorder.close()
        if self.parts is not None:
            self.parts.close()


class SuspectPermits:
    """Acquires permits for jobs, and records the outcome of their sends.

    A permit is issued for a name: the fingerprint of a request, or the name of a prompt part.

    Args:
        services: Permits of all nodes; None if there are none.
        record: Runner crashes that this node knows.
        ledgers: Names that have a ledger.
        is_suspect: Returns whether this node suspects a name.
        clock: Monotonic seconds.
        reason: What callers are told if there is no permit.
    """

    def __init__(
        self,
        services: PermitServices | None,
        record: RunnerCrashRecord,
        ledgers: KnownLedgers,
        is_suspect: Callable[[int], bool],
        clock: Callable[[], float],
        reason: str = FATAL_REASON,
    ) -> None:
        self._services = services
        self._record = record
        self._ledgers = ledgers
        self._is_suspect = is_suspect
        self._clock = clock
        self._reason = reason

    def has_ledger(self, name: int) -> bool:
        """Return whether a permit is needed according to the store."""
        return self._ledgers.get(name, self._clock()) is not None

    async def acquire(self, job: Job, name: int, permitted: PermittedSends) -> None:
        """Acquire a permit to send a suspect.

        Args:
            job: The suspect.
            name: The name that needs the permit.
            permitted: The job's sends under permits for that name.

        Raises:
            RejectedError: The request may not be sent now.
            StreamCutError: The same, and its answer has begun.
        """
        if self._services is None:
            return
        knowledge = self._services.knowledge
        earlier = self._outcome(permitted, knowledge.noticed(name))
        self._give_back_peer_permits(name, permitted, earlier)
        grant = await self._services.permits.acquire(
            Suspect(
                name,
                lambda: knowledge.crashed(name),
                lambda: self._is_suspect(name),
                self._record.has_survived,
                earlier,
                frozenset(send.permit for send in permitted.abandoned()),
            )
        )
        if grant.is_stored:
            permitted.recorded(earlier)
        if grant.permit is not None:
            permitted.sends.append(PermittedSend(grant.permit, grant.peer_permit))
        if not grant.may_send:
            raise job.give_up_error(Verdict.UNAVAILABLE, self._reason, grant.retry_after)

    def finished(
        self, job: Job, permitted: PermittedSends, runner_id: str, *, may_still_run: bool
    ) -> None:
        """Record the end of a send; a run that had settled is no cause of a later crash."""
        if not permitted.sends:
            return
        now = self._clock()
        is_settled = job.answering_since is not None and now - job.answering_since > SETTLED_SECONDS
        permitted.finished(runner_id, now, may_still_run=may_still_run and not is_settled)

    def answered(self, name: int, permitted: PermittedSends, *, succeeded: bool) -> None:
        """Remove the ledger of a name after a successful run."""
        if not succeeded or self._services is None:
            return
        if not permitted.sends and not self.has_ledger(name):
            return
        for send in permitted.sends:
            if send.peer_permit is not None:
                self._services.peers.give_back(name, send.peer_permit)
        permitted.sends.clear()
        permitted.crashed_runners.clear()
        self._services.recorder.report_success(name)

    def ended(self, name: int, permitted: PermittedSends) -> None:
        """Record the outcome of a request's sends after work on it has ended."""
        if self._services is None or not permitted:
            return
        if not permitted.sends and not self._is_suspect(name):
            # The runner crashed together with others, or has not crashed.
            return
        permitted.will_not_be_sent()
        abandoned = permitted.abandoned()
        if len(abandoned) < len(permitted.sends) or permitted.crashed_runners:
            self._services.recorder.start(self._record_ended(name, permitted))
        if abandoned:
            self._services.recorder.start(self._record_abandoned(name, permitted, abandoned))

    async def _record_abandoned(
        self, name: int, permitted: PermittedSends, abandoned: list[PermittedSend]
    ) -> None:
        """Record the outcome of abandoned sends once it is known.

        A permit of a send whose runner may have crashed stays until its ledger expires.
        """
        assert self._services is not None
        await asyncio.gather(*(self._services.survival.check(send) for send in abandoned))
        await self._record_ended(name, permitted)

    async def _record_ended(self, name: int, permitted: PermittedSends) -> None:
        """Record the outcome of the sends that have ended, and return their peer permits."""
        assert self._services is not None
        knowledge = self._services.knowledge
        outcome = self._outcome(permitted, knowledge.noticed(name))
        self._give_back_peer_permits(name, permitted, outcome)
        recorded = SendOutcome(outcome.permits, outcome.crashed | knowledge.counted(name))
        await self._services.recorder.record_outcome(name, recorded)

    def _give_back_peer_permits(
        self, name: int, permitted: PermittedSends, outcome: SendOutcome
    ) -> None:
        assert self._services is not None
        for permit in permitted.unused_peer_permits(outcome):
            self._services.peers.give_back(name, permit)

    def retract(self, crash: RunnerCrash) -> None:
        """Remove a runner that has not crashed from the ledgers of the requests that it ran."""
        for fingerprint in crash.runs:
            ledger = self._ledgers.get(fingerprint, self._clock())
            if self._services is not None and ledger and crash.runner_id in ledger.crashed:
                self._services.recorder.report_survival(fingerprint, crash.runner_id)

    def _outcome(self, permitted: PermittedSends, noticed: set[str]) -> SendOutcome:
        return permitted.outcome(noticed, self._record.has_survived)
