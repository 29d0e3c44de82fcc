"""Runs that were left over a relay while this node reaches their runner directly."""

from __future__ import annotations

# Only the requests in progress are looked up; others are those of callers that have left.
MAX_LEFT_RUNS = 1_024


class LeftRelayedRuns:
    """Records the runs that only a silent relay can end.

    Such a run may go on for as long as its relay is stopped.
    """

    def __init__(self) -> None:
        self._addresses: dict[str, str] = {}

    def add(self, request_id: str, address: str) -> None:
        """Record that a request has left its runner at ``IP:PORT``."""
        self._addresses.pop(request_id, None)
        if len(self._addresses) >= MAX_LEFT_RUNS:
            del self._addresses[next(iter(self._addresses))]
        self._addresses[request_id] = address

    def take(self, request_id: str, address: str) -> bool:
        """Return whether a request has left this runner so, and forget it."""
        return self._addresses.pop(request_id, None) == address
