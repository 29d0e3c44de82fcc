"""A prompt part that crashes runners, before node processes."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.fleet.builders import APPLICATION, ENGINES
from tests.fleet.deployment import Deployment, NodeProcess
from tests.fleet.fatal_part_fleet import FATAL_ID, FatalPartFleet, PartCallers
from tests.fleet.node_kills import KilledNodes
from tests.fleet.part_traffic import CONTACT_SECONDS, CRASHES_BEFORE_LIMIT, MAX_LATE_SENDS
from tests.fleet.test_node_process import play
from tests.processes.fault_proxy import FaultProxy, Mode

NODES = 4
RUNNERS = 6
WORK_SECONDS = 0.1
SOUND_PER_SECOND = 40.0
FATAL_PER_SECOND = 8.0
SECONDS = 14.0
SILENT_SECONDS = 8.0
PAUSE_SECONDS = 8.0
KILL_PAUSE_SECONDS = 1.5
MIN_SERVED_SHARE = 0.5
# Least time in which sound requests are counted.
COUNTED_SECONDS = 2.0


@dataclass
class PartScenario:
    """Requests with a fatal part and sound ones, before node processes.

    Attributes:
        fleet: The runners.
        nodes: The nodes.
        callers: The callers.
        parts: The fatal parts.
    """

    fleet: FatalPartFleet
    nodes: KilledNodes
    callers: PartCallers
    parts: tuple[str, ...] = (FATAL_ID,)

    async def send(self, seconds: float, fatal_per_second: float = FATAL_PER_SECOND) -> None:
        """Send both kinds of requests for some seconds."""
        await asyncio.gather(
            self.callers.send(SOUND_PER_SECOND, seconds),
            *(self.callers.send(fatal_per_second, seconds, part) for part in self.parts),
        )

    async def finish(self, served_since: float = 0.0) -> None:
        """Send on until sound requests count, stop the runners, and check what is promised.

        Args:
            served_since: Sound requests sent before this time need not be served.
        """
        # A trial may have crashed a runner late, and sound requests count some time after it.
        while time.monotonic() < self._known_at(served_since) + COUNTED_SECONDS:
            await self.send(COUNTED_SECONDS)
        await self.fleet.stop()
        for part in self.parts:
            crashes, late = self.fleet.crashes(part), self.fleet.late_sends(part)
            assert late <= MAX_LATE_SENDS, f"{late} late sends, {len(crashes)} crashes"
        share = self.callers.served_share(self._known_at(served_since))
        assert share >= MIN_SERVED_SHARE, f"{share:.2f} of the sound requests were served"
        assert not set(self.callers.statuses) & {500}

    def _known_at(self, served_since: float) -> float:
        """Return from when on sound requests must be served."""
        crashes = [self.fleet.crashes(part) for part in self.parts]
        last = [times[min(len(times), CRASHES_BEFORE_LIMIT) - 1] for times in crashes]
        return max(served_since, *(at + 2 * CONTACT_SECONDS for at in last))


async def start(
    running: Deployment, service: str = APPLICATION, store: str | None = None
) -> PartScenario:
    fleet = FatalPartFleet(running, RUNNERS, None, WORK_SECONDS, service=service)
    await fleet.start()
    nodes = KilledNodes(running, NODES, {"store": store} if store else {})
    await nodes.start()

    def ready() -> list[NodeProcess]:
        return [nodes.nodes[name] for name in sorted(nodes.ready)]

    path = "/stream/" if service == ENGINES else "/safe/"
    return PartScenario(fleet, nodes, PartCallers(running, ready, path))


# Guards against requests that share one part of their prompts and crash one runner after the other,
# each as if it were the first: 50 sends after the bound was known, where 3 are allowed.
@pytest.mark.parametrize("service", [APPLICATION, ENGINES])
def test_a_part_that_crashes_runners_is_sent_no_more_and_the_others_are_served(
    tmp_path: Path, service: str
) -> None:
    async def scenario(running: Deployment) -> None:
        played = await start(running, service)
        await played.send(SECONDS)
        await played.finish()

    play(tmp_path, scenario)


def test_two_parts_are_bounded_each(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        played = await start(running)
        played.parts = (f"{FATAL_ID}-1", f"{FATAL_ID}-2")
        await played.send(SECONDS, 3.0)
        await played.finish()

    play(tmp_path, scenario)


# Guards against counts that are lost with the nodes that kept them.
def test_a_part_is_bounded_while_nodes_are_killed_in_turn_and_then_all_at_once(
    tmp_path: Path,
) -> None:
    async def scenario(running: Deployment) -> None:
        played = await start(running)
        kills = played.nodes.kill_in_turn(KILL_PAUSE_SECONDS, SECONDS)
        await asyncio.gather(played.send(SECONDS), kills)
        for name in sorted(played.nodes.nodes):
            played.nodes.kill(name)
        killed_at = time.monotonic()
        await played.send(SECONDS / 2)
        await played.finish(killed_at + CONTACT_SECONDS)

    play(tmp_path, scenario)


def test_a_part_is_bounded_while_the_store_is_silent_and_after_a_pause(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        proxy = FaultProxy(running.host)
        played = await start(running, store=proxy.front("store", running.store_address))
        proxy.set("store", Mode.SILENT)
        await played.send(SILENT_SECONDS)
        proxy.set("store", Mode.PASS)
        returned_at = time.monotonic()
        await played.send(PAUSE_SECONDS, 0.001)
        await played.send(SECONDS / 2)
        await played.finish(returned_at + CONTACT_SECONDS)
        proxy.close()

    play(tmp_path, scenario)
