"""The system that is soaked: nodes as processes, stand-ins behind a fault-injecting proxy."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
import subprocess
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

from starlette.requests import Request

from hillstack.core.runner_signals import RunnerSignals
from hillstack.emulator.fleet_runner import FleetRunner
from hillstack.platform import names
from hillstack.platform.bodies import TenantBody
from tests.fleet.builders import APPLICATION, ENGINES, MODEL
from tests.fleet.deployment import Deployment, NodeProcess, free_port, until
from tests.processes.fault_proxy import FaultProxy
from tests.soak import fatal_requests
from tests.soak.fatal_requests import FatalRequests
from tests.soak.observations import (
    NODE_PREFIX,
    Arrival,
    EarlierBuild,
    NamedLimit,
    Observations,
    Run,
    RunnerEnd,
    SignalSent,
    Stop,
    Trouble,
)
from tests.soak.regions import REGION_OF_ZONE, Regions
from tests.soak.software import CANARY_SHARE, CANARY_SLACK, Software, StatusNotingStore
from tests.soak.timed_promises import GRACE_SECONDS

NODE_COUNT = 3
ENGINE_COUNT = 4
APPLICATION_COUNT = 3
KEY_COUNT = 3
ONE_ZONE = "zone-a"
LIMITED_TENANT = TenantBody("tenant-2", ["limited-key"], rate_per_s=10, burst=10)
# A key of the tenant without a limit that stays.
FATAL_KEY = "fatal-key"
TOLERANCE: dict[str, Any] = {
    "limit_window_seconds": 8,
    "limit_overshoot": 0.1,
    "limit_slack": 20,
    "canary_share": CANARY_SHARE,
    "canary_slack": CANARY_SLACK,
}
# From the end of a runner to that of its entry, and then to its successor's, at the longest.
ENTRY_SECONDS = 1.5
SUCCESSOR_SECONDS = 2.0
# Signals that end a process.
ENDING = frozenset({signal.SIGTERM, signal.SIGKILL})
# What the limit and the tolerance above allow in a window.
MOST_LIMITED_RUNS = (10 * 8 + 10) * 1.1 + 20


class ObservedRunner(FleetRunner):
    """A runner that notes when each request begins to run."""

    def __init__(
        self,
        runner_id: str,
        service: str,
        software: str,
        observations: Observations,
        end: Callable[[str], None],
    ) -> None:
        model = MODEL if service == ENGINES else ""
        super().__init__(runner_id, service, model=model, software=software)
        self._observations = observations
        self._end = end
        self._ended = False
        # Streams that it works on.
        self.streams: set[str] = set()
        observations.orders[runner_id] = self.orders
        observations.software[runner_id] = software

    def note_run(self, request_id: str, headers: dict[str, str]) -> None:
        """Note a request that begins to run."""
        super().note_run(request_id, headers)
        now = time.monotonic()
        weights = self.weights if self.model else 0
        self._observations.runs.append(Run(request_id, self.runner_id, now, weights))
        fatal = fatal_requests.name_of(request_id)
        if fatal and not self._ended:
            self._ended = True
            self._observations.runner_ends.append(RunnerEnd(fatal, self.runner_id, now))
            self._end(self.runner_id)

    def note_arrival(self, request_id: str) -> None:
        """Note a request that has reached it, and when."""
        super().note_arrival(request_id)
        arrival = Arrival(request_id, self.runner_id, self.born, time.monotonic())
        self._observations.arrivals.append(arrival)

    def note_signals(self, request_id: str, signals: RunnerSignals) -> None:
        """Note what it says of itself in the answer to a request, and when."""
        sent = SignalSent(request_id, self.runner_id, self.born, time.monotonic(), signals)
        self._observations.signals.append(sent)

    def restart(self, born: int) -> None:
        """Start again under the same name, with orders of its own."""
        super().restart(born)
        self._ended = False
        self._observations.orders[f"{self.runner_id} of {born}"] = self.orders

    async def _stream(self, request_id: str, after: int) -> AsyncIterator[bytes]:
        self.streams.add(request_id)
        try:
            async for piece in super()._stream(request_id, after):
                yield piece
        finally:
            self.streams.discard(request_id)

    async def _hang(self, request: Request, request_id: str) -> None:
        try:
            await super()._hang(request, request_id)
        finally:
            self._observations.note_let_go(request_id, self.runner_id, time.monotonic())


class SoakedSystem:
    """Store, runners and nodes, with proxies between them.

    Args:
        folder: Where settings and logs of the nodes go.
        node_count: How many nodes there are.
        has_regions: Whether nodes and runners are split over two regions.
        earlier: Sources of the builds that nodes begin with, in turn; that of today by default.
    """

    def __init__(
        self,
        folder: Path,
        node_count: int = NODE_COUNT,
        *,
        has_regions: bool = False,
        earlier: Sequence[Path] = (),
    ) -> None:
        self.observations = Observations()
        self.software = Software()
        store = StatusNotingStore(self.observations.rollouts)
        self.deployment = Deployment(folder, store)
        self.fatal = FatalRequests(FATAL_KEY)
        self.observations.most_runs = {"limited-key": MOST_LIMITED_RUNS}
        self.proxy = FaultProxy()
        self.weights = 1
        self.regions = Regions(self.proxy) if has_regions else None
        self._peers_ports: dict[str, int] = {}
        self._nodes: dict[str, NodeProcess] = {}
        self._stores: dict[str, str] = {}
        self._node_names = [f"{NODE_PREFIX}{number + 1}" for number in range(node_count)]
        # Sources of the earlier build of each node, and the nodes that run it.
        self._earlier = dict(zip(self._node_names, itertools.cycle(earlier), strict=False))
        self._runs_earlier: dict[str, EarlierBuild] = {}
        for name in self._earlier:
            self._note_build(name, is_earlier=True)
        # Faults that hold each node: it is not started again before the last lets go.
        self._holds: Counter[str] = Counter()
        # Processes that were sent a signal that ends them.
        self._ended_by_us: set[int] = set()
        # Runners that live, by identifier, with the state that their entries tell.
        self._members: dict[str, str] = {}
        self._runner_count = 0
        # Successors of runners that ended, until they are listed.
        self._successors: set[asyncio.Task[None]] = set()
        self._keys = [f"key-{number}" for number in range(KEY_COUNT)]
        self._key_count = KEY_COUNT
        self.unexpected_ends: list[str] = []

    async def start(self) -> None:
        """Start everything and wait until all nodes are ready."""
        await self.deployment.start()
        self._configure()
        stores = await self._store_addresses()
        for service, count in ((ENGINES, ENGINE_COUNT), (APPLICATION, APPLICATION_COUNT)):
            for _ in range(count):
                await self.add_runner(service)
        for name in self._node_names:
            zone = self._zone_of(name)
            self._stores[name] = self.proxy.front(f"store of {name}", stores[zone])
            # As on a machine of its own, a new process listens for peers where the last one did.
            self._peers_ports[name] = free_port()
            if self.regions is not None:
                await self.regions.add_node(name, zone, f"127.0.0.1:{self._peers_ports[name]}")
            self.start_node(name)
        with self.trouble(*self._node_names, planned=True):
            for node in self._nodes.values():
                await self.deployment.wait_ready(node)

    async def close(self) -> None:
        """End everything that was started."""
        for task in self._successors:
            task.cancel()
        await self.deployment.stop()
        if self.regions is not None:
            self.regions.close()
        self.proxy.close()

    def keys(self) -> list[str]:
        """Return the keys of the tenant without a limit that are in use."""
        return self._keys

    def all_keys(self) -> list[str]:
        """Return keys to draw from: those of the tenant with a limit are as many as the others."""
        return self._keys + LIMITED_TENANT.api_keys * len(self._keys)

    def callable_nodes(self) -> list[NodeProcess]:
        """Return all nodes, those that are down too."""
        return list(self._nodes.values())

    def node_names(self) -> list[str]:
        """Return the names of all nodes."""
        return self._node_names

    def pick_node(self, rng: Random) -> str:
        """Return any node, one that another fault holds too."""
        return rng.choice(self._node_names)

    def pick_runner(self, rng: Random) -> str:
        """Return a runner that lives, listed or not."""
        return rng.choice(list(self._members))

    def members(self) -> list[str]:
        """Return the runners that live."""
        return list(self._members)

    @contextlib.contextmanager
    def trouble(self, *targets: str, planned: bool = False) -> Iterator[None]:
        """Note trouble of nodes, runners or the store while the block runs."""
        began = [Trouble(target, time.monotonic(), planned=planned) for target in targets]
        self.observations.troubles += began
        try:
            yield
        finally:
            for each in began:
                each.ended_at = time.monotonic()

    @contextlib.contextmanager
    def limited(self, runner: FleetRunner, limit: float) -> Iterator[None]:
        """Let a runner that names no limit name one while the block runs."""
        named = NamedLimit(runner.runner_id, runner.born, limit, time.monotonic())
        self.observations.limits.append(named)
        runner.faults = replace(runner.faults, limit=limit)
        try:
            yield
        finally:
            named.ended_at = time.monotonic()
            runner.faults = replace(runner.faults, limit=None)

    @contextlib.contextmanager
    def hold(self, name: str) -> Iterator[None]:
        """Keep a node from being started while the block runs (``check_processes``)."""
        self._holds[name] += 1
        try:
            yield
        finally:
            self._holds[name] -= 1

    def start_node(self, name: str) -> None:
        """Start a node, unless it runs."""
        known = self._nodes.get(name)
        if known is not None and known.process.poll() is None:
            return
        store = self._stores[name]
        self._nodes[name] = self.deployment.launch(
            name,
            store=store,
            peers_port=self._peers_ports[name],
            zone=self._zone_of(name),
            region_of_zone=REGION_OF_ZONE if self.regions is not None else None,
            source=self._earlier[name] if self.is_earlier(name) else None,
            grace_seconds=GRACE_SECONDS,
            **TOLERANCE,
        )

    def is_earlier(self, name: str) -> bool:
        """Return whether a node runs an earlier build."""
        return name in self._runs_earlier

    def replace_build(self, name: str, *, is_earlier: bool) -> None:
        """Let a node that has ended start with this build, or with its earlier one."""
        if name in self._earlier:
            self._note_build(name, is_earlier=is_earlier)

    def _note_build(self, name: str, *, is_earlier: bool) -> None:
        now = time.monotonic()
        ended = self._runs_earlier.pop(name, None)
        if ended is not None:
            ended.ended_at = now
        if is_earlier:
            build = self._runs_earlier[name] = EarlierBuild(name, now)
            self.observations.earlier_builds.append(build)

    async def end_node(self, name: str, number: signal.Signals) -> None:
        """Send a signal that ends a node, and wait for its end."""
        process = self.process_of(name)
        began_at = time.monotonic()
        send(process, signal.SIGCONT)
        self.signal_process(process, number)
        await until(lambda: process.poll() is not None, f"{name} ends")
        if number is signal.SIGTERM:
            self.observations.stops.append(Stop(name, began_at, time.monotonic()))

    def node(self, name: str) -> NodeProcess:
        """Return a node's latest process and its addresses."""
        return self._nodes[name]

    def process_of(self, name: str) -> subprocess.Popen[bytes]:
        """Return a node's latest process."""
        return self._nodes[name].process

    def signal_process(self, process: subprocess.Popen[bytes], number: signal.Signals) -> None:
        """Send a signal to a node's process, if it runs."""
        if number in ENDING:
            self._ended_by_us.add(process.pid)
        send(process, number)

    async def check_processes(self) -> None:
        """Note nodes that ended by themselves, and start again what no fault holds.

        A start takes this process up to 0.1 s on a busy machine, so callers and runners get their
        turn after each: 45 starts at a stretch kept them waiting for 4.7 s.
        """
        for name, node in list(self._nodes.items()):
            if node.process.poll() is None:
                continue
            if node.process.pid not in self._ended_by_us:
                self._ended_by_us.add(node.process.pid)
                self.unexpected_ends.append(f"{name} ended with {node.process.returncode}")
            if not self._holds[name]:
                self.start_node(name)
                await asyncio.sleep(0)

    async def add_runner(self, service: str, software: str = "") -> None:
        """Start a runner behind a proxy, with the version in use unless one is named."""
        self._runner_count += 1
        runner_id = f"i-{self._runner_count}"
        version = self.software.usable(service, software)
        runner = ObservedRunner(runner_id, service, version, self.observations, self._end_runner)
        runner.born = runner.cache.born = unix_milliseconds()
        runner.weights = self.weights
        runner.zone = self._zone_of(runner_id)
        runner.faults.software = self.software.faults(version)
        await self.deployment.start_runner(runner, lambda address: self._front(runner, address))
        # Faults choose among the members: only now is there a connection to disturb.
        self._members[runner.runner_id] = "ready"

    def announce_leaving(self, runner_id: str) -> None:
        """Let a runner's entry say that it will leave."""
        if runner_id in self._members:
            self._members[runner_id] = "draining"
            self.deployment.list_runner(runner_id, "draining")
            self.observations.left_at.setdefault(runner_id, time.monotonic())

    def remove_runner(self, runner_id: str) -> None:
        """Take a runner off the list for good; it serves on for a little."""
        self._members.pop(runner_id, None)
        self.lapse(runner_id)

    def runners_of(self, service: str) -> list[ObservedRunner]:
        """Return the runners of a service that live."""
        runners = [self.deployment.runners[runner_id] for runner_id in self._members]
        return [r for r in runners if isinstance(r, ObservedRunner) and r.service == service]

    def end_runner(self, runner_id: str) -> None:
        """End a runner for good and at once, its entry too."""
        self.remove_runner(runner_id)
        self.proxy.end(runner_id)

    async def restart_runner(self, runner_id: str, seconds: float) -> None:
        """End a runner's process, and start the next one under its name a while later."""
        runner = self.deployment.runners[runner_id]
        with self.trouble(runner_id):
            self.proxy.end(runner_id)
            await asyncio.sleep(seconds)
            if runner_id not in self._members:
                return
            runner.restart(max(runner.born + 1, unix_milliseconds()))
            self.proxy.begin_again(runner_id)
            self.list_again(runner_id)

    async def successors_listed(self) -> None:
        """Wait until a new runner is listed for each that was ended by a request."""
        await asyncio.gather(*self._successors)

    def _end_runner(self, runner_id: str) -> None:
        """End a runner by a request: its entry outlives it, and a successor comes."""
        if self._members.pop(runner_id, None) is not None:
            task = asyncio.create_task(self._succeed(runner_id))
            self._successors.add(task)
            task.add_done_callback(self._successors.discard)
        self.proxy.end(runner_id)

    async def _succeed(self, runner_id: str) -> None:
        rng = Random(runner_id)
        ended = self.deployment.runners[runner_id]
        with self.trouble(runner_id):
            await asyncio.sleep(rng.uniform(0.0, ENTRY_SECONDS))
            self.lapse(runner_id)
        await asyncio.sleep(rng.uniform(0.0, SUCCESSOR_SECONDS))
        await self.add_runner(ended.service, ended.software)

    def lapse(self, runner_id: str) -> None:
        """Let a runner's entry end with its lease; the runner lives on."""
        self.deployment.store.remove(names.RUNNERS_PREFIX + runner_id)

    def list_again(self, runner_id: str) -> None:
        """Let a runner write its entry anew, if it still lives."""
        if runner_id in self._members:
            self.deployment.list_runner(runner_id, self._members[runner_id])

    def rotate_key(self, rng: Random) -> None:
        """Take a key away and add another one, in one configuration."""
        removed = rng.choice(self._keys)
        added = f"key-{self._key_count}"
        self._key_count += 1
        self._keys = [key for key in self._keys if key != removed] + [added]
        self._configure()
        self.observations.revoked_at[removed] = time.monotonic()

    def next_weights(self) -> None:
        """Name the next version of the weights."""
        self.weights += 1
        self.deployment.name_weights(self.weights)
        self.observations.weights_named[self.weights] = time.monotonic()

    def write_operators_items_again(self) -> None:
        """Write again what the operator wrote: the store was restored from an older copy."""
        self._configure()
        self.deployment.name_weights(self.weights)
        for service, target in self.software.ordered.items():
            rollout = self.observations.rollouts[target]
            over_seconds = rollout.deadline - rollout.ordered_at
            self.deployment.order_rollout(service, target, over_seconds)

    def engines_behind(self) -> list[str]:
        """Return the listed engines that do not serve the newest weights."""
        runners = [self.deployment.runners[runner_id] for runner_id in self.listed()]
        return [
            runner.runner_id
            for runner in runners
            if runner.service == ENGINES and runner.weights < self.weights
        ]

    def log_problems(self) -> list[str]:
        """Return the lines of the nodes' logs that must never be written."""
        bad = {"background task failed", "request failed"}
        problems: list[str] = []
        for path in {node.log_path for node in self.deployment.nodes}:
            for line in path.read_text().splitlines():
                if not line.startswith("{"):
                    problems.append(f"{path.name}: {line[:200]}")
                elif any(f'"message": "{text}"' in line for text in bad):
                    problems.append(f"{path.name}: {line[:400]}")
        return problems

    def listed(self) -> list[str]:
        """Return the runners that the store lists."""
        prefix = names.RUNNERS_PREFIX
        return [key[len(prefix) :] for key in self.deployment.store.keys(prefix)]

    def _zone_of(self, name: str) -> str:
        """Return the zone of a node or runner: by turns, if there are regions."""
        zones = list(REGION_OF_ZONE) if self.regions is not None else [ONE_ZONE]
        return zones[int(name.rpartition("-")[2]) % len(zones)]

    async def _store_addresses(self) -> dict[str, str]:
        """Return the store's address for each zone."""
        if self.regions is None:
            return {ONE_ZONE: self.deployment.store_address}
        app = self.deployment.store.app()
        return {
            zone: await self.deployment.serve(self.regions.view(app, zone))
            for zone in REGION_OF_ZONE
        }

    def _front(self, runner: FleetRunner, address: str) -> str:
        front = self.proxy.front(runner.runner_id, address)
        if self.regions is not None:
            self.regions.add_runner(runner.runner_id, runner.zone, front)
        return front

    def _configure(self) -> None:
        tenants = [TenantBody("tenant-1", [*self._keys, FATAL_KEY]), LIMITED_TENANT]
        self.deployment.configure(tenants=tenants)


def send(process: subprocess.Popen[bytes], number: signal.Signals) -> None:
    """Send a signal to a process, if it runs."""
    if process.poll() is None:
        process.send_signal(number)


def unix_milliseconds() -> int:
    """Return the time of day as runners tell it."""
    return time.time_ns() // 1_000_000
