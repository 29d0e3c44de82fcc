"""A lease on a duty, and the fence that its orders carry.

The holder of a duty is the node whose key exists in the key-value service, bound to a lease. The
revision of that key is the fence: a later holder has a higher one, so back ends can refuse the
orders of a holder that was paused and does not know that its lease has lapsed.

A service that came back with an older state has lost leases or gives their numbers out again, so
none is renewed or ended beyond that. A holder that has not heard of it goes by its own clock, so
the duty is taken no sooner than its lease would have ended. Revisions fall: a new holder writes its
key again until that has a higher revision than all fences before.
"""

from __future__ import annotations

from collections.abc import Callable

from hillstack.core.store_revision import NO_REVISION, StoreRevision
from hillstack.daemon.key_value import LeaseStore, Put, RevisionIs, ValueIs

# Part of the lease that is not used: clocks run at other rates, and a renewal travels.
SAFETY_SHARE = 0.25
# Writes of a key to raise its fence, one after the other: a fifth of the lease at 4 ms each. Beyond
# that the duty is tried for again later, when others have written too.
MAX_FENCE_WRITES = 100


class DutyLease:
    """Tries to hold one duty.

    Args:
        key: Key of the duty.
        node_id: Name of this node, the key's value.
        ttl: Seconds that the lease lasts without renewal.
        clock: Monotonic seconds.
        highest_fence: Returns the highest fence that any holder is known to have had.
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
        self._known_fence = highest_fence
        self._highest_seen = 0
        self._lease_era = 0
        self._known_era = key_value.era
        self._free_from = float("-inf")
        self._key_value = key_value
        self._key = key
        self._node_id = node_id
        self._ttl = ttl
        self._clock = clock
        self._lease_id = 0
        self._key_revision = NO_REVISION
        self._valid_until = float("-inf")
        # How often it was given up or lost: a call that was under way then changes nothing more.
        self._ended = 0

    def fence(self) -> int | None:
        """Return the fence while the lease is surely held, by this node's clock; else None."""
        held = self.key_revision()
        return held.number if held is not None else None

    def key_revision(self) -> StoreRevision | None:
        """Return the revision of the duty's key while the lease is surely held; else None."""
        if self._lease_era != self._key_value.era:
            return None
        return self._key_revision if self._clock() < self._valid_until else None

    async def renew_or_acquire(self) -> None:
        """Renew the lease, or try to get it when it is not held.

        Raises:
            PlatformError: The key-value service failed; the lease then lapses by itself.
        """
        ended = self._ended
        if self.fence() is not None and await self._renew(ended):
            return
        if ended == self._ended:
            await self._acquire(ended)

    def lose(self) -> None:
        """Note that another holder with a higher fence was seen: this fence is used no more.

        The key is left to lapse; a node that takes the duty over then gets a new fence.
        """
        self._end()

    async def give_up(self) -> None:
        """End the lease, so that another node can take over at once.

        Raises:
            PlatformError: The key-value service failed.
        """
        held = self.fence() is not None
        self._end()
        if held:
            await self._revoke()

    def _end(self) -> None:
        self._ended += 1
        self._valid_until = float("-inf")

    async def _renew(self, ended: int) -> bool:
        asked_at = self._clock()
        is_kept = await self._key_value.keep_alive(self._lease_id)
        if not is_kept or self._lease_era != self._key_value.era:
            self._valid_until = float("-inf")
            return False
        if ended != self._ended:
            return False
        self._extend(asked_at)
        return True

    async def _acquire(self, ended: int) -> None:
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
        if revision is None or ended != self._ended:
            await self._revoke()
            return
        if revision.era != self._lease_era:
            # The lease was lost with the state that it was granted in.
            return
        self._key_revision = revision
        self._note_fence(revision)
        self._extend(asked_at)

    def _may_acquire(self) -> bool:
        """Return whether a holder that lost its lease in a restore has stopped by now."""
        now, era = self._clock(), self._key_value.era
        if era != self._known_era:
            self._known_era = era
            self._free_from = now + self._ttl
        return now >= self._free_from

    async def _raise_fence(self, put: Put, revision: StoreRevision) -> StoreRevision | None:
        """Write the key again until its revision is above all fences; None if that failed."""
        highest = max(self._known_fence(), self._highest_seen)
        raised: StoreRevision | None = revision
        for _ in range(MAX_FENCE_WRITES):
            if raised is None or raised.number > highest:
                return raised
            raised = await self._key_value.transact([RevisionIs(self._key, raised)], [put])
        return None

    def _note_fence(self, revision: StoreRevision) -> None:
        self._highest_seen = max(self._highest_seen, revision.number)

    async def _revoke(self) -> None:
        """End the lease, unless its number may be that of another one by now."""
        if self._lease_era == self._key_value.era:
            await self._key_value.revoke_lease(self._lease_id)

    def _extend(self, asked_at: float) -> None:
        # Counted from before the request left, and cut short, since clocks run at other rates.
        self._valid_until = asked_at + self._ttl * (1 - SAFETY_SHARE)
