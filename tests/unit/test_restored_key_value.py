"""A key-value service that is restored from a snapshot, accessed by its client over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp

from hillstack.daemon.duty_lease import DutyLease
from hillstack.daemon.key_value import Put, RevisionIs
from hillstack.emulator.free_ports import free_ports
from hillstack.emulator.platform import EmulatedPlatform, KeyValueStore
from hillstack.etcd.key_value import KeyValueClient
from hillstack.http_server import make_server

Scenario = Callable[[KeyValueStore, KeyValueClient], Awaitable[None]]


def with_service(scenario: Scenario) -> None:
    async def play() -> None:
        platform = EmulatedPlatform([], 10_000.0)
        address = f"127.0.0.1:{free_ports(1)[0]}"
        server = make_server(platform.app(), address)
        serving = asyncio.create_task(server.serve())
        while not server.started:  # noqa: ASYNC110 (uvicorn offers no event)
            await asyncio.sleep(0.01)
        async with aiohttp.ClientSession() as session:
            await scenario(platform.store, KeyValueClient([address], session))
        server.should_exit = True
        await serving

    asyncio.run(play())


# Guards against a holder that still uses a lease which the service lost in a restore.
def test_a_lower_revision_ends_the_leases_and_the_next_fence_is_higher() -> None:
    async def scenario(store: KeyValueStore, client: KeyValueClient) -> None:
        snapshot = store.snapshot()
        for _ in range(5):
            await client.transact([], [Put("/other", b"1")])
        now = 0.0
        lease = DutyLease(client, "/duty", "node-1", 6, lambda: now)
        await lease.renew_or_acquire()
        before = lease.fence()
        assert before is not None and client.era == 0
        store.restore(snapshot)
        await lease.renew_or_acquire()
        assert client.era == 1 and lease.fence() is None
        await lease.renew_or_acquire()
        now += 6.0
        await lease.renew_or_acquire()
        after = lease.fence()
        assert after is not None and after > before

    with_service(scenario)


def test_a_revision_condition_holds_only_for_the_current_revision() -> None:
    async def scenario(store: KeyValueStore, client: KeyValueClient) -> None:
        first = await client.transact([], [Put("/key", b"1")])
        assert first is not None
        second = await client.transact([RevisionIs("/key", first)], [Put("/key", b"2")])
        assert second is not None and second > first
        assert await client.transact([RevisionIs("/key", first)], [Put("/key", b"3")]) is None

    with_service(scenario)
