"""Faults of the link between two regions; they do nothing in a soak without regions."""

from __future__ import annotations

import asyncio
from random import Random

from tests.soak.faults import Fault
from tests.soak.system import SystemUnderTest


async def cut_regions(system: SystemUnderTest, rng: Random) -> None:
    """Cut the link between the regions for some seconds, once or twice in a row."""
    regions = system.regions
    if regions is None:
        return
    with system.disturbance(*system.node_names(), *system.live_runners()):
        for _ in range(rng.randrange(1, 3)):
            with regions.cut():
                await asyncio.sleep(rng.uniform(0.5, 5.0))
            await asyncio.sleep(rng.uniform(0.0, 1.0))


REGION_FAULTS: tuple[Fault, ...] = (cut_regions,)
