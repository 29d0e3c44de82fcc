"""Runners that name how many requests a second they take from all nodes together.

Seen: two engines in need had named such a limit, and got more than it allows from nodes that they
had told: 29 requests in 4 s where 2.3 a second allow 19, and 12 where 1 a second allows 11.

How it came about: on an ordinary day an engine that is preferred gets five to eight requests a
second, from seven nodes. It named its limit in each answer; they went on at the pace of before.

Cause: the limit was not read. And a node that reads it can't keep it: it does not see what the
others send, so a part of its own, or the whole limit, lets the sum pass or leaves it unused.

What proved it: all sends were first tries, at each node, and the logs had no word of the limit. At
one engine three calls more were counted than requests were sent: questions on what it keeps count
too. In the tests below each node alone sends more than a limit, and all calls are counted.
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
# Requests under way when a limit begins are free, and so is what follows so soon.
FREE_SECONDS = 0.5
MEASURED_SECONDS = 6.0
# In some 4 s a runner may get half as much again as its limit allows, and five requests more.
OVERSHOOT = 1.5
SLACK = 5


class Callers:
    """Callers that send requests to all nodes in turn, some at a time, until they are stopped."""

    def __init__(self, running: Deployment, nodes: list[NodeProcess], path: str) -> None:
        self._running = running
        self._nodes = nodes
        self._path = path
        self._numbers = count()
        self._tasks: list[asyncio.Task[None]] = []
        self.statuses: list[int] = []

    def start(self, at_a_time: int, pause_seconds: float) -> None:
        self._tasks = [
            asyncio.create_task(self._call(caller, pause_seconds)) for caller in range(at_a_time)
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


async def calls_while_limited(limited: list[FleetRunner], limits: list[float]) -> list[int]:
    """Let runners name limits; return how many calls of any kind each gets in some seconds."""
    for runner, limit in zip(limited, limits, strict=True):
        runner.faults.limit = limit
    await asyncio.sleep(FREE_SECONDS)
    before = [len(runner.called_at) for runner in limited]
    await asyncio.sleep(MEASURED_SECONDS)
    return [len(runner.called_at) - seen for runner, seen in zip(limited, before, strict=True)]


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
    """All calls count: requests, and at an engine questions on what it keeps.

    Those are limited that got most requests before.
    """

    async def scenario(running: Deployment) -> None:
        runners = [await running.add_runner(f"i-{n}", service) for n in range(RUNNERS)]
        nodes = [await running.add_node(f"node-{n}") for n in range(NODES)]
        callers = Callers(running, nodes, path)
        callers.start(2 * NODES, pause_seconds=0.1)
        await until(lambda: all(len(r.called_at) > 10 for r in runners), "all runners are used")
        began_at = time.monotonic()
        by_use = sorted(runners, key=lambda runner: len(runner.arrived), reverse=True)
        called = await calls_while_limited(by_use[: len(limits)], limits)
        seconds = time.monotonic() - began_at
        await callers.stop()
        allowed = [OVERSHOOT * limit * seconds + SLACK for limit in limits]
        assert all(got <= most for got, most in zip(called, allowed, strict=True)), (
            f"{called} calls, allowed {allowed}"
        )

    play(tmp_path, scenario)
