"""A small TCP proxy that injects faults between real processes."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct
import threading
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

PIECE_BYTES = 4_096
RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What the proxy does to traffic."""

    PASS = "pass"
    SILENT = "silent"
    REFUSE = "refuse"
    RESET_ANSWERS = "reset_answers"
    DELAY = "delay"


@dataclass(slots=True)
class ProxyState:
    """The mode of one proxied address.

    Attributes:
        after_bytes: Bytes of an answer that pass before a reset.
        delay: Seconds added to each piece.
        distance: Seconds added to each piece in any mode.
        seconds_per_byte: Added for each byte in any mode: a narrow link.
        ended: Whether the process behind it has ended: nothing passes any more.
    """

    mode: Mode = Mode.PASS
    after_bytes: int = 0
    delay: float = 0.0
    distance: float = 0.0
    seconds_per_byte: float = 0.0
    ended: bool = False
    connections: set[ProxiedConnection] = field(default_factory=set)


@dataclass(eq=False, slots=True)
class ProxiedConnection:
    """One connection through the proxy.

    Attributes:
        writers: Both of its sides.
        silenced: Whether nothing passes any more, neither bytes nor a close, for good.
    """

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    silenced: bool = False


class FaultProxy:
    """Proxies any number of addresses from a thread of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.states: dict[str, ProxyState] = {}

    def front(self, name: str, address: str) -> str:
        """Open a proxy before an address and return the proxy's own address."""
        self.states[name] = ProxyState()
        return self._run(self._listen(name, address))

    def set(self, name: str, mode: Mode, *, after_bytes: int = 0, delay: float = 0.0) -> None:
        """Change the mode of one address, for open connections as well."""
        state = self.states[name]
        state.mode, state.after_bytes, state.delay = mode, after_bytes, delay

    def set_link(self, name: str, distance: float, bytes_per_second: float) -> None:
        """Put an address at the end of a link, whatever its mode is later."""
        state = self.states[name]
        state.distance = distance
        state.seconds_per_byte = 1 / bytes_per_second

    def silence_open_connections(self, name: str) -> int:
        """Let the open connections of one address go silent for good; new ones work.

        Returns:
            How many these are.
        """
        open_now = list(self.states[name].connections)
        for connection in open_now:
            connection.silenced = True
        return len(open_now)

    def end(self, name: str) -> None:
        """Let the process behind an address have ended: its connections break, it refuses."""
        self.states[name].ended = True
        self._loop.call_soon_threadsafe(self._break_connections, name)

    def begin_again(self, name: str) -> None:
        """Let a process listen again behind an address whose process had ended."""
        self.states[name].ended = False

    def close(self) -> None:
        """End all connections and stop the thread."""
        asyncio.run_coroutine_threadsafe(self._end_connections(), self._loop).result(10)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _end_connections(self) -> None:
        own = asyncio.current_task()
        tasks = [task for task in asyncio.all_tasks() if task is not own]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _break_connections(self, name: str) -> None:
        for connection in self.states[name].connections:
            for writer in connection.writers:
                _reset(writer)

    def _run(self, work: Coroutine[Any, Any, str]) -> str:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(10)

    async def _listen(self, name: str, address: str) -> str:
        host, _, port = address.rpartition(":")

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(self.states[name], host, int(port), reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(
        self,
        state: ProxyState,
        host: str,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if state.ended or state.mode is Mode.REFUSE:
            _reset(writer)
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, port)
        except OSError:
            _reset(writer)
            return
        connection = ProxiedConnection((writer, upstream_writer))
        state.connections.add(connection)
        forward = asyncio.create_task(
            self._pump(state, connection, reader, upstream_writer, answers=False)
        )
        back = asyncio.create_task(
            self._pump(state, connection, upstream_reader, writer, answers=True)
        )
        await asyncio.wait({forward, back}, return_when=asyncio.FIRST_COMPLETED)
        if connection.silenced:
            # Neither side hears of the other's close either; each ends its own.
            await asyncio.wait({forward, back})
        elif back.done():
            forward.cancel()
        else:
            await asyncio.wait({back}, timeout=30)
            back.cancel()
        state.connections.discard(connection)
        for each in (writer, upstream_writer):
            with contextlib.suppress(Exception):
                each.close()

    async def _pump(
        self,
        state: ProxyState,
        connection: ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        passed = 0
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while piece := await reader.read(PIECE_BYTES):
                while state.mode is Mode.SILENT:  # noqa: ASYNC110 (set from another thread)
                    await asyncio.sleep(0.05)
                if state.ended:
                    _reset(writer)
                    return
                if connection.silenced:
                    continue
                if state.distance:
                    await asyncio.sleep(state.distance + state.seconds_per_byte * len(piece))
                if state.mode is Mode.DELAY:
                    await asyncio.sleep(state.delay)
                if answers and state.mode is Mode.RESET_ANSWERS:
                    writer.write(piece[: max(0, state.after_bytes - passed)])
                    await writer.drain()
                    passed += len(piece)
                    if passed >= state.after_bytes:
                        _reset(writer)
                        return
                    continue
                writer.write(piece)
                await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()
