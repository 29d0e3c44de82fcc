"""A network of nodes that exchange datagrams and poll one store, in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import msgspec

from hillstack.core.bucket_holders import BucketHolders
from hillstack.core.node_directory import NodeEntry
from hillstack.core.relay_choice import RelayChoice
from hillstack.core.routing_table import RoutingTable
from hillstack.core.runner_load import OwnAttempt
from hillstack.core.store_era import STORE, StoreEra
from hillstack.core.store_revision import StoreRevision
from hillstack.core.tenant_limits import LimitTolerance
from hillstack.core.token_buckets import TokenBuckets
from hillstack.core.token_leases import TokenLeases
from hillstack.core.topology import Topology
from hillstack.daemon.change_log import ChangeLog, ListedKeys, StoreChange, StoredItem
from hillstack.daemon.limit_client import LEASE_SECONDS, LimitClient
from hillstack.daemon.limit_holder import LimitHolder
from hillstack.daemon.limit_scopes import RUNNER_START_SHARE, RUNNER_TOLERANCE, runner_scope
from hillstack.daemon.node_registry import NodeRegistry
from hillstack.daemon.peer_exchange import PeerExchange
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.store_check import StoreCheck
from hillstack.daemon.store_relay import StoreRelay
from hillstack.daemon.store_sync import StoreSync
from hillstack.errors import (
    HistoryLostError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from hillstack.messages.peer_notices import PlacementNotice
from hillstack.platform import names
from hillstack.platform.bodies import NodeBody
from hillstack.platform.formats import listed_keys, to_event
from hillstack.platform.store import CALL_LIMIT_SECONDS, Changes, Snapshot
from hillstack.serving.fleet_state import MAX_NODES, FleetState
from hillstack.simulation.virtual_loop import Scheduler, VirtualLoop
from tests.fleet.builders import (
    ENGINES,
    make_entry,
    make_route,
    make_state,
    make_table,
    rev,
)

# One-way latencies within a region and between regions.
DELAY_SECONDS = 0.0015
REGION_DELAY_SECONDS = 0.012
# Headers of IP and UDP.
DATAGRAM_HEADER_BYTES = 28
# Duration of a call to the store.
STORE_SECONDS = 0.004
# Interval at which a store that holds a poll looks for changes.
HELD_STEP_SECONDS = 0.01
# Interval at which a node polls the store.
INTERVAL_SECONDS = 1.0
# Machines start within this time of each other.
START_SPREAD_SECONDS = 0.3
TOLERANCE = LimitTolerance(window_seconds=8.0, overshoot=0.1, slack=110_000.0)


@dataclass(frozen=True)
class StoreCopy:
    """A copy of the state of a store, from which it can be restored."""

    items: dict[str, StoredItem]
    history: list[StoredItem]
    compacted_revision: int
    revision: int


class MemoryStore:
    """The store in memory, whose items are decoded by the real adapter.

    Attributes:
        era: Rises with each restore from a copy.
        down_for: Nodes whose calls fail; None for all nodes.
        calls: Number of calls by node, without those in ``stale_read_calls``.
        stale_read_calls: Number of calls for lists that may be old, by node; each counts as a tenth
            of a call.
        page_pause: Seconds between the two pages of a list; 0 if it is read in one page.
        answer_seconds: Time that each answer takes.
        holds_polls: Whether a poll waits for the first change, as long as the caller asks for.
        silent_for: Nodes whose calls are accepted but never answered, not even after the silence.
        silences: Number of silences that have begun, by node; a call that was pending at the
            beginning of one is lost.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self.items: dict[str, StoredItem] = {}
        self.history: list[StoredItem] = []
        self.compacted_revision = 0
        self.revision = 1
        self.era = 0
        self.down_for: set[str] | None = set()
        self.calls: Counter[str] = Counter()
        self.stale_read_calls: Counter[str] = Counter()
        self.page_pause = 0.0
        self.answer_seconds = STORE_SECONDS
        self.holds_polls = False
        self.silent_for: set[str] = set()
        self.silences: Counter[str] = Counter()

    def put(self, key: str, value: bytes | None) -> int:
        self.revision += 1
        item = StoredItem(key, rev(self.revision, self.era), value)
        self.history.append(item)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        return self.revision

    def copy(self) -> StoreCopy:
        """Return a copy of the current state."""
        return StoreCopy(
            dict(self.items), list(self.history), self.compacted_revision, self.revision
        )

    def restore(self, copy: StoreCopy) -> None:
        """Restore a copy: later writes are lost, and their revision numbers are reused."""
        self.era += 1
        self.items = {key: self._of_era(item) for key, item in copy.items.items()}
        self.history = [self._of_era(item) for item in copy.history]
        self.compacted_revision = copy.compacted_revision
        self.revision = copy.revision

    def _of_era(self, item: StoredItem) -> StoredItem:
        return replace(item, revision=rev(item.revision.number, self.era))

    def is_down_for(self, node_id: str) -> bool:
        return self.down_for is None or node_id in self.down_for

    def silence(self, node_ids: Iterable[str]) -> None:
        """Stop answering these nodes; their pending calls are lost."""
        self.silent_for = set(node_ids)
        self.silences.update(self.silent_for)

    def end_silence(self) -> None:
        """Answer all calls that begin from now on."""
        self.silent_for = set()


class MemoryStoreClient:
    """The store client of one node."""

    def __init__(self, store: MemoryStore, node_id: str, store_era: StoreEra) -> None:
        self._store = store
        self._node_id = node_id
        self._store_era = store_era

    async def snapshot(self, *, allow_stale: bool = False) -> Snapshot:
        if allow_stale:
            self._store.stale_read_calls[self._node_id] += 1
        else:
            self._store.calls[self._node_id] += 1
        await self._answer()
        items = sorted(self._store.items.values(), key=lambda item: item.key)
        revision = rev(self._store.revision, self._store.era)
        if self._store.page_pause <= 0:
            return Snapshot(self.read_items(items), revision, revision)
        # Two pages; the second one is read later.
        half = [item for item in items[: len(items) // 2]]
        await asyncio.sleep(self._store.page_pause)
        beyond = items[len(items) // 2].key if items else ""
        rest = [item for key, item in sorted(self._store.items.items()) if key >= beyond]
        return Snapshot(
            self.read_items([*half, *rest]),
            revision,
            rev(self._store.revision, revision.era),
        )

    async def changes(self, revision: StoreRevision, wait_seconds: float) -> Changes:
        self._store.calls[self._node_id] += 1
        await self._answer(revision, wait_seconds)
        if revision.era != self._store.era:
            raise HistoryLostError("restored", step="watch", peer="store")
        if not self._store.compacted_revision <= revision.number <= self._store.revision:
            raise HistoryLostError("history gone", step="watch", peer="store")
        items = [item for item in self._store.history if item.revision > revision]
        return Changes(self.read_items(items), rev(self._store.revision, self._store.era))

    async def announce_node(self, node: NodeEntry) -> StoreRevision:
        await self._call()
        body = msgspec.json.encode(NodeBody(node.address, node.zone, node.link_megabits))
        number = self._store.put(names.NODES_PREFIX + node.node_id, body)
        return rev(number, self._store.era)

    async def remove_node(self, node_id: str, revision: StoreRevision) -> bool:
        await self._call()
        key = names.NODES_PREFIX + node_id
        known = self._store.items.get(key)
        if known is None or known.revision != revision:
            return False
        self._store.put(key, None)
        return True

    def read_items(self, items: Iterable[StoredItem]) -> list[StoreChange]:
        return [StoreChange(item, to_event(item)) for item in items]

    def listed(self, keys: Iterable[str]) -> ListedKeys:
        return listed_keys(keys)

    async def _hold(self, revision: StoreRevision, wait_seconds: float) -> None:
        """Wait for the first change after a revision, as the store does for a poll."""
        for _ in range(int(wait_seconds / HELD_STEP_SECONDS)):
            if self._store.revision > revision.number:
                return
            await asyncio.sleep(HELD_STEP_SECONDS)

    async def _call(self) -> None:
        self._store.calls[self._node_id] += 1
        await self._answer()

    async def _answer(self, revision: StoreRevision | None = None, wait: float = 0.0) -> None:
        store = self._store
        silences = store.silences[self._node_id]
        loop = asyncio.get_running_loop()
        limited_at = loop.time() + wait + CALL_LIMIT_SECONDS
        await asyncio.sleep(store.answer_seconds)
        if revision is not None and store.holds_polls:
            await self._hold(revision, wait)
        if self._node_id in store.silent_for or store.silences[self._node_id] > silences:
            await asyncio.sleep(limited_at - loop.time())
            raise PlatformOutcomeUnknownError("no answer", step="call", peer="store")
        if store.is_down_for(self._node_id):
            raise PlatformUnavailableError("status 503", step="call", peer="store")
        self._store_era.observe(store.era, STORE)


@dataclass
class SimulatedNode:
    """One node.

    Attributes:
        placements: Placement notices received from peers.
        reads: Peer and number of each placement whose prompt a peer reported as prefilled.
        cut: Whether all datagrams to and from the node are lost.
        work: The task that runs the node.
    """

    state: FleetState
    exchange: PeerExchange
    choice: RelayChoice
    link: PeerLink
    loop: VirtualLoop
    address: str
    zone: str
    limits: LimitClient
    buckets: TokenBuckets
    runner_limits: LimitClient
    log: ChangeLog
    request_reload: Callable[[], None] = lambda: None
    placements: list[PlacementNotice] = field(default_factory=list)
    reads: list[tuple[str, int]] = field(default_factory=list)
    cut: bool = False
    alive: bool = True
    work: asyncio.Task[Any] | None = None

    @property
    def node_id(self) -> str:
        return self.state.node_id

    @property
    def region(self) -> str:
        return self.state.topology.region

    def sent(self, runner_id: str, attempt_id: str) -> None:
        """Send an attempt to a runner, and report load and placement."""
        runner = self.state.pool.get(runner_id)
        assert runner is not None
        runner.attempts.add(attempt_id, OwnAttempt(0, 100, 0.0, 9.0))
        self.exchange.load_changed(runner)
        self.exchange.placed(PlacementNotice(runner_id, "salt", [(attempt_id, 900)], 1_200))


class _Transport:
    def __init__(self, network: NodeNetwork, source: str) -> None:
        self._network = network
        self._source = source

    def sendto(self, data: bytes, endpoint: tuple[str, int]) -> None:
        self._network.carry(data, self._source, f"{endpoint[0]}:{endpoint[1]}")

    def close(self) -> None:
        return


class NodeNetwork:
    """Nodes of several zones, a store, and the datagrams between them.

    Args:
        count: Number of nodes.
        zones: Number of zones.
        loss: Fraction of the datagrams that are lost.
        own_loops: Whether each node has its own event loop, which can be paused; slower.
        table: Initial configuration of the nodes.
        seed: Seed for losses and latencies of datagrams.
        latencies: The least and the greatest one-way latency within a region, in seconds.
        regions: Region of each zone; one region by default.
        start_spread: The nodes start within this time of each other, in seconds.
        interval: Interval at which a node polls the store, in seconds.

    Attributes:
        cross_zone_bytes: Bytes of datagrams between zones.
        cross_region_bytes: Bytes of datagrams between regions, including 28 of headers for each.
        cross_region_datagrams: Datagrams that were sent between regions.
        region_loss: Fraction of the datagrams between regions that are lost.
        cut_links: Pairs of regions; datagrams from the first to the second are lost.
    """

    def __init__(
        self,
        count: int,
        zones: int,
        *,
        loss: float = 0.0,
        own_loops: bool = False,
        table: RoutingTable | None = None,
        seed: int = 7,
        latencies: tuple[float, float] = (DELAY_SECONDS, DELAY_SECONDS),
        regions: Mapping[str, str] | None = None,
        start_spread: float = START_SPREAD_SECONDS,
        interval: float = INTERVAL_SECONDS,
    ) -> None:
        self._start_spread = start_spread
        self._interval = interval
        self.regions = dict(regions or {})
        self.cross_region_bytes = 0
        self.cross_region_datagrams: list[bytes] = []
        self.region_loss = 0.0
        self.cut_links: set[tuple[str, str]] = set()
        self._table = table or make_table(make_route())
        self.scheduler = Scheduler()
        self.store = MemoryStore(self.scheduler)
        self.nodes: dict[str, SimulatedNode] = {}
        self._addresses: dict[str, str] = {}
        self._by_address: dict[str, SimulatedNode] = {}
        self.received: Counter[str] = Counter()
        self.cross_zone_bytes = 0
        self.runner_ids = [f"i-{number}" for number in range(6)]
        self._loss = loss
        self._latencies = latencies
        self._rng = Random(seed)
        # A separate generator, so that latencies do not change which datagrams are lost.
        self._latency_rng = Random(f"ways/{seed}")
        self._shared_loop = None if own_loops else self.scheduler.new_loop()
        for number in range(count):
            self.add(f"node-{number}", f"zone-{number % zones}")

    def add(self, node_id: str, zone: str) -> SimulatedNode:
        """Start a node; a running node of the same name is killed."""
        number = len(self._addresses)
        if node_id in self.nodes:
            self.kill(node_id)
        new_address = f"10.0.{number // 200}.{number % 200 + 1}:7340"
        address = self._addresses.setdefault(node_id, new_address)
        entries = [make_entry(runner_id, ENGINES, weights=1) for runner_id in self.runner_ids]
        state = make_state(self._table, *entries)
        state.node_id = node_id
        # The node reads the list of nodes from the store.
        state.directory_known = state.peers_known = False
        state.budget.set_node_count(MAX_NODES)
        link = PeerLink()
        transport: Any = _Transport(self, address)
        link.connection_made(transport)
        topology = Topology(zone, self.regions.get(zone, ""), self.regions)
        state.topology = topology
        choice = RelayChoice(node_id, state.nodes, topology)
        clock = self.scheduler.clock
        rng = Random(f"{node_id}/{self.scheduler.now}")
        exchange = PeerExchange(state, link, choice, zone, clock, rng)
        loop = self._shared_loop or self.scheduler.new_loop()
        holders = BucketHolders(node_id, state.nodes, choice, zone)
        buckets = TokenBuckets(TOLERANCE, LEASE_SECONDS)
        holder = LimitHolder(state, buckets, holders, link, clock, rng)
        leases = TokenLeases(clock())
        limits = LimitClient(state, leases, holders, holder, link, clock, rng)
        scope = runner_scope(state.pool, clock)
        runner_buckets = TokenBuckets(
            RUNNER_TOLERANCE, LEASE_SECONDS, start_share=RUNNER_START_SHARE, requires_full_cost=True
        )
        runner_holders = BucketHolders(node_id, state.nodes, choice, zone)
        runner_holder = LimitHolder(state, runner_buckets, runner_holders, link, clock, rng, scope)
        runner_limits = LimitClient(
            state, TokenLeases(clock()), runner_holders, runner_holder, link, clock, rng, scope
        )
        node = SimulatedNode(
            state,
            exchange,
            choice,
            link,
            loop,
            address,
            zone,
            limits,
            buckets,
            runner_limits,
            ChangeLog(),
        )
        exchange.handle_new_peers(exchange.send_initial_state)
        exchange.handle_placements(
            lambda _, notice, now: node.placements.append(notice),
            lambda peer, number, now: node.reads.append((peer, number)),
        )
        self.nodes[node_id] = self._by_address[address] = node
        self._start(node, rng)
        return node

    def run(self, seconds: float) -> None:
        self.scheduler.run_until(self.scheduler.now + seconds)

    def close(self) -> None:
        self.scheduler.close()

    def kill(self, node_id: str) -> None:
        """Kill a node without any notice to its peers."""
        node = self.nodes.pop(node_id)
        del self._by_address[node.address]
        node.alive = False
        assert node.work is not None
        node.work.cancel()

    def at_node(self, node: SimulatedNode, work: Any) -> None:
        """Call a function in a node's event loop."""
        node.loop.call_soon(work)

    def carry(self, data: bytes, source: str, target: str) -> None:
        """Deliver a datagram after its latency, or lose it."""
        sender = self._by_address.get(source)
        receiver = self._by_address.get(target)
        if sender is None or receiver is None or sender.cut or receiver.cut:
            return
        if self._rng.random() < self._loss:
            return
        is_cross_region = sender.region != receiver.region
        if is_cross_region and not self._arrives_across_regions(data, sender, receiver):
            return
        self.received[receiver.node_id] += 1
        if sender.zone != receiver.zone:
            self.cross_zone_bytes += len(data)
        host, _, port = source.rpartition(":")

        def arrive() -> None:
            if receiver.alive:
                receiver.loop.call_soon(receiver.link.datagram_received, data, (host, int(port)))

        delay = (
            REGION_DELAY_SECONDS if is_cross_region else self._latency_rng.uniform(*self._latencies)
        )
        self.scheduler.at(self.scheduler.now + delay, arrive)

    def _arrives_across_regions(
        self, data: bytes, sender: SimulatedNode, receiver: SimulatedNode
    ) -> bool:
        """Count a datagram between two regions; return whether it arrives."""
        self.cross_region_bytes += len(data) + DATAGRAM_HEADER_BYTES
        self.cross_region_datagrams.append(data)
        if (sender.region, receiver.region) in self.cut_links:
            return False
        return self._rng.random() >= self.region_loss

    def _start(self, node: SimulatedNode, rng: Random) -> None:
        clock = self.scheduler.clock
        client = MemoryStoreClient(self.store, node.node_id, node.state.store_era)
        registry = NodeRegistry(client, node.state, node.exchange.silent_nodes, clock)
        relay = StoreRelay(node.state, node.log, node.link, clock)
        sync = StoreSync(
            client,
            node.state,
            node.log,
            relay,
            node.choice,
            NodeEntry(node.node_id, node.address, node.zone),
            self._interval,
            clock,
            rng,
        )
        node.request_reload = sync.request_reload
        check = StoreCheck(
            client, node.state, node.log, sync.request_reload, clock, rng, relay, sync.nearer_peers
        )
        start_after = self._start_spread * rng.random()

        async def run() -> None:
            await asyncio.sleep(start_after)
            await asyncio.gather(
                sync.run(),
                check.run(),
                node.exchange.run(),
                node.exchange.relay(),
                registry.run(),
                node.limits.run(),
                node.runner_limits.run(),
            )

        node.work = self.scheduler.spawn(node.loop, run())


def list_runners(network: NodeNetwork) -> None:
    """Write the entries of all runners to the store."""
    for runner_id in network.runner_ids:
        write_runner(network, runner_id)


def write_runner(
    network: NodeNetwork,
    runner_id: str,
    state: str = "ready",
    seq: int = 1,
    zone: str = "zone-0",
) -> None:
    """Write a runner's entry, as a heartbeat or with changes."""
    body = (
        f'{{"service":"{ENGINES}","address":"10.9.0.1:1","zone":"{zone}","slots":8,'
        f'"state":"{state}","models":[{{"name":"model-a","version":1}}],"seq":{seq}}}'
    )
    network.store.put(names.RUNNERS_PREFIX + runner_id, body.encode())
