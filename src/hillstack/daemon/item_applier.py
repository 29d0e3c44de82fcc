"""Applies the changes of the store one by one, so that none of them can affect the others."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from hillstack.daemon.change_log import StoreChange
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.store_events import ConfigurationChanged

logger = logging.getLogger(__name__)


class ItemApplier:
    """Applies changes of the store to the state of a node.

    Args:
        state: State of the node.
        clock: Monotonic seconds.
    """

    def __init__(self, state: FleetState, clock: Callable[[], float]) -> None:
        self._state = state
        self._clock = clock

    def apply(self, changes: Iterable[StoreChange]) -> None:
        """Apply changes in their order; one that fails is logged, and the others are applied.

        A configuration is no such change: without it, the node does not follow the store.
        """
        now = self._clock()
        for change in changes:
            try:
                self._apply(change, now)
            except Exception as error:
                if isinstance(change.event, ConfigurationChanged):
                    raise
                fields = {"peer": change.item.key, "revision": str(change.item.revision)}
                logger.error("item not applied", extra=fields, exc_info=error)

    def _apply(self, change: StoreChange, now: float) -> None:
        if change.event is None:
            return
        not_before = self._state.proofs.latest_before(change.item.revision)
        self._state.apply(change.event, not_before, now)
