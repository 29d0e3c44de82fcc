"""Which requests wait for a runner that wants one again soon, where no other one takes them.

It has asked for a backoff, or there is no room left in the limit that it names.

A request waits only if it can still be served in time after that: a wait that ends in a refusal
costs its caller more than a refusal at once. And no more wait than the runner has places for, of
all nodes together: else what made it ask for a backoff comes back at once when that ends.
"""

from __future__ import annotations

from collections import Counter

from hillstack.core.runner_pool import Runner
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job
from hillstack.serving.placement import RunnerPlacement
from hillstack.serving.runner_limits import holds_back

# The ways there and back, and the turns of the loop: what is left of the objective must cover them
# beside the request's own work.
SPARE_SECONDS = 0.05
# A stream that has begun would be cut otherwise, and its caller stays that long without an event:
# the shortest patience that callers are known to have.
STREAM_PATIENCE_SECONDS = 2.0


class BackoffWaits:
    """Decides who waits, and counts them.

    Args:
        state: What the node knows.
        placement: Knows the runners.
    """

    def __init__(self, state: FleetState, placement: RunnerPlacement) -> None:
        self._state = state
        self._placement = placement
        self._waiting: Counter[str] = Counter()

    def runner_for(self, job: Job, now: float) -> Runner | None:
        """Return the runner in backoff that a request should wait for; None if it should not."""
        runner = self._placement.first_after_backoff(job, now)
        if runner is None or not self._is_in_time(job, runner, now):
            return None
        if self._waiting[runner.runner_id] >= self._places(runner, now):
            return None
        return runner

    def _places(self, runner: Runner, now: float) -> int:
        """Return how many may wait: of a limit there is room for one at a time."""
        if holds_back(runner.signals.limit, now):
            return 1
        return max(1, runner.entry.slots // max(1, self._state.nodes.sharing_count(now)))

    def begin(self, runner: Runner) -> None:
        """Note a request that begins to wait."""
        self._waiting[runner.runner_id] += 1

    def end(self, runner: Runner) -> None:
        """Note the end of its wait."""
        self._waiting[runner.runner_id] -= 1
        if not self._waiting[runner.runner_id]:
            del self._waiting[runner.runner_id]

    def _is_in_time(self, job: Job, runner: Runner, now: float) -> bool:
        """Return whether a request that waits is served in time, as far as that is known."""
        work = self._placement.expected_work(job)
        return runner.ready_at + work + SPARE_SECONDS <= min(job.deadline, _due_at(job))


def _due_at(job: Job) -> float:
    """Return until when an answer is of use: within the objective, or to go on with a stream."""
    if job.head_sent and job.last_event_at is not None:
        return job.last_event_at + STREAM_PATIENCE_SECONDS
    if job.route.target_seconds > 0:
        return job.request.arrived_at + job.route.target_seconds
    return job.deadline
