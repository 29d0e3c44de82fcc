"""A store that comes back from an older copy of itself, once or several times in a row.

It is drawn only where it is asked for by name: what older seeds play stays as it was.
"""

from __future__ import annotations

import asyncio
from random import Random

from hillstack.emulator.fleet_store import StoreCopy
from tests.soak.faults import Fault
from tests.soak.observations import STORE
from tests.soak.system import SoakedSystem
from tests.soak.timed_promises import CONTACT_SECONDS

COPY_AGE_SECONDS = (0.5, 8.0)
AWAY_SECONDS = (0.2, 1.5)
# Runners write their entries again with a heartbeat each; an entry lapses after three.
HEARTBEAT_SECONDS = 1.2
LAPSE_SECONDS = 3 * HEARTBEAT_SECONDS
OPERATOR_SECONDS = 0.5


async def restore_store(system: SoakedSystem, rng: Random) -> None:
    """Bring the store back from a copy, and change things soon after."""
    copy = system.deployment.store.copy()
    await asyncio.sleep(rng.uniform(*COPY_AGE_SECONDS))
    await _come_back(system, rng, copy)
    if rng.random() < 0.3:
        await _come_back(system, rng, copy)
    await asyncio.sleep(CONTACT_SECONDS + rng.uniform(0.1, 0.5))
    leaving = system.pick_runner(rng)
    system.announce_leaving(leaving)
    system.rotate_key(rng)
    await asyncio.sleep(CONTACT_SECONDS)
    if leaving in system.members():
        runner = system.deployment.runners[leaving]
        system.remove_runner(leaving)
        await system.add_runner(runner.service, runner.software)


async def _come_back(system: SoakedSystem, rng: Random, copy: StoreCopy) -> None:
    store = system.deployment.store
    with system.trouble(STORE):
        store.down = True
        await asyncio.sleep(rng.uniform(*AWAY_SECONDS))
        store.restore(copy)
        if rng.random() < 0.2:
            store.forget_history()
        store.down = False
    await asyncio.gather(_operator(system, rng), _runners(system, rng), _lapses(system))


async def _operator(system: SoakedSystem, rng: Random) -> None:
    await asyncio.sleep(rng.uniform(0.0, OPERATOR_SECONDS))
    system.write_operators_items_again()


async def _runners(system: SoakedSystem, rng: Random) -> None:
    members = system.members()
    rng.shuffle(members)
    for runner_id in members:
        await asyncio.sleep(rng.uniform(0.0, HEARTBEAT_SECONDS / len(members)))
        system.list_again(runner_id)


async def _lapses(system: SoakedSystem) -> None:
    """Let the entries of runners that have ended lapse from the copy."""
    gone = set(system.listed()) - set(system.members())
    await asyncio.sleep(LAPSE_SECONDS)
    for runner_id in gone - set(system.members()):
        system.lapse(runner_id)


RESTORE_FAULTS: tuple[Fault, ...] = (restore_store,)
