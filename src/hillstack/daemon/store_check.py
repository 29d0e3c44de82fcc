"""Periodically compares a node's copy of the store with a full list.

Changes are passed from node to node, and an unchanged entry is not written again. So a change that
is lost on the way, through any fault, would be missing until all nodes restart. Until then, a
runner whose entry was lost would receive neither requests nor orders to load weights.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence
from random import Random

from hillstack.core.store_revision import NO_REVISION, StoreRevision
from hillstack.daemon.change_log import ChangeLog, StoreChange
from hillstack.daemon.store_sync import MAX_KEYS_LOGGED, Peers, Store
from hillstack.errors import PlatformError
from hillstack.logs import error_fields
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.store_events import RunnerListed

logger = logging.getLogger(__name__)

# Less than the time in which newer weights must be loaded (8 s and more), so that a missed runner
# is still ordered in time. A list that may be stale counts as a tenth of a call: 0.02 calls per
# second and node.
CHECK_SECONDS = 5.0
# A large deployment is checked less often: 400 bytes per key each 0.1 s are 4 KB/s, a third of a
# node's budget for control traffic (12 KB/s).
CHECK_SECONDS_PER_KEY = 0.1
# Jitter, as a fraction of the pause, that spreads the checks of nodes that started together.
JITTER = 0.5
# Pause between checks whether this node has reached the revision of the list: half the default
# interval between its polls for changes.
POLL_SECONDS = 0.25
# A node that has not reached the list by then gets no changes at all. This is noticed elsewhere, by
# the age of its copy.
CATCH_UP_SECONDS = 5.0
# In a deployment with regions, only every eighth check reads the store and the others read a peer
# of the node's region, because full lists of the store cross a narrow link between regions: .026
# instead of .027 GB on a day of 67 nodes. A removal that the peer does not remember is found only
# with the store, that much later; until then the removed runner accepts no connections.
ROUNDS_PER_STORE_CHECK = 8


class StoreCheck:
    """Compares the local copy of the store with full lists.

    Args:
        store: The store.
        state: State of this node.
        log: The changes that this node has applied.
        request_reload: Called when a difference is found, to reload the whole store.
        clock: Monotonic clock in seconds.
        rng: Source of randomness.
        peers: Asks peers for their changes.
        nearer_peers: Returns the peers that are nearer than the store; none by default.
    """

    def __init__(
        self,
        store: Store,
        state: FleetState,
        log: ChangeLog,
        request_reload: Callable[[], None],
        clock: Callable[[], float],
        rng: Random,
        peers: Peers | None = None,
        nearer_peers: Callable[[], Sequence[str]] = list,
    ) -> None:
        self._store = store
        self._state = state
        self._log = log
        self._request_reload = request_reload
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._nearer_peers = nearer_peers
        # Random, so that nodes that start together do not all read the store in the same round.
        self._round = rng.randrange(ROUNDS_PER_STORE_CHECK)

    async def run(self) -> None:
        """Compare periodically until cancelled."""
        while True:
            if self._log.revision == NO_REVISION:
                # The length of the list is missing until the node has read the store.
                await asyncio.sleep(POLL_SECONDS)
                continue
            pause = max(CHECK_SECONDS, CHECK_SECONDS_PER_KEY * self._log.size())
            await asyncio.sleep(pause * (1 - JITTER * self._rng.random()))
            try:
                await self._check()
            except PlatformError as error:
                logger.info("store not compared", extra=error_fields(error))

    async def _check(self) -> None:
        self._round = (self._round + 1) % ROUNDS_PER_STORE_CHECK
        if self._round and await self._compare_with_peer():
            return
        snapshot = await self._store.snapshot(allow_stale=True)
        if not await self._has_reached(snapshot.latest):
            return
        items = [change.item for change in snapshot.changes]
        missed = self._log.differences(items, snapshot.revision) or self._missing_from_pool(
            snapshot.changes
        )
        self._reload_if_missed(missed)

    async def _compare_with_peer(self) -> bool:
        """Compare with the full list of a nearer peer; return whether a peer sent one.

        If this node does not reach the revision of the list in time, the result is True as well,
        though nothing was compared.
        """
        if self._peers is None:
            return False
        for node_id in self._nearer_peers():
            relayed = await self._peers.ask(node_id, NO_REVISION)
            if relayed is None or not relayed.is_complete:
                continue
            if await self._has_reached(relayed.revision):
                listed = [item for item in relayed.items if item.value is not None]
                not_in_pool = self._missing_from_pool(self._store.read_items(listed))
                self._reload_if_missed(self._log.missed_among(relayed.items) or not_in_pool)
            return True
        return False

    def _reload_if_missed(self, missed: Sequence[str]) -> None:
        if missed:
            fields = {"missed": missed[:MAX_KEYS_LOGGED], "count": len(missed)}
            logger.warning("changes of the store were missed", extra=fields)
            self._request_reload()

    async def _has_reached(self, revision: StoreRevision) -> bool:
        """Wait until this node has reached the revision of a list; return False on timeout."""
        until = self._clock() + CATCH_UP_SECONDS
        while self._log.revision < revision:
            if self._clock() >= until:
                return False
            await asyncio.sleep(POLL_SECONDS)
        return True

    def _missing_from_pool(self, changes: Iterable[StoreChange]) -> Sequence[str]:
        """Return the keys of runners that the list and the log hold but the runner pool lacks."""
        not_in_pool = [
            change.item.key
            for change in changes
            if isinstance(change.event, RunnerListed)
            and self._state.pool.listed_as(change.event.entry.directory_name) is None
        ]
        # A runner that was removed after the list was read is missing from the log too.
        return [key for key in not_in_pool if self._log.has(key)]
