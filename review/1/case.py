"""Shows a request that runs on KV cache that was made under other weights than its own."""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
import os
import random
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.engine import Engine  # noqa: E402
from common.nodes import Node, start_node, stop_nodes, wait_ready  # noqa: E402
from common.platform import Record, serve_app, serve_store  # noqa: E402

from hillstack.emulator.fleet_store import FleetStore  # noqa: E402

MODEL = "model-1"
SERVICE = "lm-pool"
CALL_HOST = "lm.example"
KEY = "key-1"
ZONES = ("zone-1", "zone-2", "zone-3")
# A small engine: as many tokens of memory for each slot as in the larger deployments.
RUNNERS = 7
SLOTS = 32
CAPACITY = 52_500
DEADLINE_MS = 15_000
# A report that a client reviews, and the client's own text beside it.
SHARED_TOKENS = (16_000, 9_000)
OWN_TOKENS = 250
# Half of the answers are about as long as the client estimates, the others far longer.
HINT = 80
SHORT_OUTPUT = 60
LONG_OUTPUT = 1_200
# An urgent request brings a long text of its own and displaces a review where memory is short.
URGENT_TOKENS = 28_000
URGENT_OUTPUT = 40
URGENT_AFTER_SECONDS = 0.8
# Each round: new reports are reviewed, weights are named, and each report gets more questions.
ROUNDS = 10
ROUND_SECONDS = 9.0
NAMED_AFTER_SECONDS = 1.5
QUESTIONS_AFTER_SECONDS = (2.4, 2.9, 3.4)
SPACING_SECONDS = 0.06


@dataclass(frozen=True)
class Prompt:
    """A prompt by its parts with their tokens, and the length of its answer."""

    parts: list[tuple[str, int]]
    output: int


class Case:
    """The deployment, its clients and its operator.

    Args:
        folder: Where the nodes' settings and logs lie.
        has_trouble: Whether new weights are named.
    """

    def __init__(self, folder: Path, has_trouble: bool) -> None:
        self._folder = folder
        self._has_trouble = has_trouble
        self._store = FleetStore()
        self._record = Record(FOLDER / "record.txt")
        self._engines: list[Engine] = []
        self._nodes: list[Node] = []
        self._numbers = itertools.count()
        self._rng = random.Random(1)
        self._ends: dict[str, int] = {}
        self._sent: set[asyncio.Task[None]] = set()

    async def run(self) -> int:
        """Play the case; return the exit code."""
        store = await serve_store(self._store)
        self._configure()
        self._name_weights(1)
        servers, work = [], []
        for number in range(RUNNERS):
            engine = Engine(f"i-{number}", MODEL, 1, SLOTS, CAPACITY, self._record.note)
            server, address = await serve_app(engine.app())
            Engine.by_address[address] = engine
            servers.append(server)
            work.append(asyncio.create_task(engine.work()))
            self._list(engine, address, ZONES[number % len(ZONES)])
            self._engines.append(engine)
        try:
            for number, zone in enumerate(ZONES):
                self._nodes.append(start_node(self._folder, f"node-{number}", zone, store))
            async with aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1000 + 1),
            ) as session:
                await wait_ready(session, self._nodes)
                await self._play(session)
        finally:
            stop_nodes(self._nodes)
            for task in work:
                task.cancel()
            for server in servers:
                await server.cleanup()
        return self._judge()

    async def _play(self, session: aiohttp.ClientSession) -> None:
        for number in range(ROUNDS):
            ends_at = time.monotonic() + ROUND_SECONDS
            await self._play_round(session, number)
            await asyncio.sleep(ends_at - time.monotonic())
        if self._sent:
            await asyncio.wait(self._sent, timeout=5.0)

    async def _play_round(self, session: aiohttp.ClientSession, number: int) -> None:
        reports = [f"{number:02x}{report:02x}" for report in range(RUNNERS)]
        for report in reports:
            self._start(session, "/review/", self._review(report, LONG_OUTPUT))
            await asyncio.sleep(SPACING_SECONDS)
        await asyncio.sleep(NAMED_AFTER_SECONDS - RUNNERS * SPACING_SECONDS)
        named_at = time.monotonic()
        if self._has_trouble:
            self._name_weights(number + 2)
        await asyncio.sleep(named_at + URGENT_AFTER_SECONDS - time.monotonic())
        for _ in range(RUNNERS):
            self._send_urgent(session)
            await asyncio.sleep(SPACING_SECONDS / 2)
        for after in QUESTIONS_AFTER_SECONDS:
            await asyncio.sleep(named_at + after - time.monotonic())
            for report in reports:
                self._start(session, "/review/", self._review(report, SHORT_OUTPUT))
                await asyncio.sleep(SPACING_SECONDS)

    def _send_urgent(self, session: aiohttp.ClientSession) -> None:
        own = f"aa{next(self._numbers):06x}"
        self._start(session, "/ask/", Prompt([(own, URGENT_TOKENS)], URGENT_OUTPUT))

    def _review(self, report: str, output: int) -> Prompt:
        parts = [(f"{report}{place}", tokens) for place, tokens in enumerate(SHARED_TOKENS)]
        own = f"ff{next(self._numbers):06x}"
        return Prompt([*parts, (own, OWN_TOKENS)], output)

    def _start(self, session: aiohttp.ClientSession, path: str, prompt: Prompt) -> None:
        task = asyncio.create_task(self._send(session, path, prompt))
        self._sent.add(task)
        task.add_done_callback(self._sent.discard)

    async def _send(self, session: aiohttp.ClientSession, path: str, prompt: Prompt) -> None:
        request_id = f"{next(self._numbers):016x}"
        node = self._rng.choice(self._nodes)
        tokens = sum(tokens for _, tokens in prompt.parts)
        headers = {
            "Host": CALL_HOST,
            "Request-Id": request_id,
            "X-Api-Key": KEY,
            "Deadline-Ms": str(DEADLINE_MS),
            "Model": MODEL,
            "Token-Usage": f"{tokens},{LONG_OUTPUT}",
            "Length-Hint": str(min(HINT, prompt.output)),
            "Prompt-Prefix": ",".join(f"{part}:{size}" for part, size in prompt.parts),
        }
        fields: dict[str, object] = {"request": request_id, "path": path, "node": node.name}
        self._record.note("sent", {**fields, "parts": headers["Prompt-Prefix"]})
        try:
            async with session.post(
                f"http://{node.callers}{path}", headers=headers, json={"output": prompt.output}
            ) as answer:
                await answer.read()
                end = str(answer.status)
        except (aiohttp.ClientError, TimeoutError) as error:
            end = type(error).__name__
        self._ends[end] = self._ends.get(end, 0) + 1
        self._record.note("answered", {"request": request_id, "end": end})

    def _configure(self) -> None:
        route = {
            "name": "review",
            "host": CALL_HOST,
            "path_prefix": "/review/",
            "kind": "streaming",
            "timeout_ms": DEADLINE_MS,
            "target_ms": 800,
            "gap_target_ms": 500,
            "attempts": 1,
            "priority": 1,
            "sticky": True,
            "service": SERVICE,
        }
        ask = {**route, "name": "ask", "path_prefix": "/ask/", "priority": 0}
        engine = {
            "slots": SLOTS,
            "kv_capacity_tokens": CAPACITY,
            "kv_token_bytes": 163_840.0,
            "link_mbps": 1_100_000.0,
            "models": [{"name": MODEL}],
        }
        body = {
            "version": 1,
            "routes": [route, ask],
            "services": [{"name": SERVICE, "max_conns": 360, "engine": engine}],
            "limits": {"max_body_bytes": 4_194_304, "idle_timeout_ms": 15_000},
            "tenants": [{"name": "tenant-1", "api_keys": [KEY]}],
        }
        self._store.put("op/config", json.dumps(body).encode())

    def _name_weights(self, version: int) -> None:
        body = {"model": MODEL, "version": version}
        self._store.put(f"op/version/{MODEL}", json.dumps(body).encode())
        self._record.note("named", {"version": version})

    def _list(self, engine: Engine, address: str, zone: str) -> None:
        def write() -> None:
            entry = {
                "service": SERVICE,
                "address": address,
                "zone": zone,
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": engine.sequence,
                "stage": "colocated",
                "models": [{"name": MODEL, "version": engine.version, "adapters": []}],
            }
            self._store.put(f"servers/{engine.name}", json.dumps(entry).encode())

        engine.on_version = write
        write()

    def _judge(self) -> int:
        stale = [found for engine in self._engines for found in engine.stale]
        preempted = sum(engine.preempted for engine in self._engines)
        self._record.note("ends", dict(self._ends))
        self._record.note("total", {"stale": len(stale), "preempted": preempted})
        self._record.close()
        print(f"ends {self._ends}; preempted {preempted}; requests on other weights' cache:")
        print(f"{len(stale)} parts in {len({found['request'] for found in stale})} requests")
        if not self._ends.get("200"):
            return 2
        return 1 if stale else 0


def main() -> int:
    """Play the case in a temporary folder."""
    logging.disable(logging.CRITICAL)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(Case(Path(folder), has_trouble).run())
        except (OSError, TimeoutError) as error:
            print(f"the case couldn't run: {error}")
            return 2


if __name__ == "__main__":
    sys.exit(main())
