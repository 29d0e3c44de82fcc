"""Faults in requests and in software: fatal requests, and rollouts that may be bad."""

from __future__ import annotations

import asyncio
import time
from random import Random

from hillstack.emulator.fleet_runner import SoftwareFaults
from tests.fleet.builders import APPLICATION, ENGINES
from tests.soak.callers import KINDS
from tests.soak.faults import Fault
from tests.soak.observations import Rollout
from tests.soak.software import is_decided
from tests.soak.system import SystemUnderTest

BAD_SHARE = 0.25
# Duration of a rollout: long enough for each route to get the answers that decide on a version.
ROLLOUT_SECONDS = (14.0, 20.0)
# Time after the deadline for a new holder of the rollout's lease to decide, if a fault ended the
# previous holder and the store was unavailable in between.
DECISION_SLACK_SECONDS = 20.0
DRAIN_SECONDS = 2.0
# By then a runner that a fault was just starting when the rollout was decided has started.
LATE_START_SECONDS = 0.5
POLL_SECONDS = 0.01


async def send_fatal_request(system: SystemUnderTest, rng: Random) -> None:
    """Let callers send, now and then, a request that crashes every runner that runs it."""
    request = system.fatal.add(rng.choice(KINDS))
    await asyncio.sleep(rng.uniform(2.0, 8.0))
    system.fatal.active.remove(request)
    await system.wait_for_successors()


async def roll_out(system: SystemUnderTest, rng: Random) -> None:
    """Order a rollout, sometimes to a bad version, and replace runners as an operator would."""
    service = rng.choice((APPLICATION, ENGINES))
    is_bad = rng.random() < BAD_SHARE
    faults = rng.choice((SoftwareFaults(fail_share=0.5), SoftwareFaults(slow_seconds=1.0)))
    duration = rng.uniform(*ROLLOUT_SECONDS)
    if service in system.software.ordered:
        return
    target = system.software.order(service, faults if is_bad else SoftwareFaults())
    now = time.monotonic()
    rollout = Rollout(service, target, now, now + duration, is_bad)
    system.observations.rollouts[target] = rollout
    system.deployment.order_rollout(service, target, duration)
    for _ in range(len(system.runners_of(service))):
        await system.add_runner(service, target)
    await _wait_for_decision(rollout)
    complete = "complete" in rollout.states
    system.software.finish_rollout(service, complete=complete)
    if complete:
        _end_old_runners(system, rollout)
        await asyncio.sleep(LATE_START_SECONDS)
        _end_old_runners(system, rollout)
        return
    await _drain_new_runners(system, rollout)


async def _wait_for_decision(rollout: Rollout) -> None:
    ends_at = rollout.deadline + DECISION_SLACK_SECONDS
    while not is_decided(rollout) and time.monotonic() < ends_at:  # noqa: ASYNC110 (the store notes it)
        await asyncio.sleep(POLL_SECONDS)


def _end_old_runners(system: SystemUnderTest, rollout: Rollout) -> None:
    for runner in system.runners_of(rollout.service):
        if runner.software != rollout.target:
            rollout.old_streams += sorted(runner.streams)
            system.end_runner(runner.runner_id)


async def _drain_new_runners(system: SystemUnderTest, rollout: Rollout) -> None:
    await asyncio.sleep(LATE_START_SECONDS)
    for runner in system.runners_of(rollout.service):
        if runner.software == rollout.target:
            system.announce_leaving(runner.runner_id)
    await asyncio.sleep(DRAIN_SECONDS)
    for runner in system.runners_of(rollout.service):
        if runner.software == rollout.target:
            system.remove_runner(runner.runner_id)


VERSION_FAULTS: tuple[Fault, ...] = (send_fatal_request, roll_out)
