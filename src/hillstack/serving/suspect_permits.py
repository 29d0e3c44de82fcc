"""Permits of one node's suspects: acquired before a send, and ended with its outcome."""

from __future__ import annotations

from collections.abc import Callable

from hillstack.core.crash_ledger import CrashLedger, KnownLedgers, SendOutcome
from hillstack.core.runner_crashes import RunnerCrash, RunnerCrashRecord
from hillstack.serving.crash_permits import CrashPermits
from hillstack.serving.job import Job
from hillstack.serving.request_names import fingerprint_of
from hillstack.serving.types import Verdict

# A runner may continue an abandoned run for a while, after the caller left, the deadline passed or
# the request was found fatal. For this time the run counts as being at the runner: twice the half
# second within which runners stop after their connection was closed.
ABANDONED_RUN_SECONDS = 1.0
FATAL_REASON = "runners ended while they worked on this request"


class SuspectPermits:
    """Acquires permits for jobs, and reports the outcome of their sends.

    Args:
        permits: Permits of all nodes; None if there are none.
        record: Runner crashes that this node knows.
        ledgers: Requests that have a ledger.
        is_suspect: Returns whether this node suspects a request, by fingerprint.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        permits: CrashPermits | None,
        record: RunnerCrashRecord,
        ledgers: KnownLedgers,
        is_suspect: Callable[[int], bool],
        clock: Callable[[], float],
    ) -> None:
        self._permits = permits
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
        if self._permits is None:
            return
        fingerprint = fingerprint_of(job)
        grant = await self._permits.acquire(
            fingerprint,
            self._unrecorded_outcome(job),
            lambda: self._known_crashed(fingerprint),
            lambda: self._is_suspect(fingerprint),
            self._record.has_survived,
        )
        if grant.is_stored:
            job.crash_permits.clear()
            job.crashed_runners.clear()
        if grant.permit is not None:
            job.crash_permits.add(grant.permit)
            job.has_unused_permit = True
        if not grant.may_send:
            raise job.give_up_error(Verdict.UNAVAILABLE, FATAL_REASON, grant.retry_after)

    def answered(self, job: Job, *, succeeded: bool) -> None:
        """Remove the ledger of a request after a successful run."""
        if not succeeded or self._permits is None:
            return
        if not job.crash_permits and not self._ledgers:
            return
        fingerprint = fingerprint_of(job)
        if not job.crash_permits and not self.has_ledger(fingerprint):
            return
        job.crash_permits.clear()
        job.crashed_runners.clear()
        self._permits.report_success(fingerprint)

    def ended(self, job: Job) -> None:
        """Record the outcome of a request's sends after work on it has ended."""
        if self._permits is None or not (job.crash_permits or job.crashed_runners):
            return
        fingerprint = fingerprint_of(job)
        if not job.crash_permits and not self._is_suspect(fingerprint):
            # The runner crashed together with others, or has not crashed.
            return
        # A runner may continue the last run for a while after its connection was closed.
        has_ended = bool(job.crashed_runners) or job.has_unused_permit
        delay = 0.0 if has_ended else ABANDONED_RUN_SECONDS

        def outcome() -> SendOutcome:
            known = self._unrecorded_outcome(job)
            return SendOutcome(known.permits, known.crashed | self._crashed_under(fingerprint))

        self._permits.report_outcome(fingerprint, outcome, delay)

    def retract(self, crash: RunnerCrash) -> None:
        """Remove a runner that has not crashed from the ledgers of the requests that it ran."""
        for fingerprint in crash.runs:
            ledger = self._ledgers.get(fingerprint, self._clock())
            if self._permits is not None and ledger and crash.runner_id in ledger.crashed:
                self._permits.report_survival(fingerprint, crash.runner_id)

    def _known_crashed(self, fingerprint: int) -> set[str]:
        """Return the runners that crashed according to this node, or to the ledger it knows."""
        ledger = self._ledgers.get(fingerprint, self._clock()) or CrashLedger()
        crashed = ledger.without_survivors(self._record.has_survived).crashed
        return self._crashed_under(fingerprint) | crashed

    def _crashed_under(self, fingerprint: int) -> set[str]:
        """Return the runners that crashed while a run of a request had not settled."""
        return {
            crash.runner_id
            for crash in self._record.crashes()
            if fingerprint in crash.runs and not crash.runs[fingerprint].is_settled
        }

    def _unrecorded_outcome(self, job: Job) -> SendOutcome:
        crashed = (name for name in job.crashed_runners if not self._record.has_survived(name))
        return SendOutcome(frozenset(job.crash_permits), frozenset(crashed))
