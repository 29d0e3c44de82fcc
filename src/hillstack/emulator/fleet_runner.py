"""A small stand-in of a runner, for tests of a fleet's node.

It records what it ran, answers with a signature, streams events, takes orders for weights, and
plays faults. The names of the protocol come from the adapter.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from random import Random

import msgspec
from starlette.applications import Starlette
from starlette.datastructures import MutableHeaders
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from hillstack.core.runner_signals import RunnerSignals
from hillstack.emulator.fleet_cache import FleetCache
from hillstack.platform import names
from hillstack.platform.bodies import ModelVersion, OrderBody, ReportBody, RunnerBody

EVENT_PAUSE_SECONDS = 0.02
MISDIRECTED = 421
SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class SoftwareFaults:
    """What is wrong with a version of a runner's software.

    Attributes:
        fail_share: Part of the requests that it answers with a failure.
        slow_seconds: How much later it answers the others.
        from_run: It shows from so many requests on.
        busy_from: It shows while so many requests run there, this one included.
        path_prefix: It shows on requests below this path.
    """

    fail_share: float = 0.0
    slow_seconds: float = 0.0
    from_run: int = 0
    busy_from: int = 0
    path_prefix: str = "/"


@dataclass(slots=True)
class RunnerFaults:
    """Faults that tests switch on.

    Attributes:
        hang: Run requests and never answer.
        status: Status of its answers.
        break_after: Break a stream off after so many events; None for never.
        shed: Refuse requests as not run.
        backoff_seconds: Backoff that it asks for when it refuses a request; 0 for none.
        leaving: Say in all answers that it leaves.
        limit: Name in all answers how many requests a second it takes from all nodes; None for no
            limit.
        keep_weights: Take no order for weights, as while another one is carried out.
        software: What is wrong with its software.
    """

    hang: bool = False
    status: int = 200
    break_after: int | None = None
    shed: bool = False
    backoff_seconds: float = 0.0
    leaving: bool = False
    limit: float | None = None
    keep_weights: bool = False
    software: SoftwareFaults = SoftwareFaults()


@dataclass(slots=True)
class FleetRunner:
    """One runner.

    Attributes:
        arrived: Identifiers of the requests that reached it, in order, run or not.
        ran: Identifiers of the requests that it ran, in order.
        cache: What it keeps of prompts.
        left: Identifiers of the requests whose caller left before the end.
        software: Version of its software; empty if it does not say.
        work_seconds: How long it works on a request before it answers.
        running: Requests that it works on.
        born: When its process started, in Unix milliseconds; 0 if it does not say.
        called_at: When each call reached it, a request or any other, on the monotonic clock.
    """

    runner_id: str
    service: str
    zone: str = "zone-a"
    model: str = ""
    weights: int = 1
    events: int = 5
    faults: RunnerFaults = field(default_factory=RunnerFaults)
    arrived: list[str] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    left: list[str] = field(default_factory=list)
    seen_headers: list[dict[str, str]] = field(default_factory=list)
    orders: list[OrderBody] = field(default_factory=list)
    fence: int = 0
    software: str = ""
    work_seconds: float = 0.0
    running: int = 0
    born: int = 0
    called_at: list[float] = field(default_factory=list)
    cache: FleetCache = field(init=False)
    _rng: Random = field(default_factory=lambda: Random(1))

    def __post_init__(self) -> None:
        self.cache = FleetCache(self.model)

    def entry(self, address: str, state: str = "ready") -> bytes:
        """Return its entry in the directory."""
        models = [ModelVersion(self.model, self.weights)] if self.model else []
        body = RunnerBody(
            self.service, address, self.zone, 8, state, models, self.software, self.born
        )
        return msgspec.json.encode(body)

    def restart(self, born: int) -> None:
        """Start again under the same name: only the weights are those of the process before."""
        self.born = born
        self.orders = []
        self.fence = 0
        self.cache.restart()
        self.cache.born = born

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route(names.REPORT_PATH, self._report),
                Route(names.ORDER_PATH, self._order, methods=["POST"]),
                *self.cache.routes(),
                Route("/{path:path}", self._run, methods=["GET", "POST"]),
            ],
            middleware=[Middleware(_SignalHeaders, runner=self)],
        )

    def note_run(self, request_id: str, headers: dict[str, str]) -> None:
        """Note a request that begins to run."""
        self.ran.append(request_id)
        self.seen_headers.append(headers)

    def note_arrival(self, request_id: str) -> None:
        """Note a request that has reached it, whether it runs or not."""
        self.arrived.append(request_id)

    def note_signals(self, request_id: str, signals: RunnerSignals) -> None:
        """Note what it says of itself in the answer to a request."""
        return

    async def _report(self, request: Request) -> Response:
        if self._is_misdirected(request):
            return self._misdirected()
        models = [ModelVersion(self.model, self.weights)]
        body = ReportBody(models, busy=False, seq=len(self.orders), born=self.born)
        return Response(msgspec.json.encode(body), media_type="application/json")

    async def _order(self, request: Request) -> Response:
        if self._is_misdirected(request):
            return self._misdirected()
        order = msgspec.json.decode(await request.body(), type=OrderBody)
        if order.fence < self.fence:
            return Response(status_code=412)
        if self.faults.keep_weights:
            return Response(status_code=409)
        if order.expected_count is not None and order.expected_count != len(self.orders):
            return Response(status_code=409)
        self.fence = order.fence
        self.orders.append(order)
        self.weights = order.version
        return Response(status_code=202)

    async def _run(self, request: Request) -> Response:
        request_id = request.headers.get(names.REQUEST_ID, "")
        self.note_arrival(request_id)
        if self._is_misdirected(request):
            return self._misdirected()
        if self.faults.shed:
            headers = {names.NOT_EXECUTED: "1", names.REQUEST_ID: request_id}
            if self.faults.backoff_seconds:
                headers[names.RETRY_AFTER] = f"{self.faults.backoff_seconds:g}"
                self.note_signals(
                    request_id, RunnerSignals(backoff_seconds=self.faults.backoff_seconds)
                )
            return Response(status_code=503, headers=headers)
        self.note_run(request_id, dict(request.headers))
        body = await request.body()
        if self.faults.hang:
            await self._hang(request, request_id)
        self.running += 1
        try:
            failed = await self._work(request.url.path)
        finally:
            self.running -= 1
        headers = {names.REQUEST_ID: request_id, names.SIGNATURE: f"{self.runner_id}.{request_id}"}
        status = SERVER_ERROR if failed else self.faults.status
        if not self.model or status != 200:
            content = self.runner_id.encode() + b":" + body
            return Response(content, status_code=status, headers=headers)
        headers[names.VERSIONS] = str(self.weights)
        self.cache.read(
            request.headers.get(names.CACHE_SALT, ""),
            request.headers.get(names.PROMPT_PARTS, ""),
            request.headers.get(names.TOKEN_USAGE, ""),
        )
        after = int(request.headers.get(names.LAST_EVENT_ID, "0"))
        return StreamingResponse(
            self._stream(request_id, after), headers=headers, media_type="text/event-stream"
        )

    async def _work(self, path: str) -> bool:
        """Take the time that a request takes; return whether it fails by the software's fault."""
        faults = self.faults.software
        shows = len(self.ran) > faults.from_run and self.running >= faults.busy_from
        shows = shows and path.startswith(faults.path_prefix)
        await asyncio.sleep(self.work_seconds + (faults.slow_seconds if shows else 0.0))
        return shows and self._rng.random() < faults.fail_share

    async def _hang(self, request: Request, request_id: str) -> None:
        try:
            while (await request.receive())["type"] != "http.disconnect":
                pass
        finally:
            self.left.append(request_id)

    async def _stream(self, request_id: str, after: int) -> AsyncIterator[bytes]:
        sent = 0
        try:
            for number in range(after + 1, self.events + 1):
                if self.faults.break_after is not None and sent >= self.faults.break_after:
                    raise ConnectionAbortedError("fault: broken off")
                yield f"id: {number}\ndata: {self.runner_id}\n\n".encode()
                sent += 1
                await asyncio.sleep(EVENT_PAUSE_SECONDS)
        except asyncio.CancelledError:
            self.left.append(request_id)
            raise

    def _is_misdirected(self, request: Request) -> bool:
        expected = request.headers.get(names.EXPECT_INSTANCE, self.runner_id)
        version = request.headers.get(names.EXPECT_VERSION, str(self.weights))
        return expected != self.runner_id or version != str(self.weights)

    def _misdirected(self) -> Response:
        headers = {names.INSTANCE: self.runner_id, names.VERSIONS: str(self.weights)}
        return Response(status_code=MISDIRECTED, headers=headers)


class _SignalHeaders:
    """Adds to each answer that its runner leaves, or its limit, while it does or has one."""

    def __init__(self, app: ASGIApp, runner: FleetRunner) -> None:
        self._app = app
        self._runner = runner

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        async def send_with_headers(message: Message) -> None:
            if message["type"] == "http.response.start":
                self._add_signals(MutableHeaders(scope=message))
            await send(message)

        if scope["type"] == "http":
            self._runner.called_at.append(time.monotonic())
        await self._app(scope, receive, send_with_headers)

    def _add_signals(self, headers: MutableHeaders) -> None:
        faults = self._runner.faults
        signals = RunnerSignals(leaving=faults.leaving, limit=faults.limit)
        if not signals:
            return
        if faults.leaving:
            headers[names.LEAVING] = "1"
        if faults.limit is not None:
            headers[names.REQUEST_LIMIT] = f"{faults.limit:g}"
        self._runner.note_signals(headers.get(names.REQUEST_ID, ""), signals)
