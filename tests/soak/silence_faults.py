"""Silent runners beside planned work: stops of nodes and changes of the configuration.

The fault is drawn only if it is chosen by name, so that older seeds give the same schedules.
"""

from __future__ import annotations

import asyncio
import signal
from random import Random

from tests.soak.faults import Fault
from tests.soak.runner_silence import RunnerSilence
from tests.soak.system import SystemUnderTest

# From the start of the silences to the first planned work, so that silent requests are under way.
FIRST_WORK_SECONDS = (0.2, 1.0)
WORK_PAUSE_SECONDS = (0.0, 1.5)
MAX_CHANGES = 4
MAX_STOPS = 3


async def silence_runners(system: SystemUnderTest, rng: Random) -> None:
    """Let some runners pause streams and answer late beside stops of nodes and changes."""
    runners = system.live_observed_runners()
    chosen = rng.sample(runners, rng.randrange(1, len(runners) + 1))
    for runner in chosen:
        runner.silence = RunnerSilence(Random(rng.random()), system.silenced)
    await asyncio.sleep(rng.uniform(*FIRST_WORK_SECONDS))
    overlaps = rng.random() < 0.5
    stops = _stop_nodes(system, Random(rng.random()), overlap=overlaps)
    changes = _change_configuration(system, Random(rng.random()))
    if overlaps:
        await asyncio.gather(stops, changes)
    else:
        await changes
        await stops
    for runner in chosen:
        runner.silence = None


async def _stop_nodes(system: SystemUnderTest, rng: Random, *, overlap: bool) -> None:
    """Stop some nodes, but not all, one after another or with overlapping grace periods."""
    names = system.node_names()
    most = min(MAX_STOPS, len(names) - 1)
    stopping: list[asyncio.Task[None]] = []
    for name in rng.sample(names, rng.randrange(1, most + 1)):
        stop = asyncio.create_task(_stop_node(system, name))
        stopping.append(stop)
        if not overlap:
            await stop
        await asyncio.sleep(rng.uniform(*WORK_PAUSE_SECONDS))
    await asyncio.gather(*stopping)


async def _stop_node(system: SystemUnderTest, name: str) -> None:
    with system.suppress_restart(name), system.disturbance(name, planned=True):
        await system.end_node(name, signal.SIGTERM)


async def _change_configuration(system: SystemUnderTest, rng: Random) -> None:
    for _ in range(rng.randrange(1, MAX_CHANGES + 1)):
        system.rotate_key(rng)
        await asyncio.sleep(rng.uniform(*WORK_PAUSE_SECONDS))


RUNNER_SILENCE_FAULTS: tuple[Fault, ...] = (silence_runners,)
