"""Fake runners that requests can crash, several nodes, and callers that retry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from hillstack.core.crash_ledger import CrashLedger
from hillstack.core.node_directory import NodeEntry
from hillstack.core.routing_table import RouteKind, RoutingTable
from hillstack.core.runner_pool import Runner, RunnerEntry
from hillstack.core.shared_retry_budget import SharedRetryBudget
from hillstack.core.store_revision import StoreRevision
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.peer_permits import PeerPermits
from hillstack.errors import (
    BackendBrokenError,
    ConnectionLostError,
    PlatformUnavailableError,
)
from hillstack.messages.datagrams import DatagramKind, wrap
from hillstack.messages.peer_notices import PlacementNotice
from hillstack.messages.runner_ends import RunnerEndNotice
from hillstack.serving.crash_knowledge import CrashKnowledge, Knowledge, PartKnowledge
from hillstack.serving.crash_permits import CrashPermits
from hillstack.serving.ledger_recorder import LedgerRecorder
from hillstack.serving.ledger_store import LimitedLedgerStore, StoredLedger
from hillstack.serving.permit_voter import PermitVoter
from hillstack.serving.pipeline import RequestPipeline
from hillstack.serving.placement import RunnerPlacement
from hillstack.serving.run_survival import RunSurvival
from hillstack.serving.store_events import (
    CrashLedgerChanged,
    PartLedgerChanged,
    RunnerListed,
    RunnerUnlisted,
    StoreEvent,
)
from hillstack.serving.suspect_permits import PermitServices
from hillstack.serving.types import (
    Dispatch,
    HeaderList,
    RefusalCause,
    RejectedError,
    RunnerRefusedError,
    ServingRequest,
    StreamCutError,
    Verdict,
)
from hillstack.simulation.virtual_loop import Scheduler
from tests.fleet.builders import (
    APPLICATION,
    ENGINES,
    make_entry,
    make_request,
    make_rng,
    make_route,
    make_state,
    make_table,
)
from tests.fleet.fake_runners import FakeLimiter, FakeSink

# Age at which a fatal run crashes its runner.
FATAL_AGE_SECONDS = 0.115
EVENT_SECONDS = 0.02
FIRST_EVENT_SECONDS = 0.03
NOTICE_SECONDS = 0.002
STORE_SECONDS = 0.004
PARTS = (("shared", 2_000), ("own", 500))
# Beginning of the identifiers of parts that crash each runner which begins an answer on them.
FATAL_PART = "fatal"

Result = TypeVar("Result")
LedgerChange = type[CrashLedgerChanged] | type[PartLedgerChanged]


def is_fatal(request: ServingRequest) -> bool:
    """Return whether a request crashes its runners, by its body or by a shared part."""
    if request.body.startswith(b"fatal"):
        return True
    return request.shape is not None and any(
        part.part_id.startswith(FATAL_PART) for part in request.shape.shared
    )


class CutConnectionError(Exception):
    """Signals a run that only its own connection is cut."""


@dataclass
class FakeRunner:
    """A process that crashes when a fatal request has run on it for a while."""

    runner_id: str
    clock: Callable[[], float]
    is_alive: bool = True
    runs: list[asyncio.Future[None]] = field(default_factory=list)
    served: list[str] = field(default_factory=list)
    running_bodies: list[bytes] = field(default_factory=list)
    run_of_request: dict[str, asyncio.Future[None]] = field(default_factory=dict)
    crashed_at: float | None = None
    # Bodies of the requests that were running at the crash.
    bodies_at_crash: list[bytes] = field(default_factory=list)
    # Seconds from the crash to the end of a silent connection, by run; 0 for all other runs.
    silent_seconds: dict[asyncio.Future[None], float] = field(default_factory=dict)

    def crash(self) -> None:
        if not self.is_alive:
            return
        self.is_alive = False
        self.crashed_at = self.clock()
        self.bodies_at_crash = list(self.running_bodies)
        for run in self.runs:
            self._break_connection(run)

    def _break_connection(self, run: asyncio.Future[None]) -> None:
        def end() -> None:
            if not run.done():
                run.set_result(None)

        silent_seconds = self.silent_seconds.get(run, 0.0)
        if silent_seconds:
            asyncio.get_running_loop().call_later(silent_seconds, end)
        else:
            end()

    def cut_connection(self, number: int = 0) -> None:
        """Cut one connection; the process keeps running."""
        run = [run for run in self.runs if not run.done()][number]
        run.set_exception(CutConnectionError())

    def cut_connection_of(self, request_id: str) -> None:
        """Cut the connection of one request; the process keeps running."""
        run = self.run_of_request.get(request_id)
        if run is not None and not run.done():
            run.set_exception(CutConnectionError())


class FakeRun:
    """An answer that continues until its events are sent, its runner crashes, or it is closed."""

    def __init__(
        self,
        runners: FakeRunners,
        runner: FakeRunner,
        request: ServingRequest,
        dispatch: Dispatch,
        events: int,
    ) -> None:
        self._runner = runner
        self._request = request
        self._number = dispatch.last_event_id or 0
        self._last = events
        self._ended_future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.status = 200
        self.signed = True
        self.headers: HeaderList = [(b"signature", b"s")]
        self._next_at = asyncio.get_running_loop().time() + FIRST_EVENT_SECONDS
        self._continues_abandoned_runs = runners.continues_abandoned_runs
        runner.runs.append(self._ended_future)
        runner.silent_seconds[self._ended_future] = runners.silent_seconds.get(
            request.request_id, 0.0
        )
        runner.run_of_request[request.request_id] = self._ended_future
        runner.running_bodies.append(request.body)
        runner.served.append(request.request_id)
        self._timer: asyncio.TimerHandle | None = None
        if is_fatal(request):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(runners.fatal_age_seconds, runner.crash)

    async def next_piece(self) -> bytes:
        if self._number >= self._last:
            return b""
        await self._wait_until(self._next_at)
        self._number += 1
        self._next_at += EVENT_SECONDS
        return b"id: %d\ndata: x\n\n" % self._number

    async def whole_body(self) -> bytes:
        while await self.next_piece():
            pass
        return b"whole"

    def close(self) -> None:
        if self._timer is not None and self._continues_abandoned_runs:
            return
        if self._timer is not None:
            self._timer.cancel()
        if self._request.body in self._runner.running_bodies:
            self._runner.running_bodies.remove(self._request.body)
        if self._ended_future in self._runner.runs:
            self._runner.runs.remove(self._ended_future)
        if self._ended_future.done():
            self._ended_future.exception()

    async def _wait_until(self, when: float) -> None:
        left = when - asyncio.get_running_loop().time()
        await asyncio.wait({self._ended_future}, timeout=max(0.0, left))
        if not self._runner.is_alive and not self._ended_future.done():
            await asyncio.wait({self._ended_future})
        if self._ended_future.done():
            raise ConnectionLostError("reset", step="relay", peer=self._runner.runner_id)


class FakeRunners:
    """All runners, as seen by a client.

    Attributes:
        events: Number of events of a stream, by the first word of the request body.
        continues_abandoned_runs: Whether a runner continues a fatal request, and crashes, after
            the caller has left.
        arrivals: Time and body of each request that has reached a runner.
        fatal_age_seconds: Age at which a fatal run crashes its runner.
        silent_seconds: How long the connections of a request stay silent after their runner
            crashed, by request identifier.
    """

    def __init__(self, runner_ids: list[str], clock: Callable[[], float]) -> None:
        self.by_id = {runner_id: FakeRunner(runner_id, clock) for runner_id in runner_ids}
        self.events = {b"long": 400, b"short": 10}
        self.heads: dict[str, int] = {}
        self.continues_abandoned_runs = False
        self.arrivals: list[tuple[float, bytes]] = []
        self.fatal_age_seconds = FATAL_AGE_SECONDS
        self.silent_seconds: dict[str, float] = {}

    async def send(self, request: ServingRequest, dispatch: Dispatch) -> FakeRun:
        runner = self.by_id[dispatch.runner_id]
        await asyncio.sleep(0.001)
        if not runner.is_alive:
            raise RunnerRefusedError(
                "no connection",
                step="connect",
                peer=runner.runner_id,
                cause=RefusalCause.UNREACHABLE,
            )
        word = request.body.split(b" ")[0]
        self.arrivals.append((asyncio.get_running_loop().time(), request.body))
        run = FakeRun(self, runner, request, dispatch, self.events.get(word, 20))
        if dispatch.salt is None:
            # An application server sends the head when its work is finished.
            try:
                await run._wait_until(asyncio.get_running_loop().time() + 0.15)
            except BackendBrokenError:
                run.close()
                raise
        return run

    async def answers_call(self, runner: Runner) -> bool:
        """Return whether a runner answers a call over a new connection."""
        await asyncio.sleep(0.001)
        return self.by_id[runner.runner_id].is_alive

    def ended(self) -> list[FakeRunner]:
        return [runner for runner in self.by_id.values() if not runner.is_alive]

    def crashes_under(self, body: bytes) -> list[float]:
        """Return the times of the crashes of runners that were running a request, in order."""
        ended = [runner for runner in self.ended() if body in runner.bodies_at_crash]
        return sorted(runner.crashed_at for runner in ended if runner.crashed_at is not None)

    def crash_count(self, body: bytes) -> int:
        return sum(body in runner.bodies_at_crash for runner in self.by_id.values())


class FakeLedgers:
    """The ledgers of all nodes in the store, as read and written by one node."""

    def __init__(self, world: World, name: str, change: LedgerChange = CrashLedgerChanged) -> None:
        self._world = world
        self._name = name
        self._change = change
        self._ledgers = world.ledgers if change is CrashLedgerChanged else world.part_ledgers

    async def read(self, fingerprint: int) -> StoredLedger:
        return await self._call(lambda: self._stored(fingerprint))

    async def write(self, fingerprint: int, ledger: CrashLedger, expected: StoreRevision) -> bool:
        return await self._call(lambda: self._write(fingerprint, ledger, expected))

    async def remove(self, fingerprint: int) -> None:
        await self._call(lambda: self._remove(fingerprint))

    def _stored(self, fingerprint: int) -> StoredLedger:
        return self._ledgers.get(fingerprint, StoredLedger(CrashLedger()))

    def _write(self, fingerprint: int, ledger: CrashLedger, expected: StoreRevision) -> bool:
        if self._stored(fingerprint).revision != expected:
            return False
        self._world.ledger_writes += 1
        revision = StoreRevision(0, self._world.ledger_writes)
        self._ledgers[fingerprint] = StoredLedger(ledger, revision)
        self._notify(fingerprint, ledger)
        return True

    def _remove(self, fingerprint: int) -> None:
        self._world.ledger_writes += 1
        self._ledgers.pop(fingerprint, None)
        self._notify(fingerprint, None)

    async def _call(self, effect: Callable[[], Result]) -> Result:
        """Call the store, which also handles calls whose caller no longer waits."""
        handling = asyncio.ensure_future(self._handle(effect))
        handling.add_done_callback(lambda done: done.cancelled() or done.exception())
        return await asyncio.shield(handling)

    async def _handle(self, effect: Callable[[], Result]) -> Result:
        one_way = self._world.store_seconds(self._name) / 2
        await asyncio.sleep(one_way)
        if not self._world.reaches_store(self._name):
            raise PlatformUnavailableError("no connection", step="call", peer="store")
        result = effect()
        await asyncio.sleep(one_way)
        return result

    def _notify(self, fingerprint: int, ledger: CrashLedger | None) -> None:
        world = self._world
        event = self._change(fingerprint, ledger)
        for node in world.nodes.values():
            name = node.state.node_id
            if not world.reaches_store(name):
                continue

            def apply(node: Node = node) -> None:
                node.state.apply(event, world.scheduler.now)

            world.scheduler.at(world.scheduler.now + world.store_seconds(name) / 2, apply)


class FakeLink(PeerLink):
    """Delivers the datagrams of one node like its notices."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__()
        self._world = world
        self._name = name

    def send_to_all(self, kind: DatagramKind, payload: bytes, addresses: Iterable[str]) -> None:
        for address in addresses:
            node = self._world.nodes.get(_name_at(address))
            if node is None or node not in self._world.reached_from(self._name):
                continue
            delay = self._world.notice_seconds(self._name, node)
            if delay is not None:
                self._deliver(node, wrap(kind, payload), delay)

    def _deliver(self, node: Node, datagram: bytes, delay: float) -> None:
        def receive() -> None:
            self._world.loop.call_soon(node.link.datagram_received, datagram, (self._name, 0))

        self._world.scheduler.at(self._world.scheduler.now + delay, receive)


class _PeerNotifier:
    """Delivers the notices of one node to the other nodes."""

    def __init__(self, world: World, name: str) -> None:
        self._world = world
        self._name = name

    def placed(self, notice: PlacementNotice) -> None:
        return

    def prompt_prefilled(self, number: int) -> None:
        return

    def load_changed(self, runner: Runner) -> None:
        load = runner.attempts.load()
        for node in self._world.reached_from(self._name):
            known = node.state.pool.get(runner.runner_id)
            if known is not None:
                now = self._world.scheduler.now
                node.state.pool.note_peer_load(known, self._name, load, now)

    def suspected(self, runner: Runner) -> None:
        return

    def report_runner_crash(self, notice: RunnerEndNotice) -> None:
        if self._world.notices_to_drop > 0:
            self._world.notices_to_drop -= 1
            return
        for node in self._world.reached_from(self._name):
            self._world.deliver(self._name, node, notice)

    def send_runner_crashes(self, node_id: str, notices: list[RunnerEndNotice]) -> None:
        node = self._world.nodes[node_id]
        for notice in notices:
            self._world.deliver(self._name, node, notice)


@dataclass
class Outcome:
    """The outcome of one try of a caller."""

    sink: FakeSink
    task: asyncio.Task[Any]

    @property
    def error(self) -> BaseException | None:
        assert self.task.done()
        return self.task.exception()

    @property
    def is_served(self) -> bool:
        return self.task.done() and self.error is None and self.sink.finished

    def verdict(self) -> Verdict | str:
        error = self.error
        if isinstance(error, RejectedError):
            return error.verdict
        return "cut" if isinstance(error, StreamCutError) else "served"


class World:
    """Runners, nodes and callers in virtual time.

    Args:
        runners: Number of runners.
        nodes: Number of nodes.
        application: Whether the runners are application servers.
        unsafe: Whether requests to the application may run at most once.
        lists_later_nodes: Whether a node also knows the nodes that were added after it. Suspects
            are sent in an order of the known nodes, so without them the first node is first.
    """

    def __init__(
        self,
        runners: int,
        nodes: int,
        *,
        application: bool = False,
        unsafe: bool = False,
        lists_later_nodes: bool = False,
    ) -> None:
        self.lists_later_nodes = lists_later_nodes
        self.scheduler = Scheduler()
        self.loop = self.scheduler.new_loop()
        self.runners = FakeRunners(
            [f"i-{number}" for number in range(runners)], self.scheduler.clock
        )
        self.application = application
        self._table = _make_table(application, unsafe)
        self.nodes: dict[str, Node] = {}
        self.notices_to_drop = 0
        self.partitioned_nodes: set[str] = set()
        self.ledgers: dict[int, StoredLedger] = {}
        self.part_ledgers: dict[int, StoredLedger] = {}
        self.ledger_writes = 0
        # How long a node's connections stay silent after their runner crashed.
        self.silent_seconds: dict[str, float] = {}
        self._tries = 0
        for number in range(nodes):
            self.add_node(f"node-{number}")

    def add_node(self, name: str) -> Node:
        node = self.nodes[name] = Node(self, name, self._table)
        return node

    def reached_from(self, name: str) -> list[Node]:
        """Return the nodes that a node can reach: those on its side of a network partition."""
        return [
            node
            for other, node in self.nodes.items()
            if other != name
            and (other in self.partitioned_nodes) == (name in self.partitioned_nodes)
        ]

    def notice_seconds(self, source: str, node: Node) -> float | None:
        """Return the latency of a notice between two nodes; None if it is lost."""
        return NOTICE_SECONDS

    def reaches_store(self, name: str) -> bool:
        """Return whether a node reaches the store."""
        return True

    def store_seconds(self, name: str) -> float:
        """Return how long a call of a node to the store takes."""
        return STORE_SECONDS

    def is_isolated(self, name: str) -> bool:
        """Return whether a node receives nothing from another region."""
        return False

    def deliver(self, source: str, node: Node, notice: RunnerEndNotice) -> None:
        delay = self.notice_seconds(source, node)
        if delay is None:
            return

        def take() -> None:
            self.loop.call_soon(
                node.pipeline.runner_crashes.observe, source, notice, self.scheduler.now
            )

        self.scheduler.at(self.scheduler.now + delay, take)

    def send(
        self,
        node: str,
        body: bytes,
        *,
        path: str = "",
        query: str = "",
        model: str = "",
        parts: tuple[tuple[str, int], ...] = PARTS,
    ) -> Outcome:
        """Begin a try of a caller, with a separate request identifier."""
        self._tries += 1
        parts = () if self.application and parts is PARTS else parts
        path = path or ("/app/x" if self.application else "/gen/x")
        request = make_request(path, request_id=f"r-{self._tries}", parts=parts, patience=10.0)
        request.target = f"{path}?{query}" if query else path
        request.model = model or request.model
        request.body = body
        request.arrived_at = self.scheduler.now
        self.runners.silent_seconds[request.request_id] = self.silent_seconds.get(node, 0.0)
        sink = FakeSink()
        at = self.nodes[node]
        at.state.freshness.prove(self.scheduler.now)
        task = self.scheduler.spawn(self.loop, at.pipeline.serve(request, sink))
        return Outcome(sink, task)

    def lose_ledgers(self) -> None:
        """Remove all ledgers, as a store does that is restored from an older copy."""
        events: list[StoreEvent] = [
            *(CrashLedgerChanged(fingerprint, None) for fingerprint in self.ledgers),
            *(PartLedgerChanged(part, None) for part in self.part_ledgers),
        ]
        for event in events:
            for node in self.nodes.values():
                node.state.apply(event, self.scheduler.now)
        self.ledgers.clear()
        self.part_ledgers.clear()

    def start_runner(self, runner_id: str) -> None:
        """Start a runner and list it on all nodes immediately."""
        self.runners.by_id[runner_id] = FakeRunner(runner_id, self.scheduler.clock)
        for node in self.nodes.values():
            node.state.apply(RunnerListed(self.entry(runner_id)), self.scheduler.now)

    def entry(self, runner_id: str) -> RunnerEntry:
        """Return the directory entry of a runner."""
        service = APPLICATION if self.application else ENGINES
        return make_entry(runner_id, service, weights=0 if self.application else 1)

    def unlist_runner(self, runner_id: str) -> None:
        """Remove a runner from the directory of all nodes."""
        for node in self.nodes.values():
            node.state.apply(RunnerUnlisted(runner_id), self.scheduler.now)

    def run(self, seconds: float) -> None:
        self.scheduler.run_until(self.scheduler.now + seconds)

    def try_until_done(
        self,
        node: str,
        body: bytes,
        within: float = 3.0,
        parts: tuple[tuple[str, int], ...] = PARTS,
    ) -> Outcome:
        outcome = self.send(node, body, parts=parts)
        for _ in range(int(within / 0.005)):
            if outcome.task.done():
                break
            self.run(0.005)
        assert outcome.task.done()
        return outcome


class Node:
    """State, placement and pipeline of one node."""

    def __init__(self, world: World, name: str, table: RoutingTable) -> None:
        entries = [world.entry(name) for name in world.runners.by_id]
        self.state = make_state(table, *entries)
        self.state.node_id = name
        self.state.budget = SharedRetryBudget(1.0, 1_000.0, 10.0)
        for other in (*world.nodes, name):
            self.state.nodes.list_node(_entry_of(other))
        if world.lists_later_nodes:
            for node in world.nodes.values():
                node.state.nodes.list_node(_entry_of(name))
        self.placement = RunnerPlacement(
            self.state, _PeerNotifier(world, name), "zone-a", make_rng()
        )
        self.pipeline = RequestPipeline(
            self.state, world.runners, self.placement, world.scheduler.clock, FakeLimiter()
        )
        clock = world.scheduler.clock
        ledgers = LimitedLedgerStore(FakeLedgers(world, name))
        knowledge = CrashKnowledge(self.state.runner_crashes, self.state.crash_ledgers, clock)
        parts = PartKnowledge(
            self.state.part_crashes, self.state.runner_crashes, self.state.part_ledgers, clock
        )
        voter = PermitVoter(self.state.runner_crashes, knowledge, parts, clock)
        self.link = FakeLink(world, name)
        self.peers = PeerPermits(self.state, voter, self.link)
        survival = RunSurvival(self.state.pool, clock, world.runners.answers_call)

        def make_services(
            of: Knowledge, ledgers: LimitedLedgerStore, parts: PermitServices | None = None
        ) -> PermitServices:
            return PermitServices(
                of,
                CrashPermits(ledgers, name, clock, lambda: world.is_isolated(name), self.peers),
                self.peers,
                LedgerRecorder(ledgers, lambda work: world.scheduler.spawn(world.loop, work)),
                survival,
                parts,
            )

        part_ledgers = LimitedLedgerStore(FakeLedgers(world, name, PartLedgerChanged))
        services = make_services(knowledge, ledgers, make_services(parts, part_ledgers))
        self.pipeline.runner_crashes.set_permits(services)
        for fingerprint, stored in world.ledgers.items():
            self.state.apply(CrashLedgerChanged(fingerprint, stored.ledger), world.scheduler.now)
        for part, stored in world.part_ledgers.items():
            self.state.apply(PartLedgerChanged(part, stored.ledger), world.scheduler.now)


def _entry_of(name: str) -> NodeEntry:
    return NodeEntry(name, f"{name}:1", "zone-a")


def _name_at(address: str) -> str:
    return address.rpartition(":")[0]


def _make_table(application: bool, unsafe: bool) -> RoutingTable:
    if not application:
        route = make_route(
            RouteKind.STREAM, prefix="/gen/", service=ENGINES, resumable=True, timeout=10.0
        )
        once = make_route(
            RouteKind.STREAM, prefix="/once/", service=ENGINES, attempts=1, timeout=10.0
        )
        return make_table(route, once)
    if unsafe:
        return make_table(make_route(RouteKind.UNSAFE, attempts=1))
    return make_table(make_route())
