"""Forwards notices between the nodes of a zone, and to and from the other zones.

In a large deployment each node sends its notices only to the relay of its zone. The relay collects
them for a short time, adds up the loads, and sends one batch to each node of its zone and one to
the relay of each other zone of its region, which forwards the batch to the nodes of that zone. So a
node receives about 20 datagrams per second regardless of the number of nodes, and a notice crosses
to another zone once, not once for each node there. For other regions see ``region_crossing``.

Any node relays when it receives a report; ``RelayChoice`` selects the node that receives them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from hillstack.core.relay_choice import RelayChoice
from hillstack.core.runner_load import ReportedLoads
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.relay_outbox import HEARTBEAT_SECONDS, RelayOutbox
from hillstack.messages.datagrams import DatagramKind
from hillstack.messages.packing import pack
from hillstack.messages.peer_notices import LoadNotice
from hillstack.messages.relay_batches import NodeReport, RelayBatch
from hillstack.serving.fleet_state import FleetState

# How long each of the up to two relays of a placement collects notices: a tenth of the shortest
# objective for a first event seen in a deployment (0.5 s). It is long enough to batch most notices,
# and other nodes still receive them in time to use them. Every node receives each batch of its
# relay: half of this delay would double the number of batches, each at about half the cost.
BATCH_SECONDS = 0.05
# Least interval between forwarded heartbeats of a node without updates, slightly less than that at
# which an idle node sends them (0.8 s). Each costs all nodes of the zone as much as any notice.
FORWARDED_HEARTBEAT_SECONDS = 0.7
# A node that has received something to forward counts as a relay for this time, in which each node
# sends all its loads twice. Also the interval at which sums of idle runners are discarded.
RELAYING_SECONDS = 2.0


class NoticeRelay:
    """Relays notices for the nodes of one zone.

    Args:
        state: State of this node.
        link: Sends datagrams.
        choice: Selects the relays of all zones.
        zone: Zone of this node.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self,
        state: FleetState,
        link: PeerLink,
        choice: RelayChoice,
        zone: str,
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._link = link
        self._choice = choice
        self._zone = zone
        self._clock = clock
        self._zone_outbox = RelayOutbox()
        self._other_zones_outbox = RelayOutbox()
        self._zone_loads: dict[str, ReportedLoads] = {}
        self._incarnations: dict[str, int] = {}
        self._forwarded_at: dict[str, float] = {}
        self._received_at = float("-inf")
        self._discarded_at = float("-inf")
        self._timer: asyncio.TimerHandle | None = None

    def forward_report(self, report: NodeReport, now: float) -> list[LoadNotice]:
        """Forward a report of a node of this zone, or of this node itself.

        Returns:
            The loads of the whole zone on the runners in the report.
        """
        self._received_at = now
        sums = [self._sum_loads(report.node_id, load, now) for load in report.loads]
        for load in sums:
            self._zone_outbox.add_load(self._zone, load)
            self._other_zones_outbox.add_load(self._zone, load)
        if report.notice:
            self._add_notice(report, now)
        # A mere heartbeat waits for the next updates, or for the relay's own heartbeat.
        if self._other_zones_outbox.has_updates() or report.is_urgent:
            self._schedule(urgent=report.is_urgent)
        return sums

    def forward_batch(self, batch: RelayBatch, now: float, *, urgent: bool = False) -> None:
        """Forward a batch of the relay of another zone to the nodes of this zone.

        Args:
            batch: The batch.
            now: Time on the node's clock.
            urgent: Whether the batch contains urgent notices, so that it is forwarded at once.
        """
        self._received_at = now
        for zone_loads in batch.loads:
            self._zone_outbox.add_zone(zone_loads.zone)
            for load in zone_loads.loads:
                self._zone_outbox.add_load(zone_loads.zone, load)
        self._zone_outbox.notices.extend(batch.notices)
        if batch.loads or batch.notices:
            self._schedule(urgent=urgent)

    def forward_region_batch(self, batch: RelayBatch, now: float, *, urgent: bool) -> None:
        """Forward a batch of another region to the relays of this region, and to this zone.

        The relays get the batch at once. The batch keeps the name of the region that it comes from,
        so that it is not sent to other regions again.
        """
        forwarded = msgspec.structs.replace(batch, relay_id=self._state.node_id, zone=self._zone)
        self._link.send_to_all(DatagramKind.ZONE_BATCH, pack(forwarded), self._relay_addresses(now))
        self.forward_batch(batch, now, urgent=urgent)

    async def run(self) -> None:
        """Send heartbeats while this node relays, until cancelled."""
        await self._state.start_gate.wait_for_first_read()
        while True:
            now = self._clock()
            relaying = self._is_relaying(now)
            if relaying and (
                self._zone_outbox.is_silent(now) or self._other_zones_outbox.is_silent(now)
            ):
                self.flush()
            await asyncio.sleep(HEARTBEAT_SECONDS / 2 if relaying else HEARTBEAT_SECONDS)

    def flush(self) -> None:
        """Send everything that was collected, or a heartbeat if one is due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._clock()
        if self._zone_outbox.is_due(now):
            self._send(self._zone_outbox, DatagramKind.FINAL_BATCH, self._zone_addresses(), now)
        # Any node forwards updates that it receives, but other zones expect heartbeats only from
        # the chosen relay of this zone.
        if self._other_zones_outbox.has_updates() or (
            self._other_zones_outbox.is_due(now) and self.is_chosen(now)
        ):
            self._send(
                self._other_zones_outbox, DatagramKind.ZONE_BATCH, self._relay_addresses(now), now
            )
        self._discard_idle_runners(now)

    def _discard_idle_runners(self, now: float) -> None:
        """Discard the sums of idle runners, of which there may be thousands, from time to time."""
        if now - self._discarded_at < RELAYING_SECONDS:
            return
        self._discarded_at = now
        self._zone_loads = {key: loads for key, loads in self._zone_loads.items() if len(loads)}

    def _is_relaying(self, now: float) -> bool:
        if now - self._received_at < RELAYING_SECONDS:
            return True
        return self.is_chosen(now)

    def is_chosen(self, now: float) -> bool:
        """Return whether this node considers itself the relay of its zone."""
        return self._choice.relay(self._zone, now) == self._state.node_id

    def _sum_loads(self, node_id: str, load: LoadNotice, now: float) -> LoadNotice:
        reported = self._zone_loads.setdefault(load.runner_id, ReportedLoads())
        reported.report(node_id, load.load(), now)
        return LoadNotice.of(load.runner_id, reported.total(now))

    def _add_notice(self, report: NodeReport, now: float) -> None:
        """Collect updates for all zones, and heartbeats, at a limited rate, for this zone only."""
        is_news = report.is_news or self._note_incarnation(report)
        forwarded_at = self._forwarded_at.get(report.node_id, float("-inf"))
        if not is_news and now - forwarded_at < FORWARDED_HEARTBEAT_SECONDS:
            return
        self._forwarded_at[report.node_id] = now
        self._zone_outbox.notices.append(report.notice)
        if is_news:
            self._other_zones_outbox.notices.append(report.notice)

    def _note_incarnation(self, report: NodeReport) -> bool:
        """Record the process that sent a report; return whether this is its first report."""
        if self._incarnations.get(report.node_id) == report.incarnation:
            return False
        self._incarnations[report.node_id] = report.incarnation
        return True

    def _send(
        self, outgoing: RelayOutbox, kind: DatagramKind, addresses: list[str], now: float
    ) -> None:
        outgoing.sent_at = now
        for batch in outgoing.batches(self._state.node_id, self._zone):
            self._link.send_to_all(kind, pack(batch), addresses)

    def _zone_addresses(self) -> list[str]:
        nodes = self._state.nodes.of_zone(self._zone)
        return [node.address for node in nodes if node.node_id != self._state.node_id]

    def _relay_addresses(self, now: float) -> list[str]:
        return [node.address for node in self._choice.relays_in_region(self._zone, now)]

    def _schedule(self, *, urgent: bool) -> None:
        if urgent:
            self.flush()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(BATCH_SECONDS, self.flush)
