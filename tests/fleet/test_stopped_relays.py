"""A relay is stopped after its origin reaches the runner again, over sockets."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from hillstack import clock
from hillstack.core.node_directory import NodeEntry
from hillstack.core.routing_table import RouteKind
from hillstack.core.runner_paths import RunnerPaths
from hillstack.daemon.connection_relay import ConnectionRelay
from hillstack.daemon.relay_targets import RelayTargets
from hillstack.daemon.relayed_link import RelayRoute
from hillstack.platform.connections import make_runner_session, make_socket
from hillstack.platform.runner_connector import RunnerConnector
from hillstack.platform.runners import HttpRunnerClient
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.metrics import FleetMetrics
from hillstack.serving.pipeline import RequestPipeline
from hillstack.serving.placement import RunnerPlacement
from hillstack.serving.store_events import RunnerListed
from tests.fleet.builders import (
    ENGINES,
    make_entry,
    make_request,
    make_rng,
    make_route,
    make_state,
    make_table,
)
from tests.fleet.fake_runners import FakeLimiter, FakePeers, FakeSink
from tests.fleet.test_connection_relay import _at, until
from tests.fleet.test_connections import head, read_request

RUNNERS = ("i-1", "i-22")
CONTACT_SECONDS = 0.05
RELAY = "node-0"


class Direct:
    """Observes direct connections as the node's monitor does."""

    def __init__(self, paths: RunnerPaths) -> None:
        self._paths = paths

    def handle_contact(self, address: str) -> None:
        self._paths.record_contact(address, clock.seconds())

    def handle_broken(self, address: str) -> None:
        pass


@dataclass
class Stage:
    """Two engines, and a node whose connections a peer relays while its paths are lost.

    Attributes:
        runs: The runners in the order in which they got the request.
        open: The runners that work on it.
        overlaps: The sets of runners that worked on it at a time.
    """

    state: FleetState
    paths: RunnerPaths
    relay: ConnectionRelay | None = None
    runs: list[str] = field(default_factory=list)
    open: list[str] = field(default_factory=list)
    overlaps: list[set[str]] = field(default_factory=list)
    route: Callable[[str], RelayRoute] | None = None

    async def serve(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request = await read_request(reader)
        request_id = request.lower().split(b"request-id: ")[1].split(b"\r\n")[0].decode()
        self.runs.append(name)
        self.open.append(name)
        self.overlaps.append(set(self.open))
        is_first = len(self.runs) == 1
        event = b"id: 1\ndata: x\n\n" if is_first else b"id: 2\ndata: y\n\n"
        writer.write(head(request_id, "Transfer-Encoding: chunked"))
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        if not is_first:
            writer.write(b"0\r\n\r\n")
        # Works on until its connection is closed.
        await reader.read()
        self.open.remove(name)
        writer.close()

    async def dial(
        self,
        address: str,
        direct: Callable[[], Awaitable[Any]],
        relayed: Callable[[RelayRoute], Awaitable[Any]],
        close: Callable[[Any], None],
    ) -> Any:
        assert self.route is not None
        return await (relayed(self.route(address)) if self.paths.is_lost(address) else direct())

    def restore_paths(self) -> None:
        for address in list(self.paths.lost):
            self.paths.restore(address)

    def stop_relay(self) -> None:
        """Let the relay process nothing any more, as a stopped process does."""
        assert self.relay is not None
        for origin in self.relay._origins:
            assert origin.transport is not None and origin._runner is not None
            assert origin._runner.transport is not None
            origin.transport.pause_reading()
            origin._runner.transport.pause_reading()

    async def keep_receiving(self) -> None:
        """Receive bytes of all runners over other connections of this node."""
        while True:
            now = clock.seconds()
            self.state.freshness.prove(now)
            for runner in self.state.pool.all():
                self.state.pool.record_contact(runner, now)
                if not self.paths.is_lost(runner.address):
                    self.paths.record_contact(runner.address, now)
            await asyncio.sleep(CONTACT_SECONDS)


async def play(use: Callable[[Stage, FakeSink], Awaitable[None]]) -> tuple[Stage, FakeSink]:
    """Serve a stream that begins through a relay, and change its world meanwhile."""
    route = make_route(RouteKind.STREAM, service=ENGINES, resumable=True, attempts=2)
    state = make_state(make_table(route))
    paths = RunnerPaths("node-1", "zone-a")
    stage = Stage(state, paths)
    servers: list[asyncio.Server] = []
    ids: dict[str, str] = {}
    for name in RUNNERS:
        server = await asyncio.start_server(functools.partial(stage.serve, name), "127.0.0.1", 0)
        servers.append(server)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        ids[address] = name
        state.apply(RunnerListed(_at(make_entry(name, ENGINES, weights=1), address)), 0.0)
        paths.mark_lost(address, clock.seconds(), 100.0)
    state.nodes.list_node(NodeEntry("node-1", "127.0.0.1:1", "zone-a"))
    relay = stage.relay = ConnectionRelay(
        state,
        RunnerPaths(RELAY, "zone-a"),
        RelayTargets(state),
        FleetMetrics(),
        make_socket,
        4,
        clock.seconds,
    )
    await relay.listen("127.0.0.1", 0)
    assert relay._server is not None
    port = relay._server.sockets[0].getsockname()[1]
    stage.route = lambda address: RelayRoute(RELAY, f"127.0.0.1:{port}", ids[address], address)
    connector = RunnerConnector(
        "node-1",
        stage,  # type: ignore[arg-type]
        Direct(paths),
        paths,
        left_runs=state.left_relayed_runs,
    )
    session = make_runner_session(connector)
    pipeline = RequestPipeline(
        state,
        HttpRunnerClient(session),
        RunnerPlacement(state, FakePeers(), "zone-a", make_rng()),
        clock.seconds,
        FakeLimiter(),
    )
    sink = FakeSink()
    request = make_request(patience=8.0, parts=(("own", 100),))
    request.arrived_at = clock.seconds()
    receiving = asyncio.create_task(stage.keep_receiving())
    serving = asyncio.create_task(pipeline.serve(request, sink))
    try:
        async with asyncio.timeout(10):
            await until(lambda: b"id: 1" in sink.body)
            await use(stage, sink)
            await serving
    finally:
        receiving.cancel()
        serving.cancel()
        relay.close()
        await session.close()
        for server in servers:
            server.close()
    return stage, sink


# The request went on at another runner, while only the stopped relay could end its first run.
def test_a_request_that_leaves_a_stopped_relay_goes_on_at_its_runner() -> None:
    async def use(stage: Stage, sink: FakeSink) -> None:
        stage.restore_paths()
        stage.stop_relay()

    stage, sink = asyncio.run(play(use))
    assert sink.finished and b"id: 2" in sink.body
    assert len(stage.runs) == 2
    assert all(len(runners) == 1 for runners in stage.overlaps), stage.overlaps


# Guards against a request that keeps to a runner which its own node does not reach.
def test_a_request_that_leaves_a_stopped_relay_in_a_cut_goes_on_at_another_runner() -> None:
    async def use(stage: Stage, sink: FakeSink) -> None:
        (first,) = stage.open
        stage.stop_relay()
        for address in list(stage.paths.lost):
            runner = next(each for each in stage.state.pool.all() if each.address == address)
            if runner.runner_id != first:
                stage.paths.restore(address)

    stage, sink = asyncio.run(play(use))
    assert sink.finished and b"id: 2" in sink.body
    assert len(set(stage.runs)) == 2


# Guards against a run that goes on beside the next one, although its relay works.
def test_a_relay_that_works_ends_the_run_that_is_left() -> None:
    async def use(stage: Stage, sink: FakeSink) -> None:
        stage.restore_paths()
        await until(lambda: len(stage.runs) == 2)
        await until(lambda: len(stage.open) <= 1)

    stage, sink = asyncio.run(play(use))
    assert sink.finished and b"id: 2" in sink.body
    assert all(len(runners) == 1 for runners in stage.overlaps), stage.overlaps
