"""What the store holds, in the order of its changes, so that a node can tell a peer what is new."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, replace

import msgspec

from hillstack.serving.fleet_state import RunnerListed, StoreEvent

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
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class StoreChange:
    """A change of the store, as it lies there and as the product reads it.

    Attributes:
        event: What it means; None for keys that mean nothing to the product.
    """

    item: StoredItem
    event: StoreEvent | None

    @property
    def is_removal(self) -> bool:
        """Return whether the key was removed."""
        return self.item.value is None


@dataclass(frozen=True, slots=True)
class ListedKeys:
    """What a whole list of keys says.

    Attributes:
        runner_ids: The runners that are listed.
        node_ids: The nodes that are listed.
        duty_held: Whether some node holds the duty of ordering weights.
    """

    runner_ids: set[str]
    node_ids: set[str]
    duty_held: bool


@dataclass(frozen=True, slots=True)
class ChangesSince:
    """What has changed since a revision.

    Attributes:
        items: The latest change of each key that changed, in the order of revisions.
        revision: Up to where they go.
        keys: All keys that exist, where removals since then are not remembered; else None.
    """

    items: list[StoredItem]
    revision: int
    keys: list[str] | None


@dataclass(frozen=True, slots=True)
class Comparison:
    """How a log differs from a whole list of the store.

    Attributes:
        news: Listed items that the log does not know.
        removed: Keys that are not listed any more, as removals.
        missed: Keys of the news which the log should have known by its revision.
    """

    news: list[StoreChange]
    removed: list[StoredItem]
    missed: list[str]


class ChangeLog:
    """The latest change of each key, oldest first.

    A runner's heartbeat is no news: the change before it stays the latest.

    Attributes:
        revision: Up to which revision all is known; 0 before the first reading of the store.
    """

    def __init__(self) -> None:
        self._changes: OrderedDict[str, StoreChange] = OrderedDict()
        self._removed: OrderedDict[str, int] = OrderedDict()
        # Removals up to this revision are not remembered.
        self._removals_from = 0
        self.revision = 0
        self._digest = 0

    def load(self, changes: Iterable[StoreChange], revision: int) -> None:
        """Take over all that the store holds."""
        for key in list(self._changes):
            self._forget(key)
        self._removed.clear()
        for change in sorted(changes, key=lambda change: change.item.revision):
            self._remember(change)
        self.revision = max(self.revision, revision)
        self._removals_from = self.revision

    def take(self, changes: Iterable[StoreChange], revision: int) -> None:
        """Take over changes, in the order of their revisions."""
        for change in changes:
            # Each is weighed against what those ahead of it have left: an entry that was removed
            # and written again in one answer is news, though it says what it said before.
            if not self._is_heartbeat(change):
                self._take_news(change)
        self.revision = max(self.revision, revision)
        while len(self._removed) > MAX_REMOVED_KEYS:
            key, removed_at = self._removed.popitem(last=False)
            self._forget(key)
            self._removals_from = max(self._removals_from, removed_at)

    def retain(self, keys: Collection[str], revision: int) -> None:
        """Drop all keys that a whole list, as of a revision, does not have."""
        listed = set(keys)
        for key in [key for key in self._changes if key not in listed]:
            self._forget(key)
        self._removed.clear()
        self._removals_from = max(self._removals_from, revision)

    def since(self, revision: int) -> ChangesSince:
        """Return what has changed since a revision."""
        changed: list[StoredItem] = []
        for change in reversed(self._changes.values()):
            if change.item.revision <= revision:
                break
            changed.append(change.item)
        changed.reverse()
        keys = None
        if revision < self._removals_from:
            keys = [key for key, change in self._changes.items() if not change.is_removal]
        return ChangesSince(changed, self.revision, keys)

    def digest(self) -> int | None:
        """Return a number that stands for all keys that exist and what lies there.

        Two logs of the same revision have the same one, whichever heartbeats they have seen. None
        while something is known beyond the revision: a list of several pages goes beyond it.
        """
        latest = next(reversed(self._changes.values()), None)
        if latest is not None and latest.item.revision > self.revision:
            return None
        return self._digest

    def size(self) -> int:
        """Return the number of keys that exist or are remembered as removed."""
        return len(self._changes)

    def compare(self, listed: Sequence[StoreChange], revision: int) -> Comparison:
        """Compare this log with a whole list of the store.

        Args:
            listed: All that the store held as of ``revision``, or a little later: what is newer
                will come as a change.
            revision: The log has not gone beyond it.
        """
        news = [change for change in listed if self._is_news(change, revision)]
        keys = {change.item.key for change in listed}
        removed = [
            StoredItem(key, revision, None)
            for key, known in self._changes.items()
            if key not in keys and not known.is_removal
        ]
        missed = [change.item.key for change in news if change.item.revision <= self.revision]
        return Comparison(news, removed, missed)

    def _is_news(self, change: StoreChange, revision: int) -> bool:
        if change.item.revision > revision:
            return False
        known = self._changes.get(change.item.key)
        if known is None or known.is_removal:
            return True
        return known.item.revision < change.item.revision and not self._is_heartbeat(change)

    def _is_heartbeat(self, change: StoreChange) -> bool:
        """Return whether a runner's entry says what this log has of it already."""
        known = self._changes.get(change.item.key)
        if known is None or known.item.revision >= change.item.revision:
            return False
        if not isinstance(change.event, RunnerListed) or not isinstance(known.event, RunnerListed):
            return False
        return known.event.entry.is_same_but_revision(change.event.entry)

    def _take_news(self, change: StoreChange) -> None:
        key = change.item.key
        self._forget(key)
        self._removed.pop(key, None)
        self._remember(change)
        if change.is_removal:
            self._removed[key] = change.item.revision

    def _remember(self, change: StoreChange) -> None:
        self._changes[change.item.key] = change
        self._digest ^= _digest_of(change)

    def _forget(self, key: str) -> None:
        known = self._changes.pop(key, None)
        if known is not None:
            self._digest ^= _digest_of(known)


def _digest_of(change: StoreChange) -> int:
    """Return a change's part of the digest; 0 for a removal."""
    if change.is_removal:
        return 0
    content = change.item.value or b""
    if isinstance(change.event, RunnerListed):
        content = msgspec.msgpack.encode(replace(change.event.entry, revision=0))
    return zlib.crc32(content, zlib.crc32(change.item.key.encode()))
