"""Which paths count as lost, and which peers are chosen as relays."""

from __future__ import annotations

from hillstack.core.runner_paths import (
    ANSWER_VALID_SECONDS,
    LATER_CONTACT_SECONDS,
    RELAY_PAUSE_SECONDS,
    PeerReach,
    RunnerPaths,
)

ADDRESS = "10.9.0.1:1"
OTHER = "10.9.0.2:1"


def make_paths(node_id: str = "node-0") -> RunnerPaths:
    return RunnerPaths(node_id, "zone-a")


def answer(
    paths: RunnerPaths,
    node_id: str,
    *,
    at: float,
    heard_at: float | None = None,
    zone: str = "zone-a",
    lost: bool = False,
) -> None:
    heard = {} if heard_at is None else {ADDRESS: heard_at}
    gone = frozenset([ADDRESS] if lost else [])
    paths.note_answer(PeerReach(node_id, zone, at, heard, gone))


def test_a_lost_path_is_marked_once_and_restored_once() -> None:
    paths = make_paths()
    assert paths.mark_lost(ADDRESS, 1.0, 0.5)
    assert not paths.mark_lost(ADDRESS, 2.0, 0.5)
    assert paths.is_lost(ADDRESS) and not paths.is_lost(OTHER)
    restored = paths.restore(ADDRESS)
    assert restored is not None and restored.since == 1.0
    assert paths.restore(ADDRESS) is None and not paths.is_lost(ADDRESS)


def test_bytes_that_came_through_a_relay_are_no_contact_of_this_node() -> None:
    paths = make_paths()
    paths.record_relayed_contact("node-1", ADDRESS, 1.0)
    assert paths.contact_at(ADDRESS) == float("-inf")
    paths.record_contact(ADDRESS, 2.0)
    assert paths.contact_at(ADDRESS) == 2.0


def test_a_peer_with_later_contact_comes_before_one_of_the_own_zone() -> None:
    paths = make_paths()
    paths.record_contact(ADDRESS, 1.0)
    answer(paths, "node-1", at=2.0, heard_at=1.05)
    answer(paths, "node-2", at=2.0, heard_at=1.1 + LATER_CONTACT_SECONDS, zone="zone-b")
    assert paths.relays(ADDRESS, 2.0) == ["node-2", "node-1"]


def test_among_peers_with_later_contact_the_own_zone_comes_first() -> None:
    paths = make_paths()
    paths.record_contact(ADDRESS, 1.0)
    answer(paths, "node-1", at=2.0, heard_at=1.9, zone="zone-b")
    answer(paths, "node-2", at=2.0, heard_at=1.8)
    assert paths.relays(ADDRESS, 2.0) == ["node-2", "node-1"]


def test_a_peer_that_relayed_bytes_after_the_loss_comes_first() -> None:
    paths = make_paths()
    paths.mark_lost(ADDRESS, 1.0, 0.5)
    answer(paths, "node-1", at=2.0, heard_at=0.9)
    answer(paths, "node-2", at=2.0, zone="zone-b")
    paths.record_relayed_contact("node-2", ADDRESS, 1.5)
    assert paths.relays(ADDRESS, 2.0) == ["node-2", "node-1"]


def test_a_peer_that_lost_the_path_itself_or_failed_lately_is_not_chosen() -> None:
    paths = make_paths()
    answer(paths, "node-1", at=2.0, heard_at=1.9)
    answer(paths, "node-2", at=2.0, lost=True)
    assert paths.relays(ADDRESS, 2.0) == ["node-1"]
    paths.note_relay("node-1", ADDRESS)
    paths.pause_latest_relay(ADDRESS, 2.0)
    assert paths.relays(ADDRESS, 2.0) == []
    answer(paths, "node-1", at=2.5, heard_at=2.4)
    assert paths.relays(ADDRESS, 2.0 + RELAY_PAUSE_SECONDS) == ["node-1"]


def test_answers_expire() -> None:
    paths = make_paths()
    answer(paths, "node-1", at=2.0, heard_at=1.9)
    assert not paths.needs_answers(ADDRESS, 2.5, max_age=1.0)
    assert paths.needs_answers(ADDRESS, 3.5, max_age=1.0)
    assert paths.relays(ADDRESS, 2.1 + ANSWER_VALID_SECONDS) == []


def test_nodes_spread_their_relays() -> None:
    first = set()
    for number in range(20):
        paths = make_paths(f"node-{number}")
        for peer in ("peer-1", "peer-2", "peer-3"):
            answer(paths, peer, at=2.0, heard_at=1.9)
        first.add(paths.relays(ADDRESS, 2.0)[0])
    assert first == {"peer-1", "peer-2", "peer-3"}


def test_probes_are_bounded_and_those_waiting_longest_come_first() -> None:
    paths = make_paths()
    for number in range(5):
        paths.mark_lost(f"10.9.0.{number}:1", float(number), 1.0)
    assert paths.probes_due(10.0, 0.5, limit=2) == ["10.9.0.0:1", "10.9.0.1:1"]
    assert paths.probes_due(10.1, 0.5, limit=2) == ["10.9.0.2:1", "10.9.0.3:1"]


def test_paths_to_unknown_addresses_are_dropped() -> None:
    paths = make_paths()
    paths.mark_lost(ADDRESS, 1.0, 0.5)
    paths.mark_lost(OTHER, 1.0, 0.5)
    assert paths.retain([OTHER], 2.0) == [ADDRESS]
    assert list(paths.lost) == [OTHER]
