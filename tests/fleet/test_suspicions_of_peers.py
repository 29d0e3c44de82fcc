"""Suspicions that peers report are hints: they never take away the last runner."""

from __future__ import annotations

from functools import partial
from random import Random

from hillstack.core.routing_table import RouteKind
from hillstack.serving.admission import RequestAdmission
from hillstack.serving.placement import RunnerPlacement
from tests.fleet.builders import ENGINES, make_request, make_route, make_table
from tests.fleet.node_network import NodeNetwork, list_runners

ROUTE = make_route(RouteKind.STREAM, prefix="/stream/", service=ENGINES, resumable=True)


# Guards against healthy nodes that reject requests because a node that is cut off from all runners
# reports each of them as silent.
def test_a_node_that_reaches_no_runner_takes_none_away_from_its_peers() -> None:
    network = NodeNetwork(3, 1, table=make_table(ROUTE))
    list_runners(network)
    network.run(3.0)
    cut_off, healthy = network.nodes["node-0"], network.nodes["node-1"]
    for runner in cut_off.state.pool.all():
        network.at_node(cut_off, partial(cut_off.exchange.suspected, runner))
    network.run(0.1)
    now = network.scheduler.now
    placement = RunnerPlacement(healthy.state, healthy.exchange, healthy.zone, Random(1))
    admission = RequestAdmission(healthy.state, lambda: now)
    healthy.state.freshness.prove(now)
    request = make_request("/stream/x", parts=(("own", 100),), arrived_at=now)
    placed = placement.choose(admission.admit(request), now)
    network.close()
    assert placed is not None
