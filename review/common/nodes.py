"""Starts nodes as processes with the command of the deploy file, on loopback addresses."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from hillstack.emulator.free_ports import free_ports

REPOSITORY = Path(__file__).resolve().parents[2]
# The run line of the role in deploy/system.toml.
COMMAND = ["python3", "-m", "hillstack.daemon.fleet_main"]
READY_SECONDS = 20.0

# The bounds of a small deployment, by the names of deploy/node.toml.template.
BOUNDS = {
    "fail_closed": "true",
    "revoke_ms": "5000",
    "contact_ms": "3000",
    "lease_ms": "3000",
    "version_ms": "8000",
    "config_apply_ms": "2000",
    "drain_ms": "2000",
    "retry_ratio": "0.2",
    "retry_slack": "54",
    "retry_window_seconds": "10",
    "grace_seconds": "8",
}


@dataclass
class Node:
    """A node that runs as a process."""

    name: str
    callers: str
    readiness: str
    process: subprocess.Popen[bytes]
    log: Path


def settings_text(name: str, zone: str, store: str, ports: list[int], host: str) -> str:
    """Return the settings of a node, laid out as deploy/node.toml.template lays them out."""
    callers, readiness, peers, metrics = ports
    bounds = "\n".join(f"{key} = {value}" for key, value in BOUNDS.items())
    return f"""[node]
id = "{name}"
zone = "{zone}"
region = "region-1"
address = "{host}"
link_megabits = 1000.0
descriptors = 4100

[listen]
callers = "{host}:{callers}"
readiness = "{host}:{readiness}"
peers_port = {peers}
metrics_port = {metrics}

[store]
address = "{store}"

[bounds]
{bounds}

[zones]
zone-1 = "region-1"
zone-2 = "region-1"
zone-3 = "region-1"
"""


def start_node(folder: Path, name: str, zone: str, store: str, host: str = "127.0.0.1") -> Node:
    """Start a node with settings of its own in a folder."""
    ports = list(free_ports(4))
    settings = folder / f"{name}.toml"
    settings.write_text(settings_text(name, zone, store, ports, host))
    return launch(folder, name, settings, f"{host}:{ports[0]}", f"{host}:{ports[1]}")


def launch(folder: Path, name: str, settings: Path, callers: str, readiness: str) -> Node:
    """Start the process of a node whose settings exist."""
    log = folder / f"{name}.log"
    environment = {
        "PATH": os.environ["PATH"],
        "HOME": os.environ.get("HOME", "/"),
        "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
        "HILLSTACK_CONFIG": str(settings),
    }
    with log.open("ab") as output:
        process = subprocess.Popen(
            COMMAND, cwd=REPOSITORY, env=environment, stdout=output, stderr=output
        )
    return Node(name, callers, readiness, process, log)


async def wait_ready(session: aiohttp.ClientSession, nodes: list[Node]) -> None:
    """Wait until all nodes call themselves ready.

    Raises:
        TimeoutError: A node is not ready in time.
    """
    deadline = time.monotonic() + READY_SECONDS
    for node in nodes:
        while True:
            try:
                async with session.get(f"http://{node.readiness}/readyz") as answer:
                    if answer.status == 200:
                        break
            except aiohttp.ClientError:
                pass
            if time.monotonic() > deadline:
                raise TimeoutError(f"{node.name} is not ready")
            await asyncio.sleep(0.05)


def stop_nodes(nodes: list[Node]) -> None:
    """End the processes of all nodes."""
    for node in nodes:
        if node.process.poll() is None:
            node.process.send_signal(signal.SIGCONT)
            node.process.kill()
        node.process.wait()
