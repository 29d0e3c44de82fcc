"""Relays connections to runners for nodes that cannot reach them.

The relay passes bytes on and decides nothing about requests: the origin keeps placement, deadlines,
identifiers and the count of runs. Only listed nodes are served, a target is looked up in this
node's own state, and the relay connects to it directly, never through another relay.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable
from typing import Any

from hillstack.addresses import split_address
from hillstack.core.runner_paths import RunnerPaths
from hillstack.daemon.relay_targets import RelayTargets
from hillstack.errors import CodecError
from hillstack.immediate_close import close_at_once, has_peer_closed
from hillstack.messages.relayed_connections import (
    FrameKind,
    RelayRequest,
    RelayStatus,
    decode_request,
    encode_frame,
)
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.metrics import FleetMetrics

logger = logging.getLogger(__name__)

# Time to connect to a runner: longer than the round trip between regions.
CONNECT_SECONDS = 0.25
# Time for the origin's request to arrive after it has connected.
REQUEST_SECONDS = 1.0
# Bytes that are buffered in each direction of a connection before its sender is paused.
BUFFER_BYTES = 65_536
# While reading is paused, interval of the check whether the peer has closed: a run may go on for
# 0.4 s at most after its origin has left it.
PAUSED_CHECK_SECONDS = 0.05
# A relayed connection needs two descriptors. At most this many connections are relayed, and at most
# this share of the descriptors of the process is used for them.
MAX_RELAYED_CONNECTIONS = 256
DESCRIPTOR_SHARE = 0.125

SocketFactory = Callable[[Any], socket.socket]


def max_relayed_connections(descriptors: int) -> int:
    """Return how many connections a process with this descriptor limit relays."""
    return min(MAX_RELAYED_CONNECTIONS, int(descriptors * DESCRIPTOR_SHARE / 2))


class ConnectionRelay:
    """Listens for other nodes, and connects them to runners.

    Args:
        state: State of this node.
        paths: Receives the contacts of relayed connections, which are this node's own.
        targets: Finds the runners that requests name.
        metrics: Counts relayed connections.
        make_socket: Makes the sockets to runners.
        max_connections: How many connections are relayed at a time.
        clock: Monotonic seconds.

    Attributes:
        is_stopping: Whether the node is shutting down.
    """

    def __init__(
        self,
        state: FleetState,
        paths: RunnerPaths,
        targets: RelayTargets,
        metrics: FleetMetrics,
        make_socket: SocketFactory,
        max_connections: int,
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._paths = paths
        self._targets = targets
        self._metrics = metrics
        self._make_socket = make_socket
        self._max_connections = max_connections
        self._clock = clock
        self._server: asyncio.Server | None = None
        self._origins: set[_OriginSide] = set()
        self.is_stopping = False

    @property
    def accepts(self) -> bool:
        """Whether the node relays further connections."""
        has_room = len(self._origins) < self._max_connections
        return self._server is not None and not self.is_stopping and has_room

    @property
    def open_count(self) -> int:
        """Number of relayed connections that are open."""
        return len(self._origins)

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections of other nodes; without the port the node relays nothing."""
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(lambda: _OriginSide(self), host, port)
        except OSError as error:
            logger.warning("cannot relay connections", extra={"error": str(error)})

    def stop_accepting(self) -> None:
        """Relay no further connections; origins give up the open ones after their answers."""
        self.is_stopping = True
        for origin in list(self._origins):
            origin.announce_closing()

    def close(self) -> None:
        """Close all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        for origin in list(self._origins):
            origin.abort()

    def add(self, origin: _OriginSide) -> RelayStatus | None:
        """Admit a connection of another node; return why not, or None if it is admitted."""
        if not self.accepts:
            return RelayStatus.BUSY
        self._origins.add(origin)
        return None

    def remove(self, origin: _OriginSide) -> None:
        """Record the end of a connection."""
        self._origins.discard(origin)

    def count(self, status: RelayStatus) -> None:
        """Count the answer to a request."""
        self._metrics.relayed_connections.labels(status.name.lower()).inc()

    def note_contact(self, address: str) -> None:
        """Record bytes of a runner."""
        self._paths.record_contact(address, self._clock())

    def find_target(self, request: RelayRequest, peer: str) -> str | RelayStatus:
        """Return the address of the target of a request, or why it is not relayed."""
        node = self._state.nodes.get(request.node_id)
        if node is None or split_address(node.address)[0] != peer:
            return RelayStatus.NOT_ALLOWED
        address = self._targets.address_of(request.target_id)
        if address is None:
            return RelayStatus.UNKNOWN_TARGET
        return RelayStatus.NOT_REACHED if self._paths.is_lost(address) else address

    async def connect(self, address: str, origin: _OriginSide) -> _RunnerSide:
        """Connect to a runner.

        Raises:
            OSError: The connection failed.
            TimeoutError: It was not established in time.
        """
        loop = asyncio.get_running_loop()
        host, port = split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        connection = self._make_socket((family, socket.SOCK_STREAM, 0, "", (host, port)))
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await loop.sock_connect(connection, (host, port))
            _, runner = await loop.create_connection(
                lambda: _RunnerSide(self, origin, address), sock=connection
            )
        except BaseException:
            connection.close()
            raise
        return runner


class _Side(asyncio.Protocol):
    """One side of a relayed connection; pauses the other side while it cannot be written to."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=BUFFER_BYTES)

    def other(self) -> _Side | None:
        raise NotImplementedError

    def pause_writing(self) -> None:
        other = self.other()
        if other is not None:
            other.pause_reading()

    def pause_reading(self) -> None:
        """Receive nothing for now, because the other side cannot be written to."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        other = self.other()
        if other is not None and other.transport is not None:
            other.transport.resume_reading()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class _OriginSide(_Side):
    """The connection of the node that asked for the relay."""

    def __init__(self, relay: ConnectionRelay) -> None:
        super().__init__()
        self._relay = relay
        self._received = b""
        self._runner: _RunnerSide | None = None
        self._work: asyncio.Task[None] | None = None
        self._timeout: asyncio.TimerHandle | None = None
        self._peer = ""

    def other(self) -> _Side | None:
        return self._runner

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self._peer = str(transport.get_extra_info("peername")[0])
        refused = self._relay.add(self)
        if refused is not None:
            self._answer(refused)
            return
        loop = asyncio.get_running_loop()
        self._timeout = loop.call_later(REQUEST_SECONDS, self.abort)

    def data_received(self, data: bytes) -> None:
        if self._runner is not None and self._runner.transport is not None:
            self._runner.transport.write(data)
            return
        self._received += data
        try:
            request = decode_request(self._received, self._peer)
        except CodecError as error:
            logger.info("relay request dropped", extra={"peer": error.peer, "error": error.message})
            self.abort()
            return
        if request is not None and self._work is None:
            assert self.transport is not None
            # Nothing may follow the request before its answer.
            self.transport.pause_reading()
            self._cancel_timeout()
            self._work = asyncio.get_running_loop().create_task(self._connect(request))

    def pause_reading(self) -> None:
        """Receive nothing for now, but notice that the origin leaves."""
        super().pause_reading()
        self._watch_while_paused()

    def _watch_while_paused(self) -> None:
        if self.transport is None or self.transport.is_closing() or self.transport.is_reading():
            return
        if has_peer_closed(self.transport):
            self.transport.abort()
            return
        asyncio.get_running_loop().call_later(PAUSED_CHECK_SECONDS, self._watch_while_paused)

    async def _connect(self, request: RelayRequest) -> None:
        found = self._relay.find_target(request, self._peer)
        status = found if isinstance(found, RelayStatus) else RelayStatus.CONNECTED
        if isinstance(found, str):
            try:
                self._runner = await self._relay.connect(found, self)
            except (OSError, TimeoutError) as error:
                status = RelayStatus.NOT_REACHED
                text = str(error) or type(error).__name__
                logger.info("relay target not reached", extra={"peer": found, "error": text})
        self._relay.count(status)
        if self.transport is None or self.transport.is_closing():
            if self._runner is not None:
                self._runner.abort()
            return
        self._answer(status)

    def _answer(self, status: RelayStatus) -> None:
        assert self.transport is not None
        self.transport.write(bytes((status,)))
        if status is RelayStatus.CONNECTED:
            self.transport.resume_reading()
            if self._relay.is_stopping:
                self.announce_closing()
        else:
            self.transport.close()

    def pass_data(self, data: bytes) -> None:
        """Pass bytes of the runner to the origin."""
        if self.transport is not None:
            self.transport.write(encode_frame(FrameKind.DATA, data))

    def end(self, kind: FrameKind) -> None:
        """Report to the origin how the connection to the runner ended, and close."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_frame(kind))
            self.transport.close()

    def announce_closing(self) -> None:
        """Notify the origin that the connection must not be used for a further request."""
        if self._runner is not None and self.transport is not None:
            self.transport.write(encode_frame(FrameKind.CLOSING))

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_timeout()
        self._relay.remove(self)
        self.transport = None
        if self._runner is not None:
            self._runner.give_up()

    def _cancel_timeout(self) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None


class _RunnerSide(_Side):
    """The connection to the runner."""

    def __init__(self, relay: ConnectionRelay, origin: _OriginSide, address: str) -> None:
        super().__init__()
        self._relay = relay
        self._origin = origin
        self._address = address

    def other(self) -> _Side | None:
        return self._origin

    def data_received(self, data: bytes) -> None:
        self._relay.note_contact(self._address)
        self._origin.pass_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._origin.end(end_kind(exc))

    def give_up(self) -> None:
        """Close the connection because the origin has; a partly sent request is not completed."""
        if self.transport is not None:
            close_at_once(self.transport)


def end_kind(error: Exception | None) -> FrameKind:
    """Return the kind of the frame that reports how a connection to a runner ended."""
    if error is None:
        return FrameKind.ENDED
    is_reset = isinstance(error, OSError) and error.errno in (errno.ECONNRESET, errno.EPIPE)
    return FrameKind.RESET if is_reset else FrameKind.LOST
