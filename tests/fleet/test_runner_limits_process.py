"""Runners that limit the requests per second that they accept from all nodes together.

Guards against nodes that don't read the limit in a runner's answers, or that keep to it each on its
own. An engine that is preferred gets five to eight requests per second, from seven nodes. While the
limit was not read, one engine got 29 requests in 4 s where 2.3 per second allow 19, and another got
12 where 1 per second allows 11. A node can't keep to the limit on its own since it doesn't see what
the others send: if each node uses the whole limit the sum exceeds it, and if each uses a fixed part
some of the limit is left unused.

Queries of an engine's cache count against its limit as well: one engine counted three more calls
than the requests sent to it. In these tests each node alone sends more than a limit allows, and all
calls are counted.
"""

from __future__ import annotations

import asyncio
import time
from itertools import count
from pathlib import Path

import pytest

from hillstack.emulator.fleet_runner import FleetRunner
from tests.fleet.builders import APPLICATION, ENGINES
from tests.fleet.deployment import Deployment, NodeProcess, until
from tests.fleet.test_node_process import play

NODES = 3
RUNNERS = 3
# Calls within this time after a limit begins don't count.
FREE_SECONDS = 0.5
MEASURED_SECONDS = 6.0
# In about 4 s a runner may get half as much again as its limit allows, plus five requests.
OVERSHOOT = 1.5
SLACK = 5


class Callers:
    """Concurrent callers, spread over the nodes, that send requests until they are stopped."""

    def __init__(self, running: Deployment, nodes: list[NodeProcess], path: str) -> None:
        self._running = running
        self._nodes = nodes
        self._path = path
        self._numbers = count()
        self._tasks: list[asyncio.Task[None]] = []
        self.statuses: list[int] = []

    def start(self, concurrency: int, pause_seconds: float) -> None:
        self._tasks = [
            asyncio.create_task(self._call(caller, pause_seconds)) for caller in range(concurrency)
        ]

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call(self, caller: int, pause_seconds: float) -> None:
        node = self._nodes[caller % len(self._nodes)]
        while True:
            answer = await self._running.call(node, self._path, f"r-{next(self._numbers)}")
            self.statuses.append(answer.status)
            await asyncio.sleep(pause_seconds)


async def count_calls_under_limits(limited: list[FleetRunner], limits: list[float]) -> list[int]:
    """Let runners name limits; return how many calls of any kind each gets while measured."""
    for runner, limit in zip(limited, limits, strict=True):
        runner.faults.limit = limit
    await asyncio.sleep(FREE_SECONDS)
    before = [len(runner.call_times) for runner in limited]
    await asyncio.sleep(MEASURED_SECONDS)
    return [len(runner.call_times) - seen for runner, seen in zip(limited, before, strict=True)]


@pytest.mark.parametrize(
    ("service", "path", "limits"),
    [
        pytest.param(APPLICATION, "/safe/x", [1.0, 2.0], id="application"),
        pytest.param(ENGINES, "/stream/x", [1.0, 2.3], id="engine"),
        pytest.param(APPLICATION, "/safe/x", [1.0, 2.0, 0.5], id="all-of-a-service"),
    ],
)
def test_a_runner_gets_what_its_limit_allows_from_all_nodes_together(
    tmp_path: Path, service: str, path: str, limits: list[float]
) -> None:
    """All calls count: requests and, at an engine, queries of its cache.

    The runners that got the most requests before are the ones with a limit.
    """

    async def scenario(running: Deployment) -> None:
        runners = [await running.add_runner(f"i-{n}", service) for n in range(RUNNERS)]
        nodes = [await running.add_node(f"node-{n}") for n in range(NODES)]
        callers = Callers(running, nodes, path)
        callers.start(2 * NODES, pause_seconds=0.1)
        await until(lambda: all(len(r.call_times) > 10 for r in runners), "all runners are used")
        began_at = time.monotonic()
        by_use = sorted(runners, key=lambda runner: len(runner.arrived), reverse=True)
        called = await count_calls_under_limits(by_use[: len(limits)], limits)
        seconds = time.monotonic() - began_at
        await callers.stop()
        allowed = [OVERSHOOT * limit * seconds + SLACK for limit in limits]
        assert all(got <= most for got, most in zip(called, allowed, strict=True)), (
            f"{called} calls, allowed {allowed}"
        )

    play(tmp_path, scenario)
