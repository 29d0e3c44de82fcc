"""A small deployment: the platform's store, runners of one service, and nodes as processes."""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
import os
import random
import tempfile
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from common.engine import Engine
from common.nodes import Node, launch, start_node, stop_nodes, wait_ready
from common.platform import Record, serve_app, serve_store
from hillstack.emulator.fleet_store import FleetStore

MODEL = "model-1"
SERVICE = "lm-pool"
CALL_HOST = "lm.example"
KEY = "key-1"
ZONES = ("zone-1", "zone-2", "zone-3")
# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


@dataclass(frozen=True)
class EngineSize:
    """How many runners there are, and the slots and the memory in tokens of each."""

    runners: int
    slots: int
    capacity: int


@dataclass(frozen=True)
class RouteTerms:
    """What the configuration says of a route."""

    name: str
    priority: int
    attempts: int
    resumable: bool
    timeout_ms: int


@dataclass(frozen=True)
class Prompt:
    """A prompt by its parts with their tokens, the most tokens of its answer, and the real number.

    Attributes:
        hint: The client's estimate of the tokens of the answer; None without one.
    """

    parts: list[tuple[str, int]]
    most: int
    output: int
    hint: int | None = None


class Deployment:
    """The stand-ins, the nodes and the clients of a case.

    Args:
        folder: Where the nodes' settings and logs lie.
        record_path: Where the record is written.
        size: The runners.
        routes: The routes; each leads to the one service.
    """

    def __init__(
        self, folder: Path, record_path: Path, size: EngineSize, routes: list[RouteTerms]
    ) -> None:
        self.record = Record(record_path)
        self.store = FleetStore()
        self.engines: list[Engine] = []
        self.nodes: dict[str, Node] = {}
        self.ends: dict[str, int] = {}
        self.rng = random.Random(1)
        self.numbers = itertools.count()
        self.sent: set[asyncio.Task[None]] = set()
        self._folder = folder
        self._size = size
        self._routes = {route.name: route for route in routes}
        self._servers: list[web.AppRunner] = []
        self._work: list[asyncio.Task[None]] = []

    async def start(self, session: aiohttp.ClientSession) -> None:
        """Start everything, and wait until the nodes are ready."""
        address = await serve_store(self.store)
        self._configure()
        self.name_weights(1)
        for number in range(self._size.runners):
            await self._start_engine(f"i-{number}", ZONES[number % len(ZONES)])
        for number, zone in enumerate(ZONES):
            name = f"node-{number}"
            self.nodes[name] = start_node(self._folder, name, zone, address)
        await wait_ready(session, list(self.nodes.values()))

    async def stop(self) -> None:
        """End the processes that were started, and the stand-ins."""
        stop_nodes(list(self.nodes.values()))
        for task in self._work:
            task.cancel()
        for server in self._servers:
            await server.cleanup()

    def kill(self, name: str) -> None:
        """Kill the process of a node."""
        self.nodes[name].process.kill()
        self.nodes[name].process.wait()
        self.record.note("killed", {"node": name})

    def start_again(self, name: str) -> None:
        """Start a node again with its settings."""
        node = self.nodes[name]
        settings = self._folder / f"{name}.toml"
        self.nodes[name] = launch(self._folder, name, settings, node.callers, node.readiness)

    def name_weights(self, version: int) -> None:
        """Name weights, as the operator does."""
        body = {"model": MODEL, "version": version}
        self.store.put(f"op/version/{MODEL}", json.dumps(body).encode())
        self.record.note("named", {"version": version})

    def send(self, session: aiohttp.ClientSession, route: str, prompt: Prompt) -> None:
        """Send a request to a node that is drawn, without waiting for its answer."""
        task = asyncio.create_task(self._send(session, self._routes[route], prompt))
        self.sent.add(task)
        task.add_done_callback(self.sent.discard)

    async def _send(
        self, session: aiohttp.ClientSession, route: RouteTerms, prompt: Prompt
    ) -> None:
        request_id = f"{next(self.numbers):016x}"
        node = self.rng.choice(list(self.nodes.values()))
        tokens = sum(tokens for _, tokens in prompt.parts)
        headers = {
            "Host": CALL_HOST,
            "Request-Id": request_id,
            "X-Api-Key": KEY,
            "Deadline-Ms": str(route.timeout_ms),
            "Model": MODEL,
            "Token-Usage": f"{tokens},{prompt.most}",
            "Prompt-Prefix": ",".join(f"{part}:{size}" for part, size in prompt.parts),
        }
        if prompt.hint is not None:
            headers["Length-Hint"] = str(prompt.hint)
        fields: dict[str, object] = {"request": request_id, "route": route.name}
        fields |= {"node": node.name, "parts": headers["Prompt-Prefix"]}
        self.record.note("sent", fields)
        url = f"http://{node.callers}/{route.name}/"
        body = {"output": prompt.output}
        try:
            async with session.post(url, headers=headers, json=body) as answer:
                await answer.read()
                end = str(answer.status)
        except (aiohttp.ClientError, TimeoutError) as error:
            end = type(error).__name__
        self.ends[end] = self.ends.get(end, 0) + 1
        self.record.note("answered", {"request": request_id, "end": end})

    async def _start_engine(self, name: str, zone: str) -> None:
        engine = Engine(name, MODEL, 1, self._size.slots, self._size.capacity, self.record.note)
        server, address = await serve_app(engine.app())
        Engine.by_address[address] = engine
        self._servers.append(server)
        self._work.append(asyncio.create_task(engine.work()))
        engine.on_version = lambda: self._list(engine, address, zone)
        self._list(engine, address, zone)
        self.engines.append(engine)

    def _list(self, engine: Engine, address: str, zone: str) -> None:
        entry = {
            "service": SERVICE,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": self._size.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": engine.sequence,
            "stage": "colocated",
            "models": [{"name": MODEL, "version": engine.version, "adapters": []}],
        }
        self.store.put(f"servers/{engine.name}", json.dumps(entry).encode())

    def _configure(self) -> None:
        engine = {
            "slots": self._size.slots,
            "kv_capacity_tokens": self._size.capacity,
            "kv_token_bytes": 163_840.0,
            "link_mbps": 1_100_000.0,
            "models": [{"name": MODEL}],
        }
        body = {
            "version": 1,
            "routes": [_route_body(route) for route in self._routes.values()],
            "services": [{"name": SERVICE, "max_conns": 360, "engine": engine}],
            "limits": {"max_body_bytes": 4_194_304, "idle_timeout_ms": 15_000},
            "tenants": [{"name": "tenant-1", "api_keys": [KEY]}],
        }
        self.store.put("op/config", json.dumps(body).encode())


def _route_body(route: RouteTerms) -> dict[str, Any]:
    return {
        "name": route.name,
        "host": CALL_HOST,
        "path_prefix": f"/{route.name}/",
        "kind": "streaming",
        "timeout_ms": route.timeout_ms,
        "target_ms": 800,
        "gap_target_ms": 500,
        "attempts": route.attempts,
        "priority": route.priority,
        "sticky": True,
        "resumable": route.resumable,
        "service": SERVICE,
    }


Play = Callable[[Path, bool], Coroutine[Any, Any, int]]


def run_case(play: Play) -> int:
    """Play a case in a temporary folder; return its exit code.

    Args:
        play: Plays the case, given the folder and whether there is a disruption.
    """
    logging.disable(logging.CRITICAL)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(play(Path(folder), has_trouble))
        except (OSError, TimeoutError) as error:
            print(f"the case couldn't run: {error}")
            return NOT_RUN
