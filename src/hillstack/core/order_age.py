"""Age of a rollout order, as known from this node, its peers and the rollout record."""

from __future__ import annotations

from hillstack.core.software_rollouts import RolloutRecord
from hillstack.core.store_revision import StoreRevision

# Assumed age of an order when a node first sees it: the interval of one poll of the store plus the
# interval of one check for new orders.
FIRST_SEEN_AGE_SECONDS = 0.75


class OrderAge:
    """Estimates when one order was given.

    A node that starts later, or receives the order late, learns its age from the rollout record.

    Args:
        seen_at: When this node first saw the order, on this node's clock.
    """

    def __init__(self, seen_at: float) -> None:
        self._ordered_at = seen_at - FIRST_SEEN_AGE_SECONDS
        self._record_revision: StoreRevision | None = None

    @property
    def ordered_at(self) -> float:
        """Estimated time of the order on this node's clock; updates can only make it earlier."""
        return self._ordered_at

    def apply_peer_age(self, ordered_at: float) -> None:
        """Apply the time of the order according to the oldest age that peers reported.

        A record contains the age at the time of its writing, and a starting node reads the record
        some seconds later. Nodes that saw the order itself know its current age.
        """
        self._ordered_at = min(self._ordered_at, ordered_at)

    def note(self, record: RolloutRecord, now: float) -> None:
        """Apply the age in the latest record of the order."""
        if record.revision == self._record_revision:
            return
        self._record_revision = record.revision
        self._ordered_at = min(self._ordered_at, now - record.elapsed_seconds)
