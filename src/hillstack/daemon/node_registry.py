"""Removes the store entries of nodes that have been silent for long.

A node writes its entry at its first start and leaves it in the store when it stops, because it
usually restarts. The first live node of a group (a zone, or the whole of a small deployment)
receives a heartbeat of each node of the group at least once a second. It removes the entry of a
node that has been silent for ``REMOVAL_SECONDS``, because its machine was probably removed
permanently. The removal is conditional on the entry's revision, so an entry that the node has
rewritten meanwhile stays. A running node whose entry was removed, because its messages were lost
for that long, writes the entry again (``StoreSync``).

Until all nodes know of a removal, retry budgets still count the node (``NodeDirectory``).
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from hillstack.core.node_directory import NodeEntry
from hillstack.core.store_revision import StoreRevision
from hillstack.errors import PlatformError
from hillstack.logs import error_fields
from hillstack.serving.fleet_state import FleetState

logger = logging.getLogger(__name__)

# Several times the duration of a restart or of a short network failure. An entry that is removed
# too early costs one write; a stale entry costs each peer some datagrams per second and a share of
# the retry budget.
REMOVAL_SECONDS = 30.0
CHECK_SECONDS = 5.0
# The nodes of a zone that has lost power all restart later, so their entries are not all removed
# during the power cut.
MAX_REMOVALS_PER_CHECK = 4


class RegistryStore(Protocol):
    """The call to the store that the registry needs."""

    async def remove_node(self, node_id: str, revision: StoreRevision) -> bool:
        """Remove a node's entry if it still has this revision; return whether it was removed.

        Raises ``PlatformError``.
        """
        ...


class NodeRegistry:
    """Removes the entries of silent nodes while this node is the first live one of its group.

    Args:
        store: The store.
        state: State of this node.
        silent_nodes: Returns the nodes of this node's group from which nothing was received for a
            number of seconds; empty while removing them is another node's task.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self,
        store: RegistryStore,
        state: FleetState,
        silent_nodes: Callable[[float], list[NodeEntry]],
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._state = state
        self._silent_nodes = silent_nodes
        self._clock = clock

    async def run(self) -> None:
        """Check periodically until cancelled."""
        await self._state.start_gate.wait_for_first_read()
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            # If its state is stale, this node itself may be cut off from the network.
            if self._state.can_serve(self._clock()):
                await self._remove_silent_nodes()

    async def _remove_silent_nodes(self) -> None:
        for node in self._silent_nodes(REMOVAL_SECONDS)[:MAX_REMOVALS_PER_CHECK]:
            fields: dict[str, object] = {
                "listed_node": node.node_id,
                "silent_seconds": REMOVAL_SECONDS,
            }
            try:
                removed = await self._store.remove_node(node.node_id, node.revision)
            except PlatformError as error:
                logger.info("node not removed", extra=fields | error_fields(error))
                return
            logger.info(
                "node removed" if removed else "node not removed: its entry has changed",
                extra=fields,
            )
