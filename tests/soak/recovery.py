"""What must be well again some time after the last fault, on every node and at every runner."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Awaitable, Callable

import aiohttp

from tests.fleet.deployment import NodeProcess
from tests.soak.callers import Callers
from tests.soak.system import SoakedSystem

# For nodes that were ended by the last fault to start, many at once perhaps on a busy machine.
START_SECONDS = 30.0
SERVED_IN_A_ROW = 10
# For each node to serve those in a row, beside the callers of the soak.
SERVE_SECONDS = 15.0
# Runners are back within 2 s of the store's return, a configuration holds within 2 s, and a runner
# is suspected for 4 s at most.
KNOWN_SECONDS = 8.0
# New weights are in use 8 s after they are named; the users look after one and a half of these.
WEIGHTS_SECONDS = 12.0
CHECK_SECONDS = 0.1
ANSWER_SECONDS = 5.0
GAUGE = re.compile(r"^hillstack_(\w+) (\S+)$", re.MULTILINE)


class Recovery:
    """Checks a system after its last fault.

    Attributes:
        violations: What was not well in time.
        times: Seconds from the time when all nodes were ready again, by what was waited for.
    """

    def __init__(self, system: SoakedSystem, callers: Callers) -> None:
        self._system = system
        self._callers = callers
        self._ready_at = 0.0
        self.violations: list[str] = []
        self.times: dict[str, float] = {}

    async def check(self) -> None:
        """Check all, with the callers of the soak still at work."""
        await self._system.check_processes()
        nodes = self._system.callable_nodes()
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=ANSWER_SECONDS)
        ) as session:
            ends_at = time.monotonic() + START_SECONDS
            await asyncio.gather(*(self._ready(node, ends_at) for node in nodes))
            self._ready_at = time.monotonic()
            await asyncio.gather(
                *(self._knows_all(session, node) for node in nodes),
                *(self._serves(node) for node in nodes),
                self._weights(),
            )

    async def _ready(self, node: NodeProcess, ends_at: float) -> None:
        async def is_ready() -> str:
            return "" if await self._system.deployment.readiness(node) == 200 else "not ready"

        await self._until(is_ready, ends_at, f"{node.name} is not ready again")

    async def _knows_all(self, session: aiohttp.ClientSession, node: NodeProcess) -> None:
        """Wait until a node knows the runners that are listed, and the newest configuration."""

        async def lacks() -> str:
            try:
                gauges = await read_gauges(session, node)
            except (aiohttp.ClientError, TimeoutError) as error:
                return f"no metrics: {error!r}"
            expected = {
                "runners_accepting": float(len(self._system.listed())),
                "configuration_version": float(self._system.deployment.version - 1),
            }
            wrong = {
                name: gauges.get(name) for name in expected if gauges.get(name) != expected[name]
            }
            return f"{wrong}, expected {expected}" if wrong else ""

        ends_at = self._ready_at + KNOWN_SECONDS
        text = f"{node.name} does not know all after {KNOWN_SECONDS:.0f} s"
        self._note("known", await self._until(lacks, ends_at, text))

    async def _weights(self) -> None:
        async def behind() -> str:
            return ", ".join(self._system.engines_behind())

        ends_at = self._ready_at + WEIGHTS_SECONDS
        text = f"engines with old weights after {WEIGHTS_SECONDS:.0f} s"
        self._note("weights", await self._until(behind, ends_at, text))

    async def _serves(self, node: NodeProcess) -> None:
        ends_at = self._ready_at + SERVE_SECONDS
        served = 0
        while served < SERVED_IN_A_ROW and time.monotonic() < ends_at:
            answer = await self._callers.call_once(node, self._system.keys()[0], leave=False)
            served = served + 1 if answer.status == 200 else 0
        if served < SERVED_IN_A_ROW:
            self.violations.append(f"{node.name} does not serve again")
        self._note("served", time.monotonic() - self._ready_at)

    async def _until(self, lacks: Callable[[], Awaitable[str]], ends_at: float, text: str) -> float:
        """Wait until nothing is lacking; return the seconds since all nodes were ready."""
        while lacking := await lacks():
            if time.monotonic() >= ends_at:
                self.violations.append(f"{text}: {lacking}")
                break
            await asyncio.sleep(CHECK_SECONDS)
        return time.monotonic() - self._ready_at

    def _note(self, name: str, seconds: float) -> None:
        self.times[name] = max(seconds, self.times.get(name, 0.0))


async def read_gauges(session: aiohttp.ClientSession, node: NodeProcess) -> dict[str, float]:
    """Return the metrics without labels of a node, by name."""
    async with session.get(f"http://127.0.0.1:{node.metrics_port}/metrics") as response:
        return {name: float(text) for name, text in GAUGE.findall(await response.text())}
