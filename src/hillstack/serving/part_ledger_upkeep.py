"""Keeps the ledgers of prompt parts in the store right: their marks, and permits without a holder.

These ledgers have no lease, so what a node that was killed has left in them would stay.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection

from hillstack.core.crash_ledger import CrashLedger, SendOutcome
from hillstack.core.part_crashes import FATAL_MARK
from hillstack.core.rendezvous import ranked
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.suspect_permits import PermitServices

# Pause before a mark is written again that the store does not show. Longer than the attempts of
# ``LedgerRecorder``.
MARK_PAUSE_SECONDS = 6.0
# The same if the store has lost the mark, and so answers.
LOST_MARK_PAUSE_SECONDS = 1.0
# Age of the latest change of a ledger from which its permits count as those of nodes that were
# killed. A trial of that age has outlasted the crashes, or its node has recorded its outcome.
ABANDONED_PERMIT_SECONDS = 3.0
# Stands among the crashed runners in a ledger for the permits of nodes that were killed.
ABANDONED_MARK = "abandoned"
# Number of nodes that write to the ledger of a part.
WRITING_NODES = 3


class PartLedgerUpkeep:
    """Writes marks of fatal parts, and removes abandoned permits, for one node.

    Args:
        state: State of the node.
        clock: Monotonic seconds.
    """

    def __init__(self, state: FleetState, clock: Callable[[], float]) -> None:
        self._state = state
        self._ledgers = state.part_ledgers
        self._clock = clock
        # When this node last wrote the mark of a part.
        self._marked_at: dict[int, float] = {}

    def write_marks(self, services: PermitServices, parts: Collection[int]) -> None:
        """Mark parts as fatal where the store does not show it, for nodes that start later."""
        now = self._clock()
        for part in parts:
            if not self._is_mark_due(part, now):
                continue
            self._marked_at[part] = now
            if self._is_writer(part):
                services.recorder.mark(part, FATAL_MARK)

    def remove_abandoned_permits(self, services: PermitServices, fatal: Collection[int]) -> None:
        """Remove permits whose holders have gone, except those of fatal parts.

        Each of them may have crashed a runner. With all of them, a part that nobody has found fatal
        would never be tried again; without any, it would no longer be a suspect. So one crash is
        recorded for them.
        """
        now = self._clock()
        for part, ledger in self._ledgers.unchanged_for(ABANDONED_PERMIT_SECONDS, now):
            if not ledger.permits or FATAL_MARK in ledger.crashed or part in fatal:
                continue
            if self._is_writer(part):
                crashed = frozenset() if ledger.crashed else frozenset({ABANDONED_MARK})
                outcome = SendOutcome(ledger.permits, crashed)
                services.recorder.start(services.recorder.record_outcome(part, outcome))

    def _is_mark_due(self, part: int, now: float) -> bool:
        is_lost = self._ledgers.is_missing(part)
        pause = LOST_MARK_PAUSE_SECONDS if is_lost else MARK_PAUSE_SECONDS
        if now < self._marked_at.get(part, -math.inf) + pause:
            return False
        ledger = self._ledgers.get(part, now) or CrashLedger()
        return is_lost or FATAL_MARK not in ledger.crashed

    def _is_writer(self, part: int) -> bool:
        nodes = {node.node_id for node in self._state.nodes.all()} | {self._state.node_id}
        return self._state.node_id in ranked(f"{part:016x}", nodes)[:WRITING_NODES]
