"""Several requests at a time that end their runners, whose tries differ; asked for by name."""

from __future__ import annotations

import asyncio
from random import Random

from tests.soak.callers import KINDS
from tests.soak.faults import Fault
from tests.soak.system import SoakedSystem

MOST_AT_A_TIME = 4


async def send_varied_fatal_requests(system: SoakedSystem, rng: Random) -> None:
    """Let callers send some requests, now and then, that end each runner that runs them."""
    number = rng.randint(2, MOST_AT_A_TIME)
    requests = [system.fatal.add(rng.choice(KINDS), varied=True) for _ in range(number)]
    await asyncio.sleep(rng.uniform(4.0, 10.0))
    for request in requests:
        system.fatal.active.remove(request)
    await system.successors_listed()


CRASH_FAULTS: tuple[Fault, ...] = (send_varied_fatal_requests,)
