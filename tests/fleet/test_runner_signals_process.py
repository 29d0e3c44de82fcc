"""Signals in the answers of runners, with node processes and an emulated store.

Guards against nodes that read only the status of an answer and whether the request has run:

- They learnt from the store alone that a runner leaves. While the store was unavailable for 12 s,
  requests reached an application server up to 4.1 s after one of its answers had told the same node
  that the server leaves, where 2 s are allowed.
- A refused request kept further ones away for 0.12 s, whatever backoff the refusal had asked for.
  An overloaded engine that had asked a node for 3 s of backoff got up to 5 more requests from that
  node in that time, more than 0.12 s apart, where two are allowed: an engine that refuses
  everything runs nothing and so looks like the best choice. Its refusals used up the node's retry
  budget, so requests were refused that other engines could have served.

The log of a node states the signals of a runner, their source and their age with each attempt that
is sent in spite of them.
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
# All calls together take longer than any pause that follows a refusal without a backoff.
CALL_PAUSE_SECONDS = 0.03
# Longer than a test takes.
BACKOFF_SECONDS = 120.0
# How many requests may reach a runner during a backoff that it asked for.
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
    """Return the runner that a node prefers: it is connected, or has the prompt in its cache."""
    for number in range(WARM_UP_CALLS):
        await running.call(node, path, f"warm-up-{number}")
    return max(runners, key=lambda runner: len(runner.arrived))


def test_a_runner_that_signals_its_leave_gets_no_more_requests(tmp_path: Path) -> None:
    """The store is unavailable, so that the node can learn of the leave from answers only."""

    async def scenario(running: Deployment) -> None:
        runners = [await running.add_runner(name) for name in ("i-1", "i-2")]
        node = await running.add_node("node-1")
        leaving = await preferred(running, node, runners, "/safe/x")
        (other,) = (runner for runner in runners if runner is not leaving)
        served_before = len(leaving.ran) + len(other.ran)
        running.store.down = True
        leaving.faults.leaving = True
        answers_with_signal: list[str] = []
        for number in range(CALLS):
            request_id = f"r-{number}"
            answer = await running.call(node, "/safe/x", request_id)
            assert answer.status == 200
            if names.LEAVING in answer.headers:
                answers_with_signal.append(request_id)
            await asyncio.sleep(CALL_PAUSE_SECONDS)
        assert len(answers_with_signal) == 1, "no answer with the signal after the first one"
        assert leaving.ran[-1] == answers_with_signal[0]
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
    """One of three runners refuses every request and asks for a backoff."""

    async def scenario(running: Deployment) -> None:
        runners = [await running.add_runner(f"i-{number}", service) for number in range(3)]
        # A process earns its part of the slack with time; this one suffices soon.
        node = await running.add_node("node-1", retry_slack=1_000.0)
        refusing = await preferred(running, node, runners, path)
        refusing.faults.refuse_requests = True
        refusing.faults.backoff_seconds = BACKOFF_SECONDS
        before = len(refusing.arrived)
        statuses = await send_calls(running, node, path)
        first, *later = refusing.arrived[before:]
        assert first, "it got one request"
        assert len(later) <= ALLOWED_IN_A_BACKOFF
        assert statuses == [200] * CALLS

    play(tmp_path, scenario)
