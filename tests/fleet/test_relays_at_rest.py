"""Idle traffic of relays, repeated announcements and loads, and urgent notices."""

from __future__ import annotations

from functools import partial

import pytest

from tests.fleet.builders import MODEL
from tests.fleet.node_network import DELAY_SECONDS, NodeNetwork, list_runners

IDLE_SECONDS = 20.0


@pytest.mark.parametrize(("count", "zones"), [(64, 3), (70, 5), (66, 6)])
def test_one_node_of_a_zone_relays(count: int, zones: int) -> None:
    # Failure: with 70 nodes in five zones 25 nodes relayed, and each node received 15 to 19 batches
    # per second when idle.
    # Cause: a node that relayed without being its zone's relay got no batches from the relays of
    # other zones, considered them failed, and sent to the next nodes, which then relayed as well.
    network = NodeNetwork(count, zones)
    list_runners(network)
    network.run(IDLE_SECONDS)
    network.received.clear()
    network.run(5.0)
    now = network.scheduler.now
    relaying = [n for n in network.nodes.values() if n.exchange._relay._is_relaying(now)]
    assert len(relaying) == zones
    counts = sorted(network.received[node_id] / 5.0 for node_id in network.nodes)
    # Batches of the zone's relay, some with heartbeats of other nodes, and answers with changes of
    # the store.
    assert counts[count // 2] <= 12
    network.close()


def test_repeated_announcements_do_not_make_the_announcement_time_later() -> None:
    # Failure: with 64 nodes the announcement time became 0.3 s later each second, so that old
    # weights would have been used for three seconds longer than allowed. Cause: notices contained
    # an age, which was subtracted from the time of receipt and so was wrong by the one-way latency.
    # Each node adopted the latest time it received, and sent it on.
    network = NodeNetwork(64, 3)
    list_runners(network)
    network.run(4.0)
    named_at = network.scheduler.now
    network.store.put(f"op/version/{MODEL}", b'{"model":"%s","version":2}' % MODEL.encode())
    for _ in range(9):
        network.run(1.0)
        for node in network.nodes.values():
            known = node.state.versions.announcements(MODEL)
            assert all(entry.acknowledged_after <= named_at for entry in known)
    network.close()


def test_an_urgent_notice_is_forwarded_without_delay() -> None:
    network = NodeNetwork(64, 3)
    list_runners(network)
    network.run(6.0)
    now = network.scheduler.now
    sender = next(n for n in network.nodes.values() if not n.exchange._relay.is_chosen(now))
    runner = sender.state.pool.get("i-1")
    assert runner is not None
    network.at_node(sender, partial(sender.exchange.suspected, runner))
    # Three hops: to the relay of the zone, to the relay of another zone, and to the nodes there.
    network.run(3 * DELAY_SECONDS + 0.001)
    for node in network.nodes.values():
        known = node.state.pool.get("i-1")
        assert node is sender or (known is not None and known.suspected_until > now), node.node_id
    network.close()


def test_loads_survive_two_consecutive_lost_repetitions_at_most_nodes() -> None:
    # Sending unchanged sums less often saved 3 in 100 of the time, but then nodes lacked the loads
    # of whole zones for some seconds.
    network = NodeNetwork(70, 5, loss=0.05, seed=3)
    list_runners(network)
    network.run(4.0)
    for node in list(network.nodes.values())[:40]:
        network.at_node(node, partial(node.sent, "i-1", "a"))
    for _ in range(6):
        network.run(1.0)
        now = network.scheduler.now
        runners = [node.state.pool.get("i-1") for node in network.nodes.values()]
        assert min(runner.running(now) for runner in runners if runner is not None) >= 30
    network.close()
