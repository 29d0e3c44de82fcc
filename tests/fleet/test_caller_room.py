"""A node that says it is ready takes connections, also at the limit of its descriptors."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from hillstack.daemon.caller_room import (
    EXHAUSTED_SECONDS,
    LOW_WATER_SHARE,
    RESERVED_DESCRIPTORS,
    CallerConnection,
    ConnectionLimiter,
    max_caller_connections,
)
from hillstack.platform import names
from tests.fleet.builders import APPLICATION, HOST, KEY
from tests.fleet.deployment import Deployment, NodeProcess, deployment, until


@dataclass
class Cycle:
    response_complete: bool


@dataclass
class FakeConnections:
    """Connections that are gone once they are shut down."""

    open: list[CallerConnection] = field(default_factory=list)
    now: float = 0.0

    def add(self, count: int, *, resting: bool) -> None:
        for _ in range(count):
            self.open.append(FakeConnection(self, Cycle(resting)))

    def room(self, most: int) -> ConnectionLimiter:
        return ConnectionLimiter(most, lambda: self.open, lambda: self.now)


class FakeConnection:
    def __init__(self, all_open: FakeConnections, cycle: Cycle) -> None:
        self._all = all_open
        self.cycle = cycle

    def shutdown(self) -> None:
        assert self.cycle.response_complete
        self._all.open.remove(self)


def test_descriptors_are_shared_by_callers_and_their_requests() -> None:
    assert max_caller_connections(4_100) == (4_100 - RESERVED_DESCRIPTORS) / 2
    assert max_caller_connections(10) == 1


def test_connections_that_rest_make_room() -> None:
    connections = FakeConnections()
    room = connections.room(100)
    connections.add(50, resting=False)
    connections.add(50, resting=True)
    assert room.can_accept() and len(connections.open) == 100
    connections.add(1, resting=True)
    assert room.is_full()
    assert room.can_accept()
    assert len(connections.open) == 100 * LOW_WATER_SHARE


def test_readiness_is_taken_back_where_nothing_rests() -> None:
    connections = FakeConnections()
    room = connections.room(100)
    connections.add(101, resting=False)
    assert not room.can_accept()
    assert len(connections.open) == 101
    del connections.open[10:]
    assert room.can_accept()


def test_readiness_is_taken_back_while_no_connection_can_be_taken() -> None:
    connections = FakeConnections()
    room = connections.room(100)
    connections.add(10, resting=False)
    connections.add(10, resting=True)
    room.note_exhausted()
    room.note_exhausted()
    assert len(connections.open) == 10
    assert not room.can_accept()
    connections.now += EXHAUSTED_SECONDS
    assert room.can_accept()


def play(folder: Path, scenario: Callable[[Deployment], Awaitable[None]]) -> None:
    async def main() -> None:
        async with deployment(folder) as running:
            await scenario(running)

    asyncio.run(main())


async def answered_connection(node: NodeProcess, number: int) -> socket.socket:
    """Return a connection that rests after one request."""
    host, _, port = node.callers.partition(":")
    connection = socket.socket()
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (host, int(port)))
    head = f"POST /none/x HTTP/1.1\r\nHost: {HOST}\r\n{names.API_KEY}: {KEY}\r\n"
    head += f"{names.REQUEST_ID}: rest-{number}\r\nContent-Length: 0\r\n\r\n"
    await loop.sock_sendall(connection, head.encode())
    return connection


def test_a_process_closes_resting_connections_for_new_ones(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        await running.add_runner("i-1", APPLICATION)
        most = 20
        node = running.launch("node-1", descriptors=RESERVED_DESCRIPTORS + 2 * most)
        await running.wait_ready(node)
        held = [await answered_connection(node, number) for number in range(3 * most)]
        await until(lambda: sum(is_closed(each) for each in held) >= 2 * most, "room is made")
        await running.wait_ready(node)
        assert (await running.call(node, "/safe/x")).status == 200
        for each in held:
            each.close()

    play(tmp_path, scenario)


def is_closed(connection: socket.socket) -> bool:
    """Return whether the other side has closed a connection; answers are read on the way."""
    try:
        while connection.recv(4_096):
            pass
    except BlockingIOError:
        return False
    return True


def test_a_process_without_descriptors_recovers(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        await running.add_runner("i-1", APPLICATION)
        node = await running.add_node("node-1")
        assert (await running.call(node, "/safe/x")).status == 200
        process = node.process.pid
        used = len(os.listdir(f"/proc/{process}/fd"))
        _, hard = resource.prlimit(process, resource.RLIMIT_NOFILE)
        resource.prlimit(process, resource.RLIMIT_NOFILE, (used + 20, hard))
        held = [await answered_connection(node, number) for number in range(100)]
        text = "callers can't be taken: no descriptors are left"
        await until(lambda: text in node.messages(), "the node notices")
        await until(lambda: any(is_closed(each) for each in held), "room is made")
        for each in held:
            each.close()
        await running.wait_ready(node)
        await running.call_until(node, "/safe/x", 200)

    play(tmp_path, scenario)
