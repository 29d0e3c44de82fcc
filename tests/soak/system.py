"""The system under test: node processes, with emulated runners and store behind fault proxies."""

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
from tests.fleet.bound_main import BOUND_MAIN
from tests.fleet.builders import APPLICATION, ENGINES, MODEL
from tests.fleet.deployment import Deployment, NodeProcess, free_port, until
from tests.processes.fault_proxy import FaultProxy
from tests.processes.node_cuts import CutKind
from tests.processes.own_hosts import own_host
from tests.soak import fatal_requests
from tests.soak.callers import SLOW_STREAM_PREFIX
from tests.soak.fatal_requests import FatalRequests
from tests.soak.log_promises import log_problems
from tests.soak.observations import (
    NODE_PREFIX,
    Arrival,
    Disturbance,
    EarlierBuild,
    ForeignParts,
    NamedLimit,
    Observations,
    Run,
    RunEnd,
    RunnerCrash,
    RunnerCut,
    SignalSent,
    Stop,
)
from tests.soak.regions import LINK_PREFIX, REGION_OF_ZONE, Regions
from tests.soak.runner_silence import RunnerSilence
from tests.soak.software import CANARY_SHARE, CANARY_SLACK, Software, StatusRecordingStore
from tests.soak.timed_promises import GRACE_SECONDS

NODE_COUNT = 3
ENGINE_COUNT = 4
APPLICATION_COUNT = 3
KEY_COUNT = 3
ONE_ZONE = "zone-a"
LIMITED_TENANT = TenantBody("tenant-2", ["limited-key"], rate_per_s=10, burst=10)
# API key for fatal requests, of the tenant without a limit; it is never revoked.
FATAL_KEY = "fatal-key"
NODE_SETTINGS: dict[str, Any] = {
    "limit_window_seconds": 8,
    "limit_overshoot": 0.1,
    "limit_slack": 20,
    "canary_share": CANARY_SHARE,
    "canary_slack": CANARY_SLACK,
}
# Maximum time from a runner's crash until its entry expires, and from then until its successor
# starts.
MAX_ENTRY_DELAY_SECONDS = 1.5
MAX_SUCCESSOR_DELAY_SECONDS = 2.0
# Module of the builds that know eras of the store, below the folder that contains the package.
STORE_ERA_MODULE = Path("hillstack/core/store_era.py")
# Duration of a load of weights at a runner, the shortest of the known deployments.
LOAD_SECONDS = 0.57
# A slow stream of five events lasts longer than two runners may work on one stream.
SLOW_EVENT_PAUSE_SECONDS = 0.15
# Signals that end a process.
TERMINATING_SIGNALS = frozenset({signal.SIGTERM, signal.SIGKILL})
# Requests of the limited tenant that its rate, burst and the settings above allow in a window.
MAX_LIMITED_RUNS = (10 * 8 + 10) * 1.1 + 20


class ObservedRunner(FleetRunner):
    """An emulated runner that records requests and signals, and crashes under fatal requests."""

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
        self.load_seconds = LOAD_SECONDS
        self.preempts = True
        # Request identifiers of the open streams.
        self.streams: set[str] = set()
        self.silence: RunnerSilence | None = None
        observations.orders[runner_id] = self.orders
        observations.order_hosts[runner_id] = self.order_hosts
        observations.software[runner_id] = software

    def record_run(self, request_id: str, headers: dict[str, str]) -> None:
        """Record a request that starts to run; crash if the request is fatal."""
        super().record_run(request_id, headers)
        now = time.monotonic()
        weights = self.weights if self.model else 0
        self._observations.runs.append(Run(request_id, self.runner_id, now, weights))
        fatal = fatal_requests.fatal_name_of(request_id)
        if fatal and not self._ended:
            self._ended = True
            self._observations.runner_ends.append(RunnerCrash(fatal, self.runner_id, now))
            self._end(self.runner_id)

    def record_makers(self, request_id: str, makers: frozenset[int]) -> None:
        """Record a request that began with cached parts of other weights than the runner's."""
        if not makers <= {self.weights}:
            foreign = ForeignParts(request_id, self.runner_id, self.weights, sorted(makers))
            self._observations.foreign_parts.append(foreign)

    def record_arrival(self, request_id: str) -> None:
        """Record a request that has reached the runner, and when."""
        super().record_arrival(request_id)
        arrival = Arrival(request_id, self.runner_id, self.born, time.monotonic())
        self._observations.arrivals.append(arrival)

    def record_signals(self, request_id: str, signals: RunnerSignals) -> None:
        """Record the signals that the runner gives in its answer to a request, and when."""
        sent = SignalSent(request_id, self.runner_id, self.born, time.monotonic(), signals)
        self._observations.signals.append(sent)

    def record_end(self, request_id: str) -> None:
        """Record when the runner stops to work on a request; one that did not run is ignored."""
        end = RunEnd(request_id, self.runner_id, time.monotonic())
        self._observations.run_ends.append(end)

    def event_pause_seconds(self, request_id: str) -> float:
        """Return the pause between two events; long enough in some streams to see two runs."""
        is_slow = request_id.startswith(SLOW_STREAM_PREFIX)
        pause = SLOW_EVENT_PAUSE_SECONDS if is_slow else super().event_pause_seconds(request_id)
        return pause + (self.silence.stream_pause_seconds(request_id) if self.silence else 0.0)

    async def _work(self, request: Request) -> bool:
        if self.silence is not None:
            await self.silence.delay_answer(request)
        return await super()._work(request)

    def restart(self, born: int) -> None:
        """Start again under the same name; the new process's orders are recorded separately."""
        super().restart(born)
        self._ended = False
        name = f"{self.runner_id} of {born}"
        self._observations.orders[name] = self.orders
        self._observations.order_hosts[name] = self.order_hosts

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
            self._observations.record_abandoned(request_id, self.runner_id, time.monotonic())


class SystemUnderTest:
    """The store, runners and nodes of a soak, with fault proxies between them.

    Args:
        folder: Folder for the nodes' settings and logs.
        node_count: Number of nodes.
        has_regions: Whether nodes and runners are split over two regions.
        earlier: Sources of earlier builds with which nodes start, in turn; empty for this build.
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
        store = StatusRecordingStore(self.observations.rollouts)
        self.deployment = Deployment(folder, store, host=own_host())
        self.fatal = FatalRequests(FATAL_KEY)
        self.observations.most_runs = {"limited-key": MAX_LIMITED_RUNS}
        self.proxy = FaultProxy(own_host())
        # Identifiers of the requests that met a silence of a runner.
        self.silenced: set[str] = set()
        self.weights = 1
        self.regions = Regions(self.proxy, own_host()) if has_regions else None
        self._peers_ports: dict[str, int] = {}
        self._nodes: dict[str, NodeProcess] = {}
        self._store_fronts: dict[str, str] = {}
        self._node_names = [f"{NODE_PREFIX}{number + 1}" for number in range(node_count)]
        # Sources of each node's earlier build, and the nodes that currently run theirs.
        self._earlier_sources = dict(zip(self._node_names, itertools.cycle(earlier), strict=False))
        self._running_earlier: dict[str, EarlierBuild] = {}
        for name in self._earlier_sources:
            self._record_build(name, runs_earlier_build=True)
        # Number of faults that currently prevent the restart of each node.
        self._restart_suppressions: Counter[str] = Counter()
        # Processes that the soak sent SIGTERM or SIGKILL; any other end is a violation.
        self._terminated_pids: set[int] = set()
        # Identifiers of the live runners, with the state in their store entries.
        self._runner_states: dict[str, str] = {}
        self._runner_count = 0
        # Tasks that replace crashed runners; each ends when the successor is listed.
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
            self._store_fronts[name] = self.proxy.front(f"store of {name}", stores[zone])
            # A restarted node keeps its peers port, as it would on its own machine.
            self._peers_ports[name] = free_port()
            if self.regions is not None:
                await self.regions.add_node(
                    name, zone, f"{self._host_of(name)}:{self._peers_ports[name]}"
                )
            self.start_node(name)
        with self.disturbance(*self._node_names, planned=True):
            for node in self._nodes.values():
                await self.deployment.wait_ready(node)

    async def close(self) -> None:
        """Stop the nodes, the emulated services and the proxies."""
        for task in self._successors:
            task.cancel()
        await self.deployment.stop()
        if self.regions is not None:
            self.regions.close()
        self.proxy.close()

    def keys(self) -> list[str]:
        """Return the valid API keys of the tenant without a limit."""
        return self._keys

    def weighted_keys(self) -> list[str]:
        """Return the API keys to draw from; half of the draws give the limited tenant's key."""
        return self._keys + LIMITED_TENANT.api_keys * len(self._keys)

    def callable_nodes(self) -> list[NodeProcess]:
        """Return all nodes, including those that are down."""
        return list(self._nodes.values())

    def node_names(self) -> list[str]:
        """Return the names of all nodes."""
        return self._node_names

    def pick_node(self, rng: Random) -> str:
        """Draw a node; another fault may already affect it."""
        return rng.choice(self._node_names)

    def pick_runner(self, rng: Random) -> str:
        """Draw a live runner, whether it is listed or not."""
        return rng.choice(list(self._runner_states))

    def live_runners(self) -> list[str]:
        """Return the identifiers of the live runners."""
        return list(self._runner_states)

    @contextlib.contextmanager
    def disturbance(self, *targets: str, planned: bool = False) -> Iterator[None]:
        """Record a fault of nodes, runners or the store for as long as the block runs."""
        began = [Disturbance(target, time.monotonic(), planned=planned) for target in targets]
        self.observations.troubles += began
        try:
            yield
        finally:
            for each in began:
                each.ended_at = time.monotonic()

    @contextlib.contextmanager
    def limited(self, runner: FleetRunner, limit: float) -> Iterator[None]:
        """Let a runner name a limit while the block runs; it names none afterwards."""
        named = NamedLimit(runner.runner_id, runner.born, limit, time.monotonic())
        self.observations.limits.append(named)
        runner.faults = replace(runner.faults, limit=limit)
        try:
            yield
        finally:
            named.ended_at = time.monotonic()
            runner.faults = replace(runner.faults, limit=None)

    @contextlib.contextmanager
    def cut_from_runners(
        self, names: Sequence[str], kind: CutKind, service: str | None
    ) -> Iterator[None]:
        """Cut nodes off from the runners of a service, or of all, while the block runs."""

        def is_cut(front: str) -> bool:
            runner = self.deployment.runners.get(front.removeprefix(LINK_PREFIX))
            return runner is not None and service in (None, runner.service)

        cut = RunnerCut(list(names), service, time.monotonic())
        self.observations.runner_cuts.append(cut)
        hosts = [self._host_of(name) for name in names]
        try:
            with self.disturbance(*names), self.proxy.node_cut(kind, hosts, is_cut):
                yield
        finally:
            cut.ended_at = time.monotonic()

    @contextlib.contextmanager
    def suppress_restart(self, name: str) -> Iterator[None]:
        """Prevent ``check_processes`` from restarting a node while the block runs."""
        self._restart_suppressions[name] += 1
        try:
            yield
        finally:
            self._restart_suppressions[name] -= 1

    def start_node(self, name: str) -> None:
        """Start a node unless it is running."""
        known = self._nodes.get(name)
        if known is not None and known.process.poll() is None:
            return
        store = self._store_fronts[name]
        self._nodes[name] = self.deployment.launch(
            name,
            store=store,
            peers_port=self._peers_ports[name],
            zone=self._zone_of(name),
            region_of_zone=REGION_OF_ZONE if self.regions is not None else None,
            source=self._earlier_sources[name] if self.runs_earlier_build(name) else None,
            main=BOUND_MAIN,
            host=self._host_of(name),
            grace_seconds=GRACE_SECONDS,
            **NODE_SETTINGS,
        )

    def runs_earlier_build(self, name: str) -> bool:
        """Return whether a node currently runs its earlier build."""
        return name in self._running_earlier

    def lacks_store_eras(self, name: str) -> bool:
        """Return whether a node currently runs a build that knows no eras of the store."""
        if not self.runs_earlier_build(name):
            return False
        return not (self._earlier_sources[name] / STORE_ERA_MODULE).exists()

    def replace_build(self, name: str, *, runs_earlier_build: bool) -> None:
        """Set whether a stopped node starts with its earlier build or with this one."""
        if name in self._earlier_sources:
            self._record_build(name, runs_earlier_build=runs_earlier_build)

    def _record_build(self, name: str, *, runs_earlier_build: bool) -> None:
        now = time.monotonic()
        ended = self._running_earlier.pop(name, None)
        if ended is not None:
            ended.ended_at = now
        if runs_earlier_build:
            build = self._running_earlier[name] = EarlierBuild(name, now)
            self.observations.earlier_builds.append(build)

    async def end_node(self, name: str, number: signal.Signals) -> None:
        """Send a signal that ends a node and wait until its process has ended."""
        process = self.process_of(name)
        began_at = time.monotonic()
        send(process, signal.SIGCONT)
        self.signal_process(process, number)
        await until(lambda: process.poll() is not None, f"{name} ends")
        if number is signal.SIGTERM:
            self.observations.stops.append(Stop(name, began_at, time.monotonic()))

    def node(self, name: str) -> NodeProcess:
        """Return the latest process of a node and its addresses."""
        return self._nodes[name]

    def process_of(self, name: str) -> subprocess.Popen[bytes]:
        """Return the latest process of a node."""
        return self._nodes[name].process

    def signal_process(self, process: subprocess.Popen[bytes], number: signal.Signals) -> None:
        """Send a signal to a node's process if the process is running."""
        if number in TERMINATING_SIGNALS:
            self._terminated_pids.add(process.pid)
        send(process, number)

    async def check_processes(self) -> None:
        """Record nodes that ended unexpectedly, and restart ended nodes unless a fault prevents it.

        Starting a process can block the event loop for 0.1 s on a busy machine, so callers and
        runners get to run after each start: 45 starts in a row blocked them for 4.7 s.
        """
        for name, node in list(self._nodes.items()):
            if node.process.poll() is None:
                continue
            if node.process.pid not in self._terminated_pids:
                self._terminated_pids.add(node.process.pid)
                self.unexpected_ends.append(f"{name} ended with {node.process.returncode}")
            if not self._restart_suppressions[name]:
                self.start_node(name)
                await asyncio.sleep(0)

    async def add_runner(self, service: str, software: str = "") -> None:
        """Start a runner behind a proxy, with the current software version unless one is given."""
        self._runner_count += 1
        runner_id = f"i-{self._runner_count}"
        version = self.software.version_for_start(service, software)
        runner = ObservedRunner(runner_id, service, version, self.observations, self._crash_runner)
        runner.born = runner.cache.born = unix_milliseconds()
        runner.weights = self.weights
        runner.zone = self._zone_of(runner_id)
        runner.faults.software = self.software.faults(version)
        await self.deployment.start_runner(runner, lambda address: self._front(runner, address))
        # Faults draw from the live runners, so the runner is added only once its proxy exists.
        self._runner_states[runner.runner_id] = "ready"

    def announce_leaving(self, runner_id: str) -> None:
        """Mark a runner as leaving in its store entry."""
        if runner_id in self._runner_states:
            self._runner_states[runner_id] = "draining"
            self.deployment.list_runner(runner_id, "draining")
            self.observations.left_at.setdefault(runner_id, time.monotonic())

    def remove_runner(self, runner_id: str) -> None:
        """Remove a runner's entry for good; the runner itself goes on serving."""
        self._runner_states.pop(runner_id, None)
        self.expire_entry(runner_id)

    def runners_of(self, service: str) -> list[ObservedRunner]:
        """Return the live runners of a service."""
        runners = [self.deployment.runners[runner_id] for runner_id in self._runner_states]
        return [r for r in runners if isinstance(r, ObservedRunner) and r.service == service]

    def live_observed_runners(self) -> list[ObservedRunner]:
        """Return the live runners of all services."""
        return self.runners_of(ENGINES) + self.runners_of(APPLICATION)

    def end_runner(self, runner_id: str) -> None:
        """End a runner at once and for good, and remove its entry."""
        self.remove_runner(runner_id)
        self.observations.runners_closed_at[runner_id] = time.monotonic()
        self.proxy.close_address(runner_id)

    async def restart_runner(self, runner_id: str, seconds: float) -> None:
        """End a runner's process and start the next one under its name after some seconds."""
        runner = self.deployment.runners[runner_id]
        with self.disturbance(runner_id):
            self.proxy.close_address(runner_id)
            await asyncio.sleep(seconds)
            if runner_id not in self._runner_states:
                return
            runner.restart(max(runner.born + 1, unix_milliseconds()))
            self.proxy.reopen_address(runner_id)
            self.rewrite_entry(runner_id)

    async def wait_for_successors(self) -> None:
        """Wait until a successor is listed for each runner that a fatal request crashed."""
        await asyncio.gather(*self._successors)

    def _crash_runner(self, runner_id: str) -> None:
        """Crash a runner under a request; its entry expires and a successor starts later."""
        if self._runner_states.pop(runner_id, None) is not None:
            task = asyncio.create_task(self._start_successor(runner_id))
            self._successors.add(task)
            task.add_done_callback(self._successors.discard)
        self.proxy.close_address(runner_id)

    async def _start_successor(self, runner_id: str) -> None:
        rng = Random(runner_id)
        ended = self.deployment.runners[runner_id]
        with self.disturbance(runner_id):
            await asyncio.sleep(rng.uniform(0.0, MAX_ENTRY_DELAY_SECONDS))
            self.expire_entry(runner_id)
        await asyncio.sleep(rng.uniform(0.0, MAX_SUCCESSOR_DELAY_SECONDS))
        await self.add_runner(ended.service, ended.software)

    def expire_entry(self, runner_id: str) -> None:
        """Remove a runner's entry as if its lease had expired; the runner is still running."""
        self.deployment.store.remove(names.RUNNERS_PREFIX + runner_id)

    def rewrite_entry(self, runner_id: str) -> None:
        """Write a runner's entry again if the runner is still live."""
        if runner_id in self._runner_states:
            self.deployment.list_runner(runner_id, self._runner_states[runner_id])

    def rotate_key(self, rng: Random) -> None:
        """Revoke an API key and add another one in a single configuration."""
        removed = rng.choice(self._keys)
        added = f"key-{self._key_count}"
        self._key_count += 1
        self._keys = [key for key in self._keys if key != removed] + [added]
        self._configure()
        self.observations.revoked_at[removed] = time.monotonic()

    def next_weights(self) -> None:
        """Announce the next version of the weights in the store."""
        self.weights += 1
        self.deployment.name_weights(self.weights)
        self.observations.weights_named[self.weights] = time.monotonic()

    def rewrite_operator_items(self) -> None:
        """Write the operator's items again after the store was restored from an older copy."""
        self._configure()
        self.deployment.name_weights(self.weights)
        for service, target in self.software.ordered.items():
            rollout = self.observations.rollouts[target]
            over_seconds = rollout.deadline - rollout.ordered_at
            self.deployment.order_rollout(service, target, over_seconds)

    def outdated_engines(self) -> list[str]:
        """Return the listed engines that don't serve the newest weights."""
        # Entries of other writers belong to no runner.
        runners = (self.deployment.runners.get(each) for each in self.listed_runners())
        return [
            runner.runner_id
            for runner in runners
            if runner is not None and runner.service == ENGINES and runner.weights < self.weights
        ]

    def log_problems(self) -> list[str]:
        """Return lines of the nodes' logs that show an internal error or aren't JSON."""
        return [
            problem
            for path in sorted({node.log_path for node in self.deployment.nodes})
            for problem in log_problems(path)
        ]

    def listed_runners(self) -> list[str]:
        """Return the identifiers of the runners that have an entry in the store."""
        prefix = names.RUNNERS_PREFIX
        return [key[len(prefix) :] for key in self.deployment.store.keys(prefix)]

    def _zone_of(self, name: str) -> str:
        """Return the zone of a node or runner; with regions, zones alternate by number."""
        zones = list(REGION_OF_ZONE) if self.regions is not None else [ONE_ZONE]
        return zones[int(name.rpartition("-")[2]) % len(zones)]

    def _host_of(self, name: str) -> str:
        """Return the host of a node for its peers, from which it connects to runners."""
        return own_host(1 + self._node_names.index(name))

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
        self.observations.configured_at.append(time.monotonic())


def send(process: subprocess.Popen[bytes], number: signal.Signals) -> None:
    """Send a signal to a process if it is running."""
    if process.poll() is None:
        process.send_signal(number)


def unix_milliseconds() -> int:
    """Return the Unix time in milliseconds, as runners report their start time."""
    return time.time_ns() // 1_000_000
