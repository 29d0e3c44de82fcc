"""Keys, leases and conditions of a key-value service, and what a duty lease needs of one."""

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
    """A write inside a transaction."""

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
    """Condition: the key was last changed at this revision, or does not exist (``NO_REVISION``)."""

    key: str
    revision: StoreRevision


Condition = ValueIs | RevisionIs


class LeaseStore(Protocol):
    """The calls that a lease on a duty needs; each raises ``PlatformError`` when it fails."""

    @property
    def era(self) -> int:
        """Rises when the service has come back with an older state: leases since are gone."""
        ...

    async def get(self, key: str) -> Entry | None:
        """Return a key's entry, or None."""
        ...

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> StoreRevision | None:
        """Write if all conditions hold; return the revision, or None if one does not."""
        ...

    async def grant_lease(self, ttl_seconds: float) -> int:
        """Return the identifier of a new lease."""
        ...

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; return False if it is over."""
        ...

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease; its keys go with it."""
        ...
