"""Sends a request back to its runner if the run there was left over a silent relay.

Nothing but the relay can end that run. At another runner, the request would be worked on by two; at
the same one it finds its prompt in the KV cache, over this node's own connection.
"""

from __future__ import annotations

import logging

from hillstack.core.runner_pool import SILENCE_SECONDS, Runner
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job, PlacedAttempt
from hillstack.serving.placement import RunnerPlacement

logger = logging.getLogger(__name__)


def choose_runner(
    placement: RunnerPlacement, state: FleetState, job: Job, now: float
) -> PlacedAttempt | None:
    """Return a runner for the next attempt: the one to return to if it accepts the request."""
    runner_id, job.returns_to = job.returns_to, None
    if runner_id is None:
        return placement.choose(job, now)
    service_ids = {runner.runner_id for runner in state.pool.of_service(job.service)}
    other_ids = service_ids - job.excluded - {runner_id}
    job.excluded |= other_ids
    placed = placement.choose(job, now)
    job.excluded -= other_ids
    return placed if placed is not None else placement.choose(job, now)


def note_failed_run(state: FleetState, job: Job, runner: Runner, now: float) -> None:
    """Exclude and suspect the runner of a failed attempt, unless only a connection to it failed."""
    is_left = state.left_relayed_runs.take(job.request.request_id, runner.address)
    is_alive = not runner.has_ended and now - runner.last_contact_at < SILENCE_SECONDS
    if is_left and is_alive:
        job.returns_to = runner.runner_id
        fields = {"request": job.request.request_id, "runner": runner.runner_id}
        logger.info("returns to its runner", extra=fields)
        return
    if job.sent_at >= runner.path_lost_at:
        job.excluded.add(runner.runner_id)
    state.pool.failed(runner, now, job.sent_at)
