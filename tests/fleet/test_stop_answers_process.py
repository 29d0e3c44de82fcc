"""A planned stop answers each request that it has read, also those whose runner does not answer."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.fleet.builders import APPLICATION, ENGINES
from tests.fleet.deployment import Deployment, until
from tests.fleet.test_node_process import play
from tests.fleet.test_unframed_ends_process import ask, routes

GRACE_SECONDS = 3.0
# As many as a runner has slots.
REQUESTS = 4


async def call_to_end(running: Deployment, path: str, number: int) -> int | None:
    """Send a request; return its status, or None if its connection ends without an answer."""
    answer = await ask(running, path, number)
    return None if answer is None else answer.status


# Guards against LOST: the process ended, and with it the connections of requests that were read
# and passed on, without a status.
@pytest.mark.parametrize("main", ["hillstack.daemon.fleet_main", "tests.fleet.abrupt_main"])
@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/ask/x"])
def test_requests_whose_runner_is_silent_are_answered_before_the_process_ends(
    tmp_path: Path, path: str, main: str
) -> None:
    async def scenario(running: Deployment) -> None:
        running.configure(routes=routes())
        service = ENGINES if path == "/ask/x" else APPLICATION
        runner = await running.add_runner("i-1", service)
        node = await running.add_node("node-1", grace_seconds=GRACE_SECONDS, main=main)
        # Before its first answer, a runner gets one request at a time.
        assert await call_to_end(running, path, 0) == 200
        runner.ran.clear()
        runner.faults.hang = True
        calls = [asyncio.create_task(call_to_end(running, path, 1 + at)) for at in range(REQUESTS)]
        await until(lambda: len(set(runner.ran)) == REQUESTS, "all requests run")
        running.send_signal(node)
        assert await asyncio.gather(*calls) == [502] * REQUESTS
        assert await running.wait_for_exit(node) == 0

    play(tmp_path, scenario)
