"""Keeps a node's state in step with the store.

One paced watch over everything: each answer brings the changes and proves how fresh the node is.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random
from typing import Protocol

from hillstack.errors import HistoryLostError, PlatformError
from hillstack.logs import error_fields
from hillstack.serving.fleet_state import FleetState, StoreEvent

logger = logging.getLogger(__name__)

WATCH_WAIT_SECONDS = 1.0
RETRY_SECONDS = 0.3
RELOAD_SECONDS = 0.05
OUTAGE_SECONDS = 0.8


class SnapshotView(Protocol):
    """Everything that the store holds."""

    @property
    def events(self) -> list[StoreEvent]:
        """All items."""
        ...

    @property
    def runner_ids(self) -> set[str]:
        """The runners that are listed."""
        ...

    @property
    def revision(self) -> int:
        """Revision from which to watch."""
        ...


class ChangesView(Protocol):
    """Changes since a revision."""

    @property
    def events(self) -> list[StoreEvent]:
        """The changes in order."""
        ...

    @property
    def revision(self) -> int:
        """Revision up to which they go."""
        ...


class Store(Protocol):
    """The calls that the sync needs."""

    async def snapshot(self) -> SnapshotView:
        """Return everything; raises ``PlatformError``."""
        ...

    async def changes(self, revision: int, wait_seconds: float) -> ChangesView:
        """Return the changes after a revision; raises ``PlatformError``."""
        ...

    async def announce_node(self, node_id: str, address: str, zone: str) -> None:
        """Write where a node listens for its peers, and its zone; raises ``PlatformError``."""
        ...


class StoreSync:
    """The loop that follows the store.

    Args:
        store: The store.
        state: What the node knows.
        own_address: Where this node listens for its peers.
        zone: Zone of this node.
        interval: Seconds between two looks.
        clock: Monotonic seconds.
        rng: Source of randomness.
    """

    def __init__(
        self,
        store: Store,
        state: FleetState,
        own_address: str,
        zone: str,
        interval: float,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._store = store
        self._state = state
        self._own_address = own_address
        self._zone = zone
        self._interval = interval
        self._clock = clock
        self._rng = rng
        self._lost_at: float | None = None
        self._failed_at = 0.0

    async def run(self) -> None:
        """Follow the store until cancelled."""
        revision: int | None = None
        while True:
            started_at = self._clock()
            try:
                if revision is None:
                    revision = await self._load(started_at)
                else:
                    revision = await self._follow(revision, started_at)
            except HistoryLostError as error:
                logger.info("store history lost", extra=error_fields(error))
                revision = None
                await asyncio.sleep(RELOAD_SECONDS)
                continue
            except PlatformError as error:
                self._lost(error)
                await asyncio.sleep(RETRY_SECONDS * (0.5 + self._rng.random()))
                continue
            self._state.expire(self._clock())
            await asyncio.sleep(max(0.0, started_at + self._interval - self._clock()))

    async def _load(self, started_at: float) -> int:
        snapshot = await self._store.snapshot()
        self._regained()
        self._apply(snapshot.events)
        self._state.retain_runners(snapshot.runner_ids, self._clock())
        self._state.duty_known = True
        self._state.freshness.prove(started_at)
        self._state.start_gate.open()
        if not self._is_announced():
            await self._store.announce_node(self._state.node_id, self._own_address, self._zone)
        return snapshot.revision

    def _is_announced(self) -> bool:
        node_id = self._state.node_id
        known = self._state.node_addresses.get(node_id), self._state.node_zones.get(node_id)
        return known == (self._own_address, self._zone)

    async def _follow(self, revision: int, started_at: float) -> int:
        changes = await self._store.changes(revision, WATCH_WAIT_SECONDS)
        self._regained()
        self._apply(changes.events)
        self._state.freshness.prove(started_at)
        return changes.revision

    def _apply(self, events: list[StoreEvent]) -> None:
        not_before = self._state.freshness.proved_at()
        now = self._clock()
        for event in events:
            self._state.apply(event, not_before, now)

    def _lost(self, error: PlatformError) -> None:
        now = self._clock()
        self._state.start_gate.open()
        self._failed_at = now
        if self._lost_at is None:
            self._lost_at = now
            age = self._state.freshness.age(now)
            fields = error_fields(error) | {"age_seconds": round(age, 2)}
            logger.warning("store lost", extra=fields)

    def _regained(self) -> None:
        if self._lost_at is None:
            return
        lasted = self._failed_at - self._lost_at
        self._lost_at = None
        logger.info("store regained", extra={"lost_seconds": round(lasted, 2)})
        if lasted >= OUTAGE_SECONDS:
            self._state.store_regained(self._failed_at)
