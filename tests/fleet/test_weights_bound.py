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

from tests.fleet.builders import MODEL, VERSION_GRACE
from tests.fleet.node_network import NodeNetwork, list_runners

NODES = 69
ZONES = 4
SETTLE_SECONDS = 6.0


def name_weights(network: NodeNetwork, version: int) -> float:
    """Name a version; return when."""
    body = f'{{"model":"{MODEL}","version":{version}}}'
    network.store.put(f"op/version/{MODEL}", body.encode())
    return network.scheduler.now


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
