"""Interfaces between a router node and the outside: clocks, randomness, network and services.

The daemon implements them over sockets and the system's clocks, the simulation over virtual time
and a simulated network. The node's code is the same in both.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from random import Random
from typing import Protocol

from hillstack.core.attempt import Attempt
from hillstack.core.fleet import LoadReport
from hillstack.core.store_revision import StoreRevision
from hillstack.daemon.key_value import Condition, Entry, Put
from hillstack.messages.types import Machine, Message

RequestHandler = Callable[[Message, str], Awaitable[Message]]
GossipHandler = Callable[[Message, str], None]


@dataclass(frozen=True, slots=True)
class BackendStatus:
    """The status that a back end reports."""

    incarnation: str
    weights_version: int
    draining: bool


class AnswerContent(Protocol):
    """The body of an answer."""

    def iter_any(self) -> AsyncIterator[bytes]:
        """Yield pieces of the body as they arrive."""
        ...

    async def read(self, n: int = -1) -> bytes:
        """Return up to ``n`` bytes, or all bytes if ``n`` is negative."""
        ...


class Answer(Protocol):
    """An answer of a back end whose headers have arrived and whose body is still to be read."""

    @property
    def status(self) -> int:
        """HTTP status."""
        ...

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers by name."""
        ...

    @property
    def content(self) -> AnswerContent:
        """The body."""
        ...


class Backends(Protocol):
    """Client for requests to back ends."""

    def send(
        self,
        attempt: Attempt,
        method: str,
        url: str,
        body: bytes,
        headers: Mapping[str, str],
        *,
        single_use: bool = False,
        timeout: float | None = None,
    ) -> AbstractAsyncContextManager[Answer]:
        """Send a request; see ``hillstack.backends.http_client``."""
        ...

    async def confirm_end(self, answer: Answer, address: str, incarnation: str) -> None:
        """Check that the whole body of an answer was received.

        An answer without a length ends with its connection, as the connections of a process do that
        is killed. It is complete only if its process still runs.

        Args:
            answer: The answer, whose body has been read.
            address: ``IP:PORT`` of the back end.
            incarnation: The process to which the request was sent.

        Raises:
            BackendBrokenError: Nothing proves that the answer is complete.
        """
        ...

    async def fetch_status(self, address: str) -> BackendStatus:
        """Return a back end's status."""
        ...

    async def fetch_load(self, address: str) -> LoadReport:
        """Return an engine's load."""
        ...

    async def order_weights_load(self, address: str, fence: int, weights_version: int) -> bool:
        """Order an engine to load weights and wait until it has; False if it refused the fence."""
        ...


class KeyValue(Protocol):
    """The key-value service."""

    @property
    def era(self) -> int:
        """Number that increases whenever the service was restored from an older state."""
        ...

    async def get(self, key: str) -> Entry | None:
        """Return a key's entry."""
        ...

    async def list_prefix(self, prefix: str, limit: int = 0) -> list[Entry]:
        """Return the entries below a prefix in descending key order."""
        ...

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> StoreRevision | None:
        """Write all keys if all conditions hold; return the revision, or None if one failed."""
        ...

    async def grant_lease(self, ttl_seconds: float) -> int:
        """Create a lease and return its identifier."""
        ...

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; return whether it still existed."""
        ...

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        ...

    def watch(self, key: str) -> AsyncIterator[bytes]:
        """Yield each new value of a key until the stream breaks."""
        ...


class Peers(Protocol):
    """Messages to other nodes."""

    @property
    def gossip_bytes_sent(self) -> int:
        """Bytes of gossip datagrams sent so far."""
        ...

    def gossip(self, address: str, message: Message) -> None:
        """Send a datagram, which may be lost."""
        ...

    async def call(self, address: str, message: Message, timeout: float) -> Message:
        """Send a request and return its answer; raises ``PeerError``."""
        ...


class CacheEvents(Protocol):
    """Subscriptions to cache events."""

    async def follow(self, machine: Machine, incarnation: str) -> None:
        """Feed an engine's events into the cache index until cancelled."""
        ...


class Environment(Protocol):
    """All external interfaces of a router node."""

    @property
    def rng(self) -> Random:
        """Source of randomness."""
        ...

    @property
    def backends(self) -> Backends:
        """Client for requests to back ends."""
        ...

    @property
    def key_value(self) -> KeyValue:
        """The key-value service."""
        ...

    @property
    def peers(self) -> Peers:
        """Messages to other nodes."""
        ...

    @property
    def cache_events(self) -> CacheEvents:
        """Subscriptions to cache events."""
        ...

    def clock(self) -> float:
        """Return seconds of the node's clock (``hillstack.clock``)."""
        ...

    def wall_clock(self) -> float:
        """Return seconds since the epoch."""
        ...

    async def fetch_machines(self) -> list[Machine]:
        """Return the machine list; raises ``PlatformError``."""
        ...

    async def listen(self, on_request: RequestHandler, on_gossip: GossipHandler) -> None:
        """Start to receive messages from other nodes."""
        ...

    async def close(self) -> None:
        """Close all sockets."""
        ...
