"""Node processes that are killed and started again in series, beside callers at a steady rate."""

from __future__ import annotations

import asyncio
import itertools
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import aiohttp

from tests.fleet.deployment import Deployment, NodeProcess

NO_ANSWER = 0


@dataclass
class KilledNodes:
    """The nodes of a deployment, which are killed in turn and started again at once.

    Attributes:
        bounds: Bounds in the settings of each node.
        nodes: The running process of each node.
        ready: Names of the nodes whose process has been ready since its last start.
        kills: Number of kills so far.
    """

    running: Deployment
    count: int
    bounds: dict[str, Any] = field(default_factory=dict)
    nodes: dict[str, NodeProcess] = field(default_factory=dict)
    ready: set[str] = field(default_factory=set)
    kills: int = 0
    _restarts: list[asyncio.Task[None]] = field(default_factory=list)

    async def start(self) -> None:
        for number in range(self.count):
            name = f"node-{number}"
            self.nodes[name] = self.running.launch(name, **self.bounds)
        await asyncio.gather(*(self._wait_ready(name) for name in self.nodes))

    async def kill_in_turn(self, pause_seconds: float, seconds: float) -> None:
        """Kill a node after each pause, for some seconds."""
        ends_at = time.monotonic() + seconds
        for name in itertools.cycle(sorted(self.nodes)):
            await asyncio.sleep(pause_seconds)
            if time.monotonic() >= ends_at:
                break
            self.kill(name)
        await asyncio.gather(*self._restarts)

    def kill(self, name: str) -> None:
        """Kill a node and start it again."""
        process = self.nodes[name].process
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.kills += 1
        self.ready.discard(name)
        self.nodes[name] = self.running.launch(name, **self.bounds)
        self._restarts.append(asyncio.create_task(self._wait_ready(name)))

    async def kill_all(self, meanwhile: Callable[[], Awaitable[None]]) -> None:
        """Kill all nodes at once, and start them again after something has been done."""
        for node in self.nodes.values():
            node.process.send_signal(signal.SIGKILL)
        self.kills += len(self.nodes)
        self.ready.clear()
        for node in self.nodes.values():
            node.process.wait()
        await meanwhile()
        for name in self.nodes:
            self.nodes[name] = self.running.launch(name, **self.bounds)
        await asyncio.gather(*(self._wait_ready(name) for name in self.nodes))

    async def _wait_ready(self, name: str) -> None:
        await self.running.wait_ready(self.nodes[name])
        self.ready.add(name)


@dataclass
class SteadyCallers:
    """Callers that send requests at a steady mean rate to random nodes that are ready.

    Attributes:
        path: Beginning of the path of the requests; each has a path of its own, since runners that
            end under equal requests make nodes reject these.
        sent_at: When each request was sent.
        statuses: Number of answers by status; ``NO_ANSWER`` counts connections without an answer.
        on_answer: Called with the status of each answer.
    """

    nodes: KilledNodes
    path: str
    seed: int = 1
    sent_at: list[float] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    on_answer: Callable[[int], None] = lambda _: None
    _calls: set[asyncio.Task[None]] = field(default_factory=set)

    async def send(self, per_second: float, seconds: float) -> None:
        """Send requests for some seconds, and wait for their answers."""
        rng = Random(self.seed)
        at = time.monotonic()
        ends_at = at + seconds
        while (at := at + rng.expovariate(per_second)) < ends_at:
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            names = sorted(self.names())
            if names:
                self._call(rng.choice(names))
        await asyncio.gather(*self._calls)

    def names(self) -> set[str]:
        """Return the nodes to which requests are sent now."""
        return self.nodes.ready

    def _call(self, name: str) -> None:
        number = len(self.sent_at)
        self.sent_at.append(time.monotonic())
        task = asyncio.create_task(self._exchange(name, f"r-{number}"))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _exchange(self, name: str, request_id: str) -> None:
        try:
            answer = await self.nodes.running.call(
                self.nodes.nodes[name], self.path + request_id, request_id
            )
            status = answer.status
        except aiohttp.ClientError:
            status = NO_ANSWER
        self.statuses[status] += 1
        self.on_answer(status)
