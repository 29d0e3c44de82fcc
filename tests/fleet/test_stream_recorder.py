"""Recording the versions of services and the origins of streams, in virtual time."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from hillstack.core.stream_origins import STREAM_SECONDS
from hillstack.daemon.stream_recorder import (
    MAX_ATTEMPT_CHARACTERS,
    MAX_SEGMENT_SECONDS,
    MAX_SEGMENT_STREAMS,
    MAX_SEGMENTS_WRITTEN,
    MAX_WAITING,
)
from hillstack.serving.store_events import ServiceVersionsRecorded
from tests.fleet.builders import ENGINES
from tests.fleet.stream_record_world import RecordWorld

# A write of a new version, or of the first streams, is over within this time.
SOON_SECONDS = 0.3
OUTAGE_SECONDS = 60.0
# Two calls a second, and some at once.
MAX_OUTAGE_CALLS = 150


@pytest.fixture
def worlds() -> Iterator[list[RecordWorld]]:
    started: list[RecordWorld] = []
    yield started
    for world in started:
        world.close()


@pytest.fixture
def world(worlds: list[RecordWorld]) -> RecordWorld:
    """Return a world with one node, which has run for some seconds."""
    worlds.append(RecordWorld())
    worlds[0].list_runner("v1")
    worlds[0].run(3.0)
    return worlds[0]


@pytest.fixture
def three(worlds: list[RecordWorld]) -> RecordWorld:
    """Return a world with three nodes, which have run for longer than streams last."""
    worlds.append(RecordWorld(3))
    worlds[0].list_runner("v1")
    worlds[0].run(STREAM_SECONDS + 10.0)
    return worlds[0]


def test_a_new_version_is_recorded_soon_by_the_first_node(three: RecordWorld) -> None:
    assert three.records.versions() == {"v1"}
    listed_at, calls = three.scheduler.now, len(three.records.calls)
    three.list_runner("v2")
    three.run(2.0)
    assert three.records.versions() == {"v1", "v2"}
    assert three.records.writes[-1][0] - listed_at <= SOON_SECONDS
    assert len(three.records.calls) - calls == 2, "one read and one write"


def test_a_later_node_records_a_version_if_the_first_does_not(three: RecordWorld) -> None:
    first = three.in_turn()[0]
    first.loop.frozen = True
    listed_at = three.scheduler.now
    three.list_runner("v2")
    three.run(2.0)
    assert three.records.versions() == {"v1", "v2"}
    assert three.records.writes[-1][0] - listed_at <= SOON_SECONDS
    first.loop.frozen = False
    three.run(2.0)
    assert len(three.records.writes) == 2, "the first node finds the record complete"


def test_concurrent_writers_record_the_union(worlds: list[RecordWorld]) -> None:
    three = RecordWorld(3)
    worlds.append(three)
    three.list_runner("v1")
    three.run(3.0)
    for number, node in enumerate(three.nodes):
        node.origins.note_versions(ENGINES, {f"w{number}"}, three.scheduler.now)
        # Nodes that know only themselves are all the first one in turn.
        for other in three.nodes:
            if other is not node:
                node.state.nodes.unlist(other.state.node_id, three.scheduler.now)
        node.recorder.record_versions()
    three.run(2.0)
    assert three.records.conflicts
    assert three.records.versions() == {"v1", "w0", "w1", "w2"}


def test_a_version_that_has_left_is_removed_after_its_streams(three: RecordWorld) -> None:
    three.list_runner("v2")
    three.run(1.0)
    three.unlist_runner("v1")
    three.run(STREAM_SECONDS - 1.0)
    assert three.records.versions() == {"v1", "v2"}
    three.run(4.0)
    assert three.records.versions() == {"v2"}


def test_the_last_version_of_a_service_is_never_removed(three: RecordWorld) -> None:
    three.unlist_runner("v1")
    three.run(3 * STREAM_SECONDS)
    assert three.records.versions() == {"v1"}
    assert all(versions for _, versions in three.records.writes)


def test_a_node_that_has_just_started_removes_no_version(worlds: list[RecordWorld]) -> None:
    world = RecordWorld(0)
    worlds.append(world)
    world.records.replace(ENGINES, {"v0", "v1"})
    world.list_runner("v1")
    world.add("node-0")
    world.run(STREAM_SECONDS - 1.0)
    assert world.records.versions() == {"v0", "v1"}
    world.run(3.0)
    assert world.records.versions() == {"v1"}


def test_a_node_with_a_stale_copy_removes_no_version(world: RecordWorld) -> None:
    world.run(STREAM_SECONDS)
    world.nodes[0].is_connected = False
    world.run(3.0)
    world.records.replace(ENGINES, {"v0", "v1"})
    world.nodes[0].apply(ServiceVersionsRecorded(ENGINES, frozenset({"v0", "v1"})))
    world.run(2 * STREAM_SECONDS)
    assert world.records.versions() == {"v0", "v1"}


# Guards against a node that was cut off while a version came and left: it removes the record of the
# version although streams of the version may still be taken up.
def test_a_node_that_was_cut_off_does_not_remove_a_version_it_has_missed(
    three: RecordWorld,
) -> None:
    late = three.nodes[0]
    late.is_connected = False
    three.list_runner("v2")
    three.run(2.0)
    three.unlist_runner("v2")
    three.run(2.0)
    late.is_connected = True
    late.state.freshness.prove(three.scheduler.now)
    late.apply(ServiceVersionsRecorded(ENGINES, frozenset({"v1", "v2"})))
    three.run(STREAM_SECONDS - 5.0)
    assert [versions for _, versions in three.records.writes] == [{"v1"}, {"v1", "v2"}]
    three.run(10.0)
    assert three.records.versions() == {"v1"}


# Guards against an empty record: the node's own view of the record is older than the store's.
def test_a_removal_leaves_a_version_if_the_record_has_changed(world: RecordWorld) -> None:
    node = world.nodes[0]
    world.run(STREAM_SECONDS)
    world.records.replace(ENGINES, {"v1", "v0"})
    world.run(0.02)
    node.is_connected = False
    world.records.replace(ENGINES, {"v0"})
    world.run(5.0)
    node.is_connected = True
    world.records.replace(ENGINES, {"v0"})
    world.run(5.0)
    assert all(versions for _, versions in world.records.writes)
    assert "v1" in world.records.versions()


def mix(world: RecordWorld) -> None:
    """Let the service have two versions, and wait until both are recorded."""
    world.list_runner("v2")
    world.run(1.5)
    assert world.records.versions() == {"v1", "v2"}


def test_streams_are_written_in_batches_soon(world: RecordWorld) -> None:
    mix(world)
    began_at, node = world.scheduler.now, world.nodes[0]
    for number in range(100):
        world.scheduler.at(began_at + number * 0.02, lambda n=number: node.begin(f"s-{n}"))  # type: ignore[misc]
    world.run(3.0)
    assert world.records.attempts() == {f"s-{n}" for n in range(100)}
    assert world.records.batches[0][0] - began_at <= SOON_SECONDS
    assert world.records.batches[-1][0] - began_at <= 99 * 0.02 + SOON_SECONDS
    assert len(world.records.batches) <= 2.0 / 0.25 + 2


def test_streams_of_one_version_are_not_written(world: RecordWorld) -> None:
    world.nodes[0].begin("s-1")
    world.run(3.0)
    assert not world.records.batches


def test_earlier_streams_are_written_when_another_version_is_listed(world: RecordWorld) -> None:
    world.nodes[0].begin("s-1", "s-2")
    world.run(2.0)
    listed_at = world.scheduler.now
    world.list_runner("v2")
    world.run(2.0)
    assert world.records.attempts() == {"s-1", "s-2"}
    assert world.records.batches[0][0] - listed_at <= SOON_SECONDS


# Guards against the first write of a process, which waited for the turn of the versions.
@pytest.mark.parametrize("begins_after", [0.05, 0.15, 0.3, 0.6, 0.95])
@pytest.mark.parametrize("is_listed", [True, False])
def test_streams_of_the_first_second_of_a_node_are_written_soon(
    worlds: list[RecordWorld], begins_after: float, is_listed: bool
) -> None:
    world = RecordWorld(0)
    worlds.append(world)
    world.list_runner("v1")
    world.list_runner("v2")
    world.run(0.1)
    node = world.add("node-0")
    if not is_listed:
        node.state.nodes.unlist("node-0", world.scheduler.now)
    world.run(begins_after)
    began_at = world.scheduler.now
    node.begin("s-1")
    world.run(3.0)
    assert world.records.attempts() == {"s-1"}
    assert world.records.batches[0][0] - began_at <= SOON_SECONDS


# Guards against streams that wait for the turn of a node at which a new version was listed.
def test_streams_are_written_soon_while_a_node_leaves_a_version_to_others(
    worlds: list[RecordWorld],
) -> None:
    world = RecordWorld(9)
    worlds.append(world)
    world.list_runner("v1")
    world.list_runner("v2")
    world.run(3.0)
    last = world.in_turn()[-1]
    for node in world.nodes:
        node.loop.frozen = node is not last
    world.list_runner("v3")
    world.run(0.1)
    began_at = world.scheduler.now
    last.begin("s-1", software="v1")
    world.run(3.0)
    assert world.records.attempts() == {"s-1"}
    assert world.records.batches[0][0] - began_at <= SOON_SECONDS


def test_streams_are_written_after_an_outage(world: RecordWorld) -> None:
    mix(world)
    world.records.fails = True
    world.nodes[0].begin("s-1")
    world.run(5.0)
    world.nodes[0].begin("s-2")
    world.run(5.0)
    assert not world.records.batches
    world.records.fails = False
    world.run(1.0)
    assert world.records.attempts() == {"s-1", "s-2"}


def test_streams_are_written_again_under_another_lease(world: RecordWorld) -> None:
    mix(world)
    world.records.lease_ended = True
    world.nodes[0].begin("s-1", "s-2")
    world.run(0.2)
    assert not world.records.batches
    world.records.lease_ended = False
    world.run(0.6)
    assert world.records.attempts() == {"s-1", "s-2"}


@pytest.mark.parametrize("lease_ended", [True, False])
def test_an_outage_costs_few_calls_and_bounded_memory(
    world: RecordWorld, lease_ended: bool
) -> None:
    mix(world)
    node = world.nodes[0]
    world.records.fails, world.records.lease_ended = not lease_ended, lease_ended
    calls = len(world.records.calls)
    for second in range(int(OUTAGE_SECONDS)):
        node.begin(*(f"s-{second}-{number}" for number in range(100)))
        world.run(1.0)
    # After an ended lease the store is available, so writes go on at their usual interval.
    bound = MAX_OUTAGE_CALLS if not lease_ended else 4 * OUTAGE_SECONDS * 2
    assert len(world.records.calls) - calls <= bound
    assert len(node.recorder._waiting) <= MAX_WAITING
    world.records.fails = world.records.lease_ended = False
    world.run(5.0)
    assert len(world.records.attempts()) >= MAX_WAITING / 2


# Guards against a queue that is full of streams whose callers have given up: the recent ones, which
# may still be taken up, were dropped.
def test_recent_streams_are_written_after_a_long_outage(world: RecordWorld) -> None:
    mix(world)
    node = world.nodes[0]
    world.records.fails = True
    for second in range(int(OUTAGE_SECONDS)):
        node.begin(*(f"s-{second}-{number}" for number in range(100)))
        world.run(1.0)
    world.records.fails = False
    world.run(5.0)
    last = int(OUTAGE_SECONDS) - 1
    assert {f"s-{last}-{number}" for number in range(100)} <= world.records.attempts()


def test_a_version_that_can_not_be_recorded_costs_few_calls(world: RecordWorld) -> None:
    calls = len(world.records.calls)
    world.records.fails = True
    world.list_runner("v2")
    world.run(OUTAGE_SECONDS)
    assert len(world.records.calls) - calls <= MAX_OUTAGE_CALLS
    world.records.fails = False
    world.run(1.0)
    assert world.records.versions() == {"v1", "v2"}


# Guards against waiting streams that are repeated for each part of a write that failed.
def test_no_stream_waits_twice_after_a_write_in_several_parts(world: RecordWorld) -> None:
    mix(world)
    node = world.nodes[0]
    world.records.lease_ended = True
    count = MAX_SEGMENTS_WRITTEN * MAX_SEGMENT_STREAMS // 2
    node.begin(*(f"s-{number}" for number in range(min(count, MAX_WAITING))))
    for number in range(MAX_SEGMENTS_WRITTEN + 4):
        node.begin(f"w-{number}", software=f"w{number}")
    world.run(0.2)
    waiting = [origin.attempt_id for origin in node.recorder._waiting]
    assert len(waiting) == len(set(waiting))


def test_segments_are_split_by_size(world: RecordWorld) -> None:
    mix(world)
    count = 2 * MAX_SEGMENT_STREAMS + 1
    world.nodes[0].begin(*(f"s-{number}" for number in range(count)))
    world.run(1.0)
    segments = {s.number: s for _, batch in world.records.batches for s in batch}
    assert len(segments) == 3
    assert max(len(s.attempts) for s in segments.values()) == MAX_SEGMENT_STREAMS
    assert len(world.records.attempts()) == count


def test_segments_are_split_by_age_and_version(world: RecordWorld) -> None:
    mix(world)
    node = world.nodes[0]
    node.begin("s-1")
    node.begin("t-1", software="v2")
    world.run(1.0)
    node.begin("s-2")
    world.run(MAX_SEGMENT_SECONDS)
    node.begin("s-3")
    world.run(1.0)
    segments = {s.number: s for _, batch in world.records.batches for s in batch}
    contents = sorted((s.software, tuple(s.attempts)) for s in segments.values())
    assert contents == [("v1", ("s-1", "s-2")), ("v1", ("s-3",)), ("v2", ("t-1",))]


def test_a_write_holds_a_bounded_number_of_segments(world: RecordWorld) -> None:
    mix(world)
    for number in range(2 * MAX_SEGMENTS_WRITTEN + 1):
        world.nodes[0].begin(f"s-{number}", software=f"w{number}")
    world.run(1.0)
    assert max(len(batch) for _, batch in world.records.batches) <= MAX_SEGMENTS_WRITTEN
    assert len(world.records.attempts()) == 2 * MAX_SEGMENTS_WRITTEN + 1


def test_long_identifiers_are_not_written(world: RecordWorld) -> None:
    mix(world)
    world.nodes[0].begin("x" * (MAX_ATTEMPT_CHARACTERS + 1), "y" * MAX_ATTEMPT_CHARACTERS)
    world.run(1.0)
    assert world.records.attempts() == {"y" * MAX_ATTEMPT_CHARACTERS}


def restore(world: RecordWorld) -> None:
    """Restore the store to a copy without records."""
    world.records.recorded.clear()
    for node in world.nodes:
        era = node.state.store_era
        node.loop.call_soon(era.observe, era.current + 1, "store")


def test_a_restored_store_gets_its_versions_again(three: RecordWorld) -> None:
    for node in three.nodes:
        node.state.store_era.observe(0, "store")
    mix(three)
    restore(three)
    three.run(1.5)
    assert three.records.versions() == {"v1", "v2"}


# Guards against versions that a restored store has lost and that only its record named: the reload
# after the restore applies the older record before the node has written the newer one again.
def test_a_restored_store_gets_versions_that_only_the_record_named(
    worlds: list[RecordWorld],
) -> None:
    world = RecordWorld(0)
    worlds.append(world)
    world.records.replace(ENGINES, {"v0", "v1"})
    world.list_runner("v1")
    world.run(0.1)
    node = world.add("node-0")
    node.state.store_era.observe(0, "store")
    world.run(2.0)
    restore(world)
    world.records.replace(ENGINES, {"v1"})
    world.run(2.0)
    assert world.records.versions() == {"v0", "v1"}


# Guards against streams that a restored store has lost: a node that starts then refuses them.
def test_a_restored_store_gets_its_streams_again(world: RecordWorld) -> None:
    node = world.nodes[0]
    node.state.store_era.observe(0, "store")
    mix(world)
    node.begin("s-1", "s-2")
    world.run(MAX_SEGMENT_SECONDS + 1.0)
    assert world.records.attempts() == {"s-1", "s-2"}
    restore(world)
    world.records.batches.clear()
    node.begin("s-3")
    world.run(2.0)
    assert world.records.attempts() == {"s-1", "s-2", "s-3"}


# Guards against the first write of versions, which came 1 s late at a node that was not listed yet.
@pytest.mark.parametrize("listed_after", [0.0, 0.1, 5.0])
def test_the_first_node_of_a_deployment_records_versions_soon(
    worlds: list[RecordWorld], listed_after: float
) -> None:
    world = RecordWorld(0)
    worlds.append(world)
    world.list_runner("v1")
    world.list_runner("v2")
    world.run(0.1)
    node = world.add("node-0")
    started_at = world.scheduler.now
    entry = node.state.nodes.all()[0]
    node.state.nodes.unlist("node-0", started_at)
    world.scheduler.at(started_at + listed_after, lambda: node.state.nodes.list_node(entry))
    world.run(3.0)
    assert world.records.versions() == {"v1", "v2"}
    assert world.records.writes[0][0] - started_at <= SOON_SECONDS


def test_a_node_waits_for_its_first_read_of_the_store(worlds: list[RecordWorld]) -> None:
    world = RecordWorld(0)
    worlds.append(world)
    world.list_runner("v1")
    world.list_runner("v2")
    node = world.add("node-0")
    node.state.directory_known = False
    node.begin("s-1")
    world.run(2.0)
    assert not world.records.calls
    node.state.directory_known = True
    node.begin("s-2")
    world.run(SOON_SECONDS)
    assert world.records.versions() == {"v1", "v2"}
    assert world.records.attempts() == {"s-1", "s-2"}
