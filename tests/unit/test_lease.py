"""The duty lease: exclusive holders, increasing fences, and restores of the key-value service."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field

from hillstack.core.store_revision import StoreRevision
from hillstack.daemon.duty_lease import DutyLease
from hillstack.daemon.key_value import Condition, Entry, Put
from hillstack.emulator.platform import KeyValueStore

TTL = 8


@dataclass
class MemoryKeyValue:
    """The emulated key-value service without a network."""

    now: float = 0.0
    store: KeyValueStore = field(default_factory=KeyValueStore)

    @property
    def era(self) -> int:
        return self.store.era

    async def get(self, key: str) -> Entry | None:
        self.store.expire(self.now)
        return self.store.entry(key)

    async def list_prefix(self, prefix: str, limit: int = 0) -> list[Entry]:
        raise NotImplementedError

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> StoreRevision | None:
        self.store.expire(self.now)
        return self.store.transact(conditions, puts)

    async def grant_lease(self, ttl_seconds: float) -> int:
        return self.store.grant(float(ttl_seconds), self.now).lease_id

    async def keep_alive(self, lease_id: int) -> bool:
        self.store.expire(self.now)
        lease = self.store.leases.get(lease_id)
        if lease is not None:
            lease.expires_at = self.now + lease.ttl
        return lease is not None

    async def revoke_lease(self, lease_id: int) -> None:
        self.store.revoke(lease_id)

    async def watch(self, key: str) -> AsyncIterator[bytes]:
        raise NotImplementedError
        yield b""


@dataclass
class SlowKeyValue(MemoryKeyValue):
    """Answers renewals and writes only after ``unblock`` is set."""

    unblock: asyncio.Event = field(default_factory=asyncio.Event)

    async def keep_alive(self, lease_id: int) -> bool:
        alive = await super().keep_alive(lease_id)
        await self.unblock.wait()
        return alive

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> StoreRevision | None:
        revision = await super().transact(conditions, puts)
        await self.unblock.wait()
        return revision


def make_lease(service: MemoryKeyValue, name: str) -> DutyLease:
    return DutyLease(service, "/duty", name, TTL, lambda: service.now)


def test_only_one_node_holds_the_duty() -> None:
    service = MemoryKeyValue()
    first, second = make_lease(service, "first"), make_lease(service, "second")
    asyncio.run(first.renew_or_acquire())
    asyncio.run(second.renew_or_acquire())
    assert first.fence() is not None
    assert second.fence() is None


def test_renewal_keeps_the_fence() -> None:
    service = MemoryKeyValue()
    lease = make_lease(service, "first")
    asyncio.run(lease.renew_or_acquire())
    fence = lease.fence()
    for _ in range(5):
        service.now += 4.0
        asyncio.run(lease.renew_or_acquire())
    assert lease.fence() == fence


def test_a_paused_holder_stops_before_its_lease_ends_and_its_fence_is_older() -> None:
    service = MemoryKeyValue()
    paused, other = make_lease(service, "paused"), make_lease(service, "other")
    asyncio.run(paused.renew_or_acquire())
    old_fence = paused.fence()
    service.now += TTL * 0.8
    assert paused.fence() is None
    asyncio.run(other.renew_or_acquire())
    assert other.fence() is None, "the lease has not ended yet"
    service.now += TTL
    asyncio.run(other.renew_or_acquire())
    new_fence = other.fence()
    assert old_fence is not None
    assert new_fence is not None
    assert new_fence > old_fence


def test_another_node_acquires_a_released_lease_at_once() -> None:
    service = MemoryKeyValue()
    first, second = make_lease(service, "first"), make_lease(service, "second")
    asyncio.run(first.renew_or_acquire())
    asyncio.run(first.release())
    asyncio.run(second.renew_or_acquire())
    assert first.fence() is None
    assert second.fence() is not None


async def release_during_call(service: SlowKeyValue, lease: DutyLease) -> None:
    """Release a lease while a call for it is in progress."""
    call = asyncio.create_task(lease.renew_or_acquire())
    await asyncio.sleep(0)
    await lease.release()
    service.unblock.set()
    await call


def test_a_lease_released_during_a_renewal_stays_released() -> None:
    async def scenario() -> None:
        service = SlowKeyValue()
        lease = make_lease(service, "first")
        service.unblock.set()
        await lease.renew_or_acquire()
        service.unblock.clear()
        await release_during_call(service, lease)
        assert lease.fence() is None
        assert await service.get("/duty") is None

    asyncio.run(scenario())


def test_a_lease_granted_during_a_stop_is_revoked() -> None:
    async def scenario() -> None:
        service = SlowKeyValue()
        lease = make_lease(service, "first")
        await release_during_call(service, lease)
        assert lease.fence() is None
        assert await service.get("/duty") is None

    asyncio.run(scenario())


def test_a_fence_refused_during_a_renewal_is_not_used_again() -> None:
    async def scenario() -> None:
        service = SlowKeyValue()
        lease = make_lease(service, "first")
        service.unblock.set()
        await lease.renew_or_acquire()
        service.unblock.clear()
        call = asyncio.create_task(lease.renew_or_acquire())
        await asyncio.sleep(0)
        lease.invalidate()
        service.unblock.set()
        await call
        assert lease.fence() is None

    asyncio.run(scenario())


# Guards against a holder that still uses a lease which the service lost in a restore.
def test_a_holder_stops_at_once_when_the_service_was_restored() -> None:
    service = MemoryKeyValue()
    snapshot = service.store.snapshot()
    lease = make_lease(service, "first")
    asyncio.run(lease.renew_or_acquire())
    assert lease.fence() is not None
    service.store.restore(snapshot)
    assert lease.fence() is None


# Guards against renewing or revoking another node's lease: a restored service assigns lease numbers
# again.
def test_a_reassigned_lease_number_is_not_renewed_or_revoked() -> None:
    service = MemoryKeyValue()
    snapshot = service.store.snapshot()
    first = make_lease(service, "first")
    asyncio.run(first.renew_or_acquire())
    service.store.restore(snapshot)
    second = make_lease(service, "second")
    asyncio.run(second.renew_or_acquire())
    assert second.fence() is not None
    assert list(service.store.leases) == [1], "the number of the first holder's lease"
    ends_at = service.store.leases[1].expires_at
    service.now += 1.0
    asyncio.run(first.renew_or_acquire())
    asyncio.run(first.release())
    assert first.fence() is None
    assert service.store.leases[1].expires_at == ends_at
    assert second.fence() is not None


# Guards against orders that back ends refuse: revisions, and so fences, are lower after a restore.
def test_a_fence_increases_across_a_restore() -> None:
    service = MemoryKeyValue()
    snapshot = service.store.snapshot()
    for _ in range(40):
        service.store.transact([], [Put("/other", b"1")])
    first, second = make_lease(service, "first"), make_lease(service, "second")
    asyncio.run(first.renew_or_acquire())
    before = first.fence()
    assert before is not None and before > 40
    asyncio.run(second.renew_or_acquire())
    service.store.restore(snapshot)
    asyncio.run(second.renew_or_acquire())
    assert second.fence() is None, "the first holder may not know of the restore"
    service.now += TTL
    asyncio.run(second.renew_or_acquire())
    after = second.fence()
    assert after is not None and after > before
    entry = asyncio.run(service.get("/duty"))
    assert entry is not None and entry.mod_revision.number == after


def test_an_unreachable_fence_leaves_the_duty_free() -> None:
    service = MemoryKeyValue()
    lease = DutyLease(service, "/duty", "first", TTL, lambda: service.now, lambda: 10_000)
    asyncio.run(lease.renew_or_acquire())
    assert lease.fence() is None
    assert asyncio.run(service.get("/duty")) is None


def test_a_lease_granted_before_a_restore_is_not_revoked_after_it() -> None:
    async def scenario() -> None:
        service = SlowKeyValue()
        snapshot = service.store.snapshot()
        lease = make_lease(service, "first")
        call = asyncio.create_task(lease.renew_or_acquire())
        await asyncio.sleep(0)
        service.store.restore(snapshot)
        assert await service.grant_lease(TTL) == 1, "the number of the lease that was lost"
        await lease.release()
        service.unblock.set()
        await call
        assert list(service.store.leases) == [1]

    asyncio.run(scenario())
