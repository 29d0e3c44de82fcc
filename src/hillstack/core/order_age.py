"""How old an order is, as far as this node or the record of its rollout knows."""

from __future__ import annotations

from hillstack.core.software_rollouts import RolloutRecord
from hillstack.core.store_revision import StoreRevision

# How old an order is taken to be when a node first sees it: one look at the store, and one for new
# orders.
HEARD_AFTER_SECONDS = 0.75


class OrderAge:
    """Age of one order. A node that starts later, or hears late, learns it from the record.

    Args:
        seen_at: When this node saw it.
    """

    def __init__(self, seen_at: float) -> None:
        self._ordered_at = seen_at - HEARD_AFTER_SECONDS
        self._record_revision: StoreRevision | None = None

    @property
    def ordered_at(self) -> float:
        """When the order was given, as far as known, on this node's clock; never moves forward."""
        return self._ordered_at

    def note_told(self, ordered_at: float) -> None:
        """Take over when the order was given by the oldest age that peers told.

        A record tells the age as of its writing, which a node that starts reads some seconds later;
        nodes that saw the order keep its age.
        """
        self._ordered_at = min(self._ordered_at, ordered_at)

    def note(self, record: RolloutRecord, now: float) -> None:
        """Take over what the latest record of the order says."""
        if record.revision == self._record_revision:
            return
        self._record_revision = record.revision
        self._ordered_at = min(self._ordered_at, now - record.elapsed_seconds)
