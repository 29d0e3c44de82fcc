"""Faults in which runners signal that they are leaving, ask for a backoff, or name a limit.

They are drawn only if they are chosen by name, so that older seeds give the same schedules as
before.
"""

from __future__ import annotations

import asyncio
import contextlib
from contextlib import AbstractContextManager
from dataclasses import replace
from random import Random

from tests.fleet.builders import APPLICATION, ENGINES
from tests.soak.faults import Fault
from tests.soak.observations import STORE
from tests.soak.system import SystemUnderTest

# Longer than nodes may still send requests to a leaving runner, and at most as long as nodes
# without the store accept API keys.
OUTAGE_SECONDS = (2.5, 5.0)
# From the store's return to the end of a leaving runner.
END_DELAY_SECONDS = (0.3, 2.0)
BACKOFF_SECONDS = (0.5, 5.0)
SHED_SECONDS = (0.5, 6.0)
LIMITS = (0.0, 0.5, 1.0, 2.3, 6.0, 20.0)
LIMIT_SECONDS = (4.0, 12.0)
# Share of the faults in which all runners of a service give the signal at once.
WHOLE_SERVICE_SHARE = 0.25


async def leave_unheard(system: SystemUnderTest, rng: Random) -> None:
    """Let runners signal that they are leaving, usually in a store outage, and replace each."""
    live_runners = system.live_runners()
    leaving = rng.sample(live_runners, min(len(live_runners), rng.randrange(1, 4)))
    runners = [system.deployment.runners[runner_id] for runner_id in leaving]
    store = system.deployment.store
    in_outage = rng.random() < 0.7
    outage: AbstractContextManager[None] = contextlib.nullcontext()
    if in_outage:
        outage = system.disturbance(STORE)
    with outage:
        store.down = in_outage
        for runner in runners:
            runner.faults = replace(runner.faults, leaving=True)
        await asyncio.sleep(rng.uniform(*OUTAGE_SECONDS))
        store.down = False
    for runner_id in leaving:
        system.announce_leaving(runner_id)
    await asyncio.sleep(rng.uniform(*END_DELAY_SECONDS))
    for runner in runners:
        if runner.runner_id not in system.live_runners():
            continue
        with system.disturbance(runner.runner_id):
            system.remove_runner(runner.runner_id)
            await system.add_runner(runner.service, runner.software)


async def ask_for_backoff(system: SystemUnderTest, rng: Random) -> None:
    """Let some or all runners of a service refuse all requests and ask for a backoff."""
    chosen = system.runners_of(rng.choice((APPLICATION, ENGINES)))
    if rng.random() >= WHOLE_SERVICE_SHARE:
        chosen = rng.sample(chosen, min(len(chosen), rng.randrange(1, 3)))
    targets = [f"work of {runner.runner_id}" for runner in chosen]
    with system.disturbance(*targets):
        for runner in chosen:
            seconds = round(rng.uniform(*BACKOFF_SECONDS), 2)
            runner.faults = replace(runner.faults, refuse_requests=True, backoff_seconds=seconds)
        await asyncio.sleep(rng.uniform(*SHED_SECONDS))
        for runner in chosen:
            runner.faults = replace(runner.faults, refuse_requests=False, backoff_seconds=0.0)


async def name_limits(system: SystemUnderTest, rng: Random) -> None:
    """Let some or all runners of a service name limits, which may change once.

    Runners that already name a limit because of another fault are left out.
    """
    of_service = system.runners_of(rng.choice((APPLICATION, ENGINES)))
    chosen = [runner for runner in of_service if runner.faults.limit is None]
    if rng.random() >= WHOLE_SERVICE_SHARE:
        chosen = rng.sample(chosen, min(len(chosen), rng.randrange(1, 3)))
    changes = 1 + (rng.random() < 0.3)
    with system.disturbance(*(f"work of {runner.runner_id}" for runner in chosen)):
        for _ in range(changes):
            limits = [rng.choice(LIMITS) for _ in chosen]
            with contextlib.ExitStack() as named:
                for runner, limit in zip(chosen, limits, strict=True):
                    named.enter_context(system.limited(runner, limit))
                await asyncio.sleep(rng.uniform(*LIMIT_SECONDS) / changes)


SIGNAL_FAULTS: tuple[Fault, ...] = (leave_unheard, ask_for_backoff, name_limits)
