"""Rollout records and statuses in the store, the conditions of their writes, and their listing."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
import uvicorn
from typer.testing import CliRunner

from hillstack.cli.exits import ExitCode
from hillstack.cli.main import app
from hillstack.core.software_rollouts import RolloutOrder, RolloutRecord, RolloutStage
from hillstack.daemon.change_log import StoredItem
from hillstack.daemon.key_value import Put, RevisionIs, ValueIs
from hillstack.emulator.fleet_store import FleetStore
from hillstack.emulator.free_ports import free_ports
from hillstack.errors import PlatformError
from hillstack.http_server import make_server
from hillstack.platform import names
from hillstack.platform.connections import make_store_session
from hillstack.platform.formats import listed_keys, to_event
from hillstack.platform.rollouts import rollout_duty_key
from hillstack.platform.store import MetadataStore
from hillstack.serving.store_events import (
    ListedRollouts,
    RolloutDutyHeld,
    RolloutOrdered,
    RolloutRecorded,
    RolloutWithdrawn,
)
from tests.fleet.builders import make_route, make_state, make_table, rev

SERVICE = "app"
NOTHING_LISTED = ListedRollouts(set(), set(), set())
ORDER_KEY = names.ROLLOUTS_PREFIX + SERVICE
STATUS_KEY = names.ROLLOUT_STATUS_PREFIX + SERVICE
ORDER = json.dumps({"service": SERVICE, "target_version": "v2", "over_s": 12.0}).encode()

Scenario = Callable[[FleetStore, MetadataStore, str], Awaitable[None]]


def with_store(scenario: Scenario) -> None:
    """Run a scenario against an emulated store over HTTP."""

    async def main() -> None:
        emulated_store = FleetStore()
        address = f"127.0.0.1:{free_ports(1)[0]}"
        server: uvicorn.Server = make_server(emulated_store.app(), address)
        serving = asyncio.create_task(server.serve())
        while not server.started:  # noqa: ASYNC110 (uvicorn offers no event)
            await asyncio.sleep(0.01)
        session = make_store_session()
        try:
            await scenario(emulated_store, MetadataStore(address, session), address)
        finally:
            await session.close()
            server.should_exit = True
            await serving

    asyncio.run(main())


def write_order_and_duty(emulated_store: FleetStore) -> tuple[RolloutRecord, int]:
    """Write an order and a duty key; return the first record to write, and the duty's fence."""
    order = emulated_store.put(ORDER_KEY, ORDER)
    fence = emulated_store.put(rollout_duty_key(SERVICE), b"node-1")
    return RolloutRecord(SERVICE, "v2", rev(order), RolloutStage.CANARY, "ordered", ("v0",)), fence


def operator_status(emulated_store: FleetStore) -> object:
    value = emulated_store.value(STATUS_KEY)
    return json.loads(value) if value is not None else None


def test_record_and_status_are_written_together() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        record, fence = write_order_and_duty(emulated_store)
        record = replace(record, elapsed_seconds=1.5)
        revision = await store.write_rollout(record, rev(fence), True)
        assert operator_status(emulated_store) == {"state": "running", "target_version": "v2"}
        assert revision is not None
        assert await store.read_rollout(SERVICE) == replace(record, revision=revision)

    with_store(scenario)


def test_status_is_unchanged_while_traffic_shifts() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        record, fence = write_order_and_duty(emulated_store)
        revision = await store.write_rollout(record, rev(fence), True)
        assert revision is not None
        before = emulated_store.value(STATUS_KEY)
        shifting = replace(record, stage=RolloutStage.SHIFTING, revision=revision)
        revision = await store.write_rollout(shifting, rev(fence), False)
        assert revision is not None
        assert emulated_store.value(STATUS_KEY) == before
        complete = replace(record, stage=RolloutStage.COMPLETE, revision=revision)
        assert await store.write_rollout(complete, rev(fence), True) is not None
        assert operator_status(emulated_store) == {"state": "complete", "target_version": "v2"}

    with_store(scenario)


@pytest.mark.parametrize("moved", ["order", "order gone", "record", "duty", "duty gone"])
def test_nothing_is_written_if_order_record_or_duty_changed(moved: str) -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        record, fence = write_order_and_duty(emulated_store)
        if moved == "order":
            emulated_store.put(ORDER_KEY, ORDER)
        elif moved == "order gone":
            emulated_store.remove(ORDER_KEY)
        elif moved == "record":
            emulated_store.put(names.ROLLOUT_RECORDS_PREFIX + SERVICE, b"{}")
        elif moved == "duty":
            emulated_store.put(rollout_duty_key(SERVICE), b"node-2")
        else:
            emulated_store.remove(rollout_duty_key(SERVICE))
        assert await store.write_rollout(record, rev(fence), True) is None
        assert operator_status(emulated_store) is None

    with_store(scenario)


def test_missing_record_is_read_as_none() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        assert await store.read_rollout(SERVICE) is None

    with_store(scenario)


def test_condition_on_a_value_raises_instead_of_meaning_absence() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        with pytest.raises(PlatformError):
            await store.transact([ValueIs("key", b"value")], [Put("key", b"other")])
        assert emulated_store.value("key") is None

    with_store(scenario)


def test_write_with_a_condition_on_the_revision_of_a_key() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        first = emulated_store.put("key", b"1")
        assert await store.transact([RevisionIs("key", rev(first + 1))], [Put("key", b"2")]) is None
        assert await store.transact([RevisionIs("key", rev(first))], [Put("key", b"2")]) is not None

    with_store(scenario)


def test_duty_key_yields_its_holder_and_its_release() -> None:
    key = rollout_duty_key(SERVICE)
    assert to_event(StoredItem(key, rev(3), b"node-1")) == RolloutDutyHeld(SERVICE, "node-1")
    assert to_event(StoredItem(key, rev(4), None)) == RolloutDutyHeld(SERVICE, None)


def test_order_missing_from_a_newer_full_list_is_withdrawn() -> None:
    state = make_state(make_table(make_route()))
    state.apply(RolloutOrdered(RolloutOrder(SERVICE, "v2", 12.0, rev(5))), 0.0)
    state.apply(RolloutDutyHeld(SERVICE, "node-1"), 0.0)
    listed = listed_keys([ORDER_KEY, rollout_duty_key(SERVICE)])
    state.retain_rollouts(listed.rollouts, 0.0, rev(6))
    assert state.rollouts.order(SERVICE) is not None
    assert state.rollout_deciders == {SERVICE: "node-1"}
    state.retain_rollouts(NOTHING_LISTED, 0.0, rev(4))
    assert state.rollouts.order(SERVICE) is not None, "the list is older than the order"
    state.retain_rollouts(NOTHING_LISTED, 0.0, rev(6))
    assert state.rollouts.order(SERVICE) is None
    assert state.rollout_deciders == {SERVICE: None}


def test_stage_is_logged_once_for_repeated_records(
    caplog: pytest.LogCaptureFixture,
) -> None:
    state = make_state(make_table(make_route()))
    record = RolloutRecord(SERVICE, "v2", rev(5), RolloutStage.CANARY, "ordered", revision=rev(6))
    with caplog.at_level(logging.INFO):
        state.apply(RolloutRecorded(record), 0.0)
        state.apply(RolloutRecorded(replace(record, revision=rev(7), elapsed_seconds=3.0)), 0.0)
        shifting = replace(record, revision=rev(8), stage=RolloutStage.SHIFTING)
        state.apply(RolloutRecorded(shifting), 0.0)
    assert [line.message for line in caplog.records].count("rollout stage") == 2


def test_removed_order_yields_a_withdrawal() -> None:
    assert to_event(StoredItem(ORDER_KEY, rev(7), None)) == RolloutWithdrawn(SERVICE, rev(7))


async def run_rollouts_command(address: str, *options: str) -> tuple[int, str]:
    """Run ``fleet rollouts`` in a separate thread while the emulated store serves."""
    arguments = ["fleet", "rollouts", "--store", address, *options]
    result = await asyncio.to_thread(CliRunner().invoke, app, arguments)
    return result.exit_code, result.output


def test_rollouts_are_listed_with_their_reason() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        record, fence = write_order_and_duty(emulated_store)
        reverted = replace(record, stage=RolloutStage.REVERTED, reason="route r: 9 of 12 failed")
        await store.write_rollout(reverted, rev(fence), True)
        code, output = await run_rollouts_command(address)
        assert code == 0
        for text in (SERVICE, "stands", "v2", "reverted v2", "9 of 12 failed"):
            assert text in output

    with_store(scenario)


def test_record_of_an_earlier_order_is_not_listed_as_the_stage_of_the_current_one() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        record, fence = write_order_and_duty(emulated_store)
        await store.write_rollout(replace(record, stage=RolloutStage.REVERTED), rev(fence), True)
        emulated_store.put(ORDER_KEY, ORDER.replace(b"v2", b"v3"))
        code, output = await run_rollouts_command(address, "--output", "json")
        assert code == 0
        row = json.loads(output)[0]
        assert (row["target"], row["stage"], row["told"]) == ("v3", "not begun", "reverted v2")

    with_store(scenario)


def test_unavailable_store_exits_with_a_platform_error() -> None:
    async def scenario(emulated_store: FleetStore, store: MetadataStore, address: str) -> None:
        emulated_store.down = True
        code, output = await run_rollouts_command(address)
        assert code == ExitCode.PLATFORM and "503" in output

    with_store(scenario)
