"""Decides when a node abandons a run that its runner has neither answered nor broken off.

A run is abandoned only for another attempt. The attempt is claimed from the retry budget first, so
that runs which fall silent together are not abandoned for the same attempt.
"""

from __future__ import annotations

from collections.abc import Callable

from hillstack.core.runner_pool import Runner
from hillstack.errors import ConnectionLostError
from hillstack.serving.begin_bounds import begin_due
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job
from hillstack.serving.placement import RunnerPlacement
from hillstack.serving.silent_attempts import is_path_lost, silence_reason
from hillstack.serving.types import AttemptAbandonedError, Dispatch

# An attempt with less time left is useless: this is the round trip to a runner.
MIN_REMAINING_SECONDS = 0.02
# Attempts that the retry budget must allow before a stream that has begun is abandoned: one that
# another runner may refuse, and one to return to its runner.
TAKE_UP_ATTEMPTS = 2.0


class RunSupervisor:
    """Checks the runs of one node while they are under way.

    Args:
        state: State of the node.
        placement: Knows whether another runner would accept the request.
        clock: Monotonic seconds.
    """

    def __init__(
        self, state: FleetState, placement: RunnerPlacement, clock: Callable[[], float]
    ) -> None:
        self._state = state
        self._placement = placement
        self._clock = clock

    def check_weights(self, job: Job, runner: Runner, dispatch: Dispatch) -> None:
        """Abandon an attempt that has not begun when newer weights are due.

        Raises:
            AttemptAbandonedError: The attempt is abandoned.
        """
        if self._clock() >= begin_due(self._state, job.request.model, dispatch):
            text = "not begun before newer weights were due"
            raise AttemptAbandonedError(text, step="await answer", peer=runner.runner_id)

    def check_silence(self, job: Job, runner: Runner, step: str) -> None:
        """Abandon an attempt at a silent runner if another attempt can be made.

        Otherwise the attempt continues, because the runner may send again.

        Raises:
            AttemptAbandonedError: The attempt is abandoned.
            ConnectionLostError: The process of the runner has ended.
        """
        now = self._clock()
        is_cut_off = is_path_lost(job, runner, now)
        reason = silence_reason(job, runner, now)
        if reason is None and not runner.has_ended and not is_cut_off:
            return
        if is_cut_off and self.may_retry(job) and self.claim_retry(job):
            text = "the path to the runner is lost"
            raise AttemptAbandonedError(text, step=step, peer=runner.runner_id)
        if job.head_sent and job.is_suspect and not runner.has_ended:
            # Another attempt needs a permit, which this run may keep it from. A crashed runner's
            # connection ends by itself.
            return
        if self._may_abandon(job, runner, now) and self.claim_retry(job):
            if runner.has_ended:
                text = "the runner has started again"
                raise ConnectionLostError(text, step=step, peer=runner.runner_id)
            raise AttemptAbandonedError(str(reason), step=step, peer=runner.runner_id)

    def _may_abandon(self, job: Job, runner: Runner, now: float) -> bool:
        """Return whether a run may be abandoned for an attempt at another runner."""
        if job.head_sent and not runner.has_ended:
            allowed = self._state.budget.allowed(job.service, now)
            if allowed < TAKE_UP_ATTEMPTS or not self._placement.may_take_up(job, runner, now):
                return False
        return self.may_try_other(job, runner)

    def may_try_other(self, job: Job, runner: Runner) -> bool:
        """Return whether another runner can serve the request if this attempt is abandoned."""
        return self.may_retry(job) and self._placement.has_alternative(job, runner, self._clock())

    def may_retry(self, job: Job) -> bool:
        """Return whether the route and the retry budget allow another attempt."""
        now = self._clock()
        if not job.may_run_again() or not has_send_left(job, now):
            return False
        return job.has_claimed_retry or self._state.budget.allowed(job.service, now) >= 1.0

    def claim_retry(self, job: Job) -> bool:
        """Take another attempt from the retry budget; return whether it may be made.

        An attempt that was claimed and not sent yet is not taken again.
        """
        now = self._clock()
        if not has_send_left(job, now):
            return False
        if job.may_have_run and not job.may_run_again():
            return False
        if not job.has_claimed_retry:
            job.has_claimed_retry = self._state.budget.try_retry(job.service, now)
        return job.has_claimed_retry


def has_send_left(job: Job, now: float) -> bool:
    """Return whether the number of sends and the remaining time allow another send."""
    return job.sends < job.max_sends and job.deadline - now >= MIN_REMAINING_SECONDS
