"""Which nodes hold the token buckets of tenants' limits, as one node sees it.

The relay of a zone holds the zone's buckets. There is no election, and nodes need not agree on the
holder: any node to which others contribute their time holds the tokens that this time is worth
(``token_buckets``).
Where nodes agree, the tokens are in one place and few messages are needed.
"""

from __future__ import annotations

from hillstack.core.node_directory import NodeDirectory, NodeEntry
from hillstack.core.relay_choice import RelayChoice

# How long a holder that did not answer is skipped. A restart takes about a second.
SKIP_SECONDS = 1.0


class BucketHolders:
    """Chooses the bucket holders that one node uses.

    Args:
        node_id: This node.
        directory: All listed nodes.
        choice: The choice of relays.
        zone: Zone of this node.
    """

    def __init__(
        self, node_id: str, directory: NodeDirectory, choice: RelayChoice, zone: str
    ) -> None:
        self._node_id = node_id
        self._directory = directory
        self._choice = choice
        self._zone = zone
        self._skipped_until: dict[str, float] = {}

    def own(self, now: float) -> NodeEntry | None:
        """Return the holder that this node contributes its time to.

        None if it is this node or if no other holder is known; this node then acts as the holder.
        """
        group = self._choice.group(self._zone)
        relay = self._choice.relay(group, now)
        candidates = (relay, *self._directory.relay_order(group))
        for node_id in candidates:
            if node_id == self._node_id:
                return None
            if node_id is not None and now >= self._skipped_until.get(node_id, now):
                return self._directory.get(node_id)
        return None

    def others(self, now: float) -> list[NodeEntry]:
        """Return the holders of the other zones."""
        group = self._choice.group(self._zone)
        if group is None:
            return []
        return self._choice.relays_of_others(group, now)

    def record_unreachable(self, node_id: str, now: float) -> None:
        """Record that a holder did not answer."""
        self._skipped_until[node_id] = now + SKIP_SECONDS

    def note_answer(self, node_id: str) -> None:
        """Record that a holder answered."""
        self._skipped_until.pop(node_id, None)
