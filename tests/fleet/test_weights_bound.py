"""The bound until which runners with older weights are used, with delayed messages between nodes.

Guards against a bound that moves with message delays: on 69 healthy nodes, with the store and all
links working, requests began on older weights more than 12 s after newer ones were announced. Each
node reported how long ago the version was announced. The receivers counted that age from the
arrival of the message, adopted the latest time, and reported it in turn, once a second. The bound
grew with each repetition, so runners loaded late and were used until then.

With message delays of 0.05 to 0.6 s the bound moved by 0.9 s per second. With real processes on a
busy machine 210,257 moves were logged in 40 s, all caused by messages of peers; the bound of all 69
nodes was once 0.4 to 0.7 s too late.
"""

from __future__ import annotations

import pytest

from hillstack.core.freshness import Freshness
from tests.fleet.builders import MODEL, VERSION_GRACE_SECONDS
from tests.fleet.node_network import INTERVAL_SECONDS, NodeNetwork, SimulatedNode, list_runners

NODES = 69
ZONES = 4
SETTLE_SECONDS = 6.0
UNJUDGED_SECONDS = 2.6
# By how much the estimated time of an announcement may be too early: the poll interval of the node
# that watches the store, and the wait for the answer of that poll.
EARLY_SECONDS = 2 * INTERVAL_SECONDS


def announce_weights(network: NodeNetwork, version: int) -> float:
    """Announce a version; return the time of the announcement."""
    body = f'{{"model":"{MODEL}","version":{version}}}'
    network.store.put(f"op/version/{MODEL}", body.encode())
    return network.scheduler.now


def restart(network: NodeNetwork, node: SimulatedNode) -> SimulatedNode:
    """Restart a node: it has no state, and is not subject to bounds for a while."""
    started = network.add(node.node_id, node.zone)
    started.state.freshness = Freshness(4.0)
    started.state.bounds_enforced_from = network.scheduler.now + UNJUDGED_SECONDS
    return started


def bound_starts(network: NodeNetwork) -> list[float]:
    """Return the time from which each node counts the grace period of version 1."""
    return [node.state.versions.bound_start(MODEL, 1) for node in network.nodes.values()]


@pytest.mark.parametrize(
    "ways",
    [
        pytest.param((0.0015, 0.0015), id="prompt-words"),
        pytest.param((0.03, 0.2), id="late-words"),
        pytest.param((0.05, 0.6), id="very-late-words"),
    ],
)
def test_delayed_messages_do_not_keep_older_weights_in_use(ways: tuple[float, float]) -> None:
    network = NodeNetwork(NODES, ZONES, latencies=ways)
    list_runners(network)
    network.run(SETTLE_SECONDS)
    named_at = announce_weights(network, 2)
    network.run(2.0)
    due_at = named_at + VERSION_GRACE_SECONDS
    while network.scheduler.now < due_at:
        assert max(bound_starts(network)) <= named_at
        network.run(0.5)
    for node in network.nodes.values():
        assert node.state.versions.oldest_allowed(MODEL, due_at) == 2
    network.close()


@pytest.mark.parametrize("count", [7, NODES])
@pytest.mark.parametrize("place", [0, 1, -1])
def test_a_starting_node_learns_when_a_version_was_announced(count: int, place: int) -> None:
    # Otherwise its peers would continue to use runners with older weights after this node must
    # stop.
    network = NodeNetwork(count, ZONES)
    list_runners(network)
    network.run(SETTLE_SECONDS)
    named_at = announce_weights(network, 2)
    network.run(1.0)
    group = next(iter(network.nodes.values())).choice.group("zone-0")
    order = network.nodes["node-0"].state.nodes.relay_order(group)
    started = restart(network, network.nodes[order[place]])
    network.run(2.5)
    counts_from = started.state.versions.bound_start(MODEL, 1)
    assert named_at - EARLY_SECONDS <= counts_from <= named_at
    network.close()


def test_a_node_that_starts_while_messages_are_delayed_does_not_move_the_bound() -> None:
    network = NodeNetwork(NODES, ZONES, latencies=(0.05, 0.6))
    list_runners(network)
    network.run(SETTLE_SECONDS)
    named_at = announce_weights(network, 2)
    for number in range(8):
        network.run(0.5)
        restart(network, network.nodes[f"node-{number}"])
    network.run(1.0)
    assert max(bound_starts(network)) <= named_at
    network.close()


def test_a_bound_that_restarts_on_one_node_is_not_sent_to_others() -> None:
    network = NodeNetwork(7, 3)
    list_runners(network)
    network.run(SETTLE_SECONDS)
    named_at = announce_weights(network, 2)
    network.run(2.0)
    order = next(iter(network.nodes.values())).state.nodes.relay_order(None)
    asked_node = network.nodes[order[0]]  # All other nodes send their questions to this node.
    asked_node.state.note_store_recovered(network.scheduler.now)
    assert asked_node.state.versions.bound_start(MODEL, 1) == network.scheduler.now
    network.run(3.0)
    moved = [moment for moment in bound_starts(network) if moment > named_at]
    assert len(moved) == 1
    network.close()


def test_a_time_learned_from_an_answer_is_no_later_than_that_of_the_answering_node() -> None:
    network = NodeNetwork(7, 3, latencies=(0.02, 0.06))
    list_runners(network)
    network.run(SETTLE_SECONDS)
    announce_weights(network, 2)
    network.run(5.0)
    order = next(iter(network.nodes.values())).state.nodes.relay_order(None)
    known = {
        node_id: node.state.versions.superseded_at(MODEL, 1)
        for node_id, node in network.nodes.items()
    }
    # The first node watches the store for all others.
    assert max(known.values()) == known[order[0]]
    assert known[order[0]] - min(known.values()) < 0.2
    network.close()
