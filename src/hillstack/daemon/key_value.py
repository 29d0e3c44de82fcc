"""Entries, writes and conditions of a key-value service, and the calls that a duty lease needs."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from hillstack.core.store_revision import StoreRevision


@dataclass(frozen=True, slots=True)
class Entry:
    """A key's value and the revision of its last change."""

    key: str
    value: bytes
    mod_revision: StoreRevision


@dataclass(frozen=True, slots=True)
class Put:
    """A write within a transaction; the key is bound to a lease if ``lease_id`` is not 0."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class ValueIs:
    """Condition: the key has this value; ``None`` means that the key does not exist."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class RevisionIs:
    """Condition: the key was last changed at this revision; ``NO_REVISION``: it does not exist."""

    key: str
    revision: StoreRevision


Condition = ValueIs | RevisionIs


class LeaseStore(Protocol):
    """The calls that a duty lease needs; each raises ``PlatformError`` on failure."""

    @property
    def era(self) -> int:
        """Rises when the service is restored to an older state; newer leases are then lost."""
        ...

    async def get(self, key: str) -> Entry | None:
        """Return a key's entry, or None if the key does not exist."""
        ...

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> StoreRevision | None:
        """Write if all conditions hold; return the new revision, or None if a condition fails."""
        ...

    async def grant_lease(self, ttl_seconds: float) -> int:
        """Create a lease and return its identifier."""
        ...

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; return False if it has expired."""
        ...

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which deletes its keys."""
        ...
