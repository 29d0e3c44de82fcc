"""The origin's end of a connection to a runner that a peer relays.

The link looks like a direct connection to the protocol that uses it. If the relay reports how the
connection to the runner ended, the protocol gets the same error as it would directly. If the relay
itself is lost, it gets ``RelayLostError``, which says nothing about the runner.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hillstack.addresses import split_address
from hillstack.daemon.connection_relay import SocketFactory
from hillstack.errors import CodecError, RelayError
from hillstack.messages.peer_notices import PROTOCOL_VERSION
from hillstack.messages.relayed_connections import (
    FrameKind,
    FrameReader,
    RelayRequest,
    RelayStatus,
    encode_request,
)

# Time for a relay to answer: its own time to connect to the runner, and a round trip.
RELAY_SECONDS = 0.35


class RelayLostError(OSError):
    """The connection to a relay broke; the runner may be sound."""

    def __init__(self, text: str) -> None:
        super().__init__(errno.ENETUNREACH, text)


@dataclass(frozen=True, slots=True)
class RelayRoute:
    """A route to a runner through a peer.

    Attributes:
        node_id: The peer.
        relay_address: ``IP:PORT`` at which the peer relays connections.
        target_id: Identifier of the runner.
        target_address: ``IP:PORT`` of the runner.
    """

    node_id: str
    relay_address: str
    target_id: str
    target_address: str


class RelayedTransport(asyncio.Transport):
    """The transport of a relayed connection.

    Args:
        transport: The connection to the relay.
        target: Host and port of the runner, given as the address of the peer.
    """

    def __init__(self, transport: asyncio.Transport, target: tuple[str, int]) -> None:
        super().__init__({"peername": target})
        self._transport = transport

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information on the connection; its peer is the runner."""
        own = super().get_extra_info(name)
        return own if own is not None else self._transport.get_extra_info(name, default)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write bytes for the runner."""
        self._transport.write(data)

    def close(self) -> None:
        """Close the connection; the relay then closes the one to the runner."""
        self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    def is_closing(self) -> bool:
        """Return whether the connection is closed or being closed."""
        return self._transport.is_closing()

    def is_reading(self) -> bool:
        """Return whether bytes are being received."""
        return self._transport.is_reading()

    def pause_reading(self) -> None:
        """Receive no further bytes for now."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Receive bytes again."""
        self._transport.resume_reading()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not sent yet."""
        return self._transport.get_write_buffer_size()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the limits of the write buffer."""
        self._transport.set_write_buffer_limits(high, low)


class _RelayedLink(asyncio.Protocol):
    """Passes the runner's bytes, taken out of their frames, to the protocol above.

    Args:
        protocol: The protocol above.
        target: Host and port of the runner.
        on_closing: Called when the relay is stopping.
    """

    def __init__(
        self, protocol: asyncio.Protocol, target: tuple[str, int], on_closing: Callable[[], None]
    ) -> None:
        self.protocol = protocol
        self._target = target
        self._on_closing = on_closing
        self._frames = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._has_ended = False
        self._is_lost_by_relay = False

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self.protocol.connection_made(RelayedTransport(transport, self._target))

    def data_received(self, data: bytes) -> None:
        try:
            for kind, payload in self._frames.feed(data):
                self._receive(kind, payload)
        except CodecError as error:
            self._end(RelayLostError(str(error)))

    def _receive(self, kind: FrameKind, payload: bytes) -> None:
        if self._has_ended:
            return
        match kind:
            case FrameKind.DATA:
                self.protocol.data_received(payload)
            case FrameKind.ENDED:
                self.protocol.eof_received()
                self._end(None)
            case FrameKind.RESET:
                self._end(ConnectionResetError(errno.ECONNRESET, "reset by the runner"))
            case FrameKind.LOST:
                self._end(TimeoutError(errno.ETIMEDOUT, "lost between relay and runner"))
            case FrameKind.CLOSING:
                self._on_closing()

    def eof_received(self) -> None:
        self._is_lost_by_relay = True

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None:
            self._end(RelayLostError(str(exc)))
        else:
            self._end(RelayLostError("closed by the relay") if self._is_lost_by_relay else None)

    def pause_writing(self) -> None:
        self.protocol.pause_writing()

    def resume_writing(self) -> None:
        self.protocol.resume_writing()

    def _end(self, error: Exception | None) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        self.protocol.connection_lost(error)
        if self._transport is not None:
            self._transport.close()


async def open_relayed(
    route: RelayRoute,
    node_id: str,
    make_socket: SocketFactory,
    protocol: asyncio.Protocol,
    on_closing: Callable[[], None] = lambda: None,
) -> None:
    """Connect a protocol to a runner through a peer.

    Args:
        route: The peer and the runner.
        node_id: This node.
        make_socket: Makes the socket to the peer.
        protocol: Gets the connection.
        on_closing: Called when the peer is stopping; the connection must not be reused.

    Raises:
        RelayError: The peer did not connect to the runner.
    """
    loop = asyncio.get_running_loop()
    host, port = split_address(route.relay_address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    connection = make_socket((family, socket.SOCK_STREAM, 0, "", (host, port)))
    try:
        async with asyncio.timeout(RELAY_SECONDS):
            await loop.sock_connect(connection, (host, port))
            request = RelayRequest(PROTOCOL_VERSION, node_id, route.target_id)
            await loop.sock_sendall(connection, encode_request(request))
            answer = await loop.sock_recv(connection, 1)
        _check_status(answer, route)
        target = split_address(route.target_address)
        await loop.create_connection(
            lambda: _RelayedLink(protocol, target, on_closing), sock=connection
        )
    except (OSError, TimeoutError) as error:
        connection.close()
        text = str(error) or type(error).__name__
        raise RelayError(text, step="relay", peer=route.node_id) from error
    except BaseException:
        connection.close()
        raise


def _check_status(answer: bytes, route: RelayRoute) -> None:
    if answer == bytes((RelayStatus.CONNECTED,)):
        return
    try:
        text = RelayStatus(answer[0]).name.lower() if answer else "closed by the relay"
    except ValueError:
        text = "unknown status"
    raise RelayError(text, step="relay", peer=route.node_id)
