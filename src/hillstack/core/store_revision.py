"""Position of a change in the order of all changes of the platform's store.

A store that was restored from a backup assigns revision numbers again that it had assigned before.
A number alone therefore neither identifies a change nor orders two changes. The store's era, which
rises with each restore, is compared first.
"""

from __future__ import annotations

from typing import NamedTuple


class StoreRevision(NamedTuple):
    """A revision of the store; later revisions compare greater.

    Attributes:
        era: Number of restores of the store; 0 if the store does not report it.
        number: Revision number assigned by the store.
    """

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.era}/{self.number}"


# Precedes every change; the revision of an item that does not exist.
NO_REVISION = StoreRevision(0, 0)
