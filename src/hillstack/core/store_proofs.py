"""Up to which revision the store had come at which moments, as far as this node can prove it.

A change was acknowledged after each moment at which the store's revision was below the change's.
That holds whatever a node has heard or missed of the changes between, so a change that comes to
light late, as after a gap in the history, is not taken for one that was just made.

Across a restore numbers compare as well: the copy holds the first changes of the store that was
lost under the numbers that they had there, and all later changes get higher ones.
"""

from __future__ import annotations

import math
from collections import deque

from hillstack.core.store_revision import StoreRevision

# Longer than any version of weights takes to be due (12 s and less on the deployments seen): what
# came to light later than that is due at once anyway.
KEPT_SECONDS = 30.0


class StoreProofs:
    """Pairs of a moment and a revision that the store had not passed by then."""

    def __init__(self) -> None:
        self._proofs: deque[tuple[StoreRevision, float]] = deque()

    def note(self, revision: StoreRevision, proved_at: float) -> None:
        """Note an answer of the store, or of a peer that passes one on.

        Args:
            revision: The revision that the answer tells.
            proved_at: When it was asked for. It may have gone up by the time of the answer.
        """
        if self._proofs and proved_at <= self._proofs[-1][1]:
            return
        while self._proofs and revision <= self._proofs[-1][0]:
            # Within an era the revision never falls: at the earlier moment it was no higher either.
            self._proofs.pop()
        self._proofs.append((revision, proved_at))
        while proved_at - self._proofs[0][1] > KEPT_SECONDS:
            self._proofs.popleft()

    def latest_before(self, revision: StoreRevision) -> float:
        """Return the last moment that lies before a change; minus infinity if none is known.

        Args:
            revision: The revision of the change.
        """
        for known, proved_at in reversed(self._proofs):
            if known.era <= revision.era and known.number < revision.number:
                return proved_at
        return -math.inf

    def earliest_era(self) -> int | None:
        """Return the era of the oldest proof that is kept; None without any."""
        return self._proofs[0][0].era if self._proofs else None
