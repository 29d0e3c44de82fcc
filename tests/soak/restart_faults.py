"""A fault that restarts runners under their names, several times in a row.

It is drawn only if it is chosen by name, so that older seeds give the same schedules as before.
"""

from __future__ import annotations

import asyncio
from random import Random

from tests.soak.faults import Fault
from tests.soak.system import SystemUnderTest

# Shorter than the 3.6 s in which an entry expires, so that no node is notified of a removal.
DOWN_SECONDS = (0.2, 3.0)
RESTART_PAUSE_SECONDS = (0.0, 1.0)
MAX_RESTARTS = 3


async def restart_runners(system: SystemUnderTest, rng: Random) -> None:
    """Restart some runners under their names, each one to three times in a row."""
    live_runners = system.live_runners()
    chosen = rng.sample(live_runners, min(len(live_runners), rng.randrange(1, 4)))
    await asyncio.gather(
        *(_restart_in_a_row(system, each, Random(rng.random())) for each in chosen)
    )


async def _restart_in_a_row(system: SystemUnderTest, runner_id: str, rng: Random) -> None:
    for _ in range(rng.randrange(1, MAX_RESTARTS + 1)):
        if runner_id not in system.live_runners():
            return
        await system.restart_runner(runner_id, rng.uniform(*DOWN_SECONDS))
        await asyncio.sleep(rng.uniform(*RESTART_PAUSE_SECONDS))


RESTART_FAULTS: tuple[Fault, ...] = (restart_runners,)
