"""Nodes that are replaced one after the other by those of another build.

It is drawn only where it is asked for by name, and needs nodes that began with an earlier build.
"""

from __future__ import annotations

import asyncio
import signal
from random import Random

from tests.soak.faults import Fault
from tests.soak.system import SoakedSystem

MOST_AT_A_TIME = 3
# Part of the replacements that go back to the earlier build.
BACK_SHARE = 0.15
# A start takes about half a second: some nodes are replaced while the one before still starts.
BETWEEN_SECONDS = (0.0, 1.0)


async def upgrade_nodes(system: SoakedSystem, rng: Random) -> None:
    """Replace some nodes one after the other: by this build mostly, or back by the earlier one."""
    goes_back = rng.random() < BACK_SHARE
    names = [name for name in system.node_names() if system.is_earlier(name) != goes_back]
    for name in rng.sample(names, min(len(names), rng.randrange(1, MOST_AT_A_TIME + 1))):
        with system.hold(name), system.trouble(name, planned=True):
            await system.end_node(name, signal.SIGTERM)
            system.replace_build(name, is_earlier=goes_back)
        await asyncio.sleep(rng.uniform(*BETWEEN_SECONDS))


UPGRADE_FAULTS: tuple[Fault, ...] = (upgrade_nodes,)
