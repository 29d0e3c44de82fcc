"""Exchange of notices with the other nodes, in datagrams.

Changes are collected for a short time and sent together. Large prefills are sent sooner than loads,
since they are few and each has a noticeable effect. In a small deployment the nodes send notices to
each other directly. In a larger one each node reports to the relay of its zone, which forwards the
notices (``notice_relay``), and one relay of each region sends to the other regions
(``region_crossing``).
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence
from random import Random

import msgspec

from hillstack.core.cache_watch import NodeLiveness
from hillstack.core.node_directory import NodeEntry
from hillstack.core.relay_choice import RelayChoice
from hillstack.core.runner_limit import RunnerLimit
from hillstack.core.runner_pool import HINT_AGAIN_SECONDS, Runner
from hillstack.core.store_era import STORE
from hillstack.daemon.cache_follower import CacheEntry
from hillstack.daemon.notice_outbox import NoticeOutbox
from hillstack.daemon.notice_reader import (
    NoticeReader,
    PlacementHandler,
    ReadHandler,
    RolloutHandler,
    RunnerEndHandler,
)
from hillstack.daemon.notice_relay import NoticeRelay
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.region_crossing import RegionCrossing
from hillstack.messages import peer_notices
from hillstack.messages.datagrams import DatagramKind
from hillstack.messages.packing import pack, unpack
from hillstack.messages.peer_notices import (
    NO_LIMIT,
    PROTOCOL_VERSION,
    AnnouncementNotice,
    LimitNotice,
    NodeNotice,
    PlacementNotice,
    WeightsNotice,
    WeightsPhase,
)
from hillstack.messages.relay_batches import NodeReport, RelayBatch
from hillstack.messages.rollout_reports import RolloutReport
from hillstack.messages.runner_ends import RunnerEndNotice
from hillstack.serving.fleet_state import FleetState

logger = logging.getLogger(__name__)

# Collection time without relays: a tenth of the shortest objective for a first event that was seen
# in a deployment (0.5 s).
FLUSH_SECONDS = 0.05
# Collection time with relays. It can be longer, since a load adds no expected delay until its
# runner is full. Half of it makes a node send a quarter more datagrams, each of which costs its
# relay an iteration of the event loop.
RELAYED_FLUSH_SECONDS = 0.1
# Until a peer receives the notice of a large prefill, it may choose the same runner. So the notice
# waits only for changes from the same few iterations of the event loop; the relay of the zone
# collects for longer (``notice_relay``).
PLACEMENT_SECONDS = 0.005
# Loads that are not repeated expire after 2 s (``runner_load``). One repetition may be lost; if two
# are, the load is missing from the expiry until the third arrives.
REFRESH_SECONDS = 0.8
# Size of the random number that tells the processes of one node apart.
INCARNATION_BITS = 32
# If a peer reports a limit that has ended, this node corrects it, at most once in this time.
LIMIT_CORRECTION_SECONDS = 0.25
# Number of nodes that report the weights of runners to a node that has just started: two of their
# datagrams may be lost.
MAX_WEIGHTS_REPORTERS = 3
MILLISECONDS = 1_000.0
# Probability with which a node that knows of a leaving or limited runner repeats this with a
# heartbeat. Nodes that receive a repetition don't send one themselves. Of 1,500 nodes about 20
# repeat it within the 0.1 s that a notice takes to arrive; of 7 nodes, one does within a second.
REPEAT_PROBABILITY = 0.125

PeerHandler = Callable[[str], None]


class PeerExchange:
    """Sends and receives notices.

    Args:
        state: State of this node.
        link: Sends and receives datagrams.
        choice: Selects the relays.
        zone: Zone of this node.
        clock: Monotonic clock in seconds.
        rng: Source of randomness.
    """

    def __init__(
        self,
        state: FleetState,
        link: PeerLink,
        choice: RelayChoice,
        zone: str,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._state = state
        self._link = link
        self._choice = choice
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._incarnation = rng.getrandbits(INCARNATION_BITS)
        self._outbox = NoticeOutbox(state.node_id, self._incarnation)
        self._liveness = NodeLiveness(state.node_id, state.nodes, zone, clock())
        self._reader = NoticeReader(state, zone)
        self._reader.handle_outdated_limits(self._correct_limit)
        self._relay = NoticeRelay(state, link, choice, zone, clock)
        self._crossing = RegionCrossing(state, link, choice, zone, self._relay.is_chosen, clock)
        self._flush_handle: asyncio.TimerHandle | None = None
        self._placement_handle: asyncio.TimerHandle | None = None
        self._on_new_peer: list[PeerHandler] = []
        self._on_load: Callable[[Runner], None] = lambda _: None
        link.handle(DatagramKind.NOTICE, self._on_notice)
        link.handle(DatagramKind.REPORT, self._on_report)
        link.handle(DatagramKind.ZONE_BATCH, self._on_zone_batch)
        link.handle(DatagramKind.FINAL_BATCH, self._on_final_batch)
        link.handle(DatagramKind.REGION_BATCH, self._on_region_batch)
        # Nodes poll the store at different times; the first to read a version notifies the rest.
        state.handle_weights_named(self._report_announcements)
        self._reader.handle_announcements(self._confirm_announcements)
        state.store_era.handle_new(self._report_store_era)

    def handle_placements(self, on_placement: PlacementHandler, on_read: ReadHandler) -> None:
        """Set the handlers for each placement of a peer, and for its prompt being prefilled."""
        self._reader.handle_placements(on_placement, on_read)

    def handle_rollouts(self, handler: RolloutHandler) -> None:
        """Set the handler for each report of a peer on a software rollout."""
        self._reader.handle_rollouts(handler)

    def handle_runner_crashes(self, handler: RunnerEndHandler) -> None:
        """Set the handler for each runner crash that a peer reports."""
        self._reader.handle_runner_crashes(handler)

    def handle_load_changes(self, handler: Callable[[Runner], None]) -> None:
        """Set the handler for each change of this node's load on a runner."""
        self._on_load = handler

    def handle_new_peers(self, handler: PeerHandler) -> None:
        """Add a handler that gets a peer's name at the first notice from each of its processes."""
        self._on_new_peer.append(handler)

    def live_zones(self) -> dict[str, str]:
        """Return the zone of each live node; the same object until the result changes."""
        return self._liveness.zones(self._clock())

    def is_isolated(self) -> bool:
        """Return whether another region has nodes, and no messages arrive from that region."""
        topology = self._choice.topology
        live_regions = {topology.region_of(zone) for zone in self.live_zones().values()}
        return not live_regions.issuperset(self._choice.other_regions())

    def silent_nodes(self, seconds: float) -> list[NodeEntry]:
        """Return the nodes of this node's group from which nothing came for a number of seconds.

        Empty unless this node is the first live node of the group in relay order.
        """
        now = self._clock()
        group = self._choice.group(self._zone)
        order = self._state.nodes.relay_order(group)
        first = next((n for n in order if self._liveness.is_directly_reachable(n, now)), None)
        if first != self._state.node_id:
            return []
        return self._liveness.silent_nodes(seconds, group, now)

    def placed(self, notice: PlacementNotice) -> None:
        """Report a prompt sent to a runner, soon: until then peers may choose the same runner."""
        self._outbox.add_placement(notice)
        self._schedule_placements()

    def prompt_prefilled(self, number: int) -> None:
        """Report that the prompt of a placement was prefilled, so its parts can be fetched.

        The report is not urgent: until it arrives, peers already count the parts as cached at that
        runner, but don't fetch them from there.
        """
        self._outbox.add_read(number)
        self._schedule()

    def _schedule_placements(self) -> None:
        if self._placement_handle is None:
            loop = asyncio.get_running_loop()
            self._placement_handle = loop.call_later(PLACEMENT_SECONDS, self.flush)

    def load_changed(self, runner: Runner) -> None:
        """Report the load that this node has on a runner."""
        self._on_load(runner)
        self._outbox.add_load(runner)
        self._schedule()

    def cached(self, holder_id: str, entry: CacheEntry) -> None:
        """Report how many tokens of a prompt part a holder has cached."""
        self._outbox.add_cached(holder_id, entry)
        self._schedule()

    def cache_lost(self, holder_id: str) -> None:
        """Report at once that a holder has lost its whole cache."""
        self._outbox.add_cache_lost(holder_id)
        self.flush(urgent=True)

    def cache_store_unavailable(self, address: str) -> None:
        """Report at once that a KV cache store does not answer."""
        self._outbox.add_unavailable(address)
        self.flush(urgent=True)

    def send_cache(self, node_id: str, holder_id: str, entries: Sequence[CacheEntry]) -> None:
        """Send the cached parts of a holder to one peer."""
        node = self._state.nodes.get(node_id)
        if node is None:
            return
        for notice in self._outbox.cache_of(holder_id, entries):
            self._link.send(DatagramKind.NOTICE, peer_notices.encode(notice), node.address)

    def weights(self, notice: WeightsNotice) -> None:
        """Report at once that a runner loads weights or serves a version."""
        self._outbox.add_weights(notice)
        self.flush(urgent=True)

    def suspected(self, runner: Runner) -> None:
        """Report at once that a runner does not respond."""
        self._outbox.add_suspected(runner.runner_id)
        self.flush(urgent=True)

    def restarted(self, runner_id: str) -> None:
        """Report at once that a runner's process has ended and a new one answers."""
        self._outbox.add_restarted(runner_id)
        self.flush(urgent=True)

    def leaving(self, runner: Runner) -> None:
        """Report that a runner announced that it leaves.

        Nothing is sent if the store lists it as draining, or if a peer or this node reported it
        within the last ``HINT_AGAIN_SECONDS``.
        """
        now = self._clock()
        if runner.entry.draining or now < runner.leave_hinted_at + HINT_AGAIN_SECONDS:
            return
        runner.leave_hinted_at = now
        self._outbox.add_leaving(runner.runner_id)
        self._schedule()

    def limit_changed(self, runner_id: str, limit: RunnerLimit) -> None:
        """Report the limit that a runner has announced to this node."""
        limit.last_hint_at = self._clock()
        self._outbox.add_limit(_limit_notice(runner_id, limit, limit.last_hint_at))
        self._schedule()

    def send_initial_state(self, node_id: str) -> None:
        """Send a newly started node what runners have announced and the directory lacks.

        Without their limits it would send such a runner any number of requests until the first
        answer. Without the weights that they serve it would reject all requests for a version that
        the directory does not list yet.
        """
        node, now = self._state.nodes.get(node_id), self._clock()
        if node is None:
            return
        limits = self._state.pool.directly_reported_limits(now)
        notices = []
        if limits:
            limit_notices = [_limit_notice(name, limit, now) for name, limit in limits.items()]
            notices.append(self._outbox.limits_only(limit_notices))
        if self._reports_weights_to(node, now):
            notices += self._outbox.weights_only(_unlisted_weights(self._state.pool.all()))
        for notice in notices:
            self._link.send(DatagramKind.NOTICE, peer_notices.encode(notice), node.address)

    def _reports_weights_to(self, node: NodeEntry, now: float) -> bool:
        """Return whether this node reports the weights of runners to a newly started node.

        All nodes know them, so in a larger deployment a few nodes of each zone suffice.
        """
        topology = self._choice.topology
        if not topology.is_own_region(node.zone):
            return False
        group = self._choice.region_group(topology.region) if topology.has_regions() else None
        reporters = [
            other
            for other in self._state.nodes.relay_order(group)
            if other != node.node_id and self._liveness.is_directly_reachable(other, now)
        ]
        return self._state.node_id in reporters[:MAX_WEIGHTS_REPORTERS]

    def _correct_limit(self, runner_id: str) -> None:
        """Report this node's newer state of a limit after a peer reported an outdated one."""
        limit = self._state.pool.limit_state(runner_id)
        if limit is None or self._clock() < limit.last_hint_at + LIMIT_CORRECTION_SECONDS:
            return
        self.limit_changed(runner_id, limit)

    def report_runner_crash(self, notice: RunnerEndNotice) -> None:
        """Report at once that a runner crashed while it processed requests of this node."""
        self._outbox.add_runner_end(notice)
        self.flush(urgent=True)

    def send_runner_crashes(self, node_id: str, notices: list[RunnerEndNotice]) -> None:
        """Send runner crashes to one peer, each in its own datagram."""
        node = self._state.nodes.get(node_id)
        if node is None:
            return
        for ended in notices:
            notice = self._outbox.runner_end_only(ended)
            self._link.send(DatagramKind.NOTICE, peer_notices.encode(notice), node.address)

    def send_rollout_reports(self, reports: list[RolloutReport], *, urgent: bool = False) -> None:
        """Report what this node observed of the running rollouts, soon or at once."""
        self._outbox.set_rollouts(reports)
        if urgent:
            self.flush(urgent=True)
        else:
            self._schedule()

    async def run(self) -> None:
        """Repeat this node's loads periodically, until cancelled.

        The first notice is sent when the first read of the store has succeeded or failed, or after
        a bounded wait; the peers that receive it answer with the cached parts.
        """
        await self._state.start_gate.wait_for_first_read()
        while True:
            self.repeat_loads()
            await asyncio.sleep(REFRESH_SECONDS)

    async def relay(self) -> None:
        """Send heartbeats while this node relays, until cancelled."""
        if self._choice.topology.has_regions():
            # If one of them fails, the other one ends too, so that both start again.
            async with asyncio.TaskGroup() as running:
                running.create_task(self._relay.run())
                running.create_task(self._crossing.run())
        else:
            await self._relay.run()

    def repeat_loads(self) -> None:
        """Send all of this node's loads again, because they expire at the peers.

        The notice includes the recently announced weights versions, for peers that have just
        started. It is also the node's heartbeat, so it is sent even if it is empty.
        """
        for runner in self._state.pool.all():
            if len(runner.attempts):
                self._outbox.add_load(runner)
        self._outbox.set_announcements(self._recent_announcements())
        now = self._clock()
        for runner in self._state.pool.leaving_hints_due(now):
            if self._should_repeat(runner.leave_hinted_at, now):
                self.leaving(runner)
        for runner_id, limit in self._state.pool.limit_hints_due(now).items():
            if self._should_repeat(limit.last_hint_at, now):
                self.limit_changed(runner_id, limit)
        self.flush()

    def _should_repeat(self, reported_at: float, now: float) -> bool:
        """Return whether this node now repeats an announcement of a runner, before it expires.

        Only few nodes may have received the announcement itself, since a runner that leaves or is
        limited answers few requests.
        """
        is_overdue = now >= reported_at + 2 * HINT_AGAIN_SECONDS
        return is_overdue or self._rng.random() < REPEAT_PROBABILITY

    def flush(self, *, urgent: bool = False) -> None:
        """Send everything that was collected.

        Loads are sent along with placements that are due, though they could wait longer: each
        datagram saved spares this node and its relay an iteration of their event loops.

        Args:
            urgent: Whether a relay should forward it at once.
        """
        for handle in (self._flush_handle, self._placement_handle):
            if handle is not None:
                handle.cancel()
        self._flush_handle = self._placement_handle = None
        for notice in self._outbox.take():
            self._send(notice, urgent)

    def _recent_announcements(self) -> list[AnnouncementNotice]:
        named = self._state.versions.recent(self._clock())
        return [
            AnnouncementNotice(
                entry.model, entry.version, entry.revision.number, entry.revision.era
            )
            for entry in named
        ]

    def _report_announcements(self) -> None:
        self._outbox.set_announcements(self._recent_announcements())
        self.flush(urgent=True)

    def _confirm_announcements(self) -> None:
        """Report soon that this node knows a version of which a peer has informed it."""
        self._outbox.set_announcements(self._recent_announcements())
        self._schedule()

    def _report_store_era(self, source: str) -> None:
        """Report a restore of the store at once, if this node learned of it from the store."""
        if source != STORE:
            return
        self._outbox.set_store_era(self._state.store_era.current)
        self.flush(urgent=True)

    def _send(self, notice: NodeNotice, urgent: bool) -> None:
        """Send a notice to all nodes or, in a deployment with relays, to the zone's relay."""
        nodes = self._state.nodes
        if self._choice.group(self._zone) is None:
            others = (node for node in nodes.all() if node.node_id != self._state.node_id)
            payload = peer_notices.encode(notice)
            addresses = [node.address for node in others]
            self._link.send_to_all(DatagramKind.NOTICE, payload, addresses)
            return
        self._send_report(notice, urgent)

    def _send_report(self, notice: NodeNotice, urgent: bool) -> None:
        """Send a notice to the relay of this node's zone, which may be this node itself."""
        now = self._clock()
        rest = msgspec.structs.replace(notice, loads=[])
        report = NodeReport(
            PROTOCOL_VERSION,
            self._state.node_id,
            self._incarnation,
            notice.loads,
            peer_notices.encode(rest),
            is_news=rest.is_news(),
            is_urgent=urgent,
        )
        relay = self._choice.relay(self._zone, now)
        node = self._state.nodes.get(relay) if relay is not None else None
        if node is None or node.node_id == self._state.node_id:
            self._forward(report, rest, now)
        else:
            payload = pack(report)
            self._link.send(DatagramKind.REPORT, payload, node.address)

    def _forward(self, report: NodeReport, notice: NodeNotice, now: float) -> None:
        """Forward a report as the relay of this zone, and apply the zone's new total loads here.

        Args:
            report: The report of a node of this zone, or of this node.
            notice: The decoded notice in the report.
            now: Time on the node's clock.
        """
        sums = self._relay.forward_report(report, now)
        self._reader.apply_zone_loads(self._zone, sums, now)
        if self._choice.topology.has_regions():
            self._crossing.add_loads(self._zone, sums, now)
            self._crossing.add_notice(notice, now)

    def _on_notice(self, payload: bytes, peer: str) -> None:
        now = self._clock()
        notice = peer_notices.decode(payload, peer)
        self._choice.record_contact(notice.node_id, now)
        self._reader.apply_loads(notice.node_id, notice.loads, now)
        self._apply_notice(notice, now)

    def _on_report(self, payload: bytes, peer: str) -> None:
        now = self._clock()
        report = unpack(payload, NodeReport, peer)
        notice = peer_notices.decode(report.notice, peer)
        self._choice.record_contact(report.node_id, now)
        self._forward(report, notice, now)
        self._apply_notice(notice, now)

    def _on_zone_batch(self, payload: bytes, peer: str) -> None:
        batch = unpack(payload, RelayBatch, peer)
        now = self._clock()
        notices = self._apply_batch(batch, peer)
        self._relay.forward_batch(batch, now, urgent=_is_urgent(notices))
        self._choice.record_zone_relay(batch.zone, now)
        # A batch that came from another region is not sent across the link again.
        if batch.region or not self._choice.topology.has_regions():
            return
        for zone_loads in batch.loads:
            self._crossing.add_loads(zone_loads.zone, zone_loads.loads, now)
        for notice in notices:
            self._crossing.add_notice(notice, now)

    def _on_region_batch(self, payload: bytes, peer: str) -> None:
        batch = unpack(payload, RelayBatch, peer)
        now = self._clock()
        self._choice.record_border_relay(batch.region, batch.relay_id, now)
        notices = self._apply_batch(batch, peer)
        self._relay.forward_region_batch(batch, now, urgent=_is_urgent(notices))

    def _on_final_batch(self, payload: bytes, peer: str) -> None:
        self._apply_batch(unpack(payload, RelayBatch, peer), peer)

    def _apply_batch(self, batch: RelayBatch, peer: str) -> list[NodeNotice]:
        """Apply a batch; return the notices of other nodes in it."""
        now = self._clock()
        self._choice.record_contact(batch.relay_id, now)
        self._liveness.record_zone_contact(batch.zone, now)
        for zone_loads in batch.loads:
            self._liveness.record_zone_contact(zone_loads.zone, now)
            self._reader.apply_zone_loads(zone_loads.zone, zone_loads.loads, now)
        decoded = (peer_notices.decode(encoded, peer) for encoded in batch.notices)
        notices = [notice for notice in decoded if notice.node_id != self._state.node_id]
        for notice in notices:
            self._apply_notice(notice, now)
        return notices

    def _apply_notice(self, notice: NodeNotice, now: float) -> None:
        """Apply a notice except for its loads, and record that its sender is alive."""
        self._state.nodes.record_contact(notice.node_id, now)
        is_new = self._liveness.record_contact(notice.node_id, notice.incarnation, now)
        self._reader.apply(notice, now)
        if is_new:
            for handler in self._on_new_peer:
                handler(notice.node_id)

    def _schedule(self) -> None:
        if self._flush_handle is None:
            loop = asyncio.get_running_loop()
            direct = self._choice.group(self._zone) is None
            seconds = FLUSH_SECONDS if direct else RELAYED_FLUSH_SECONDS
            self._flush_handle = loop.call_later(seconds, self.flush)


def _limit_notice(runner_id: str, limit: RunnerLimit, now: float) -> LimitNotice:
    rate = NO_LIMIT if limit.rate is None else limit.rate
    return LimitNotice(runner_id, rate, round((now - limit.request_sent_at) * MILLISECONDS))


def _unlisted_weights(runners: Iterable[Runner]) -> list[WeightsNotice]:
    """Return the versions that runners serve but that their directory entries do not list yet."""
    return [
        WeightsNotice(runner.runner_id, model, version, WeightsPhase.SERVED)
        for runner in runners
        for model, version in runner.weights.items()
        if version > runner.entry.weights.get(model, 0)
    ]


def _is_urgent(notices: list[NodeNotice]) -> bool:
    return any(notice.is_urgent() for notice in notices)
