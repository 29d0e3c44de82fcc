"""Runners behind proxies that crash when they begin an answer on a certain prompt part."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import aiohttp

from hillstack.emulator.fleet_runner import FleetRunner
from hillstack.platform import names
from tests.fleet.brittle_fleet import BrittleFleet
from tests.fleet.builders import APPLICATION, ENGINES, MODEL
from tests.fleet.deployment import Deployment, NodeProcess
from tests.fleet.part_traffic import CONTACT_SECONDS, CRASHES_BEFORE_LIMIT, FIRST_PART

# Time from the start of a request with a fatal part to the crash of its runner.
FATAL_AGE_SECONDS = 0.05
FATAL_ID = "fatal"
MAX_TRIES = 3
NOT_RUN = (429, 503)


@dataclass
class PartRunner(FleetRunner):
    """A runner that crashes shortly after a request with a fatal part has begun.

    Attributes:
        fatal_arrivals: Time and part of each arrival of a request with a fatal part.
    """

    fatal_arrivals: list[tuple[float, str]] = field(default_factory=list)
    crashed_at: float | None = None
    crashed_under: set[str] = field(default_factory=set)

    def record_run(self, request_id: str, headers: dict[str, str]) -> None:
        super().record_run(request_id, headers)
        shared = headers.get(names.PROMPT_PARTS.lower(), "").split(",")[:-1]
        for part in (entry.partition(":")[0] for entry in shared):
            if part.startswith(FATAL_ID):
                self.fatal_arrivals.append((time.monotonic(), part))
                asyncio.get_running_loop().call_later(FATAL_AGE_SECONDS, self._crash, part)

    def _crash(self, part: str) -> None:
        self.crashed_under.add(part)
        if self.crashed_at is None:
            self.crashed_at = time.monotonic()
            self.on_fall()


@dataclass
class FatalPartFleet(BrittleFleet):
    """The runners of a service, which begin again under another identifier after a crash.

    Attributes:
        service: The service; runners of ``ENGINES`` stream their answers.
    """

    service: str = APPLICATION

    def make_runner(self, runner_id: str) -> FleetRunner:
        model = MODEL if self.service == ENGINES else ""
        return PartRunner(runner_id, self.service, model=model)

    def crashes(self, part: str = FATAL_ID) -> list[float]:
        """Return the times of the crashes under a part, in order."""
        return sorted(
            runner.crashed_at
            for runner in self.part_runners()
            if runner.crashed_at is not None and part in runner.crashed_under
        )

    def late_sends(self, part: str = FATAL_ID) -> int:
        """Return how many requests with a part arrived long after its fifth crash."""
        crashes = self.crashes(part)
        if len(crashes) < CRASHES_BEFORE_LIMIT:
            return 0
        known_at = crashes[CRASHES_BEFORE_LIMIT - 1] + CONTACT_SECONDS
        arrivals = [arrival for runner in self.part_runners() for arrival in runner.fatal_arrivals]
        return sum(at > known_at and arrived == part for at, arrived in arrivals)

    def part_runners(self) -> list[PartRunner]:
        return [runner for runner in self.all if isinstance(runner, PartRunner)]


@dataclass
class PartCallers:
    """Callers of requests with and without a fatal part, each unlike all others.

    Attributes:
        running: The deployment.
        nodes: Returns the nodes that take connections now.
        path: Beginning of the path of the requests.
        sound: Time and outcome of each sound request: whether its first try was served.
    """

    running: Deployment
    nodes: Callable[[], list[NodeProcess]]
    path: str = "/safe/"
    seed: int = 1
    sound: list[tuple[float, bool]] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    _sent: int = 0

    async def send(self, per_second: float, seconds: float, part: str = "") -> None:
        """Send requests at a steady mean rate for some seconds, with a fatal part if given."""
        rng = Random(f"{self.seed}/{part}")
        at, calls = time.monotonic(), []
        ends_at = at + seconds
        while (at := at + rng.expovariate(per_second)) < ends_at:
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            calls.append(asyncio.create_task(self._call(part, rng)))
        await asyncio.gather(*calls)

    def served_share(self, since: float) -> float:
        """Return which share of the sound requests sent since a time was served at first."""
        outcomes = [is_served for at, is_served in self.sound if at >= since]
        return sum(outcomes) / len(outcomes) if outcomes else 0.0

    async def _call(self, part: str, rng: Random) -> None:
        self._sent += 1
        number, sent_at = self._sent, time.monotonic()
        shared = f"{FIRST_PART}:200," + (f"{part}:100," if part else "")
        headers = {names.PROMPT_PARTS: f"{shared}own-{number}:50", names.TOKEN_USAGE: "350,80"}
        headers[names.MODEL] = MODEL
        for tried in range(MAX_TRIES if part else 1):
            nodes = self.nodes()
            status = 0
            if nodes:
                status = await self._try(rng.choice(nodes), f"{number}-{tried}", headers)
            if part:
                self.statuses.append(status)
            elif nodes:
                self.sound.append((sent_at, status == 200))
            if status == 200:
                return
            await asyncio.sleep(rng.uniform(0.1, 0.4))

    async def _try(self, node: NodeProcess, request_id: str, headers: dict[str, str]) -> int:
        try:
            path = f"{self.path}{request_id}"
            answer = await self.running.call(node, path, request_id, **headers)
        except (aiohttp.ClientError, TimeoutError):
            return 0
        return answer.status if answer.body else 0
