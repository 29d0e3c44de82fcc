"""The retry budget over the lives of nodes, in virtual time."""

from __future__ import annotations

import itertools

import pytest

from tests.fleet.repeat_window import RepeatBound
from tests.fleet.retry_traffic import RetryTraffic

BOUND = RepeatBound(ratio=0.2, slack=28.0, window=10.0)
SEEDS = range(4)
STEADY_SECONDS = 30.0


def assert_bound(traffic: RetryTraffic) -> None:
    worst = traffic.worst()
    assert worst.excess <= 0, f"{worst}"
    assert traffic.repeated


# Guards against a slack of the retry budget that each process of a node has anew.
def test_nodes_killed_in_series_keep_to_the_budget() -> None:
    loads = [(2, 12.0), (3, 6.0), (4, 20.0), (8, 60.0)]
    for (nodes, per_second), seed in itertools.product(loads, SEEDS):
        traffic = RetryTraffic(BOUND, nodes, seed)
        for number in itertools.islice(itertools.cycle(range(nodes)), 20):
            traffic.send(per_second, 1.5)
            traffic.kill(f"node-{number}")
        assert_bound(traffic)


# Guards against requests that a process counted for its retries, and its successor counts again.
def test_nodes_killed_together_keep_to_the_budget() -> None:
    for per_second, seed in itertools.product([12.0, 60.0, 200.0], SEEDS):
        traffic = RetryTraffic(BOUND, 4, seed)
        traffic.fails_from = traffic.now + STEADY_SECONDS
        traffic.send(per_second, STEADY_SECONDS)
        for _ in range(4):
            traffic.send(per_second, 2.0)
            for name in list(traffic.nodes):
                traffic.kill(name)
        traffic.send(per_second, 10.0)
        assert_bound(traffic)


@pytest.mark.parametrize("seed", SEEDS)
def test_nodes_that_are_replaced_keep_to_the_budget(seed: int) -> None:
    traffic = RetryTraffic(BOUND, 4, seed)
    for number in range(12):
        traffic.send(20.0, 1.5)
        traffic.replace(f"node-{number}", f"node-{number + 4}")
    assert_bound(traffic)


@pytest.mark.parametrize("seed", SEEDS)
def test_nodes_that_are_added_keep_to_the_budget(seed: int) -> None:
    traffic = RetryTraffic(BOUND, 2, seed)
    for number in range(12):
        traffic.send(20.0, 1.5)
        traffic.add(f"node-{number + 2}")
    assert_bound(traffic)


@pytest.mark.parametrize("seed", SEEDS)
def test_nodes_that_their_peers_do_not_know_yet_keep_to_the_budget(seed: int) -> None:
    traffic = RetryTraffic(BOUND, 2, seed)
    for number in range(6):
        traffic.start(f"node-{number + 2}", traffic.now)
        traffic.send(20.0, 3.0)
        traffic.listed += 1
        for budget in traffic.nodes.values():
            budget.set_node_count(traffic.listed)
        traffic.send(20.0, 2.0)
    assert_bound(traffic)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("nodes", [1, 4])
def test_nodes_keep_to_the_budget_when_traffic_falls(nodes: int, seed: int) -> None:
    traffic = RetryTraffic(BOUND, nodes, seed)
    traffic.fails_from = traffic.now + STEADY_SECONDS - 1.0
    for rate in (60.0, 6.0, 60.0, 6.0):
        traffic.send(rate, STEADY_SECONDS)
    assert_bound(traffic)
