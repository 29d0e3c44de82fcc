"""Faults that send requests that crash runners: with differing tries, or with one part in common.

They are drawn only if they are chosen by name, so that older seeds give the same schedules.
"""

from __future__ import annotations

import asyncio
from random import Random

from tests.soak.callers import KINDS
from tests.soak.faults import Fault
from tests.soak.system import SystemUnderTest

MAX_CONCURRENT_REQUESTS = 4
MAX_CONCURRENT_PARTS = 2


async def send_varied_fatal_requests(system: SystemUnderTest, rng: Random) -> None:
    """Let callers send, now and then, some requests that crash every runner that runs them."""
    number = rng.randint(2, MAX_CONCURRENT_REQUESTS)
    requests = [system.fatal.add(rng.choice(KINDS), varied=True) for _ in range(number)]
    await asyncio.sleep(rng.uniform(4.0, 10.0))
    for request in requests:
        system.fatal.active.remove(request)
    await system.wait_for_successors()


async def send_fatal_parts(system: SystemUnderTest, rng: Random) -> None:
    """Let callers send requests that share only a prompt part, which crashes runners."""
    number = rng.randint(1, MAX_CONCURRENT_PARTS)
    requests = [system.fatal.add_part(rng.choice(KINDS)) for _ in range(number)]
    await asyncio.sleep(rng.uniform(4.0, 10.0))
    for request in requests:
        system.fatal.active.remove(request)
    await system.wait_for_successors()


CRASH_FAULTS: tuple[Fault, ...] = (send_varied_fatal_requests, send_fatal_parts)
