"""Which version began a stream: what nodes keep, report and are asked, in virtual time."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

import msgspec
import pytest

from hillstack.core.routing_table import RouteKind
from hillstack.core.stream_origins import (
    MAX_STREAMS,
    STREAM_SECONDS,
    UNRECORDED_SECONDS,
    StreamOrigin,
    StreamOrigins,
)
from hillstack.daemon.origin_exchange import KEEPERS, OriginExchange
from hillstack.messages.datagrams import DatagramKind
from hillstack.messages.origin_messages import OriginAnswer
from hillstack.messages.packing import PackedMessage, pack, unpack
from hillstack.messages.peer_notices import PROTOCOL_VERSION
from hillstack.serving.job import Job
from hillstack.serving.ports import OriginFinding
from hillstack.serving.store_events import (
    RunnerListed,
    ServiceVersionsRecorded,
    StreamsRecorded,
)
from hillstack.serving.stream_versions import StreamVersions
from hillstack.serving.types import RejectedError, Verdict
from hillstack.serving.version_choice import VersionChoice
from tests.fleet.builders import ENGINES, make_entry, make_rng, make_route, make_state, make_table
from tests.fleet.node_network import NodeNetwork, SimulatedNode
from tests.fleet.stream_record_world import (
    STREAM_ROUTE,
    RecordingNode,
    RecordWorld,
    stream_job,
)


def origin(attempt_id: str, now: float = 0.0, software: str = "v1") -> StreamOrigin:
    return StreamOrigin(attempt_id, ENGINES, software, now)


def test_origins_expire_and_are_bounded() -> None:
    origins = StreamOrigins(0.0)
    origins.record(origin("a"))
    origins.record(origin("a", software="v2"))
    assert origins.find("a", ENGINES, 1.0) == "v1"
    assert origins.find("a", "other service", 1.0) is None
    assert origins.find("b", ENGINES, 1.0) is None
    assert origins.find("a", ENGINES, STREAM_SECONDS) is None
    for number in range(MAX_STREAMS + 10):
        origins.record(origin(f"n-{number}", 40.0))
    assert len(origins.of_service(ENGINES, 41.0)) == MAX_STREAMS


def test_a_version_that_has_left_counts_while_its_streams_may_be_taken_up() -> None:
    origins = StreamOrigins(0.0)
    assert not origins.note_versions(ENGINES, {"v1"}, 0.0)
    assert origins.note_versions(ENGINES, {"v1", "v2"}, 5.0)
    assert not origins.note_versions(ENGINES, {"v2"}, 6.0)
    assert origins.is_mixed(ENGINES, 4.9 + STREAM_SECONDS)
    assert not origins.note_versions(ENGINES, {"v2"}, 5.1 + STREAM_SECONDS)
    assert not origins.is_mixed(ENGINES, 5.1 + STREAM_SECONDS)


@dataclass
class ReportedOrigins:
    """Collects the origins that are reported to other nodes."""

    reported: list[StreamOrigin] = field(default_factory=list)

    def report(self, origins: Iterable[StreamOrigin]) -> None:
        self.reported.extend(origins)

    async def find(self, service: str, attempt_id: str) -> OriginFinding:
        return OriginFinding(None, is_mixed=False, knows_versions=True, was_asked=True)


# Guards against streams that are refused for up to .5 s after another version is listed, since the
# node that began them reports them only at its next check.
def test_origins_are_reported_when_another_version_is_listed() -> None:
    state = make_state(make_table())
    origins, source = StreamOrigins(0.0), ReportedOrigins()
    StreamVersions(state, origins, source, lambda: 1.0)
    state.apply(RunnerListed(make_entry("i-1", ENGINES, software="v1")), 0.0)
    origins.record(origin("s-1"))
    state.apply(RunnerListed(make_entry("i-2", ENGINES, software="v1", revision=2)), 0.0)
    assert not source.reported
    state.apply(RunnerListed(make_entry("n-30", ENGINES, software="v2", revision=3)), 0.0)
    assert source.reported == [origin("s-1")]


def test_a_node_that_has_just_started_does_not_know_all_versions() -> None:
    origins = StreamOrigins(10.0)
    assert not origins.knows_all_versions(9.0 + STREAM_SECONDS)
    assert origins.knows_all_versions(10.0 + STREAM_SECONDS)


class Exchanges:
    """The exchange of each node of a network."""

    def __init__(self, nodes: int) -> None:
        self.network = NodeNetwork(nodes, 2)
        self.network.run(3.0)
        self.origins: dict[str, StreamOrigins] = {}
        self.exchanges: dict[str, OriginExchange] = {}
        for node_id, node in self.network.nodes.items():
            origins = self.origins[node_id] = StreamOrigins(0.0)
            clock = self.network.scheduler.clock
            self.exchanges[node_id] = OriginExchange(
                node.state, node.link, origins, node.address, clock
            )

    def begin(self, node_id: str, attempt_id: str) -> None:
        began = origin(attempt_id, self.network.scheduler.now)
        self.origins[node_id].record(began)
        node = self.network.nodes[node_id]
        self.network.at_node(node, lambda: self.exchanges[node_id].report([began]))
        self.network.run(0.1)

    def find(self, node: SimulatedNode, attempt_id: str) -> OriginFinding:
        found: list[OriginFinding] = []

        async def ask() -> None:
            found.append(await self.exchanges[node.node_id].find(ENGINES, attempt_id))

        self.network.scheduler.spawn(node.loop, ask())
        self.network.run(0.2)
        return found[0]


@pytest.mark.parametrize("nodes", [2, 3, 9])
def test_any_node_finds_the_origin_after_the_node_that_began_the_stream_was_killed(
    nodes: int,
) -> None:
    world = Exchanges(nodes)
    world.begin("node-0", "s-1")
    world.network.kill("node-0")
    for node in list(world.network.nodes.values()):
        known = world.origins[node.node_id].find("s-1", ENGINES, world.network.scheduler.now)
        assert known == "v1" or world.find(node, "s-1").software == "v1"
    world.network.close()


def test_an_unknown_origin_is_found_by_no_node() -> None:
    world = Exchanges(5)
    finding = world.find(world.network.nodes["node-1"], "s-1")
    assert finding == OriginFinding(None, is_mixed=False, knows_versions=True, was_asked=True)
    world.network.close()


def test_a_node_that_is_cut_off_gets_no_answer() -> None:
    world = Exchanges(5)
    node = world.network.nodes["node-1"]
    assert world.find(node, "s-1").knows_versions
    node.cut = True
    finding = world.find(node, "s-1")
    assert finding == OriginFinding(None, is_mixed=False, knows_versions=False, was_asked=True)
    world.network.close()


def test_a_keeper_knows_that_versions_are_mixed() -> None:
    world = Exchanges(5)
    now = world.network.scheduler.now
    for origins in world.origins.values():
        origins.note_versions(ENGINES, {"v1", "v2"}, now)
    assert world.find(world.network.nodes["node-1"], "").is_mixed
    world.network.close()


def test_a_stream_costs_two_datagrams_of_some_fifty_bytes() -> None:
    world = Exchanges(9)
    sent: list[bytes] = []
    carry = world.network.carry

    def record(data: bytes, source: str, target: str) -> None:
        sent.append(data)
        carry(data, source, target)

    world.network.carry = record  # type: ignore[method-assign]
    node = world.network.nodes["node-0"]
    began = [origin("9c41d07be2a35f68", world.network.scheduler.now)]
    world.network.at_node(node, lambda: world.exchanges["node-0"].report(began))
    world.network.scheduler.run_until(world.network.scheduler.now + 0.001)
    reports = [data for data in sent if data[0] == DatagramKind.ORIGIN_REPORT]
    assert 1 <= len(reports) <= KEEPERS
    assert all(len(data) <= 64 for data in reports)
    world.network.close()


class EarlierOriginAnswer(PackedMessage, array_like=True, frozen=True):
    """The answer as builds before the records of versions send and read it."""

    number: int
    software: str | None
    is_mixed: bool


def test_an_answer_of_an_earlier_build_is_read_as_knowing_nothing() -> None:
    earlier = EarlierOriginAnswer(PROTOCOL_VERSION, 7, "v1", True)
    read = unpack(pack(earlier), OriginAnswer, "10.0.0.2")
    assert read == OriginAnswer(PROTOCOL_VERSION, 7, "v1", True, knows_versions=False)
    later = OriginAnswer(PROTOCOL_VERSION, 7, None, False, knows_versions=True)
    assert unpack(pack(later), EarlierOriginAnswer, "10.0.0.2") == EarlierOriginAnswer(
        PROTOCOL_VERSION, 7, None, False
    )
    assert read.versions == ()
    assert len(msgspec.structs.fields(OriginAnswer)) == 6


def test_a_peer_that_has_not_read_the_store_knows_no_versions() -> None:
    world = Exchanges(5)
    for node in world.network.nodes.values():
        node.state.directory_known = False
    finding = world.find(world.network.nodes["node-1"], "s-1")
    assert finding == OriginFinding(None, is_mixed=False, knows_versions=False, was_asked=True)
    world.network.close()


def test_a_version_that_is_recorded_is_possible_until_the_record_changes() -> None:
    origins = StreamOrigins(0.0)
    origins.note_versions(ENGINES, {"v1"}, 0.0)
    origins.apply_record(ENGINES, frozenset({"v0", "v1"}))
    assert origins.is_mixed(ENGINES, 1.0)
    # Until its streams are over, it may have been listed and left while this node saw no list.
    assert origins.outdated(ENGINES, STREAM_SECONDS - 1.0) == set()
    origins.note_versions(ENGINES, {"v1"}, STREAM_SECONDS)
    assert origins.outdated(ENGINES, STREAM_SECONDS) == {"v0"}
    assert origins.possible_versions(ENGINES, 2 * STREAM_SECONDS) == {"v0", "v1"}
    assert origins.outdated(ENGINES, 2 * STREAM_SECONDS) == set(), "no version is listed"
    origins.apply_record(ENGINES, frozenset({"v1"}))
    assert not origins.is_mixed(ENGINES, 1.0)
    origins.apply_record(ENGINES, None)
    assert origins.recorded(ENGINES) == frozenset()


def test_an_unrecorded_version_waits_for_its_record_for_a_bounded_time() -> None:
    origins = StreamOrigins(0.0)
    origins.apply_record(ENGINES, frozenset({"v1"}))
    origins.note_versions(ENGINES, {"v1", "v2"}, 10.0)
    assert origins.may_begin(ENGINES, "v1", 10.0)
    assert not origins.may_begin(ENGINES, "v2", 9.9 + UNRECORDED_SECONDS)
    origins.note_versions(ENGINES, {"v1", "v2"}, 12.0)
    assert origins.may_begin(ENGINES, "v2", 10.0 + UNRECORDED_SECONDS)
    origins.note_versions(ENGINES, {"v3"}, 20.0)
    assert not origins.may_begin(ENGINES, "v3", 20.1)
    origins.apply_record(ENGINES, frozenset({"v1", "v2", "v3"}))
    assert origins.may_begin(ENGINES, "v3", 20.1)


@pytest.mark.parametrize("is_recorded", [True, False])
def test_runners_of_an_unrecorded_version_begin_no_streams_for_a_while(is_recorded: bool) -> None:
    state = make_state(make_table(STREAM_ROUTE))
    now = [0.0]
    origins = StreamOrigins(0.0)
    versions = StreamVersions(state, origins, ReportedOrigins(), lambda: now[0])
    choice = VersionChoice(state, make_rng())
    choice.handle_may_begin(versions.may_begin)
    if is_recorded:
        state.apply(ServiceVersionsRecorded(ENGINES, frozenset({"v1"})), 0.0)
    # Versions that are listed at the start are not held back for a rollout order.
    state.directory_known = False
    state.apply(RunnerListed(make_entry("i-1", ENGINES, software="v1")), 0.0)
    state.apply(RunnerListed(make_entry("i-20", ENGINES, software="v2", revision=2)), 0.0)
    state.directory_known = True

    def usable(job: Job) -> set[str]:
        found = {r.entry.software for r in choice.usable(job, now[0]).candidates}
        assert {r.entry.software for r in choice.accepting(job, now[0])} == found
        return found

    all_versions = {"v1", "v2"}
    new_job = stream_job("s-1")
    assert usable(new_job) == ({"v1"} if is_recorded else all_versions)
    resumed = stream_job("s-2")
    resumed.software = "v2"
    assert usable(resumed) == {"v2"}, "a stream that is taken up goes on at its version"
    for kind, is_resumable in ((RouteKind.STREAM, False), (RouteKind.SAFE, False)):
        other = stream_job("s-3")
        other.route = make_route(kind, service=ENGINES, resumable=is_resumable)
        assert usable(other) == all_versions
    now[0] = UNRECORDED_SECONDS
    assert usable(new_job) == all_versions


# Guards against a version that is held back for its rollout order and gets all streams, because it
# is recorded and the version that serves is not.
def test_a_version_that_is_held_back_for_an_order_begins_no_streams_of_an_unrecorded_one() -> None:
    state = make_state(make_table(STREAM_ROUTE))
    versions = StreamVersions(state, StreamOrigins(0.0), ReportedOrigins(), lambda: 0.0)
    choice = VersionChoice(state, make_rng())
    choice.handle_may_begin(versions.may_begin)
    state.directory_known = False
    state.apply(RunnerListed(make_entry("i-1", ENGINES, software="v1")), 0.0)
    state.directory_known = True
    state.apply(ServiceVersionsRecorded(ENGINES, frozenset({"v2"})), 0.0)
    state.apply(RunnerListed(make_entry("i-20", ENGINES, software="v2", revision=2)), 0.0)
    usable = choice.usable(stream_job("s-1"), 0.0).candidates
    assert {runner.entry.software for runner in usable} == {"v1"}


@pytest.fixture
def world() -> Iterator[RecordWorld]:
    """Return a world with one node, at which one version is listed and recorded."""
    started = RecordWorld()
    started.list_runner("v1")
    started.run(3.0)
    yield started
    started.close()


def only(world: RecordWorld) -> RecordingNode:
    """Return the only node."""
    return world.nodes[0]


def assert_goes_on(found: Job | Exception, software: str) -> None:
    assert isinstance(found, Job), found
    assert found.software == software


def assert_refused(found: Job | Exception, reason: str) -> None:
    assert isinstance(found, RejectedError)
    assert (found.verdict, found.retry_after) == (Verdict.UNAVAILABLE, None)
    assert reason in found.message


SILENT = OriginFinding(None, is_mixed=False, knows_versions=False, was_asked=True)
NO_PEERS = replace(SILENT, was_asked=False)
KNOWING = replace(SILENT, knows_versions=True)


@pytest.mark.parametrize(
    ("finding", "is_current", "goes_on"),
    [
        (SILENT, True, True),
        (KNOWING, True, True),
        (KNOWING, False, True),
        (NO_PEERS, False, True),
        (SILENT, False, False),
    ],
)
def test_a_stream_of_unknown_origin_goes_on_only_if_a_node_knows_the_versions(
    world: RecordWorld, finding: OriginFinding, is_current: bool, goes_on: bool
) -> None:
    node = only(world)
    node.peers.finding = finding
    node.is_connected = is_current
    world.run(5.0)
    found = node.take_up("s-1")
    if goes_on:
        assert_goes_on(found, "v1")
    else:
        assert_refused(found, "versions that the service has had are not known")


@pytest.mark.parametrize("finding", [SILENT, KNOWING, NO_PEERS])
def test_a_stream_of_unknown_origin_is_refused_at_a_node_that_has_not_read_the_store(
    world: RecordWorld, finding: OriginFinding
) -> None:
    node = only(world)
    node.state.directory_known = False
    node.peers.finding = finding
    found = node.take_up("s-1")
    if finding.knows_versions:
        assert_goes_on(found, "v1")
    else:
        assert_refused(found, "are not known")


def test_a_stream_of_unknown_origin_is_refused_while_versions_are_mixed(world: RecordWorld) -> None:
    world.list_runner("v2")
    world.run(1.0)
    assert_refused(only(world).take_up("s-1"), "version that began the stream is not known")
    world.unlist_runner("v1")
    world.run(2.0)
    assert_refused(only(world).take_up("s-1"), "version that began the stream is not known")


def test_a_stream_of_unknown_origin_is_refused_if_a_peer_knows_of_several_versions(
    world: RecordWorld,
) -> None:
    only(world).peers.finding = replace(KNOWING, is_mixed=True)
    assert_refused(only(world).take_up("s-1"), "version that began the stream is not known")


# Guards against nodes that have just started: they listed one version, the record names another.
def test_a_stream_of_unknown_origin_is_refused_if_the_record_names_another_version(
    world: RecordWorld,
) -> None:
    world.records.replace(ENGINES, {"v0", "v1"})
    late = world.add("node-9")
    world.run(1.0)
    assert_refused(late.take_up("s-1"), "version that began the stream is not known")


def test_a_stream_whose_only_possible_version_has_no_runner_is_refused(world: RecordWorld) -> None:
    world.unlist_runner("v1")
    world.run(1.0)
    assert_refused(only(world).take_up("s-1"), "no runner of version v1")


def test_a_stream_that_another_node_recorded_goes_on_at_its_version(world: RecordWorld) -> None:
    world.list_runner("v2")
    world.run(1.0)
    only(world).apply(StreamsRecorded(ENGINES, "v2", ("s-1", "s-2")))
    world.run(0.1)
    assert_goes_on(only(world).take_up("s-1"), "v2")
    only(world).apply(StreamsRecorded(ENGINES, "v1", ("s-2",)))
    world.run(0.1)
    assert_goes_on(only(world).take_up("s-2"), "v2")
    assert only(world).peers.questions == 0
    world.run(STREAM_SECONDS)
    assert_refused(only(world).take_up("s-1"), "not known")


def test_a_stream_that_a_peer_knows_goes_on_at_its_version(world: RecordWorld) -> None:
    world.list_runner("v2")
    world.run(1.0)
    only(world).peers.finding = replace(SILENT, software="v2", is_mixed=True)
    assert_goes_on(only(world).take_up("s-1"), "v2")


def test_streams_that_other_nodes_recorded_are_not_recorded_again(world: RecordWorld) -> None:
    only(world).apply(StreamsRecorded(ENGINES, "v1", ("s-1",)))
    only(world).begin("s-2")
    world.run(0.1)
    world.list_runner("v2")
    world.run(2.0)
    assert world.records.attempts() == {"s-2"}
    assert {o.attempt_id for o in only(world).peers.reported} == {"s-1", "s-2"}


def test_a_record_that_arrives_before_the_listing_makes_a_node_report_its_earlier_streams(
    world: RecordWorld,
) -> None:
    only(world).begin("s-1")
    world.run(0.1)
    assert not only(world).peers.reported
    world.records.replace(ENGINES, {"v1", "v2"})
    world.run(0.5)
    assert {o.attempt_id for o in only(world).peers.reported} == {"s-1"}
    assert world.records.attempts() == {"s-1"}
    world.list_runner("v2")
    world.run(2.0)
    assert [o.attempt_id for o in only(world).peers.reported] == ["s-1"]


def test_a_service_that_is_mixed_again_reports_its_streams_again(world: RecordWorld) -> None:
    world.list_runner("v2")
    world.run(STREAM_SECONDS)
    world.unlist_runner("v2")
    world.run(STREAM_SECONDS + 5.0)
    assert world.records.versions() == {"v1"}
    assert not only(world).origins.is_mixed(ENGINES, world.scheduler.now)
    only(world).begin("s-1")
    world.run(1.0)
    assert not world.records.attempts()
    world.list_runner("v3")
    world.run(1.0)
    assert world.records.attempts() == {"s-1"}
    assert {o.attempt_id for o in only(world).peers.reported} == {"s-1"}
