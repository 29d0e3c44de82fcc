"""Cross-region notices: each one crosses the narrow link between two regions once.

All relays of a region receive all notices of the region. One of them, the border relay, sends them
to a node of each other region, which forwards them there (``NoticeRelay.forward_region_batch``).
The border relay omits notices that no placement in the other region uses: those of single prompts,
unless the prompt was sent to a runner of that region. It sends the locations of shared prompt
parts, because requests are placed where their parts are cached. Loads are sent as one sum for the
region.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterable

import msgspec

from hillstack.core.relay_choice import RelayChoice
from hillstack.core.runner_load import ReportedLoads
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.relay_outbox import HEARTBEAT_SECONDS, RelayOutbox
from hillstack.messages import peer_notices
from hillstack.messages.datagrams import DatagramKind
from hillstack.messages.packing import pack
from hillstack.messages.peer_notices import (
    AnnouncementNotice,
    CacheNotice,
    LoadNotice,
    NodeNotice,
    PlacementNotice,
)
from hillstack.serving.fleet_state import FleetState

# How long control notices, which all nodes need soon, are collected, so that those of several nodes
# on the same event share a datagram: about twice the latency seen between two regions (12 ms).
CONTROL_DELAY_SECONDS = 0.02
# Interval for loads and prompts at runners of the other region. A request that is sent to another
# region takes several times the one-way latency and is late anyway, so its runner is chosen by
# load, not by single prompts.
REMOTE_RUNNERS_SECONDS = 0.2
# Interval for the loads of a region on its own runners, from which other regions see whether these
# are full. Loads expire after 2 s (``runner_load``) and are all in one datagram, so three
# consecutive datagrams may be lost. At 0.8 s, with a fifth of the datagrams lost, all loads of a
# region expired occasionally.
ALL_LOADS_SECONDS = 0.4
# A node repeats the announcement of a version each 0.8 s for some seconds; a whole region repeats
# it at the same interval.
ANNOUNCEMENT_SECONDS = 0.8
# Bound on remembered unprocessed prompts at runners of other regions: those of some seconds at 100
# a second.
MAX_REMOTE_PROMPTS = 512
# Bound on remembered reports that a shared part is cached at a runner: several times the parts that
# the runners of a region hold at a time. Beyond it the oldest are forgotten, and reported again.
MAX_REPORTED_PARTS = 8_192


class RegionCrossing:
    """Collects notices for other regions, and sends them while this node is the border relay.

    Args:
        state: State of this node.
        link: Sends datagrams.
        choice: Selects the border relays of the regions.
        zone: Zone of this node.
        is_relay: Returns whether this node is the relay of its zone at a time.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self,
        state: FleetState,
        link: PeerLink,
        choice: RelayChoice,
        zone: str,
        is_relay: Callable[[float], bool],
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._link = link
        self._choice = choice
        self._zone = zone
        self._is_relay = is_relay
        self._clock = clock
        # Unsent notices: control notices for all regions, and by region those sent with the loads.
        self._control: list[NodeNotice] = []
        self._other_region_notices: dict[str, list[NodeNotice]] = {}
        # Loads of this region by runner; and as last sent, by receiving region and runner.
        self._loads: dict[str, ReportedLoads] = {}
        self._sent_loads: dict[str, dict[str, LoadNotice]] = {}
        # When all loads were last sent, and when anything was last sent, by receiving region.
        self._all_loads_sent_at: dict[str, float] = {}
        self._sent_at: dict[str, float] = {}
        # Region to which a prompt was reported, by node and number of the prompt.
        self._prompt_regions: OrderedDict[tuple[str, int], str] = OrderedDict()
        # Shared parts that were reported as cached: runner, salt and part.
        self._reported_parts: OrderedDict[tuple[str, str, str], None] = OrderedDict()
        # When a version was last announced to other regions, by model, version and the region whose
        # nodes all know it, if they do.
        self._announced_at: dict[tuple[str, int, str], float] = {}
        self._incarnations: dict[str, int] = {}
        self._timer: asyncio.TimerHandle | None = None

    def is_border_relay(self, now: float) -> bool:
        """Return whether this node is the border relay of its region."""
        return self._is_relay(now) and self._choice.sends_for_region(self._zone, now)

    def add_loads(self, zone: str, loads: Iterable[LoadNotice], now: float) -> None:
        """Record the loads that a zone of this region has on runners."""
        for load in loads:
            reported = self._loads.setdefault(load.runner_id, ReportedLoads())
            reported.report(zone, load.load(), now)

    def add_notice(self, notice: NodeNotice, now: float) -> None:
        """Collect what other regions need of a notice of a node of this region."""
        if not self.is_border_relay(now):
            return
        control = self._control_notice(notice, now)
        if control is not None:
            self._control.append(control)
            self._schedule()
        if not (notice.placements or notice.reads or notice.cache):
            return
        cached_parts = [*notice.cache, *self._newly_cached(notice)]
        for region in self._choice.other_regions():
            rest = self._remote_notice(notice, region, cached_parts)
            if rest.is_news():
                self._other_region_notices.setdefault(region, []).append(rest)

    async def run(self) -> None:
        """Send due notices and loads periodically, until cancelled."""
        while True:
            now = self._clock()
            is_border_relay = self.is_border_relay(now)
            if is_border_relay:
                self._flush()
            else:
                # Unsent notices are stale by now; the current border relay sends its own.
                self._other_region_notices.clear()
                self._sent_loads.clear()
            self._discard_idle_runners(now)
            await asyncio.sleep(REMOTE_RUNNERS_SECONDS if is_border_relay else HEARTBEAT_SECONDS)

    def _flush_control(self) -> None:
        self._timer = None
        notices, self._control = self._control, []
        now = self._clock()
        for region in self._choice.other_regions():
            outbox = RelayOutbox(self._choice.topology.region)
            outbox.notices.extend(peer_notices.encode(notice) for notice in notices)
            self._send(region, outbox, now)

    def _flush(self) -> None:
        now = self._clock()
        for region in self._choice.other_regions():
            outbox = RelayOutbox(self._choice.topology.region)
            rest = self._other_region_notices.pop(region, [])
            outbox.notices.extend(peer_notices.encode(notice) for notice in rest)
            self._add_loads(outbox, region, now)
            silent_seconds = now - self._sent_at.get(region, float("-inf"))
            if outbox.loads or outbox.notices or silent_seconds >= HEARTBEAT_SECONDS:
                self._send(region, outbox, now)

    def _send(self, region: str, outbox: RelayOutbox, now: float) -> None:
        receiver = self._choice.border_relay_of(region, now)
        if receiver is None:
            return
        self._sent_at[region] = now
        for batch in outbox.batches(self._state.node_id, self._zone):
            self._link.send(DatagramKind.REGION_BATCH, pack(batch), receiver.address)

    def _add_loads(self, outbox: RelayOutbox, region: str, now: float) -> None:
        """Add the changed loads on a region's runners; at longer intervals, all loads."""
        sent = self._sent_loads.setdefault(region, {})
        is_due = now - self._all_loads_sent_at.get(region, float("-inf")) >= ALL_LOADS_SECONDS
        for runner_id, reported in self._loads.items():
            load = LoadNotice.of(runner_id, reported.total(now))
            last_sent = sent.get(runner_id)
            if load == last_sent and not is_due:
                continue
            is_idle = load.load().is_zero()
            if is_idle and last_sent is None:
                continue
            if is_due or self._region_of(runner_id) == region:
                outbox.add_load(f"region {self._choice.topology.region}", load)
                sent[runner_id] = load
                if is_idle:
                    del sent[runner_id]
        if is_due:
            self._all_loads_sent_at[region] = now
            self._add_zones(outbox, now)

    def _discard_idle_runners(self, now: float) -> None:
        """Discard idle runners, which may have been removed, once their last load was sent."""
        idle = [key for key, loads in self._loads.items() if loads.total(now).is_zero()]
        for runner_id in idle:
            if not any(runner_id in sent for sent in self._sent_loads.values()):
                del self._loads[runner_id]

    def _add_zones(self, outbox: RelayOutbox, now: float) -> None:
        """Report which zones of this region are alive."""
        for zone in self._choice.region_group(self._choice.topology.region).zones:
            if zone == self._zone or self._choice.is_zone_relay_reachable(zone, now):
                outbox.add_zone(zone)

    def _control_notice(self, notice: NodeNotice, now: float) -> NodeNotice | None:
        """Return the part of a notice that all nodes need; None if there is none."""
        is_new = self._incarnations.get(notice.node_id) != notice.incarnation
        self._incarnations[notice.node_id] = notice.incarnation
        claimed = (self._claim_announcement(entry, now) for entry in notice.announcements)
        named = [entry for entry in claimed if entry is not None]
        control = msgspec.structs.replace(
            notice, placements=[], loads=[], reads=[], cache=[], announcements=named
        )
        return control if is_new or control.is_control() else None

    def _claim_announcement(
        self, entry: AnnouncementNotice, now: float
    ) -> AnnouncementNotice | None:
        """Return an announcement that is due to be sent, or due again; record it as sent.

        It is marked if all nodes of this region know the version, and sent once more as soon as
        they do. None if it is not due.
        """
        complete = entry.model, entry.version, self._choice.topology.region
        # A marked announcement counts as an unmarked one, too.
        if self._was_announced_lately(complete, now):
            return None
        marked = entry
        if self._is_known_in_region(entry):
            marked = msgspec.structs.replace(entry, known_in_region=complete[2])
        key = entry.model, entry.version, marked.known_in_region
        if self._was_announced_lately(key, now):
            return None
        self._announced_at[key] = self._announced_at[entry.model, entry.version, ""] = now
        return marked

    def _was_announced_lately(self, key: tuple[str, int, str], now: float) -> bool:
        return now - self._announced_at.get(key, float("-inf")) < ANNOUNCEMENT_SECONDS

    def _is_known_in_region(self, entry: AnnouncementNotice) -> bool:
        """Return whether all other nodes of this region have reported that they know a version."""
        state, region = self._state, self._choice.topology.region
        others = (
            node.node_id
            for node in state.nodes.all()
            if node.node_id != state.node_id and state.topology.region_of(node.zone) == region
        )
        return state.announcement_receipts.all_know(others, entry.model, entry.version)

    def _remote_notice(
        self, notice: NodeNotice, region: str, cached_parts: list[CacheNotice]
    ) -> NodeNotice:
        """Return a notice's prompts at runners of another region, with cached parts."""
        placements = [p for p in notice.placements if self._region_of(p.runner_id) == region]
        for placement in placements:
            self._prompt_regions[notice.node_id, placement.number] = region
        while len(self._prompt_regions) > MAX_REMOTE_PROMPTS:
            self._prompt_regions.popitem(last=False)
        prompt_regions = self._prompt_regions
        return NodeNotice(
            notice.protocol,
            notice.node_id,
            notice.incarnation,
            placements=placements,
            cache=cached_parts,
            reads=[n for n in notice.reads if prompt_regions.get((notice.node_id, n)) == region],
        )

    def _newly_cached(self, notice: NodeNotice) -> list[CacheNotice]:
        """Return the shared parts that prompts of a notice newly bring to this region's runners.

        Nodes of this region know these parts from the prompts. Other regions are notified once,
        and again after the runner has dropped the part.
        """
        for cached in notice.cache:
            for part_id, tokens in cached.parts:
                if tokens == 0:
                    self._reported_parts.pop((cached.holder_id, cached.salt, part_id), None)
        local_region = self._choice.topology.region
        return [
            CacheNotice(placement.runner_id, placement.salt, placement.parts)
            for placement in notice.placements
            if self._region_of(placement.runner_id) == local_region
            and self._mark_reported(placement)
        ]

    def _mark_reported(self, placement: PlacementNotice) -> bool:
        """Record a prompt's shared parts as reported; return whether one was not before."""
        is_new = False
        for part_id, _ in placement.parts:
            key = placement.runner_id, placement.salt, part_id
            is_new = is_new or key not in self._reported_parts
            self._reported_parts[key] = None
            self._reported_parts.move_to_end(key)
        while len(self._reported_parts) > MAX_REPORTED_PARTS:
            self._reported_parts.popitem(last=False)
        return is_new

    def _region_of(self, holder_id: str) -> str | None:
        """Return the region of a runner, or of a KV cache store; None if unknown."""
        runner = self._state.pool.get(holder_id)
        if runner is not None:
            return self._choice.topology.region_of(runner.entry.zone)
        table = self._state.table
        for store in table.kv_cache_stores() if table is not None else []:
            if store.address == holder_id:
                return self._choice.topology.region_of(store.zone)
        return None

    def _schedule(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CONTROL_DELAY_SECONDS, self._flush_control)
