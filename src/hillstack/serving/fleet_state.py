"""State of a node: configuration, runners, weights, rollouts, peers and cached parts."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from hillstack.core.announcement_receipts import AnnouncementReceipts
from hillstack.core.cache_salt import parse_salt
from hillstack.core.cache_watch import CacheHolder
from hillstack.core.crash_counts import REPEATED_RETENTION_SECONDS, CrashCounts
from hillstack.core.crash_ledger import CrashLedger, KnownLedgers
from hillstack.core.freshness import Freshness
from hillstack.core.node_directory import NodeDirectory, NodeEntry
from hillstack.core.part_crashes import PartCrashes
from hillstack.core.part_index import PartIndex
from hillstack.core.probations import Probations
from hillstack.core.relayed_runs import LeftRelayedRuns
from hillstack.core.routing_table import EngineProfile, KvCacheStore, RoutingTable
from hillstack.core.runner_crashes import RunnerCrashRecord
from hillstack.core.runner_pool import Runner, RunnerEntry, RunnerPool
from hillstack.core.shared_retry_budget import SharedRetryBudget
from hillstack.core.software_rollouts import RolloutOrder, RolloutRecord, SoftwareRollouts
from hillstack.core.store_era import StoreEra
from hillstack.core.store_proofs import StoreProofs
from hillstack.core.store_revision import StoreRevision
from hillstack.core.topology import ONE_REGION, Distance, Topology
from hillstack.core.traffic_split import TrafficSplit
from hillstack.core.unconfirmed_entries import UnconfirmedEntries
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
    CrashLedgerChanged,
    DutyHeld,
    ListedRollouts,
    NodeListed,
    NodeUnlisted,
    PartLedgerChanged,
    RolloutDutyHeld,
    RolloutOrdered,
    RolloutRecorded,
    RolloutWithdrawn,
    RunnerListed,
    RunnerUnlisted,
    ServiceVersionsRecorded,
    StoreEvent,
    StreamRecord,
    StreamsRecorded,
    WeightsNamed,
)
from hillstack.serving.weights_log import bound_fields

logger = logging.getLogger(__name__)

# According to the platform, directory entries that expired during a store outage are written again
# within 2 s of its end.
OUTAGE_EFFECT_SECONDS = 2.5
# How long a runner whose entry is missing is still used after an outage: less than those 2 s and
# OUTAGE_EFFECT_SECONDS, with a margin.
UNLISTED_GRACE_SECONDS = 1.6
# The operator writes lost orders again within a few seconds of a restore of the store.
REWRITE_WAIT_SECONDS = 10.0
# Smaller moves of a bound are not logged. Answers of peers differ by some tenths of a millisecond:
# on a day with 69 nodes, 702 of 823 moves were shorter than one millisecond.
MIN_LOGGED_MOVE_SECONDS = 0.01
# How long a KV cache store that did not answer is avoided. A fetch from a store that is down costs
# 0.1 s; the nodes that follow its cache poll it again in under a second.
STORE_RETRY_SECONDS = 2.0

# Assumed number of nodes while a node does not know its peers: larger than any fleet, so that its
# share of the retry budget is small.
MAX_NODES = 8_192


class FleetState:
    """State of one node, updated by events of the store, notices of peers and requests.

    Args:
        node_id: Identifier of this node.
        freshness: Age of the store's latest answer.
        versions: Weights versions named by the operator.
        budget: Retry budget that all nodes share.
        exposure: Requests that versions under a rollout may get; none by default.
        topology: Zones and regions; by default all zones belong to one region.

    Attributes:
        start_gate: Holds requests until the store has been read for the first time.
        peers_known: Whether this node knows all nodes listed before it, and those listed later know
            this node. Until then the retry budget is divided by ``MAX_NODES``, and this node
            neither requests nor grants tokens of rate limits. The exposure of untrusted versions is
            divided by the number of nodes known so far.
        announcement_receipts: Which nodes have reported that they know an announced version.
        store_era: Era of the store; a restore of the store begins a new one.
        is_store_overdue: Whether the answer to this node's latest poll of the store is overdue, or
            the poll has failed.
        highest_fence: Highest fencing token seen from any holder of the weights duty.
        rollout_deciders: Node that decides the rollout, by service.
        bounds_enforced_from: Time until which bounds are not enforced on a node that has just
            started: a weights version named before the start need not be in use before this time.
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
        self._unconfirmed_entries = UnconfirmedEntries(self.pool)
        self.runner_crashes = RunnerCrashRecord()
        self.crash_counts = CrashCounts()
        self.probations = Probations()
        self.crash_ledgers = KnownLedgers()
        self.part_crashes = PartCrashes()
        self.part_ledgers = KnownLedgers(REPEATED_RETENTION_SECONDS)
        self.index = PartIndex(self._is_outdated_salt)
        self.pool.handle_newer_weights(lambda runner: self.index.remove_outdated(runner.runner_id))
        self.split = TrafficSplit()
        self.rollouts = SoftwareRollouts()
        self.exposure = exposure or VersionExposure(share=0.0, slack=0.0)
        self.arrivals = VersionArrivals()
        self.nodes = NodeDirectory()
        self.announcement_receipts = AnnouncementReceipts()
        self.left_relayed_runs = LeftRelayedRuns()
        self._unavailable_until: dict[str, float] = {}
        self._holders: list[CacheHolder] = []
        self._holders_key: tuple[RoutingTable, int] | None = None
        self.duty_holder: str | None = None
        self.highest_fence = 0
        # Orders that a restored store has lost, with the time until which they remain in effect.
        self._missing_orders: dict[str, float] = {}
        self.rollout_deciders: dict[str, str | None] = {}
        self.duty_known = False
        self.directory_known = False
        self.peers_known = False
        self.is_store_overdue = False
        self.start_gate = StartGate()
        self.bounds_enforced_from = float("-inf")
        self._outage_until = float("-inf")
        self._calls_failed_until = float("-inf")
        self.budget.set_node_count(MAX_NODES)
        self._on_weights_named: Callable[[], None] = lambda: None
        self._on_restarted: Callable[[Runner], None] = lambda _: None
        self._on_listed: Callable[[str, str], None] = lambda service, software: None
        self._on_stream_record: Callable[[StreamRecord], None] = lambda _: None

    def handle_weights_named(self, handler: Callable[[], None]) -> None:
        """Set the handler for weights versions that this node learns of from the store first."""
        self._on_weights_named = handler

    def handle_listed(self, handler: Callable[[str, str], None]) -> None:
        """Set the handler for new runners, which gets their service and software version."""
        self._on_listed = handler

    def handle_stream_records(self, handler: Callable[[StreamRecord], None]) -> None:
        """Set the handler for what the store records of streams."""
        self._on_stream_record = handler

    def handle_restarted(self, handler: Callable[[Runner], None]) -> None:
        """Set the handler for runner processes that another process has replaced."""
        self._on_restarted = handler

    def apply(self, event: StoreEvent, not_before: float, now: float | None = None) -> None:
        """Apply one change of the store.

        Args:
            event: The change.
            not_before: Earliest time at which the change can have been acknowledged.
            now: Time on the node's clock; ``not_before`` by default.
        """
        now = not_before if now is None else now
        match event:
            case ConfigurationChanged(table):
                self._apply_configuration(table)
            case RunnerListed(entry):
                self._add_runner(entry, now)
            case RunnerUnlisted(listed_as, revision):
                self._apply_removal(listed_as, revision, now)
            case WeightsNamed():
                if self.note_weights_named(event, not_before, "store", now):
                    self._on_weights_named()
            case RolloutOrdered(order):
                self._apply_rollout_order(order, not_before, now)
            case RolloutWithdrawn(service, at_revision):
                self._missing_orders.pop(service, None)
                if self.rollouts.withdraw(service, at_revision):
                    logger.info("rollout order withdrawn", extra={"service": service})
            case RolloutRecorded(record):
                self._apply_rollout_record(record)
            case NodeListed(node_id, address, zone, revision, link):
                self._add_node(NodeEntry(node_id, address, zone, revision, link), now)
            case NodeUnlisted(node_id):
                self._remove_node(node_id, now)
            case DutyHeld(holder, fence):
                self.duty_holder = holder
                self.highest_fence = max(self.highest_fence, fence)
            case RolloutDutyHeld(service, decider):
                self.rollout_deciders[service] = decider
            case CrashLedgerChanged(fingerprint, ledger):
                self.crash_ledgers.update(fingerprint, ledger, now)
            case PartLedgerChanged(part, None):
                self.part_ledgers.note_missing(part, now)
            case PartLedgerChanged(part, CrashLedger() as ledger):
                self.part_ledgers.update(part, ledger, now)
                crashes = self.part_ledgers.crashes(part, self.runner_crashes.contacts.latest)
                for runner_id, named_at in crashes.items():
                    self.part_crashes.record_trials(part, [runner_id], named_at)
            case ServiceVersionsRecorded() | StreamsRecorded():
                self._on_stream_record(event)

    def note_proof(self, revision: StoreRevision, proved_at: float) -> None:
        """Record an answer of the store: its revision, and when the store was asked."""
        self.freshness.prove(proved_at)
        self.proofs.note(revision, proved_at)

    def note_weights_named(
        self, event: WeightsNamed, not_before: float, source: str, now: float
    ) -> bool:
        """Record that a weights version was named; return whether it was not known yet.

        Args:
            event: The named version.
            not_before: Earliest time at which the naming can have been acknowledged.
            source: Source of the information: ``store``, or the name of a peer.
            now: Time on the node's clock.
        """
        started_at = self.bounds_enforced_from - self.versions.grace
        counts_from = max(started_at, self._outage_until)
        cause = BoundCause.OUTAGE if counts_from > started_at else BoundCause.START
        announcement = Announcement(
            event.version, not_before, counts_from, source, cause, event.revision, now
        )
        if not self.versions.announce(event.model, announcement):
            return False
        named = self.versions.announcements(event.model)[-1]
        fields: dict[str, object] = {"model": event.model, "version": event.version}
        fields |= bound_fields(named, self.versions.grace, now)
        logger.info("weights named", extra=fields)
        if self.table is not None:
            for store in self.table.kv_cache_stores():
                self.index.remove_outdated(store.address)
        return True

    def _is_outdated_salt(self, holder_id: str, text: str) -> bool:
        """Return whether no request may use what a holder caches under a salt.

        A runner serves no request on older weights than its own. A store may be used only for the
        newest version, since requests on older ones fetch nothing (``cache_sources``).
        """
        salt = parse_salt(text)
        if salt is None:
            return False
        runner = self.pool.get(holder_id)
        if runner is not None:
            return salt.version < runner.weights_version(salt.model)
        return salt.version < self.versions.newest(salt.model)

    def narrow_weights_bound(self, named: NamedVersion, source: str, now: float) -> None:
        """Narrow the interval in which a known version was named by what a peer has proved."""
        self._log_bound_moves(self.versions.apply_proof(named, source), now)

    def retain_nodes(self, listed: set[str], now: float, revision: StoreRevision) -> None:
        """Remove the nodes that a complete list, as of a revision, no longer contains."""
        for node in self.nodes.all():
            if node.node_id not in listed and node.revision <= revision:
                self._remove_node(node.node_id, now)

    def retain_runners(self, listed: set[str], now: float, revision: StoreRevision) -> None:
        """Remove the runners that a complete list, as of a revision, no longer contains."""
        self._unconfirmed_entries.remove_unlisted(listed)
        for runner in self.pool.all():
            if runner.entry.directory_name in listed or runner.entry.revision > revision:
                continue
            if runner.unlisted_until is None:
                self._remove_runner(runner.runner_id, revision, now)
        self.directory_known = True

    def retain_rollouts(self, listed: ListedRollouts, now: float, revision: StoreRevision) -> None:
        """Remove the orders and duties that a complete list, as of a revision, no longer contains.

        An order that a restored store has lost remains in effect for a while, because the operator
        writes it again.
        """
        for order in self.rollouts.orders():
            if order.service in listed.ordered or order.service in self._missing_orders:
                continue
            if order.revision.era < revision.era:
                self._missing_orders[order.service] = now + REWRITE_WAIT_SECONDS
            else:
                self.rollouts.withdraw(order.service, revision)
        self.rollouts.mark_unlisted_records_lost(listed.recorded, revision)
        for service in self.rollout_deciders.keys() - listed.held:
            self.rollout_deciders[service] = None

    def note_calls_failed(self, until: float) -> None:
        """Record that all calls to the store failed until a time, for whatever reason.

        The calls of runners may have failed too, so the directory may drop runners that are alive.
        """
        self._calls_failed_until = max(self._calls_failed_until, until)

    def note_restored(self, now: float) -> None:
        """Record that the store was restored to an older state.

        Entries of runners that are alive may be missing until the runners write them again.
        """
        self.note_calls_failed(now)

    def note_store_recovered(self, lost_until: float, now: float | None = None) -> None:
        """Record the end of a store outage.

        The directory may drop runners that are alive, because their entries expire during an
        outage. Bounds that only run while the store is available start again.

        Args:
            lost_until: Time until which the store was unavailable at least.
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
            if move.seconds < MIN_LOGGED_MOVE_SECONDS:
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
        """Return when the last store outage ended; minus infinity if there was none."""
        return self._outage_until

    def note_peers_known(self, now: float) -> None:
        """Record that this node has read the list of nodes after its own entry was written.

        It then knows all nodes listed before it, and those listed later know this node.
        """
        self.peers_known = True
        self._update_budget_shares(now)

    def can_serve(self, now: float) -> bool:
        """Return whether requests can be served: the store was read and keys can be checked."""
        if self.table is None or not self.directory_known:
            return False
        return self.table.tenants_by_key is None or self.freshness.is_fresh(now)

    def expire(self, now: float) -> None:
        """Drop outdated state, and apply held back directory entries that are due."""
        self._withdraw_missing_orders(now)
        for entry in self._unconfirmed_entries.take_due(now):
            self._apply_entry(entry, now)
        for runner in self.pool.expire_unlisted(now):
            self.index.remove(runner.runner_id)
        self._update_budget_shares(now)

    def _withdraw_missing_orders(self, now: float) -> None:
        """Withdraw lost orders that were not written again in time after a restore of the store."""
        for service, until in list(self._missing_orders.items()):
            order = self.rollouts.order(service)
            is_written_again = order is not None and order.revision.era == self.store_era.current
            if not is_written_again and now < until:
                continue
            del self._missing_orders[service]
            if order is not None and not is_written_again:
                self.rollouts.withdraw(service, order.revision)
                logger.info("rollout order withdrawn", extra={"service": service})

    def kv_cache_stores(self, now: float) -> list[KvCacheStore]:
        """Return the KV cache stores that answer."""
        stores = self.table.kv_cache_stores() if self.table is not None else []
        return [s for s in stores if now >= self._unavailable_until.get(s.address, now)]

    def kv_cache_store_for(self, zone: str, now: float) -> KvCacheStore | None:
        """Return the KV cache store for runners of a zone: the nearest one in their region.

        None if no store of the region answers. A save to another region takes ten times as long,
        and all later saves queue behind it.
        """
        nearest: KvCacheStore | None = None
        least = Distance.OTHER_REGION
        for store in self.kv_cache_stores(now):
            distance = self.topology.distance(store.zone, zone)
            if distance < least:
                nearest, least = store, distance
        return nearest

    def note_unavailable(self, address: str, now: float) -> None:
        """Record that a KV cache store does not answer, and avoid the store for a while."""
        if now >= self._unavailable_until.get(address, float("-inf")):
            logger.info("cache store unavailable", extra={"holder": address})
        self._unavailable_until[address] = now + STORE_RETRY_SECONDS

    def cache_holders(self) -> list[CacheHolder]:
        """Return all holders of cached prompt parts: engine runners and KV cache stores.

        The same list object is returned until the configuration or the set of runners changes.
        """
        if self.table is None:
            return []
        known = self._holders_key
        if known and known[0] is self.table and known[1] == self.pool.generation:
            return self._holders
        holders = [
            CacheHolder(store.address, store.address, store.zone, is_store=True)
            for store in self.table.kv_cache_stores()
        ]
        for runner in self.pool.all():
            if self.engine_of(runner.entry.service) is not None and not runner.leaving:
                holder = CacheHolder(runner.runner_id, runner.address, runner.entry.zone)
                holders.append(holder)
        self._holders_key = self.table, self.pool.generation
        self._holders = holders
        return holders

    def note_cache_known(self, holder_id: str) -> None:
        """Record that the cached parts of a holder are known, from a listing or from a peer."""
        gate = self.start_gate
        if gate.caches_known:
            return
        gate.mark_cache_known(holder_id)
        # Nodes of another region follow the caches there and report them to each other.
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

    def _apply_configuration(self, table: RoutingTable) -> None:
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        for store in table.kv_cache_stores():
            self.index.set_capacity(store.address, store.capacity_tokens)
        for runner in self.pool.all():
            self._set_capacity(runner)
        fields = {"version": table.version, "routes": len(table.routes())}
        logger.info("configuration in force", extra=fields)

    def _apply_rollout_order(self, order: RolloutOrder, not_before: float, now: float) -> None:
        if not self.rollouts.apply_order(order):
            return
        self.exposure.open(order.service, order.identity, order.over_seconds, not_before, now)
        fields = {
            "service": order.service,
            "target": order.target,
            "over_seconds": order.over_seconds,
            "revision": str(order.revision),
        }
        logger.info("rollout ordered", extra=fields)

    def _apply_rollout_record(self, record: RolloutRecord) -> None:
        before = self.rollouts.record(record.service)
        if not self.rollouts.apply_record(record) or _is_same_stage(before, record):
            return
        fields = {
            "service": record.service,
            "target": record.target,
            "stage": record.stage,
            "reason": record.reason,
            "order_revision": str(record.order_revision),
        }
        logger.info("rollout stage", extra=fields)

    def _add_node(self, node: NodeEntry, now: float) -> None:
        self.nodes.list_node(node)
        self._update_budget_shares(now)

    def _remove_node(self, node_id: str, now: float) -> None:
        if self.nodes.unlist(node_id, now):
            self.announcement_receipts.forget(node_id)
            self._update_budget_shares(now)
            logger.info("node gone", extra={"listed_node": node_id, "nodes": len(self.nodes)})

    def _update_budget_shares(self, now: float) -> None:
        count = self.nodes.budget_node_count(now)
        self.budget.set_node_count(count if self.peers_known else MAX_NODES)
        self.exposure.set_node_count(count)

    def _add_runner(self, entry: RunnerEntry, now: float) -> None:
        if self.pool.lacks_start_time(entry):
            # A runner process always writes its start time, so something else wrote this entry.
            self._apply_removal(entry.directory_name, entry.revision, now)
            return
        if not self._unconfirmed_entries.withhold(entry, now):
            self._apply_entry(entry, now)

    def _apply_entry(self, entry: RunnerEntry, now: float) -> None:
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
            self._on_listed(entry.service, entry.software)
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
        """Replace the known process of a directory name by another one.

        If the other process started earlier, the entry may be a late write, and the known process
        may be alive.
        """
        if entry.started_ms > known.entry.started_ms:
            self.note_restarted(known, now)
        else:
            self.pool.unlist(known.runner_id, now, 0.0)

    def note_restarted(self, runner: Runner, now: float) -> None:
        """Record that a runner's process has ended because a later one with its name appeared.

        The state of the ended process does not apply to the later one, which is used once it is
        listed.
        """
        if self.pool.get(runner.runner_id) is None:
            return
        runner.has_ended = True
        self.pool.unlist(runner.runner_id, now, 0.0)
        self.index.remove(runner.runner_id)
        logger.info("runner started again", extra={"runner": runner.runner_id})
        self._on_restarted(runner)

    def _set_capacity(self, runner: Runner) -> None:
        engine = self.engine_of(runner.entry.service)
        if engine is not None:
            self.index.set_capacity(runner.runner_id, engine.kv_capacity_tokens)

    def _apply_removal(self, listed_as: str, revision: StoreRevision | None, now: float) -> None:
        self._unconfirmed_entries.drop(listed_as)
        runner = self.pool.listed_as(listed_as)
        if runner is None:
            return
        if revision is not None and runner.entry.revision > revision:
            # The runner was listed again after the removal, and that event arrived first.
            return
        self._remove_runner(runner.runner_id, revision, now)

    def _remove_runner(self, runner_id: str, revision: StoreRevision | None, now: float) -> None:
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
    """Return whether a record was only rewritten, with a new age of its order."""
    if before is None or before.order_revision != record.order_revision:
        return False
    return before.stage is record.stage
