"""Where a change stands in the order of all that the platform's store says.

A store that was restored from an older copy gives its revisions out again, so a number alone names
no change and says nothing of which of two is the later one. Its era, which rises with each restore,
goes before the number.
"""

from __future__ import annotations

from typing import NamedTuple


class StoreRevision(NamedTuple):
    """A revision of the store; the later of two is the greater one.

    Attributes:
        era: How often the store had been restored; 0 where it does not say.
        number: The store's own revision.
    """

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.era}/{self.number}"


# Before every change: that of an item which does not exist.
NO_REVISION = StoreRevision(0, 0)
