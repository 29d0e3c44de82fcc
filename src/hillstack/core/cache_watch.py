"""Which node watches the cache of which holder, and which nodes are alive to do so.

Each holder of cached parts, a runner or a store of kept KV cache, is watched by one node, which
tells the others what differs from their beliefs. The watcher is drawn by rendezvous hashing among
the nodes that are alive, those in the holder's zone first and then those in its region, so that the
calls stay near and their number does not grow with the nodes. While two nodes disagree about who is
alive, both watch, or none does: beliefs are then corrected twice, or later.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hillstack.core.node_directory import NodeDirectory, NodeEntry
from hillstack.core.rendezvous import score
from hillstack.core.topology import Topology

# A node is heard each 0.8 s (``peer_exchange.REFRESH_SECONDS``): two of its datagrams may be lost.
ALIVE_SECONDS = 3.0
# A node that has just started has heard nobody: all that are listed count for two heartbeats.
START_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class CacheHolder:
    """A holder of cached parts.

    Attributes:
        holder_id: Identifier in the part index: the runner's, or the address of a store.
        is_store: Whether it is a store of kept KV cache.
    """

    holder_id: str
    address: str
    zone: str
    is_store: bool = False


class NodeLiveness:
    """Which of the nodes that are listed are alive, by what they were last heard to say.

    Nodes of other zones are not heard one by one where there are relays: they count as alive while
    their zone is heard.

    Args:
        node_id: This node, which is always alive.
        directory: All nodes.
        zone: Zone of this node.
        started_at: When it started. All listed nodes count as alive for a while from then on,
            since none can have been heard yet.
    """

    def __init__(
        self, node_id: str, directory: NodeDirectory, zone: str, started_at: float
    ) -> None:
        self._node_id = node_id
        self._directory = directory
        self._zone = zone
        self._started_at = started_at
        self._heard_at: OrderedDict[str, float] = OrderedDict()
        self._silent_since: dict[str, float] = {}
        self._zones_heard_at: dict[str, float] = {}
        self._incarnations: dict[str, int] = {}
        self._generation = 0
        self._known: tuple[object, ...] = ()
        self._zones: dict[str, str] = {}

    def heard(self, node_id: str, incarnation: int, now: float) -> bool:
        """Note that a node was heard; return whether its process is one not heard before."""
        if not self._is_heard_with_its_zone(node_id, now):
            if node_id not in self._heard_at:
                self._generation += 1
            self._heard_at[node_id] = now
            self._heard_at.move_to_end(node_id)
            self._silent_since.pop(node_id, None)
        if self._incarnations.get(node_id) == incarnation:
            return False
        self._incarnations[node_id] = incarnation
        return True

    def is_heard(self, node_id: str, now: float) -> bool:
        """Return whether a node is this one, or was heard itself lately."""
        self._expire(now)
        return node_id == self._node_id or node_id in self._heard_at

    def heard_zone(self, zone: str, now: float) -> None:
        """Note that something was heard from a zone."""
        self._zones_heard_at[zone] = now

    def is_alive(self, node_id: str, now: float) -> bool:
        """Return whether a node counts as alive."""
        self._expire(now)
        if node_id == self._node_id or self._is_starting(now) or node_id in self._heard_at:
            return True
        return self._is_heard_with_its_zone(node_id, now)

    def zones(self, now: float) -> dict[str, str]:
        """Return the zone of each listed node that is alive; the same object until that changes."""
        self._expire(now)
        heard_zones = frozenset(zone for zone in self._zones_heard_at if self._hears(zone, now))
        known = self._directory.generation, self._generation, self._is_starting(now), heard_zones
        if known != self._known:
            self._known = known
            nodes = self._directory.all()
            zones = {n.node_id: n.zone for n in nodes if self.is_alive(n.node_id, now)}
            self._zones = self._zones if zones == self._zones else zones
        return self._zones

    def silent_for(self, seconds: float, zone: str | None, now: float) -> list[NodeEntry]:
        """Return the listed nodes of a zone, or of all, that were not heard of for some seconds.

        Those of another zone that is heard are not noted one by one: nothing is known of them.
        """
        silent: list[NodeEntry] = []
        self._expire(now)
        for node_id in self._directory.relay_order(zone):
            node = self._directory.get(node_id)
            if node is None or node_id == self._node_id or node_id in self._heard_at:
                continue
            if self._is_heard_with_its_zone(node_id, now):
                self._silent_since.pop(node_id, None)
                continue
            if now - self._silent_since.setdefault(node_id, now) >= seconds:
                silent.append(node)
        return silent

    def _is_heard_with_its_zone(self, node_id: str, now: float) -> bool:
        """Return whether a node is of another zone, of which a relay tells."""
        node = self._directory.get(node_id)
        return node is not None and node.zone != self._zone and self._hears(node.zone, now)

    def _is_starting(self, now: float) -> bool:
        return now - self._started_at < START_SECONDS

    def _hears(self, zone: str, now: float) -> bool:
        return now - self._zones_heard_at.get(zone, float("-inf")) < ALIVE_SECONDS

    def _expire(self, now: float) -> None:
        while self._heard_at:
            node_id, heard_at = next(iter(self._heard_at.items()))
            if now - heard_at < ALIVE_SECONDS:
                return
            del self._heard_at[node_id]
            self._silent_since[node_id] = heard_at
            self._generation += 1


@dataclass(slots=True)
class _Assignment:
    """A holder, and the node that watches it with its score."""

    holder: CacheHolder
    watcher: str | None = None
    score: int = -1


class WatchAssignment:
    """Who watches which holder, made anew only where a node or a holder came or went.

    Args:
        topology: Zones and regions; one region by default.

    Attributes:
        scores_made: How many scores were worked out so far: what the assignment costs.
    """

    def __init__(self, topology: Topology | None = None) -> None:
        self._topology = topology if topology is not None else Topology("")
        self._zones: Mapping[str, str] = {}
        self._members: dict[str, set[str]] = {}
        self._assignments: dict[str, _Assignment] = {}
        self._holders: Iterable[CacheHolder] = ()
        self.scores_made = 0

    def update(self, holders: Iterable[CacheHolder], zones_by_node: Mapping[str, str]) -> bool:
        """Take over the holders and the zone of each node that is alive.

        Returns:
            Whether either is another object than the last time; an object must not be changed.
        """
        if zones_by_node is self._zones and holders is self._holders:
            return False
        if zones_by_node is not self._zones:
            self._take_nodes(zones_by_node)
            self._zones = zones_by_node
        if holders is not self._holders:
            self._take_holders(holders)
            self._holders = holders
        return True

    def watched_by(self, node_id: str) -> list[CacheHolder]:
        """Return the holders that a node watches."""
        return [a.holder for a in self._assignments.values() if a.watcher == node_id]

    def watcher(self, holder_id: str) -> str | None:
        """Return the node that watches a holder; None if there is none, or no such holder."""
        assignment = self._assignments.get(holder_id)
        return assignment.watcher if assignment is not None else None

    def _take_nodes(self, zones: Mapping[str, str]) -> None:
        known = {node: zone for zone, members in self._members.items() for node in members}
        gone = {node for node, zone in known.items() if zones.get(node) != zone}
        come = {node for node, zone in zones.items() if known.get(node) != zone}
        had_nodes = {zone for zone, members in self._members.items() if members}
        for node in gone:
            self._members[known[node]].discard(node)
        for node in come:
            self._members.setdefault(zones[node], set()).add(node)
        has_nodes = {zone for zone, members in self._members.items() if members}
        switched = had_nodes ^ has_nodes
        for assignment in self._assignments.values():
            zone = assignment.holder.zone
            if assignment.watcher in gone or zone in switched or zone not in has_nodes:
                self._assign(assignment)
            else:
                self._compare(assignment, [node for node in come if zones[node] == zone])

    def _take_holders(self, holders: Iterable[CacheHolder]) -> None:
        listed = {holder.holder_id: holder for holder in holders}
        for holder_id in self._assignments.keys() - listed.keys():
            del self._assignments[holder_id]
        for holder_id, holder in listed.items():
            known = self._assignments.get(holder_id)
            if known is None or known.holder != holder:
                assignment = self._assignments[holder_id] = _Assignment(holder)
                self._assign(assignment)

    def _assign(self, assignment: _Assignment) -> None:
        """Draw the watcher among the nodes of the holder's zone, its region, or all.

        A narrower circle without nodes is passed over.
        """
        assignment.watcher, assignment.score = None, -1
        near = self._members.get(assignment.holder.zone)
        if near:
            self._compare(assignment, near)
            return
        region = self._topology.region_of(assignment.holder.zone)
        for zone, members in self._members.items():
            if self._topology.region_of(zone) == region:
                self._compare(assignment, members)
        if assignment.watcher is not None:
            return
        for members in self._members.values():
            self._compare(assignment, members)

    def _compare(self, assignment: _Assignment, nodes: Iterable[str]) -> None:
        """Take one of the nodes as watcher if its score is higher."""
        for node in nodes:
            self.scores_made += 1
            found = score(assignment.holder.holder_id, node)
            if (found, node) > (assignment.score, assignment.watcher or ""):
                assignment.watcher, assignment.score = node, found
