"""Follows what runners and stores of kept KV cache keep, and tells the peers what they do not know.

Beliefs about caches come from what this node and its peers send. They miss what a holder evicts,
what it loses in a restart, and everything from before this node's own start. Each holder is
therefore watched by one node: it reads the holder's whole list once, then its changes, and tells
the peers where that differs from what all believed.
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

# How soon a holder that changed hands is followed again; without a change a look costs nothing.
ASSIGN_SECONDS = 0.25
# The longest that a holder holds a question for changes back; shorter ones are priced as probes.
WAIT_SECONDS = 1.0
# Between two questions to one holder: changes come late by about as much anyway.
CALL_INTERVAL_SECONDS = 0.3
# Between two failed questions: bounds what a holder that is down costs.
RETRY_SECONDS = 0.6
# Between two lists of one holder, which hold up its work.
RELIST_SECONDS = 5.0
# A part sent that lately may be missing from a list without having been dropped.
SETTLING_SECONDS = 0.5
# A save that is that late was not made: events come late by up to half of that.
UNSEEN_SECONDS = 1.0
# Smaller parts are read again in under 7 ms: not worth a word to all.
MIN_TOLD_TOKENS = 256


@dataclass(frozen=True, slots=True)
class CacheEntry:
    """What a holder keeps of a part under a salt; 0 tokens when it has dropped the part."""

    salt: str
    part: PromptPart


@dataclass(frozen=True, slots=True)
class CacheListing:
    """All that a holder keeps.

    Attributes:
        epoch: Changes when the holder has restarted and lost everything.
        cursor: Where its changes go on.
    """

    epoch: int
    cursor: int
    entries: list[CacheEntry]


@dataclass(frozen=True, slots=True)
class CacheChanges:
    """What has changed at a holder.

    Attributes:
        gap: Whether changes are missing.
    """

    epoch: int
    cursor: int
    entries: list[CacheEntry]
    gap: bool


class CacheFeed(Protocol):
    """Asks holders what they keep."""

    async def listing(self, holder: CacheHolder) -> CacheListing:
        """Return all that a holder keeps; raises ``BackendError``."""
        ...

    async def changes(self, holder: CacheHolder, since: int, wait_seconds: float) -> CacheChanges:
        """Return the changes since a cursor; raises ``BackendError``."""
        ...


class CachePeers(Protocol):
    """Tells the peers what a holder keeps."""

    def live_zones(self) -> dict[str, str]:
        """Return the zone of each node that is alive; the same object until that changes."""
        ...

    def cached(self, holder_id: str, entry: CacheEntry) -> None:
        """Tell what a holder keeps of a part."""
        ...

    def send_cache(self, node_id: str, holder_id: str, entries: Sequence[CacheEntry]) -> None:
        """Tell one peer what a holder keeps."""
        ...

    def cache_lost(self, holder_id: str) -> None:
        """Tell that a holder has lost everything."""
        ...

    def restarted(self, runner_id: str) -> None:
        """Tell that a runner's process has ended and its next one answers."""
        ...

    def store_unavailable(self, address: str) -> None:
        """Tell that a store of kept KV cache does not answer."""
        ...


@dataclass(frozen=True, slots=True)
class _Position:
    """Up to where a holder was followed."""

    epoch: int
    cursor: int
    listed_at: float


class CacheFollower:
    """Follows the holders that this node watches.

    Args:
        state: What the node knows.
        feed: Asks holders.
        peers: Where peers are told.
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
        """Follow until cancelled."""
        await self._state.start_gate.passed()
        try:
            while True:
                self._assign()
                await asyncio.sleep(ASSIGN_SECONDS)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def watched(self) -> list[str]:
        """Return the holders that this node watches."""
        return list(self._tasks)

    def welcome(self, node_id: str) -> None:
        """Tell a node that has just started what the holders watched here keep.

        What is cached in one region is of no use in another one, and would fill the way there.
        """
        node = self._state.nodes.get(node_id)
        if node is not None and not self._state.topology.is_own_region(node.zone):
            return
        for holder_id in self._tasks:
            parts = self._state.index.parts_of(holder_id, MIN_TOLD_TOKENS)
            entries = [CacheEntry(salt, part) for salt, part in parts]
            self._peers.send_cache(node_id, holder_id, entries)

    def _assign(self) -> None:
        """Begin and end to follow holders, as the nodes that are alive share them."""
        holders, zones = self._state.cache_holders(), self._peers.live_zones()
        changed = self._assignment.update(holders, zones)
        ended = {holder_id for holder_id, task in self._tasks.items() if task.done()}
        if not changed and not ended:
            return
        watched = self._assignment.watched_by(self._state.node_id)
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
                self._restarted(holder)
                return
            except BackendError as error:
                self._failed(holder, error, first=reachable)
                reachable = False
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if not reachable:
                logger.info("cache feed regained", extra={"holder": holder.holder_id})
            reachable = True
            await asyncio.sleep(max(0.0, started_at + CALL_INTERVAL_SECONDS - self._clock()))

    async def _advance(self, holder: CacheHolder, position: _Position | None) -> _Position:
        """Take over the next changes, or the whole list where changes are missing."""
        if position is None:
            return await self._relist(holder)
        changes = await self._feed.changes(holder, position.cursor, WAIT_SECONDS)
        if changes.epoch != position.epoch:
            self._lost_everything(holder, changes.epoch)
            return await self._relist(holder)
        for entry in changes.entries:
            self._observe(holder, entry)
        if holder.is_store:
            self._drop_unseen(holder)
        if changes.gap and self._clock() - position.listed_at >= RELIST_SECONDS:
            return await self._relist(holder)
        return _Position(changes.epoch, changes.cursor, position.listed_at)

    async def _relist(self, holder: CacheHolder) -> _Position:
        asked_at = self._clock()
        listing = await self._feed.listing(holder)
        listed = {(entry.salt, entry.part.part_id) for entry in listing.entries}
        read_by = asked_at - SETTLING_SECONDS
        gone = self._state.index.retain(holder.holder_id, listed, read_by)
        for salt, part in gone:
            dropped = CacheEntry(salt, PromptPart(part.part_id, 0))
            self._tell(holder, dropped, believed=part.tokens)
        for entry in listing.entries:
            self._observe(holder, entry)
        self._state.note_cache_heard(holder.holder_id)
        fields = {
            "holder": holder.holder_id,
            "epoch": listing.epoch,
            "parts": len(listing.entries),
            "dropped": len(gone),
        }
        logger.info("cache listed", extra=fields)
        return _Position(listing.epoch, listing.cursor, self._clock())

    def _drop_unseen(self, holder: CacheHolder) -> None:
        """Drop what should long be there: a save that would have waited too long is not made."""
        due = self._clock() - UNSEEN_SECONDS
        for salt, part in self._state.index.take_unseen(holder.holder_id, due):
            self._tell(holder, CacheEntry(salt, PromptPart(part.part_id, 0)), believed=part.tokens)

    def _observe(self, holder: CacheHolder, entry: CacheEntry) -> None:
        """Take over what a holder keeps of a part, and tell the peers if it is news."""
        believed = self._state.index.confirm(holder.holder_id, entry.salt, entry.part)
        self._tell(holder, entry, believed=believed)

    def _tell(self, holder: CacheHolder, entry: CacheEntry, *, believed: int) -> None:
        tokens = entry.part.tokens
        if tokens != believed and max(tokens, believed) >= MIN_TOLD_TOKENS:
            self._peers.cached(holder.holder_id, entry)

    def _lost_everything(self, holder: CacheHolder, epoch: int) -> None:
        self._state.index.clear(holder.holder_id)
        self._peers.cache_lost(holder.holder_id)
        logger.info("cache lost", extra={"holder": holder.holder_id, "epoch": epoch})

    def _restarted(self, holder: CacheHolder) -> None:
        runner = self._state.pool.get(holder.holder_id)
        if runner is not None:
            self._state.note_restarted(runner, self._clock())
            self._peers.restarted(holder.holder_id)

    def _failed(self, holder: CacheHolder, error: BackendError, *, first: bool) -> None:
        if first:
            fields = error_fields(error) | {"holder": holder.holder_id}
            logger.info("cache feed lost", extra=fields)
        # A store that refuses the question still serves fetches.
        if holder.is_store and not isinstance(error, BackendRefusedError):
            self._state.note_unavailable(holder.holder_id, self._clock())
            self._peers.store_unavailable(holder.holder_id)
