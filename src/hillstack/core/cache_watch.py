"""Which node watches the cache of which holder, and which nodes are alive to do so.

Each holder of cached parts, a runner or a store of kept KV cache, is watched by one node, which
tells the others what differs from their beliefs. The watcher is drawn by rendezvous hashing among
the nodes that are alive, those in the holder's zone first, so that the calls stay inside the zone
and their number does not grow with the nodes. While two nodes disagree about who is alive, both
watch, or none does: beliefs are then corrected twice, or later.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from hillstack.core.rendezvous import owner

ALIVE_SECONDS = 3.0
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
    """Which of the nodes that are registered are alive, by what they were last heard to say.

    Args:
        node_id: This node, which is always alive.
        started_at: When it started. All registered nodes count as alive for a while from then on,
            since none can have been heard yet.
    """

    def __init__(self, node_id: str, started_at: float) -> None:
        self._node_id = node_id
        self._started_at = started_at
        self._heard_at: dict[str, float] = {}
        self._incarnations: dict[str, int] = {}

    def heard(self, node_id: str, incarnation: int, now: float) -> bool:
        """Note that a node was heard; return whether its process is one not heard before."""
        self._heard_at[node_id] = now
        if self._incarnations.get(node_id) == incarnation:
            return False
        self._incarnations[node_id] = incarnation
        return True

    def is_alive(self, node_id: str, now: float) -> bool:
        """Return whether a node counts as alive."""
        if node_id == self._node_id or now - self._started_at < START_SECONDS:
            return True
        return now - self._heard_at.get(node_id, float("-inf")) < ALIVE_SECONDS


def watcher(holder: CacheHolder, zones_by_node: Mapping[str, str]) -> str | None:
    """Return the node that watches a holder, or None without nodes.

    Args:
        holder: The holder.
        zones_by_node: Zone of each node that is alive.
    """
    near = [node_id for node_id, zone in zones_by_node.items() if zone == holder.zone]
    return owner(holder.holder_id, near or zones_by_node)
