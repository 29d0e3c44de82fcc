"""Counts the runners of a service by the reason why they don't accept a request."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from hillstack.core.runner_pool import Runner
from hillstack.serving.job import Job

CENSUS_REASONS = (
    "leaving",
    "backing_off",
    "limited",
    "suspected",
    "loading",
    "too_old",
    "closed",
    "tried",
)


@dataclass(frozen=True, slots=True)
class RunnerCensus:
    """Number of runners of a service by the reason why they don't accept a request.

    Each runner is counted under the first reason that applies.

    Attributes:
        known: All runners, whether they accept the request or not.
        leaving: Runners that drain or were removed.
        backing_off: Runners that asked for a backoff.
        limited: Runners whose rate limit has no room for this node.
        suspected: Runners that failed or were silent.
        loading: Runners that load weights.
        too_old: Runners with weights that must no longer be used.
        closed: Runners with a software version that must not be used.
        tried: Runners that were already tried for this request.
    """

    known: int = 0
    leaving: int = 0
    backing_off: int = 0
    limited: int = 0
    suspected: int = 0
    loading: int = 0
    too_old: int = 0
    closed: int = 0
    tried: int = 0


def take_census(
    job: Job,
    runners: Sequence[Runner],
    oldest: int,
    may_use: Callable[[Job, Runner, float], bool],
    now: float,
) -> RunnerCensus:
    """Count the runners of a service by the first reason why they don't accept a request.

    Args:
        job: The request.
        runners: All runners of the service.
        oldest: The oldest weights version that a runner may have; 0 for application servers.
        may_use: Whether the software version of a runner may be used for the request.
        now: Time on the node's clock.
    """
    model = job.request.model
    counts = dict.fromkeys(CENSUS_REASONS, 0)
    for runner in runners:
        if runner.is_leaving:
            counts["leaving"] += 1
        elif runner.signals.remaining_backoff(now) > 0:
            counts["backing_off"] += 1
        elif now < runner.signals.limit.exhausted_until:
            counts["limited"] += 1
        elif now < runner.suspected_until:
            counts["suspected"] += 1
        elif now < runner.loading_until:
            counts["loading"] += 1
        elif model and runner.likely_weights(model, now) < oldest:
            counts["too_old"] += 1
        elif not may_use(job, runner, now):
            counts["closed"] += 1
        elif runner.runner_id in job.excluded:
            counts["tried"] += 1
    return RunnerCensus(known=len(runners), **counts)
