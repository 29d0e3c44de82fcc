"""Limits on the requests that a node sends to a version that is not trusted yet."""

from __future__ import annotations

import math
from collections import Counter
from random import Random

import pytest

from hillstack.core.version_arrivals import HOLD_SECONDS, VersionArrivals
from hillstack.core.version_exposure import (
    SHARE_SAFETY,
    SLACK_SAFETY,
    SLACK_SETTLE_SECONDS,
    VersionExposure,
)
from tests.fleet.builders import rev

SERVICE = "service"
ROUTE = "route"
SETTLED = SLACK_SETTLE_SECONDS


def opened(
    share: float = 0.1, slack: float = 0.0, nodes: int = 1, not_before: float = 0.0
) -> VersionExposure:
    exposure = VersionExposure(share, slack)
    exposure.set_node_count(nodes)
    exposure.open(SERVICE, rev(5), 12.0, not_before, 0.0)
    return exposure


def take(exposure: VersionExposure, count: int, at: float = 1.0, route: str = ROUTE) -> None:
    for _ in range(count):
        exposure.on_request(SERVICE, route, at)


def send_all(exposure: VersionExposure, now: float) -> int:
    sent = 0
    while exposure.admits(SERVICE, ROUTE, 0.0, now):
        exposure.on_send(SERVICE)
        sent += 1
    return sent


def test_without_an_order_nothing_may_be_sent() -> None:
    exposure = VersionExposure(0.1, 50.0)
    exposure.on_request(SERVICE, ROUTE, 1.0)
    assert not exposure.admits(SERVICE, ROUTE, 0.0, 1.0)
    assert exposure.on_send(SERVICE) == 0


def test_a_nodes_requests_earn_their_share_of_sends() -> None:
    exposure = opened()
    take(exposure, 1_000)
    assert send_all(exposure, 1.0) == int(0.1 * SHARE_SAFETY * 1_000)


def test_the_slack_is_divided_among_the_nodes() -> None:
    exposure = opened(slack=50.0, nodes=4)
    assert send_all(exposure, SETTLED) == int(50.0 * SLACK_SAFETY / 4)


def test_a_fraction_of_a_send_is_retained_until_requests_complete_it() -> None:
    exposure = opened(slack=50.0, nodes=64)
    assert send_all(exposure, SETTLED) == 0
    take(exposure, 4)
    assert send_all(exposure, SETTLED) == 1


def test_the_slack_waits_until_new_nodes_are_known() -> None:
    exposure = opened(slack=50.0)
    assert send_all(exposure, SETTLED / 2) == 0


def test_the_part_of_the_slack_does_not_grow_when_nodes_leave() -> None:
    exposure = opened(slack=50.0, nodes=50)
    exposure.set_node_count(1)
    assert send_all(exposure, SETTLED) == 0


def test_the_part_of_the_slack_shrinks_when_nodes_join() -> None:
    exposure = opened(slack=50.0)
    exposure.set_node_count(4)
    assert send_all(exposure, SETTLED) == 10


def test_a_process_that_finds_an_order_at_its_start_sends_nothing() -> None:
    exposure = opened(slack=50.0, not_before=-math.inf)
    take(exposure, 1_000)
    assert send_all(exposure, SETTLED) == 0


def test_requests_from_before_the_order_earn_no_sends() -> None:
    exposure = opened()
    take(exposure, 1_000, at=-0.1)
    assert send_all(exposure, 1.0) == 0


def test_requests_after_the_deadline_earn_no_sends() -> None:
    exposure = opened()
    take(exposure, 1_000, at=12.1)
    assert send_all(exposure, 12.1) == 0


def test_earned_sends_may_be_used_after_the_deadline() -> None:
    exposure = opened()
    take(exposure, 1_000)
    assert send_all(exposure, 20.0) == 95


def test_the_deadline_counts_from_the_earliest_time_of_the_order() -> None:
    exposure = opened(not_before=-8.0)
    take(exposure, 100, at=4.1)
    assert send_all(exposure, 4.1) == 0


def test_a_refused_send_counts() -> None:
    exposure = opened()
    take(exposure, 100)
    for _ in range(9):
        exposure.on_send(SERVICE)
    assert not exposure.admits(SERVICE, ROUTE, 0.0, 1.0)


def test_a_later_order_opens_a_new_account() -> None:
    exposure = opened()
    take(exposure, 100)
    exposure.on_send(SERVICE)
    exposure.open(SERVICE, rev(6), 12.0, 0.0, 2.0)
    assert exposure.left(SERVICE, 2.0) == 0


def test_opening_the_same_order_again_has_no_effect() -> None:
    exposure = opened()
    take(exposure, 100)
    exposure.open(SERVICE, rev(5), 12.0, 1.0, 1.0)
    assert exposure.left(SERVICE, 1.0) == pytest.approx(9.5)


def test_services_have_separate_accounts() -> None:
    exposure = opened()
    take(exposure, 100)
    assert exposure.left("other", 1.0) == 0


def play_routes(rates: dict[str, float], seconds: float, nodes: int) -> tuple[Counter[str], int]:
    """Simulate nodes that share the rates; return canary sends by route and all requests."""
    rng = Random(3)
    canaries: Counter[str] = Counter()
    requests = 0
    for _ in range(nodes):
        exposure = opened(slack=50.0, nodes=nodes)
        arrivals = sorted(
            (rng.uniform(0.0, seconds), route)
            for route, rate in rates.items()
            for _ in range(round(rate * seconds / nodes + rng.random() - 0.5))
        )
        requests += len(arrivals)
        for at, route in arrivals:
            exposure.on_request(SERVICE, route, at)
            if exposure.admits(SERVICE, route, rng.random(), at):
                exposure.on_send(SERVICE)
                canaries[route] += 1
    return canaries, requests


def test_a_rare_route_gets_more_than_its_share_and_most_of_the_exposure_is_used() -> None:
    canaries, requests = play_routes({"often": 200.0, "rare": 20.0, "other": 20.0}, 12.0, 64)
    allowed = 0.1 * requests + 50
    assert 0.7 * allowed < canaries.total() <= allowed
    assert canaries["rare"] > 1.5 * canaries.total() * 20 / 240


@pytest.mark.parametrize(("part", "expected"), [(0.1, 0.25), (0.4, 0.4), (1.0, 1.0), (3.0, 1.0)])
def test_canaries_are_sent_for_a_part_of_the_time(part: float, expected: float) -> None:
    exposure = opened()
    times = [SETTLED + number / 100 for number in range(1_200)]
    bursts = [exposure.is_burst(SERVICE, part, at) for at in times]
    assert sum(bursts) / len(bursts) == pytest.approx(expected, abs=0.01)
    assert bursts[0]


def test_a_version_listed_after_another_is_held_back_for_a_while() -> None:
    arrivals = VersionArrivals()
    arrivals.listed(SERVICE, "v1", 0.0, at_start=True)
    arrivals.listed(SERVICE, "v2", 1.0, at_start=False)
    assert arrivals.is_held(SERVICE, "v2", 1.0) and arrivals.any_held(1.0)
    assert not arrivals.is_held(SERVICE, "v1", 1.0)
    assert not arrivals.any_held(1.0 + HOLD_SECONDS)


def test_a_first_version_is_not_held_back() -> None:
    arrivals = VersionArrivals()
    arrivals.listed(SERVICE, "v1", 0.0, at_start=False)
    assert not arrivals.any_held(0.0)


def test_versions_listed_at_the_start_are_not_held_back() -> None:
    arrivals = VersionArrivals()
    arrivals.listed(SERVICE, "v1", 0.0, at_start=True)
    arrivals.listed(SERVICE, "v2", 0.0, at_start=True)
    assert not arrivals.any_held(0.0)


def test_a_version_that_is_listed_again_is_not_held_back() -> None:
    arrivals = VersionArrivals()
    for version, at in (("v1", 0.0), ("v2", 1.0), ("v1", 20.0), ("v2", 30.0)):
        arrivals.listed(SERVICE, version, at, at_start=False)
    assert not arrivals.any_held(30.0)
