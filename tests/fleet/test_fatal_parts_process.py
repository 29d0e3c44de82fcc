"""A prompt part that crashes runners, before node processes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.fleet.builders import APPLICATION, ENGINES
from tests.fleet.deployment import Deployment
from tests.fleet.fatal_part_fleet import FATAL_ID, FatalPartFleet, PartCallers
from tests.fleet.node_kills import KilledNodes
from tests.fleet.part_traffic import CONTACT_SECONDS, MAX_LATE_SENDS
from tests.fleet.test_node_process import play

NODES = 4
RUNNERS = 6
WORK_SECONDS = 0.1
SOUND_PER_SECOND = 40.0
FATAL_PER_SECOND = 8.0
SECONDS = 14.0
MIN_SERVED_SHARE = 0.5


# Guards against requests that share one part of their prompts and crash one runner after the other,
# each as if it were the first: 50 sends after the bound was known, where 3 are allowed.
@pytest.mark.parametrize(("service", "path"), [(APPLICATION, "/safe/"), (ENGINES, "/stream/")])
def test_a_part_that_crashes_runners_is_sent_no_more_and_the_others_are_served(
    tmp_path: Path, service: str, path: str
) -> None:
    async def scenario(running: Deployment) -> None:
        fleet = FatalPartFleet(running, RUNNERS, None, WORK_SECONDS, service=service)
        await fleet.start()
        nodes = KilledNodes(running, NODES)
        await nodes.start()
        callers = PartCallers(
            running, lambda: [nodes.nodes[name] for name in sorted(nodes.ready)], path
        )
        await asyncio.gather(
            callers.send(SOUND_PER_SECOND, SECONDS),
            callers.send(FATAL_PER_SECOND, SECONDS, FATAL_ID),
        )
        await fleet.stop()
        crashes = fleet.crashes()
        late = fleet.late_sends()
        assert late <= MAX_LATE_SENDS, f"{late} late sends, {len(crashes)} crashes"
        known_at = crashes[min(len(crashes), 5) - 1] + 2 * CONTACT_SECONDS
        share = callers.served_share(known_at)
        assert share >= MIN_SERVED_SHARE, f"{share:.2f} of the sound requests were served"

    play(tmp_path, scenario)
