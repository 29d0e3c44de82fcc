"""Runners of another software version that serve beside the others, with no order to roll out."""

from __future__ import annotations

import asyncio
from random import Random

from tests.fleet.builders import ENGINES
from tests.soak.faults import Fault
from tests.soak.system import SystemUnderTest

VERSION = "beside"
RUNNERS = 2
# Longer than nodes hold a version back that appears beside another one.
SERVE_SECONDS = (12.0, 16.0)
DRAIN_SECONDS = 2.0
# Some runners of each version break streams off after this many events.
BREAK_AFTER = 2


async def mix_versions(system: SystemUnderTest, rng: Random) -> None:
    """Let runners of another version join, and streams break off at runners of both versions."""
    if VERSION in system.software.beside:
        return
    system.software.beside.add(VERSION)
    for _ in range(RUNNERS):
        await system.add_runner(ENGINES, VERSION)
    broken = [runner for runner in system.runners_of(ENGINES) if rng.random() < 0.5]
    for runner in broken:
        runner.faults.break_after = BREAK_AFTER
    with system.disturbance(*(runner.runner_id for runner in broken)):
        await asyncio.sleep(rng.uniform(*SERVE_SECONDS))
    for runner in broken:
        runner.faults.break_after = None
    joined = [r for r in system.runners_of(ENGINES) if r.software == VERSION]
    for runner in joined:
        system.announce_leaving(runner.runner_id)
    await asyncio.sleep(DRAIN_SECONDS)
    for runner in joined:
        system.end_runner(runner.runner_id)
    system.software.beside.remove(VERSION)


MIXED_VERSION_FAULTS: tuple[Fault, ...] = (mix_versions,)
