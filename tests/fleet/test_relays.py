"""Relays in large deployments: notices reach all nodes, and the cost per node is constant."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

import pytest

from hillstack.core.node_directory import NodeDirectory, NodeEntry
from hillstack.core.store_era import StoreEra
from hillstack.daemon.change_log import StoredItem
from hillstack.daemon.node_registry import REMOVAL_SECONDS
from hillstack.daemon.store_check import CHECK_SECONDS, CHECK_SECONDS_PER_KEY
from hillstack.errors import CodecError
from hillstack.messages.packing import pack, unpack
from hillstack.messages.peer_notices import PROTOCOL_VERSION
from hillstack.messages.relay_batches import RelayBatch
from hillstack.messages.runner_ends import RequestAtEnd, RunnerEndNotice
from hillstack.messages.store_changes import ChangesAnswer, ChangesQuestion
from hillstack.platform import names
from tests.fleet.builders import ENGINES, MODEL, rev
from tests.fleet.node_network import (
    INTERVAL_SECONDS,
    MemoryStoreClient,
    NodeNetwork,
    SimulatedNode,
    list_runners,
    write_runner,
)

ZONES = 5


@pytest.fixture
def network() -> Iterator[NodeNetwork]:
    made = NodeNetwork(70, ZONES)
    list_runners(made)
    made.run(4.0)
    yield made
    made.close()


def relay_of(network: NodeNetwork, zone: str | None) -> SimulatedNode:
    order = next(iter(network.nodes.values())).state.nodes.relay_order(zone)
    return network.nodes[order[0]]


def other_than(network: NodeNetwork, *excluded: SimulatedNode) -> SimulatedNode:
    return next(node for node in network.nodes.values() if node not in excluded)


def check_seconds(network: NodeNetwork) -> float:
    """Return the longest time between two comparisons with the store."""
    return max(CHECK_SECONDS, CHECK_SECONDS_PER_KEY * len(network.store.items))


def forget_runner(node: SimulatedNode, runner_id: str) -> None:
    """Make a node consider a runner removed, as if it had missed the runner's return."""
    node.log.apply(
        [StoredItem(names.RUNNERS_PREFIX + runner_id, node.log.revision, None)], node.log.revision
    )
    node.state.pool.unlist(runner_id, 0.0, 0.0)


def test_a_placement_reaches_each_other_node_once_and_soon(network: NodeNetwork) -> None:
    sender = other_than(network, *(relay_of(network, f"zone-{n}") for n in range(ZONES)))
    network.at_node(sender, partial(sender.sent, "i-1", "a"))
    network.run(0.12)
    for node in network.nodes.values():
        assert len(node.placements) == (0 if node is sender else 1), node.node_id


def test_a_placement_of_a_relay_reaches_each_other_node_once(network: NodeNetwork) -> None:
    sender = relay_of(network, "zone-2")
    network.at_node(sender, partial(sender.sent, "i-1", "a"))
    network.run(0.12)
    for node in network.nodes.values():
        assert len(node.placements) == (0 if node is sender else 1), node.node_id


def test_a_runner_crash_is_known_to_all_before_a_retry_crashes_another(
    network: NodeNetwork,
) -> None:
    notified: list[str] = []

    def note(name: str, peer: str, notice: RunnerEndNotice, now: float) -> None:
        notified.append(name)

    for node in network.nodes.values():
        node.exchange.handle_runner_crashes(partial(note, node.node_id))
    sender = other_than(network, *(relay_of(network, f"zone-{n}") for n in range(ZONES)))
    notice = RunnerEndNotice("i-1", 0, [RequestAtEnd(7, 115, False)])
    network.at_node(sender, partial(sender.exchange.report_runner_crash, notice))
    # Half of the time after which poison requests were seen to crash their runners.
    network.run(0.05)
    assert sorted(notified) == sorted(name for name in network.nodes if name != sender.node_id)


def test_all_nodes_know_the_load_of_all(network: NodeNetwork) -> None:
    for number, node in enumerate(list(network.nodes.values())[:40]):
        network.at_node(node, partial(node.sent, f"i-{number % 2}", "a"))
    network.run(0.3)
    for node in network.nodes.values():
        runners = [node.state.pool.get(f"i-{number}") for number in range(3)]
        loads = [r.running(network.scheduler.now) for r in runners if r is not None]
        assert loads == [20, 20, 0], node.node_id
    network.run(5.0)
    runner = network.nodes["node-69"].state.pool.get("i-1")
    assert runner is not None and runner.running(network.scheduler.now) == 20


def test_loads_survive_lost_datagrams() -> None:
    network = NodeNetwork(70, ZONES, loss=0.05)
    list_runners(network)
    network.run(4.0)
    for node in list(network.nodes.values())[:40]:
        network.at_node(node, partial(node.sent, "i-1", "a"))
    network.run(3.0)
    now = network.scheduler.now
    runners = [node.state.pool.get("i-1") for node in network.nodes.values()]
    seen = sorted(runner.running(now) for runner in runners if runner is not None)
    assert seen[len(seen) // 2] >= 38 and seen[0] >= 30
    network.close()


def test_when_a_relay_fails_the_next_node_of_its_zone_relays(network: NodeNetwork) -> None:
    relay = relay_of(network, "zone-3")
    network.kill(relay.node_id)
    network.run(3.0)
    same_zone = next(node for node in network.nodes.values() if node.zone == "zone-3")
    other_zone = next(node for node in network.nodes.values() if node.zone == "zone-1")
    for sender in (same_zone, other_zone):
        network.at_node(sender, partial(sender.sent, "i-1", sender.node_id))
    network.run(0.2)
    missing = [n.node_id for n in network.nodes.values() if len(n.placements) < 1]
    assert not missing
    assert max(len(node.placements) for node in network.nodes.values()) == 2


def test_a_restarted_relay_relays_again(network: NodeNetwork) -> None:
    relay = relay_of(network, "zone-3")
    network.kill(relay.node_id)
    network.run(6.0)
    restarted = network.add(relay.node_id, "zone-3")
    network.run(7.0)
    member = next(n for n in network.nodes.values() if n.zone == "zone-3" and n is not restarted)
    assert member.choice.relay("zone-3", network.scheduler.now) == restarted.node_id
    network.at_node(member, partial(member.sent, "i-1", "a"))
    network.run(0.2)
    assert all(len(n.placements) == 1 for n in network.nodes.values() if n is not member)


def test_a_duty_lease_that_expired_while_a_peer_restarted_is_known_to_be_free(
    network: NodeNetwork,
) -> None:
    # zamudio-reg, trouble-3: the lease expired during an outage. A new machine read the store after
    # it, and the other nodes read from that machine. They considered the duty held forever, so no
    # node ordered weights, which broke VERSION.
    network.store.put("hillstack/duties/weights", b"node-5")
    network.run(3.0)
    assert {node.state.duty_holder for node in network.nodes.values()} == {"node-5"}
    relay = relay_of(network, "zone-1")
    network.kill(relay.node_id)
    network.store.down_for = None
    network.run(0.5)
    network.store.put("hillstack/duties/weights", None)
    network.add(relay.node_id, "zone-1")
    network.store.down_for = set()
    network.run(8.0)
    assert {node.state.duty_holder for node in network.nodes.values()} == {None}


def test_a_duty_lease_that_expired_in_a_lost_history_is_known_to_be_free(
    network: NodeNetwork,
) -> None:
    network.store.put("hillstack/duties/weights", b"node-5")
    network.run(3.0)
    network.store.put("hillstack/duties/weights", None)
    network.store.compacted_revision = network.store.revision
    network.store.history.clear()
    write_runner(network, "i-1", seq=40)
    network.run(4.0)
    assert {node.state.duty_holder for node in network.nodes.values()} == {None}


def test_fast_links_relay_before_slow_ones() -> None:
    directory = NodeDirectory()
    for number in range(40):
        link = 100.0 if number % 10 == 0 else 10.0 + number % 5
        directory.list_node(NodeEntry(f"node-{number}", "10.0.0.1:1", "a", rev(1), link))
    order = directory.relay_order("a")
    assert set(order[:4]) == {"node-0", "node-10", "node-20", "node-30"}
    # A slightly faster link does not change the order.
    directory.list_node(NodeEntry("node-1", "10.0.0.1:1", "a", rev(2), 14.0))
    assert directory.relay_order("a") == order


def received_per_second(count: int) -> tuple[float, float]:
    """Return datagrams received by the median node, and cross-zone bytes per node, per second."""
    network = NodeNetwork(count, ZONES)
    list_runners(network)
    network.run(4.0)
    network.received.clear()
    network.cross_zone_bytes = 0
    nodes = list(network.nodes.values())
    for step in range(20):
        for node in nodes[step % 7 :: 7]:
            network.at_node(node, partial(node.sent, f"i-{step % 6}", f"{step}"))
        network.run(0.1)
    counts = sorted(network.received[node_id] for node_id in network.nodes)
    network.close()
    return counts[count // 2] / 2.0, network.cross_zone_bytes / 2.0 / count


def test_traffic_per_node_does_not_grow_with_the_deployment() -> None:
    small, large = received_per_second(30), received_per_second(180)
    assert large[0] <= 1.5 * small[0] and large[0] <= 80
    assert large[1] <= 1.5 * small[1]


def test_few_nodes_poll_the_store_and_all_stay_fresh(network: NodeNetwork) -> None:
    network.run(3.0)
    network.store.calls.clear()
    oldest = 0.0
    for number in range(20):
        for runner_id in network.runner_ids:
            write_runner(network, runner_id, seq=number + 2)
        network.run(0.5)
        now = network.scheduler.now
        ages = [node.state.freshness.age(now) for node in network.nodes.values()]
        oldest = max(oldest, *ages)
    assert network.store.calls.total() <= ZONES * 11
    assert oldest <= 2 * INTERVAL_SECONDS + 0.2


def test_a_change_reaches_all_nodes_within_two_polls(network: NodeNetwork) -> None:
    write_runner(network, "i-1", state="draining", seq=9)
    network.run(2 * INTERVAL_SECONDS + 0.2)
    for node in network.nodes.values():
        runner = node.state.pool.get("i-1")
        assert runner is not None and runner.entry.draining, node.node_id
    network.store.put("servers/i-2", None)
    network.run(2 * INTERVAL_SECONDS + 0.2)
    assert all(node.state.pool.get("i-2") is None for node in network.nodes.values())


def test_a_version_is_known_to_all_as_soon_as_one_node_reads_it(network: NodeNetwork) -> None:
    network.store.put(f"op/version/{MODEL}", b'{"model":"%s","version":2}' % MODEL.encode())
    network.run(INTERVAL_SECONDS + 0.2)
    newest = [node.state.versions.newest(MODEL) for node in network.nodes.values()]
    assert newest == [2] * len(network.nodes)


def test_nodes_that_the_store_refuses_stay_fresh_through_their_peers(
    network: NodeNetwork,
) -> None:
    relays = [relay_of(network, f"zone-{n}").node_id for n in range(ZONES)]
    others = list(network.nodes)[::3]
    network.store.down_for = {*relays, *others}
    oldest = 0.0
    for _ in range(10):
        network.run(1.0)
        now = network.scheduler.now
        ages = [node.state.freshness.age(now) for node in network.nodes.values()]
        oldest = max(oldest, *ages)
    assert oldest < 4.0


def test_in_an_outage_the_store_is_polled_at_a_bounded_rate_and_all_recover(
    network: NodeNetwork,
) -> None:
    network.store.down_for = None
    network.run(3.0)
    network.store.calls.clear()
    network.run(5.0)
    now = network.scheduler.now
    assert all(not node.state.freshness.is_fresh(now) for node in network.nodes.values())
    assert network.store.calls.total() <= 5 * (len(network.nodes) * 1.2 + ZONES * 4)
    network.store.down_for = set()
    network.run(2.5)
    now = network.scheduler.now
    assert all(node.state.freshness.is_fresh(now) for node in network.nodes.values())


def test_runners_that_expired_in_an_outage_stay_in_use_at_nodes_that_ask_peers(
    network: NodeNetwork,
) -> None:
    network.store.down_for = None
    network.run(5.0)
    network.store.put("servers/i-1", None)
    network.store.down_for = set()
    network.run(1.2)
    known = [node.state.pool.get("i-1") is not None for node in network.nodes.values()]
    assert all(known)


def test_runners_that_expired_and_returned_between_two_polls_are_known_to_all_nodes() -> None:
    # Failure: 25 s after new weights were announced, two of nine runners still had the old ones and
    # got neither requests nor orders. The store had been down for 4 s, the entries of all runners
    # had expired, and these two runners were the first to write theirs again.
    # Cause: the first node that reached the store received removal and return in one answer. It
    # decided whether the entry was new before it had applied the removal, so it sent its peers the
    # removal only. The peers lacked these two runners until all nodes were restarted, because an
    # unchanged entry is not written again.
    network = NodeNetwork(7, 3)
    list_runners(network)
    network.run(4.0)
    first = relay_of(network, None)
    network.store.down_for = None
    network.run(4.0)
    for runner_id in network.runner_ids:
        network.store.put(names.RUNNERS_PREFIX + runner_id, None)
    returned = network.runner_ids[:2]
    for runner_id in returned:
        write_runner(network, runner_id)
    network.store.down_for = set(network.nodes) - {first.node_id}
    network.run(2.5)
    for runner_id in network.runner_ids[2:]:
        write_runner(network, runner_id)
    network.run(3.0)
    for node in network.nodes.values():
        accepting = node.state.pool.accepting(ENGINES, network.scheduler.now)
        assert sorted(r.runner_id for r in accepting) == network.runner_ids, node.node_id
    network.close()


@pytest.mark.parametrize("outage_seconds", [4.0 + 0.5 * number for number in range(12)])
def test_returned_runners_are_known_whichever_nodes_received_the_removals(
    outage_seconds: float,
) -> None:
    # One node receives the removals alone. All others receive removal and return together, through
    # the only node that the store serves at that time.
    network = NodeNetwork(7, 3)
    list_runners(network)
    network.run(4.0)
    order = next(iter(network.nodes.values())).state.nodes.relay_order(None)
    first, second = network.nodes[order[0]], network.nodes[order[1]]
    network.store.down_for = None
    network.run(outage_seconds)
    for runner_id in network.runner_ids:
        network.store.put(names.RUNNERS_PREFIX + runner_id, None)
    network.store.down_for = set(network.nodes) - {second.node_id}
    first.cut = True
    network.run(1.2)
    list_runners(network)
    network.store.down_for = set(network.nodes) - {first.node_id}
    first.cut = False
    network.run(6.0)
    for node in network.nodes.values():
        accepting = node.state.pool.accepting(ENGINES, network.scheduler.now)
        assert sorted(r.runner_id for r in accepting) == network.runner_ids, node.node_id
    network.close()


def test_a_lost_change_is_found_by_all_nodes(network: NodeNetwork) -> None:
    # A runner is added and one removed without a change in the history: only a full list shows it.
    network.runner_ids.append("i-new")
    write_runner(network, "i-new")
    network.store.put("servers/i-1", None)
    network.store.history.clear()
    network.run(check_seconds(network) + 2 * INTERVAL_SECONDS + 0.2)
    for node in network.nodes.values():
        assert node.state.pool.get("i-new") is not None, node.node_id
        assert node.state.pool.get("i-1") is None, node.node_id


def test_a_node_that_missed_a_change_reloads_the_store_once(network: NodeNetwork) -> None:
    node = other_than(network, *(relay_of(network, f"zone-{n}") for n in range(ZONES)))
    forget_runner(node, "i-2")
    network.store.calls.clear()
    network.run(2 * check_seconds(network))
    assert node.state.pool.get("i-2") is not None
    assert network.store.calls[node.node_id] == 1


def test_a_runner_in_the_log_but_not_in_the_pool_is_found(network: NodeNetwork) -> None:
    node = other_than(network, *(relay_of(network, f"zone-{n}") for n in range(ZONES)))
    node.state.pool.unlist("i-2", 0.0, 0.0)
    network.run(check_seconds(network) + 2 * INTERVAL_SECONDS)
    assert node.state.pool.get("i-2") is not None


def test_a_change_missed_by_a_whole_zone_is_found(network: NodeNetwork) -> None:
    for node in network.nodes.values():
        if node.zone == "zone-3":
            forget_runner(node, "i-2")
    network.run(check_seconds(network) + 2 * INTERVAL_SECONDS)
    assert all(node.state.pool.get("i-2") is not None for node in network.nodes.values())


def test_a_relay_that_missed_a_change_causes_no_reloads_elsewhere(network: NodeNetwork) -> None:
    relay = relay_of(network, "zone-3")
    network.store.calls.clear()
    before = network.store.calls.total()
    forget_runner(relay, "i-2")
    network.run(2 * check_seconds(network))
    reads = {node_id for node_id in network.store.calls if node_id in network.nodes}
    relays = {relay_of(network, f"zone-{n}").node_id for n in range(ZONES)}
    assert before == 0 and reads <= relays


def test_comparisons_are_cheap_and_find_nothing_in_steady_state(
    network: NodeNetwork, caplog: pytest.LogCaptureFixture
) -> None:
    # Runners change, and are added and removed, between the two pages of a list.
    network.store.page_pause = 0.02
    network.store.stale_read_calls.clear()
    for number in range(60):
        runner_id = network.runner_ids[number % 6]
        if number % 4 == 3:
            network.store.put(names.RUNNERS_PREFIX + runner_id, None)
            network.run(0.013)
        write_runner(network, runner_id, state="ready" if number % 3 else "draining", seq=number)
        network.run(0.487 if number % 4 == 3 else 0.5)
    assert 0 < network.store.stale_read_calls.total() <= 30.0 / (check_seconds(network) / 2) * 71
    assert "missed" not in caplog.text


def test_starting_nodes_do_not_all_read_a_long_list_at_once() -> None:
    # With 301 nodes and 3,001 runners, each node read the full list twice within its first 5 s.
    network = NodeNetwork(20, 2)
    network.runner_ids = [f"i-{number}" for number in range(200)]
    list_runners(network)
    network.run(check_seconds(network) / 2)
    assert network.store.stale_read_calls.total() == 0
    # The nodes are listed too by now, which makes the lists longer.
    network.run(check_seconds(network) + 1.0 - network.scheduler.now)
    assert network.store.stale_read_calls.total() >= 20
    network.close()


def test_a_node_that_the_store_refuses_continues_with_its_peers(
    network: NodeNetwork,
) -> None:
    node = other_than(network, *(relay_of(network, f"zone-{n}") for n in range(ZONES)))
    node.request_reload()
    network.store.down_for = {node.node_id}
    network.run(20.0)
    assert node.state.freshness.is_fresh(network.scheduler.now)
    write_runner(network, "i-4", state="draining", seq=9)
    network.run(2 * INTERVAL_SECONDS + 0.2)
    runner = node.state.pool.get("i-4")
    assert runner is not None and runner.entry.draining


def test_an_outage_that_only_one_relay_saw_moves_no_bounds_elsewhere(
    network: NodeNetwork,
) -> None:
    relay = relay_of(network, "zone-1")
    network.store.down_for = {relay.node_id}
    network.run(6.0)
    network.store.down_for = set()
    network.run(3.0)
    # As if the relay's peers had been unreachable too: its own bounds count from the outage's end.
    relay.state.note_store_recovered(network.scheduler.now)
    network.run(3.0)
    others = [node for node in network.nodes.values() if node is not relay]
    assert relay.state.outage_ended_at() > 0.0
    assert all(node.state.outage_ended_at() == float("-inf") for node in others)


def test_an_answer_received_during_a_pause_is_as_old_as_the_pause() -> None:
    # A resumed node finds old answers in its socket, which must not count as fresh.
    network = NodeNetwork(20, 1, own_loops=True)
    list_runners(network)
    network.run(4.0)
    node = other_than(network, relay_of(network, "zone-0"))
    network.store.down_for = {node.node_id}
    network.run(1.0)
    node.loop.frozen = True
    network.run(30.0)
    node.cut = True
    node.loop.frozen = False
    network.run(0.3)
    assert not node.state.freshness.is_fresh(network.scheduler.now)
    network.close()


def test_a_node_whose_peer_lost_its_change_log_gets_all_keys(network: NodeNetwork) -> None:
    # The restarted relay knows no earlier removals, and its first reader has missed one.
    relay = relay_of(network, "zone-1")
    network.kill(relay.node_id)
    network.store.put("servers/i-3", None)
    network.add(relay.node_id, "zone-1")
    network.run(8.0)
    for node in network.nodes.values():
        assert node.state.pool.get("i-3") is None, node.node_id


def test_a_stopped_node_is_removed_and_a_running_one_is_not() -> None:
    network = NodeNetwork(24, 2, own_loops=True)
    list_runners(network)
    network.run(4.0)
    stopped = relay_of(network, "zone-1")
    paused = next(n for n in network.nodes.values() if n.zone == "zone-0")
    network.kill(stopped.node_id)
    network.run(20.0)
    replacement = network.add("node-new", "zone-1")
    network.run(25.0)
    assert "hillstack/nodes/" + stopped.node_id not in network.store.items
    listed = {node.node_id for node in paused.state.nodes.all()}
    assert listed == set(network.nodes) and replacement.node_id in listed
    assert paused.state.nodes.budget_node_count(network.scheduler.now) == 24 + 1
    network.run(25.0)
    assert paused.state.nodes.budget_node_count(network.scheduler.now) == 24
    # A node paused for that long is removed too, and writes its entry again once it is resumed.
    paused.loop.frozen = True
    network.run(40.0)
    assert "hillstack/nodes/" + paused.node_id not in network.store.items
    paused.loop.frozen = False
    network.run(4.0)
    assert "hillstack/nodes/" + paused.node_id in network.store.items
    assert all(n.state.nodes.get(paused.node_id) is not None for n in network.nodes.values())
    network.close()


def test_a_rewritten_entry_is_not_removed() -> None:
    network = NodeNetwork(4, 1)
    network.run(3.0)
    key = "hillstack/nodes/node-1"
    known = network.store.items[key]
    assert known.value is not None
    network.store.put(key, known.value)
    removing = MemoryStoreClient(network.store, "node-0", StoreEra()).remove_node(
        "node-1", known.revision
    )
    task = network.scheduler.spawn(network.scheduler.new_loop(), removing)
    network.run(0.1)
    assert task.result() is False and key in network.store.items
    network.close()


def test_lost_history_is_reloaded_by_few_nodes(network: NodeNetwork) -> None:
    network.store.calls.clear()
    network.store.compacted_revision = network.store.revision + 5
    network.store.history.clear()
    for number in range(6):
        write_runner(network, "i-1", seq=20 + number)
    write_runner(network, "i-2", state="draining", seq=30)
    network.run(3.0)
    assert network.store.calls.total() <= 6 * ZONES
    drained = [node.state.pool.get("i-2") for node in network.nodes.values()]
    assert all(runner is not None and runner.entry.draining for runner in drained)


@pytest.mark.parametrize("cut", [0, 1, 20])
def test_a_malformed_or_truncated_message_is_refused(cut: int) -> None:
    batch = RelayBatch(PROTOCOL_VERSION, "node-1", "zone-1", [], [b"\x00\xff notice"])
    payload = pack(batch)
    assert unpack(payload, RelayBatch, "peer") == batch
    with pytest.raises(CodecError):
        unpack(payload[: len(payload) - 1 - cut], RelayBatch, "peer")
    with pytest.raises(CodecError):
        unpack(payload, ChangesAnswer, "peer")
    other_version = ChangesQuestion(PROTOCOL_VERSION + 1, "node-1", 1, 5)
    with pytest.raises(CodecError, match="version"):
        unpack(pack(other_version), ChangesQuestion, "peer")


# Guards against removing the entries of nodes of other zones although their notices arrive.
@pytest.mark.parametrize("count", [5, 7, 9])
def test_a_small_deployment_removes_no_running_node(count: int) -> None:
    network = NodeNetwork(count, 3)
    network.run(3.0)
    before = dict(network.store.items)
    network.run(2.0 * REMOVAL_SECONDS)
    network.close()
    assert network.store.items == before
