"""What a node of the fleet knows: configuration, runners, weights, cached parts."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from hillstack.core.cache_watch import CacheHolder
from hillstack.core.crash_counts import CrashCounts
from hillstack.core.doubtful_entries import DoubtfulEntries
from hillstack.core.freshness import Freshness
from hillstack.core.node_directory import NodeDirectory, NodeEntry
from hillstack.core.part_index import PartIndex
from hillstack.core.probations import Probations
from hillstack.core.routing_table import EngineProfile, KeptCacheStore, RoutingTable
from hillstack.core.runner_ends import RunnerEndRecord
from hillstack.core.runner_pool import Runner, RunnerEntry, RunnerPool
from hillstack.core.shared_retry_budget import SharedRetryBudget
from hillstack.core.software_rollouts import RolloutOrder, RolloutRecord, SoftwareRollouts
from hillstack.core.store_era import StoreEra
from hillstack.core.store_proofs import StoreProofs
from hillstack.core.store_revision import StoreRevision
from hillstack.core.topology import ONE_REGION, Distance, Topology
from hillstack.core.traffic_split import TrafficSplit
from hillstack.core.version_arrivals import VersionArrivals
from hillstack.core.version_exposure import VersionExposure
from hillstack.core.weights_versions import (
    Announcement,
    BoundCause,
    BoundMove,
    NamedVersion,
    WeightsVersions,
)
from hillstack.logs import rounded_seconds
from hillstack.serving.start_gate import StartGate
from hillstack.serving.store_events import (
    ConfigurationChanged,
    DutyHeld,
    ListedRollouts,
    NodeListed,
    NodeUnlisted,
    RolloutDutyHeld,
    RolloutOrdered,
    RolloutRecorded,
    RolloutWithdrawn,
    RunnerListed,
    RunnerUnlisted,
    StoreEvent,
    WeightsNamed,
)
from hillstack.serving.weights_log import bound_fields

logger = logging.getLogger(__name__)

# Entries that lapsed in an outage are back within 2 s of its end, by the platform's word.
OUTAGE_EFFECT_SECONDS = 2.5
# So long a runner without an entry is used on after an outage: below both, with a margin.
UNLISTED_GRACE_SECONDS = 1.6
# What the operator wrote is written again within some seconds of a restore.
WRITTEN_AGAIN_SECONDS = 10.0
# Answers of several peers differ by some tenths of a millisecond: 702 of 823 moves of bounds on a
# day of 69 nodes were shorter than one.
LEAST_LOGGED_MOVE_SECONDS = 0.01
# A fetch from a store that is down costs 0.1 s; its watcher asks again in under a second.
UNAVAILABLE_SECONDS = 2.0


# A node that does not know the others yet takes the part that it would have of a fleet far larger
# than any.
MOST_NODES = 8_192


class FleetState:
    """The beliefs of one node, changed by what the store, peers and requests show.

    Args:
        node_id: This node.
        freshness: Age of the store's answers.
        versions: Versions of weights named by the operator.
        budget: Retry budget.
        exposure: What versions that are not trusted yet may get; nothing by default.
        topology: Zones and regions; by default all zones are of one region.

    Attributes:
        start_gate: Holds requests until the store was read for the first time.
        peers_known: Whether this node knows all nodes that were listed before it, and those listed
            later know it. Until then it knows no part of what all share.
        store_era: Which era the store is in.
        highest_fence: Highest fence that any holder of the duty of weights was seen to have.
        rollout_deciders: Which node decides the rollout of a service.
        unjudged_until: Until then a node that has just started is not held to bounds in time, so
            a version that was named before its start need not be in use earlier.
    """

    def __init__(
        self,
        node_id: str,
        freshness: Freshness,
        versions: WeightsVersions,
        budget: SharedRetryBudget,
        exposure: VersionExposure | None = None,
        topology: Topology = ONE_REGION,
    ) -> None:
        self.node_id = node_id
        self.topology = topology
        self.freshness = freshness
        self.store_era = StoreEra()
        self.proofs = StoreProofs()
        self.versions = versions
        self.budget = budget
        self.table: RoutingTable | None = None
        self.pool = RunnerPool()
        self._doubtful = DoubtfulEntries(self.pool)
        self.runner_ends = RunnerEndRecord()
        self.crash_counts = CrashCounts()
        self.probations = Probations()
        self.index = PartIndex()
        self.split = TrafficSplit()
        self.rollouts = SoftwareRollouts()
        self.exposure = exposure or VersionExposure(share=0.0, slack=0.0)
        self.arrivals = VersionArrivals()
        self.nodes = NodeDirectory()
        self._unavailable_until: dict[str, float] = {}
        self._holders: list[CacheHolder] = []
        self._holders_of: tuple[RoutingTable, int] | None = None
        self.duty_holder: str | None = None
        self.highest_fence = 0
        # Orders that a restored store has lost, with until when they stand all the same.
        self._missing_orders: dict[str, float] = {}
        self.rollout_deciders: dict[str, str | None] = {}
        self.duty_known = False
        self.directory_known = False
        self.peers_known = False
        self.start_gate = StartGate()
        self.unjudged_until = float("-inf")
        self._outage_until = float("-inf")
        self._calls_failed_until = float("-inf")
        self.budget.set_node_count(MOST_NODES)
        self._on_weights_named: Callable[[], None] = lambda: None
        self._on_restarted: Callable[[Runner], None] = lambda _: None

    def handle_weights_named(self, handler: Callable[[], None]) -> None:
        """Call a handler when the store is the first to tell of a version of weights."""
        self._on_weights_named = handler

    def handle_restarted(self, handler: Callable[[Runner], None]) -> None:
        """Call a handler with each process that has ended and was followed by another one."""
        self._on_restarted = handler

    def apply(self, event: StoreEvent, not_before: float, now: float | None = None) -> None:
        """Take over one change of the store.

        Args:
            event: The change.
            not_before: It was acknowledged no earlier.
            now: Time on the node's clock; ``not_before`` by default.
        """
        now = not_before if now is None else now
        match event:
            case ConfigurationChanged(table):
                self._adopt(table)
            case RunnerListed(entry):
                self._list_runner(entry, now)
            case RunnerUnlisted(listed_as, revision):
                self._take_removal(listed_as, revision, now)
            case WeightsNamed():
                if self.note_weights_named(event, not_before, "store", now):
                    self._on_weights_named()
            case RolloutOrdered(order):
                self._take_rollout_order(order, not_before, now)
            case RolloutWithdrawn(service, at_revision):
                self._missing_orders.pop(service, None)
                if self.rollouts.withdraw(service, at_revision):
                    logger.info("rollout order withdrawn", extra={"service": service})
            case RolloutRecorded(record):
                self._take_rollout_record(record)
            case NodeListed(node_id, address, zone, revision, link):
                self._list_node(NodeEntry(node_id, address, zone, revision, link), now)
            case NodeUnlisted(node_id):
                self._unlist_node(node_id, now)
            case DutyHeld(holder, fence):
                self.duty_holder = holder
                self.highest_fence = max(self.highest_fence, fence)
            case RolloutDutyHeld(service, decider):
                self.rollout_deciders[service] = decider

    def note_proof(self, revision: StoreRevision, proved_at: float) -> None:
        """Note an answer of the store: its revision, and when it was asked for."""
        self.freshness.prove(proved_at)
        self.proofs.note(revision, proved_at)

    def note_weights_named(
        self, event: WeightsNamed, not_before: float, source: str, now: float
    ) -> bool:
        """Note that a version was named, no earlier than a time; return whether that is news.

        Args:
            event: The version.
            not_before: It was acknowledged no earlier.
            source: Who says so: the store, or the name of a peer.
            now: Time on the node's clock.
        """
        started_at = self.unjudged_until - self.versions.grace
        counts_from = max(started_at, self._outage_until)
        cause = BoundCause.OUTAGE if counts_from > started_at else BoundCause.START
        announcement = Announcement(
            event.version, not_before, counts_from, source, cause, event.revision
        )
        if not self.versions.announce(event.model, announcement):
            return False
        named = self.versions.announcements(event.model)[-1]
        fields: dict[str, object] = {"model": event.model, "version": event.version}
        fields |= bound_fields(named, self.versions.grace, now)
        logger.info("weights named", extra=fields)
        return True

    def narrow_weights_named(self, named: NamedVersion, source: str, now: float) -> None:
        """Take over what a peer has proved of when a known version was named."""
        self._log_bound_moves(self.versions.narrow(named, source), now)

    def retain_nodes(self, listed: set[str], now: float, revision: StoreRevision) -> None:
        """Drop the nodes that a whole list, as of a revision, no longer has."""
        for node in self.nodes.all():
            if node.node_id not in listed and node.revision <= revision:
                self._unlist_node(node.node_id, now)

    def retain_runners(self, listed: set[str], now: float, revision: StoreRevision) -> None:
        """Drop the runners that a whole list of the directory, as of a revision, no longer has."""
        self._doubtful.retain(listed)
        for runner in self.pool.all():
            if runner.entry.directory_name in listed or runner.entry.revision > revision:
                continue
            if runner.unlisted_until is None:
                self._unlist_runner(runner.runner_id, revision, now)
        self.directory_known = True

    def retain_rollouts(self, listed: ListedRollouts, now: float, revision: StoreRevision) -> None:
        """Drop the orders and duties that a whole list, as of a revision, no longer has.

        The operator writes an order again that a restored store has lost: it stands until then.
        """
        for order in self.rollouts.orders():
            if order.service in listed.ordered or order.service in self._missing_orders:
                continue
            if order.revision.era < revision.era:
                self._missing_orders[order.service] = now + WRITTEN_AGAIN_SECONDS
            else:
                self.rollouts.withdraw(order.service, revision)
        self.rollouts.retain_records(listed.recorded, revision)
        for service in self.rollout_deciders.keys() - listed.held:
            self.rollout_deciders[service] = None

    def note_calls_failed(self, until: float) -> None:
        """Note that all calls to the store failed for a while, whatever the reason.

        Runners' calls may have failed too, so the directory may drop some that are alive.
        """
        self._calls_failed_until = max(self._calls_failed_until, until)

    def note_restored(self, now: float) -> None:
        """Note that the store came back with an older state.

        Entries of runners that live are missing until these write them again.
        """
        self.note_calls_failed(now)

    def store_regained(self, lost_until: float, now: float | None = None) -> None:
        """Note the end of an outage of the store, which lasted at least until a time.

        The directory may drop runners that are alive, since their entries lapse in an outage; and
        bounds that count only while the store is stable begin again.

        Args:
            lost_until: Until when it was away, at least.
            now: Time on the node's clock; ``lost_until`` by default.
        """
        if lost_until <= self._outage_until:
            return
        self._outage_until = lost_until
        self.note_calls_failed(lost_until)
        moves = self.versions.restart(lost_until)
        self._log_bound_moves(moves, lost_until if now is None else now)

    def _log_bound_moves(self, moves: Iterable[BoundMove], now: float) -> None:
        for move in moves:
            if move.seconds < LEAST_LOGGED_MOVE_SECONDS:
                continue
            entry = move.announcement
            fields: dict[str, object] = {
                "model": move.model,
                "version": entry.version,
                "later_seconds": rounded_seconds(move.seconds),
            }
            fields |= bound_fields(entry, self.versions.grace, now)
            logger.info("weights bound moved", extra=fields)

    def outage_ended_at(self) -> float:
        """Return when the last outage of the store ended; minus infinity if there was none."""
        return self._outage_until

    def note_peers_known(self, now: float) -> None:
        """Note that this node and all others know one another, as far as they are listed."""
        self.peers_known = True
        self._share_budgets(now)

    def can_serve(self, now: float) -> bool:
        """Return whether requests can be served: all is known, and keys can be trusted."""
        if self.table is None or not self.directory_known:
            return False
        return self.table.tenants_by_key is None or self.freshness.is_fresh(now)

    def expire(self, now: float) -> None:
        """Forget what has been gone for long; list runners that are back after all."""
        self._withdraw_missing_orders(now)
        for entry in self._doubtful.take_due(now):
            self._take_entry(entry, now)
        for runner in self.pool.expire_unlisted(now):
            self.index.forget(runner.runner_id)
        self._share_budgets(now)

    def _withdraw_missing_orders(self, now: float) -> None:
        """Withdraw the orders that were not written again after a restore of the store."""
        for service, until in list(self._missing_orders.items()):
            order = self.rollouts.order(service)
            is_back = order is not None and order.revision.era == self.store_era.current
            if not is_back and now < until:
                continue
            del self._missing_orders[service]
            if order is not None and not is_back:
                self.rollouts.withdraw(service, order.revision)
                logger.info("rollout order withdrawn", extra={"service": service})

    def kept_cache_stores(self, now: float) -> list[KeptCacheStore]:
        """Return the stores of kept KV cache that answer."""
        stores = self.table.kept_cache_stores() if self.table is not None else []
        return [s for s in stores if now >= self._unavailable_until.get(s.address, now)]

    def kept_cache_store(self, zone: str, now: float) -> KeptCacheStore | None:
        """Return the store to which runners of a zone save: the nearest of their region.

        None if none answers there. A save to another region takes ten times as long, and all that
        is saved after it waits.
        """
        nearest: KeptCacheStore | None = None
        least = Distance.OTHER_REGION
        for store in self.kept_cache_stores(now):
            distance = self.topology.distance(store.zone, zone)
            if distance < least:
                nearest, least = store, distance
        return nearest

    def note_unavailable(self, address: str, now: float) -> None:
        """Note that a store of kept KV cache does not answer: it is left alone for a while."""
        if now >= self._unavailable_until.get(address, float("-inf")):
            logger.info("cache store unavailable", extra={"holder": address})
        self._unavailable_until[address] = now + UNAVAILABLE_SECONDS

    def cache_holders(self) -> list[CacheHolder]:
        """Return all that keep parts of prompts: runners of engines, and stores of KV cache.

        It is the same object until a configuration comes, or a runner comes or goes.
        """
        if self.table is None:
            return []
        known = self._holders_of
        if known and known[0] is self.table and known[1] == self.pool.generation:
            return self._holders
        holders = [
            CacheHolder(store.address, store.address, store.zone, is_store=True)
            for store in self.table.kept_cache_stores()
        ]
        for runner in self.pool.all():
            if self.engine_of(runner.entry.service) is not None and not runner.leaving:
                holder = CacheHolder(runner.runner_id, runner.address, runner.entry.zone)
                holders.append(holder)
        self._holders_of = self.table, self.pool.generation
        self._holders = holders
        return holders

    def note_cache_heard(self, holder_id: str) -> None:
        """Note that a holder was listed, by this node or by a peer that tells of it."""
        gate = self.start_gate
        if gate.caches_known:
            return
        gate.cache_heard(holder_id)
        # Caches of another region are watched and told there.
        near = (h for h in self.cache_holders() if self.topology.is_own_region(h.zone))
        gate.expect_caches([holder.holder_id for holder in near])

    def engine_of(self, service: str) -> EngineProfile | None:
        """Return the engine of a service, or None if it has none."""
        found = self.table.services.get(service) if self.table is not None else None
        return found.engine if found is not None else None

    def engine_services(self, model: str) -> list[str]:
        """Return the services whose runners serve a model."""
        if self.table is None:
            return []
        return [
            service.name
            for service in self.table.services.values()
            if service.engine is not None and model in service.engine.models
        ]

    def _adopt(self, table: RoutingTable) -> None:
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        for store in table.kept_cache_stores():
            self.index.set_capacity(store.address, store.capacity_tokens)
        for runner in self.pool.all():
            self._set_capacity(runner)
        fields = {"version": table.version, "routes": len(table.routes())}
        logger.info("configuration in force", extra=fields)

    def _take_rollout_order(self, order: RolloutOrder, not_before: float, now: float) -> None:
        if not self.rollouts.take_order(order):
            return
        self.exposure.open(order.service, order.identity, order.over_seconds, not_before, now)
        fields = {
            "service": order.service,
            "target": order.target,
            "over_seconds": order.over_seconds,
            "revision": str(order.revision),
        }
        logger.info("rollout ordered", extra=fields)

    def _take_rollout_record(self, record: RolloutRecord) -> None:
        before = self.rollouts.record(record.service)
        if not self.rollouts.take_record(record) or _is_same_stage(before, record):
            return
        fields = {
            "service": record.service,
            "target": record.target,
            "stage": record.stage,
            "reason": record.reason,
            "order_revision": str(record.order_revision),
        }
        logger.info("rollout stage", extra=fields)

    def _list_node(self, node: NodeEntry, now: float) -> None:
        self.nodes.list_node(node)
        self._share_budgets(now)

    def _unlist_node(self, node_id: str, now: float) -> None:
        if self.nodes.unlist(node_id, now):
            self._share_budgets(now)
            logger.info("node gone", extra={"listed_node": node_id, "nodes": len(self.nodes)})

    def _share_budgets(self, now: float) -> None:
        count = self.nodes.sharing_count(now)
        self.budget.set_node_count(count if self.peers_known else MOST_NODES)
        self.exposure.set_node_count(count)

    def _list_runner(self, entry: RunnerEntry, now: float) -> None:
        if self.pool.lacks_start(entry):
            # Its process says when it started: this was written by something else.
            self._take_removal(entry.directory_name, entry.revision, now)
            return
        if not self._doubtful.keep_back(entry, now):
            self._take_entry(entry, now)

    def _take_entry(self, entry: RunnerEntry, now: float) -> None:
        other = self.pool.other_process(entry)
        if other is not None:
            self._replace_process(other, entry, now)
        known = self.pool.get(entry.runner_id) is not None
        runner = self.pool.update(entry)
        if runner is None:
            return
        if not known:
            self._set_capacity(runner)
            at_start = not self.directory_known
            self.arrivals.listed(entry.service, entry.software, now, at_start=at_start)
        fields = {
            "runner": entry.runner_id,
            "service": entry.service,
            "draining": entry.draining,
            "weights": entry.weights,
            "software": entry.software,
            "revision": str(entry.revision),
        }
        logger.info("runner changed" if known else "runner listed", extra=fields)

    def _replace_process(self, known: Runner, entry: RunnerEntry, now: float) -> None:
        """Put another process in the place of the one that is known under a name.

        One that seems to have started before may be that of a late write: the known one may live.
        """
        if entry.started_ms > known.entry.started_ms:
            self.note_restarted(known, now)
        else:
            self.pool.unlist(known.runner_id, now, 0.0)

    def note_restarted(self, runner: Runner, now: float) -> None:
        """Note that a runner's process has ended, since a later one of its name was heard of.

        Nothing that is believed of it holds for the next one, which is used once it is listed.
        """
        if self.pool.get(runner.runner_id) is None:
            return
        runner.has_ended = True
        self.pool.unlist(runner.runner_id, now, 0.0)
        self.index.forget(runner.runner_id)
        logger.info("runner started again", extra={"runner": runner.runner_id})
        self._on_restarted(runner)

    def _set_capacity(self, runner: Runner) -> None:
        engine = self.engine_of(runner.entry.service)
        if engine is not None:
            self.index.set_capacity(runner.runner_id, engine.kv_capacity_tokens)

    def _take_removal(self, listed_as: str, revision: StoreRevision | None, now: float) -> None:
        self._doubtful.drop(listed_as)
        runner = self.pool.listed_as(listed_as)
        if runner is None:
            return
        if revision is not None and runner.entry.revision > revision:
            # It was listed again since, and that was heard first.
            return
        self._unlist_runner(runner.runner_id, revision, now)

    def _unlist_runner(self, runner_id: str, revision: StoreRevision | None, now: float) -> None:
        failed_ago = now - self._calls_failed_until
        after_outage = failed_ago < OUTAGE_EFFECT_SECONDS
        grace = UNLISTED_GRACE_SECONDS if after_outage else 0.0
        runner = self.pool.unlist(runner_id, now, grace, revision)
        if runner is None:
            return
        fields = {
            "runner": runner_id,
            "service": runner.entry.service,
            "grace_seconds": grace,
            "outage_age_seconds": round(failed_ago, 2) if after_outage else None,
        }
        logger.info("runner gone", extra=fields)


def _is_same_stage(before: RolloutRecord | None, record: RolloutRecord) -> bool:
    """Return whether a record was only written anew, with the age of its order."""
    if before is None or before.order_revision != record.order_revision:
        return False
    return before.stage is record.stage
