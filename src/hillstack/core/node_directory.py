"""The nodes of the deployment as the store lists them, and in which order a zone's nodes relay.

A node is listed from its first start on, and taken off when its machine is gone for good. One that
was taken off counts on in shared budgets for a while: other nodes may not have heard of it yet.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from hillstack.core.rendezvous import ranked
from hillstack.core.store_revision import NO_REVISION, StoreRevision

# A node hears of a change of the list within some seconds, also through an outage of a few; until
# all have, shares of a budget that all hold together must not grow.
DEPARTED_SECONDS = 20.0


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """A node as the store lists it.

    Attributes:
        address: ``IP:PORT`` at which it takes datagrams of its peers.
        zone: Its zone.
        revision: Revision of the entry in the store; ``NO_REVISION`` if it is not known.
        link_megabits: What its network link carries in a second, in Mbit; 0 if it is not known.
    """

    node_id: str
    address: str
    zone: str
    revision: StoreRevision = NO_REVISION
    link_megabits: float = 0.0

    def is_same_but_revision(self, other: NodeEntry) -> bool:
        """Return whether another entry says the same, whenever it was written."""
        same_place = (self.address, self.zone) == (other.address, other.zone)
        return same_place and self.link_megabits == other.link_megabits

    @property
    def relay_class(self) -> int:
        """Return how well it can relay: links of a class differ by less than a factor of two."""
        return int(math.log2(max(1.0, self.link_megabits)))


@dataclass(frozen=True, slots=True)
class RegionGroup:
    """The nodes of several zones, which together are a region.

    Attributes:
        region: The region.
        zones: Its zones.
    """

    region: str
    zones: tuple[str, ...]


# Nodes that hand things on to one another: those of a zone or of a region, or all for None.
NodeGroup = str | RegionGroup | None


class NodeDirectory:
    """All nodes that are listed.

    Attributes:
        generation: Rises with each node that comes, moves or goes.
    """

    def __init__(self) -> None:
        self._nodes: dict[str, NodeEntry] = {}
        # Nodes that are not listed, with when they last were, or were last heard.
        self._unlisted: dict[str, float] = {}
        self._ranks: dict[NodeGroup, tuple[str, ...]] = {}
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
        """Return the zones that have nodes; not to be changed."""
        if self._zones is None:
            self._zones = sorted({node.zone for node in self._nodes.values()})
        return self._zones

    def of_zone(self, zone: str) -> list[NodeEntry]:
        """Return the nodes of a zone."""
        return [self._nodes[node_id] for node_id in self.relay_order(zone)]

    def list_node(self, node: NodeEntry) -> None:
        """Take over an entry; one that only has a later revision changes nothing for others."""
        known = self._nodes.get(node.node_id)
        self._nodes[node.node_id] = node
        self._unlisted.pop(node.node_id, None)
        if known is None or not known.is_same_but_revision(node):
            self._changed()

    def unlist(self, node_id: str, now: float) -> bool:
        """Note that a node was taken off the list; return whether it was on it."""
        if self._nodes.pop(node_id, None) is None:
            return False
        self._unlisted[node_id] = now
        self._changed()
        return True

    def note_heard(self, node_id: str, now: float) -> None:
        """Note a sign of life of a node, which may have come since the list was last read.

        In an outage of the store the first node of a new deployment may know itself alone, while
        the others know all: without their signs of life it would take the whole of each budget.
        """
        if node_id not in self._nodes:
            self._unlisted[node_id] = now

    def sharing_count(self, now: float) -> int:
        """Return among how many nodes a budget is shared.

        These are the nodes that are listed, and those that were listed or heard until lately.
        """
        unlisted = self._unlisted
        for node_id in [n for n, at in unlisted.items() if now - at >= DEPARTED_SECONDS]:
            del unlisted[node_id]
        return max(1, len(self._nodes) + len(unlisted))

    def relay_order(self, group: NodeGroup) -> tuple[str, ...]:
        """Return the nodes of a group in the order in which they are asked to relay.

        Those with the fastest links come first: a relay sends what it takes to each node of its
        zone. All nodes agree on the order as far as they agree on the list; a node that comes or
        goes leaves the order of the others as it is.
        """
        order = self._ranks.get(group)
        if order is None:
            name = group.region if isinstance(group, RegionGroup) else group
            by_hash = ranked(f"relay of {name}", self._members(group))
            by_hash.sort(key=lambda node_id: -self._nodes[node_id].relay_class)
            order = self._ranks[group] = tuple(by_hash)
        return order

    def _members(self, group: NodeGroup) -> list[str]:
        if group is None:
            return list(self._nodes)
        zones = group.zones if isinstance(group, RegionGroup) else (group,)
        return [node.node_id for node in self._nodes.values() if node.zone in zones]

    def _changed(self) -> None:
        self.generation += 1
        self._ranks.clear()
        self._zones = None
