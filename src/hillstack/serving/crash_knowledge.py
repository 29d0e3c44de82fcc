"""What one node knows of the runners that crashed under a request."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from hillstack.core.crash_ledger import CrashLedger, KnownLedgers
from hillstack.core.part_crashes import PartCrashes
from hillstack.core.runner_crashes import RunnerCrashRecord


class Knowledge(Protocol):
    """What one node knows of the runners that crashed under a name."""

    def crashed(self, name: int) -> set[str]:
        """Return the runners that count toward the bound."""
        ...

    def counted(self, name: int) -> set[str]:
        """Return the runners that a ledger contains even if they crashed without a permit."""
        ...

    def noticed(self, name: int) -> set[str]:
        """Return the runners that crashed according to the notices of nodes."""
        ...


class PartKnowledge:
    """The crashes under a prompt part; only those under its trials count toward the bound.

    Args:
        crashes: Crashes that this node knows.
        record: Shows which runners have not crashed.
        ledgers: Ledgers that this node knows.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        crashes: PartCrashes,
        record: RunnerCrashRecord,
        ledgers: KnownLedgers,
        clock: Callable[[], float],
    ) -> None:
        self._crashes = crashes
        self._record = record
        self._ledgers = ledgers
        self._clock = clock

    def crashed(self, part: int) -> set[str]:
        """Return the runners that crashed under trials of a part."""
        stored = self._ledgers.crashes(part, self._record.contacts.latest)
        return {*self._crashes.trials(part), *stored}

    def counted(self, part: int) -> set[str]:
        """Return no runner: crashes without a permit are no trials."""
        return set()

    def noticed(self, part: int) -> set[str]:
        """Return the runners that crashed under a part."""
        return set(self._crashes.crashes(part))

    def is_part(self, name: int) -> bool:
        """Return whether a name is that of a part with crashes."""
        return (
            bool(self._crashes.crashes(name)) or self._ledgers.get(name, self._clock()) is not None
        )


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

    def counted(self, fingerprint: int) -> set[str]:
        """Return the runners that a ledger contains even if they crashed without a permit."""
        return self.noticed(fingerprint)

    def noticed(self, fingerprint: int) -> set[str]:
        """Return the runners that crashed while a run of a request had not settled."""
        return {
            crash.runner_id
            for crash in self._record.crashes()
            if fingerprint in crash.runs and not crash.runs[fingerprint].is_settled
        }
