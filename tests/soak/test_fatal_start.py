"""A node that has just started must refuse a request that is already known to be fatal.

Other nodes have seen runners crash under the request, and the new node must know it at once.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from tests.soak.fatal_caller import FatalRequestCaller
from tests.soak.system import SystemUnderTest

MAX_ENDS = 2
TRIES = 10


@pytest.mark.parametrize("kind", ["safe", "stream"])
def test_a_node_that_has_just_started_runs_no_request_that_is_known_to_be_fatal(
    tmp_path: Path, kind: str
) -> None:
    async def scenario() -> None:
        system = SystemUnderTest(tmp_path)
        try:
            await system.start()
            system.fatal.add(kind)
            fatal = FatalRequestCaller(system)
            for _ in range(TRIES):
                await fatal.call("node-1")
            assert len(system.observations.runner_ends) == MAX_ENDS
            await system.wait_for_successors()
            await system.end_node("node-2", signal.SIGKILL)
            system.start_node("node-2")
            while not system.node("node-2").listens():  # noqa: ASYNC110 (another process)
                await asyncio.sleep(0.01)
            await fatal.call("node-2")
            assert len(system.observations.runner_ends) == MAX_ENDS
        finally:
            await system.close()

    asyncio.run(scenario())
