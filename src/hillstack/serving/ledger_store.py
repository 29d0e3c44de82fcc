"""The ledgers of suspects (``core.crash_ledger``) in the platform's store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from hillstack.core.crash_ledger import CrashLedger
from hillstack.core.store_revision import NO_REVISION, StoreRevision
from hillstack.errors import PlatformError

# Ledgers that a node reads at a time. When several runners crash, some hundred requests may be
# suspects for a moment; for requests beyond this number the store counts as not answering.
MAX_CONCURRENT_READS = 32


@dataclass(frozen=True, slots=True)
class StoredLedger:
    """A ledger and the revision at which it was last changed; ``NO_REVISION`` if there is none."""

    ledger: CrashLedger
    revision: StoreRevision = NO_REVISION

    def without_survivors(self, has_survived: Callable[[str], bool]) -> StoredLedger:
        """Return the ledger without the runners that turned out not to have crashed."""
        return StoredLedger(self.ledger.without_survivors(has_survived), self.revision)


class LedgerStore(Protocol):
    """The ledgers in the platform's store; each call raises ``PlatformError`` on failure."""

    async def read(self, fingerprint: int) -> StoredLedger:
        """Return the ledger of a request; an empty one if there is none."""
        ...

    async def write(self, fingerprint: int, ledger: CrashLedger, expected: StoreRevision) -> bool:
        """Write a ledger if its revision is the expected one; return whether it was written."""
        ...

    async def remove(self, fingerprint: int) -> None:
        """Remove the ledger of a request."""
        ...


class LimitedLedgerStore:
    """Ledgers of which only ``MAX_CONCURRENT_READS`` are read at a time; further reads fail."""

    def __init__(self, store: LedgerStore) -> None:
        self._store = store
        self._reads = 0

    async def read(self, fingerprint: int) -> StoredLedger:
        """Return the ledger of a request; an empty one if there is none.

        Raises:
            PlatformError: The call failed, or too many ledgers are being read.
        """
        if self._reads >= MAX_CONCURRENT_READS:
            raise PlatformError("too many concurrent calls", step="crash permit", peer="store")
        self._reads += 1
        try:
            return await self._store.read(fingerprint)
        finally:
            self._reads -= 1

    async def write(self, fingerprint: int, ledger: CrashLedger, expected: StoreRevision) -> bool:
        """Write a ledger if its revision is the expected one; return whether it was written.

        Raises:
            PlatformError: The call failed.
        """
        return await self._store.write(fingerprint, ledger, expected)

    async def remove(self, fingerprint: int) -> None:
        """Remove the ledger of a request.

        Raises:
            PlatformError: The call failed.
        """
        await self._store.remove(fingerprint)
