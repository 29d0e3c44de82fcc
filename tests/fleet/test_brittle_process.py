"""Brittle runners before node processes that are killed and started again in series."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.fleet.brittle_fleet import BrittleFleet, allowed_falls
from tests.fleet.deployment import Deployment
from tests.fleet.node_kills import KilledNodes, SteadyCallers
from tests.fleet.test_node_process import play

NODES = 4
RUNNERS = 3
TOLERATED = 2
WORK_SECONDS = 0.1
KILL_PAUSE_SECONDS = 2.0
SECONDS = 12.0
# More than the runners can serve.
REQUESTS_PER_SECOND = 300.0


# Guards against places at a brittle runner that are forgotten with the node that issued them, and
# against nodes that start without knowing that the runner is brittle.
def test_brittle_runners_seldom_fall_when_nodes_are_killed_in_series(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        fleet = BrittleFleet(running, RUNNERS, TOLERATED, WORK_SECONDS)
        await fleet.start()
        killed = KilledNodes(running, NODES)
        await killed.start()
        callers = SteadyCallers(killed, "/safe/")
        await asyncio.gather(
            callers.send(REQUESTS_PER_SECOND, SECONDS),
            killed.kill_in_turn(KILL_PAUSE_SECONDS, SECONDS),
        )
        await fleet.stop()
        text = f"{fleet.falls} falls, {fleet.rejections} rejections, {callers.statuses}"
        assert fleet.falls <= allowed_falls(RUNNERS), text
        assert callers.statuses[200] > 0

    play(tmp_path, scenario)
