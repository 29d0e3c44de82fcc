"""A fault that restarts nodes one after another with another build.

It is drawn only if it is chosen by name, and needs nodes that started with an earlier build.
"""

from __future__ import annotations

import asyncio
import signal
from random import Random

from tests.soak.faults import Fault
from tests.soak.system import SystemUnderTest

MAX_NODES_PER_UPGRADE = 3
# Share of the faults that return to the earlier build.
DOWNGRADE_SHARE = 0.15
# A start takes about 0.5 s, so some nodes are replaced while the previous one is still starting.
UPGRADE_PAUSE_SECONDS = (0.0, 1.0)


async def upgrade_nodes(system: SystemUnderTest, rng: Random) -> None:
    """Restart some nodes one after another, usually with this build, sometimes the earlier one."""
    is_downgrade = rng.random() < DOWNGRADE_SHARE
    names = [
        name for name in system.node_names() if system.runs_earlier_build(name) != is_downgrade
    ]
    for name in rng.sample(names, min(len(names), rng.randrange(1, MAX_NODES_PER_UPGRADE + 1))):
        with system.suppress_restart(name), system.disturbance(name, planned=True):
            await system.end_node(name, signal.SIGTERM)
            system.replace_build(name, runs_earlier_build=is_downgrade)
        await asyncio.sleep(rng.uniform(*UPGRADE_PAUSE_SECONDS))


UPGRADE_FAULTS: tuple[Fault, ...] = (upgrade_nodes,)
