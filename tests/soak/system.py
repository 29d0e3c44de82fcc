"""The system that is soaked: nodes as processes, stand-ins behind a fault-injecting proxy."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path
from random import Random

from hillstack.emulator.fleet_runner import FleetRunner
from hillstack.platform import names
from hillstack.platform.bodies import TenantBody
from tests.fleet.builders import APPLICATION, ENGINES, MODEL
from tests.fleet.deployment import Deployment, NodeProcess, until
from tests.processes.fault_proxy import FaultProxy
from tests.soak.promises import Observations, Run

NODES = ("node-1", "node-2", "node-3")
ENGINE_COUNT = 4
APPLICATION_COUNT = 3
KEY_COUNT = 3
LIMITED_TENANT = TenantBody("tenant-2", ["limited-key"], rate_per_s=10, burst=10)
TOLERANCE = {"limit_window_seconds": 8, "limit_overshoot": 0.1, "limit_slack": 20}
GRACE_SECONDS = 8.0
# What the limit and the tolerance above allow in a window.
MOST_LIMITED_RUNS = (10 * 8 + 10) * 1.1 + 20


class ObservedRunner(FleetRunner):
    """A runner that notes when each request begins to run."""

    def __init__(self, runner_id: str, service: str, observations: Observations) -> None:
        super().__init__(runner_id, service, model=MODEL if service == ENGINES else "")
        self._observations = observations
        observations.orders[runner_id] = self.orders

    def note_run(self, request_id: str, headers: dict[str, str]) -> None:
        """Note a request that begins to run."""
        super().note_run(request_id, headers)
        self._observations.runs.append(Run(request_id, self.runner_id, time.monotonic()))


class SoakedSystem:
    """Store, runners and nodes, with proxies between them.

    Args:
        folder: Where settings and logs of the nodes go.
    """

    def __init__(self, folder: Path) -> None:
        self.deployment = Deployment(folder)
        self.observations = Observations()
        self.observations.most_runs = {"limited-key": MOST_LIMITED_RUNS}
        self.proxy = FaultProxy()
        self.weights = 1
        self._nodes: dict[str, NodeProcess] = {}
        self._stores: dict[str, str] = {}
        self._busy: set[str] = set()
        self._runner_count = 0
        self._keys = [f"key-{number}" for number in range(KEY_COUNT)]
        self._key_count = KEY_COUNT
        self.unexpected_ends: list[str] = []

    async def start(self) -> None:
        """Start everything and wait until all nodes are ready."""
        await self.deployment.start()
        self._configure()
        for service, count in ((ENGINES, ENGINE_COUNT), (APPLICATION, APPLICATION_COUNT)):
            for _ in range(count):
                await self.add_runner(service)
        for name in NODES:
            self._stores[name] = self.proxy.front(f"store of {name}", self.deployment.store_address)
            self.start_node(name)
        for node in self._nodes.values():
            await self.deployment.wait_ready(node)

    async def close(self) -> None:
        """End everything that was started."""
        await self.deployment.stop()
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

    def running_nodes(self) -> list[str]:
        """Return the names of the nodes that no fault holds."""
        return [name for name in self._nodes if name not in self._busy]

    def pick_node(self, rng: Random) -> str:
        """Return a node that no fault holds, or any if all are held."""
        return rng.choice(self.running_nodes() or list(self._nodes))

    def pick_runner(self, rng: Random) -> str:
        """Return a runner that is listed."""
        prefix = names.RUNNERS_PREFIX
        listed = [key[len(prefix) :] for key in self.deployment.store.keys(prefix)]
        return rng.choice(listed)

    def start_node(self, name: str) -> None:
        """Start a node, unless it runs."""
        known = self._nodes.get(name)
        if known is not None and known.process.poll() is None:
            return
        store = self._stores[name]
        self._nodes[name] = self.deployment.launch(
            name, store=store, grace_seconds=GRACE_SECONDS, **TOLERANCE
        )
        self._busy.discard(name)

    async def end_node(self, name: str, number: signal.Signals) -> None:
        """Send a signal that ends a node, and wait for its end."""
        self._busy.add(name)
        node = self._nodes[name]
        self.signal_node(name, signal.SIGCONT)
        self.signal_node(name, number)
        await until(lambda: node.process.poll() is not None, f"{name} ends")

    def signal_node(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a node, if it runs."""
        process = self._nodes[name].process
        if process.poll() is None:
            process.send_signal(number)

    def check_processes(self) -> None:
        """Note nodes that ended by themselves, and start them again."""
        for name, node in self._nodes.items():
            if name not in self._busy and node.process.poll() is not None:
                self.unexpected_ends.append(f"{name} ended with {node.process.returncode}")
                self.start_node(name)

    async def add_runner(self, service: str) -> None:
        """Start a runner behind a proxy."""
        self._runner_count += 1
        runner = ObservedRunner(f"i-{self._runner_count}", service, self.observations)
        runner.weights = self.weights
        await self.deployment.start_runner(
            runner, lambda address: self.proxy.front(runner.runner_id, address)
        )

    async def remove_runner(self, runner_id: str) -> None:
        """Take a runner off the list; it serves on for a little."""
        self.deployment.store.remove(names.RUNNERS_PREFIX + runner_id)
        await asyncio.sleep(0)

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

    def engines_behind(self) -> list[str]:
        """Return the listed engines that do not serve the newest weights."""
        listed = self.deployment.store.keys(names.RUNNERS_PREFIX)
        runners = [self.deployment.runners[key[len(names.RUNNERS_PREFIX) :]] for key in listed]
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

    def _configure(self) -> None:
        tenants = [TenantBody("tenant-1", list(self._keys)), LIMITED_TENANT]
        self.deployment.configure(tenants=tenants)
