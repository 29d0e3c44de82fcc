"""What one region tells another one, over a narrow link: each word crosses once.

Every relay of a region hears all words of it. The one that speaks for the region sends them to a
node of each other region, which hands them on there (``NoticeRelay.take_region_batch``). It leaves
out what no choice over there uses: single prompts and reads, unless they are at a runner of that
region. Which shared parts lie where crosses, since a prompt follows them to where they lie. Loads
cross as one sum for the region.
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

# How long words that each node must hear soon are collected, so that what several nodes say of the
# same thing crosses in one datagram: about twice the way between two regions that was seen (12 ms).
CONTROL_SECONDS = 0.02
# Loads and prompts at runners of the other region: a request that crosses takes several such ways
# and is late anyway, so a runner there is chosen by its load, not by single prompts.
BORROWED_SECONDS = 0.2
# Loads of a region on its own runners, of which the other one needs to know whether they are full.
# They expire after 2 s (``runner_load``) and all come in one datagram, of which three in a row may
# be lost. At 0.8 s, where a fifth of the datagrams was lost, all loads of a region expired now and
# then.
LOADS_SECONDS = 0.4
# Each node names a version each 0.8 s for some seconds; a whole region names it as often.
ANNOUNCEMENT_SECONDS = 0.8
# Prompts at runners of other regions that are not read yet: some seconds' worth at 100 a second.
MAX_BORROWED = 512
# Shared parts that were told to lie at a runner: several times those that the runners of a region
# hold at a time. Beyond that the oldest are forgotten, and told again.
MAX_KEPT = 8_192


class RegionCrossing:
    """Collects what other regions need to hear, and sends it while this node speaks for its own.

    Args:
        state: What the node knows.
        link: Where datagrams are sent.
        choice: Who speaks for which region.
        zone: Zone of this node.
        is_relay: Whether this node is the relay of its zone at a time.
        clock: Monotonic seconds.
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
        # Notices that wait to be sent: to all regions soon, and by region with the loads.
        self._control: list[NodeNotice] = []
        self._borrowed: dict[str, list[NodeNotice]] = {}
        # Loads of this region by runner; and by region and runner as last told.
        self._loads: dict[str, ReportedLoads] = {}
        self._told: dict[str, dict[str, LoadNotice]] = {}
        # When all loads were last told, and when anything was last sent, by region.
        self._told_at: dict[str, float] = {}
        self._sent_at: dict[str, float] = {}
        # Region to which a prompt was told, by node and number of the prompt.
        self._crossed: OrderedDict[tuple[str, int], str] = OrderedDict()
        # Shared parts that were told: runner, salt and part.
        self._told_parts: OrderedDict[tuple[str, str, str], None] = OrderedDict()
        # When other regions were told of a version, by model and version.
        self._named_told_at: dict[tuple[str, int], float] = {}
        self._incarnations: dict[str, int] = {}
        self._timer: asyncio.TimerHandle | None = None

    def speaks(self, now: float) -> bool:
        """Return whether this node speaks for its region."""
        return self._is_relay(now) and self._choice.speaks_for_region(self._zone, now)

    def take_loads(self, zone: str, loads: Iterable[LoadNotice], now: float) -> None:
        """Take the loads that a zone of this region has on runners."""
        for load in loads:
            reported = self._loads.setdefault(load.runner_id, ReportedLoads())
            reported.report(zone, load.load(), now)

    def take_notice(self, notice: NodeNotice, now: float) -> None:
        """Take what a node of this region says, and keep what crosses."""
        if not self.speaks(now):
            return
        control = self._control_of(notice, now)
        if control is not None:
            self._control.append(control)
            self._schedule()
        if not (notice.placements or notice.reads or notice.cache):
            return
        kept = [*notice.cache, *self._kept_anew(notice)]
        for region in self._choice.other_regions():
            rest = self._borrowed_of(notice, region, kept)
            if rest.is_news():
                self._borrowed.setdefault(region, []).append(rest)

    async def run(self) -> None:
        """Send what is due now and then, until cancelled."""
        while True:
            now = self._clock()
            speaks = self.speaks(now)
            if speaks:
                self._flush()
            else:
                # What is not told by then is old; the node that speaks tells it.
                self._borrowed.clear()
                self._told.clear()
            self._forget_idle_runners(now)
            await asyncio.sleep(BORROWED_SECONDS if speaks else HEARTBEAT_SECONDS)

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
            rest = self._borrowed.pop(region, [])
            outbox.notices.extend(peer_notices.encode(notice) for notice in rest)
            self._add_loads(outbox, region, now)
            silent_for = now - self._sent_at.get(region, float("-inf"))
            if outbox.loads or outbox.notices or silent_for >= HEARTBEAT_SECONDS:
                self._send(region, outbox, now)

    def _send(self, region: str, outbox: RelayOutbox, now: float) -> None:
        speaker = self._choice.speaker_of(region, now)
        if speaker is None:
            return
        self._sent_at[region] = now
        for batch in outbox.batches(self._state.node_id, self._zone):
            self._link.send(DatagramKind.REGION_BATCH, pack(batch), speaker.address)

    def _add_loads(self, outbox: RelayOutbox, region: str, now: float) -> None:
        """Add the sums that have changed at runners of a region, or all of them now and then."""
        told = self._told.setdefault(region, {})
        is_due = now - self._told_at.get(region, float("-inf")) >= LOADS_SECONDS
        for runner_id, reported in self._loads.items():
            load = LoadNotice.of(runner_id, reported.total(now))
            known = told.get(runner_id)
            if load == known and not is_due:
                continue
            is_idle = load.load().is_zero()
            if is_idle and known is None:
                continue
            if is_due or self._region_of(runner_id) == region:
                outbox.add_load(f"region {self._choice.topology.region}", load)
                told[runner_id] = load
                if is_idle:
                    del told[runner_id]
        if is_due:
            self._told_at[region] = now
            self._add_zones(outbox, now)

    def _forget_idle_runners(self, now: float) -> None:
        """Forget runners on which nobody has told of a load lately: they may be gone."""
        idle = [key for key, loads in self._loads.items() if loads.total(now).is_zero()]
        for runner_id in idle:
            if not any(runner_id in told for told in self._told.values()):
                del self._loads[runner_id]

    def _add_zones(self, outbox: RelayOutbox, now: float) -> None:
        """Say which zones of this region are alive."""
        for zone in self._choice.region_group(self._choice.topology.region).zones:
            if zone == self._zone or self._choice.hears_zone(zone, now):
                outbox.add_zone(zone)

    def _control_of(self, notice: NodeNotice, now: float) -> NodeNotice | None:
        """Return what each node must hear of a notice; None if there is nothing."""
        is_new = self._incarnations.get(notice.node_id) != notice.incarnation
        self._incarnations[notice.node_id] = notice.incarnation
        named = [entry for entry in notice.announcements if self._is_named_anew(entry, now)]
        control = msgspec.structs.replace(
            notice, placements=[], loads=[], reads=[], cache=[], announcements=named
        )
        return control if is_new or control.is_control() else None

    def _is_named_anew(self, entry: AnnouncementNotice, now: float) -> bool:
        """Return whether other regions lack a word on a version, or may have lost it."""
        key = entry.model, entry.version
        if now - self._named_told_at.get(key, float("-inf")) < ANNOUNCEMENT_SECONDS:
            return False
        self._named_told_at[key] = now
        return True

    def _borrowed_of(self, notice: NodeNotice, region: str, kept: list[CacheNotice]) -> NodeNotice:
        """Return what a notice says of single prompts in another region, and of cached parts."""
        placements = [p for p in notice.placements if self._region_of(p.runner_id) == region]
        for placement in placements:
            self._crossed[notice.node_id, placement.number] = region
        while len(self._crossed) > MAX_BORROWED:
            self._crossed.popitem(last=False)
        crossed = self._crossed
        return NodeNotice(
            notice.protocol,
            notice.node_id,
            notice.incarnation,
            placements=placements,
            cache=kept,
            reads=[n for n in notice.reads if crossed.get((notice.node_id, n)) == region],
        )

    def _kept_anew(self, notice: NodeNotice) -> list[CacheNotice]:
        """Return the shared parts that prompts of a notice bring to runners of this region.

        Nodes of this region know them from the prompts; elsewhere they are told once, until their
        runner has dropped them.
        """
        for cached in notice.cache:
            for part_id, tokens in cached.parts:
                if tokens == 0:
                    self._told_parts.pop((cached.holder_id, cached.salt, part_id), None)
        own_region = self._choice.topology.region
        return [
            CacheNotice(placement.runner_id, placement.salt, placement.parts)
            for placement in notice.placements
            if self._region_of(placement.runner_id) == own_region and self._is_kept_anew(placement)
        ]

    def _is_kept_anew(self, placement: PlacementNotice) -> bool:
        """Return whether the shared parts of a prompt were not told to lie at its runner yet."""
        is_new = False
        for part_id, _ in placement.parts:
            key = placement.runner_id, placement.salt, part_id
            is_new = is_new or key not in self._told_parts
            self._told_parts[key] = None
            self._told_parts.move_to_end(key)
        while len(self._told_parts) > MAX_KEPT:
            self._told_parts.popitem(last=False)
        return is_new

    def _region_of(self, holder_id: str) -> str | None:
        """Return the region of a runner, or of a store of kept KV cache; None if unknown."""
        runner = self._state.pool.get(holder_id)
        if runner is not None:
            return self._choice.topology.region_of(runner.entry.zone)
        table = self._state.table
        for store in table.kept_cache_stores() if table is not None else []:
            if store.address == holder_id:
                return self._choice.topology.region_of(store.zone)
        return None

    def _schedule(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CONTROL_SECONDS, self._flush_control)
