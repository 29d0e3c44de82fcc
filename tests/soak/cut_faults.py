"""A fault that cuts nodes off from runners, which the store and the other nodes still reach.

It is drawn only if it is chosen by name, so that older seeds give the same schedules as before.
"""

from __future__ import annotations

import asyncio
from random import Random

from tests.fleet.builders import APPLICATION, ENGINES
from tests.processes.node_cuts import CutKind
from tests.soak.faults import Fault
from tests.soak.system import SystemUnderTest

# Some cuts last longer than ``timed_promises.CONTACT_SECONDS``.
CUT_SECONDS = (0.3, 7.0)
MAX_PAUSE_SECONDS = 1.0


async def cut_nodes_from_runners(system: SystemUnderTest, rng: Random) -> None:
    """Cut nodes, one to all but one, off from all runners or those of one service, in series."""
    names = system.node_names()
    for _ in range(rng.randrange(1, 4)):
        count = rng.choice((1, (len(names) + 1) // 2, len(names) - 1))
        chosen = rng.sample(names, max(1, count))
        kind = rng.choice(list(CutKind))
        service = rng.choice((None, None, ENGINES, APPLICATION))
        with system.cut_from_runners(chosen, kind, service):
            await asyncio.sleep(rng.uniform(*CUT_SECONDS))
        await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE_SECONDS))


CUT_FAULTS: tuple[Fault, ...] = (cut_nodes_from_runners,)
