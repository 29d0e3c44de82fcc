"""Chooses the relay of a zone: the first node in the zone's relay order that is reachable.

There is no election. Every node computes the same order, and a node that is asked to relay does so.
While nodes disagree, for a second or two, two nodes relay, and each message still takes one path.

Between regions one relay, the border relay, sends for its whole region. It is the relay of the
first zone, in order of zone names, whose messages reach the region's other relays. It sends to the
node from which the other region's messages last came. If no such message came lately, it tries the
first node of each zone of that region, then the second ones, and so on.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from hillstack.core.node_directory import NodeDirectory, NodeEntry, NodeGroup, RegionGroup
from hillstack.core.topology import ONE_REGION, Topology

# Deployments of up to this many nodes send messages directly. A relay adds about 30 ms; with 16
# nodes, direct sending costs each node at most about 300 datagrams a second, as many as a relay
# handles in a large zone.
DIRECT_NODES = 16
# A relay sends at least every 0.3 s (``relay_outbox.HEARTBEAT_SECONDS``), so this is three lost
# datagrams.
SILENT_SECONDS = 1.0
# A zone whose relay has sent nothing for this long does not provide the border relay. Its next node
# has had time to become the zone's relay by then.
ZONE_TIMEOUT_SECONDS = 2.0
# An unreachable node is tried again after this time; a restarted node is noticed sooner.
UNREACHABLE_SECONDS = 5.0


class RelayChoice:
    """Chooses relays from the view of one node.

    Args:
        node_id: This node.
        directory: All listed nodes.
        topology: Zones and regions; one region by default.

    Attributes:
        topology: Zones and regions.
    """

    def __init__(
        self, node_id: str, directory: NodeDirectory, topology: Topology = ONE_REGION
    ) -> None:
        self._node_id = node_id
        self._directory = directory
        self.topology = topology
        self._zones_received_at: dict[str, float] = {}
        self._border_relays: dict[str, tuple[str, float]] = {}
        self._received_at: dict[str, float] = {}
        self._unreachable_until: dict[str, float] = {}
        self._chosen: dict[NodeGroup, tuple[str, float]] = {}

    def record_contact(self, node_id: str, now: float) -> None:
        """Record a datagram from a node, which proves that the node can reach this one."""
        self._received_at[node_id] = now
        self._unreachable_until.pop(node_id, None)

    def mark_unreachable(self, node_id: str, now: float) -> None:
        """Record that a node did not answer.

        The node is not used as a relay for ``UNREACHABLE_SECONDS``, or until it sends a datagram.
        """
        self._unreachable_until[node_id] = now + UNREACHABLE_SECONDS

    def group(self, zone: str) -> str | None:
        """Return the group of the nodes of a zone: the zone, or None if all nodes form one group.

        With several regions each zone is a group however few nodes there are: direct sending would
        carry every message across regions once per node.
        """
        if self.topology.has_regions():
            return zone
        return None if len(self._directory) <= DIRECT_NODES else zone

    def region_group(self, region: str) -> RegionGroup:
        """Return the group of all nodes of a region."""
        zones = self.topology.zones_of_region(region, self._directory.zones())
        return RegionGroup(region, tuple(zones))

    def other_regions(self) -> list[str]:
        """Return the regions, other than this node's, that have nodes."""
        regions = {self.topology.region_of(zone) for zone in self._directory.zones()}
        return sorted(regions - {self.topology.region})

    def record_zone_relay(self, zone: str, now: float) -> None:
        """Record a datagram from the relay of a zone in this node's region."""
        self._zones_received_at[zone] = now

    def is_zone_relay_reachable(self, zone: str, now: float) -> bool:
        """Return whether the relay of a zone in this node's region sent a datagram lately."""
        return now - self._zones_received_at.get(zone, float("-inf")) < ZONE_TIMEOUT_SECONDS

    def record_border_relay(self, region: str, node_id: str, now: float) -> None:
        """Record a datagram from the border relay of another region."""
        self._border_relays[region] = node_id, now

    def sends_for_region(self, zone: str, now: float) -> bool:
        """Return whether the relay of a zone in this node's region is the region's border relay."""
        for other in self.region_group(self.topology.region).zones:
            if other == zone:
                return True
            self._zones_received_at.setdefault(other, now)
            if self.is_zone_relay_reachable(other, now):
                return False
        return True

    def border_relay_of(self, region: str, now: float) -> NodeEntry | None:
        """Return the node that receives messages for another region; None if it has no nodes."""
        border_relay, received_at = self._border_relays.get(region, ("", float("-inf")))
        if now - received_at < SILENT_SECONDS and self._directory.get(border_relay) is not None:
            return self._directory.get(border_relay)
        group = self.region_group(region)
        # The first node of each zone, then the second ones, since a whole zone may have failed.
        orders = [self._directory.relay_order(zone) for zone in group.zones]
        interleaved = itertools.chain.from_iterable(itertools.zip_longest(*orders))
        candidates = [node_id for node_id in interleaved if node_id is not None]
        for node_id in candidates:
            if self._is_responsive(group, node_id, now):
                return self._directory.get(node_id)
        return self._directory.get(candidates[0]) if candidates else None

    def relay(self, zone: str | None, now: float) -> str | None:
        """Return the relay of a group (a zone, or None for the group of all nodes).

        It may be this node. None if the group has no nodes.
        """
        order = self._directory.relay_order(zone)
        for node_id in order:
            if node_id == self._node_id or self._is_responsive(zone, node_id, now):
                return node_id
        return order[0] if order else None

    def relays_of_others(self, zone: str, now: float) -> list[NodeEntry]:
        """Return the relays of all zones, without that of ``zone`` and this node."""
        return self._relays_of(self._directory.zones(), zone, now)

    def relays_in_region(self, zone: str, now: float) -> list[NodeEntry]:
        """Return the relays of this node's region, without that of ``zone`` and this node."""
        is_near = self.topology.is_own_region
        return self._relays_of((z for z in self._directory.zones() if is_near(z)), zone, now)

    def _relays_of(self, zones: Iterable[str], excluded: str, now: float) -> list[NodeEntry]:
        is_relay = self.relay(excluded, now) == self._node_id
        relays = (self._relay_of_zone(zone, now, is_relay) for zone in zones if zone != excluded)
        nodes = (self._directory.get(relay) for relay in relays if relay is not None)
        return [n for n in nodes if n is not None and n.node_id != self._node_id]

    def _relay_of_zone(self, zone: str, now: float, is_relay: bool) -> str | None:
        """Return the relay of another zone.

        Relays of a region send only to each other. A node that is no relay therefore can't conclude
        from their silence that they failed. If it chose the next node, that node would relay too,
        and would not receive the messages of the other relays either.
        """
        if is_relay and self.topology.is_own_region(zone):
            return self.relay(zone, now)
        order = self._directory.relay_order(zone)
        reachable = (node_id for node_id in order if self._is_reachable(node_id, now))
        return next(reachable, order[0] if order else None)

    def preceding_nodes(self, group: NodeGroup, now: float) -> list[str]:
        """Return the reachable nodes that precede this node in a group's relay order."""
        order = self._directory.relay_order(group)
        place = order.index(self._node_id) if self._node_id in order else len(order)
        return [node_id for node_id in order[:place] if self._is_reachable(node_id, now)]

    def others(self, group: NodeGroup, now: float) -> list[str]:
        """Return all other reachable nodes of a group."""
        order = self._directory.relay_order(group)
        return [n for n in order if n != self._node_id and self._is_reachable(n, now)]

    def _is_reachable(self, node_id: str, now: float) -> bool:
        return now >= self._unreachable_until.get(node_id, now)

    def _is_responsive(self, group: NodeGroup, node_id: str, now: float) -> bool:
        """Return whether a node sent a datagram, or was chosen, within ``SILENT_SECONDS``.

        A chosen node that has sent nothing for that time is recorded as unreachable.
        """
        if not self._is_reachable(node_id, now):
            return False
        chosen, since = self._chosen.get(group, (None, now))
        if chosen != node_id:
            self._chosen[group] = node_id, now
            return True
        if now - max(since, self._received_at.get(node_id, since)) < SILENT_SECONDS:
            return True
        self.mark_unreachable(node_id, now)
        return False
