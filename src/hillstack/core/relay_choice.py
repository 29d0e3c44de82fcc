"""Which node of a zone hands things on: the first in the zone's order that is not silent.

Nobody is appointed. Every node follows the same order, and whoever is asked to relay does so. Where
two nodes disagree, for a second or two, two nodes relay, and each message still takes one path.
"""

from __future__ import annotations

from hillstack.core.node_directory import NodeDirectory, NodeEntry

# Up to so many nodes tell each other directly. A relay adds some 30 ms; at 16 nodes the direct way
# costs each node some 300 datagrams a second at most, as many as a relay takes in a large zone.
DIRECT_NODES = 16
# A relay sends at least each 0.3 s (``notice_relay.HEARTBEAT_SECONDS``): three lost datagrams.
SILENT_SECONDS = 1.0
# A node that was silent is tried again after that; a restart is heard of sooner.
PASS_OVER_SECONDS = 5.0


class RelayChoice:
    """The choice of relays as one node sees it.

    Args:
        node_id: This node.
        directory: All nodes.
    """

    def __init__(self, node_id: str, directory: NodeDirectory) -> None:
        self._node_id = node_id
        self._directory = directory
        self._heard_at: dict[str, float] = {}
        self._passed_over_until: dict[str, float] = {}
        self._relied_on: dict[str | None, tuple[str, float]] = {}

    def heard(self, node_id: str, now: float) -> None:
        """Note a datagram of a node: it is alive and reaches this one."""
        self._heard_at[node_id] = now
        self._passed_over_until.pop(node_id, None)

    def pass_over(self, node_id: str, now: float) -> None:
        """Note that a node did not answer: it is not relied on for a while, unless it is heard."""
        self._passed_over_until[node_id] = now + PASS_OVER_SECONDS

    def group(self, zone: str) -> str | None:
        """Return the zone that nodes of a zone form a group with; None where all are one group."""
        return None if len(self._directory) <= DIRECT_NODES else zone

    def relay(self, zone: str | None, now: float) -> str | None:
        """Return the node that relays for a group, which may be this one; None without nodes."""
        order = self._directory.relay_order(zone)
        for node_id in order:
            if node_id == self._node_id or self._is_relied_on(zone, node_id, now):
                return node_id
        return order[0] if order else None

    def relays_of_others(self, zone: str, now: float) -> list[NodeEntry]:
        """Return the other nodes that relay, for all zones but one."""
        zones = (other for other in self._directory.zones() if other != zone)
        relays = (self.relay(other, now) for other in zones)
        nodes = (self._directory.get(relay) for relay in relays if relay is not None)
        return [n for n in nodes if n is not None and n.node_id != self._node_id]

    def before_this(self, zone: str | None, now: float) -> list[str]:
        """Return the nodes of a zone, or of all, that come before this one and are not silent."""
        order = self._directory.relay_order(zone)
        place = order.index(self._node_id) if self._node_id in order else len(order)
        return [node_id for node_id in order[:place] if self._is_usable(node_id, now)]

    def others(self, zone: str | None, now: float) -> list[str]:
        """Return all other nodes of a zone, or of all, that are not silent."""
        order = self._directory.relay_order(zone)
        return [n for n in order if n != self._node_id and self._is_usable(n, now)]

    def _is_usable(self, node_id: str, now: float) -> bool:
        return now >= self._passed_over_until.get(node_id, now)

    def _is_relied_on(self, zone: str | None, node_id: str, now: float) -> bool:
        """Return whether a node was heard lately, or is given the time to be heard."""
        if not self._is_usable(node_id, now):
            return False
        relied_on, since = self._relied_on.get(zone, (None, now))
        if relied_on != node_id:
            self._relied_on[zone] = node_id, now
            return True
        if now - max(since, self._heard_at.get(node_id, since)) < SILENT_SECONDS:
            return True
        self.pass_over(node_id, now)
        return False
