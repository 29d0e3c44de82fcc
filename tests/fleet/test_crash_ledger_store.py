"""Ledgers of runner crashes in the store: conditions of their writes, leases and events."""

from __future__ import annotations

import pytest

from hillstack import clock
from hillstack.core.crash_ledger import (
    MAX_KNOWN_LEDGERS,
    MISSING_LEDGER_SECONDS,
    CrashLedger,
    KnownLedgers,
)
from hillstack.core.store_revision import NO_REVISION
from hillstack.daemon.change_log import StoredItem
from hillstack.emulator.fleet_store import FleetStore
from hillstack.errors import PlatformError
from hillstack.platform import names
from hillstack.platform.crash_ledgers import CrashLedgers
from hillstack.platform.formats import to_event
from hillstack.platform.store import MetadataStore
from hillstack.serving.store_events import CrashLedgerChanged, PartLedgerChanged
from tests.fleet.builders import rev
from tests.fleet.test_rollout_store import with_store

FINGERPRINT = 0xAB
KEY = f"{names.CRASH_LEDGERS_PREFIX}00000000000000ab"
PART_KEY = f"{names.PART_LEDGERS_PREFIX}00000000000000ab"
LEDGER = CrashLedger(frozenset({"i-1"}), frozenset({"node-1/1"}))


def test_a_ledger_is_written_only_at_the_revision_that_was_read() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        ledgers = CrashLedgers(store, clock.seconds)
        empty = await ledgers.read(FINGERPRINT)
        assert not empty.ledger
        assert empty.revision == NO_REVISION
        assert await ledgers.write(FINGERPRINT, LEDGER, empty.revision)
        assert not await ledgers.write(FINGERPRINT, CrashLedger(), empty.revision)
        stored = await ledgers.read(FINGERPRINT)
        assert stored.ledger == LEDGER
        more = LEDGER.with_permit("node-2/1")
        assert await ledgers.write(FINGERPRINT, more, stored.revision)
        assert (await ledgers.read(FINGERPRINT)).ledger == more
        await ledgers.remove(FINGERPRINT)
        assert not (await ledgers.read(FINGERPRINT)).ledger

    with_store(scenario)


def test_a_ledger_that_can_not_be_read_is_an_error() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        emulated_store.put(KEY, b"[")
        with pytest.raises(PlatformError):
            await CrashLedgers(store, clock.seconds).read(FINGERPRINT)

    with_store(scenario)


def test_a_ledger_in_the_store_is_an_event() -> None:
    written = StoredItem(KEY, rev(3), b'{"crashed":["i-1"],"permits":["node-1/1"]}')
    assert to_event(written) == CrashLedgerChanged(FINGERPRINT, LEDGER)
    removed = StoredItem(KEY, rev(4), None)
    assert to_event(removed) == CrashLedgerChanged(FINGERPRINT, None)
    with pytest.raises(PlatformError):
        to_event(StoredItem(KEY, rev(5), b"["))
    with pytest.raises(PlatformError):
        to_event(StoredItem(names.CRASH_LEDGERS_PREFIX + "x", rev(5), b"{}"))
    assert to_event(StoredItem(names.CRASH_LEDGERS_PREFIX + "x", rev(6), None)) is None


def test_a_ledger_of_a_part_is_stored_apart_and_without_a_lease() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        ledgers = CrashLedgers(store, clock.seconds)
        parts = CrashLedgers(store, clock.seconds, names.PART_LEDGERS_PREFIX, is_leased=False)
        assert await ledgers.write(FINGERPRINT, LEDGER, NO_REVISION)
        assert await parts.write(FINGERPRINT, CrashLedger(), NO_REVISION)
        assert (await ledgers.read(FINGERPRINT)).ledger == LEDGER
        leased = {item.key: item.lease for item in emulated_store.copy().items.values()}
        assert leased[KEY]
        assert not leased[PART_KEY]

    with_store(scenario)


def test_a_ledger_of_a_part_in_the_store_is_an_event() -> None:
    written = StoredItem(PART_KEY, rev(3), b'{"crashed":["i-1"],"permits":["node-1/1"]}')
    assert to_event(written) == PartLedgerChanged(FINGERPRINT, LEDGER)
    assert to_event(StoredItem(PART_KEY, rev(4), None)) == PartLedgerChanged(FINGERPRINT, None)


def test_a_ledger_that_the_store_has_lost_is_known_for_a_while() -> None:
    known = KnownLedgers(retention_seconds=60.0)
    known.note_missing(1, 0.0)
    assert not known
    known.update(1, LEDGER, 0.0)
    known.note_missing(1, 1.0)
    assert known.is_missing(1)
    assert known.get(1, 0.9 + MISSING_LEDGER_SECONDS) == LEDGER
    assert known.get(1, 1.0 + MISSING_LEDGER_SECONDS) is None
    known.update(1, LEDGER, 2.0)
    assert not known.is_missing(1)
    assert known.get(1, 1.0 + MISSING_LEDGER_SECONDS) == LEDGER


def test_ledgers_that_have_not_changed_are_listed_until_they_expire() -> None:
    known = KnownLedgers(retention_seconds=60.0)
    known.update(1, LEDGER, 0.0)
    known.update(2, LEDGER, 2.0)
    known.update(3, LEDGER, 0.0)
    known.note_missing(3, 0.0)
    assert known.unchanged_for(3.0, 2.9) == []
    assert known.unchanged_for(3.0, 3.0) == [(1, LEDGER)]
    assert known.unchanged_for(3.0, 5.0) == [(1, LEDGER), (2, LEDGER)]
    assert known.expire(9.9) == []
    assert known.expire(MISSING_LEDGER_SECONDS) == [3]
    assert known.expire(61.0) == [1]
    assert known.expire(62.0) == [2]
    assert not known


def test_known_ledgers_expire_and_are_bounded() -> None:
    known = KnownLedgers(retention_seconds=60.0)
    known.update(1, LEDGER, 0.0)
    assert known.get(1, 59.0) == LEDGER
    assert known.get(1, 60.0) is None
    known.update(1, None, 1.0)
    assert not known
    for fingerprint in range(MAX_KNOWN_LEDGERS + 1):
        known.update(fingerprint, LEDGER, 0.0)
    assert known.get(0, 1.0) is None
    assert known.get(MAX_KNOWN_LEDGERS, 1.0) == LEDGER
