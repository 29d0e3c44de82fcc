"""A TCP proxy that injects faults between real processes."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct
import threading
from collections.abc import Callable, Coroutine, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, TypeVar

from tests.processes.node_cuts import CutKind, NodeCut
from tests.processes.stray_answers import AnswerMemory, StrayAnswers
from tests.processes.unframed_answers import UnframedAnswer, starts_answer

PIECE_BYTES = 4_096
RESET = struct.pack("ii", 1, 0)
# Interval of the check whether held data may pass again.
HOLD_CHECK_SECONDS = 0.05
# Time for a server to close its side after its client has closed.
CLOSE_SECONDS = 30.0

Result = TypeVar("Result")


class Mode(enum.Enum):
    """What the proxy does to the traffic of an address.

    Attributes:
        PASS: Forwards everything.
        SILENT: Holds all data back until the mode changes.
        REFUSE: Resets new connections.
        RESET_ANSWERS: Resets a connection after some bytes of the answer.
        DELAY: Delays each piece of data.
    """

    PASS = "pass"
    SILENT = "silent"
    REFUSE = "refuse"
    RESET_ANSWERS = "reset_answers"
    DELAY = "delay"


@dataclass(slots=True)
class ProxyState:
    """The mode of one proxied address.

    Attributes:
        reset_after_bytes: Bytes of an answer that are forwarded before the reset.
        delay: Seconds by which ``Mode.DELAY`` delays each piece of data.
        latency_seconds: One-way latency of the link, applied in every mode.
        seconds_per_byte: Transmission time of one byte, applied in every mode; limits bandwidth.
        is_closed: Whether the address acts as if its process had ended.
        keeps_client_host: Whether connections reach the server from the host of the client.
        stray_answers: Answers that precede those of the server; None for none.
        ends_answers_by_close: Whether answers have no length and end with their connection, and
            connections are closed in order when the address is closed.
        connections: The connections that are open now.
    """

    mode: Mode = Mode.PASS
    reset_after_bytes: int = 0
    delay: float = 0.0
    latency_seconds: float = 0.0
    seconds_per_byte: float = 0.0
    is_closed: bool = False
    keeps_client_host: bool = True
    stray_answers: StrayAnswers | None = None
    ends_answers_by_close: bool = False
    connections: set[ProxiedConnection] = field(default_factory=set)


@dataclass(eq=False, slots=True)
class ProxiedConnection:
    """One connection through the proxy.

    Attributes:
        writers: The writers to the client and to the server.
        silenced: Whether the proxy drops all further data and forwards no close.
        held: Number of cuts that currently hold back all data in both directions.
        answers: The previous answer on the connection.
        unframed: The answer that ends with the connection; None if answers keep their framing.
    """

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    silenced: bool = False
    held: int = 0
    answers: AnswerMemory = field(default_factory=AnswerMemory)
    unframed: UnframedAnswer | None = None

    @property
    def client_host(self) -> str:
        """The host from which the client connected; empty if it has disconnected."""
        return _host_of(self.writers[0])


class FaultProxy:
    """Proxies any number of addresses in a background thread.

    A connection usually reaches its server from the host from which the client connected.

    Args:
        host: Host on which the proxies listen.
    """

    def __init__(self, host: str = "127.0.0.1") -> None:
        self._host = host
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.states: dict[str, ProxyState] = {}
        self._cuts: set[NodeCut] = set()

    def front(
        self, name: str, address: str, *, port: int = 0, keeps_client_host: bool = True
    ) -> str:
        """Open a proxy for an address and return the address on which the proxy listens.

        Args:
            name: Name under which the proxy knows the address.
            address: The address.
            port: Port to listen on; 0 for any.
            keeps_client_host: Whether connections reach the server from the host of the client;
                otherwise they come from the host on which the proxy listens.
        """
        self.states[name] = ProxyState(keeps_client_host=keeps_client_host)
        return self._run(self._listen(name, address, port))

    def set(self, name: str, mode: Mode, *, reset_after_bytes: int = 0, delay: float = 0.0) -> None:
        """Change the mode of one address; open connections are affected too."""
        state = self.states[name]
        state.mode, state.reset_after_bytes, state.delay = mode, reset_after_bytes, delay

    def set_link(self, name: str, latency_seconds: float, bytes_per_second: float) -> None:
        """Give an address the latency and bandwidth of a link, in every mode."""
        state = self.states[name]
        state.latency_seconds = latency_seconds
        state.seconds_per_byte = 1 / bytes_per_second

    def silence_open_connections(self, name: str) -> int:
        """Stop forwarding on the open connections of one address for good; new ones work.

        Returns:
            The number of silenced connections.
        """
        open_now = list(self.states[name].connections)
        for connection in open_now:
            connection.silenced = True
        return len(open_now)

    def close_address(self, name: str) -> None:
        """Reset an address's connections and refuse new ones, as if its process had ended.

        Connections whose answers end with them are closed in order, as the system does for a
        process that is killed.
        """
        self.states[name].is_closed = True
        self._loop.call_soon_threadsafe(self._reset_connections, name)

    def reopen_address(self, name: str) -> None:
        """Accept connections again for an address that was closed."""
        self.states[name].is_closed = False

    @contextlib.contextmanager
    def node_cut(
        self, kind: CutKind, hosts: Iterable[str], is_cut: Callable[[str], bool]
    ) -> Iterator[None]:
        """Cut some nodes off from proxied addresses while the block runs.

        Args:
            kind: What the cut does.
            hosts: Hosts from which the nodes connect.
            is_cut: Returns whether the cut affects an address, by its name; asked also for
                addresses that are opened later.
        """
        cut = NodeCut(kind, frozenset(hosts), is_cut)
        held = self._run(self._begin_cut(cut))
        try:
            yield
        finally:
            self._run(self._end_cut(cut, held))

    def close(self) -> None:
        """Close all connections and stop the thread."""
        asyncio.run_coroutine_threadsafe(self._cancel_connections(), self._loop).result(10)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _cancel_connections(self) -> None:
        own = asyncio.current_task()
        tasks = [task for task in asyncio.all_tasks() if task is not own]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _reset_connections(self, name: str) -> None:
        for connection in self.states[name].connections:
            client, server = connection.writers
            _reset(server)
            if connection.unframed is None:
                _reset(client)

    async def _begin_cut(self, cut: NodeCut) -> list[ProxiedConnection]:
        """Start a cut; return the list of the connections that it holds, which grows."""
        self._cuts.add(cut)
        if cut.kind is CutKind.REFUSE_NEW:
            return []
        held: list[ProxiedConnection] = []
        for name, state in self.states.items():
            for connection in list(state.connections):
                if not cut.affects(name, connection.client_host):
                    continue
                if cut.kind is CutKind.HANG:
                    connection.held += 1
                    held.append(connection)
                    continue
                for writer in connection.writers:
                    _reset(writer)
        return held

    async def _end_cut(self, cut: NodeCut, held: list[ProxiedConnection]) -> None:
        self._cuts.remove(cut)
        for connection in held:
            connection.held -= 1

    async def _is_refused_or_held(self, name: str, host: str) -> bool:
        """Return whether a cut refuses a new connection; wait while a cut holds it."""
        affecting = [cut for cut in self._cuts if cut.affects(name, host)]
        if any(cut.kind is not CutKind.HANG for cut in affecting):
            return True
        while not self._cuts.isdisjoint(affecting):  # noqa: ASYNC110
            await asyncio.sleep(HOLD_CHECK_SECONDS)
        return False

    def _run(self, work: Coroutine[Any, Any, Result]) -> Result:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(10)

    async def _listen(self, name: str, address: str, listening_port: int) -> str:
        host, _, port = address.rpartition(":")

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if self._cuts and (
                await self._is_refused_or_held(name, _host_of(writer)) or _has_closed(reader)
            ):
                _reset(writer)
                return
            await self._serve(self.states[name], host, int(port), reader, writer)

        server = await asyncio.start_server(serve, self._host, listening_port)
        return f"{self._host}:{server.sockets[0].getsockname()[1]}"

    async def _serve(
        self,
        state: ProxyState,
        host: str,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if state.is_closed or state.mode is Mode.REFUSE:
            _reset(writer)
            return
        client_host = _host_of(writer) if state.keeps_client_host else ""
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, port, local_addr=(client_host or self._host, 0)
            )
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
            # A close isn't forwarded either: each side has to close its own connection.
            await asyncio.wait({forward, back})
        else:
            await self._close_after_first_end(state, connection, forward, back)
        state.connections.discard(connection)
        for each in (writer, upstream_writer):
            with contextlib.suppress(Exception):
                each.close()

    async def _close_after_first_end(
        self,
        state: ProxyState,
        connection: ProxiedConnection,
        forward: asyncio.Task[None],
        back: asyncio.Task[None],
    ) -> None:
        """Forward the close of one side to the other, as TCP does; wait while a cut holds it."""
        while state.mode is Mode.SILENT or connection.held:  # noqa: ASYNC110
            await asyncio.sleep(HOLD_CHECK_SECONDS)
        if back.done():
            forward.cancel()
            return
        with contextlib.suppress(OSError):
            connection.writers[1].write_eof()
        await asyncio.wait({back}, timeout=CLOSE_SECONDS)
        back.cancel()

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
                was_held = connection.held > 0
                while state.mode is Mode.SILENT or connection.held:  # noqa: ASYNC110
                    await asyncio.sleep(HOLD_CHECK_SECONDS)
                if was_held and not answers and _has_closed(reader):
                    # Held bytes are lost if their sender gives the connection up.
                    return
                if state.is_closed:
                    if connection.unframed is None:
                        _reset(writer)
                    return
                if connection.silenced:
                    continue
                if state.latency_seconds:
                    await asyncio.sleep(state.latency_seconds + state.seconds_per_byte * len(piece))
                if answers:
                    connection.answers.note(piece)
                elif state.stray_answers is not None:
                    stray = state.stray_answers.draw(piece, connection.answers)
                    connection.writers[0].write(stray)
                if state.mode is Mode.DELAY:
                    await asyncio.sleep(state.delay)
                if answers and state.mode is Mode.RESET_ANSWERS:
                    writer.write(piece[: max(0, state.reset_after_bytes - passed)])
                    await writer.drain()
                    passed += len(piece)
                    if passed >= state.reset_after_bytes:
                        _reset(writer)
                        return
                    continue
                unframed = _unframed(state, connection, piece) if answers else None
                writer.write(piece if unframed is None else unframed.rewrite(piece))
                await writer.drain()
                if unframed is not None and unframed.has_ended:
                    return


def _unframed(
    state: ProxyState, connection: ProxiedConnection, piece: bytes
) -> UnframedAnswer | None:
    """Return the answer to which a piece of the server belongs if it has to be rewritten."""
    current = connection.unframed
    if state.ends_answers_by_close and starts_answer(piece) and (current is None or current.passes):
        connection.unframed = UnframedAnswer()
    return connection.unframed


def _host_of(writer: asyncio.StreamWriter) -> str:
    """Return the host at the other end of a connection; empty if it has disconnected."""
    name = writer.get_extra_info("peername")
    return str(name[0]) if name else ""


def _has_closed(reader: asyncio.StreamReader) -> bool:
    """Return whether the sender has closed the connection, even if bytes are still unread."""
    return bool(reader._eof)  # type: ignore[attr-defined]


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()
