"""A lease on a duty, and the fencing token (fence) that its orders carry.

The holder of a duty is the node that wrote the duty's key in the key-value service, bound to a
lease. The revision of the key is the fence. Each later holder has a higher fence, so back ends can
refuse the orders of a holder that was paused and does not know that its lease has expired.

A key-value service that was restored from an older state (a new era) has lost leases, or assigns
their numbers to new leases. A lease is therefore never renewed or revoked in a later era than its
own. The former holder may not have noticed the restore and goes by its own clock, so other nodes
acquire the duty only after the former lease would have expired. Revisions are lower after a
restore, so a new holder rewrites its key until the revision is above all earlier fences.
"""

from __future__ import annotations

from collections.abc import Callable

from hillstack.core.store_revision import NO_REVISION, StoreRevision
from hillstack.daemon.key_value import LeaseStore, Put, RevisionIs, ValueIs

# Share of the lease time that the holder does not use: clocks run at different rates, and a renewal
# takes time on the network.
SAFETY_SHARE = 0.25
# How often a key is rewritten in sequence to raise its fence: a fifth of a lease of 2 s at 4 ms
# each.
# After that the node tries again later, when writes of other nodes have raised the revision as
# well.
MAX_FENCE_WRITES = 100


class DutyLease:
    """Acquires, renews and releases the lease on one duty.

    Args:
        key_value: The key-value service.
        key: Key of the duty.
        node_id: Identifier of this node, written as the value of the key.
        ttl: Seconds until a lease without renewal expires.
        clock: Monotonic seconds.
        highest_fence: Returns the highest known fence of any holder.
    """

    def __init__(
        self,
        key_value: LeaseStore,
        key: str,
        node_id: str,
        ttl: float,
        clock: Callable[[], float],
        highest_fence: Callable[[], int] = lambda: 0,
    ) -> None:
        self._highest_known_fence = highest_fence
        self._highest_seen = 0
        self._lease_era = 0
        self._known_era = key_value.era
        self._may_acquire_from = float("-inf")
        self._key_value = key_value
        self._key = key
        self._node_id = node_id
        self._ttl = ttl
        self._clock = clock
        self._lease_id = 0
        self._key_revision = NO_REVISION
        self._valid_until = float("-inf")
        # How often this node gave up the lease by ``release`` or ``invalidate``. A call that was in
        # progress at that time compares the counter and then leaves the lease unchanged.
        self._end_count = 0

    def fence(self) -> int | None:
        """Return the fence while the lease is held by this node's clock; else None."""
        held = self.key_revision()
        return held.number if held is not None else None

    def key_revision(self) -> StoreRevision | None:
        """Return the revision of the duty's key while the lease is held; else None."""
        if self._lease_era != self._key_value.era:
            return None
        return self._key_revision if self._clock() < self._valid_until else None

    async def renew_or_acquire(self) -> None:
        """Renew the lease, or try to acquire it if it is not held.

        Raises:
            PlatformError: The key-value service failed; a held lease then expires by itself.
        """
        end_count = self._end_count
        if self.fence() is not None and await self._renew(end_count):
            return
        if end_count == self._end_count:
            await self._acquire(end_count)

    def invalidate(self) -> None:
        """Stop using this fence, because another holder with a higher fence was observed.

        The key is left to expire; the next holder of the duty then gets a new fence.
        """
        self._end()

    async def release(self) -> None:
        """Revoke the lease, so that another node can acquire the duty at once.

        Raises:
            PlatformError: The key-value service failed.
        """
        held = self.fence() is not None
        self._end()
        if held:
            await self._revoke()

    def _end(self) -> None:
        self._end_count += 1
        self._valid_until = float("-inf")

    async def _renew(self, end_count: int) -> bool:
        asked_at = self._clock()
        is_kept = await self._key_value.keep_alive(self._lease_id)
        if not is_kept or self._lease_era != self._key_value.era:
            self._valid_until = float("-inf")
            return False
        if end_count != self._end_count:
            return False
        self._extend(asked_at)
        return True

    async def _acquire(self, end_count: int) -> None:
        held = await self._key_value.get(self._key)
        if held is not None:
            self._note_fence(held.mod_revision)
        if held is not None or not self._may_acquire():
            return
        asked_at = self._clock()
        self._lease_id = await self._key_value.grant_lease(self._ttl)
        self._lease_era = self._key_value.era
        put = Put(self._key, self._node_id.encode(), self._lease_id)
        revision = await self._key_value.transact([ValueIs(self._key, None)], [put])
        if revision is not None:
            revision = await self._raise_fence(put, revision)
        if revision is None or end_count != self._end_count:
            await self._revoke()
            return
        if revision.era != self._lease_era:
            # The service was restored after the grant, which lost the lease.
            return
        self._key_revision = revision
        self._note_fence(revision)
        self._extend(asked_at)

    def _may_acquire(self) -> bool:
        """Return whether a holder that lost its lease in a restore has stopped using it by now."""
        now, era = self._clock(), self._key_value.era
        if era != self._known_era:
            self._known_era = era
            self._may_acquire_from = now + self._ttl
        return now >= self._may_acquire_from

    async def _raise_fence(self, put: Put, revision: StoreRevision) -> StoreRevision | None:
        """Rewrite the key until its revision is above all known fences; None if that failed."""
        highest = max(self._highest_known_fence(), self._highest_seen)
        raised: StoreRevision | None = revision
        for _ in range(MAX_FENCE_WRITES):
            if raised is None or raised.number > highest:
                return raised
            raised = await self._key_value.transact([RevisionIs(self._key, raised)], [put])
        return None

    def _note_fence(self, revision: StoreRevision) -> None:
        self._highest_seen = max(self._highest_seen, revision.number)

    async def _revoke(self) -> None:
        """Revoke the lease, unless a restored service may have assigned its number again."""
        if self._lease_era == self._key_value.era:
            await self._key_value.revoke_lease(self._lease_id)

    def _extend(self, asked_at: float) -> None:
        # Counted from before the request was sent and shortened, since clocks run at different
        # rates.
        self._valid_until = asked_at + self._ttl * (1 - SAFETY_SHARE)
