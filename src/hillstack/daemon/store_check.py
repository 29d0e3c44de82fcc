"""Compares what a node knows of the store with a whole list of it, now and then.

Changes lead from one revision to the next, by way of several nodes, and entries are not written
again while nothing changes: a change that is lost on the way, by whatever fault, would stay lost
until all nodes start anew. A runner would get neither requests nor orders meanwhile.
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

# Less than newer weights are due in (8 s and more), so that a runner that was missed is still
# ordered in time. A list that may be old costs a tenth of a call: 0.02 calls a second and node.
CHECK_SECONDS = 5.0
# In a large deployment less often: 400 bytes a key each 0.1 s are 4 KB/s, a third of what a node
# may spend on control (12 KB/s).
CHECK_SECONDS_A_KEY = 0.1
# Spreads the checks of nodes that started together.
SPREAD = 0.5
# How often a node looks whether it has come as far as the list: half of its looks at the changes.
POLL_SECONDS = 0.25
# A node that is not as far by then hears no changes, which its freshness shows.
PATIENCE_SECONDS = 5.0
# Where there are regions, a node compares with a peer of its region, and each so many times with
# the store, whose lists would cross a narrow link to each node: .026 instead of .027 GB on a day of
# 67 nodes. A removal that the peer does not remember is found that much later: its runner takes no
# connections meanwhile.
STORE_ROUNDS = 8


class StoreCheck:
    """The loop that compares.

    Args:
        store: The store.
        state: What the node knows.
        log: The changes that it went through.
        read_anew: Called when something is known otherwise.
        clock: Monotonic seconds.
        rng: Source of randomness.
        peers: Peers that are asked for what they know.
        nearer_peers: Returns those that are nearer than the store; none by default.
    """

    def __init__(
        self,
        store: Store,
        state: FleetState,
        log: ChangeLog,
        read_anew: Callable[[], None],
        clock: Callable[[], float],
        rng: Random,
        peers: Peers | None = None,
        nearer_peers: Callable[[], Sequence[str]] = list,
    ) -> None:
        self._store = store
        self._state = state
        self._log = log
        self._read_anew = read_anew
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._nearer_peers = nearer_peers
        # Nodes that start together do not all ask the store in the same round.
        self._round = rng.randrange(STORE_ROUNDS)

    async def run(self) -> None:
        """Compare now and then until cancelled."""
        while True:
            if self._log.revision == NO_REVISION:
                # How long a list is, is known once the node has read one itself.
                await asyncio.sleep(POLL_SECONDS)
                continue
            pause = max(CHECK_SECONDS, CHECK_SECONDS_A_KEY * self._log.size())
            await asyncio.sleep(pause * (1 - SPREAD * self._rng.random()))
            try:
                await self._check()
            except PlatformError as error:
                logger.info("store not compared", extra=error_fields(error))

    async def _check(self) -> None:
        self._round = (self._round + 1) % STORE_ROUNDS
        if self._round and await self._compare_with_peer():
            return
        snapshot = await self._store.snapshot(may_be_old=True)
        if not await self._has_come_to(snapshot.latest):
            return
        items = [change.item for change in snapshot.changes]
        missed = self._log.differences(items, snapshot.revision) or self._unknown(snapshot.changes)
        self._take_missed(missed)

    async def _compare_with_peer(self) -> bool:
        """Compare with all that a nearer peer knows; return whether one told it."""
        if self._peers is None:
            return False
        for node_id in self._nearer_peers():
            relayed = await self._peers.ask(node_id, NO_REVISION)
            if relayed is None or not relayed.is_complete:
                continue
            if await self._has_come_to(relayed.revision):
                listed = [item for item in relayed.items if item.value is not None]
                unknown = self._unknown(self._store.read_items(listed))
                self._take_missed(self._log.missed_among(relayed.items) or unknown)
            return True
        return False

    def _take_missed(self, missed: Sequence[str]) -> None:
        if missed:
            fields = {"missed": missed[:MAX_KEYS_LOGGED], "count": len(missed)}
            logger.warning("changes of the store were missed", extra=fields)
            self._read_anew()

    async def _has_come_to(self, revision: StoreRevision) -> bool:
        """Wait until the node's own knowledge goes as far as a list; return whether it does."""
        until = self._clock() + PATIENCE_SECONDS
        while self._log.revision < revision:
            if self._clock() >= until:
                return False
            await asyncio.sleep(POLL_SECONDS)
        return True

    def _unknown(self, changes: Iterable[StoreChange]) -> Sequence[str]:
        """Return the keys of runners that are listed, also by the log, and yet not known."""
        unknown = [
            change.item.key
            for change in changes
            if isinstance(change.event, RunnerListed)
            and self._state.pool.listed_as(change.event.entry.directory_name) is None
        ]
        # One that has left since the list was read is no longer in the log either.
        return [key for key in unknown if self._log.has(key)]
