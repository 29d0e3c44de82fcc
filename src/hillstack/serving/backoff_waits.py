"""Decides which requests wait for a runner in backoff when no other runner accepts them.

A runner is in backoff while a backoff that it asked for lasts, or while the rate limit that it
announced has no room.

A request waits only if it can still be served in time afterwards: a wait that ends in a refusal
costs the caller more than an immediate refusal. The slots of a runner are divided among the nodes,
and only as many requests wait at each node, but at least one. Otherwise the load that made the
runner ask for a backoff would return as soon as the backoff ends. While the runner's rate limit has
no room, one request waits at each node.
"""

from __future__ import annotations

from collections import Counter

from hillstack.core.runner_pool import Runner
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job
from hillstack.serving.placement import RunnerPlacement
from hillstack.serving.runner_limits import holds_back

# Round trip and event loop iterations, which the remaining time must cover in addition to the work
# of the request itself.
DELIVERY_MARGIN_SECONDS = 0.05
# Time after the latest event of a stream that has begun until which its first bytes from the next
# attempt are expected to be useful. It is a lower bound on the time for which callers wait for the
# next event, so it is below the 3.2 s after which callers were seen to abandon a stream
# (``pipeline.CONNECTION_SILENCE_SECONDS``). Without the wait the stream would be cut.
STREAM_PATIENCE_SECONDS = 2.0


class BackoffWaits:
    """Decides which requests wait, and counts the waiting requests of each runner.

    Args:
        state: State of the node.
        placement: Finds the runners that may serve a request.
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
        if self._waiting[runner.runner_id] >= self._waiting_capacity(runner, now):
            return None
        return runner

    def _waiting_capacity(self, runner: Runner, now: float) -> int:
        """Return how many requests of this node may wait for a runner.

        This is the node's share of the slots, at least one; one while the rate limit has no room.
        """
        if holds_back(runner.signals.limit, now):
            return 1
        return max(1, runner.entry.slots // max(1, self._state.nodes.budget_node_count(now)))

    def begin(self, runner: Runner) -> None:
        """Count a request that begins to wait."""
        self._waiting[runner.runner_id] += 1

    def end(self, runner: Runner) -> None:
        """Stop counting a request whose wait has ended."""
        self._waiting[runner.runner_id] -= 1
        if not self._waiting[runner.runner_id]:
            del self._waiting[runner.runner_id]

    def _is_in_time(self, job: Job, runner: Runner, now: float) -> bool:
        """Return whether a request is expected to be served in time if it waits."""
        work = self._placement.expected_work_seconds(job)
        return runner.ready_at + work + DELIVERY_MARGIN_SECONDS <= min(
            job.deadline, _useful_until(job)
        )


def _useful_until(job: Job) -> float:
    """Return until when the first bytes of an answer are useful to the caller.

    A stream that has begun must continue before its caller gives up. Any other answer must begin
    within the latency objective of the route or, without one, before the deadline.
    """
    if job.head_sent and job.last_event_at is not None:
        return job.last_event_at + STREAM_PATIENCE_SECONDS
    if job.route.target_seconds > 0:
        return job.request.arrived_at + job.route.target_seconds
    return job.deadline
