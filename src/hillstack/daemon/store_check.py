"""Compares what a node knows of the store with a whole list of it, now and then.

Changes lead from one revision to the next, by way of several nodes, and entries are not written
again while nothing changes: a change that is lost on the way, by whatever fault, would stay lost
until all nodes start anew. A runner would get neither requests nor orders meanwhile.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from random import Random

from hillstack.daemon.change_log import ChangeLog
from hillstack.daemon.store_sync import SnapshotView, Store
from hillstack.errors import PlatformError
from hillstack.logs import error_fields
from hillstack.serving.fleet_state import FleetState, RunnerListed

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
# Keys in one line of the log; their count is told besides.
MAX_KEYS_LOGGED = 20


class StoreCheck:
    """The loop that compares.

    Args:
        store: The store.
        state: What the node knows.
        log: The changes that it went through.
        read_anew: Called when something is known otherwise.
        clock: Monotonic seconds.
        rng: Source of randomness.
    """

    def __init__(
        self,
        store: Store,
        state: FleetState,
        log: ChangeLog,
        read_anew: Callable[[], None],
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._store = store
        self._state = state
        self._log = log
        self._read_anew = read_anew
        self._clock = clock
        self._rng = rng

    async def run(self) -> None:
        """Compare now and then until cancelled."""
        while True:
            if self._log.revision == 0:
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
        snapshot = await self._store.snapshot(may_be_old=True)
        if not await self._has_come_to(snapshot.latest):
            return
        items = [change.item for change in snapshot.changes]
        missed = self._log.differences(items, snapshot.revision) or self._unknown(snapshot)
        if missed:
            fields = {"missed": missed[:MAX_KEYS_LOGGED], "count": len(missed)}
            logger.warning("changes of the store were missed", extra=fields)
            self._read_anew()

    async def _has_come_to(self, revision: int) -> bool:
        """Wait until the node's own knowledge goes as far as a list; return whether it does."""
        until = self._clock() + PATIENCE_SECONDS
        while self._log.revision < revision:
            if self._clock() >= until:
                return False
            await asyncio.sleep(POLL_SECONDS)
        return True

    def _unknown(self, snapshot: SnapshotView) -> Sequence[str]:
        """Return the keys of runners that are listed, also by the log, and yet not known."""
        unknown = [
            change.item.key
            for change in snapshot.changes
            if isinstance(change.event, RunnerListed)
            and self._state.pool.get(change.event.entry.runner_id) is None
        ]
        # One that has left since the list was read is no longer in the log either.
        return [key for key in unknown if self._log.has(key)]
