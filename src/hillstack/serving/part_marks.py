"""Marks of fatal parts in the store, so that nodes which start later know of them."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from hillstack.core.crash_ledger import CrashLedger
from hillstack.core.part_crashes import FATAL_MARK
from hillstack.core.rendezvous import ranked
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.suspect_permits import PermitServices

# Pause before a mark is written again that the store does not show. Longer than the attempts of
# ``LedgerRecorder``.
MARK_PAUSE_SECONDS = 6.0
# Number of nodes that write a mark.
MARKING_NODES = 3


class PartMarks:
    """Writes the marks of one node.

    Args:
        state: State of the node.
        clock: Monotonic seconds.
    """

    def __init__(self, state: FleetState, clock: Callable[[], float]) -> None:
        self._state = state
        self._clock = clock
        # When this node last wrote the mark of a part.
        self._marked_at: dict[int, float] = {}

    def ensure(self, services: PermitServices, parts: Iterable[int]) -> None:
        """Write the marks that the store does not show, if this node is one of those that do."""
        now = self._clock()
        for part in parts:
            if not self._is_due(part, now):
                continue
            self._marked_at[part] = now
            if self._is_marking_node(part):
                services.recorder.mark(part, FATAL_MARK)

    def _is_due(self, part: int, now: float) -> bool:
        if now < self._marked_at.get(part, -math.inf) + MARK_PAUSE_SECONDS:
            return False
        ledger = self._state.part_ledgers.get(part, now) or CrashLedger()
        return FATAL_MARK not in ledger.crashed

    def _is_marking_node(self, part: int) -> bool:
        nodes = {node.node_id for node in self._state.nodes.all()} | {self._state.node_id}
        return self._state.node_id in ranked(f"{part:016x}", nodes)[:MARKING_NODES]
