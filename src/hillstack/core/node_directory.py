"""The nodes of the deployment as the store lists them, and the order in which a zone's nodes relay.

A node is listed from its first start on and is unlisted when its machine is removed permanently. An
unlisted node still counts in shared budgets for a while, since other nodes may not have received
the change yet.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from hillstack.core.rendezvous import ranked
from hillstack.core.store_revision import NO_REVISION, StoreRevision

# Nodes receive a change of the list within some seconds, even through a store outage of a few
# seconds. Until all nodes have it, no node's share of a shared budget may grow.
DEPARTED_SECONDS = 20.0


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """A node as the store lists it.

    Attributes:
        address: ``IP:PORT`` at which the node receives datagrams from its peers.
        zone: Zone of the node.
        revision: Revision of the entry in the store; ``NO_REVISION`` if unknown.
        link_megabits: Bandwidth of the node's network link in Mbit/s; 0 if unknown.
    """

    node_id: str
    address: str
    zone: str
    revision: StoreRevision = NO_REVISION
    link_megabits: float = 0.0

    def equals_except_revision(self, other: NodeEntry) -> bool:
        """Return whether another entry is equal except for its revision."""
        same_place = (self.address, self.zone) == (other.address, other.zone)
        return same_place and self.link_megabits == other.link_megabits

    @property
    def relay_class(self) -> int:
        """Class of the link's bandwidth: links of one class differ by less than a factor of two."""
        return int(math.log2(max(1.0, self.link_megabits)))


@dataclass(frozen=True, slots=True)
class RegionGroup:
    """The group of all nodes of a region.

    Attributes:
        region: Name of the region.
        zones: Zones of the region.
    """

    region: str
    zones: tuple[str, ...]


# A group of nodes that relay to one another: a zone, a region, or all nodes for None.
NodeGroup = str | RegionGroup | None


class NodeDirectory:
    """All listed nodes.

    Attributes:
        generation: Rises when a node is listed, changes its entry, or is unlisted.
    """

    def __init__(self) -> None:
        self._nodes: dict[str, NodeEntry] = {}
        # When each unlisted node was last listed, or when a datagram from it last arrived.
        self._unlisted: dict[str, float] = {}
        self._relay_orders: dict[NodeGroup, tuple[str, ...]] = {}
        self._zones: list[str] | None = None
        self.generation = 0

    def __len__(self) -> int:
        return len(self._nodes)

    def get(self, node_id: str) -> NodeEntry | None:
        """Return a node's entry, or None if it is not listed."""
        return self._nodes.get(node_id)

    def all(self) -> list[NodeEntry]:
        """Return all entries."""
        return list(self._nodes.values())

    def zones(self) -> list[str]:
        """Return the zones that have nodes; the caller must not modify the list."""
        if self._zones is None:
            self._zones = sorted({node.zone for node in self._nodes.values()})
        return self._zones

    def of_zone(self, zone: str) -> list[NodeEntry]:
        """Return the nodes of a zone."""
        return [self._nodes[node_id] for node_id in self.relay_order(zone)]

    def list_node(self, node: NodeEntry) -> None:
        """Add or update an entry; the generation rises only if more than the revision differs."""
        known = self._nodes.get(node.node_id)
        self._nodes[node.node_id] = node
        self._unlisted.pop(node.node_id, None)
        if known is None or not known.equals_except_revision(node):
            self._changed()

    def unlist(self, node_id: str, now: float) -> bool:
        """Remove a node from the list; return whether it was listed."""
        if self._nodes.pop(node_id, None) is None:
            return False
        self._unlisted[node_id] = now
        self._changed()
        return True

    def record_contact(self, node_id: str, now: float) -> None:
        """Record a message from a node, which may have been listed after the last read of the list.

        During a store outage the first node of a new deployment may know only itself, while the
        others know all nodes. Without their messages it would use the whole of each budget.
        """
        if node_id not in self._nodes:
            self._unlisted[node_id] = now

    def budget_node_count(self, now: float) -> int:
        """Return the number of nodes that share a budget.

        These are the listed nodes, and the unlisted nodes that were listed or sent a message within
        the last ``DEPARTED_SECONDS``.
        """
        unlisted = self._unlisted
        for node_id in [n for n, at in unlisted.items() if now - at >= DEPARTED_SECONDS]:
            del unlisted[node_id]
        return max(1, len(self._nodes) + len(unlisted))

    def relay_order(self, group: NodeGroup) -> tuple[str, ...]:
        """Return the nodes of a group in the order in which they are chosen as relay.

        Nodes with the fastest links come first, since a relay sends each message to all nodes of
        its zone. Nodes with the same list compute the same order. Adding or removing a node does
        not change the relative order of the others.
        """
        order = self._relay_orders.get(group)
        if order is None:
            name = group.region if isinstance(group, RegionGroup) else group
            ordered = ranked(f"relay of {name}", self._members(group))
            ordered.sort(key=lambda node_id: -self._nodes[node_id].relay_class)
            order = self._relay_orders[group] = tuple(ordered)
        return order

    def _members(self, group: NodeGroup) -> list[str]:
        if group is None:
            return list(self._nodes)
        zones = group.zones if isinstance(group, RegionGroup) else (group,)
        return [node.node_id for node in self._nodes.values() if node.zone in zones]

    def _changed(self) -> None:
        self.generation += 1
        self._relay_orders.clear()
        self._zones = None
