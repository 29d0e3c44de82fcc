"""Runners that start again under their names, in series.

They are drawn only where they are asked for by name: what older seeds play stays as it was.
"""

from __future__ import annotations

import asyncio
from random import Random

from tests.soak.faults import Fault
from tests.soak.system import SoakedSystem

# Faster than an entry lapses, which takes 3.6 s: nobody hears of its removal.
AWAY_SECONDS = (0.2, 3.0)
BETWEEN_SECONDS = (0.0, 1.0)
MOST_RESTARTS = 3


async def restart_runners(system: SoakedSystem, rng: Random) -> None:
    """Let some runners start again under their names, each several times in a row perhaps."""
    members = system.members()
    chosen = rng.sample(members, min(len(members), rng.randrange(1, 4)))
    await asyncio.gather(
        *(_restart_in_a_row(system, each, Random(rng.random())) for each in chosen)
    )


async def _restart_in_a_row(system: SoakedSystem, runner_id: str, rng: Random) -> None:
    for _ in range(rng.randrange(1, MOST_RESTARTS + 1)):
        if runner_id not in system.members():
            return
        await system.restart_runner(runner_id, rng.uniform(*AWAY_SECONDS))
        await asyncio.sleep(rng.uniform(*BETWEEN_SECONDS))


RESTART_FAULTS: tuple[Fault, ...] = (restart_runners,)
