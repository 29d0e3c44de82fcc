"""Entries of runners that a restored store may have from its copy alone.

A runner that was known to be gone before a restore is listed again where the copy is older than
that. One that is gone lapses from the copy; one that lives is still listed afterwards, or has
changed its entry by then. Until this shows it gets no requests.
"""

from __future__ import annotations

import logging
from collections.abc import Collection

from hillstack.core.runner_pool import RunnerEntry, RunnerPool

logger = logging.getLogger(__name__)

# The entry of a runner that does not live is dropped after three heartbeats of 1.2 s.
LAPSE_SECONDS = 5.0


class DoubtfulEntries:
    """The entries that are kept back, by their names in the directory.

    Args:
        pool: What is known of the runners.
    """

    def __init__(self, pool: RunnerPool) -> None:
        self._pool = pool
        self._kept: dict[str, tuple[RunnerEntry, float]] = {}

    def keep_back(self, entry: RunnerEntry, now: float) -> bool:
        """Keep an entry back if it is doubtful; return whether it is."""
        name = entry.directory_name
        kept, _ = self._kept.get(name, (None, 0.0))
        if kept is not None and kept.revision.era == entry.revision.era:
            if kept.revision < entry.revision:
                del self._kept[name]
            return kept.revision == entry.revision
        if not self._pool.is_gone_before(entry):
            return False
        self._kept[name] = entry, now + LAPSE_SECONDS
        logger.info("runner kept back", extra={"runner": entry.runner_id})
        return True

    def drop(self, name: str) -> None:
        """Forget an entry that the directory has dropped."""
        self._kept.pop(name, None)

    def retain(self, listed: Collection[str]) -> None:
        """Forget the entries that a whole list of the directory no longer has."""
        for name in self._kept.keys() - listed:
            del self._kept[name]

    def take_due(self, now: float) -> list[RunnerEntry]:
        """Return the entries that have outlived the doubt, which are kept back no more."""
        due = [entry for entry, until in self._kept.values() if now >= until]
        for entry in due:
            del self._kept[entry.directory_name]
        return due
