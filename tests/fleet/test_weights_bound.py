"""Until when runners with older weights are used, where words between nodes are late.

Seen: on 69 nodes, requests began on older weights more than 12 s after newer ones were named. All
nodes were well, and neither the store nor a link was disturbed.

How it came about: a rollout is paced so that the last runner loads shortly before the moment from
which older weights must not be used. Nodes took that moment to be some seconds later than it was,
all of them alike, so runners loaded late and were used until then.

Cause: nodes told each other how long ago a version was named. Who heard it counted from when the
word came, which is later by the word's way, took the latest time that it heard, and told that on as
its own. So the time that all took for the naming grew with each repetition, once a second.

What proved it: in the test below nothing is late but the words, and the bound moved by 0.9 s each
second where they take 0.05 to 0.6 s. With real processes on a busy machine 210,257 moves of a bound
were logged in 40 s, each by a peer's word, none by anything else; once the bound of all 69 nodes
lay 0.4 to 0.7 s too late.
"""

from __future__ import annotations

import pytest

from hillstack.core.freshness import Freshness
from tests.fleet.builders import MODEL, VERSION_GRACE
from tests.fleet.node_network import INTERVAL_SECONDS, NodeNetwork, SimulatedNode, list_runners

NODES = 69
ZONES = 4
SETTLE_SECONDS = 6.0
UNJUDGED_SECONDS = 2.6
# How much earlier than it was a version may be taken to be named: a look of the node that watches
# the store, and the wait for that look's answer.
EARLY_SECONDS = 2 * INTERVAL_SECONDS


def name_weights(network: NodeNetwork, version: int) -> float:
    """Name a version; return when."""
    body = f'{{"model":"{MODEL}","version":{version}}}'
    network.store.put(f"op/version/{MODEL}", body.encode())
    return network.scheduler.now


def restart(network: NodeNetwork, node: SimulatedNode) -> SimulatedNode:
    """Start a node again: it knows nothing, and is not held to bounds for a while."""
    started = network.add(node.node_id, node.zone)
    started.state.freshness = Freshness(4.0)
    started.state.unjudged_until = network.scheduler.now + UNJUDGED_SECONDS
    return started


def counted_from(network: NodeNetwork) -> list[float]:
    """Return from when each node counts the time in which version 1 may still be used."""
    return [node.state.versions.named_after(MODEL, 1) for node in network.nodes.values()]


@pytest.mark.parametrize(
    "ways",
    [
        pytest.param((0.0015, 0.0015), id="prompt-words"),
        pytest.param((0.03, 0.2), id="late-words"),
        pytest.param((0.05, 0.6), id="very-late-words"),
    ],
)
def test_late_words_do_not_keep_older_weights_in_use(ways: tuple[float, float]) -> None:
    network = NodeNetwork(NODES, ZONES, ways=ways)
    list_runners(network)
    network.run(SETTLE_SECONDS)
    named_at = name_weights(network, 2)
    network.run(2.0)
    due_at = named_at + VERSION_GRACE
    while network.scheduler.now < due_at:
        assert max(counted_from(network)) <= named_at
        network.run(0.5)
    for node in network.nodes.values():
        assert node.state.versions.oldest_allowed(MODEL, due_at) == 2
    network.close()


@pytest.mark.parametrize("count", [7, NODES])
@pytest.mark.parametrize("place", [0, 1, -1])
def test_a_node_that_starts_learns_when_a_version_was_named(count: int, place: int) -> None:
    # Without it, its peers use runners with older weights on when it must not any more.
    network = NodeNetwork(count, ZONES)
    list_runners(network)
    network.run(SETTLE_SECONDS)
    named_at = name_weights(network, 2)
    network.run(1.0)
    group = next(iter(network.nodes.values())).choice.group("zone-0")
    order = network.nodes["node-0"].state.nodes.relay_order(group)
    started = restart(network, network.nodes[order[place]])
    network.run(2.5)
    counts_from = started.state.versions.named_after(MODEL, 1)
    assert named_at - EARLY_SECONDS <= counts_from <= named_at
    network.close()


def test_a_node_that_starts_beside_late_words_does_not_move_the_bound() -> None:
    network = NodeNetwork(NODES, ZONES, ways=(0.05, 0.6))
    list_runners(network)
    network.run(SETTLE_SECONDS)
    named_at = name_weights(network, 2)
    for number in range(8):
        network.run(0.5)
        restart(network, network.nodes[f"node-{number}"])
    network.run(1.0)
    assert max(counted_from(network)) <= named_at
    network.close()


def test_what_begins_a_bound_again_at_one_node_is_not_told_to_others() -> None:
    network = NodeNetwork(7, 3)
    list_runners(network)
    network.run(SETTLE_SECONDS)
    named_at = name_weights(network, 2)
    network.run(2.0)
    order = next(iter(network.nodes.values())).state.nodes.relay_order(None)
    alone = network.nodes[order[0]]  # All others ask it.
    alone.state.store_regained(network.scheduler.now)
    assert alone.state.versions.named_after(MODEL, 1) == network.scheduler.now
    network.run(3.0)
    moved = [moment for moment in counted_from(network) if moment > named_at]
    assert len(moved) == 1
    network.close()


def test_what_a_node_learns_from_an_answer_is_no_later_than_what_the_answerer_knows() -> None:
    network = NodeNetwork(7, 3, ways=(0.02, 0.06))
    list_runners(network)
    network.run(SETTLE_SECONDS)
    name_weights(network, 2)
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
