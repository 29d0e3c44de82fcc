"""Runners that say of themselves that they leave, ask for a backoff, or name a limit.

They are drawn only where they are asked for by name: what older seeds play stays as it was.
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
from tests.soak.system import SoakedSystem

# Longer than a runner may still get requests; nodes serve no keys without the store for longer.
AWAY_SECONDS = (2.5, 5.0)
# From the store's return to the end of a runner that leaves.
END_SECONDS = (0.3, 2.0)
BACKOFF_SECONDS = (0.5, 5.0)
SHED_SECONDS = (0.5, 6.0)
LIMITS = (0.0, 0.5, 1.0, 2.3, 6.0, 20.0)
LIMIT_SECONDS = (4.0, 12.0)
# Part of the times in which all runners of a service ask for a backoff at once.
ALL_SHARE = 0.25


async def leave_unheard(system: SoakedSystem, rng: Random) -> None:
    """Let runners leave while the store, mostly, can't tell of it; another one joins for each."""
    members = system.members()
    leaving = rng.sample(members, min(len(members), rng.randrange(1, 4)))
    runners = [system.deployment.runners[runner_id] for runner_id in leaving]
    store = system.deployment.store
    is_away = rng.random() < 0.7
    away: AbstractContextManager[None] = contextlib.nullcontext()
    if is_away:
        away = system.trouble(STORE)
    with away:
        store.down = is_away
        for runner in runners:
            runner.faults = replace(runner.faults, leaving=True)
        await asyncio.sleep(rng.uniform(*AWAY_SECONDS))
        store.down = False
    for runner_id in leaving:
        system.announce_leaving(runner_id)
    await asyncio.sleep(rng.uniform(*END_SECONDS))
    for runner in runners:
        if runner.runner_id not in system.members():
            continue
        with system.trouble(runner.runner_id):
            system.remove_runner(runner.runner_id)
            await system.add_runner(runner.service, runner.software)


async def ask_for_backoff(system: SoakedSystem, rng: Random) -> None:
    """Let runners refuse everything and ask for a backoff: some, or all of a service."""
    chosen = system.runners_of(rng.choice((APPLICATION, ENGINES)))
    if rng.random() >= ALL_SHARE:
        chosen = rng.sample(chosen, min(len(chosen), rng.randrange(1, 3)))
    targets = [f"work of {runner.runner_id}" for runner in chosen]
    with system.trouble(*targets):
        for runner in chosen:
            seconds = round(rng.uniform(*BACKOFF_SECONDS), 2)
            runner.faults = replace(runner.faults, shed=True, backoff_seconds=seconds)
        await asyncio.sleep(rng.uniform(*SHED_SECONDS))
        for runner in chosen:
            runner.faults = replace(runner.faults, shed=False, backoff_seconds=0.0)


async def name_limits(system: SoakedSystem, rng: Random) -> None:
    """Let runners name limits, some or all of a service, which may change once.

    Those that name one already, by another fault, are left out.
    """
    of_service = system.runners_of(rng.choice((APPLICATION, ENGINES)))
    chosen = [runner for runner in of_service if runner.faults.limit is None]
    if rng.random() >= ALL_SHARE:
        chosen = rng.sample(chosen, min(len(chosen), rng.randrange(1, 3)))
    changes = 1 + (rng.random() < 0.3)
    with system.trouble(*(f"work of {runner.runner_id}" for runner in chosen)):
        for _ in range(changes):
            limits = [rng.choice(LIMITS) for _ in chosen]
            with contextlib.ExitStack() as named:
                for runner, limit in zip(chosen, limits, strict=True):
                    named.enter_context(system.limited(runner, limit))
                await asyncio.sleep(rng.uniform(*LIMIT_SECONDS) / changes)


SIGNAL_FAULTS: tuple[Fault, ...] = (leave_unheard, ask_for_backoff, name_limits)
