"""A store that is away for a moment and comes back from a copy some seconds old."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from hillstack.platform import names
from tests.fleet.builders import MODEL
from tests.fleet.node_network import NodeNetwork, StoreCopy, list_runners, write_runner

ZONES = 3
NODES = 7
AWAY_SECONDS = 1.0
# A leaving runner gets nothing new, and a configuration is in force, so long after the store has
# acknowledged it.
BOUND_SECONDS = 2.0


@pytest.fixture
def network() -> Iterator[NodeNetwork]:
    """Yield nodes that know the runners."""
    made = NodeNetwork(NODES, ZONES)
    list_runners(made)
    made.run(5.0)
    yield made
    made.close()


def heartbeats(network: NodeNetwork, seconds: float) -> None:
    """Let time pass in which runners write to the store, a few times a second."""
    ends_at = network.scheduler.now + seconds
    seq = 1
    while network.scheduler.now < ends_at:
        seq += 1
        write_runner(network, network.runner_ids[seq % 3], seq=seq)
        network.run(0.25)


def come_back(network: NodeNetwork, copy: StoreCopy) -> None:
    """Let the store be away for a moment and come back from a copy."""
    network.store.down_for = None
    network.run(AWAY_SECONDS)
    network.store.restore(copy)
    network.store.down_for = set()


def lose_last(network: NodeNetwork, seconds: float) -> None:
    """Let the store lose what is written in some seconds."""
    copy = network.store.copy()
    heartbeats(network, seconds)
    come_back(network, copy)


def pass_lost_revisions(network: NodeNetwork) -> None:
    """Write until the store's revision is beyond all that the nodes know, before they ask."""
    known = max(node.log.revision.number for node in network.nodes.values())
    while network.store.revision <= known + 10:
        write_runner(network, "i-0", seq=network.store.revision)


def unaware_of_leave(network: NodeNetwork, runner_id: str) -> list[str]:
    """Return the nodes that would use a runner."""
    runners = {name: node.state.pool.get(runner_id) for name, node in network.nodes.items()}
    return [name for name, runner in runners.items() if runner is not None and not runner.leaves]


def without_weights(network: NodeNetwork, version: int) -> list[str]:
    """Return the nodes that don't know a version of the weights."""
    nodes = network.nodes.items()
    return [name for name, node in nodes if node.state.versions.newest(MODEL) != version]


def name_weights(network: NodeNetwork, version: int) -> None:
    body = b'{"model":"%s","version":%d}' % (MODEL.encode(), version)
    network.store.put(f"{names.WEIGHTS_PREFIX}{MODEL}", body)


def change_things(network: NodeNetwork) -> None:
    """Let a runner say that it leaves, and name weights."""
    write_runner(network, "i-3", state="draining", seq=99)
    name_weights(network, 2)


def expect_changes_in_time(network: NodeNetwork) -> None:
    heartbeats(network, BOUND_SECONDS)
    assert not unaware_of_leave(network, "i-3")
    assert not without_weights(network, 2)


# Guards against followers that take a restored store's lower revisions for old news.
def test_changes_after_a_restore_reach_all_nodes_in_time(network: NodeNetwork) -> None:
    lose_last(network, 4.0)
    heartbeats(network, 2.0)
    change_things(network)
    expect_changes_in_time(network)


# Guards against changes that are missed where a restored store's revision has passed the lost ones.
def test_changes_in_revisions_given_out_twice_reach_all_nodes(network: NodeNetwork) -> None:
    copy = network.store.copy()
    heartbeats(network, 4.0)
    network.store.down_for = None
    network.run(AWAY_SECONDS)
    network.store.restore(copy)
    change_things(network)
    pass_lost_revisions(network)
    network.store.down_for = set()
    expect_changes_in_time(network)


# Guards against a node that slept through a restore and goes on from a revision of before.
def test_a_node_that_was_cut_off_during_a_restore_catches_up(network: NodeNetwork) -> None:
    copy = network.store.copy()
    heartbeats(network, 4.0)
    sleeper = network.nodes["node-2"]
    sleeper.cut = True
    network.store.down_for = None
    network.run(AWAY_SECONDS)
    network.store.restore(copy)
    network.store.down_for = {"node-2"}
    change_things(network)
    pass_lost_revisions(network)
    network.run(1.0)
    network.store.down_for = set()
    sleeper.cut = False
    expect_changes_in_time(network)


# Guards against a second restore that is taken for the end of the first one.
def test_changes_after_two_restores_in_series_reach_all_nodes(network: NodeNetwork) -> None:
    lose_last(network, 4.0)
    heartbeats(network, 0.5)
    lose_last(network, 1.0)
    heartbeats(network, 1.0)
    change_things(network)
    expect_changes_in_time(network)


# Guards against a leaving runner that is used again since the copy has it as ready.
def test_a_leave_that_the_store_lost_is_not_forgotten(network: NodeNetwork) -> None:
    copy = network.store.copy()
    write_runner(network, "i-3", state="draining", seq=99)
    heartbeats(network, 4.0)
    assert not unaware_of_leave(network, "i-3")
    come_back(network, copy)
    for _ in range(6):
        network.run(0.5)
        assert not unaware_of_leave(network, "i-3")
    write_runner(network, "i-3", state="draining", seq=100)
    heartbeats(network, BOUND_SECONDS)
    assert not unaware_of_leave(network, "i-3")


# Guards against a runner that has left and is used again since the copy lists it.
def test_a_runner_that_left_is_not_used_from_the_copy(network: NodeNetwork) -> None:
    copy = network.store.copy()
    network.store.put(names.RUNNERS_PREFIX + "i-3", None)
    heartbeats(network, 4.0)
    come_back(network, copy)
    for _ in range(6):
        network.run(0.5)
        assert not unaware_of_leave(network, "i-3")


# Guards against nodes that stay off one another's lists once the store has lost their entries.
def test_nodes_whose_entries_were_lost_list_one_another_again(network: NodeNetwork) -> None:
    copy = network.store.copy()
    for number in range(3):
        network.add(f"late-{number}", f"zone-{number}")
    heartbeats(network, 4.0)
    come_back(network, copy)
    heartbeats(network, 5.0)
    listed = {key for key in network.store.items if key.startswith(names.NODES_PREFIX)}
    assert len(listed) == NODES + 3
    assert {len(node.state.nodes) for node in network.nodes.values()} == {NODES + 3}
