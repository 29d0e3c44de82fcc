"""Proofs of the store's revision at given times, from which the age of a change is derived.

A change was acknowledged after every time at which the store's revision was lower than the
change's. This holds even if the node missed changes in between, so a change that is discovered
late, as after a gap in the history, is not mistaken for one that was just made.

Revision numbers also compare across a restore: the backup contains the earlier changes of the lost
store under their original numbers, and all later changes get higher numbers.
"""

from __future__ import annotations

import math
from collections import deque

from hillstack.core.store_revision import StoreRevision

# Longer than the grace of weights versions, which is at most 12 s on known deployments. A change
# discovered later than that is due at once anyway.
RETENTION_SECONDS = 30.0


class StoreProofs:
    """Pairs of a revision and a time by which the store had not passed that revision."""

    def __init__(self) -> None:
        self._proofs: deque[tuple[StoreRevision, float]] = deque()

    def note(self, revision: StoreRevision, proved_at: float) -> None:
        """Record an answer of the store, received directly or forwarded by a peer.

        Args:
            revision: The store's revision in the answer.
            proved_at: When the request was sent; the revision then was at most ``revision``.
        """
        if self._proofs and proved_at <= self._proofs[-1][1]:
            return
        while self._proofs and revision <= self._proofs[-1][0]:
            # The revision never decreases within an era, so it was no higher at the earlier time.
            # The new proof therefore replaces the earlier one.
            self._proofs.pop()
        self._proofs.append((revision, proved_at))
        while proved_at - self._proofs[0][1] > RETENTION_SECONDS:
            self._proofs.popleft()

    def latest_before(self, revision: StoreRevision) -> float:
        """Return the latest time proved to precede a change; minus infinity if there is none.

        Args:
            revision: The revision of the change.
        """
        for known, proved_at in reversed(self._proofs):
            if known.era <= revision.era and known.number < revision.number:
                return proved_at
        return -math.inf

    def earliest_era(self) -> int | None:
        """Return the era of the oldest stored proof; None if there are no proofs."""
        return self._proofs[0][0].era if self._proofs else None
