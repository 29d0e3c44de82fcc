"""The soak's checks of fatal requests and of software rollouts."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random

import msgspec
import pytest

from hillstack.emulator.fleet_runner import SoftwareFaults
from hillstack.platform import names
from hillstack.platform.bodies import RolloutStatusBody
from tests.fleet.builders import APPLICATION
from tests.processes.fault_proxy import FaultProxy
from tests.soak import fatal_requests
from tests.soak.fatal_requests import FatalRequests
from tests.soak.observations import (
    CallerRequest,
    Disturbance,
    Observations,
    Rollout,
    Run,
    RunnerCrash,
)
from tests.soak.promises import find_violations
from tests.soak.software import CANARY_SLACK, FIRST_VERSION, Software, StatusRecordingStore

ENDS = [RunnerCrash("fatal.1", f"i-{number}", 10.0 + number) for number in range(4)]
AWAY = Disturbance("node-1", 10.5, 11.0)
GOOD = Rollout(APPLICATION, "v2", 10.0, 20.0, False, ["running", "complete"], decided_at=18.0)
BAD = replace(GOOD, is_bad=True, states=["running", "reverted"])


@pytest.mark.parametrize(
    ("ends", "troubles", "is_broken"),
    [
        (ENDS[:2], [], False),
        (ENDS[:3], [], True),
        (ENDS[:3], [AWAY], False),
        (ENDS[:3], [replace(AWAY, planned=True)], False),
        (ENDS[:3], [Disturbance("node-1", 1.0, 6.0)], True),
        (ENDS[:3], [Disturbance("i-0", 10.5)], True),
        (ENDS[:4], [AWAY], True),
        ([*ENDS[:2], RunnerCrash("fatal.2", "i-2", 12.0)], [], False),
    ],
)
def test_a_request_that_ends_too_many_runners_is_found(
    ends: list[RunnerCrash], troubles: list[Disturbance], is_broken: bool
) -> None:
    violations = find_violations(Observations(runner_ends=ends, troubles=troubles))
    assert ["fatal.1: ended" in each for each in violations] == [True] * is_broken


@pytest.mark.parametrize(
    ("rollout", "text"),
    [
        (GOOD, ""),
        (BAD, ""),
        (replace(GOOD, states=["complete"]), ""),
        (replace(BAD, states=["running", "complete"]), "bad, and complete"),
        (replace(GOOD, states=["running", "reverted", "reverted"]), "was told"),
        (replace(GOOD, states=["running", "complete", "reverted"]), "was told"),
        (replace(GOOD, states=["running", "running", "complete"]), "was told"),
        (replace(GOOD, states=["complete", "running"]), "was told"),
        (replace(GOOD, states=["running"], decided_at=float("inf")), "not decided"),
    ],
)
def test_a_rollout_with_wrong_states_is_found(rollout: Rollout, text: str) -> None:
    violations = find_violations(Observations(rollouts={"v2": rollout}))
    assert [text in each for each in violations] == [True] * bool(text)


def exposed(count: int, began_at: float = 12.0) -> list[str]:
    """Return the violations found when a bad version gets ``count`` of 100 requests."""
    ids = [f"r-{number}" for number in range(100)]
    sent = [CallerRequest(each, "safe", "node-1", "key-1", 12.0, 500) for each in ids]
    runs = [Run(each, "i-9", began_at) for each in ids[:count]]
    return find_violations(Observations(sent, runs, rollouts={"v2": BAD}, software={"i-9": "v2"}))


def test_a_bad_version_that_gets_more_than_its_share_is_found() -> None:
    most = 10 + int(CANARY_SLACK)
    assert exposed(most) == []
    assert "bad, and got 21 of 100" in exposed(most + 1)[0]
    assert exposed(most + 1, began_at=20.5) == []


@pytest.mark.parametrize(
    ("troubles", "is_broken"),
    [
        ([], True),
        ([Disturbance("node-1", 12.0, 13.0)], False),
        ([Disturbance("store", 12.0, 13.0)], False),
        ([Disturbance("node-2", 12.0, 13.0)], True),
        ([Disturbance("node-1", 1.0, 5.0)], True),
    ],
)
def test_a_stream_that_a_completion_cuts_is_found(
    troubles: list[Disturbance], is_broken: bool
) -> None:
    sent = CallerRequest("r-1", "stream", "node-1", "key-1", 12.0)
    rollouts = {"v2": replace(GOOD, old_streams=["r-1"])}
    violations = find_violations(Observations([sent], troubles=troubles, rollouts=rollouts))
    assert ["completion cut r-1" in each for each in violations] == [True] * is_broken


def test_rollout_states_reported_to_the_operator_are_recorded() -> None:
    rollouts = {"v2": replace(GOOD, states=[], decided_at=float("inf"))}
    store = StatusRecordingStore(rollouts)
    for state in ("running", "reverted"):
        body = msgspec.json.encode(RolloutStatusBody(state, "v2"))
        store.put(names.ROLLOUT_STATUS_PREFIX + APPLICATION, body)
    assert rollouts["v2"].states == ["running", "reverted"]
    assert rollouts["v2"].decided_at < float("inf")


def test_a_runner_starts_with_the_ordered_or_the_current_version() -> None:
    software = Software()
    faults = SoftwareFaults(fail_share=0.5)
    target = software.order(APPLICATION, faults)
    assert software.version_for_start(APPLICATION, target) == target
    assert software.faults(target) == faults
    software.finish_rollout(APPLICATION, complete=False)
    assert software.version_for_start(APPLICATION, target) == FIRST_VERSION
    target = software.order(APPLICATION, SoftwareFaults())
    software.finish_rollout(APPLICATION, complete=True)
    assert software.version_for_start(APPLICATION, FIRST_VERSION) == target


def test_tries_of_a_fatal_request_share_their_name() -> None:
    fatal = FatalRequests("key")
    rng = Random(1)
    assert fatal.draw(rng) is None
    request = fatal.add("safe")
    drawn = [fatal.draw(rng) for _ in range(200)]
    assert {each for each in drawn if each} == {request} and None in drawn
    assert fatal_requests.fatal_name_of(f"{request.name}-7f-12") == request.name
    assert fatal_requests.fatal_name_of("safe-7f-12") == ""


def test_a_closed_address_resets_its_connections_and_refuses_new_ones() -> None:
    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while piece := await reader.read(100):
            writer.write(piece)
        writer.close()

    async def play(proxy: FaultProxy) -> None:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        address = await asyncio.to_thread(proxy.front, "echo", f"127.0.0.1:{port}")
        host, _, front = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(front))
        writer.write(b"a")
        assert await reader.read(1) == b"a"
        proxy.close_address("echo")
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
        with pytest.raises(OSError):
            again, _ = await asyncio.open_connection(host, int(front))
            await again.read(1)
        writer.close()
        server.close()

    proxy = FaultProxy()
    try:
        asyncio.run(play(proxy))
    finally:
        proxy.close()


def test_varied_requests_may_crash_three_runners_long_after_the_third_crash() -> None:
    ends = [RunnerCrash("fatal.varied.1", f"i-{number}", 10.0 * number) for number in range(6)]
    assert not find_violations(Observations(runner_ends=ends))
    more = [*ends, RunnerCrash("fatal.varied.1", "i-9", 70.0)]
    assert find_violations(Observations(runner_ends=more))
