"""A node's surroundings in the simulation."""

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
    """The body of a simulated answer."""

    def __init__(self, peer: str) -> None:
        self._peer = peer
        self._pieces: asyncio.Queue[bytes | Exception | None] = asyncio.Queue()

    def put(self, piece: bytes | Exception | None) -> None:
        """Add a piece; None ends the body, an exception breaks it."""
        self._pieces.put_nowait(piece)

    async def iter_any(self) -> AsyncIterator[bytes]:
        """Yield pieces as they arrive."""
        while True:
            try:
                async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                    piece = await self._pieces.get()
            except TimeoutError as error:
                raise BackendBrokenError("silent", step="read", peer=self._peer) from error
            if piece is None:
                return
            if isinstance(piece, Exception):
                raise BackendBrokenError(repr(piece), step="read", peer=self._peer)
            yield piece

    async def read(self, n: int = -1) -> bytes:
        """Return the whole body."""
        return b"".join([piece async for piece in self.iter_any()])


class SimAnswer:
    """A simulated answer."""

    def __init__(self, status: int, headers: Mapping[str, str], content: SimContent) -> None:
        self.status = status
        self.headers = headers
        self.content = content


class SimBackends:
    """Requests to simulated back ends, with the same account of attempts as over sockets."""

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
            BackendRefusedError: No connection.
            BackendBrokenError: The connection broke or fell silent.
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
        reply = await self._whole(target, call, timeout or SILENCE_TIMEOUT_SECONDS)
        content = SimContent(address)
        content.put(reply.body)
        content.put(None)
        yield SimAnswer(reply.status, reply.headers, content)

    async def fetch_status(self, address: str) -> BackendStatus:
        """Return a back end's status page.

        Raises:
            BackendError: It could not be read.
        """
        status = await self._page(address, "status")
        assert isinstance(status, BackendStatus)
        return status

    async def fetch_load(self, address: str) -> LoadReport:
        """Return an engine's load page.

        Raises:
            BackendError: It could not be read.
        """
        report = await self._page(address, "load")
        assert isinstance(report, LoadReport)
        return report

    async def order_load(self, address: str, fence: int, weights_version: int) -> bool:
        """Order an engine to load weights.

        Raises:
            BackendError: The engine failed.
        """

        async def order(engine: SimEngine) -> bool:
            taken = engine.take_order(fence, weights_version)
            await asyncio.sleep(LOAD_SECONDS)
            return taken

        try:
            async with asyncio.timeout(PAGE_TIMEOUT_SECONDS + LOAD_SECONDS):
                return bool(await self._network.call(self._process, address, order))
        except (TimeoutError, ConnectionRefused, ConnectionBroken) as error:
            raise BackendError(repr(error), step="order weights", peer=address) from error

    async def _stream_headers(self, target: SimProcess, call: HttpCall) -> dict[str, str]:
        """Return the headers that an engine sends before its stream."""

        async def ignores(engine: SimEngine) -> bool:
            return engine.faults.ignore_resume

        try:
            engine_ignores = await self._network.call(self._process, target.address, ignores)
        except (ConnectionRefused, ConnectionBroken) as error:
            text = repr(error)
            raise BackendBrokenError(text, step="read answer", peer=target.address) from error
        return _resume_headers(bool(engine_ignores), call)

    async def _page(self, address: str, name: str) -> Any:
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

    async def _whole(self, target: SimProcess, call: HttpCall, timeout: float) -> HttpReply:
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
        # Pieces of one connection arrive in order, whichever delivery comes first.
        pieces: list[bytes | Exception | None] = []

        def deliver() -> None:
            content.put(pieces.pop(0))

        def send(piece: bytes | Exception | None) -> None:
            pieces.append(piece)
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


def _resume_headers(engine_ignores: bool, call: HttpCall) -> dict[str, str]:
    resumed_from = call.headers.get("x-resume-from")
    if resumed_from is None or engine_ignores:
        return {}
    return {"x-resumed-from": resumed_from}


class SimPeers:
    """Messages between simulated nodes."""

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
    """The key-value service as a simulated process sees it."""

    def __init__(self, process: SimProcess, network: SimNetwork, platform: SimPlatform) -> None:
        self._process = process
        self._network = network
        self._platform = platform
        self._era = 0

    @property
    def era(self) -> int:
        """The era of the latest answer."""
        return self._era

    async def get(self, key: str) -> Entry | None:
        """Return a key's entry."""

        def get(platform: SimPlatform) -> Entry | None:
            return platform.get(key)

        entry = await self._call(get)
        assert entry is None or isinstance(entry, Entry)
        return entry

    async def list_prefix(self, prefix: str, limit: int = 0) -> list[Entry]:
        """Not used by nodes."""
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
        """Make a lease."""
        return int(await self._call(lambda platform: platform.grant_lease(int(ttl_seconds))))

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease."""
        return bool(await self._call(lambda platform: platform.keep_alive(lease_id)))

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease."""
        await self._call(lambda platform: platform.store.revoke(lease_id))

    async def watch(self, key: str) -> AsyncIterator[bytes]:
        """Yield new values, by asking often: simulated watches are no faster."""
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
    """Cache events of simulated engines: late, and lost now and then."""

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
        """Feed an engine's events into the index until cancelled."""
        engine = self._engines[machine.machine_id]

        def publish(of_incarnation: str, stored: list[int], removed: list[int]) -> None:
            if self._rng.random() >= self._loss:
                self._network.transmit(
                    engine.process,
                    self._process,
                    lambda: self._apply(machine.machine_id, of_incarnation, stored, removed),
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


class SimSurroundings:
    """All that a simulated node needs.

    Args:
        clock_skew: Difference of its wall clock, in seconds.
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
        """Return virtual seconds."""
        return self._process.loop.time()

    def wall_clock(self) -> float:
        """Return seconds since the simulation's epoch, with this node's skew."""
        return EPOCH + self._process.loop.time() + self._clock_skew

    async def fetch_machines(self) -> list[Machine]:
        """Return the machine list.

        Raises:
            PlatformError: It could not be read.
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
        """Begin to receive messages."""
        self._process.on_datagram = on_gossip
        self._process.on_call = on_request

    async def close(self) -> None:
        """Nothing is open."""


EPOCH = 1_800_000_000.0


def _break_content(future: asyncio.Future[Any], content: SimContent) -> None:
    if not future.cancelled() and future.exception() is not None:
        content.put(ConnectionResetError("engine died"))


async def _ignore_result(work: Any) -> None:
    await work
