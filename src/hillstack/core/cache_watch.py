"""Assigns cache holders to the nodes that watch them, and tracks which nodes are alive.

Each holder of cached parts, a runner or a KV cache store, is watched by one node, which reports to
the other nodes where their cache estimates are wrong. The watcher is chosen by rendezvous hashing
among the alive nodes of the holder's zone, else of its region, else among all alive nodes, so that
calls are short and their number does not grow with the number of nodes. While two nodes disagree
about which nodes are alive, both may watch a holder, or neither: the cache estimates are then
corrected twice, or later.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hillstack.core.node_directory import NodeDirectory, NodeEntry
from hillstack.core.rendezvous import score
from hillstack.core.topology import Topology

# A node sends every 0.8 s (``peer_exchange.REFRESH_SECONDS``): two of its datagrams may be lost.
LIVENESS_TIMEOUT_SECONDS = 3.0
# More than two intervals of 0.8 s. A node that has just started has received nothing yet, so all
# listed nodes count as alive.
STARTUP_GRACE_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class CacheHolder:
    """A holder of cached parts.

    Attributes:
        holder_id: Identifier in the part index: the runner identifier, or the address of a store.
        is_store: Whether the holder is a KV cache store.
    """

    holder_id: str
    address: str
    zone: str
    is_store: bool = False


class NodeLiveness:
    """Tracks which listed nodes are alive, by when a message of each was last received.

    Where relays are used, messages of a node in another zone do not arrive directly: such a node
    counts as alive while messages arrive from its zone.

    Args:
        node_id: This node, which is always alive.
        directory: All nodes.
        zone: Zone of this node.
        started_at: When this node started. All listed nodes count as alive for
            STARTUP_GRACE_SECONDS after it, since nothing can have been received from them yet.
    """

    def __init__(
        self, node_id: str, directory: NodeDirectory, zone: str, started_at: float
    ) -> None:
        self._node_id = node_id
        self._directory = directory
        self._zone = zone
        self._started_at = started_at
        self._last_seen: OrderedDict[str, float] = OrderedDict()
        self._silent_since: dict[str, float] = {}
        self._zones_last_seen: dict[str, float] = {}
        self._incarnations: dict[str, int] = {}
        self._generation = 0
        self._known: tuple[object, ...] = ()
        self._zones: dict[str, str] = {}

    def record_contact(self, node_id: str, incarnation: int, now: float) -> bool:
        """Record a message from a node; return whether its incarnation is new to this node."""
        if not self._is_covered_by_zone(node_id, now):
            if node_id not in self._last_seen:
                self._generation += 1
            self._last_seen[node_id] = now
            self._last_seen.move_to_end(node_id)
            self._silent_since.pop(node_id, None)
        if self._incarnations.get(node_id) == incarnation:
            return False
        self._incarnations[node_id] = incarnation
        return True

    def is_directly_reachable(self, node_id: str, now: float) -> bool:
        """Return whether messages arrive from a node directly; always true of this node."""
        self._expire(now)
        return node_id == self._node_id or node_id in self._last_seen

    def record_zone_contact(self, zone: str, now: float) -> None:
        """Record a message from a zone."""
        self._zones_last_seen[zone] = now

    def is_alive(self, node_id: str, now: float) -> bool:
        """Return whether a node counts as alive."""
        self._expire(now)
        if node_id == self._node_id or self._is_starting(now) or node_id in self._last_seen:
            return True
        return self._is_covered_by_zone(node_id, now)

    def zones(self, now: float) -> dict[str, str]:
        """Return the zone of each listed alive node; the same object until the content changes."""
        self._expire(now)
        reachable_zones = frozenset(
            zone for zone in self._zones_last_seen if self._is_zone_reachable(zone, now)
        )
        known = (
            self._directory.generation,
            self._generation,
            self._is_starting(now),
            reachable_zones,
        )
        if known != self._known:
            self._known = known
            nodes = self._directory.all()
            zones = {n.node_id: n.zone for n in nodes if self.is_alive(n.node_id, now)}
            self._zones = self._zones if zones == self._zones else zones
        return self._zones

    def silent_nodes(self, seconds: float, zone: str | None, now: float) -> list[NodeEntry]:
        """Return the listed nodes of a zone from which nothing was received for some seconds.

        Without a zone the nodes of all zones are returned. Nodes of another zone are left out while
        messages arrive from that zone, since their liveness is not tracked individually. A node is
        returned only after ``LIVENESS_TIMEOUT_SECONDS``, however short ``seconds`` is; for a node
        from which nothing was ever received, the time counts from the first call of this method.
        """
        silent: list[NodeEntry] = []
        self._expire(now)
        for node_id in self._directory.relay_order(zone):
            node = self._directory.get(node_id)
            if node is None or node_id == self._node_id or node_id in self._last_seen:
                continue
            if self._is_covered_by_zone(node_id, now):
                self._silent_since.pop(node_id, None)
                continue
            if now - self._silent_since.setdefault(node_id, now) >= seconds:
                silent.append(node)
        return silent

    def _is_covered_by_zone(self, node_id: str, now: float) -> bool:
        """Return whether a node is in another zone from which messages arrive."""
        node = self._directory.get(node_id)
        return (
            node is not None and node.zone != self._zone and self._is_zone_reachable(node.zone, now)
        )

    def _is_starting(self, now: float) -> bool:
        return now - self._started_at < STARTUP_GRACE_SECONDS

    def _is_zone_reachable(self, zone: str, now: float) -> bool:
        return now - self._zones_last_seen.get(zone, float("-inf")) < LIVENESS_TIMEOUT_SECONDS

    def _expire(self, now: float) -> None:
        while self._last_seen:
            node_id, last_seen = next(iter(self._last_seen.items()))
            if now - last_seen < LIVENESS_TIMEOUT_SECONDS:
                return
            del self._last_seen[node_id]
            self._silent_since[node_id] = last_seen
            self._generation += 1


@dataclass(slots=True)
class _Assignment:
    """A holder, the node that watches it and the rendezvous score of that node."""

    holder: CacheHolder
    watcher: str | None = None
    score: int = -1


class WatchAssignment:
    """The watching node of each holder, updated incrementally as nodes and holders change.

    Args:
        topology: Zones and regions; one region by default.

    Attributes:
        scores_made: Number of scores computed so far, which is the cost of the assignment.
    """

    def __init__(self, topology: Topology | None = None) -> None:
        self._topology = topology if topology is not None else Topology("")
        self._zones: Mapping[str, str] = {}
        self._members: dict[str, set[str]] = {}
        self._assignments: dict[str, _Assignment] = {}
        self._holders: Iterable[CacheHolder] = ()
        self.scores_made = 0

    def update(self, holders: Iterable[CacheHolder], zones_by_node: Mapping[str, str]) -> bool:
        """Apply the current holders and the zone of each alive node.

        Changes are detected by object identity, so neither argument may be modified afterwards.

        Returns:
            Whether either argument is a different object than in the last call.
        """
        if zones_by_node is self._zones and holders is self._holders:
            return False
        if zones_by_node is not self._zones:
            self._apply_nodes(zones_by_node)
            self._zones = zones_by_node
        if holders is not self._holders:
            self._apply_holders(holders)
            self._holders = holders
        return True

    def holders_watched_by(self, node_id: str) -> list[CacheHolder]:
        """Return the holders that a node watches."""
        return [a.holder for a in self._assignments.values() if a.watcher == node_id]

    def watcher(self, holder_id: str) -> str | None:
        """Return the node that watches a holder; None without a node or for an unknown holder."""
        assignment = self._assignments.get(holder_id)
        return assignment.watcher if assignment is not None else None

    def _apply_nodes(self, zones: Mapping[str, str]) -> None:
        known = {node: zone for zone, members in self._members.items() for node in members}
        removed = {node for node, zone in known.items() if zones.get(node) != zone}
        added = {node for node, zone in zones.items() if known.get(node) != zone}
        had_nodes = {zone for zone, members in self._members.items() if members}
        for node in removed:
            self._members[known[node]].discard(node)
        for node in added:
            self._members.setdefault(zones[node], set()).add(node)
        has_nodes = {zone for zone, members in self._members.items() if members}
        changed_zones = had_nodes ^ has_nodes
        for assignment in self._assignments.values():
            zone = assignment.holder.zone
            if assignment.watcher in removed or zone in changed_zones or zone not in has_nodes:
                self._assign(assignment)
            else:
                self._update_watcher(assignment, [node for node in added if zones[node] == zone])

    def _apply_holders(self, holders: Iterable[CacheHolder]) -> None:
        listed = {holder.holder_id: holder for holder in holders}
        for holder_id in self._assignments.keys() - listed.keys():
            del self._assignments[holder_id]
        for holder_id, holder in listed.items():
            known = self._assignments.get(holder_id)
            if known is None or known.holder != holder:
                assignment = self._assignments[holder_id] = _Assignment(holder)
                self._assign(assignment)

    def _assign(self, assignment: _Assignment) -> None:
        """Choose the watcher among the nodes of the holder's zone, else its region, else all."""
        assignment.watcher, assignment.score = None, -1
        near = self._members.get(assignment.holder.zone)
        if near:
            self._update_watcher(assignment, near)
            return
        region = self._topology.region_of(assignment.holder.zone)
        for zone, members in self._members.items():
            if self._topology.region_of(zone) == region:
                self._update_watcher(assignment, members)
        if assignment.watcher is not None:
            return
        for members in self._members.values():
            self._update_watcher(assignment, members)

    def _update_watcher(self, assignment: _Assignment, nodes: Iterable[str]) -> None:
        """Make the node with the highest score the watcher, if it beats the current watcher."""
        for node in nodes:
            self.scores_made += 1
            candidate_score = score(assignment.holder.holder_id, node)
            if (candidate_score, node) > (assignment.score, assignment.watcher or ""):
                assignment.watcher, assignment.score = node, candidate_score
