"""Keeps the ledgers of prompt parts in the store right.

Marks are written, and removed where crashes turn out to be none, as are the runners that have not
crashed and permits without a holder.

These ledgers have no lease, so what a node that was killed has left in them would stay.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection

from hillstack.core.crash_ledger import CrashLedger, SendOutcome
from hillstack.core.part_trials import FATAL_MARK
from hillstack.core.rendezvous import ranked
from hillstack.serving.crash_logs import log_part_corrected
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.suspect_permits import PermitServices

# Pause before a mark is written again that the store does not show. Longer than the attempts of
# ``LedgerRecorder``.
MARK_PAUSE_SECONDS = 6.0
# The same if the store has lost the mark, and so answers.
LOST_MARK_PAUSE_SECONDS = 1.0
# Pause before a runner that has not crashed is removed again from a ledger that still contains it.
SURVIVOR_PAUSE_SECONDS = 6.0
# Age of the latest change of a ledger from which its permits count as those of nodes that were
# killed. A trial of that age has outlasted the crashes, or its node has recorded its outcome.
ABANDONED_PERMIT_SECONDS = 3.0
# Stands among the crashed runners in a ledger for the permits of nodes that were killed.
ABANDONED_MARK = "abandoned"
# Number of nodes that write to the ledger of a part.
WRITING_NODES = 3


class PartLedgerUpkeep:
    """Corrects the ledgers of parts for one node.

    Args:
        state: State of the node.
        clock: Monotonic seconds.
    """

    def __init__(self, state: FleetState, clock: Callable[[], float]) -> None:
        self._state = state
        self._crashes = state.part_crashes
        self._ledgers = state.part_ledgers
        self._clock = clock
        # When this node last wrote the mark of a part.
        self._marked_at: dict[int, float] = {}
        # When this node last removed a runner from the ledger of a part.
        self._removed_at: dict[tuple[int, str], float] = {}

    def write_marks(self, services: PermitServices, fatal: Collection[int]) -> None:
        """Mark parts as fatal where the store does not show it, for nodes that start later.

        Marks whose crashes have turned out to be none are removed.

        Args:
            services: Records the marks.
            fatal: Parts that this node has found fatal.
        """
        now = self._clock()
        for part in self._crashes.take_unfounded():
            log_part_corrected(part, FATAL_MARK)
            services.recorder.report_survival(part, FATAL_MARK)
        for part in {*fatal, *self._crashes.marked_parts()}:
            if not self._is_mark_due(part, now):
                continue
            self._marked_at[part] = now
            if self._is_writer(part):
                services.recorder.mark(part, FATAL_MARK)

    def correct_ledgers(self, services: PermitServices, fatal: Collection[int]) -> None:
        """Remove abandoned permits, and runners that have not crashed."""
        self._remove_abandoned_permits(services, fatal)
        self._remove_survivors(services)

    def _remove_abandoned_permits(self, services: PermitServices, fatal: Collection[int]) -> None:
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

    def _remove_survivors(self, services: PermitServices) -> None:
        """Remove runners that have not crashed from the ledgers, for nodes that start later."""
        now = self._clock()
        self._removed_at = {
            key: at for key, at in self._removed_at.items() if now < at + SURVIVOR_PAUSE_SECONDS
        }
        latest_contact = self._state.runner_crashes.contacts.latest
        for part, _ in self._ledgers.unchanged_for(0.0, now):
            # A runner that has really crashed since then is known by notices.
            crashed = self._crashes.crashes(part).keys()
            for runner_id in self._ledgers.survivors(part, latest_contact) - crashed:
                if (part, runner_id) not in self._removed_at and self._is_writer(part):
                    self._removed_at[part, runner_id] = now
                    log_part_corrected(part, runner_id)
                    services.recorder.report_survival(part, runner_id)

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
