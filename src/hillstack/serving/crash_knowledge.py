"""What one node knows of the runners that crashed under a request."""

from __future__ import annotations

from collections.abc import Callable

from hillstack.core.crash_ledger import CrashLedger, KnownLedgers
from hillstack.core.runner_crashes import RunnerCrashRecord


class CrashKnowledge:
    """The crashes under a request, from the notices of nodes and from the ledgers in the store.

    Args:
        record: Runner crashes that this node knows.
        ledgers: Ledgers that this node knows.
        clock: Monotonic seconds.
    """

    def __init__(
        self, record: RunnerCrashRecord, ledgers: KnownLedgers, clock: Callable[[], float]
    ) -> None:
        self._record = record
        self._ledgers = ledgers
        self._clock = clock

    def crashed(self, fingerprint: int) -> set[str]:
        """Return the runners that crashed according to this node, or to the ledger it knows."""
        ledger = self._ledgers.get(fingerprint, self._clock()) or CrashLedger()
        stored = ledger.without_survivors(self._record.has_survived).crashed
        return self.noticed(fingerprint) | stored

    def noticed(self, fingerprint: int) -> set[str]:
        """Return the runners that crashed while a run of a request had not settled."""
        return {
            crash.runner_id
            for crash in self._record.crashes()
            if fingerprint in crash.runs and not crash.runs[fingerprint].is_settled
        }
