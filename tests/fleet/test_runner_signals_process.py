"""What runners say of themselves in their answers, before the real daemon and stand-ins.

Seen: requests reached an application server up to 4.1 s after one of its answers had told the
same node that it leaves, where 2 s are allowed; and an overloaded engine that had asked a node for
3 s of rest got up to 5 more requests from it in that time, where two are allowed. Its refusals used
up the node's retry budget, so requests were refused that other engines could have served.

How it came about: in the first case the store was away, so that no entry could tell of the leave
for 12 s. In the second an engine that refuses everything runs nothing, and so looks like the best
choice.

Cause: of an answer only the status, and whether the request had run, were read. That a runner
leaves was known from the store alone, and a refused request kept others away for 0.12 s, whatever
rest the refusal had asked for.

What proved it: requests went on at the pace of before, at every node, as first tries and as
repeats, more than 0.12 s apart, and ended with the store's word on the leave. In the tests below
the node's log holds the words, their source and their age beside each attempt that is sent all the
same.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from hillstack.emulator.fleet_runner import FleetRunner
from hillstack.platform import names
from tests.fleet.builders import APPLICATION, ENGINES
from tests.fleet.deployment import Deployment, NodeProcess
from tests.fleet.test_node_process import play

WARM_UP_CALLS = 3
CALLS = 60
# Calls that follow one another for longer than any pause that a refusal alone brings.
CALL_PAUSE_SECONDS = 0.03
# Longer than the test takes.
BACKOFF_SECONDS = 120.0
# So many requests may reach a runner in a backoff that it asked for.
ALLOWED_IN_A_BACKOFF = 2


async def send_calls(running: Deployment, node: NodeProcess, path: str) -> list[int]:
    """Send requests one after the other; return their statuses."""
    statuses: list[int] = []
    for number in range(CALLS):
        answer = await running.call(node, path, f"r-{number}")
        statuses.append(answer.status)
        await asyncio.sleep(CALL_PAUSE_SECONDS)
    return statuses


async def preferred(
    running: Deployment, node: NodeProcess, runners: list[FleetRunner], path: str
) -> FleetRunner:
    """Return the runner to which a node sends by choice: it is connected, or keeps the prompt."""
    for number in range(WARM_UP_CALLS):
        await running.call(node, path, f"warm-up-{number}")
    return max(runners, key=lambda runner: len(runner.arrived))


def test_a_runner_that_says_that_it_leaves_gets_no_more_requests(tmp_path: Path) -> None:
    """The store is away, so that its word on the leave can't come."""

    async def scenario(running: Deployment) -> None:
        runners = [await running.add_runner(name) for name in ("i-1", "i-2")]
        node = await running.add_node("node-1")
        leaving = await preferred(running, node, runners, "/safe/x")
        (other,) = (runner for runner in runners if runner is not leaving)
        served_before = len(leaving.ran) + len(other.ran)
        running.store.down = True
        leaving.faults.leaving = True
        told: list[str] = []
        for number in range(CALLS):
            request_id = f"r-{number}"
            answer = await running.call(node, "/safe/x", request_id)
            assert answer.status == 200
            if names.LEAVING in answer.headers:
                told.append(request_id)
            await asyncio.sleep(CALL_PAUSE_SECONDS)
        assert len(told) == 1, "answers that say so after the first one"
        assert leaving.ran[-1] == told[0]
        assert len(leaving.ran) + len(other.ran) == served_before + CALLS

    play(tmp_path, scenario)


@pytest.mark.parametrize(
    ("service", "path"),
    [
        pytest.param(APPLICATION, "/safe/x", id="application"),
        pytest.param(ENGINES, "/stream/x", id="engine"),
    ],
)
def test_a_runner_that_asks_for_a_backoff_gets_it(tmp_path: Path, service: str, path: str) -> None:
    """One of three runners turns everything away."""

    async def scenario(running: Deployment) -> None:
        runners = [await running.add_runner(f"i-{number}", service) for number in range(3)]
        node = await running.add_node("node-1")
        refusing = await preferred(running, node, runners, path)
        refusing.faults.shed = True
        refusing.faults.backoff_seconds = BACKOFF_SECONDS
        before = len(refusing.arrived)
        statuses = await send_calls(running, node, path)
        first, *later = refusing.arrived[before:]
        assert first, "it was asked once"
        assert len(later) <= ALLOWED_IN_A_BACKOFF
        assert statuses == [200] * CALLS

    play(tmp_path, scenario)
