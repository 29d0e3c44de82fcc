"""Which version began a stream: what nodes keep, report and are asked, in virtual time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import pytest

from hillstack.core.stream_origins import MAX_STREAMS, STREAM_SECONDS, StreamOrigin, StreamOrigins
from hillstack.daemon.origin_exchange import KEEPERS, OriginExchange
from hillstack.messages.datagrams import DatagramKind
from hillstack.serving.ports import OriginFinding
from hillstack.serving.store_events import RunnerListed
from hillstack.serving.stream_versions import StreamVersions
from tests.fleet.builders import ENGINES, make_entry, make_state, make_table
from tests.fleet.node_network import NodeNetwork, SimulatedNode


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
