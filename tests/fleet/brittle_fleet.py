"""Brittle runners behind proxies, which fall over and come back as new processes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from hillstack.emulator.fleet_runner import FleetRunner
from hillstack.platform import names
from tests.fleet.builders import APPLICATION
from tests.fleet.deployment import Deployment
from tests.processes.fault_proxy import FaultProxy
from tests.processes.own_hosts import own_host

# Time from a fall until the entry of the runner expires, and until its successor starts.
ENTRY_SECONDS = 0.7
DOWN_SECONDS = 1.5


def allowed_falls(runner_count: int) -> float:
    return 2 + runner_count / 10


@dataclass
class BrittleFleet:
    """The runners of a service, each of which lets no request wait.

    Attributes:
        count: Number of runners.
        tolerated: Rejections in a second that a runner tolerates; None while they are not brittle.
        up: The runners that have not fallen over.
        all: All runners so far.
        falls: Number of falls.
    """

    running: Deployment
    count: int
    tolerated: int | None
    work_seconds: float
    up: dict[str, FleetRunner] = field(default_factory=dict)
    all: list[FleetRunner] = field(default_factory=list)
    falls: int = 0
    _proxy: FaultProxy = field(default_factory=lambda: FaultProxy(own_host()))
    _successors: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        for _ in range(self.count):
            await self._start_runner()

    async def stop(self) -> None:
        for task in self._successors:
            task.cancel()
        await asyncio.gather(*self._successors, return_exceptions=True)
        self._proxy.close()

    @property
    def rejections(self) -> int:
        return sum(len(runner.rejected_at) for runner in self.all)

    def free_share(self) -> float:
        """Return which part of the places of the runners that are up is free."""
        places = sum(runner.slots for runner in self.up.values())
        running = sum(runner.running for runner in self.up.values())
        return 1.0 - running / places if places else 0.0

    def make_runner(self, runner_id: str) -> FleetRunner:
        return self.running.make_runner(runner_id, APPLICATION)

    async def _start_runner(self) -> None:
        runner = self.make_runner(f"i-{len(self.all)}")
        runner.work_seconds = self.work_seconds
        runner.faults.rejections = self.tolerated
        runner.on_fall = lambda: self._fall(runner)
        self.all.append(runner)
        await self.running.start_runner(
            runner, lambda address: self._proxy.front(runner.runner_id, address)
        )
        self.up[runner.runner_id] = runner

    def _fall(self, runner: FleetRunner) -> None:
        if self.up.pop(runner.runner_id, None) is None:
            return
        self.falls += 1
        self._proxy.close_address(runner.runner_id)
        task = asyncio.create_task(self._start_successor(runner.runner_id))
        self._successors.add(task)
        task.add_done_callback(self._successors.discard)

    async def _start_successor(self, runner_id: str) -> None:
        await asyncio.sleep(ENTRY_SECONDS)
        self.running.store.remove(names.RUNNERS_PREFIX + runner_id)
        await asyncio.sleep(DOWN_SECONDS - ENTRY_SECONDS)
        await self._start_runner()
