"""The runs of one node at its runners: those that it has abandoned, as they are at a crash."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from hillstack.core.run_at_crash import RunAtCrash
from hillstack.core.runner_pool import Runner
from hillstack.serving.job import Job
from hillstack.serving.request_names import content_of, fingerprint_of, shared_part_ids
from hillstack.serving.run_survival import ABANDONED_RUN_SECONDS

# The crash time in a notice may be slightly earlier than an abandonment that preceded the crash.
ABANDONED_RUN_SLACK_SECONDS = 0.1


def run_of(job: Job, now: float) -> RunAtCrash:
    """Return the current run of a request, as it is if its runner crashes now."""
    return _run_at(job, job.sent_at, job.answering_since, now)


@dataclass(frozen=True, slots=True)
class _AbandonedRun:
    """A run that this node abandoned before its end.

    Attributes:
        at: When the run was abandoned, on the node's clock.
        sent_at: When the attempt was sent.
        answering_since: When the first bytes of the answer arrived; None before.
    """

    job: Job
    runner_id: str
    at: float
    sent_at: float
    answering_since: float | None

    def may_have_caused(self, runner_id: str, crashed_at: float) -> bool:
        """Return whether the run may still have been on a runner when the runner crashed."""
        since = crashed_at - self.at
        is_recent = -ABANDONED_RUN_SLACK_SECONDS < since < ABANDONED_RUN_SECONDS
        return self.runner_id == runner_id and is_recent


class AbandonedRuns:
    """The runs that one node abandoned in the last ``ABANDONED_RUN_SECONDS``."""

    def __init__(self) -> None:
        self._runs: deque[_AbandonedRun] = deque()

    def add(self, job: Job, runner: Runner, now: float) -> None:
        """Record that the current run of a request is abandoned."""
        while self._runs and now - self._runs[0].at >= ABANDONED_RUN_SECONDS:
            self._runs.popleft()
        run = _AbandonedRun(job, runner.runner_id, now, job.sent_at, job.answering_since)
        self._runs.append(run)

    def any_at(self, runner_id: str) -> bool:
        """Return whether any run at a runner is recorded."""
        return any(run.runner_id == runner_id for run in self._runs)

    def at_crash(self, runner_id: str, crashed_at: float) -> dict[int, RunAtCrash]:
        """Return the runs that were abandoned at a runner shortly before it crashed."""
        return {
            fingerprint_of(run.job): _run_at(run.job, run.sent_at, run.answering_since, crashed_at)
            for run in self._runs
            if run.may_have_caused(runner_id, crashed_at)
        }


def _run_at(job: Job, sent_at: float, answering_since: float | None, now: float) -> RunAtCrash:
    answering = None if answering_since is None else now - answering_since
    return RunAtCrash(now - sent_at, answering, content_of(job), shared_part_ids(job))
