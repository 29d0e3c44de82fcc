"""Up to which revision the store had come at which moments, as far as this node can prove it.

A change was acknowledged after each moment at which the store's revision was below the change's.
That holds whatever a node has heard or missed of the changes between, so a change that comes to
light late, as after a gap in the history, is not taken for one that was just made.
"""

from __future__ import annotations

import math
from collections import deque

# Longer than any version of weights takes to be due (12 s and less on the deployments seen): what
# came to light later than that is due at once anyway.
KEPT_SECONDS = 30.0


class StoreProofs:
    """Pairs of a moment and a revision that the store had not passed by then."""

    def __init__(self) -> None:
        self._proofs: deque[tuple[int, float]] = deque()

    def note(self, revision: int, proved_at: float) -> None:
        """Note an answer of the store, or of a peer that passes one on.

        Args:
            revision: The revision that the answer tells.
            proved_at: When it was asked for. It may have gone up by the time of the answer.
        """
        if self._proofs and proved_at <= self._proofs[-1][1]:
            return
        while self._proofs and revision <= self._proofs[-1][0]:
            # The store's revision never falls: at the earlier moment it was no higher either.
            self._proofs.pop()
        self._proofs.append((revision, proved_at))
        while proved_at - self._proofs[0][1] > KEPT_SECONDS:
            self._proofs.popleft()

    def latest_before(self, revision: int) -> float:
        """Return the last moment that lies before a change; minus infinity if none is known.

        Args:
            revision: The revision of the change.
        """
        for known, proved_at in reversed(self._proofs):
            if known < revision:
                return proved_at
        return -math.inf
