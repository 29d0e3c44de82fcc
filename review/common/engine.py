"""A model runner as the users' pages describe it, with its memory, its batch and its weights.

Memory is shared by running requests and kept parts; the least recently used kept part gives way.
If memory runs out, the newest request among the least urgent is preempted and read anew. An order
in the mode ``retain`` drops what the runner kept and lets running requests go on under the new
weights. Each part in memory is marked with the weights that made it, which no message reveals.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import ClassVar

from aiohttp import web

STEP_SECONDS = 0.0119
TOKENS_PER_STEP = 2
PREFILL_TOKENS_PER_SECOND = 50_700.0
EVENT_TOKENS = 16
LOAD_SECONDS = 0.57
EVENT_LAG_SECONDS = 0.08
REPORT_LAG_SECONDS = 0.2
FETCH_SECONDS = 0.002
QUEUE = 48
DEFAULT_PRIORITY = 5

PartKey = tuple[str, str]


@dataclass
class Part:
    """A part in the memory of a runner.

    Attributes:
        made_by: Version of the weights that made the part.
        users: Number of running requests that use it.
        is_read: Whether it is read to its end, so that others can take it.
    """

    tokens: int
    made_by: int
    is_read: bool = True
    users: int = 0
    used_at: float = 0.0


@dataclass
class Run:
    """A request at a runner.

    Attributes:
        begun_on: Version of the weights at the first token; None before.
        emitted: Number of events handed out.
    """

    request_id: str
    salt: str
    parts: list[tuple[str, int]]
    output: int
    priority: int
    deadline: float
    fetch_from: str
    number: int
    generated: int = 0
    held: list[PartKey] = field(default_factory=list)
    own: set[PartKey] = field(default_factory=set)
    reads_until: float | None = None
    begun_on: int | None = None
    emitted: int = 0
    events: asyncio.Queue[bytes | None] = field(default_factory=asyncio.Queue)
    refused: bool = False
    ended: bool = False


Recorder = Callable[[str, dict[str, object]], None]


class Engine:
    """One runner.

    Args:
        name: The runner's identifier.
        model: The model that it serves.
        version: Version of its weights at its start.
        slots: How many requests it runs at once.
        capacity: Its memory in tokens.
        record: Receives what was run.
    """

    # All runners by address, for moves of memory from one to another.
    by_address: ClassVar[dict[str, Engine]] = {}

    def __init__(
        self, name: str, model: str, version: int, slots: int, capacity: int, record: Recorder
    ) -> None:
        self.name = name
        self.model = model
        self.version = version
        self.slots = slots
        self.capacity = capacity
        self.record = record
        self.sequence = 0
        self.fence = 0
        self.preempted = 0
        self.stale: list[dict[str, object]] = []
        self.on_version: Callable[[], None] = lambda: None
        self._parts: dict[PartKey, Part] = {}
        self._changes: list[tuple[float, list[object]]] = []
        self._waiting: list[Run] = []
        self._running: list[Run] = []
        self._numbers = itertools.count()
        self._load_until: float | None = None
        self._load_version = 0
        self._prefill_free_at = 0.0
        self._reported: list[tuple[float, dict[str, object]]] = []

    def app(self) -> web.Application:
        """Return the HTTP application of the runner."""
        app = web.Application(client_max_size=8_000_000)
        app.router.add_get("/report", self._report)
        app.router.add_post("/order", self._order)
        app.router.add_get("/kv-events", self._kv_events)
        app.router.add_get("/kv-list", self._kv_list)
        app.router.add_get("/healthz", self._health)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    async def work(self) -> None:
        """Run the batch step by step until cancelled."""
        while True:
            await asyncio.sleep(STEP_SECONDS)
            now = time.monotonic()
            self._note_report(now)
            if self._load_until is not None:
                if now < self._load_until:
                    continue
                self._finish_load()
            self._expire(now)
            self._admit(now)
            self._step(now)

    def taken(self) -> int:
        """Return the memory in use, in tokens."""
        return sum(part.tokens for part in self._parts.values()) + sum(
            run.generated for run in self._running
        )

    def kept(self, salt: str, part_id: str) -> Part | None:
        """Return a part that another runner may take from here."""
        part = self._parts.get((salt, part_id))
        return part if part is not None and part.is_read else None

    def _finish_load(self) -> None:
        self._load_until = None
        self.version = self._load_version
        for key in [key for key, part in self._parts.items() if not part.users]:
            self._drop(key)
        self.record("loaded", {"runner": self.name, "version": self.version})
        self.on_version()

    def _expire(self, now: float) -> None:
        for run in [run for run in (*self._waiting, *self._running) if now >= run.deadline]:
            self._end(run)

    def _admit(self, now: float) -> None:
        self._waiting.sort(key=lambda run: (run.priority, run.number))
        while self._waiting and len(self._running) < self.slots:
            run = self._waiting[0]
            missing = sum(
                tokens for part_id, tokens in run.parts if (run.salt, part_id) not in self._parts
            )
            if not self._make_room(missing + run.generated, keep=run):
                if max((other.priority for other in self._running), default=0) <= run.priority:
                    return
                self._preempt()
                continue
            self._waiting.pop(0)
            self._running.append(run)
            self._read(run, now)

    def _read(self, run: Run, now: float) -> None:
        """Take what is kept, here and at the named runner, and read the rest of the prompt."""
        source = Engine.by_address.get(run.fetch_from)
        missing = run.generated
        use_kept, use_fetched = True, source is not None
        for part_id, tokens in run.parts:
            key = run.salt, part_id
            part = self._parts.get(key) if use_kept else None
            if part is None:
                use_kept = False
                fetched = source.kept(*key) if source is not None and use_fetched else None
                if fetched is not None:
                    self._add(key, Part(tokens, fetched.made_by))
                    self._record_fetch(run, part_id, fetched)
                else:
                    use_fetched = False
                    missing += tokens
                    run.own.add(key)
                    self._parts[key] = Part(tokens, self.version, is_read=False)
                    if run.begun_on is not None and run.begun_on != self.version:
                        self._record_reading(run, part_id)
            self._parts[key].users += 1
            self._parts[key].used_at = now
            run.held.append(key)
        begins = max(now + FETCH_SECONDS, self._prefill_free_at)
        self._prefill_free_at = begins + missing / PREFILL_TOKENS_PER_SECOND
        run.reads_until = self._prefill_free_at

    def _record_reading(self, run: Run, part_id: str) -> None:
        fields: dict[str, object] = {"request": run.request_id, "part": part_id}
        self.record("read anew", {**fields, "runner": self.name, "version": self.version})

    def _record_fetch(self, run: Run, part_id: str, fetched: Part) -> None:
        fields: dict[str, object] = {"request": run.request_id, "runner": self.name}
        fields |= {"from": run.fetch_from, "salt": run.salt, "part": part_id}
        self.record("fetched", {**fields, "made_by": fetched.made_by})

    def _step(self, now: float) -> None:
        for run in list(self._running):
            if run.reads_until is not None:
                if now < run.reads_until:
                    continue
                self._end_reading(run)
                self._begin(run)
            run.generated += TOKENS_PER_STEP
            if run.generated >= run.output:
                self._emit(run)
                run.events.put_nowait(None)
                self._end(run)
            elif run.generated // EVENT_TOKENS > run.emitted:
                self._emit(run)
        while not self._make_room(0):
            self._preempt()

    def _end_reading(self, run: Run) -> None:
        run.reads_until = None
        for key in run.own:
            part = self._parts[key]
            if not part.is_read:
                part.is_read = True
                self._note("+", key, part.tokens)

    def _begin(self, run: Run) -> None:
        if run.begun_on is not None:
            return
        run.begun_on = self.version
        fields: dict[str, object] = {
            "request": run.request_id,
            "runner": self.name,
            "version": self.version,
            "salt": run.salt,
        }
        self.record("begins", fields)
        for key in run.held:
            made_by = self._parts[key].made_by
            if made_by != self.version:
                found = {**fields, "part": key[1], "made_by": made_by, "from": run.fetch_from}
                self.stale.append(found)
                self.record("STALE", found)

    def _emit(self, run: Run) -> None:
        run.emitted += 1
        run.events.put_nowait(f"id: {run.emitted}\ndata: {self.name}\n\n".encode())

    def _preempt(self) -> None:
        run = max(self._running, key=lambda run: (run.priority, run.number))
        self._running.remove(run)
        self._release(run, drop=True)
        run.reads_until = None
        self._waiting.append(run)
        self.preempted += 1
        fields: dict[str, object] = {"request": run.request_id, "runner": self.name}
        self.record("preempted", fields)

    def _end(self, run: Run) -> None:
        if run.ended:
            return
        run.ended = True
        if run in self._running:
            self._running.remove(run)
            self._release(run, drop=False)
        elif run in self._waiting:
            self._waiting.remove(run)

    def _release(self, run: Run, *, drop: bool) -> None:
        for key in run.held:
            part = self._parts[key]
            part.users -= 1
            if not part.users and (drop or not part.is_read):
                self._drop(key)
        run.held.clear()
        run.own.clear()

    def _make_room(self, tokens: int, keep: Run | None = None) -> bool:
        """Evict kept parts until there is room; return whether there is."""
        wanted = {(keep.salt, part_id) for part_id, _ in keep.parts} if keep is not None else set()
        free = [key for key, part in self._parts.items() if not part.users and key not in wanted]
        free.sort(key=lambda key: self._parts[key].used_at)
        while self.taken() + tokens > self.capacity:
            if not free:
                return False
            self._drop(free.pop(0))
        return True

    def _add(self, key: PartKey, part: Part) -> None:
        self._parts[key] = part
        self._note("+", key, part.tokens)

    def _drop(self, key: PartKey) -> None:
        if self._parts.pop(key).is_read:
            self._note("-", key, 0)

    def _note(self, sign: str, key: PartKey, tokens: int) -> None:
        event: list[object] = [len(self._changes) + 1, sign, key[0], key[1], tokens, self.model]
        self._changes.append((time.monotonic(), event))

    def _note_report(self, now: float) -> None:
        state: dict[str, object] = {
            "stage": "colocated",
            "models": [{"name": self.model, "version": self.version, "adapters": []}],
            "busy": self._load_until is not None,
            "seq": self.sequence,
            "queued": len(self._waiting),
            "running": len(self._running),
            "kv_used": sum(p.tokens for p in self._parts.values() if p.users),
            "kv_total": self.capacity,
            "handles": 0,
        }
        self._reported.append((now, state))
        while len(self._reported) > 1 and self._reported[1][0] <= now - REPORT_LAG_SECONDS:
            self._reported.pop(0)

    def _misdirected(self, request: web.Request) -> web.Response | None:
        expected = request.headers.get("Expect-Instance", self.name)
        if expected == self.name:
            return None
        return web.Response(status=421, headers={"Instance-Id": self.name})

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(headers={"Instance-Id": self.name})

    async def _report(self, request: web.Request) -> web.Response:
        self._note_report(time.monotonic())
        return self._misdirected(request) or web.json_response(self._reported[0][1])

    async def _order(self, request: web.Request) -> web.Response:
        misdirected = self._misdirected(request)
        if misdirected is not None:
            return misdirected
        body = json.loads(await request.read())
        if not body.get("holder") or "fence" not in body or body.get("op") != "version":
            return web.Response(status=400)
        if body["fence"] < self.fence:
            return web.Response(status=412)
        expected = body.get("expected_count")
        if self._load_until is not None or expected not in (None, self.sequence):
            return web.Response(status=409)
        if self.version >= body["version"]:
            return web.Response(status=200)
        self.fence = body["fence"]
        self.sequence += 1
        self._load_version = body["version"]
        self._load_until = time.monotonic() + LOAD_SECONDS
        fields = {"runner": self.name, "holder": body["holder"], "version": body["version"]}
        self.record("order", {**fields, "mode": body["mode"], "fence": body["fence"]})
        for run in [r for r in (*self._waiting, *self._running) if r.begun_on is None]:
            run.refused = True
            run.events.put_nowait(None)
            self._end(run)
        return web.Response(status=202)

    async def _kv_events(self, request: web.Request) -> web.Response:
        since = int(request.query["since"])
        until = time.monotonic() + float(request.headers.get("Wait-Ms", "0")) / 1000
        while True:
            now = time.monotonic()
            seen = [event for at, event in self._changes[since:] if at <= now - EVENT_LAG_SECONDS]
            if seen or now >= until:
                body = {"epoch": 1, "next_token": since + len(seen), "lost": False, "events": seen}
                return web.json_response(body)
            await asyncio.sleep(0.02)

    async def _kv_list(self, request: web.Request) -> web.Response:
        read = [(key, part) for key, part in self._parts.items() if part.is_read]
        held = [[*key, part.tokens, self.model] for key, part in read]
        return web.json_response({"epoch": 1, "next_token": len(self._changes), "held": held})

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        headers = {"Request-Id": request.headers.get("Request-Id", "")}
        misdirected = self._misdirected(request)
        if misdirected is not None:
            return misdirected
        headers["Weight-Versions"] = str(self.version)
        wanted = request.headers.get("Expect-Version", str(self.version))
        if wanted != str(self.version) and self._load_until is None:
            return web.Response(status=421, headers={**headers, "Instance-Id": self.name})
        if self._load_until is not None or len(self._waiting) >= QUEUE:
            return web.Response(status=503, headers={**headers, "Not-Executed": "1"})
        run = self._make_run(request, body)
        self._waiting.append(run)
        try:
            return await self._answer(request, run, headers)
        finally:
            self._end(run)

    def _make_run(self, request: web.Request, body: bytes) -> Run:
        fields = request.headers.get("Prompt-Prefix", "").split(",")
        parts = [(name, int(tokens)) for name, _, tokens in (f.partition(":") for f in fields)]
        seen = int(request.headers.get("Last-Event-Id", "0"))
        return Run(
            request.headers["Request-Id"],
            request.headers.get("Cache-Salt", ""),
            parts,
            json.loads(body)["output"],
            int(request.headers.get("Request-Priority", DEFAULT_PRIORITY)),
            time.monotonic() + float(request.headers["Deadline-Ms"]) / 1000,
            request.headers.get("Kv-Fetch", ""),
            next(self._numbers),
            generated=seen * EVENT_TOKENS,
            emitted=seen,
        )

    async def _answer(
        self, request: web.Request, run: Run, headers: dict[str, str]
    ) -> web.StreamResponse:
        first = await self._next(run)
        headers["Weight-Versions"] = str(self.version)
        if first is None:
            if run.refused:
                return web.Response(status=503, headers={**headers, "Not-Executed": "1"})
            return web.Response(status=504, headers={**headers, "Server-Seal": self.name})
        headers |= {"Server-Seal": self.name, "Content-Type": "text/event-stream"}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        piece: bytes | None = first
        while piece is not None:
            await response.write(piece)
            piece = await self._next(run)
        if run.generated < run.output and request.transport is not None:
            request.transport.abort()
            return response
        await response.write_eof()
        return response

    async def _next(self, run: Run) -> bytes | None:
        """Return the next event; None at the end, or once the deadline has passed."""
        left = max(0.0, run.deadline - time.monotonic())
        try:
            async with asyncio.timeout(left + 0.05):
                return await run.events.get()
        except TimeoutError:
            return None
