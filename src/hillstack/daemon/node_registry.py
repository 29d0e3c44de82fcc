"""Takes nodes off the list in the store once their machines are gone for good.

A node writes its entry at its first start and leaves it there when it stops: it mostly comes back.
The relay of a zone, which hears of each of its nodes at least each second, removes the entry of one
that it has not heard of for long. The removal holds only if the entry is still the one that it
knows of: a node that has written it anew meanwhile stays. A node that lives and finds its entry
gone, since nobody heard it for that long, writes it again (``StoreSync``).

Until all have heard of a removal, retry budgets count the node on (``NodeDirectory``).
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

# Several times what a restart or a short cut takes. An entry that is removed too early costs one
# write; one that stays costs each peer some datagrams a second, and a share of the retry budget.
GONE_SECONDS = 30.0
CHECK_SECONDS = 5.0
# A zone that has lost its power comes back whole: its entries are not all taken off meanwhile.
MAX_REMOVALS_A_CHECK = 4


class RegistryStore(Protocol):
    """The call that the registry needs."""

    async def remove_node(self, node_id: str, revision: StoreRevision) -> bool:
        """Remove a node's entry if it has this revision; return whether it had.

        Raises ``PlatformError``.
        """
        ...


class NodeRegistry:
    """Removes the entries of nodes that are gone, while this node relays for its zone.

    Args:
        store: The store.
        state: What the node knows.
        silent_nodes: Returns the nodes near this one that were not heard of for some seconds, and
            nothing while this node is not the one to remove them.
        clock: Monotonic seconds.
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
        """Look now and then until cancelled."""
        await self._state.start_gate.passed()
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            # With old knowledge this node may be the one that is cut off.
            if self._state.can_serve(self._clock()):
                await self._remove_gone()

    async def _remove_gone(self) -> None:
        for node in self._silent_nodes(GONE_SECONDS)[:MAX_REMOVALS_A_CHECK]:
            fields: dict[str, object] = {
                "listed_node": node.node_id,
                "silent_seconds": GONE_SECONDS,
            }
            try:
                removed = await self._store.remove_node(node.node_id, node.revision)
            except PlatformError as error:
                logger.info("node not removed", extra=fields | error_fields(error))
                return
            logger.info("node removed" if removed else "node kept: it is back", extra=fields)
