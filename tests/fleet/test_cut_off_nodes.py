"""Nodes that are cut off from runners which their peers reach, as real processes."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.fleet.cut_off_nodes import CutDeployment, count_served, cut_deployment
from tests.fleet.deployment import until
from tests.processes.node_cuts import CutKind

# Share of first tries that is served at nodes that are cut off from runners, and at the others.
TARGET_SHARE = 0.95
TRIES_AT_CUT_NODES = 40
FOUR_NODES = ("zone-a", "zone-a", "zone-b", "zone-b")


async def play_cut(cut: CutDeployment, count: int, kind: CutKind) -> None:
    """Cut off the first nodes until enough first tries have been answered there."""
    nodes = cut.running.nodes[:count]
    async with cut.callers():
        await asyncio.sleep(1.0)
        with cut.cut(nodes, kind):
            await until(
                lambda: len(cut.since_contact(nodes)) >= TRIES_AT_CUT_NODES, "tries at cut nodes"
            )


def check_cut(folder: Path, count: int, kind: CutKind) -> None:
    """Play a cut of the first nodes of four, and check what the callers of all nodes get."""

    async def run() -> None:
        async with cut_deployment(folder, FOUR_NODES) as cut:
            await play_cut(cut, count, kind)
            nodes = cut.running.nodes
            at_cut, elsewhere = cut.since_contact(nodes[:count]), cut.since_contact(nodes[count:])
            shares = [count_served(tries) / len(tries) for tries in (at_cut, elsewhere)]
            assert min(shares) >= TARGET_SHARE, shares
            runs = cut.run_counts()
            unsafe = [each for each in cut.tries if each.path.startswith("/once/")]
            assert all(runs[each.request_id] <= 1 for each in unsafe)
            refused = [each for each in unsafe if each.status == 503]
            assert not any(runs[each.request_id] for each in refused)

    asyncio.run(run())


# Guards against a node that serves nothing while its connections to runners hang, although its
# peers reach the runners.
def test_nodes_whose_connections_to_runners_hang_serve_as_often_as_the_others(
    tmp_path: Path,
) -> None:
    check_cut(tmp_path, 2, CutKind.HANG)


# Guards against the same with reset connections, which also look like crashes of all runners.
def test_nodes_whose_connections_to_runners_are_reset_serve_as_often_as_the_others(
    tmp_path: Path,
) -> None:
    check_cut(tmp_path, 3, CutKind.RESET)
