"""The simulated environment of a node: network, platform, back ends, peers and clocks."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from random import Random
from typing import Any

from hillstack.core.attempt import Attempt, AttemptState
from hillstack.core.cache_index import CacheIndex
from hillstack.core.fleet import LoadReport
from hillstack.core.store_revision import StoreRevision
from hillstack.daemon.key_value import Condition, Entry, Put
from hillstack.daemon.ports import Answer, BackendStatus, GossipHandler, RequestHandler
from hillstack.errors import (
    BackendBrokenError,
    BackendError,
    BackendRefusedError,
    PeerError,
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from hillstack.messages.types import Machine, Message
from hillstack.simulation.network import (
    ConnectionBroken,
    ConnectionRefused,
    SimNetwork,
    SimProcess,
)
from hillstack.simulation.services import HttpCall, HttpReply, SimEngine, SimPlatform, StreamCall

CONNECT_TIMEOUT_SECONDS = 1.0
SILENCE_TIMEOUT_SECONDS = 5.0
PLATFORM_TIMEOUT_SECONDS = 3.0
PAGE_TIMEOUT_SECONDS = 2.0
LOAD_SECONDS = 0.5


class SimContent:
    """The body of a simulated answer, received in chunks."""

    def __init__(self, peer: str) -> None:
        self._peer = peer
        self._chunks: asyncio.Queue[bytes | Exception | None] = asyncio.Queue()

    def put(self, chunk: bytes | Exception | None) -> None:
        """Add a chunk; None ends the body, an exception breaks it."""
        self._chunks.put_nowait(chunk)

    async def iter_any(self) -> AsyncIterator[bytes]:
        """Yield chunks as they arrive."""
        while True:
            try:
                async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                    chunk = await self._chunks.get()
            except TimeoutError as error:
                raise BackendBrokenError("silent", step="read", peer=self._peer) from error
            if chunk is None:
                return
            if isinstance(chunk, Exception):
                raise BackendBrokenError(repr(chunk), step="read", peer=self._peer)
            yield chunk

    async def read(self, n: int = -1) -> bytes:
        """Return the complete body."""
        return b"".join([chunk async for chunk in self.iter_any()])


class SimAnswer:
    """A simulated answer: status, headers and body."""

    def __init__(self, status: int, headers: Mapping[str, str], content: SimContent) -> None:
        self.status = status
        self.headers = headers
        self.content = content


class SimBackends:
    """Client for simulated back ends; advances attempts through the same states as over sockets."""

    def __init__(self, process: SimProcess, network: SimNetwork) -> None:
        self._process = process
        self._network = network

    @asynccontextmanager
    async def send(
        self,
        attempt: Attempt,
        method: str,
        url: str,
        body: bytes,
        headers: Mapping[str, str],
        *,
        single_use: bool = False,
        timeout: float | None = None,
    ) -> AsyncIterator[Answer]:
        """Send a request and yield its answer.

        Raises:
            BackendRefusedError: No connection could be opened.
            BackendBrokenError: The connection broke, or no data arrived in time.
        """
        address, _, path = url.removeprefix("http://").partition("/")
        attempt.advance(AttemptState.CONNECTING)
        target = await self._connect(address)
        attempt.advance(AttemptState.BYTES_MAY_HAVE_LEFT)
        call = HttpCall(method, f"/{path}", dict(headers), body)
        if path.startswith("v1/"):
            async with self._stream(target, call) as answer:
                yield answer
            return
        reply = await self._exchange(target, call, timeout or SILENCE_TIMEOUT_SECONDS)
        content = SimContent(address)
        content.put(reply.body)
        content.put(None)
        yield SimAnswer(reply.status, reply.headers, content)

    async def confirm_end(self, answer: Answer, address: str, incarnation: str) -> None:
        """Do nothing: each simulated answer ends explicitly, or breaks off."""

    async def fetch_status(self, address: str) -> BackendStatus:
        """Return a back end's status page.

        Raises:
            BackendError: The page could not be read.
        """
        status = await self._read_page(address, "status")
        assert isinstance(status, BackendStatus)
        return status

    async def fetch_load(self, address: str) -> LoadReport:
        """Return an engine's load page.

        Raises:
            BackendError: The page could not be read.
        """
        report = await self._read_page(address, "load")
        assert isinstance(report, LoadReport)
        return report

    async def order_weights_load(self, address: str, fence: int, weights_version: int) -> bool:
        """Order an engine to load weights; return whether it accepted the order.

        Raises:
            BackendError: The engine did not answer.
        """

        async def order(engine: SimEngine) -> bool:
            accepted = engine.accept_order(fence, weights_version)
            await asyncio.sleep(LOAD_SECONDS)
            return accepted

        try:
            async with asyncio.timeout(PAGE_TIMEOUT_SECONDS + LOAD_SECONDS):
                return bool(await self._network.call(self._process, address, order))
        except (TimeoutError, ConnectionRefused, ConnectionBroken) as error:
            raise BackendError(repr(error), step="order weights", peer=address) from error

    async def _stream_headers(self, target: SimProcess, call: HttpCall) -> dict[str, str]:
        """Return the headers that an engine sends before its stream."""

        async def ignores_resume(engine: SimEngine) -> bool:
            return engine.faults.ignore_resume

        try:
            engine_ignores_resume = await self._network.call(
                self._process, target.address, ignores_resume
            )
        except (ConnectionRefused, ConnectionBroken) as error:
            text = repr(error)
            raise BackendBrokenError(text, step="read answer", peer=target.address) from error
        return _resume_headers(bool(engine_ignores_resume), call)

    async def _read_page(self, address: str, name: str) -> Any:
        try:
            async with asyncio.timeout(PAGE_TIMEOUT_SECONDS):
                return await self._network.call(self._process, address, name)
        except (TimeoutError, ConnectionRefused, ConnectionBroken) as error:
            raise BackendError(repr(error), step=f"read {name}", peer=address) from error

    async def _connect(self, address: str) -> SimProcess:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                return await self._network.connect(self._process, address)
        except (TimeoutError, ConnectionRefused) as error:
            raise BackendRefusedError(repr(error), step="connect", peer=address) from error

    async def _exchange(self, target: SimProcess, call: HttpCall, timeout: float) -> HttpReply:
        try:
            async with asyncio.timeout(timeout):
                reply = await self._network.call(self._process, target.address, call)
        except (TimeoutError, ConnectionBroken, ConnectionRefused) as error:
            text = repr(error)
            raise BackendBrokenError(text, step="read answer", peer=target.address) from error
        assert isinstance(reply, HttpReply)
        return reply

    @asynccontextmanager
    async def _stream(self, target: SimProcess, call: HttpCall) -> AsyncIterator[Answer]:
        content = SimContent(target.address)
        closed = False
        # Deliveries may be reordered. Each takes the oldest chunk, so that chunks arrive in order,
        # as on a connection.
        chunks: list[bytes | Exception | None] = []

        def deliver() -> None:
            content.put(chunks.pop(0))

        def send(chunk: bytes | Exception | None) -> None:
            chunks.append(chunk)
            self._network.transmit(target, self._process, deliver)

        exchange = self._network.open_exchange(self._process, target)
        exchange.add_done_callback(lambda future: _break_content(future, content))
        stream = StreamCall(call, send, lambda: closed)

        def arrive() -> None:
            if target.on_call is not None:
                target.loop.create_task(_ignore_result(target.on_call(stream, "")))

        self._network.transmit(self._process, target, arrive)
        try:
            yield SimAnswer(200, await self._stream_headers(target, call), content)
        finally:
            closed = True
            target.exchanges.pop(exchange, None)
            exchange.cancel()


def _resume_headers(engine_ignores_resume: bool, call: HttpCall) -> dict[str, str]:
    resumed_from = call.headers.get("x-resume-from")
    if resumed_from is None or engine_ignores_resume:
        return {}
    return {"x-resumed-from": resumed_from}


class SimPeers:
    """Client for messages to other simulated nodes."""

    gossip_bytes_sent = 0

    def __init__(self, process: SimProcess, network: SimNetwork) -> None:
        self._process = process
        self._network = network

    def gossip(self, address: str, message: Message) -> None:
        """Send a datagram."""
        self._network.send_datagram(self._process, address, message)

    async def call(self, address: str, message: Message, timeout: float) -> Message:
        """Send a request and return its answer.

        Raises:
            PeerError: No answer in time.
        """
        step = type(message).__name__
        try:
            async with asyncio.timeout(timeout):
                answer: Message = await self._network.call(self._process, address, message)
        except (TimeoutError, ConnectionRefused, ConnectionBroken) as error:
            raise PeerError(repr(error), step=step, peer=address) from error
        return answer


class SimKeyValue:
    """Client of the simulated key-value service."""

    def __init__(self, process: SimProcess, network: SimNetwork, platform: SimPlatform) -> None:
        self._process = process
        self._network = network
        self._platform = platform
        self._era = 0

    @property
    def era(self) -> int:
        """Era of the store in the latest answer."""
        return self._era

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None."""

        def get(platform: SimPlatform) -> Entry | None:
            return platform.get(key)

        entry = await self._call(get)
        assert entry is None or isinstance(entry, Entry)
        return entry

    async def list_prefix(self, prefix: str, limit: int = 0) -> list[Entry]:
        """Not supported, because nodes do not call it."""
        raise NotImplementedError

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> StoreRevision | None:
        """Write all keys if all conditions hold."""

        def transact(platform: SimPlatform) -> StoreRevision | None:
            return platform.transact(list(conditions), list(puts))

        revision = await self._call(transact)
        assert revision is None or isinstance(revision, StoreRevision)
        return revision

    async def grant_lease(self, ttl_seconds: float) -> int:
        """Grant a lease and return its identifier."""
        return int(await self._call(lambda platform: platform.grant_lease(int(ttl_seconds))))

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; return False if it has expired."""
        return bool(await self._call(lambda platform: platform.keep_alive(lease_id)))

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease."""
        await self._call(lambda platform: platform.store.revoke(lease_id))

    async def watch(self, key: str) -> AsyncIterator[bytes]:
        """Yield new values of a key, by polling every 0.2 s."""
        last: bytes | None = None
        while True:
            await asyncio.sleep(0.2)
            entry = await self.get(key)
            if entry is not None and entry.value != last:
                last = entry.value
                yield entry.value

    async def _call(self, work: Callable[[SimPlatform], Any]) -> Any:
        address = self._platform.process.address
        try:
            async with asyncio.timeout(PLATFORM_TIMEOUT_SECONDS):
                answer = await self._network.call(self._process, address, work)
                self._era = self._platform.store.era
                return answer
        except ConnectionRefused as error:
            raise PlatformUnavailableError(repr(error), step="platform", peer=address) from error
        except (TimeoutError, ConnectionBroken) as error:
            raise PlatformOutcomeUnknownError(repr(error), step="platform", peer=address) from error


class SimCacheEvents:
    """Subscription to the cache events of simulated engines, delayed and with random loss."""

    def __init__(
        self,
        process: SimProcess,
        network: SimNetwork,
        index: CacheIndex,
        engines: Mapping[str, SimEngine],
        rng: Random,
        loss: float,
    ) -> None:
        self._process = process
        self._network = network
        self._index = index
        self._engines = engines
        self._rng = rng
        self._loss = loss

    async def follow(self, machine: Machine, incarnation: str) -> None:
        """Apply an engine's cache events to the index until cancelled."""
        engine = self._engines[machine.machine_id]

        def publish(event_incarnation: str, stored: list[int], removed: list[int]) -> None:
            if self._rng.random() >= self._loss:
                self._network.transmit(
                    engine.process,
                    self._process,
                    lambda: self._apply(machine.machine_id, event_incarnation, stored, removed),
                )

        engine.events.append(publish)
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            engine.events.remove(publish)

    def _apply(
        self, engine_id: str, incarnation: str, stored: list[int], removed: list[int]
    ) -> None:
        self._index.stored(engine_id, incarnation, stored)
        self._index.removed(engine_id, incarnation, removed)


class SimEnvironment:
    """The environment of one simulated node.

    Args:
        clock_skew: Offset of the node's wall clock in seconds.
    """

    def __init__(
        self,
        process: SimProcess,
        network: SimNetwork,
        platform: SimPlatform,
        cache_events: SimCacheEvents,
        rng: Random,
        clock_skew: float,
    ) -> None:
        self.rng = rng
        self.backends = SimBackends(process, network)
        self.key_value = SimKeyValue(process, network, platform)
        self.peers = SimPeers(process, network)
        self.cache_events = cache_events
        self._process = process
        self._network = network
        self._platform = platform
        self._clock_skew = clock_skew

    def clock(self) -> float:
        """Return the virtual time in seconds."""
        return self._process.loop.time()

    def wall_clock(self) -> float:
        """Return the Unix time in seconds, as this node's skewed clock shows it."""
        return EPOCH + self._process.loop.time() + self._clock_skew

    async def fetch_machines(self) -> list[Machine]:
        """Return the machine list.

        Raises:
            PlatformError: The list could not be read.
        """

        def list_machines(platform: SimPlatform) -> list[Machine]:
            return list(platform.machines.values())

        address = self._platform.process.address
        try:
            async with asyncio.timeout(PLATFORM_TIMEOUT_SECONDS):
                machines = await self._network.call(self._process, address, list_machines)
        except (TimeoutError, ConnectionRefused, ConnectionBroken) as error:
            raise PlatformError(repr(error), step="list machines", peer=address) from error
        return list(machines)

    async def listen(self, on_request: RequestHandler, on_gossip: GossipHandler) -> None:
        """Start to receive datagrams and requests from peers."""
        self._process.on_datagram = on_gossip
        self._process.on_call = on_request

    async def close(self) -> None:
        """Do nothing: there are no sockets to close."""


EPOCH = 1_800_000_000.0


def _break_content(future: asyncio.Future[Any], content: SimContent) -> None:
    if not future.cancelled() and future.exception() is not None:
        content.put(ConnectionResetError("engine died"))


async def _ignore_result(work: Any) -> None:
    await work
