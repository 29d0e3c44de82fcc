"""A software rollout with node processes and emulated runners of two versions."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from hillstack.core.version_exposure import BURST_PERIOD_SECONDS
from hillstack.emulator.fleet_runner import SoftwareFaults
from hillstack.platform import names
from hillstack.platform.bodies import RolloutRecordBody
from tests.fleet.builders import APPLICATION
from tests.fleet.deployment import Deployment, NodeProcess, deployment

OLD, NEW = "v1", "v2"
SHARE = 0.1
SLACK = 10
CALLS = 150
# Canaries are sent in bursts; the calls are spread over two periods of bursts.
PAUSE_SECONDS = 2 * BURST_PERIOD_SECONDS / CALLS

Scenario = Callable[[Deployment], Awaitable[None]]


def play(folder: Path, scenario: Scenario) -> None:
    async def main() -> None:
        async with deployment(folder) as running:
            await scenario(running)

    asyncio.run(main())


async def start(running: Deployment) -> list[NodeProcess]:
    """Start old runners and nodes, order a rollout and start the new runners."""
    for number in range(2):
        await running.add_runner(f"o-{number}", software=OLD)
    # Retries of failed canaries use the retry budget; this slack suffices for all of them.
    bounds = {"canary_share": SHARE, "canary_slack": SLACK, "retry_slack": 100.0}
    nodes = [await running.add_node(f"node-{number}", **bounds) for number in range(2)]
    running.order_rollout(APPLICATION, NEW, over_seconds=60.0)
    for number in range(2):
        await running.add_runner(f"n-{number}", software=NEW)
    return nodes


def record(running: Deployment, stage: str) -> None:
    """Write the stage of the rollout to the store, as the node that holds the duty does."""
    revision = next(
        item.rev for item in running.store._items.values() if item.key.startswith("op/rollout")
    )
    body = msgspec.json.encode(RolloutRecordBody(NEW, revision, stage))
    running.store.put(names.ROLLOUT_RECORDS_PREFIX + APPLICATION, body)


async def call_many(
    running: Deployment, nodes: list[NodeProcess], pause: float = PAUSE_SECONDS
) -> Counter[str]:
    """Send ``CALLS`` requests; count answers by first letter of the runner's name and by status."""
    answers: Counter[str] = Counter()
    for number in range(CALLS):
        answer = await running.call(nodes[number % len(nodes)], "/safe/x", f"r-{number}")
        await asyncio.sleep(pause)
        answers[f"{answer.body.decode()[:1]} {answer.status}"] += 1
    return answers


def sent_to_new(running: Deployment) -> int:
    """Return how many requests the runners of the new version have run."""
    return sum(len(runner.ran) for runner in running.runners.values() if runner.software == NEW)


def test_a_bad_version_is_bounded_and_hidden_from_callers(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        nodes = await start(running)
        for number in range(2):
            running.runners[f"n-{number}"].faults.software = SoftwareFaults(fail_share=1.0)
        await asyncio.sleep(2.0)
        answers = await call_many(running, nodes)
        assert answers == {"o 200": CALLS}
        assert 0 < sent_to_new(running) <= SHARE * CALLS + SLACK
        assert "first canary" in nodes[0].messages()
        async with running.session.get(
            f"http://127.0.0.1:{nodes[0].metrics_port}/metrics"
        ) as response:
            text = await response.text()
        labels = f'{{service="{APPLICATION}",version="{NEW}"}}'
        assert f"hillstack_canary_sends_total{labels}" in text
        assert f"hillstack_version_failures_total{labels}" in text

    play(tmp_path, scenario)


def test_traffic_follows_the_stages_of_a_rollout(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        nodes = await start(running)
        await asyncio.sleep(2.0)
        canaries = await call_many(running, nodes)
        assert canaries.keys() == {"o 200", "n 200"}
        record(running, "shifting")
        await asyncio.sleep(2.0)
        assert await call_many(running, nodes, 0.0) == {"n 200": CALLS}
        record(running, "reverted")
        await asyncio.sleep(2.0)
        assert await call_many(running, nodes, 0.0) == {"o 200": CALLS}

    play(tmp_path, scenario)
