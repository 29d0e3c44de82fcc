"""The lease on a duty when the key-value service is restored from older snapshots."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hillstack.core.store_revision import StoreRevision
from hillstack.daemon.duty_lease import DutyLease
from hillstack.daemon.key_value import Condition, Entry, Put
from hillstack.emulator.platform import KeyValueSnapshot, KeyValueStore

NODES = st.sampled_from([0, 1, 2])
TTL = 2.0
KEY = "/duty"


class Service:
    """The service; a restore loses writes and assigns lease numbers and revisions again."""

    def __init__(self) -> None:
        self.now = 0.0
        self.store = KeyValueStore()
        self.snapshots: list[KeyValueSnapshot] = [self.store.snapshot()]
        # The highest fence that all nodes know.
        self.known_fence = 0


class NodeView:
    """The service as one node sees it: the node learns of a new era only from its own calls."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self.era = 0

    def _store(self) -> KeyValueStore:
        self._service.store.expire(self._service.now)
        self.era = self._service.store.era
        return self._service.store

    async def get(self, key: str) -> Entry | None:
        return self._store().entry(key)

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> StoreRevision | None:
        revision = self._store().transact(conditions, puts)
        if revision is not None:
            self._service.known_fence = max(self._service.known_fence, revision.number)
        return revision

    async def grant_lease(self, ttl_seconds: float) -> int:
        return self._store().grant(ttl_seconds, self._service.now).lease_id

    async def keep_alive(self, lease_id: int) -> bool:
        lease = self._store().leases.get(lease_id)
        if lease is not None:
            lease.expires_at = self._service.now + lease.ttl
        return lease is not None

    async def revoke_lease(self, lease_id: int) -> None:
        self._store().revoke(lease_id)


class RestoredLeases(RuleBasedStateMachine):
    """Three nodes compete for one duty, and the service may be restored at any moment."""

    def __init__(self) -> None:
        super().__init__()
        self.service = Service()
        self.leases = [self._lease(number) for number in range(3)]
        self.fences: list[int] = []

    def _lease(self, number: int) -> DutyLease:
        service = self.service
        return DutyLease(
            NodeView(service),
            KEY,
            f"node-{number}",
            TTL,
            lambda: service.now,
            lambda: service.known_fence,
        )

    @rule(node=NODES)
    def renew(self, node: int) -> None:
        asyncio.run(self.leases[node].renew_or_acquire())

    @rule(node=NODES)
    def release(self, node: int) -> None:
        asyncio.run(self.leases[node].release())

    @rule(seconds=st.sampled_from([0.3, 0.9, 1.4, 2.1]))
    def pass_time(self, seconds: float) -> None:
        self.service.now += seconds

    @rule(count=st.integers(1, 8))
    def write(self, count: int) -> None:
        for _ in range(count):
            self.service.store.transact([], [Put("/other", b"1")])

    @rule()
    def take_snapshot(self) -> None:
        self.service.snapshots.append(self.service.store.snapshot())

    @rule(which=st.integers(0, 50))
    def restore(self, which: int) -> None:
        snapshots = self.service.snapshots
        self.service.store.restore(snapshots[which % len(snapshots)])

    @invariant()
    def at_most_one_holder_acts(self) -> None:
        acting = [lease.fence() for lease in self.leases if lease.fence() is not None]
        assert len(acting) <= 1
        for fence in acting:
            assert fence is not None
            if not self.fences or fence != self.fences[-1]:
                self.fences.append(fence)

    @invariant()
    def fences_never_decrease(self) -> None:
        assert self.fences == sorted(self.fences)


TestRestoredLeases = RestoredLeases.TestCase
