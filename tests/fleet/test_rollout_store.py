"""What is written to the store of a rollout, on which conditions, and what a person is shown."""

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
    """Play a scenario with the stand-in of the store, over HTTP."""

    async def play() -> None:
        stand_in = FleetStore()
        address = f"127.0.0.1:{free_ports(1)[0]}"
        server: uvicorn.Server = make_server(stand_in.app(), address)
        serving = asyncio.create_task(server.serve())
        while not server.started:  # noqa: ASYNC110 (uvicorn offers no event)
            await asyncio.sleep(0.01)
        session = make_store_session()
        try:
            await scenario(stand_in, MetadataStore(address, session), address)
        finally:
            await session.close()
            server.should_exit = True
            await serving

    asyncio.run(play())


def begin(stand_in: FleetStore) -> tuple[RolloutRecord, int]:
    """Put an order and a duty; return the first record to write, and the fence."""
    order = stand_in.put(ORDER_KEY, ORDER)
    fence = stand_in.put(rollout_duty_key(SERVICE), b"node-1")
    return RolloutRecord(SERVICE, "v2", rev(order), RolloutStage.CANARY, "ordered", ("v0",)), fence


def told(stand_in: FleetStore) -> object:
    value = stand_in.value(STATUS_KEY)
    return json.loads(value) if value is not None else None


def test_record_and_status_are_written_together() -> None:
    async def scenario(stand_in: FleetStore, store: MetadataStore, address: str) -> None:
        record, fence = begin(stand_in)
        record = replace(record, elapsed_seconds=1.5)
        revision = await store.write_rollout(record, rev(fence), True)
        assert told(stand_in) == {"state": "running", "target_version": "v2"}
        assert revision is not None
        assert await store.read_rollout(SERVICE) == replace(record, revision=revision)

    with_store(scenario)


def test_the_status_stays_while_the_traffic_shifts() -> None:
    async def scenario(stand_in: FleetStore, store: MetadataStore, address: str) -> None:
        record, fence = begin(stand_in)
        revision = await store.write_rollout(record, rev(fence), True)
        assert revision is not None
        before = stand_in.value(STATUS_KEY)
        shifting = replace(record, stage=RolloutStage.SHIFTING, revision=revision)
        revision = await store.write_rollout(shifting, rev(fence), False)
        assert revision is not None
        assert stand_in.value(STATUS_KEY) == before
        complete = replace(record, stage=RolloutStage.COMPLETE, revision=revision)
        assert await store.write_rollout(complete, rev(fence), True) is not None
        assert told(stand_in) == {"state": "complete", "target_version": "v2"}

    with_store(scenario)


@pytest.mark.parametrize("moved", ["order", "order gone", "record", "duty", "duty gone"])
def test_nothing_is_written_once_what_it_rests_on_has_moved(moved: str) -> None:
    async def scenario(stand_in: FleetStore, store: MetadataStore, address: str) -> None:
        record, fence = begin(stand_in)
        if moved == "order":
            stand_in.put(ORDER_KEY, ORDER)
        elif moved == "order gone":
            stand_in.remove(ORDER_KEY)
        elif moved == "record":
            stand_in.put(names.ROLLOUT_RECORDS_PREFIX + SERVICE, b"{}")
        elif moved == "duty":
            stand_in.put(rollout_duty_key(SERVICE), b"node-2")
        else:
            stand_in.remove(rollout_duty_key(SERVICE))
        assert await store.write_rollout(record, rev(fence), True) is None
        assert told(stand_in) is None

    with_store(scenario)


def test_a_service_without_a_record_has_none() -> None:
    async def scenario(stand_in: FleetStore, store: MetadataStore, address: str) -> None:
        assert await store.read_rollout(SERVICE) is None

    with_store(scenario)


def test_a_condition_on_a_value_is_an_error_not_taken_for_absence() -> None:
    async def scenario(stand_in: FleetStore, store: MetadataStore, address: str) -> None:
        with pytest.raises(PlatformError):
            await store.transact([ValueIs("key", b"value")], [Put("key", b"other")])
        assert stand_in.value("key") is None

    with_store(scenario)


def test_a_write_on_the_revision_of_a_key() -> None:
    async def scenario(stand_in: FleetStore, store: MetadataStore, address: str) -> None:
        first = stand_in.put("key", b"1")
        assert await store.transact([RevisionIs("key", rev(first + 1))], [Put("key", b"2")]) is None
        assert await store.transact([RevisionIs("key", rev(first))], [Put("key", b"2")]) is not None

    with_store(scenario)


def test_the_holder_of_a_duty_is_heard_and_its_end() -> None:
    key = rollout_duty_key(SERVICE)
    assert to_event(StoredItem(key, rev(3), b"node-1")) == RolloutDutyHeld(SERVICE, "node-1")
    assert to_event(StoredItem(key, rev(4), None)) == RolloutDutyHeld(SERVICE, None)


def test_an_order_that_a_whole_list_no_longer_has_stands_no_more() -> None:
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


def test_a_stage_is_logged_once_however_often_its_record_is_written(
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


def test_a_withdrawn_order_is_heard() -> None:
    assert to_event(StoredItem(ORDER_KEY, rev(7), None)) == RolloutWithdrawn(SERVICE, rev(7))


async def show(address: str, *options: str) -> tuple[int, str]:
    """Run the command in a thread of its own, beside the stand-in."""
    arguments = ["fleet", "rollouts", "--store", address, *options]
    result = await asyncio.to_thread(CliRunner().invoke, app, arguments)
    return result.exit_code, result.output


def test_rollouts_are_shown_with_their_reason() -> None:
    async def scenario(stand_in: FleetStore, store: MetadataStore, address: str) -> None:
        record, fence = begin(stand_in)
        reverted = replace(record, stage=RolloutStage.REVERTED, reason="route r: 9 of 12 failed")
        await store.write_rollout(reverted, rev(fence), True)
        code, output = await show(address)
        assert code == 0
        for text in (SERVICE, "stands", "v2", "reverted v2", "9 of 12 failed"):
            assert text in output

    with_store(scenario)


def test_a_record_of_an_earlier_order_is_not_shown_as_the_stage_of_this_one() -> None:
    async def scenario(stand_in: FleetStore, store: MetadataStore, address: str) -> None:
        record, fence = begin(stand_in)
        await store.write_rollout(replace(record, stage=RolloutStage.REVERTED), rev(fence), True)
        stand_in.put(ORDER_KEY, ORDER.replace(b"v2", b"v3"))
        code, output = await show(address, "--output", "json")
        assert code == 0
        row = json.loads(output)[0]
        assert (row["target"], row["stage"], row["told"]) == ("v3", "not begun", "reverted v2")

    with_store(scenario)


def test_a_store_that_is_down_is_an_error_of_the_platform() -> None:
    async def scenario(stand_in: FleetStore, store: MetadataStore, address: str) -> None:
        stand_in.down = True
        code, output = await show(address)
        assert code == ExitCode.PLATFORM and "503" in output

    with_store(scenario)
