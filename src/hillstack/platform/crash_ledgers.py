"""The ledgers of runner crashes in the platform's store (``core.crash_ledger``)."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from hillstack.core.crash_ledger import LEASE_REUSE_SECONDS, MAX_RETENTION_SECONDS, CrashLedger
from hillstack.core.store_revision import NO_REVISION, StoreRevision
from hillstack.daemon.change_log import StoredItem
from hillstack.daemon.key_value import Put, RevisionIs
from hillstack.platform import names
from hillstack.platform.bodies import CrashLedgerBody
from hillstack.platform.formats import decode_crash_ledger
from hillstack.platform.reused_lease import ReusedLease
from hillstack.platform.store import MetadataStore
from hillstack.serving.ledger_store import StoredLedger

NO_LEASE = 0


class CrashLedgers:
    """Reads and writes ledgers.

    Args:
        store: The platform's store.
        clock: Monotonic seconds.
        prefix: Prefix of the ledgers' keys.
        is_leased: Whether a ledger expires some time after its last change.
    """

    def __init__(
        self,
        store: MetadataStore,
        clock: Callable[[], float],
        prefix: str = names.CRASH_LEDGERS_PREFIX,
        *,
        is_leased: bool = True,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._lease = (
            ReusedLease(store, clock, MAX_RETENTION_SECONDS, LEASE_REUSE_SECONDS)
            if is_leased
            else None
        )

    async def read(self, fingerprint: int) -> StoredLedger:
        """Return the ledger of a request; an empty one if there is none.

        Raises:
            PlatformError: The call failed, or the ledger can't be decoded.
        """
        entry = await self._store.get(self._key(fingerprint))
        if entry is None:
            return StoredLedger(CrashLedger())
        item = StoredItem(entry.key, entry.mod_revision, entry.value)
        return StoredLedger(decode_crash_ledger(item), entry.mod_revision)

    async def write(self, fingerprint: int, ledger: CrashLedger, expected: StoreRevision) -> bool:
        """Write a ledger if its revision is the expected one; return whether it was written.

        Raises:
            PlatformError: The call failed.
        """
        key = self._key(fingerprint)
        body = CrashLedgerBody(sorted(ledger.crashed), sorted(ledger.permits))
        lease_id = NO_LEASE if self._lease is None else await self._lease.current()
        put = Put(key, msgspec.json.encode(body), lease_id)
        revision = await self._store.transact([RevisionIs(key, expected)], [put])
        if revision is None and expected == NO_REVISION and self._lease is not None:
            # The lease may have ended, in a restored store or after a long pause of this node.
            self._lease.discard()
        return revision is not None

    async def remove(self, fingerprint: int) -> None:
        """Remove the ledger of a request.

        Raises:
            PlatformError: The call failed.
        """
        await self._store.remove(self._key(fingerprint))

    def _key(self, fingerprint: int) -> str:
        return f"{self._prefix}{fingerprint:016x}"
