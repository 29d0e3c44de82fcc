"""The latest change of each key of the store, ordered by revision, to answer peers' questions."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from hillstack.core.store_revision import NO_REVISION, StoreRevision
from hillstack.serving.store_events import ListedRollouts, StoreEvent

# A removed key is remembered so that the removal can be sent to peers that still ask for changes
# since an earlier revision. Keys are removed when runners or nodes stop. A peer asks every few
# seconds, and on a whole day of the largest deployment fewer keys than this are removed between two
# of its questions. A peer that asks from before the oldest remembered removal gets all keys.
MAX_REMOVED_KEYS = 1_000


@dataclass(frozen=True, slots=True)
class StoredItem:
    """An item of the store after its latest change.

    Attributes:
        revision: Revision of the latest change.
        value: The value; None if the key was removed.
    """

    key: str
    revision: StoreRevision
    value: bytes | None


@dataclass(frozen=True, slots=True)
class StoreChange:
    """A change of the store, as stored and as decoded.

    Attributes:
        event: The decoded event; None for keys that this software does not use.
    """

    item: StoredItem
    event: StoreEvent | None


@dataclass(frozen=True, slots=True)
class ListedKeys:
    """The decoded list of all keys of the store.

    Attributes:
        runner_ids: The listed runners.
        node_ids: The listed nodes.
        has_duty_holder: Whether some node holds the lease on the duty of ordering weights.
        rollouts: The listed rollouts of software.
    """

    runner_ids: set[str]
    node_ids: set[str]
    has_duty_holder: bool
    rollouts: ListedRollouts = field(default_factory=ListedRollouts)


@dataclass(frozen=True, slots=True)
class ChangesSince:
    """The changes since a revision.

    Attributes:
        items: The latest change of each changed key, ordered by revision.
        revision: The revision up to which the changes are complete.
        keys: All existing keys, if some removals since the revision are no longer remembered; else
            None.
    """

    items: list[StoredItem]
    revision: StoreRevision
    keys: list[str] | None


class ChangeLog:
    """The latest change of each key, oldest first.

    Attributes:
        revision: The revision up to which all changes are included; ``NO_REVISION`` before the
            first read of the store. All items belong to the era of this revision.
    """

    def __init__(self) -> None:
        self._items: OrderedDict[str, StoredItem] = OrderedDict()
        self._removed: OrderedDict[str, StoreRevision] = OrderedDict()
        # Removals up to and including this revision may have been forgotten.
        self._removals_forgotten_up_to = NO_REVISION
        self.revision = NO_REVISION

    def load(self, items: Iterable[StoredItem], revision: StoreRevision) -> None:
        """Replace the log by the whole content of the store."""
        self._items.clear()
        self._removed.clear()
        for item in sorted(items, key=lambda item: item.revision):
            self._items[item.key] = item
        self.revision = max(self.revision, revision)
        self._removals_forgotten_up_to = self.revision

    def apply(self, items: Iterable[StoredItem], revision: StoreRevision) -> None:
        """Add changes, which must be ordered by revision.

        A change is added even if it leaves the value as this node knows it, because a peer that
        asks later may know another value: an entry that was removed and written again with the
        same content is a change for each node that has seen the removal.
        """
        for item in items:
            known = self._items.get(item.key)
            if known is not None and known.revision > item.revision:
                # The later pages of a paginated list can hold changes newer than its revision.
                continue
            self._items.pop(item.key, None)
            self._removed.pop(item.key, None)
            self._items[item.key] = item
            if item.value is None:
                self._removed[item.key] = item.revision
        self.revision = max(self.revision, revision)
        while len(self._removed) > MAX_REMOVED_KEYS:
            key, removed_at = self._removed.popitem(last=False)
            del self._items[key]
            self._removals_forgotten_up_to = max(self._removals_forgotten_up_to, removed_at)

    def retain(self, keys: Collection[str], revision: StoreRevision) -> None:
        """Remove all keys that are missing from a full key list read at a revision."""
        listed = set(keys)
        for key in [key for key in self._items if key not in listed]:
            del self._items[key]
        self._removed.clear()
        self._removals_forgotten_up_to = max(self._removals_forgotten_up_to, revision)

    def since(self, revision: StoreRevision) -> ChangesSince:
        """Return the changes since a revision."""
        changed: list[StoredItem] = []
        for item in reversed(self._items.values()):
            if item.revision <= revision:
                break
            changed.append(item)
        changed.reverse()
        keys = None
        if revision < self._removals_forgotten_up_to:
            keys = self.keys()
        return ChangesSince(changed, self.revision, keys)

    def keys(self) -> list[str]:
        """Return all existing keys."""
        return [key for key, item in self._items.items() if item.value is not None]

    def differences(self, listed: Sequence[StoredItem], revision: StoreRevision) -> list[str]:
        """Return the keys on which this log differs from a full list of the store.

        Args:
            listed: All items of the store at ``revision`` or a little later. The log must have
                reached the latest revision in the list.
            revision: Revision of the list. A key that changed after it may rightly be missing.
        """
        found = [item.key for item in listed if self._has_missed(item, revision)]
        keys = {item.key for item in listed}
        for key, known in self._items.items():
            if key not in keys and known.value is not None and known.revision <= revision:
                found.append(key)
        return found

    def missed_among(self, items: Iterable[StoredItem]) -> list[str]:
        """Return the keys for which a peer has a change or removal that this log has missed.

        Keys that only this log has are not compared, since the peer may have missed them. Items
        newer than this log are not missed yet, and neither is the removal of a key that this log
        does not know.
        """
        missed = []
        for item in items:
            known = self._items.get(item.key)
            is_behind = item.value is not None if known is None else known.revision < item.revision
            if is_behind and item.revision <= self.revision:
                missed.append(item.key)
        return missed

    def _has_missed(self, item: StoredItem, revision: StoreRevision) -> bool:
        known = self._items.get(item.key)
        if known is None or known.revision < item.revision:
            return True
        return known.value is None and known.revision <= revision

    def keys_missing_from(self, listed: Iterable[str]) -> list[str]:
        """Return the existing keys of this log that are missing from a full key list."""
        keys = set(listed)
        return [key for key in self._items if key not in keys and self.has(key)]

    def has(self, key: str) -> bool:
        """Return whether a key exists according to this log."""
        known = self._items.get(key)
        return known is not None and known.value is not None

    def size(self) -> int:
        """Return the number of keys, including the remembered removed ones."""
        return len(self._items)
