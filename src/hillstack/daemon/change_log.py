"""What the store holds, in the order of its changes, so that a node can tell a peer what is new."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from hillstack.core.store_revision import NO_REVISION, StoreRevision
from hillstack.serving.store_events import ListedRollouts, StoreEvent

# Removed keys are remembered while changes since before their removal may still be asked for. A
# removal is a runner or a node that ends: this is more than a day of the largest deployment brings
# between two questions of one peer, some seconds apart. Beyond it a peer is told all keys.
MAX_REMOVED_KEYS = 1_000


@dataclass(frozen=True, slots=True)
class StoredItem:
    """An item of the store as its latest change left it.

    Attributes:
        revision: Revision of that change.
        value: Its value; None if it was removed.
    """

    key: str
    revision: StoreRevision
    value: bytes | None


@dataclass(frozen=True, slots=True)
class StoreChange:
    """A change of the store, as it lies there and as the product reads it.

    Attributes:
        event: What it means; None for keys that mean nothing to the product.
    """

    item: StoredItem
    event: StoreEvent | None


@dataclass(frozen=True, slots=True)
class ListedKeys:
    """What a whole list of keys says.

    Attributes:
        runner_ids: The runners that are listed.
        node_ids: The nodes that are listed.
        duty_held: Whether some node holds the duty of ordering weights.
        rollouts: What it says of rollouts of software.
    """

    runner_ids: set[str]
    node_ids: set[str]
    duty_held: bool
    rollouts: ListedRollouts = field(default_factory=ListedRollouts)


@dataclass(frozen=True, slots=True)
class ChangesSince:
    """What has changed since a revision.

    Attributes:
        items: The latest change of each key that changed, in the order of revisions.
        revision: Up to where they go.
        keys: All keys that exist, where removals since then are not remembered; else None.
    """

    items: list[StoredItem]
    revision: StoreRevision
    keys: list[str] | None


class ChangeLog:
    """The latest change of each key, oldest first.

    Attributes:
        revision: Up to which revision all is known; ``NO_REVISION`` before the first reading of the
            store. All items are of its era.
    """

    def __init__(self) -> None:
        self._items: OrderedDict[str, StoredItem] = OrderedDict()
        self._removed: OrderedDict[str, StoreRevision] = OrderedDict()
        # Removals up to this revision are not remembered.
        self._removals_from = NO_REVISION
        self.revision = NO_REVISION

    def load(self, items: Iterable[StoredItem], revision: StoreRevision) -> None:
        """Take over all that the store holds."""
        self._items.clear()
        self._removed.clear()
        for item in sorted(items, key=lambda item: item.revision):
            self._items[item.key] = item
        self.revision = max(self.revision, revision)
        self._removals_from = self.revision

    def take(self, items: Iterable[StoredItem], revision: StoreRevision) -> None:
        """Take over changes, in the order of their revisions.

        All of them, whatever they say: what is news to this node may be known to the peer that it
        is handed on to, and the other way round. An entry that was removed and written again with
        the same content is news to whoever has heard of the removal.
        """
        for item in items:
            known = self._items.get(item.key)
            if known is not None and known.revision > item.revision:
                # A list of several pages went beyond its revision.
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
            self._removals_from = max(self._removals_from, removed_at)

    def retain(self, keys: Collection[str], revision: StoreRevision) -> None:
        """Drop all keys that a whole list, as of a revision, does not have."""
        listed = set(keys)
        for key in [key for key in self._items if key not in listed]:
            del self._items[key]
        self._removed.clear()
        self._removals_from = max(self._removals_from, revision)

    def since(self, revision: StoreRevision) -> ChangesSince:
        """Return what has changed since a revision."""
        changed: list[StoredItem] = []
        for item in reversed(self._items.values()):
            if item.revision <= revision:
                break
            changed.append(item)
        changed.reverse()
        keys = None
        if revision < self._removals_from:
            keys = [key for key, item in self._items.items() if item.value is not None]
        return ChangesSince(changed, self.revision, keys)

    def differences(self, listed: Sequence[StoredItem], revision: StoreRevision) -> list[str]:
        """Return the keys of which this log should know what a whole list of the store shows.

        Args:
            listed: All that the store held at ``revision``, or a little later. The log must have
                gone as far as the latest of it.
            revision: A key that was changed after it may be missing from the list rightly.
        """
        found = [item.key for item in listed if self._has_missed(item, revision)]
        keys = {item.key for item in listed}
        for key, known in self._items.items():
            if key not in keys and known.value is not None and known.revision <= revision:
                found.append(key)
        return found

    def missed_of(self, items: Iterable[StoredItem]) -> list[str]:
        """Return the keys of a peer's changes, removals among them, that this log is behind on.

        What the peer lacks says nothing: it may have missed it itself.
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

    def keys_beyond(self, listed: Iterable[str]) -> list[str]:
        """Return the keys that exist, as far as is known, and that a whole list does not have."""
        keys = set(listed)
        return [key for key in self._items if key not in keys and self.has(key)]

    def has(self, key: str) -> bool:
        """Return whether a key exists, as far as is known."""
        known = self._items.get(key)
        return known is not None and known.value is not None

    def size(self) -> int:
        """Return the number of keys that exist or are remembered as removed."""
        return len(self._items)
