"""A fault that restores the store from an older copy, once or twice in a row.

It is drawn only if it is chosen by name, so that older seeds give the same schedules as before.
"""

from __future__ import annotations

import asyncio
from random import Random

from hillstack.emulator.fleet_store import StoreCopy
from tests.soak.faults import Fault
from tests.soak.observations import STORE
from tests.soak.system import SystemUnderTest
from tests.soak.timed_promises import CONTACT_SECONDS

COPY_AGE_SECONDS = (0.5, 8.0)
OUTAGE_SECONDS = (0.2, 1.5)
# Each runner rewrites its entry with every heartbeat; an entry expires after three heartbeats.
HEARTBEAT_SECONDS = 1.2
ENTRY_LIFETIME_SECONDS = 3 * HEARTBEAT_SECONDS
MAX_OPERATOR_DELAY_SECONDS = 0.5


async def restore_store(system: SystemUnderTest, rng: Random) -> None:
    """Restore the store from a copy, then soon change a key and replace a runner."""
    copy = system.deployment.store.copy()
    await asyncio.sleep(rng.uniform(*COPY_AGE_SECONDS))
    await _restore(system, rng, copy)
    if rng.random() < 0.3:
        await _restore(system, rng, copy)
    await asyncio.sleep(CONTACT_SECONDS + rng.uniform(0.1, 0.5))
    leaving = system.pick_runner(rng)
    system.announce_leaving(leaving)
    system.rotate_key(rng)
    await asyncio.sleep(CONTACT_SECONDS)
    if leaving in system.live_runners():
        runner = system.deployment.runners[leaving]
        system.remove_runner(leaving)
        await system.add_runner(runner.service, runner.software)


async def _restore(system: SystemUnderTest, rng: Random, copy: StoreCopy) -> None:
    store = system.deployment.store
    with system.disturbance(STORE):
        store.down = True
        await asyncio.sleep(rng.uniform(*OUTAGE_SECONDS))
        store.restore(copy)
        if rng.random() < 0.2:
            store.clear_history()
        store.down = False
    await asyncio.gather(
        _rewrite_operator_items(system, rng),
        _rewrite_runner_entries(system, rng),
        _expire_ended_runners(system),
    )


async def _rewrite_operator_items(system: SystemUnderTest, rng: Random) -> None:
    await asyncio.sleep(rng.uniform(0.0, MAX_OPERATOR_DELAY_SECONDS))
    system.rewrite_operator_items()


async def _rewrite_runner_entries(system: SystemUnderTest, rng: Random) -> None:
    live_runners = system.live_runners()
    rng.shuffle(live_runners)
    for runner_id in live_runners:
        await asyncio.sleep(rng.uniform(0.0, HEARTBEAT_SECONDS / len(live_runners)))
        system.rewrite_entry(runner_id)


async def _expire_ended_runners(system: SystemUnderTest) -> None:
    """Let restored entries of runners that have ended expire."""
    ended = set(system.listed_runners()) - set(system.live_runners())
    await asyncio.sleep(ENTRY_LIFETIME_SECONDS)
    for runner_id in ended - set(system.live_runners()):
        system.expire_entry(runner_id)


RESTORE_FAULTS: tuple[Fault, ...] = (restore_store,)
