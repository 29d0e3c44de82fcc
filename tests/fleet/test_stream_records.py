"""What the store keeps of streams: conditions of the writes, keys, leases and events."""

from __future__ import annotations

import logging

import pytest

from hillstack import clock
from hillstack.core.store_revision import NO_REVISION
from hillstack.core.stream_origins import STREAM_SECONDS
from hillstack.daemon.change_log import StoredItem
from hillstack.daemon.stream_recorder import MAX_SEGMENTS_WRITTEN, StreamSegment
from hillstack.emulator.fleet_store import FleetStore
from hillstack.errors import PlatformError
from hillstack.platform import names
from hillstack.platform.formats import to_event
from hillstack.platform.reused_lease import ReusedLease
from hillstack.platform.store import MetadataStore
from hillstack.platform.stream_records import LEASE_REUSE_SECONDS, StreamRecords
from hillstack.serving.store_events import ServiceVersionsRecorded, StreamsRecorded
from tests.fleet.builders import rev
from tests.fleet.test_rollout_store import with_store

SERVICE = "engines"
KEY = names.SERVICE_VERSIONS_PREFIX + SERVICE


class SetClock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now = 0.0

    def seconds(self) -> float:
        """Return the time."""
        return self.now


def segment(number: int, *attempts: str, software: str = "v1") -> StreamSegment:
    return StreamSegment(number, SERVICE, software, 0.0, list(attempts))


def make_records(
    store: MetadataStore, process: str = "p1", node_id: str = "node-1"
) -> StreamRecords:
    return StreamRecords(store, node_id, process, clock.seconds)


def streams_of(emulated_store: FleetStore) -> dict[str, StreamsRecorded]:
    """Return the stored segments by key."""
    found = {}
    for key in emulated_store.keys(names.STREAMS_PREFIX):
        event = to_event(StoredItem(key, rev(1), emulated_store.value(key)))
        assert isinstance(event, StreamsRecorded)
        found[key] = event
    return found


def leases_of(emulated_store: FleetStore) -> dict[str, int]:
    return {item.key: item.lease for item in emulated_store.copy().items.values()}


def test_versions_are_written_only_at_the_revision_that_was_read() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        records = make_records(store)
        empty = await records.read_versions(SERVICE)
        assert (empty.versions, empty.revision) == (frozenset(), NO_REVISION)
        assert await records.write_versions(SERVICE, {"v1"}, empty.revision)
        assert not await records.write_versions(SERVICE, {"v2"}, empty.revision)
        stored = await records.read_versions(SERVICE)
        assert stored.versions == {"v1"}
        assert await records.write_versions(SERVICE, {"v1", "v2"}, stored.revision)
        assert not await records.write_versions(SERVICE, {"v3"}, stored.revision)
        assert (await records.read_versions(SERVICE)).versions == {"v1", "v2"}
        assert not leases_of(emulated_store)[KEY]

    with_store(scenario)


def test_versions_of_services_are_stored_apart() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        records = make_records(store)
        assert await records.write_versions(SERVICE, {"v1"}, NO_REVISION)
        assert await records.write_versions("other", {"w1"}, NO_REVISION)
        assert (await records.read_versions(SERVICE)).versions == {"v1"}
        assert (await records.read_versions("other")).versions == {"w1"}

    with_store(scenario)


@pytest.mark.parametrize(
    "value", [b"[", b"{}", b'{"versions":3}', b'{"versions":[1]}', b"", b"\xff"]
)
def test_a_record_that_can_not_be_decoded_is_replaced(
    value: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        emulated_store.put(KEY, value)
        records = make_records(store)
        stored = await records.read_versions(SERVICE)
        assert stored.versions == frozenset()
        assert await records.write_versions(SERVICE, {"v1"}, stored.revision)
        assert (await records.read_versions(SERVICE)).versions == {"v1"}

    with caplog.at_level(logging.WARNING):
        with_store(scenario)
    assert "record of versions replaced" in caplog.messages


def test_a_restored_store_accepts_no_write_at_a_revision_of_before() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        records = make_records(store)
        assert await records.write_versions(SERVICE, {"v1"}, NO_REVISION)
        copy = emulated_store.copy()
        stored = await records.read_versions(SERVICE)
        emulated_store.restore(copy)
        with pytest.raises(PlatformError):
            await records.write_versions(SERVICE, {"v2"}, stored.revision)
        assert not await records.write_versions(SERVICE, {"v3"}, stored.revision)
        assert await records.write_versions(
            SERVICE, {"v1", "v4"}, (await records.read_versions(SERVICE)).revision
        )
        assert (await records.read_versions(SERVICE)).versions == {"v1", "v4"}

    with_store(scenario)


def test_records_in_the_store_are_events() -> None:
    written = StoredItem(KEY, rev(3), b'{"versions":["v1","v2"]}')
    assert to_event(written) == ServiceVersionsRecorded(SERVICE, frozenset({"v1", "v2"}))
    assert to_event(StoredItem(KEY, rev(4), None)) == ServiceVersionsRecorded(SERVICE, None)
    key = f"{names.STREAMS_PREFIX}node-1/p1-1"
    value = b'{"service":"engines","software":"v1","attempts":["a","b"]}'
    assert to_event(StoredItem(key, rev(5), value)) == StreamsRecorded(SERVICE, "v1", ("a", "b"))
    assert to_event(StoredItem(key, rev(6), None)) is None
    for bad_key in (KEY, key):
        with pytest.raises(PlatformError):
            to_event(StoredItem(bad_key, rev(7), b"["))


def test_a_record_that_can_not_be_decoded_is_reported_once() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        emulated_store.put(KEY, b"[")
        reports: list[str] = []
        store = MetadataStore(address, store._session, lambda: reports.append("unreadable"))
        for _ in range(2):
            snapshot = await store.snapshot()
            events = [change.event for change in snapshot.changes]
            assert ServiceVersionsRecorded(SERVICE, None) in events
        assert reports == ["unreadable"]

    with_store(scenario)


def test_streams_are_written_under_one_lease() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        records = make_records(store)
        assert await records.write_streams([segment(1, "a"), segment(2, "b", software="v2")])
        assert await records.write_streams([segment(1, "a", "c")])
        found = streams_of(emulated_store)
        assert sorted(found.values(), key=str) == [
            StreamsRecorded(SERVICE, "v1", ("a", "c")),
            StreamsRecorded(SERVICE, "v2", ("b",)),
        ]
        leases = leases_of(emulated_store)
        assert len({leases[key] for key in found}) == 1
        assert all(leases[key] for key in found)
        assert len(emulated_store.copy().leases) == 1

    with_store(scenario)


def test_the_store_accepts_the_largest_write() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        attempts = [f"{number:064}" for number in range(200)]
        segments = [segment(number, *attempts) for number in range(MAX_SEGMENTS_WRITTEN)]
        assert await make_records(store).write_streams(segments)
        assert len(streams_of(emulated_store)) == MAX_SEGMENTS_WRITTEN

    with_store(scenario)


def test_processes_and_nodes_do_not_share_keys() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        writers = [("node-1", "p1"), ("node-1", "p2"), ("node-1", "p"), ("node-2", "p1")]
        for node_id, process in writers:
            records = make_records(store, process, node_id)
            assert await records.write_streams([segment(1, f"{node_id}/{process}")])
            assert await records.write_streams([segment(11, f"{node_id}/{process}/11")])
        attempts = {a for found in streams_of(emulated_store).values() for a in found.attempts}
        assert len(attempts) == 2 * len(writers)

    with_store(scenario)


def test_a_write_under_an_ended_lease_is_repeated_under_another_one() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        records = make_records(store)
        assert await records.write_streams([segment(1, "a")])
        (lease_id,) = emulated_store.copy().leases
        await store.revoke_lease(lease_id)
        assert not streams_of(emulated_store)
        assert not await records.write_streams([segment(1, "a", "b")])
        assert await records.write_streams([segment(1, "a", "b")])
        assert [found.attempts for found in streams_of(emulated_store).values()] == [("a", "b")]

    with_store(scenario)


def test_an_unavailable_store_is_an_error() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        records = make_records(store)
        emulated_store.down = True
        with pytest.raises(PlatformError):
            await records.read_versions(SERVICE)
        with pytest.raises(PlatformError):
            await records.write_versions(SERVICE, {"v1"}, NO_REVISION)
        with pytest.raises(PlatformError):
            await records.write_streams([segment(1, "a")])
        emulated_store.down = False
        assert await records.write_streams([segment(1, "a")])

    with_store(scenario)


def test_streams_expire_after_they_can_be_taken_up_no_more() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        time = SetClock()
        emulated_store._clock = time.seconds
        records = StreamRecords(store, "node-1", "p1", time.seconds)
        assert await records.write_streams([segment(1, "a")])
        time.now = LEASE_REUSE_SECONDS - 0.1
        assert await records.write_streams([segment(2, "b")])
        time.now += STREAM_SECONDS - 0.1
        await store.snapshot()
        assert len(streams_of(emulated_store)) == 2
        time.now += 1.0
        await store.snapshot()
        assert not streams_of(emulated_store)

    with_store(scenario)


def test_a_lease_is_used_for_some_seconds_and_one_era() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        time = SetClock()
        lease = ReusedLease(store, time.seconds, 40.0, 10.0)
        first = await lease.current()
        time.now = 9.9
        assert await lease.current() == first
        time.now = 10.0
        second = await lease.current()
        assert second != first
        lease.discard()
        third = await lease.current()
        assert third not in (first, second)
        emulated_store.restore(emulated_store.copy())
        await store.snapshot()
        granted = len(emulated_store.copy().leases)
        await lease.current()
        assert len(emulated_store.copy().leases) == granted + 1

    with_store(scenario)


def test_a_lease_that_was_not_granted_is_requested_again() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        lease = ReusedLease(store, clock.seconds, 40.0, 10.0)
        emulated_store.down = True
        with pytest.raises(PlatformError):
            await lease.current()
        emulated_store.down = False
        assert await lease.current()

    with_store(scenario)
