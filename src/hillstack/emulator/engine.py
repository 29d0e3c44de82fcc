"""An emulated engine: vLLM's OpenAI-compatible API over the engine model, in real time.

The emulator extends vLLM's published interface by operations that no standard covers:

- ``X-Resume-From: n`` on a completion: the first ``n`` tokens are skipped, and the answer carries
  ``X-Resumed-From: n``.
- ``GET /status``: incarnation, model, weights version, whether the engine is draining.
- ``POST /orders/load``: ``{"fence", "weights_version"}`` orders the engine to load weights. The
  engine refuses an order with a lower fence than one accepted before with 409.
- ``POST /kv/export`` and ``POST /kv/import``: ``{"hashes": [...]}``.
- ``POST /emulator/faults``: sets faults, for tests.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
import uuid
from collections import Counter, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass
from random import Random

from pydantic import BaseModel, ConfigDict, ValidationError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from hillstack.core.prefix import block_hashes
from hillstack.core.prompt import ByteTokenizer
from hillstack.emulator.cache_events import (
    CacheEventPublisher,
    cleared_event,
    removed_event,
    stored_event,
)
from hillstack.emulator.completion import CompletionBody, CompletionResponse, CompletionStream
from hillstack.simulation.engine_model import EngineModel, EngineProfile, EngineRequest, StepResult

IMPORT_SECONDS_PER_BLOCK = 0.01
LOAD_SECONDS = 1.0
LOAD_LAG_HISTORY = 256


class Faults(BaseModel):
    """Faults that tests inject.

    Attributes:
        crash_after_tokens: Break each stream after this number of tokens; 0 for never.
        cross_answers: Answer with the identifier of another request.
        refuse: Answer 503 to completions.
        draining: Report draining on the status page and answer 503 to completions.
        event_loss: Share of cache event batches that are not published.
        event_delay: Seconds by which cache events are delayed.
    """

    model_config = ConfigDict(extra="forbid")

    crash_after_tokens: int = 0
    cross_answers: bool = False
    refuse: bool = False
    draining: bool = False
    event_loss: float = 0.0
    event_delay: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Settings of an emulated engine.

    Attributes:
        load_lag: Age in seconds of the load that ``/metrics`` reports.
    """

    model: str
    address: str
    events_address: str
    replay_address: str
    profile: EngineProfile
    weights_version: int = 1
    adapters: tuple[str, ...] = ()
    load_lag: float = 0.2
    event_delay: float = 0.05
    event_loss: float = 0.0
    seed: int = 0


class EmulatedEngine:
    """The state and the request handlers of one engine process."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.incarnation = uuid.uuid4().hex
        self.weights_version = options.weights_version
        self.faults = Faults(event_loss=options.event_loss, event_delay=options.event_delay)
        self.model = EngineModel(options.profile)
        self._publisher: CacheEventPublisher | None = None
        self._streams: dict[str, CompletionStream] = {}
        self._work_available = asyncio.Event()
        self._fence = 0
        self._load_history: deque[tuple[float, str]] = deque(maxlen=LOAD_LAG_HISTORY)
        self.executions: list[dict[str, object]] = []
        self._prefills: Counter[int] = Counter()
        self._emitted = 0

    def app(self) -> Starlette:
        """Return the HTTP application."""
        routes = [
            Route("/v1/completions", self._completion, methods=["POST"]),
            Route("/v1/chat/completions", self._completion, methods=["POST"]),
            Route("/v1/models", self._models),
            Route("/health", self._health),
            Route("/status", self._status),
            Route("/metrics", self._metrics),
            Route("/orders/load", self._order_load, methods=["POST"]),
            Route("/kv/export", self._kv_export, methods=["POST"]),
            Route("/kv/import", self._kv_import, methods=["POST"]),
            Route("/emulator/faults", self._set_faults, methods=["POST"]),
            Route("/emulator/executions", self._executions),
            Route("/emulator/prefills", self._list_prefills),
            Route("/emulator/emitted", self._count_emitted),
        ]
        return Starlette(routes=routes, lifespan=self._lifespan)

    @contextlib.asynccontextmanager
    async def _lifespan(self, app: Starlette) -> AsyncIterator[None]:
        options = self.options
        self._publisher = CacheEventPublisher(
            options.events_address,
            options.replay_address,
            options.event_delay,
            options.event_loss,
            Random(options.seed),
        )
        tasks = [
            asyncio.create_task(self._publisher.run()),
            asyncio.create_task(self._run_steps()),
            asyncio.create_task(self._record_load()),
        ]
        yield
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_steps(self) -> None:
        due = time.monotonic()
        while True:
            if self.model.is_idle():
                self._work_available.clear()
                await self._work_available.wait()
                due = time.monotonic()
            result = self.model.step()
            due = max(due + result.seconds, time.monotonic() - result.seconds)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self._deliver(result)

    def _deliver(self, result: StepResult) -> None:
        for request in result.emitted:
            stream = self._streams.get(request.request_id)
            if stream is not None:
                stream.tokens.put_nowait(request.emitted - 1)
        self._prefills.update(result.prefilled)
        self._emitted += len(result.emitted)
        events = []
        if result.stored:
            events.append(stored_event(result.stored, None, self.options.profile.block_tokens))
        if result.removed:
            events.append(removed_event(result.removed))
        self._publish(events)

    def _publish(self, events: list[list[object]]) -> None:
        if self._publisher is not None:
            self._publisher.publish(events)

    async def _record_load(self) -> None:
        while True:
            page = self._load_page()
            self._load_history.append((time.monotonic(), page))
            await asyncio.sleep(0.05)

    def _load_page(self) -> str:
        label = f'{{model_name="{self.options.model}"}}'
        model = self.model
        lines = [
            f"vllm:num_requests_running{label} {model.running}",
            f"vllm:num_requests_waiting{label} {model.waiting}",
            f"vllm:kv_cache_usage_perc{label} {model.cache.usage():.4f}",
            f"emulator:waiting_prompt_tokens{label} {model.waiting_tokens()}",
        ]
        return "\n".join(lines) + "\n"

    async def _metrics(self, request: Request) -> Response:
        due = time.monotonic() - self.options.load_lag
        page = self._load_page() if not self._load_history else self._load_history[0][1]
        for recorded_at, recorded in self._load_history:
            if recorded_at > due:
                break
            page = recorded
        return PlainTextResponse(page)

    async def _models(self, request: Request) -> Response:
        entry = {"id": self.options.model, "object": "model", "owned_by": "emulator"}
        return JSONResponse({"object": "list", "data": [entry]})

    async def _health(self, request: Request) -> Response:
        return Response(status_code=200)

    async def _status(self, request: Request) -> Response:
        return JSONResponse(
            {
                "incarnation": self.incarnation,
                "model": self.options.model,
                "weights_version": self.weights_version,
                "draining": self.faults.draining,
            }
        )

    async def _order_load(self, request: Request) -> Response:
        order = await request.json()
        fence = int(order["fence"])
        if fence < self._fence:
            return _error(409, f"fence {fence} is below {self._fence}")
        self._fence = fence
        await asyncio.sleep(LOAD_SECONDS)
        if int(order["weights_version"]) != self.weights_version:
            self.weights_version = int(order["weights_version"])
            self.model.clear_cache()
            self._publish([cleared_event()])
        return JSONResponse({"weights_version": self.weights_version})

    async def _kv_export(self, request: Request) -> Response:
        body = await request.json()
        present = [block for block in body["hashes"] if block in self.model.cache]
        return JSONResponse({"hashes": present, "weights_version": self.weights_version})

    async def _kv_import(self, request: Request) -> Response:
        body = await request.json()
        hashes = tuple(int(block) for block in body["hashes"])
        await asyncio.sleep(IMPORT_SECONDS_PER_BLOCK * len(hashes))
        stored, removed = self.model.import_blocks(hashes)
        events = [stored_event(stored, None, self.options.profile.block_tokens)] if stored else []
        if removed:
            events.append(removed_event(removed))
        self._publish(events)
        return JSONResponse({"stored": len(stored)})

    async def _set_faults(self, request: Request) -> Response:
        try:
            self.faults = Faults.model_validate_json(await request.body())
        except ValidationError as error:
            return _error(400, str(error))
        if self._publisher is not None:
            self._publisher.loss = self.faults.event_loss
            self._publisher.delay = self.faults.event_delay
        return JSONResponse(self.faults.model_dump())

    async def _executions(self, request: Request) -> Response:
        return JSONResponse(self.executions)

    async def _list_prefills(self, request: Request) -> Response:
        return JSONResponse(list(self._prefills.items()))

    async def _count_emitted(self, request: Request) -> Response:
        return JSONResponse(self._emitted)

    async def _completion(self, request: Request) -> Response:
        if self.faults.refuse or self.faults.draining:
            return _error(503, "not taking work")
        try:
            body = CompletionBody.model_validate_json(await request.body())
        except ValidationError as error:
            return _error(400, str(error))
        if body.model not in (self.options.model, *self.options.adapters):
            return _error(404, f"no model {body.model!r}")
        return CompletionResponse(self, request, body)

    def submit(self, prompt: str, body: CompletionBody, resume_from: int) -> CompletionStream:
        """Queue a completion and return the stream of its token positions."""
        tokenizer = ByteTokenizer()
        tokens = tokenizer.encode(prompt)
        profile = self.options.profile
        hashes = block_hashes(tokens, profile.block_tokens, tokenizer.width, body.cache_salt)
        limit = body.max_completion_tokens or body.max_tokens or 16
        engine_request = EngineRequest(
            request_id=uuid.uuid4().hex,
            hashes=tuple(hashes),
            prompt_tokens=max(1, len(tokens)),
            output_tokens=limit,
            priority=body.priority,
            emitted=resume_from,
        )
        stream = CompletionStream(engine_request)
        self._streams[engine_request.request_id] = stream
        self.model.submit(engine_request)
        self._work_available.set()
        return stream

    def close(self, stream: CompletionStream) -> None:
        """Remove a stream, and cancel its request if it still runs."""
        self._streams.pop(stream.request.request_id, None)
        self.model.cancel(stream.request.request_id)


def _error(status: int, message: str) -> JSONResponse:
    return JSONResponse({"error": {"message": message, "type": "emulator"}}, status_code=status)
