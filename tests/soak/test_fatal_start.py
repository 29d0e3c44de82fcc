"""A node that has just started must refuse a request that is already known to be fatal.

Other nodes have seen runners crash under the request, and the new node must know it at once.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from random import Random

import pytest

from tests.soak.callers import Callers
from tests.soak.observations import CallerRequest
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
            fatal = _FatalRequestCaller(system)
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


class _FatalRequestCaller:
    """A caller that sends only the fatal request."""

    def __init__(self, system: SystemUnderTest) -> None:
        self._system = system
        self._callers = Callers(
            system.observations, system.callable_nodes, system.keys, system.fatal, _ZeroRandom()
        )

    async def call(self, name: str) -> CallerRequest:
        return await self._callers.call_once(self._system.node(name), may_close_early=False)


class _ZeroRandom(Random):
    """A source of randomness with which callers always draw the fatal request."""

    def random(self) -> float:
        return 0.0
