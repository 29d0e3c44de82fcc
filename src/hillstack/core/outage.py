"""Whether the store was away, or calls to it failed for other reasons.

After an outage of the store bounds in time begin again, so an outage that was none keeps older
weights in use for too long. A call that fails shows an outage only if nothing else explains it: a
store that refuses a call for its rate is there, and a node that is late with its own reading may
have missed the answer.
"""

from __future__ import annotations


class OutageEvidence:
    """What the failed calls since the last answer show.

    Args:
        least_seconds: Time that calls must have failed for.
    """

    def __init__(self, least_seconds: float) -> None:
        self._least = least_seconds
        self._since: float | None = None
        self._until = 0.0

    def failed(self, now: float, *, is_explained: bool) -> None:
        """Note a failed call.

        Args:
            now: Time on the node's clock.
            is_explained: Whether it may have failed though the store was there. What failed before
                may have had the same reason, so it no longer counts either.
        """
        if is_explained:
            self._since = None
            return
        if self._since is None:
            self._since = now
        self._until = now

    def answered(self) -> float | None:
        """Note an answer; return until when the store was away at least, None if it was not."""
        since, self._since = self._since, None
        if since is None or self._until - since < self._least:
            return None
        return self._until
