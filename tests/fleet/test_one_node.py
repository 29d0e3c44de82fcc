"""Most new connections of a zone go to one node, before brittle runners."""

from __future__ import annotations

import pytest

from tests.fleet.brittle_traffic import SLOTS, WORK_SECONDS, BrittleTraffic

RUNNERS = 6
TOLERATED = 2
SECONDS = 3.0
WARM_PER_SECOND = 200.0
# Of what the runners can serve.
LOAD_SHARE = 0.6
# One node serves this share of what all nodes serve together.
MIN_SHARE_OF_ALL = 0.98


def served_share(traffic: BrittleTraffic, node_id: str = "") -> float:
    sent, served = traffic.sent, traffic.served
    traffic.send(SECONDS, LOAD_SHARE * RUNNERS * SLOTS / WORK_SECONDS, node_id)
    return (traffic.served - served) / (traffic.sent - sent)


# Guards against requests that are rejected at the one node to which most connections go, while the
# runners have free places: a refused place kept the node from the next ones for up to 50 ms.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_one_node_gets_the_places_that_all_nodes_together_would_get(seed: int) -> None:
    traffic = BrittleTraffic(4, RUNNERS, seed=seed)
    traffic.make_brittle(TOLERATED)
    traffic.send(SECONDS + 1.0, WARM_PER_SECOND)
    over_all = served_share(traffic)
    shares = [served_share(traffic, node_id) for node_id in ("node-0", "node-1", "node-0")]
    traffic.network.close()
    assert min(shares) >= MIN_SHARE_OF_ALL * over_all, f"{shares}, all nodes {over_all:.3f}"
