"""A node that reports ready accepts connections, also at the limit of its file descriptors."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from hillstack.daemon.connection_limiter import (
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
    """Open connections; a connection that is shut down is removed."""

    open: list[CallerConnection] = field(default_factory=list)
    now: float = 0.0
    relayed: int = 0

    def add(self, count: int, *, idle: bool) -> None:
        for _ in range(count):
            self.open.append(FakeConnection(self, Cycle(idle)))

    def limiter(self, max_connections: int) -> ConnectionLimiter:
        return ConnectionLimiter(
            max_connections, lambda: self.open, lambda: self.now, lambda: self.relayed
        )


class FakeConnection:
    def __init__(self, all_open: FakeConnections, cycle: Cycle) -> None:
        self._all = all_open
        self.cycle = cycle

    def shutdown(self) -> None:
        assert self.cycle.response_complete
        self._all.open.remove(self)


def test_the_connection_limit_leaves_descriptors_for_requests() -> None:
    assert max_caller_connections(4_100) == (4_100 - RESERVED_DESCRIPTORS) / 2
    assert max_caller_connections(10) == 1


def test_idle_connections_are_closed_for_new_ones() -> None:
    connections = FakeConnections()
    limiter = connections.limiter(100)
    connections.add(50, idle=False)
    connections.add(50, idle=True)
    assert limiter.can_accept() and len(connections.open) == 100
    connections.add(1, idle=True)
    assert limiter.is_full()
    assert limiter.can_accept()
    assert len(connections.open) == 100 * LOW_WATER_SHARE


def test_relayed_connections_take_the_place_of_callers() -> None:
    connections = FakeConnections()
    limiter = connections.limiter(100)
    connections.add(95, idle=True)
    connections.relayed = 10
    assert limiter.is_full() and limiter.can_accept()
    assert len(connections.open) == 100 * LOW_WATER_SHARE - 10


def test_a_node_without_idle_connections_is_not_ready() -> None:
    connections = FakeConnections()
    limiter = connections.limiter(100)
    connections.add(101, idle=False)
    assert not limiter.can_accept()
    assert len(connections.open) == 101
    del connections.open[10:]
    assert limiter.can_accept()


def test_a_node_is_not_ready_while_accepts_fail() -> None:
    connections = FakeConnections()
    limiter = connections.limiter(100)
    connections.add(10, idle=False)
    connections.add(10, idle=True)
    limiter.note_exhausted()
    limiter.note_exhausted()
    assert len(connections.open) == 10
    assert not limiter.can_accept()
    connections.now += EXHAUSTED_SECONDS
    assert limiter.can_accept()


def play(folder: Path, scenario: Callable[[Deployment], Awaitable[None]]) -> None:
    async def main() -> None:
        async with deployment(folder) as running:
            await scenario(running)

    asyncio.run(main())


async def answered_connection(node: NodeProcess, number: int) -> socket.socket:
    """Return a connection that becomes idle after one request."""
    host, _, port = node.callers.partition(":")
    connection = socket.socket()
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (host, int(port)))
    head = f"POST /none/x HTTP/1.1\r\nHost: {HOST}\r\n{names.API_KEY}: {KEY}\r\n"
    head += f"{names.REQUEST_ID}: rest-{number}\r\nContent-Length: 0\r\n\r\n"
    await loop.sock_sendall(connection, head.encode())
    return connection


def test_a_process_closes_idle_connections_for_new_ones(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        await running.add_runner("i-1", APPLICATION)
        max_connections = 20
        node = running.launch("node-1", descriptors=RESERVED_DESCRIPTORS + 2 * max_connections)
        await running.wait_ready(node)
        held = [await answered_connection(node, number) for number in range(3 * max_connections)]
        await until(
            lambda: sum(is_closed(each) for each in held) >= 2 * max_connections, "room is made"
        )
        await running.wait_ready(node)
        assert (await running.call(node, "/safe/x")).status == 200
        for each in held:
            each.close()

    play(tmp_path, scenario)


def is_closed(connection: socket.socket) -> bool:
    """Return whether the other side has closed a connection; reads and discards answers."""
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
