"""Simulated platform, applications and engines."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from hillstack.core.fleet import LoadReport
from hillstack.core.prefix import block_hashes
from hillstack.core.store_revision import StoreRevision
from hillstack.daemon.key_value import Condition, Entry, Put
from hillstack.daemon.ports import BackendStatus
from hillstack.emulator.platform import KeyValueStore
from hillstack.errors import PlatformOutcomeUnknownError, PlatformUnavailableError
from hillstack.messages.types import Machine
from hillstack.simulation.history import Execute, History, Order, Reuse, Work
from hillstack.simulation.network import SimProcess

EXECUTION_SECONDS = 0.02
TOKEN_SECONDS = 0.02
PREFILL_SECONDS = 0.05
ENGINE_CACHE_BLOCKS = 64
BLOCK_TOKENS = 100
KEY_LENGTH = 12


@dataclass(frozen=True, slots=True)
class HttpCall:
    """A request to a simulated back end."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete answer of a simulated back end."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class PlatformFaults:
    """Faults of the platform.

    Attributes:
        outage: Every call fails.
        delay: Seconds by which each answer is delayed.
        lose_answers: Share of transactions whose answer is lost after they took effect.
    """

    outage: bool = False
    delay: float = 0.0
    lose_answers: float = 0.0


class SimPlatform:
    """The key-value service and the machine list."""

    def __init__(self, process: SimProcess, rng: Random) -> None:
        self.process = process
        self.faults = PlatformFaults()
        self.store = KeyValueStore()
        self.machines: dict[str, Machine] = {}
        self._rng = rng
        process.on_call = self._on_call

    async def _on_call(self, call: Any, address: str) -> Any:
        if self.faults.outage:
            raise PlatformUnavailableError("outage", step="platform")
        await asyncio.sleep(self.faults.delay)
        answer = call(self)
        if call.__name__ == "transact" and self._rng.random() < self.faults.lose_answers:
            raise PlatformOutcomeUnknownError("answer lost", step="platform")
        return answer

    def transact(self, conditions: list[Condition], puts: list[Put]) -> StoreRevision | None:
        """Write all keys if all conditions hold."""
        self.store.expire(self.process.loop.time())
        return self.store.transact(conditions, puts)

    def grant_lease(self, ttl: int) -> int:
        """Grant a lease and return its identifier."""
        return self.store.grant(float(ttl), self.process.loop.time()).lease_id

    def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; return False if it has expired."""
        now = self.process.loop.time()
        self.store.expire(now)
        lease = self.store.leases.get(lease_id)
        if lease is None:
            return False
        lease.expires_at = now + lease.ttl
        return True

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None."""
        self.store.expire(self.process.loop.time())
        return self.store.entry(key)


@dataclass(slots=True)
class ApplicationFaults:
    """Faults of an application.

    Attributes:
        lose_answers: Share of executed requests that are never answered.
        cross_answers: Share of answers that carry the identifier and content of another request.
        delay: Seconds between execution and answer.
    """

    lose_answers: float = 0.0
    cross_answers: float = 0.0
    delay: float = EXECUTION_SECONDS


class SimApplication:
    """An application that records each execution in the history."""

    def __init__(self, process: SimProcess, history: History, rng: Random) -> None:
        self.process = process
        self.faults = ApplicationFaults()
        self.draining = False
        self._history = history
        self._rng = rng
        self._previous = ("", "")
        process.on_call = self._on_call

    def status(self) -> BackendStatus:
        """Return the status page."""
        return BackendStatus(self.process.name, 0, self.draining)

    async def _on_call(self, call: Any, address: str) -> Any:
        if call == "status":
            return self.status()
        assert isinstance(call, HttpCall)
        now = self.process.loop.time()
        self._history.add(Work(now, self.process.name))
        key = call.headers.get("idempotency-key", "")
        attempt_id = call.headers["x-request-id"]
        if call.method == "POST":
            self._history.add(Execute(now, self.process.name, key))
        await asyncio.sleep(self.faults.delay)
        if self._rng.random() < self.faults.lose_answers:
            await asyncio.get_running_loop().create_future()
        echoed_id, echoed_key = attempt_id, key
        if self._previous[0] and self._rng.random() < self.faults.cross_answers:
            echoed_id, echoed_key = self._previous
        self._previous = (attempt_id, key)
        body = json.dumps({"key": echoed_key, "path": call.path}).encode()
        return HttpReply(200, {"x-request-id": echoed_id, "content-type": "application/json"}, body)


@dataclass(slots=True)
class EngineFaults:
    """Faults of an engine.

    Attributes:
        break_streams: Probability per token that the connection breaks.
        cross_streams: Probability per stream that its events carry another request's identifier.
        end_silently: Probability per token that the body ends normally but without ``[DONE]``.
        ignore_resume: Start each stream at the first token and send no ``X-Resumed-From``, even if
            the router asked for a later token.
    """

    break_streams: float = 0.0
    cross_streams: float = 0.0
    end_silently: float = 0.0
    ignore_resume: bool = False


@dataclass(slots=True)
class StreamCall:
    """A request for a streamed completion, with the channel for its answer.

    Attributes:
        send: Sends a chunk to the router; None ends the body, an exception breaks it.
        closed: Returns whether the router has closed the connection.
    """

    call: HttpCall
    send: Callable[[bytes | Exception | None], None]
    closed: Callable[[], bool]


@dataclass(slots=True)
class _CachedBlock:
    tenant: str
    incarnation: str


class SimEngine:
    """An engine that streams tokens and caches the blocks of prompts."""

    def __init__(
        self, process: SimProcess, history: History, rng: Random, incarnation: str
    ) -> None:
        self.process = process
        self.faults = EngineFaults()
        self.draining = False
        self.incarnation = incarnation
        self.weights_version = 1
        self.events: list[Callable[[str, list[int], list[int]], None]] = []
        self._fence = 0
        self._history = history
        self._rng = rng
        self._cache: dict[int, _CachedBlock] = {}
        self._running = 0
        process.on_call = self._on_call

    def accept_order(self, fence: int, weights_version: int) -> bool:
        """Accept an order to load weights, unless an order with a higher fence came before it."""
        accepted = fence >= self._fence
        now = self.process.loop.time()
        self._history.add(Order(now, self.process.name, fence, accepted))
        if accepted:
            self._fence = fence
            if weights_version != self.weights_version:
                self.weights_version = weights_version
                self._cache.clear()
        return accepted

    async def _on_call(self, call: Any, address: str) -> Any:
        if call == "status":
            return BackendStatus(self.incarnation, self.weights_version, self.draining)
        if call == "load":
            return LoadReport(self._running, 0, len(self._cache) / ENGINE_CACHE_BLOCKS, 0.0)
        if callable(call):
            return await call(self)
        assert isinstance(call, StreamCall)
        return await self._stream(call)

    async def _stream(self, stream: StreamCall) -> None:
        self._history.add(Work(self.process.loop.time(), self.process.name))
        content = json.loads(stream.call.body)
        self._reuse_and_store(content)
        attempt_id = stream.call.headers["x-request-id"]
        if self._rng.random() < self.faults.cross_streams:
            attempt_id = "crossed-1"
            content["prompt"] = "crossed".ljust(KEY_LENGTH, "!")
        position = int(stream.call.headers.get("x-resume-from", "0"))
        if self.faults.ignore_resume:
            position = 0
        self._running += 1
        try:
            await asyncio.sleep(PREFILL_SECONDS)
            await self._send_tokens(stream, attempt_id, position, content)
        finally:
            self._running -= 1

    async def _send_tokens(
        self, stream: StreamCall, attempt_id: str, position: int, content: dict[str, Any]
    ) -> None:
        faults = self.faults
        while position < content["max_tokens"] and not stream.closed():
            if self._rng.random() < faults.break_streams:
                stream.send(ConnectionResetError("engine broke the stream"))
                return
            if self._rng.random() < faults.end_silently:
                stream.send(None)
                return
            stream.send(_token_event(attempt_id, content["prompt"][-KEY_LENGTH:], position))
            position += 1
            await asyncio.sleep(TOKEN_SECONDS)
        stream.send(b"data: [DONE]\n\n")
        stream.send(None)

    def _reuse_and_store(self, content: dict[str, Any]) -> None:
        tenant = content["prompt"][-KEY_LENGTH]
        prompt = content["prompt"].encode()
        hashes = block_hashes(prompt, BLOCK_TOKENS, 1, content["cache_salt"])
        cached = []
        for block in hashes:
            if block not in self._cache:
                break
            cached.append(block)
        for block in cached:
            stored = self._cache[block]
            now = self.process.loop.time()
            self._history.add(
                Reuse(
                    now,
                    self.process.name,
                    self.incarnation,
                    stored.incarnation,
                    tenant,
                    stored.tenant,
                )
            )
        new = [block for block in hashes if block not in self._cache]
        for block in new:
            self._cache[block] = _CachedBlock(tenant, self.incarnation)
        removed = []
        while len(self._cache) > ENGINE_CACHE_BLOCKS:
            evicted = next(iter(self._cache))
            del self._cache[evicted]
            removed.append(evicted)
        for publish in self.events:
            publish(self.incarnation, new, removed)


def _token_event(attempt_id: str, key: str, position: int) -> bytes:
    content = {"id": f"cmpl-{attempt_id}", "choices": [{"text": f"{key}:{position}"}]}
    return b"data: " + json.dumps(content, separators=(",", ":")).encode() + b"\n\n"


@dataclass(slots=True)
class Services:
    """All simulated services, by address and by name."""

    platform: SimPlatform
    applications: dict[str, SimApplication] = field(default_factory=dict)
    engines: dict[str, SimEngine] = field(default_factory=dict)
