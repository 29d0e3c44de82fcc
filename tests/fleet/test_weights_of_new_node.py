"""A node that has just started learns which weights the runners serve.

The directory lists newly loaded weights late. The tests guard against a new node that knows a
version by name only, takes all runners for too old, and rejects every request until then.
"""

from __future__ import annotations

import pytest

from hillstack.messages.peer_notices import WeightsNotice, WeightsPhase
from tests.fleet.builders import MODEL
from tests.fleet.node_network import NodeNetwork, list_runners

SERVED_VERSION = 9
REGIONS = {"zone-0": "north", "zone-1": "north", "zone-2": "south"}


def load_weights(network: NodeNetwork, conductor: str) -> None:
    """Let all runners serve a version, as reported by the node that ordered them to load it."""
    exchange = network.nodes[conductor].exchange
    pool = network.nodes[conductor].state.pool
    for runner in pool.all():
        pool.observe_weights(runner, MODEL, SERVED_VERSION)
        notice = WeightsNotice(runner.runner_id, MODEL, SERVED_VERSION, WeightsPhase.SERVED)
        network.at_node(network.nodes[conductor], lambda notice=notice: exchange.weights(notice))
    network.run(1.0)


@pytest.mark.parametrize(
    ("nodes", "regions"), [(3, {}), (40, {}), (12, REGIONS)], ids=["direct", "relayed", "regions"]
)
def test_a_new_node_learns_the_weights_that_runners_serve(
    nodes: int, regions: dict[str, str]
) -> None:
    network = NodeNetwork(nodes, 3, regions=regions)
    list_runners(network)
    network.run(5.0)
    load_weights(network, "node-0")
    node = network.add("node-2", network.nodes["node-2"].zone)
    network.run(1.0)
    versions = [runner.weights_version(MODEL) for runner in node.state.pool.all()]
    network.close()
    assert versions
    assert set(versions) == {SERVED_VERSION}
