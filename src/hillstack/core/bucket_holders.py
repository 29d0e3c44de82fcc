"""Which nodes hold the token buckets of tenants' limits, as one node sees it.

A zone's buckets are with the node that relays for the zone. Nobody is appointed, and nodes need not
agree: whoever is handed time holds what it is worth. Where they agree, tokens lie together and few
messages are needed.
"""

from __future__ import annotations

from hillstack.core.node_directory import NodeDirectory, NodeEntry
from hillstack.core.relay_choice import RelayChoice

# A holder that did not answer is not asked for that long: a restart takes about a second.
PASS_OVER_SECONDS = 1.0


class BucketHolders:
    """The choice of holders of one node.

    Args:
        node_id: This node.
        directory: All nodes.
        choice: Who relays.
        zone: Zone of this node.
    """

    def __init__(
        self, node_id: str, directory: NodeDirectory, choice: RelayChoice, zone: str
    ) -> None:
        self._node_id = node_id
        self._directory = directory
        self._choice = choice
        self._zone = zone
        self._silent_until: dict[str, float] = {}

    def own(self, now: float) -> NodeEntry | None:
        """Return the holder that this node hands its time to; None if it is this node."""
        group = self._choice.group(self._zone)
        relay = self._choice.relay(group, now)
        candidates = (relay, *self._directory.relay_order(group))
        for node_id in candidates:
            if node_id == self._node_id:
                return None
            if node_id is not None and now >= self._silent_until.get(node_id, now):
                return self._directory.get(node_id)
        return None

    def others(self, now: float) -> list[NodeEntry]:
        """Return the holders of the other zones."""
        group = self._choice.group(self._zone)
        if group is None:
            return []
        return self._choice.relays_of_others(group, now)

    def note_silent(self, node_id: str, now: float) -> None:
        """Note that a holder did not answer."""
        self._silent_until[node_id] = now + PASS_OVER_SECONDS

    def note_answer(self, node_id: str) -> None:
        """Note that a holder answered."""
        self._silent_until.pop(node_id, None)
