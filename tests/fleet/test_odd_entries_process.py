"""Odd entries among those of the runners, written by another program, before real nodes."""

from __future__ import annotations

from pathlib import Path

from hillstack.platform import names
from hillstack.platform.bodies import RouteBody
from tests.fleet.builders import APPLICATION, HOST
from tests.fleet.deployment import Deployment
from tests.fleet.odd_entries import odd_values
from tests.fleet.test_node_process import play

NODES = 3


def routes(*prefixes: str) -> list[RouteBody]:
    return [
        RouteBody(prefix, HOST, f"/{prefix}/", "safe", 5_000, 400, service=APPLICATION, attempts=2)
        for prefix in prefixes
    ]


# Guards against nodes that stop following the store for good when they read one odd entry: a route
# that was added later got 404 at each node, and a node that started later served nothing.
def test_nodes_follow_the_store_beside_odd_entries(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        await running.add_runner("i-1")
        running.configure(routes=routes("first"))
        nodes = [await running.add_node(f"node-{number}") for number in range(NODES)]
        for name, value in odd_values():
            running.store.put(f"{names.RUNNERS_PREFIX}odd-{name}", value)
            running.configure(routes=routes("first", name))
            for node in nodes:
                await running.call_until(node, f"/{name}/x", 200)
        late = await running.add_node("late")
        assert (await running.call(late, "/first/x")).status == 200
        for node in (*nodes, late):
            assert "background task failed" not in node.messages()
            assert node.process.poll() is None

    play(tmp_path, scenario)


# Guards against an entry that is read as a runner's although no runner wrote it.
def test_odd_entries_list_no_runner(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        await running.add_runner("i-1")
        node = await running.add_node("node-0")
        for name, value in odd_values():
            running.store.put(f"{names.RUNNERS_PREFIX}odd-{name}", value)
        running.configure(routes=routes("last"))
        await running.call_until(node, "/last/x", 200)
        listed = [line["runner"] for line in node.log() if line["message"] == "runner listed"]
        assert listed == ["i-1"]

    play(tmp_path, scenario)
