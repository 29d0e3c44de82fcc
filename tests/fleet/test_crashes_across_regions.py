"""Limits the runners that one request crashes when its tries reach nodes of several regions.

Notices between regions arrive 20 to 80 ms late, or are lost while the regions are cut off from each
other. The tests guard against callers whose streams break because one request crashed four runners.
"""

from __future__ import annotations

import gc

import pytest

from tests.fleet.fatal_world import NOTICE_SECONDS, Node, World

# Most runners that a request may crash while some nodes can't know of the crash before.
MAX_CRASHES = 3
BODY = b"fatal 1"
REGIONS = 2
STORE_REGION = 0
NODES = 6
RUNNERS = 12
# Time in which a try and its notices are over.
TRY_SECONDS = 2.5


class RegionsWorld(World):
    """Nodes of two regions, between which notices are late.

    Args:
        delay: One-way latency between the regions, in seconds.

    Attributes:
        is_cut: Whether notices between the regions are lost.
    """

    def __init__(self, delay: float) -> None:
        super().__init__(RUNNERS, NODES)
        self._delay = delay
        self.is_cut = False

    def notice_seconds(self, source: str, node: Node) -> float | None:
        if _region_of(source) == _region_of(node.state.node_id):
            return NOTICE_SECONDS
        return None if self.is_cut else self._delay

    def reaches_store(self, name: str) -> bool:
        return not self.is_cut or _region_of(name) == STORE_REGION

    def is_isolated(self, name: str) -> bool:
        return self.is_cut

    def send_at_all_nodes(self) -> None:
        """Send the request at all nodes at the same moment."""
        for name in self.nodes:
            self.send(name, BODY)
        self.run(TRY_SECONDS)

    def wait_for_crashes(self, count: int) -> None:
        """Run until the request has crashed some runners."""
        while self.runners.crash_count(BODY) < count:
            self.run(0.005)

    def final_crash_count(self) -> int:
        """Return how many runners the request has crashed, and end the world.

        The world's coroutines are freed here: the interpreter fails if that happens while pytest
        parses the source of a failed assertion.
        """
        count = self.runners.crash_count(BODY)
        self.scheduler.close()
        self.nodes.clear()
        gc.collect()
        return count


def _region_of(node_id: str) -> int:
    return int(node_id.rpartition("-")[2]) % REGIONS


@pytest.mark.parametrize("delay", [0.02, 0.04, 0.08])
@pytest.mark.parametrize("crashes_before", [1, 2])
@pytest.mark.parametrize("pause", [0.0, 0.05, 0.2, 1.0])
def test_simultaneous_tries_in_two_regions_crash_at_most_three_runners(
    delay: float, crashes_before: int, pause: float
) -> None:
    world = RegionsWorld(delay)
    world.send("node-0", BODY)
    world.wait_for_crashes(crashes_before)
    world.run(pause)
    for _ in range(3):
        world.send_at_all_nodes()
    assert world.final_crash_count() <= MAX_CRASHES


@pytest.mark.parametrize("delay", [0.02, 0.04, 0.08])
@pytest.mark.parametrize("tries", [2, 6])
@pytest.mark.parametrize("pause", [0.0, 0.02, 0.04, 0.1])
def test_overlapping_first_tries_in_two_regions_crash_at_most_three_runners(
    delay: float, tries: int, pause: float
) -> None:
    world = RegionsWorld(delay)
    for number in range(tries):
        world.send(f"node-{number}", BODY)
        world.run(pause)
    world.run(TRY_SECONDS)
    assert world.final_crash_count() <= MAX_CRASHES


@pytest.mark.parametrize("crashes_before", [0, 1])
def test_regions_cut_off_from_each_other_crash_at_most_three_runners(crashes_before: int) -> None:
    world = RegionsWorld(0.04)
    if crashes_before:
        world.send("node-0", BODY)
        world.wait_for_crashes(crashes_before)
        world.run(0.05)
    world.is_cut = True
    for _ in range(3):
        for name in ("node-0", "node-1"):
            world.try_until_done(name, BODY)
            world.run(TRY_SECONDS)
    assert world.final_crash_count() <= MAX_CRASHES


@pytest.mark.parametrize("reporter", ["node-1", "node-2", "node-3"])
def test_a_new_node_that_has_heard_of_one_peer_refuses_a_fatal_request(reporter: str) -> None:
    """The new node knows the crashes under the request from any single peer.

    Guards against a fourth crash: the new node knew two of three crashes, which had come together.
    """
    world = RegionsWorld(0.0)
    world.send("node-0", BODY)
    world.run(0.11)
    world.send("node-1", BODY)
    world.run(TRY_SECONDS)
    crashes = world.runners.crash_count(BODY)
    world.add_node("node-9")
    world.nodes[reporter].pipeline.runner_crashes.send_initial_state("node-9")
    world.run(0.01)
    world.try_until_done("node-9", BODY)
    assert world.final_crash_count() == crashes
