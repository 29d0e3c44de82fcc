"""A store that is unavailable for a moment and is restored from a copy some seconds old."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from hillstack.platform import names
from tests.fleet.builders import MODEL
from tests.fleet.node_network import NodeNetwork, StoreCopy, list_runners, write_runner

ZONES = 3
NODES = 7
OUTAGE_SECONDS = 1.0
# Within this time after the store has acknowledged a change, all nodes apply it: a leaving runner
# gets no new requests and a configuration is in effect.
BOUND_SECONDS = 2.0


@pytest.fixture
def network() -> Iterator[NodeNetwork]:
    """Yield a network of nodes that know the runners."""
    made = NodeNetwork(NODES, ZONES)
    list_runners(made)
    made.run(5.0)
    yield made
    made.close()


def heartbeats(network: NodeNetwork, seconds: float) -> None:
    """Let time pass while runners write to the store four times per second."""
    ends_at = network.scheduler.now + seconds
    seq = 1
    while network.scheduler.now < ends_at:
        seq += 1
        write_runner(network, network.runner_ids[seq % 3], seq=seq)
        network.run(0.25)


def restore_store(network: NodeNetwork, copy: StoreCopy) -> None:
    """Make the store unavailable for a moment, then restore it from a copy."""
    network.store.down_for = None
    network.run(OUTAGE_SECONDS)
    network.store.restore(copy)
    network.store.down_for = set()


def lose_recent_writes(network: NodeNetwork, seconds: float) -> None:
    """Let runners write for some seconds, then restore the store from a copy made before."""
    copy = network.store.copy()
    heartbeats(network, seconds)
    restore_store(network, copy)


def write_past_known_revisions(network: NodeNetwork) -> None:
    """Write until the store's revision is above the latest one that a node knows."""
    known = max(node.log.revision.number for node in network.nodes.values())
    while network.store.revision <= known + 10:
        write_runner(network, "i-0", seq=network.store.revision)


def nodes_unaware_of_leave(network: NodeNetwork, runner_id: str) -> list[str]:
    """Return the nodes that don't know that a runner leaves."""
    runners = {name: node.state.pool.get(runner_id) for name, node in network.nodes.items()}
    return [
        name for name, runner in runners.items() if runner is not None and not runner.is_leaving
    ]


def nodes_without_weights(network: NodeNetwork, version: int) -> list[str]:
    """Return the nodes for which another version of the weights is the newest."""
    nodes = network.nodes.items()
    return [name for name, node in nodes if node.state.versions.newest(MODEL) != version]


def name_weights(network: NodeNetwork, version: int) -> None:
    """Write the version of the weights to the store."""
    body = b'{"model":"%s","version":%d}' % (MODEL.encode(), version)
    network.store.put(f"{names.WEIGHTS_PREFIX}{MODEL}", body)


def change_store(network: NodeNetwork) -> None:
    """Write that a runner leaves, and a new version of the weights."""
    write_runner(network, "i-3", state="draining", seq=99)
    name_weights(network, 2)


def expect_changes_in_time(network: NodeNetwork) -> None:
    """Check that all nodes know the changes of ``change_store`` within the bound."""
    heartbeats(network, BOUND_SECONDS)
    assert not nodes_unaware_of_leave(network, "i-3")
    assert not nodes_without_weights(network, 2)


# Guards against nodes that take the lower revisions of a restored store for outdated changes.
def test_changes_after_a_restore_reach_all_nodes_in_time(network: NodeNetwork) -> None:
    lose_recent_writes(network, 4.0)
    heartbeats(network, 2.0)
    change_store(network)
    expect_changes_in_time(network)


# Guards against missed changes where the revision of a restored store has passed the lost ones.
def test_changes_under_reused_revisions_reach_all_nodes(network: NodeNetwork) -> None:
    copy = network.store.copy()
    heartbeats(network, 4.0)
    network.store.down_for = None
    network.run(OUTAGE_SECONDS)
    network.store.restore(copy)
    change_store(network)
    write_past_known_revisions(network)
    network.store.down_for = set()
    expect_changes_in_time(network)


# Guards against a node that misses a restore and continues from a revision of the lost history.
def test_a_node_that_was_cut_off_during_a_restore_catches_up(network: NodeNetwork) -> None:
    copy = network.store.copy()
    heartbeats(network, 4.0)
    isolated = network.nodes["node-2"]
    isolated.cut = True
    network.store.down_for = None
    network.run(OUTAGE_SECONDS)
    network.store.restore(copy)
    network.store.down_for = {"node-2"}
    change_store(network)
    write_past_known_revisions(network)
    network.run(1.0)
    network.store.down_for = set()
    isolated.cut = False
    expect_changes_in_time(network)


# Guards against nodes that take a second restore for the end of the first one.
def test_changes_after_two_restores_in_series_reach_all_nodes(network: NodeNetwork) -> None:
    lose_recent_writes(network, 4.0)
    heartbeats(network, 0.5)
    lose_recent_writes(network, 1.0)
    heartbeats(network, 1.0)
    change_store(network)
    expect_changes_in_time(network)


# Guards against a leaving runner that is used again because the copy lists it as ready.
def test_a_leave_that_the_store_lost_is_not_forgotten(network: NodeNetwork) -> None:
    copy = network.store.copy()
    write_runner(network, "i-3", state="draining", seq=99)
    heartbeats(network, 4.0)
    assert not nodes_unaware_of_leave(network, "i-3")
    restore_store(network, copy)
    for _ in range(6):
        network.run(0.5)
        assert not nodes_unaware_of_leave(network, "i-3")
    write_runner(network, "i-3", state="draining", seq=100)
    heartbeats(network, BOUND_SECONDS)
    assert not nodes_unaware_of_leave(network, "i-3")


# Guards against a removed runner that is used again because the copy still lists it.
def test_a_runner_that_left_is_not_used_from_the_copy(network: NodeNetwork) -> None:
    copy = network.store.copy()
    network.store.put(names.RUNNERS_PREFIX + "i-3", None)
    heartbeats(network, 4.0)
    restore_store(network, copy)
    for _ in range(6):
        network.run(0.5)
        assert not nodes_unaware_of_leave(network, "i-3")


# Guards against nodes that stay unlisted after the store has lost their entries.
def test_nodes_whose_entries_were_lost_are_listed_again(network: NodeNetwork) -> None:
    copy = network.store.copy()
    for number in range(3):
        network.add(f"late-{number}", f"zone-{number}")
    heartbeats(network, 4.0)
    restore_store(network, copy)
    heartbeats(network, 5.0)
    listed = {key for key in network.store.items if key.startswith(names.NODES_PREFIX)}
    assert len(listed) == NODES + 3
    assert {len(node.state.nodes) for node in network.nodes.values()} == {NODES + 3}
