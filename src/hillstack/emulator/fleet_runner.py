"""An emulated runner, for tests of a fleet's node.

The runner records the requests that it ran, signs its answers, streams events, accepts orders to
load weights and injects faults. The paths and headers of the protocol come from the platform
adapter.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass, field
from random import Random

import msgspec
from starlette.applications import Starlette
from starlette.datastructures import Headers, MutableHeaders
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
# Interval at which a runner that works checks whether its caller has disconnected.
DISCONNECT_CHECK_SECONDS = 0.02
MISDIRECTED = 421
SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class SoftwareFaults:
    """Faults of a version of a runner's software.

    The faults affect a request only if all three conditions hold: ``unaffected_runs``,
    ``min_running`` and ``path_prefix``.

    Attributes:
        fail_share: Share of the affected requests that fail.
        slow_seconds: Extra seconds until the answer to an affected request.
        unaffected_runs: Number of requests that the runner runs without faults first.
        min_running: Least number of requests running at the same time, including this one.
        path_prefix: Prefix of the request's path.
    """

    fail_share: float = 0.0
    slow_seconds: float = 0.0
    unaffected_runs: int = 0
    min_running: int = 0
    path_prefix: str = "/"


@dataclass(slots=True)
class RunnerFaults:
    """Faults and signals that tests inject.

    Attributes:
        hang: Run requests and never answer.
        status: HTTP status of the answers to requests that ran.
        break_after: Break each stream after this number of events; None for never.
        refuse_requests: Refuse requests and mark them as not run.
        backoff_seconds: Backoff that a refusal asks for; 0 for none.
        leaving: Report in all answers that the runner is leaving.
        limit: Limit in requests per second, over all nodes, that all answers report; None for no
            limit.
        rejections: Rejections in a second that the runner tolerates as a brittle runner, which lets
            no request wait; None if it is not brittle.
        refuse_weights_orders: Refuse orders to load weights, as a runner does while it carries out
            another.
        software: Faults of the runner's software.
    """

    hang: bool = False
    status: int = 200
    break_after: int | None = None
    refuse_requests: bool = False
    backoff_seconds: float = 0.0
    leaving: bool = False
    limit: float | None = None
    rejections: int | None = None
    refuse_weights_orders: bool = False
    software: SoftwareFaults = SoftwareFaults()


@dataclass(slots=True)
class FleetRunner:
    """The state and the request handlers of one runner.

    Attributes:
        model: Model that the runner serves; empty if it serves none.
        weights: Version of the weights in use.
        events: Number of events in a complete stream.
        arrived: Identifiers of the requests that reached the runner, in order, run or not.
        ran: Identifiers of the requests that the runner ran, in order.
        run_headers: Headers of the requests in ``ran``.
        left: Identifiers of the requests whose caller disconnected before the end.
        orders: Accepted orders to load weights.
        order_hosts: Host from which each of ``orders`` arrived.
        fence: Highest fencing token of an accepted order.
        software: Version of the runner's software; empty if the runner does not report it.
        work_seconds: Time in seconds from the start of a request to its answer.
        running: Number of requests that are running.
        born: Start time of the process in Unix milliseconds; 0 if the runner does not report it.
        call_times: Arrival time of each call, of requests and of others, on the monotonic clock.
        slots: Number of requests that a brittle runner works on at a time.
        rejected_at: Times of rejections for want of room, on the monotonic clock.
        on_fall: Called when the runner falls over because it has rejected too many requests.
        load_seconds: Duration of a load of weights; the runner serves the earlier ones meanwhile.
        preempts: Whether streams that continue during a load are preempted after it. Their prompts
            are then prefilled again with the new weights, under the salts of their requests.
        caches: Caches of the other runners, by address, from which requests may fetch.
        cache: Cache of prompt parts.
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
    run_headers: list[dict[str, str]] = field(default_factory=list)
    orders: list[OrderBody] = field(default_factory=list)
    order_hosts: list[str] = field(default_factory=list)
    fence: int = 0
    software: str = ""
    work_seconds: float = 0.0
    running: int = 0
    born: int = 0
    call_times: list[float] = field(default_factory=list)
    slots: int = 8
    rejected_at: list[float] = field(default_factory=list)
    on_fall: Callable[[], None] = lambda: None
    load_seconds: float = 0.0
    preempts: bool = False
    caches: Mapping[str, FleetCache] = field(default_factory=dict)
    cache: FleetCache = field(init=False)
    _load: asyncio.Task[None] | None = None
    # Salt, parts and usage of the running streams, by request.
    _prompts: dict[str, tuple[str, str, str]] = field(default_factory=dict)
    _rng: Random = field(default_factory=lambda: Random(1))

    def __post_init__(self) -> None:
        self.cache = FleetCache(self.model)

    def entry(self, address: str, state: str = "ready") -> bytes:
        """Return the runner's entry in the platform's directory of runners."""
        models = [ModelVersion(self.model, self.weights)] if self.model else []
        body = RunnerBody(
            self.service, address, self.zone, self.slots, state, models, self.software, self.born
        )
        return msgspec.json.encode(body)

    def restart(self, born: int) -> None:
        """Reset the state as a restart does; name and weights version stay the same."""
        if self._load is not None:
            self._load.cancel()
        self._load = None
        self._prompts.clear()
        self.born = born
        self.orders = []
        self.order_hosts = []
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

    def record_run(self, request_id: str, headers: dict[str, str]) -> None:
        """Record a request that starts to run."""
        self.ran.append(request_id)
        self.run_headers.append(headers)

    def record_end(self, request_id: str) -> None:
        """Do nothing; subclasses record when the runner stops to work on a request."""
        return

    def event_pause_seconds(self, request_id: str) -> float:
        """Return the pause between two events of a stream."""
        return EVENT_PAUSE_SECONDS

    def record_makers(self, request_id: str, makers: frozenset[int]) -> None:
        """Do nothing; subclasses record which weights made the cached parts of a request."""
        return

    def record_arrival(self, request_id: str) -> None:
        """Record a request that reached the runner, whether it runs or not."""
        self.arrived.append(request_id)

    def record_signals(self, request_id: str, signals: RunnerSignals) -> None:
        """Do nothing; subclasses record the signals that an answer carries."""
        return

    async def _report(self, request: Request) -> Response:
        if self._is_misdirected(request):
            return self._misdirected(request)
        models = [ModelVersion(self.model, self.weights)]
        body = ReportBody(models, busy=self._is_loading(), seq=len(self.orders), born=self.born)
        return Response(msgspec.json.encode(body), media_type="application/json")

    async def _order(self, request: Request) -> Response:
        if self._is_misdirected(request):
            return self._misdirected(request)
        order = msgspec.json.decode(await request.body(), type=OrderBody)
        if order.fence < self.fence:
            return Response(status_code=412)
        if self.faults.refuse_weights_orders or self._is_loading():
            return Response(status_code=409)
        if order.expected_count is not None and order.expected_count != len(self.orders):
            return Response(status_code=409)
        self.fence = order.fence
        self.orders.append(order)
        self.order_hosts.append(request.client.host if request.client is not None else "")
        if self.load_seconds:
            self._load = asyncio.create_task(self._load_later(order.version))
        else:
            self._finish_load(order.version)
        return Response(status_code=202)

    def _is_loading(self) -> bool:
        return self._load is not None and not self._load.done()

    async def _load_later(self, version: int) -> None:
        await asyncio.sleep(self.load_seconds)
        self._finish_load(version)

    def _finish_load(self, version: int) -> None:
        self.weights = version
        self.cache.drop_all()
        for salt, prompt_parts, usage in self._prompts.values() if self.preempts else ():
            self.cache.prefill(salt, prompt_parts, usage, version)

    async def _run(self, request: Request) -> Response:
        request_id = request.headers.get(names.REQUEST_ID, "")
        self.record_arrival(request_id)
        if self._is_misdirected(request):
            return self._misdirected(request)
        if self.faults.refuse_requests:
            headers = {names.NOT_EXECUTED: "1", names.REQUEST_ID: request_id}
            if self.faults.backoff_seconds:
                headers[names.RETRY_AFTER] = f"{self.faults.backoff_seconds:g}"
                self.record_signals(
                    request_id, RunnerSignals(backoff_seconds=self.faults.backoff_seconds)
                )
            return Response(status_code=503, headers=headers)
        if self._rejects():
            headers = {names.NOT_EXECUTED: "1", names.REQUEST_ID: request_id}
            return Response(status_code=503, headers=headers)
        self.record_run(request_id, dict(request.headers))
        body = await request.body()
        if self.faults.hang:
            await self._hang(request, request_id)
        self.running += 1
        try:
            failed = await self._work(request)
        finally:
            self.running -= 1
        headers = {names.REQUEST_ID: request_id, names.SIGNATURE: f"{self.runner_id}.{request_id}"}
        status = SERVER_ERROR if failed else self.faults.status
        if not self.model or status != 200:
            content = self.runner_id.encode() + b":" + body
            return Response(content, status_code=status, headers=headers)
        headers[names.VERSIONS] = str(self.weights)
        self._read_prompt(request_id, request.headers)
        after = int(request.headers.get(names.LAST_EVENT_ID, "0"))
        return StreamingResponse(
            self._stream(request_id, after), headers=headers, media_type="text/event-stream"
        )

    def _read_prompt(self, request_id: str, headers: Headers) -> None:
        """Fetch and prefill the prompt of a request that begins."""
        salt = headers.get(names.CACHE_SALT, "")
        prompt_parts = headers.get(names.PROMPT_PARTS, "")
        usage = headers.get(names.TOKEN_USAGE, "")
        source = self.caches.get(headers.get(names.FETCH_FROM, ""))
        if source is not None:
            self.cache.fetch(source, salt, prompt_parts, usage)
        self.record_makers(request_id, self.cache.makers(salt, prompt_parts, usage))
        self.cache.prefill(salt, prompt_parts, usage, self.weights)
        self._prompts[request_id] = (salt, prompt_parts, usage)

    def _rejects(self) -> bool:
        """Return whether the runner is brittle and full; too many rejections make it fall over."""
        tolerated = self.faults.rejections
        if tolerated is None or self.running < self.slots:
            return False
        now = time.monotonic()
        self.rejected_at.append(now)
        if sum(1 for at in self.rejected_at if at > now - 1.0) > tolerated:
            self.on_fall()
        return True

    async def _work(self, request: Request) -> bool:
        """Wait as long as a request takes; return whether a software fault makes it fail.

        The work ends when the caller disconnects.
        """
        faults = self.faults.software
        is_affected = len(self.ran) > faults.unaffected_runs and self.running >= faults.min_running
        is_affected = is_affected and request.url.path.startswith(faults.path_prefix)
        ends_at = time.monotonic() + self.work_seconds
        ends_at += faults.slow_seconds if is_affected else 0.0
        # An ASGI application is not notified of a disconnect; it has to ask.
        while (left := ends_at - time.monotonic()) > 0:
            if await request.is_disconnected():
                break
            await asyncio.sleep(min(left, DISCONNECT_CHECK_SECONDS))
        return is_affected and self._rng.random() < faults.fail_share

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
                    raise ConnectionAbortedError("injected fault: stream broken")
                yield f"id: {number}\ndata: {self.runner_id}\n\n".encode()
                sent += 1
                await asyncio.sleep(self.event_pause_seconds(request_id))
        except asyncio.CancelledError:
            self.left.append(request_id)
            raise
        finally:
            self._prompts.pop(request_id, None)

    def _is_misdirected(self, request: Request) -> bool:
        expected = request.headers.get(names.EXPECT_INSTANCE, self.runner_id)
        version = request.headers.get(names.EXPECT_VERSION, str(self.weights))
        return expected != self.runner_id or version != str(self.weights)

    def _misdirected(self, request: Request) -> Response:
        headers = {names.INSTANCE: self.runner_id, names.VERSIONS: str(self.weights)}
        request_id = request.headers.get(names.REQUEST_ID)
        if request_id is not None:
            headers[names.REQUEST_ID] = request_id
        return Response(status_code=MISDIRECTED, headers=headers)


class _SignalHeaders:
    """Middleware that adds the signals of the runner, leaving and limit, to each answer."""

    def __init__(self, app: ASGIApp, runner: FleetRunner) -> None:
        self._app = app
        self._runner = runner

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        async def send_with_headers(message: Message) -> None:
            if message["type"] == "http.response.start":
                self._add_signals(MutableHeaders(scope=message))
            await send(message)

        if scope["type"] == "http":
            self._runner.call_times.append(time.monotonic())
        try:
            await self._app(scope, receive, send_with_headers)
        finally:
            if scope["type"] == "http":
                self._runner.record_end(Headers(scope=scope).get(names.REQUEST_ID, ""))

    def _add_signals(self, headers: MutableHeaders) -> None:
        faults = self._runner.faults
        signals = RunnerSignals(
            leaving=faults.leaving, limit=faults.limit, rejections=faults.rejections
        )
        if not signals:
            return
        if faults.leaving:
            headers[names.LEAVING] = "1"
        if faults.limit is not None:
            headers[names.REQUEST_LIMIT] = f"{faults.limit:g}"
        if faults.rejections is not None:
            headers[names.BRITTLE] = str(faults.rejections)
        self._runner.record_signals(headers.get(names.REQUEST_ID, ""), signals)
