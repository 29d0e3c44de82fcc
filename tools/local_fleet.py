"""Starts a complete deployment as local processes, for the demonstration and for tests."""

from __future__ import annotations

import json
import secrets
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from make_deployments import demo_token

from hillstack.emulator.free_ports import free_ports

DEPLOY = Path(__file__).resolve().parent.parent / "deploy"
HOST = "127.0.0.1"
START_LIMIT_SECONDS = 60.0
STOP_LIMIT_SECONDS = 30.0
POLL_SECONDS = 0.05
ENGINE_CACHE_BLOCKS = 200
ENGINE_PREFILL_RATE = 40_000.0


class FleetError(Exception):
    """A process of the deployment failed or did not reach the expected state in time."""


@dataclass(slots=True)
class ManagedProcess:
    """A child process whose standard error goes to a log file."""

    name: str
    command: list[str]
    log_path: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, stdout=subprocess.DEVNULL, stderr=log, stdin=subprocess.DEVNULL
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, even if it is stopped, and wait until it has ended."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def stop(self) -> int:
        """Stop the process with SIGTERM and return its exit code."""
        self.signal(signal.SIGTERM)
        assert self.process is not None
        try:
            return self.process.wait(STOP_LIMIT_SECONDS)
        except subprocess.TimeoutExpired as error:
            self.kill()
            raise FleetError(f"{self.name} did not stop:\n{self.tail()}") from error

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def tail(self) -> str:
        """Return the end of the log."""
        return self.log_path.read_text(errors="replace")[-2_000:]


@dataclass(slots=True)
class RouterHandle:
    """A router: its zone, addresses, settings file and process."""

    zone: str
    callers: str
    peers: str
    settings: Path
    process: ManagedProcess


@dataclass(slots=True)
class LocalFleet:
    """A deployment on loopback; a context manager that starts and stops the processes.

    Args:
        deployment: Folder below ``deploy/``.
        engines: Number of engines; None for the number in the deployment's plan.
        overrides: Settings that all routers get with ``--set``.
        proxy_address: Returns the address that the machine list gives for a back end, from its
            name and its real address. A test can return the address of a proxy.
    """

    deployment: str
    engines: int | None = None
    event_loss: float = 0.0
    overrides: dict[str, str] = field(default_factory=dict)
    proxy_address: Callable[[str, str], str] = field(default=lambda name, address: address)
    folder: Path = field(init=False)
    plan: dict[str, Any] = field(init=False)
    routers: list[RouterHandle] = field(default_factory=list, init=False)
    processes: dict[str, ManagedProcess] = field(default_factory=dict, init=False)
    addresses: dict[str, str] = field(default_factory=dict, init=False)
    platform: str = field(default="", init=False)
    private_keys: dict[str, Path] = field(default_factory=dict, init=False)
    keyset_path: Path = field(init=False)
    bundle_path: Path = field(init=False)
    _temporary: tempfile.TemporaryDirectory[str] = field(init=False)

    def __enter__(self) -> LocalFleet:
        self._temporary = tempfile.TemporaryDirectory(prefix="hillstack-")
        self.folder = Path(self._temporary.name)
        self.plan = json.loads((DEPLOY / self.deployment / "fleet.json").read_text())
        try:
            self._start_all()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill all running processes and remove their files."""
        for process in self.processes.values():
            process.kill()
        self._temporary.cleanup()

    def token(self, tenant: str) -> str:
        """Return a tenant's bearer token."""
        return demo_token(tenant)

    def cli(self, *arguments: str, check: bool = True) -> subprocess.CompletedProcess[str]:
        """Run the ``hillstack`` command line."""
        command = [sys.executable, "-m", "hillstack", *arguments]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        if check and done.returncode != 0:
            raise FleetError(f"{arguments}: exit {done.returncode}\n{done.stdout}{done.stderr}")
        return done

    def engine_ids(self) -> list[str]:
        """Return the identifiers of the engines."""
        return [name for name in self.processes if name.startswith("engine-")]

    def application_ids(self) -> list[str]:
        """Return the identifiers of the applications."""
        return [name for name in self.processes if name.startswith("application-")]

    def rollout(self, bundle_path: Path, *, wait: bool = True) -> subprocess.CompletedProcess[str]:
        """Sign a bundle with the keys of all partners and roll it out."""
        signed = self.sign(bundle_path)
        arguments = ["bundle", "rollout", str(signed), "--keyset", str(self.keyset_path)]
        arguments += ["--platform", self.platform, "--output", "json"]
        if wait:
            arguments += ["--router", self.routers[0].callers]
        return self.cli(*arguments, check=False)

    def sign(self, bundle_path: Path) -> Path:
        """Sign a bundle with the keys of all partners; return the path of the signed file."""
        signed = bundle_path.with_suffix(".signed.json")
        for partner, key in self.private_keys.items():
            arguments = ["bundle", "sign", str(bundle_path), "--signed", str(signed)]
            self.cli(*arguments, "--partner", partner, "--private", str(key))
        return signed

    def wait_ready(self, routers: list[RouterHandle] | None = None) -> None:
        """Wait until routers are ready and know all running back ends and each other."""
        for router in routers or self.routers:
            wait_until(lambda r=router: self._knows_all(r), f"{router.zone} ready", self.processes)

    def _knows_all(self, router: RouterHandle) -> bool:
        status = get_json(router.callers, "/status")
        if status is None or not status["ready"]:
            return False
        accepting = [entry for entry in status["backends"] if entry["accepts_work"]]
        with_status = [entry for entry in accepting if entry["incarnation"]]
        alive = [entry for entry in status["members"] if entry["state"] == "alive"]
        running = sum(1 for handle in self.routers if handle.process.is_running())
        expected = sum(1 for name in self.addresses if self.processes[name].is_running())
        return len(with_status) >= expected and len(alive) >= running - 1

    def _start_all(self) -> None:
        self._make_keys()
        self._start_platform_and_backends()
        self._start_routers()
        self.bundle_path = self.folder / "bundle-1.json"
        self.bundle_path.write_text((DEPLOY / self.deployment / "bundle.json").read_text())
        self._wait_platform()
        done = self.rollout(self.bundle_path, wait=False)
        if done.returncode != 0:
            raise FleetError(f"first roll-out failed: {done.stdout}{done.stderr}")
        self.wait_ready()

    def _make_keys(self) -> None:
        bundle = json.loads((DEPLOY / self.deployment / "bundle.json").read_text())
        public: dict[str, str] = {}
        for partner in (entry["name"] for entry in bundle["partners"]):
            path = self.folder / f"{partner}.key"
            done = self.cli("bundle", "keygen", partner, "--private", str(path), "--output", "json")
            public[partner] = json.loads(done.stdout)["public_key"]
            self.private_keys[partner] = path
        keyset = {"version": 1, "threshold": len(public), "keys": public}
        self.keyset_path = self.folder / "keyset.json"
        self.keyset_path.write_text(json.dumps(keyset))

    def _start_platform_and_backends(self) -> None:
        zones = self.plan["zones"]
        engines = self.engines if self.engines is not None else self.plan["engines"]
        applications = self.plan["applications"]
        ports = iter(free_ports(1 + 3 * engines + applications))
        machines = []
        for number in range(engines):
            http, events, replay = (f"{HOST}:{next(ports)}" for _ in range(3))
            entry = self._engine(number, zones[number % len(zones)], http, events, replay)
            machines.append(entry)
        for number in range(applications):
            address = f"{HOST}:{next(ports)}"
            machines.append(self._application(number, zones[number % len(zones)], address))
        self.platform = f"{HOST}:{next(ports)}"
        machine_file = self.folder / "machines.toml"
        machine_file.write_text("\n".join(_toml_entry(entry) for entry in machines))
        arguments = ["emulator", "platform", "--listen", self.platform]
        self._launch("platform", [*arguments, "--machines", str(machine_file)])

    def _engine(
        self, number: int, zone: str, http: str, events: str, replay: str
    ) -> dict[str, str]:
        name = f"engine-{number}"
        arguments = ["emulator", "engine", "--listen", http, "--events", events]
        arguments += ["--replay", replay, "--model", self.plan["model"]]
        arguments += ["--cache-blocks", str(ENGINE_CACHE_BLOCKS)]
        arguments += ["--prefill-rate", str(ENGINE_PREFILL_RATE)]
        arguments += ["--event-loss", str(self.event_loss)]
        self.addresses[name] = http
        self._launch(name, arguments)
        return {
            "id": name,
            "kind": "engine",
            "pool": self.plan["engine_pool"],
            "zone": zone,
            "address": self.proxy_address(name, http),
            "events_address": events,
            "replay_address": replay,
        }

    def _application(self, number: int, zone: str, address: str) -> dict[str, str]:
        name = f"application-{number}"
        self.addresses[name] = address
        self._launch(name, ["emulator", "application", "--listen", address, "--name", name])
        return {
            "id": name,
            "kind": "application",
            "pool": self.plan["application_pool"],
            "zone": zone,
            "address": self.proxy_address(name, address),
        }

    def _start_routers(self) -> None:
        zones = self.plan["zones"]
        ports = free_ports(2 * len(zones))
        peers = [f"{HOST}:{port}" for port in ports[: len(zones)]]
        callers = [f"{HOST}:{port}" for port in ports[len(zones) :]]
        peer_key = secrets.token_hex(32)
        for number, zone in enumerate(zones):
            settings = self.folder / f"router-{zone}.toml"
            settings.write_text(self._settings(zone, callers[number], peers, number, peer_key))
            name = f"router-{zone}"
            arguments = ["router", "--settings", str(settings)]
            for key, value in self.overrides.items():
                arguments += ["--set", f"{key}={value}"]
            process = self._launch(name, arguments)
            handle = RouterHandle(zone, callers[number], peers[number], settings, process)
            self.routers.append(handle)

    def _settings(
        self, zone: str, callers: str, peers: list[str], number: int, peer_key: str
    ) -> str:
        keyset = json.loads(self.keyset_path.read_text())
        seeds = [peer for other, peer in enumerate(peers) if other != number]
        keys = "\n".join(f'"{name}" = "{key}"' for name, key in keyset["keys"].items())
        return f"""
[node]
id = "router-{zone}"
region = "{self.deployment}"
zone = "{zone}"

[listen]
callers = "{callers}"
peers = "{peers[number]}"

[peers]
seeds = {json.dumps(seeds)}
key = "{peer_key}"

[platform]
key_value = ["{self.platform}"]
machine_list = "{self.platform}"

[trust]
version = 1
threshold = {keyset["threshold"]}

[trust.keys]
{keys}
"""

    def _launch(self, name: str, arguments: list[str]) -> ManagedProcess:
        command = [sys.executable, "-m", "hillstack", *arguments]
        process = ManagedProcess(name, command, self.folder / f"{name}.log")
        process.start()
        self.processes[name] = process
        return process

    def _wait_platform(self) -> None:
        wait_until(
            lambda: get_json(self.platform, "/v1/machines") is not None, "platform", self.processes
        )


def get_json(address: str, path: str) -> Any:
    """Return the content of a JSON page, or None if it cannot be read."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as response:
            return json.loads(response.read())
    except (OSError, urllib.error.URLError, ValueError):
        return None


def post_json(address: str, path: str, content: object) -> Any:
    """Send JSON with POST and return the content of the JSON answer."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=json.dumps(content).encode(),
        headers={"content-type": "application/json"},
        method="POST",
    )
    with urllib.request.urlopen(request, timeout=10) as response:
        return json.loads(response.read())


def wait_until(
    condition: Any, condition_name: str, processes: dict[str, ManagedProcess] | None = None
) -> None:
    """Wait until a condition holds.

    Raises:
        FleetError: The condition did not hold within ``START_LIMIT_SECONDS``.
    """
    deadline = time.monotonic() + START_LIMIT_SECONDS
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(POLL_SECONDS)
    logs = "\n".join(f"{name}: {p.tail()[-400:]}" for name, p in (processes or {}).items())
    raise FleetError(f"timed out waiting for: {condition_name}\n{logs}")


def _toml_entry(entry: dict[str, str]) -> str:
    lines = "\n".join(f'{key} = "{value}"' for key, value in entry.items())
    return f"[[machines]]\n{lines}\n"
