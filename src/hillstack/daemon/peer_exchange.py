"""Notices to and from the other nodes, in datagrams.

What changes is collected for a short time and sent together. Large prefills are told sooner than
loads: there are few of them, and each counts. A small deployment's nodes tell each other directly;
in a larger one each tells the relay of its zone, which hands it on (``notice_relay``), and one of
the relays of a region tells the other regions (``region_crossing``).
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
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
)
from hillstack.messages.relay_batches import NodeReport, RelayBatch
from hillstack.messages.rollout_reports import RolloutReport
from hillstack.messages.runner_ends import RunnerEndNotice
from hillstack.serving.fleet_state import FleetState

logger = logging.getLogger(__name__)

# A tenth of the shortest objective of a first event seen in a deployment (0.5 s).
FLUSH_SECONDS = 0.05
# By way of relays: a load is no part of the expected delay until a runner is full. At half of that
# a node sends a quarter more datagrams, each of which costs a turn of its relay.
RELAYED_FLUSH_SECONDS = 0.1
# Until a peer hears of a large prefill it sends there too. So it goes with what the node does in
# the same turns of its loop only; the relay waits for those of others (``notice_relay``).
PLACEMENT_SECONDS = 0.005
# Loads that are not repeated are forgotten after 2 s (``runner_load``): two may be lost.
REFRESH_SECONDS = 0.8
INCARNATION_BITS = 32
# A peer that tells of a limit which has ended is told so, no more often than that.
LIMIT_END_AGAIN_SECONDS = 0.25
MILLISECONDS = 1_000.0
# Of all nodes that know of a runner that leaves, few tell it again with a heartbeat: the others
# hear it from them and keep quiet. Of 1,500 nodes some 20 do within the 0.1 s that a word takes; of
# 7, one within a second.
HINT_AGAIN_CHANCE = 0.125

PeerHandler = Callable[[str], None]


class PeerExchange:
    """Sends and takes notices.

    Args:
        state: What the node knows.
        link: Where datagrams are sent and come from.
        choice: Who relays.
        zone: Zone of this node.
        clock: Monotonic seconds.
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
        self._reader.handle_outdated_limits(self._limit_outdated)
        self._relay = NoticeRelay(state, link, choice, zone, clock)
        self._crossing = RegionCrossing(state, link, choice, zone, self._relay.is_chosen, clock)
        self._flush_handle: asyncio.TimerHandle | None = None
        self._placement_handle: asyncio.TimerHandle | None = None
        self._on_new_peer: list[PeerHandler] = []
        link.handle(DatagramKind.NOTICE, self._take_notice)
        link.handle(DatagramKind.REPORT, self._take_report)
        link.handle(DatagramKind.ZONE_BATCH, self._take_zone_batch)
        link.handle(DatagramKind.FINAL_BATCH, self._take_final_batch)
        link.handle(DatagramKind.REGION_BATCH, self._take_region_batch)
        # Each node asks the store at its own times: the first to hear of a version tells the rest.
        state.handle_weights_named(self._tell_announcements)
        state.store_era.handle_new(self._tell_store_era)

    def handle_placements(self, on_placement: PlacementHandler, on_read: ReadHandler) -> None:
        """Call handlers for each placement that a peer tells of, and when its prompt is read."""
        self._reader.handle_placements(on_placement, on_read)

    def handle_rollouts(self, handler: RolloutHandler) -> None:
        """Call a handler for each report of a peer on a rollout of software."""
        self._reader.handle_rollouts(handler)

    def handle_runner_ends(self, handler: RunnerEndHandler) -> None:
        """Call a handler for each runner that a peer saw end."""
        self._reader.handle_runner_ends(handler)

    def handle_new_peers(self, handler: PeerHandler) -> None:
        """Call a handler with the name of each peer whose process is heard for the first time."""
        self._on_new_peer.append(handler)

    def live_zones(self) -> dict[str, str]:
        """Return the zone of each node that is alive; the same object until that changes."""
        return self._liveness.zones(self._clock())

    def silent_nodes(self, seconds: float) -> list[NodeEntry]:
        """Return the nodes that this node relays for and has not heard of for some seconds."""
        now = self._clock()
        group = self._choice.group(self._zone)
        order = self._state.nodes.relay_order(group)
        first = next((n for n in order if self._liveness.is_heard(n, now)), None)
        if first != self._state.node_id:
            return []
        return self._liveness.silent_for(seconds, group, now)

    def placed(self, notice: PlacementNotice) -> None:
        """Tell what was sent to a runner, soon: until then the peers send there too."""
        self._outbox.add_placement(notice)
        self._schedule_placements()

    def prompt_read(self, number: int) -> None:
        """Tell that the prompt of a placement is read: its parts can be fetched from there.

        It can wait: until then the parts count as kept, and only a fetch from there does not.
        """
        self._outbox.add_read(number)
        self._schedule()

    def _schedule_placements(self) -> None:
        if self._placement_handle is None:
            loop = asyncio.get_running_loop()
            self._placement_handle = loop.call_later(PLACEMENT_SECONDS, self.flush)

    def load_changed(self, runner: Runner) -> None:
        """Tell the load that this node has on a runner."""
        self._outbox.add_load(runner)
        self._schedule()

    def cached(self, holder_id: str, entry: CacheEntry) -> None:
        """Tell what a holder keeps of a part."""
        self._outbox.add_cached(holder_id, entry)
        self._schedule()

    def cache_lost(self, holder_id: str) -> None:
        """Tell that a holder has lost everything, at once."""
        self._outbox.add_cache_lost(holder_id)
        self.flush(urgent=True)

    def store_unavailable(self, address: str) -> None:
        """Tell that a store of kept KV cache does not answer, at once."""
        self._outbox.add_unavailable(address)
        self.flush(urgent=True)

    def send_cache(self, node_id: str, holder_id: str, entries: Sequence[CacheEntry]) -> None:
        """Tell one peer what a holder keeps."""
        node = self._state.nodes.get(node_id)
        if node is None:
            return
        for notice in self._outbox.cache_of(holder_id, entries):
            self._link.send(DatagramKind.NOTICE, peer_notices.encode(notice), node.address)

    def weights(self, notice: WeightsNotice) -> None:
        """Tell that a runner loads weights or serves a version, at once."""
        self._outbox.add_weights(notice)
        self.flush(urgent=True)

    def suspected(self, runner: Runner) -> None:
        """Tell that a runner is silent, at once."""
        self._outbox.add_suspected(runner.runner_id)
        self.flush(urgent=True)

    def restarted(self, runner_id: str) -> None:
        """Tell that a runner's process has ended and its next one answers, at once."""
        self._outbox.add_restarted(runner_id)
        self.flush(urgent=True)

    def leaving(self, runner: Runner) -> None:
        """Tell that a runner says that it leaves, unless peers know: by another, or the store."""
        now = self._clock()
        if runner.entry.draining or now < runner.hinted_at + HINT_AGAIN_SECONDS:
            return
        runner.hinted_at = now
        self._outbox.add_leaving(runner.runner_id)
        self._schedule()

    def limit_changed(self, runner_id: str, limit: RunnerLimit) -> None:
        """Tell what a runner has told this node of its limit."""
        limit.told_at = self._clock()
        self._outbox.add_limit(_limit_notice(runner_id, limit, limit.told_at))
        self._schedule()

    def welcome(self, node_id: str) -> None:
        """Tell a node that has just started of the limits that runners have named to this one.

        Before its first answer of such a runner it would send there what it likes.
        """
        node, now = self._state.nodes.get(node_id), self._clock()
        limits = self._state.pool.own_limits(now)
        if node is None or not limits:
            return
        notice = self._outbox.limits_only(
            [_limit_notice(runner_id, limit, now) for runner_id, limit in limits.items()]
        )
        self._link.send(DatagramKind.NOTICE, peer_notices.encode(notice), node.address)

    def _limit_outdated(self, runner_id: str) -> None:
        limit = self._state.pool.limit_state(runner_id)
        if limit is None or self._clock() < limit.told_at + LIMIT_END_AGAIN_SECONDS:
            return
        self.limit_changed(runner_id, limit)

    def runner_ended(self, notice: RunnerEndNotice) -> None:
        """Tell of a runner that ended while it worked on requests of this node, at once."""
        self._outbox.add_runner_end(notice)
        self.flush(urgent=True)

    def send_runner_ends(self, node_id: str, notices: list[RunnerEndNotice]) -> None:
        """Tell one peer of runners that have ended, each in a datagram of its own."""
        node = self._state.nodes.get(node_id)
        if node is None:
            return
        for ended in notices:
            notice = self._outbox.runner_end_only(ended)
            self._link.send(DatagramKind.NOTICE, peer_notices.encode(notice), node.address)

    def tell_rollouts(self, reports: list[RolloutReport], *, urgent: bool = False) -> None:
        """Tell what this node saw of the rollouts that are under way, soon or at once."""
        self._outbox.set_rollouts(reports)
        if urgent:
            self.flush(urgent=True)
        else:
            self._schedule()

    async def run(self) -> None:
        """Repeat this node's loads now and then, until cancelled.

        The first notice goes out as soon as the peers are known: they answer with what is cached.
        """
        await self._state.start_gate.passed()
        while True:
            self.repeat_loads()
            await asyncio.sleep(REFRESH_SECONDS)

    async def relay(self) -> None:
        """Send a sign of life now and then while this node relays, until cancelled."""
        if self._choice.topology.has_regions():
            await asyncio.gather(self._relay.run(), self._crossing.run())
        else:
            await self._relay.run()

    def repeat_loads(self) -> None:
        """Send all of this node's loads again, since peers forget them after a while.

        Versions that were named lately go with them, for peers that have just started. It is the
        node's heartbeat too, so it is sent when there is nothing to tell.
        """
        for runner in self._state.pool.all():
            if len(runner.attempts):
                self._outbox.add_load(runner)
        self._outbox.set_announcements(self._recent_announcements())
        now = self._clock()
        for runner in self._state.pool.to_hint(now):
            if self._tells_again(runner.hinted_at, now):
                self.leaving(runner)
        for runner_id, limit in self._state.pool.limits_to_tell(now).items():
            if self._tells_again(limit.told_at, now):
                self.limit_changed(runner_id, limit)
        self.flush()

    def _tells_again(self, told_at: float, now: float) -> bool:
        """Return whether this node repeats what a runner has told it, before the word lapses.

        Few nodes may know it: a runner that leaves or is limited answers few requests.
        """
        is_overdue = now >= told_at + 2 * HINT_AGAIN_SECONDS
        return is_overdue or self._rng.random() < HINT_AGAIN_CHANCE

    def flush(self, *, urgent: bool = False) -> None:
        """Send everything that was collected.

        Loads go with placements that are due, though they might wait longer: each datagram that a
        node does not send saves a turn of its own loop and one of its relay's.

        Args:
            urgent: Whether a relay should hand it on at once.
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

    def _tell_announcements(self) -> None:
        self._outbox.set_announcements(self._recent_announcements())
        self.flush(urgent=True)

    def _tell_store_era(self, told_by: str) -> None:
        """Tell at once that the store was restored, if this node has it from the store itself."""
        if told_by != STORE:
            return
        self._outbox.set_store_era(self._state.store_era.current)
        self.flush(urgent=True)

    def _send(self, notice: NodeNotice, urgent: bool) -> None:
        nodes = self._state.nodes
        if self._choice.group(self._zone) is None:
            others = (node for node in nodes.all() if node.node_id != self._state.node_id)
            payload = peer_notices.encode(notice)
            addresses = [node.address for node in others]
            self._link.send_to_all(DatagramKind.NOTICE, payload, addresses)
            return
        self._report(notice, urgent)

    def _report(self, notice: NodeNotice, urgent: bool) -> None:
        """Tell the relay of this node's zone, which may be this node itself."""
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
            self._hand_on(report, rest, now)
        else:
            payload = pack(report)
            self._link.send(DatagramKind.REPORT, payload, node.address)

    def _hand_on(self, report: NodeReport, notice: NodeNotice, now: float) -> None:
        sums = self._relay.take_report(report, now)
        self._reader.take_zone_loads(self._zone, sums, now)
        if self._choice.topology.has_regions():
            self._crossing.take_loads(self._zone, sums, now)
            self._crossing.take_notice(notice, now)

    def _take_notice(self, payload: bytes, peer: str) -> None:
        now = self._clock()
        notice = peer_notices.decode(payload, peer)
        self._choice.heard(notice.node_id, now)
        self._reader.take_loads(notice.node_id, notice.loads, now)
        self._take_words(notice, now)

    def _take_report(self, payload: bytes, peer: str) -> None:
        now = self._clock()
        report = unpack(payload, NodeReport, peer)
        notice = peer_notices.decode(report.notice, peer)
        self._choice.heard(report.node_id, now)
        self._hand_on(report, notice, now)
        self._take_words(notice, now)

    def _take_zone_batch(self, payload: bytes, peer: str) -> None:
        batch = unpack(payload, RelayBatch, peer)
        now = self._clock()
        notices = self._take_batch(batch, peer)
        self._relay.take_batch(batch, now, urgent=_is_urgent(notices))
        self._choice.heard_zone(batch.zone, now)
        if batch.region or not self._choice.topology.has_regions():
            return
        for zone_loads in batch.loads:
            self._crossing.take_loads(zone_loads.zone, zone_loads.loads, now)
        for notice in notices:
            self._crossing.take_notice(notice, now)

    def _take_region_batch(self, payload: bytes, peer: str) -> None:
        batch = unpack(payload, RelayBatch, peer)
        now = self._clock()
        self._choice.heard_speaker(batch.region, batch.relay_id, now)
        notices = self._take_batch(batch, peer)
        self._relay.take_region_batch(batch, now, urgent=_is_urgent(notices))

    def _take_final_batch(self, payload: bytes, peer: str) -> None:
        self._take_batch(unpack(payload, RelayBatch, peer), peer)

    def _take_batch(self, batch: RelayBatch, peer: str) -> list[NodeNotice]:
        """Take over a batch; return the notices of others in it."""
        now = self._clock()
        self._choice.heard(batch.relay_id, now)
        self._liveness.heard_zone(batch.zone, now)
        for zone_loads in batch.loads:
            self._liveness.heard_zone(zone_loads.zone, now)
            self._reader.take_zone_loads(zone_loads.zone, zone_loads.loads, now)
        decoded = (peer_notices.decode(encoded, peer) for encoded in batch.notices)
        notices = [notice for notice in decoded if notice.node_id != self._state.node_id]
        for notice in notices:
            self._take_words(notice, now)
        return notices

    def _take_words(self, notice: NodeNotice, now: float) -> None:
        """Take over what a node says of others than itself, and that it is alive."""
        self._state.nodes.note_heard(notice.node_id, now)
        is_new = self._liveness.heard(notice.node_id, notice.incarnation, now)
        self._reader.take(notice, now)
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
    return LimitNotice(runner_id, rate, round((now - limit.asked_at) * MILLISECONDS))


def _is_urgent(notices: list[NodeNotice]) -> bool:
    return any(notice.is_urgent() for notice in notices)
