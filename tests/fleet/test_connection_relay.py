"""Relayed connections over sockets: what passes, how they end, and what is refused."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from hillstack import clock
from hillstack.core.node_directory import NodeEntry
from hillstack.core.runner_paths import RunnerPaths
from hillstack.daemon.connection_relay import BUFFER_BYTES, ConnectionRelay
from hillstack.daemon.relay_targets import RelayTargets
from hillstack.daemon.relayed_link import RelayLostError, RelayRoute, open_relayed
from hillstack.errors import RelayError
from hillstack.platform.connections import make_socket
from hillstack.serving.metrics import FleetMetrics
from hillstack.serving.store_events import RunnerListed
from tests.fleet.builders import make_entry, make_route, make_state, make_table
from tests.fleet.test_connections import reset

ORIGIN = "node-0"
RUNNER = "i-1"
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Recorder(asyncio.Protocol):
    """Records what the origin receives."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.received = b""
        self.lost = asyncio.Event()
        self.error: Exception | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.error = exc
        self.lost.set()


@dataclass
class World:
    """A relay, a runner behind it, and the way there."""

    relay: ConnectionRelay
    paths: RunnerPaths
    route: RelayRoute
    recorder: Recorder
    closing: list[bool] = field(default_factory=list)

    async def open(self, node_id: str = ORIGIN) -> Recorder:
        await open_relayed(
            self.route, node_id, make_socket, self.recorder, lambda: self.closing.append(True)
        )
        return self.recorder


def run_world(
    serve: Serve,
    use: Callable[[World], Awaitable[None]],
    *,
    draining: bool = False,
    max_connections: int = 4,
    node_host: str = "127.0.0.1",
) -> None:
    async def run() -> None:
        runner = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{runner.sockets[0].getsockname()[1]}"
        state = make_state(make_table(make_route()))
        entry = make_entry(RUNNER, draining=draining)
        state.apply(RunnerListed(_at(entry, address)), 0.0)
        state.nodes.list_node(NodeEntry(ORIGIN, f"{node_host}:1", "zone-a"))
        paths = RunnerPaths("node-1", "zone-a")
        relay = ConnectionRelay(
            state,
            paths,
            RelayTargets(state),
            FleetMetrics(),
            make_socket,
            max_connections,
            clock.seconds,
        )
        await relay.listen("127.0.0.1", 0)
        assert relay._server is not None
        port = relay._server.sockets[0].getsockname()[1]
        route = RelayRoute("node-1", f"127.0.0.1:{port}", RUNNER, address)
        try:
            async with asyncio.timeout(20):
                await use(World(relay, paths, route, Recorder()))
        finally:
            relay.close()
            runner.close()

    asyncio.run(run())


def _at(entry: Any, address: str) -> Any:
    return type(entry)(
        **{name: getattr(entry, name) for name in entry.__slots__} | {"address": address}
    )


async def until(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.01)


async def echo_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(b"got " + await reader.readexactly(5))
    await writer.drain()


def test_bytes_pass_both_ways_and_an_end_stays_an_end() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await echo_once(reader, writer)
        writer.close()

    async def use(world: World) -> None:
        recorder = await world.open()
        recorder.transport.write(b"hello")
        await recorder.lost.wait()
        assert recorder.received == b"got hello" and recorder.error is None
        assert world.paths.contact_at(world.route.target_address) > 0

    run_world(serve, use)


def test_a_reset_of_the_runner_stays_a_reset() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await echo_once(reader, writer)
        await reader.readexactly(1)
        reset(writer)

    async def use(world: World) -> None:
        recorder = await world.open()
        recorder.transport.write(b"hello")
        await until(lambda: recorder.received == b"got hello")
        recorder.transport.write(b"x")
        await recorder.lost.wait()
        assert isinstance(recorder.error, ConnectionResetError)
        assert recorder.error.errno == errno.ECONNRESET

    run_world(serve, use)


def test_the_loss_of_the_relay_is_no_reset_of_the_runner() -> None:
    async def use(world: World) -> None:
        recorder = await world.open()
        world.relay.close()
        await recorder.lost.wait()
        assert isinstance(recorder.error, RelayLostError)

    run_world(wait_for_end, use)


ended: list[str] = []


async def wait_for_end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        await reader.read()
        ended.append("closed")
    except ConnectionError:
        ended.append("reset")
    writer.close()


@pytest.mark.parametrize("by", ["close", "abort"])
def test_the_relay_closes_the_connection_to_the_runner_when_the_origin_leaves(by: str) -> None:
    ended.clear()

    async def use(world: World) -> None:
        recorder = await world.open()
        getattr(recorder.transport, by)()
        await until(lambda: bool(ended))
        await until(lambda: world.relay.open_count == 0)

    run_world(wait_for_end, use)


def check_refused(
    text: str,
    change: Callable[[World], object] = lambda _: None,
    *,
    node_id: str = ORIGIN,
    **world: Any,
) -> None:
    async def use(made: World) -> None:
        change(made)
        with pytest.raises(RelayError, match=text):
            await made.open(node_id)
        assert made.recorder.transport is None
        await until(lambda: made.relay.open_count == 0)

    run_world(wait_for_end, use, **world)


def test_a_target_is_never_an_address_of_the_origins_choice() -> None:
    def aim_at_address(world: World) -> None:
        route = world.route
        world.route = RelayRoute(
            route.node_id, route.relay_address, route.target_address, route.target_address
        )

    check_refused("unknown_target", aim_at_address)


def test_a_runner_that_is_leaving_gets_no_relayed_connection() -> None:
    check_refused("unknown_target", draining=True)


def test_a_node_that_is_not_listed_is_refused() -> None:
    check_refused("not_allowed", node_id="node-9")


def test_a_node_that_connects_from_another_address_is_refused() -> None:
    check_refused("not_allowed", node_host="127.0.0.9")


def test_a_relay_that_lost_the_path_itself_does_not_use_another_relay() -> None:
    check_refused(
        "not_reached", lambda world: world.paths.mark_lost(world.route.target_address, 1.0, 1.0)
    )


def test_relayed_connections_are_bounded() -> None:
    check_refused("busy", max_connections=0)


def test_a_stopping_relay_announces_it_and_accepts_no_further_connection() -> None:
    async def use(world: World) -> None:
        recorder = await world.open()
        world.relay.stop_accepting()
        await until(lambda: bool(world.closing))
        assert not recorder.lost.is_set() and not world.relay.accepts
        recorder.transport.write(b"hello")
        await until(lambda: recorder.received == b"got hello")

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await echo_once(reader, writer)
        await reader.read()

    run_world(serve, use)


def test_a_slow_origin_pauses_the_runner() -> None:
    sent: list[int] = []
    total = 64 * BUFFER_BYTES

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(1)
        for _ in range(total // BUFFER_BYTES):
            writer.write(b"x" * BUFFER_BYTES)
            await writer.drain()
            sent.append(BUFFER_BYTES)
        writer.close()

    async def use(world: World) -> None:
        recorder = await world.open()
        recorder.transport.pause_reading()
        recorder.transport.write(b"x")
        before = -1
        while before != len(sent):
            before = len(sent)
            await asyncio.sleep(0.3)
        (origin,) = world.relay._origins
        assert origin.transport is not None
        # One read of the event loop may come on top of the limit.
        assert origin.transport.get_write_buffer_size() <= 6 * BUFFER_BYTES
        recorder.transport.resume_reading()
        await recorder.lost.wait()
        assert len(recorder.received) == total

    run_world(serve, use)
