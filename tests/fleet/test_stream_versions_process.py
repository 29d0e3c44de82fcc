"""Streams before runners of two software versions, whose events don't fit together."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.fleet.builders import ENGINES
from tests.fleet.deployment import Deployment
from tests.fleet.node_kills import KilledNodes
from tests.fleet.stream_callers import StreamCallers
from tests.fleet.test_node_process import play

EVENTS = 12
BREAK_AFTER = 6
NODES = 3
STREAMS_PER_SECOND = 25.0
SECONDS = 6.0
BOUNDS = {"retry_ratio": 0.2, "retry_slack": 54.0}
# Streams of two versions that the platform tolerates.
MIXED_ALLOWED = 2


async def start_runners(running: Deployment, version: str, count: int = 3) -> None:
    """Start runners of a version, all but one of which break each stream off."""
    for number in range(count):
        runner = running.make_runner(f"{version}-{number}", ENGINES, version)
        runner.events = EVENTS
        runner.faults.break_after = BREAK_AFTER if number else None
        await running.start_runner(runner)


async def start(running: Deployment) -> tuple[KilledNodes, StreamCallers]:
    nodes = KilledNodes(running, NODES, BOUNDS)
    await nodes.start()
    return nodes, StreamCallers(running, nodes, EVENTS)


def share_continued(callers: StreamCallers) -> float:
    resumed = sum(stream.resumed for stream in callers.streams)
    return sum(stream.continued for stream in callers.streams) / max(1, resumed)


# Guards against streams that go on at another software version than the one that began them, within
# one answer and when callers take them up at another node: 49 of 232 streams held events of both.
def test_streams_go_on_at_the_version_that_began_them(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        await start_runners(running, "v1")
        await start_runners(running, "v1.2")
        _, callers = await start(running)
        await callers.send(STREAMS_PER_SECOND, SECONDS)
        assert len(callers.mixed) <= MIXED_ALLOWED, f"{len(callers.mixed)} mixed"
        assert share_continued(callers) >= 0.5, f"{share_continued(callers):.2f} go on"

    play(tmp_path, scenario)


# Guards against nodes that are killed with what they know of the streams that they began.
def test_streams_of_killed_nodes_go_on_at_the_version_that_began_them(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        await start_runners(running, "v1")
        await start_runners(running, "v1.2")
        nodes, callers = await start(running)
        await asyncio.gather(
            callers.send(STREAMS_PER_SECOND, SECONDS), nodes.kill_in_turn(1.5, SECONDS)
        )
        assert len(callers.mixed) <= MIXED_ALLOWED, f"{len(callers.mixed)} mixed"
        assert share_continued(callers) >= 0.5, f"{share_continued(callers):.2f} go on"

    play(tmp_path, scenario)


# Guards against versions that a node learns of after others.
def test_streams_go_on_at_their_version_when_another_one_comes(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        await start_runners(running, "v1")
        _, callers = await start(running)
        sending = asyncio.create_task(callers.send(STREAMS_PER_SECOND, SECONDS))
        await asyncio.sleep(1.0)
        await start_runners(running, "v1.2")
        await sending
        assert len(callers.mixed) <= MIXED_ALLOWED, f"{len(callers.mixed)} mixed"
        assert share_continued(callers) >= 0.5, f"{share_continued(callers):.2f} go on"

    play(tmp_path, scenario)


# Guards against streams whose version leaves: they are refused at once, with no time to come back.
def test_streams_of_a_version_that_has_left_are_refused_at_once(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        await start_runners(running, "v1")
        await start_runners(running, "v1.2")
        _, callers = await start(running)
        sending = asyncio.create_task(callers.send(STREAMS_PER_SECOND, SECONDS))
        await asyncio.sleep(2.0)
        for number in range(3):
            running.store.remove(f"servers/v1-{number}")
        await sending
        assert len(callers.mixed) <= MIXED_ALLOWED, f"{len(callers.mixed)} mixed"
        refused = [answer for stream in callers.streams for answer in stream.refused]
        assert (503, None) in refused

    play(tmp_path, scenario)
