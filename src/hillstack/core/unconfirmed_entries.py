"""Runner entries that a store, restored from a backup, may list although the runner has stopped.

The backup may be older than the runner's removal, and so list the runner again. The entry of a
stopped runner expires in the store; a live runner is still listed afterwards or has updated its
entry. Until one of these is observed, the runner gets no requests.
"""

from __future__ import annotations

import logging
from collections.abc import Collection

from hillstack.core.runner_pool import RunnerEntry, RunnerPool

logger = logging.getLogger(__name__)

# The store drops the entry of a stopped runner after three missed heartbeats of 1.2 s (3.6 s); the
# rest is a margin.
LAPSE_SECONDS = 5.0


class UnconfirmedEntries:
    """The entries that are withheld from use, by their names in the directory.

    Args:
        pool: The runners known to this node.
    """

    def __init__(self, pool: RunnerPool) -> None:
        self._pool = pool
        self._withheld: dict[str, tuple[RunnerEntry, float]] = {}

    def withhold(self, entry: RunnerEntry, now: float) -> bool:
        """Withhold an entry if its runner may have stopped; return whether it is withheld."""
        name = entry.directory_name
        withheld, _ = self._withheld.get(name, (None, 0.0))
        if withheld is not None and withheld.revision.era == entry.revision.era:
            if withheld.revision < entry.revision:
                del self._withheld[name]
            return withheld.revision == entry.revision
        if not self._pool.was_dropped_in_earlier_era(entry):
            return False
        self._withheld[name] = entry, now + LAPSE_SECONDS
        logger.info("runner kept back", extra={"runner": entry.runner_id})
        return True

    def drop(self, name: str) -> None:
        """Forget an entry that the directory has removed."""
        self._withheld.pop(name, None)

    def remove_unlisted(self, listed: Collection[str]) -> None:
        """Remove the entries that are not in a full list of the directory."""
        for name in self._withheld.keys() - listed:
            del self._withheld[name]

    def take_due(self, now: float) -> list[RunnerEntry]:
        """Release and return the entries that are still listed after ``LAPSE_SECONDS``."""
        due = [entry for entry, until in self._withheld.values() if now >= until]
        for entry in due:
            del self._withheld[entry.directory_name]
        return due
