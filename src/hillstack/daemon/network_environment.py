"""The external interfaces of a router node, over sockets and the system's clocks."""

from __future__ import annotations

import asyncio
import time
from random import Random, SystemRandom

from hillstack import clock
from hillstack.addresses import split_address
from hillstack.backends.cache_events import CacheEventFeeds
from hillstack.backends.http_client import BackendClient
from hillstack.config.settings import RouterSettings
from hillstack.core.cache_index import CacheIndex
from hillstack.daemon.peer_transport import GossipProtocol, PeerClient, PeerServer
from hillstack.daemon.ports import GossipHandler, RequestHandler
from hillstack.etcd.key_value import KeyValueClient
from hillstack.etcd.machine_list import fetch_machines
from hillstack.messages.codec import Codec
from hillstack.messages.types import Machine, Message


class NetworkPeers:
    """Messages to other nodes over UDP and TCP."""

    def __init__(self, codec: Codec) -> None:
        self._codec = codec
        self.client = PeerClient(codec)
        self.protocol: GossipProtocol | None = None

    @property
    def gossip_bytes_sent(self) -> int:
        """Bytes of gossip datagrams sent so far."""
        return self.protocol.bytes_sent if self.protocol else 0

    def gossip(self, address: str, message: Message) -> None:
        """Send a datagram, which may be lost."""
        if self.protocol is not None:
            self.protocol.send(address, message)

    async def call(self, address: str, message: Message, timeout: float) -> Message:
        """Send a request and return its answer.

        Raises:
            PeerError: The peer failed or did not answer in time.
        """
        return await self.client.call(address, message, timeout)


class NetworkEnvironment:
    """Sockets, clocks and randomness of a router process.

    Must be created inside a running event loop.

    Args:
        settings: Validated settings.
        index: Cache index that receives the cache events.
    """

    def __init__(self, settings: RouterSettings, index: CacheIndex) -> None:
        self._settings = settings
        self._codec = Codec(bytes.fromhex(settings.peers.key))
        self.rng = Random(SystemRandom().getrandbits(64))
        self.backends = BackendClient(
            settings.backends.connect_timeout_seconds, settings.backends.silence_timeout_seconds
        )
        self.key_value = KeyValueClient(settings.platform.key_value, self.backends.session)
        self.peers = NetworkPeers(self._codec)
        self.cache_events = CacheEventFeeds(index)
        self._server: PeerServer | None = None

    def clock(self) -> float:
        """Return seconds of the node's clock (``hillstack.clock``)."""
        return clock.seconds()

    def wall_clock(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    async def fetch_machines(self) -> list[Machine]:
        """Return the machine list.

        Raises:
            PlatformError: The list could not be read.
        """
        address = self._settings.platform.machine_list
        return await fetch_machines(self.backends.session, address)

    async def listen(self, on_request: RequestHandler, on_gossip: GossipHandler) -> None:
        """Open the sockets for messages from other nodes."""
        address = self._settings.listen.peers
        self._server = PeerServer(self._codec, on_request)
        await self._server.start(address)
        loop = asyncio.get_running_loop()
        _, self.peers.protocol = await loop.create_datagram_endpoint(
            lambda: GossipProtocol(self._codec, on_gossip), local_addr=split_address(address)
        )

    async def close(self) -> None:
        """Close all sockets."""
        if self.peers.protocol is not None:
            self.peers.protocol.close()
        await self.peers.client.close()
        if self._server is not None:
            await self._server.close()
        self.cache_events.close()
        await self.backends.close()
