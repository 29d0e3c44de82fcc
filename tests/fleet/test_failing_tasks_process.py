"""Real nodes in which a background task fails, or an item of the store can't be applied."""

from __future__ import annotations

from pathlib import Path

import aiohttp
import pytest

from tests.fleet.deployment import Deployment, NodeProcess, until
from tests.fleet.faulty_main import FAULT_FILE_VARIABLE, FAULTY_MAIN, ODD_RUNNER
from tests.fleet.test_node_process import play
from tests.fleet.test_odd_entries_process import routes


@pytest.fixture
def fault_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    path = tmp_path / "fault"
    monkeypatch.setenv(FAULT_FILE_VARIABLE, str(path))
    return path


async def add_faulty_node(running: Deployment) -> NodeProcess:
    return await running.add_node("node-0", main=FAULTY_MAIN)


async def metric(running: Deployment, node: NodeProcess, name: str) -> float:
    url = f"http://127.0.0.1:{node.metrics_port}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        lines = (await response.text()).splitlines()
    return next((float(line.split()[-1]) for line in lines if line.startswith(name)), 0.0)


# Guards against a node that passes its readiness check for good though it no longer follows the
# store, and against one that ends: the next process would meet the same store.
def test_a_node_that_cannot_follow_the_store_is_not_ready_until_it_can(
    tmp_path: Path, fault_file: Path
) -> None:
    async def scenario(running: Deployment) -> None:
        await running.add_runner("i-1")
        node = await add_faulty_node(running)
        fault_file.touch()
        await running.wait_ready(node, 503)
        running.configure(routes=routes("added"))
        fault_file.unlink()
        await running.call_until(node, "/added/x", 200)
        await running.wait_ready(node, 200)
        failed = [line for line in node.log() if line["message"] == "background task failed"]
        assert {line["task"] for line in failed} == {"store_sync"}
        name = 'hillstack_background_task_failures_total{task="store_sync"}'
        assert await metric(running, node, name) == len(failed)
        assert node.process.poll() is None

    play(tmp_path, scenario)


# Guards against one entry that keeps a node from applying all others.
def test_an_entry_that_cannot_be_applied_affects_no_other(tmp_path: Path, fault_file: Path) -> None:
    async def scenario(running: Deployment) -> None:
        await running.add_runner(ODD_RUNNER)
        await running.add_runner("i-1")
        node = await add_faulty_node(running)
        assert (await running.call(node, "/safe/x")).status == 200
        running.list_runner(ODD_RUNNER)
        running.configure(routes=routes("added"))
        await running.call_until(node, "/added/x", 200)
        await until(lambda: "item not applied" in node.messages(), "the item is reported")
        assert "background task failed" not in node.messages()
        assert await running.readiness(node) == 200

    play(tmp_path, scenario)
