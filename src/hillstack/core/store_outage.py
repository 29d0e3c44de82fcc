"""Decides whether the store was unavailable, or calls to it failed for other reasons.

After a store outage, time bounds start again, so an outage detected by mistake allows older weights
for too long. A failed call is evidence of an outage only if nothing else explains it: a store that
rejects a call because of a rate limit is available, and a node that falls behind with reading its
own answers may have missed one.
"""

from __future__ import annotations


class OutageEvidence:
    """Collects the failed calls since the last answer of the store.

    Args:
        min_seconds: Shortest period of failing calls that counts as an outage.
    """

    def __init__(self, min_seconds: float) -> None:
        self._least = min_seconds
        self._since: float | None = None
        self._until = 0.0

    def failed(self, now: float, *, is_explained: bool) -> None:
        """Record a failed call.

        Args:
            now: Time on the node's clock.
            is_explained: Whether the call may have failed although the store was available. Earlier
                failures may have had the same cause, so they no longer count either.
        """
        if is_explained:
            self._since = None
            return
        if self._since is None:
            self._since = now
        self._until = now

    def answered(self) -> float | None:
        """Record an answer; return until when the store was unavailable, at least.

        Returns:
            The time of the last failed call; None if there was no outage.
        """
        since, self._since = self._since, None
        if since is None or self._until - since < self._least:
            return None
        return self._until
