"""All nodes are killed beside a version of the runners' software that joins or leaves.

The fault is drawn only if it is chosen by name, so that older seeds give the same schedules.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator
from random import Random

from tests.fleet.builders import ENGINES
from tests.soak.faults import Fault
from tests.soak.resuming_callers import ResumingCallers
from tests.soak.system import SystemUnderTest

VERSION = "release"
RUNNERS = 3
CALLERS = 16
DRAIN_SECONDS = 2.0


async def kill_all_beside_release(system: SystemUnderTest, rng: Random) -> None:
    """Kill all nodes, once or twice in a row, beside a version that joins or leaves.

    The other version is not listed for a while, and callers take streams up again.
    """
    if system.software.beside:
        return
    system.software.beside.add(VERSION)
    joins = rng.random() < 0.5
    others = [runner.runner_id for runner in system.runners_of(ENGINES)]
    try:
        async with ResumingCallers(system, Random(rng.random())).calling(CALLERS):
            with system.disturbance(*others):
                if joins:
                    await _let_join(system, rng, others)
                else:
                    await _let_leave(system, rng, others)
        await _drain(system)
    finally:
        system.software.beside.remove(VERSION)


async def _let_join(system: SystemUnderTest, rng: Random, others: list[str]) -> None:
    """Let a version take the place of the others while all nodes are down."""
    await asyncio.sleep(rng.uniform(0.5, 1.5))
    async with _all_nodes_killed(system):
        await _add_runners(system)
        for runner_id in others:
            system.expire_entry(runner_id)
    await _finish(system, rng, others)


async def _let_leave(system: SystemUnderTest, rng: Random, others: list[str]) -> None:
    """Let the others leave just before all nodes are killed."""
    await _add_runners(system)
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    for runner_id in others:
        system.expire_entry(runner_id)
    await asyncio.sleep(rng.uniform(0.1, 0.4))
    async with _all_nodes_killed(system):
        await asyncio.sleep(rng.uniform(0.0, 0.5))
    await _finish(system, rng, others)


async def _finish(system: SystemUnderTest, rng: Random, others: list[str]) -> None:
    """Sometimes kill all nodes again, then list the others again."""
    await asyncio.sleep(rng.uniform(0.5, 2.5))
    if rng.random() < 0.5:
        async with _all_nodes_killed(system):
            await asyncio.sleep(rng.uniform(0.0, 0.5))
    await asyncio.sleep(rng.uniform(1.0, 2.5))
    for runner_id in others:
        system.rewrite_entry(runner_id)


@contextlib.asynccontextmanager
async def _all_nodes_killed(system: SystemUnderTest) -> AsyncIterator[None]:
    """Kill all nodes at once; they start again after the block."""
    node_names = system.node_names()
    with contextlib.ExitStack() as stack:
        for name in node_names:
            stack.enter_context(system.suppress_restart(name))
        stack.enter_context(system.disturbance(*node_names))
        await asyncio.gather(*(system.end_node(name, signal.SIGKILL) for name in node_names))
        yield


async def _add_runners(system: SystemUnderTest) -> None:
    for _ in range(RUNNERS):
        await system.add_runner(ENGINES, VERSION)


async def _drain(system: SystemUnderTest) -> None:
    """Let the runners of the version leave, and end them."""
    joined = [each for each in system.runners_of(ENGINES) if each.software == VERSION]
    for runner in joined:
        system.announce_leaving(runner.runner_id)
    await asyncio.sleep(DRAIN_SECONDS)
    for runner in joined:
        system.end_runner(runner.runner_id)


RELEASE_FAULTS: tuple[Fault, ...] = (kill_all_beside_release,)
