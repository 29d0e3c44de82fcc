"""Transports between nodes: UDP for gossip, TCP for requests with answers.

A TCP frame consists of a 4-byte length and an 8-byte request number, both big endian, and a frame
of the codec. Answers carry the number of their request, so that requests can share a connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from dataclasses import dataclass, field
from typing import cast

from hillstack.addresses import split_address
from hillstack.daemon.ports import GossipHandler, RequestHandler
from hillstack.errors import CodecError, HillstackError, PeerError
from hillstack.logs import error_fields
from hillstack.messages.codec import Codec
from hillstack.messages.types import Failure, Message

logger = logging.getLogger(__name__)

LENGTH_BYTES = 4
NUMBER_BYTES = 8
MAX_FRAME_BYTES = 64 * 1024 * 1024
MAX_DATAGRAM_BYTES = 65_000


class GossipProtocol(asyncio.DatagramProtocol):
    """Receives and sends gossip over UDP; drops datagrams that fail authentication.

    Args:
        codec: Codec with the shared key.
        handler: Called with each message and the sender's address.
    """

    def __init__(self, codec: Codec, handler: GossipHandler) -> None:
        self._codec = codec
        self._handler = handler
        self._transport: asyncio.DatagramTransport | None = None
        self.bytes_sent = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # The selector loop's transport does not derive from DatagramTransport on Python 3.11.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass it to the handler."""
        peer = f"{addr[0]}:{addr[1]}"
        try:
            message = self._codec.decode(data, peer)
        except CodecError as error:
            logger.debug("datagram rejected", extra=error_fields(error))
            return
        self._handler(message, peer)

    def error_received(self, exc: Exception) -> None:
        """Ignore send errors; the membership probes detect failed nodes."""

    def send(self, address: str, message: Message) -> None:
        """Send a message without a delivery guarantee."""
        if self._transport is None or self._transport.is_closing():
            return
        frame = self._codec.encode(message)
        if len(frame) <= MAX_DATAGRAM_BYTES:
            self.bytes_sent += len(frame)
            self._transport.sendto(frame, split_address(address))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


class PeerServer:
    """Answers requests of other nodes over TCP.

    Args:
        codec: Codec with the shared key.
        handler: Called with each request and the sender's address; returns the answer.
    """

    def __init__(self, codec: Codec, handler: RequestHandler) -> None:
        self._codec = codec
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        """Listen on an address."""
        host, port = split_address(address)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = writer.get_extra_info("peername")
        peer = f"{name[0]}:{name[1]}" if name else "unknown"
        self._writers.add(writer)
        try:
            while True:
                number, frame = await _read_frame(reader, peer)
                message = self._codec.decode(frame, peer)
                task = asyncio.create_task(self._answer(number, message, peer, writer))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        except CodecError as error:
            logger.warning("peer connection closed", extra=error_fields(error))
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, number: int, message: Message, peer: str, writer: asyncio.StreamWriter
    ) -> None:
        try:
            answer = await self._handler(message, peer)
        except HillstackError as error:
            answer = Failure(str(error))
        with contextlib.suppress(ConnectionError):
            writer.write(_frame(number, self._codec.encode(answer)))
            await writer.drain()


@dataclass(slots=True)
class _Connection:
    writer: asyncio.StreamWriter
    pending: dict[int, asyncio.Future[Message]] = field(default_factory=dict)
    reader_task: asyncio.Task[None] | None = None


class PeerClient:
    """Sends requests to other nodes, over one connection to each.

    Args:
        codec: Codec with the shared key.
    """

    def __init__(self, codec: Codec) -> None:
        self._codec = codec
        self._connections: dict[str, asyncio.Task[_Connection]] = {}
        self._number = 0

    async def call(self, address: str, message: Message, timeout: float) -> Message:
        """Send a request and return its answer.

        Raises:
            PeerError: No answer in time, or the peer failed.
        """
        step = type(message).__name__
        try:
            async with asyncio.timeout(timeout):
                answer = await self._exchange(address, message)
        except (TimeoutError, OSError, CodecError) as error:
            raise PeerError(repr(error), step=step, peer=address) from error
        if isinstance(answer, Failure):
            raise PeerError(answer.reason, step=step, peer=address)
        return answer

    async def close(self) -> None:
        """Close all connections."""
        for task in list(self._connections.values()):
            task.cancel()
            if task.done() and not task.cancelled() and task.exception() is None:
                self._drop(task.result())
        self._connections.clear()

    async def _exchange(self, address: str, message: Message) -> Message:
        connection = await self._connection(address)
        self._number += 1
        number = self._number
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        connection.pending[number] = future
        try:
            connection.writer.write(_frame(number, self._codec.encode(message)))
            await connection.writer.drain()
            return await future
        finally:
            connection.pending.pop(number, None)

    async def _connection(self, address: str) -> _Connection:
        task = self._connections.get(address)
        if task is None or (task.done() and not _is_open(task)):
            task = asyncio.create_task(self._connect(address))
            self._connections[address] = task
        return await asyncio.shield(task)

    async def _connect(self, address: str) -> _Connection:
        host, port = split_address(address)
        reader, writer = await asyncio.open_connection(host, port)
        connection = _Connection(writer)
        connection.reader_task = asyncio.create_task(self._read(reader, connection, address))
        return connection

    async def _read(
        self, reader: asyncio.StreamReader, connection: _Connection, address: str
    ) -> None:
        try:
            while True:
                number, frame = await _read_frame(reader, address)
                answer = self._codec.decode(frame, address)
                future = connection.pending.get(number)
                if future is not None and not future.done():
                    future.set_result(answer)
        except (asyncio.IncompleteReadError, OSError, CodecError) as error:
            for future in connection.pending.values():
                if not future.done():
                    future.set_exception(ConnectionResetError(repr(error)))
        finally:
            connection.writer.close()

    def _drop(self, connection: _Connection) -> None:
        if connection.reader_task is not None:
            connection.reader_task.cancel()
        connection.writer.close()


def _is_open(task: asyncio.Task[_Connection]) -> bool:
    if task.cancelled() or task.exception() is not None:
        return False
    return not task.result().writer.is_closing()


def _frame(number: int, content: bytes) -> bytes:
    length = len(content).to_bytes(LENGTH_BYTES, "big")
    return length + number.to_bytes(NUMBER_BYTES, "big") + content


async def _read_frame(reader: asyncio.StreamReader, peer: str) -> tuple[int, bytes]:
    header = await reader.readexactly(LENGTH_BYTES + NUMBER_BYTES)
    length = int.from_bytes(header[:LENGTH_BYTES], "big")
    if length > MAX_FRAME_BYTES:
        raise CodecError(f"frame of {length} bytes", step="read frame", peer=peer)
    number = int.from_bytes(header[LENGTH_BYTES:], "big")
    return number, await reader.readexactly(length)
