"""A lease of the store that several writes share."""

from __future__ import annotations

from collections.abc import Callable

from hillstack.platform.store import MetadataStore


class ReusedLease:
    """Requests leases of a fixed length, each of which is used for some seconds.

    Args:
        store: The platform's store.
        clock: Monotonic seconds.
        ttl_seconds: Length of each lease.
        reuse_seconds: How long a lease is used for further writes. A key lasts at least for the
            difference after its last write.
    """

    def __init__(
        self,
        store: MetadataStore,
        clock: Callable[[], float],
        ttl_seconds: float,
        reuse_seconds: float,
    ) -> None:
        self._store = store
        self._clock = clock
        self._ttl_seconds = ttl_seconds
        self._reuse_seconds = reuse_seconds
        self._lease_id = 0
        self._era = 0
        self._granted_at = float("-inf")

    async def current(self) -> int:
        """Return the identifier of a usable lease.

        Raises:
            PlatformError: A new lease was needed, and the call failed.
        """
        now = self._clock()
        is_usable = now - self._granted_at < self._reuse_seconds
        if not is_usable or self._era != self._store.era:
            self._lease_id = await self._store.grant_lease(self._ttl_seconds)
            self._era = self._store.era
            self._granted_at = now
        return self._lease_id

    def discard(self) -> None:
        """Request another lease for the next write, because this one may have ended."""
        self._granted_at = float("-inf")
