"""Software rollouts decided by node processes, with an emulated store."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from hillstack.platform import names
from hillstack.platform.bodies import RolloutOrderBody, RolloutStatusBody
from hillstack.platform.rollouts import rollout_duty_key
from tests.fleet.builders import APPLICATION
from tests.fleet.deployment import Deployment, NodeProcess, deployment, until

Scenario = Callable[[Deployment], Awaitable[None]]


def play(folder: Path, scenario: Scenario) -> None:
    async def main() -> None:
        async with deployment(folder) as running:
            await scenario(running)

    asyncio.run(main())


def order(running: Deployment, over_seconds: float) -> None:
    """Write the order of a rollout to the store."""
    body = msgspec.json.encode(RolloutOrderBody(APPLICATION, "v2", over_seconds))
    running.store.put(names.ROLLOUTS_PREFIX + APPLICATION, body)


def status(running: Deployment) -> str | None:
    """Return the state that was written for the operator."""
    value = running.store.value(names.ROLLOUT_STATUS_PREFIX + APPLICATION)
    return msgspec.json.decode(value, type=RolloutStatusBody).state if value else None


def holder(running: Deployment) -> NodeProcess | None:
    """Return the node that holds the duty of the rollout."""
    value = running.store.value(rollout_duty_key(APPLICATION))
    return next((n for n in running.nodes if value and n.name == value.decode()), None)


def test_a_version_without_evidence_is_reverted_in_time(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        await running.add_runner("i-1")
        node = await running.add_node("node-1")
        order(running, 4.0)
        await until(lambda: status(running) == "running", "the rollout is reported as running")
        await until(lambda: status(running) == "reverted", "the rollout is reverted")
        await until(lambda: holder(running) is None, "the duty is released")
        assert "rollout step" in node.messages()
        assert "background task failed" not in node.messages()
        assert "rollout task failed" not in node.messages()

    play(tmp_path, scenario)


def test_another_node_decides_when_the_holder_is_killed(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        await running.add_runner("i-1")
        for name in ("node-1", "node-2"):
            await running.add_node(name)
        order(running, 8.0)
        await until(lambda: status(running) == "running", "the rollout is reported as running")
        first = holder(running)
        assert first is not None
        running.send_signal(first, signal.SIGKILL)
        await until(lambda: holder(running) not in (None, first), "the other holds the duty")
        await until(lambda: status(running) == "reverted", "the rollout is reverted")

    play(tmp_path, scenario)


def test_a_holder_that_stops_releases_the_duty_to_another_node(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        await running.add_runner("i-1")
        for name in ("node-1", "node-2"):
            await running.add_node(name)
        order(running, 10.0)
        await until(lambda: status(running) == "running", "the rollout is reported as running")
        first = holder(running)
        assert first is not None
        running.send_signal(first)
        assert await running.wait_for_exit(first) == 0
        assert holder(running) is not first
        await until(lambda: status(running) == "reverted", "the rollout is reverted")

    play(tmp_path, scenario)
