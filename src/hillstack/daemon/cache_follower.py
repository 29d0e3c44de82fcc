"""Reads the contents of KV caches from their holders and corrects the estimates of all nodes.

A holder is a runner or a store of saved KV cache. The nodes estimate the contents of each holder
from the requests that they send. These estimates miss evictions, losses in a restart, and
everything that was cached before the node started. Each holder is therefore watched by one node:
the node reads the holder's complete list once and its changes from then on, and reports to the
peers where the contents differ from the estimate.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from hillstack.core.cache_watch import CacheHolder, WatchAssignment
from hillstack.core.part_index import PromptPart
from hillstack.errors import BackendError, BackendRefusedError, RunnerRestartedError
from hillstack.logs import error_fields
from hillstack.serving.fleet_state import FleetState

logger = logging.getLogger(__name__)

# Interval between checks of which holders this node watches. A check without a change is cheap.
ASSIGN_INTERVAL_SECONDS = 0.25
# How long a holder may delay its answer until there are changes (long poll). The platform charges
# polls with shorter waits as probes.
LONG_POLL_SECONDS = 1.0
# Minimum interval between polls of one holder. Changes are delayed by about as much anyway.
CALL_INTERVAL_SECONDS = 0.3
# Pause after a failed poll; bounds the cost of a holder that is down.
RETRY_SECONDS = 0.6
# Minimum interval between a complete list of a holder and one that is read because changes are
# missing, since a list holds up the holder's work. When this node begins to watch a holder, or the
# holder has restarted, a list is read at once.
RELIST_SECONDS = 5.0
# A part sent to a holder less than this long ago may be missing from a list without having been
# evicted.
SETTLING_SECONDS = 0.5
# A save that is not confirmed after this time is taken as not made. Change events are delayed by up
# to half of this time.
UNCONFIRMED_SECONDS = 1.0
# Differences in smaller parts are not reported to peers: a prefill of them takes less than 7 ms.
MIN_REPORTED_TOKENS = 256


@dataclass(frozen=True, slots=True)
class CacheEntry:
    """The cached tokens of a prompt part under a salt; 0 tokens if the holder evicted the part."""

    salt: str
    part: PromptPart


@dataclass(frozen=True, slots=True)
class CacheListing:
    """The complete contents of a holder.

    Attributes:
        epoch: Changes when the holder restarts and loses its contents.
        cursor: Position in the holder's changes from which to continue.
    """

    epoch: int
    cursor: int
    entries: list[CacheEntry]


@dataclass(frozen=True, slots=True)
class CacheChanges:
    """Changes of a holder's contents since a cursor.

    Attributes:
        gap: Whether some changes since the cursor are missing.
    """

    epoch: int
    cursor: int
    entries: list[CacheEntry]
    gap: bool


class CacheFeed(Protocol):
    """Reads the contents of holders."""

    async def listing(self, holder: CacheHolder) -> CacheListing:
        """Return the complete contents of a holder; raises ``BackendError``."""
        ...

    async def changes(self, holder: CacheHolder, since: int, wait_seconds: float) -> CacheChanges:
        """Return the changes since a cursor; raises ``BackendError``."""
        ...


class CachePeers(Protocol):
    """Sends cache contents and failures of holders to the peers."""

    def live_zones(self) -> dict[str, str]:
        """Return the zone of each live node; the same object until the live nodes change."""
        ...

    def cached(self, holder_id: str, entry: CacheEntry) -> None:
        """Report the cached tokens of one part to all peers."""
        ...

    def send_cache(self, node_id: str, holder_id: str, entries: Sequence[CacheEntry]) -> None:
        """Send the contents of a holder to one peer."""
        ...

    def cache_lost(self, holder_id: str) -> None:
        """Report that a holder has lost its contents."""
        ...

    def restarted(self, runner_id: str) -> None:
        """Report that a runner's process was replaced by a new one."""
        ...

    def cache_store_unavailable(self, address: str) -> None:
        """Report that a store of saved KV cache does not answer."""
        ...


@dataclass(frozen=True, slots=True)
class _Position:
    """The position up to which a holder's changes were read.

    Attributes:
        lacks_changes: Whether changes since the last complete list are missing.
    """

    epoch: int
    cursor: int
    listed_at: float
    lacks_changes: bool = False


class CacheFollower:
    """Reads the contents and changes of the holders that this node watches.

    Args:
        state: The node's view of the fleet.
        feed: Reads the contents of holders.
        peers: Sends reports to the peers.
        clock: Monotonic seconds.
    """

    def __init__(
        self, state: FleetState, feed: CacheFeed, peers: CachePeers, clock: Callable[[], float]
    ) -> None:
        self._state = state
        self._feed = feed
        self._peers = peers
        self._clock = clock
        self._assignment = WatchAssignment(state.topology)
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Watch the assigned holders until cancelled."""
        await self._state.start_gate.wait_for_first_read()
        try:
            while True:
                self._assign()
                await asyncio.sleep(ASSIGN_INTERVAL_SECONDS)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def watched(self) -> list[str]:
        """Return the holders that this node watches."""
        return list(self._tasks)

    def send_initial_state(self, node_id: str) -> None:
        """Send the contents of the watched holders to a node that has just started.

        Nodes of other regions get nothing: they cannot use this region's caches, and the lists
        would fill the link between the regions.
        """
        node = self._state.nodes.get(node_id)
        if node is not None and not self._state.topology.is_own_region(node.zone):
            return
        for holder_id in self._tasks:
            parts = self._state.index.cached_parts_of(holder_id, MIN_REPORTED_TOKENS)
            entries = [CacheEntry(salt, part) for salt, part in parts]
            self._peers.send_cache(node_id, holder_id, entries)

    def _assign(self) -> None:
        """Start and stop watching holders according to the assignment over the live nodes."""
        holders, zones = self._state.cache_holders(), self._peers.live_zones()
        changed = self._assignment.update(holders, zones)
        ended = {holder_id for holder_id, task in self._tasks.items() if task.done()}
        if not changed and not ended:
            return
        watched = self._assignment.holders_watched_by(self._state.node_id)
        own = {holder.holder_id: holder for holder in watched}
        for holder_id in (self._tasks.keys() - own.keys()) | ended:
            self._tasks.pop(holder_id).cancel()
        for holder_id in own.keys() - self._tasks.keys():
            self._tasks[holder_id] = asyncio.create_task(self._follow(own[holder_id]))

    async def _follow(self, holder: CacheHolder) -> None:
        position: _Position | None = None
        reachable = True
        while True:
            started_at = self._clock()
            try:
                position = await self._advance(holder, position)
            except RunnerRestartedError:
                self._on_restarted(holder)
                return
            except BackendError as error:
                self._on_failed(holder, error, first=reachable)
                reachable = False
                await asyncio.sleep(RETRY_SECONDS)
                continue
            except Exception as error:
                # The contents may have been applied in part.
                position = None
                fields = {"task": "cache_feed", "holder": holder.holder_id}
                logger.error("background task failed", extra=fields, exc_info=error)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if not reachable:
                logger.info("cache feed regained", extra={"holder": holder.holder_id})
            reachable = True
            await asyncio.sleep(max(0.0, started_at + CALL_INTERVAL_SECONDS - self._clock()))

    async def _advance(self, holder: CacheHolder, position: _Position | None) -> _Position:
        """Apply the next changes, or the complete list after a restart of the holder.

        If changes are missing, the complete list is read, as soon as the last list is older than
        ``RELIST_SECONDS``.
        """
        if position is None:
            return await self._relist(holder)
        changes = await self._feed.changes(holder, position.cursor, LONG_POLL_SECONDS)
        if changes.epoch != position.epoch:
            self._on_cache_lost(holder, changes.epoch)
            return await self._relist(holder)
        for entry in changes.entries:
            self._observe(holder, entry)
        if holder.is_store:
            self._drop_unconfirmed(holder)
        lacks_changes = changes.gap or position.lacks_changes
        if lacks_changes and self._clock() - position.listed_at >= RELIST_SECONDS:
            return await self._relist(holder)
        return _Position(changes.epoch, changes.cursor, position.listed_at, lacks_changes)

    async def _relist(self, holder: CacheHolder) -> _Position:
        asked_at = self._clock()
        listing = await self._feed.listing(holder)
        listed = {(entry.salt, entry.part.part_id) for entry in listing.entries}
        settled_at = asked_at - SETTLING_SECONDS
        evicted = self._state.index.remove_unlisted(holder.holder_id, listed, settled_at)
        for salt, part in evicted:
            dropped = CacheEntry(salt, PromptPart(part.part_id, 0))
            self._report(holder, dropped, estimated=part.tokens)
        for entry in listing.entries:
            self._observe(holder, entry)
        self._state.note_cache_known(holder.holder_id)
        fields = {
            "holder": holder.holder_id,
            "epoch": listing.epoch,
            "parts": len(listing.entries),
            "dropped": len(evicted),
        }
        logger.info("cache listed", extra=fields)
        return _Position(listing.epoch, listing.cursor, self._clock())

    def _drop_unconfirmed(self, holder: CacheHolder) -> None:
        """Remove parts whose save to a store was never confirmed.

        The store skips a save that would have to wait for too long.
        """
        due = self._clock() - UNCONFIRMED_SECONDS
        for salt, part in self._state.index.remove_unconfirmed(holder.holder_id, due):
            self._report(
                holder, CacheEntry(salt, PromptPart(part.part_id, 0)), estimated=part.tokens
            )

    def _observe(self, holder: CacheHolder, entry: CacheEntry) -> None:
        """Apply the observed tokens of a part, and report them to the peers if they changed.

        Parts that no request may use are ignored: a runner lists them without the version that
        made them.
        """
        if self._state.index.is_outdated(holder.holder_id, entry.salt):
            return
        estimated = self._state.index.confirm(holder.holder_id, entry.salt, entry.part)
        self._report(holder, entry, estimated=estimated)

    def _report(self, holder: CacheHolder, entry: CacheEntry, *, estimated: int) -> None:
        tokens = entry.part.tokens
        if tokens != estimated and max(tokens, estimated) >= MIN_REPORTED_TOKENS:
            self._peers.cached(holder.holder_id, entry)

    def _on_cache_lost(self, holder: CacheHolder, epoch: int) -> None:
        self._state.index.clear(holder.holder_id)
        self._peers.cache_lost(holder.holder_id)
        logger.info("cache lost", extra={"holder": holder.holder_id, "epoch": epoch})

    def _on_restarted(self, holder: CacheHolder) -> None:
        runner = self._state.pool.get(holder.holder_id)
        if runner is not None:
            self._state.note_restarted(runner, self._clock())
            self._peers.restarted(holder.holder_id)

    def _on_failed(self, holder: CacheHolder, error: BackendError, *, first: bool) -> None:
        if first:
            fields = error_fields(error) | {"holder": holder.holder_id}
            logger.info("cache feed lost", extra=fields)
        # A store that refuses to list its contents still serves fetches.
        if holder.is_store and not isinstance(error, BackendRefusedError):
            self._state.note_unavailable(holder.holder_id, self._clock())
            self._peers.cache_store_unavailable(holder.holder_id)
