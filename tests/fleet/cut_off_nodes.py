"""A deployment in which some nodes can be cut off from runners, and callers that count by node."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections import Counter
from collections.abc import AsyncIterator, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from tests.fleet.bound_main import BOUND_MAIN
from tests.fleet.builders import APPLICATION, ENGINES
from tests.fleet.deployment import Deployment, NodeProcess, deployment
from tests.processes.fault_proxy import FaultProxy
from tests.processes.node_cuts import CutKind

PATHS = ("/safe/x", "/once/x", "/stream/x")
# Pause between two requests to a node on one kind of route.
PAUSE_SECONDS = 0.25
# Time after the start of a cut from which first tries count.
CONTACT_SECONDS = 3.0
BROKEN = 0


@dataclass(frozen=True, slots=True)
class FirstTry:
    """A request's only try and its outcome; ``BROKEN`` if it got no status."""

    node: str
    path: str
    request_id: str
    sent_at: float
    ended_at: float
    status: int


@dataclass
class CutDeployment:
    """Nodes before proxied runners, with callers at each node.

    Attributes:
        cut_at: When the latest cut began, on the monotonic clock.
    """

    running: Deployment
    proxy: FaultProxy
    tries: list[FirstTry] = field(default_factory=list)
    cut_at: float = 0.0
    _numbers: Iterator[int] = field(default_factory=itertools.count)

    @contextlib.contextmanager
    def cut(
        self, nodes: Sequence[NodeProcess], kind: CutKind, runners: Sequence[str] | None = None
    ) -> Iterator[None]:
        """Cut nodes off from all runners, or from some, while the block runs."""
        self.cut_at = time.monotonic()
        hosts = [node.host for node in nodes]
        with self.proxy.node_cut(kind, hosts, lambda name: runners is None or name in runners):
            yield

    @contextlib.asynccontextmanager
    async def callers(self) -> AsyncIterator[None]:
        """Call each node on each kind of route while the block runs."""
        tasks = [
            asyncio.create_task(self._call_repeatedly(node, path))
            for node in self.running.nodes
            for path in PATHS
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def call(self, node: NodeProcess, path: str) -> FirstTry:
        """Send one request to a node and record it."""
        request_id = f"t-{next(self._numbers)}"
        sent_at = time.monotonic()
        try:
            status = (await self.running.call(node, path, request_id)).status
        except aiohttp.ClientError:
            status = BROKEN
        tried = FirstTry(node.name, path, request_id, sent_at, time.monotonic(), status)
        self.tries.append(tried)
        return tried

    async def _call_repeatedly(self, node: NodeProcess, path: str) -> None:
        """Send requests at a constant rate, whether earlier ones were answered or not."""
        async with asyncio.TaskGroup() as calls:
            while True:
                calls.create_task(self.call(node, path))
                await asyncio.sleep(PAUSE_SECONDS)

    def since_contact(self, nodes: Sequence[NodeProcess]) -> list[FirstTry]:
        """Return the first tries at nodes that were sent ``CONTACT_SECONDS`` or later in a cut."""
        names = {node.name for node in nodes}
        began_at = self.cut_at + CONTACT_SECONDS
        return [each for each in self.tries if each.node in names and each.sent_at >= began_at]

    def run_counts(self) -> Counter[str]:
        """Return how often each request was run, over all runners."""
        return Counter(
            request_id for runner in self.running.runners.values() for request_id in runner.ran
        )


def count_served(tries: Sequence[FirstTry]) -> int:
    """Return the number of tries that were answered with success."""
    return sum(each.status == 200 for each in tries)


@contextlib.asynccontextmanager
async def cut_deployment(
    folder: Path, zones: Sequence[str], engines: int = 3, applications: int = 3
) -> AsyncIterator[CutDeployment]:
    """Run a deployment with a node in each of the given zones, and proxied runners."""
    proxy = FaultProxy()
    try:
        async with deployment(folder) as running:
            for service, count in ((ENGINES, engines), (APPLICATION, applications)):
                for number in range(count):
                    await _add_runner(running, proxy, f"{service}-{number}", service)
            launched = [
                running.launch(
                    f"node-{number}", zone=zone, main=BOUND_MAIN, host=f"127.0.0.{number + 2}"
                )
                for number, zone in enumerate(zones)
            ]
            for node in launched:
                await running.wait_ready(node)
            yield CutDeployment(running, proxy)
    finally:
        proxy.close()


async def _add_runner(running: Deployment, proxy: FaultProxy, runner_id: str, service: str) -> None:
    runner = running.make_runner(runner_id, service)
    await running.start_runner(runner, lambda address: proxy.front(runner_id, address))
