"""Nodes that record versions and streams in a store, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from hillstack.core.node_directory import NodeEntry
from hillstack.core.routing_table import RouteKind
from hillstack.core.store_revision import NO_REVISION, StoreRevision
from hillstack.core.stream_origins import StreamOrigin, StreamOrigins
from hillstack.daemon.stream_recorder import RecordedVersions, StreamRecorder, StreamSegment
from hillstack.errors import PlatformUnavailableError
from hillstack.serving.event_framing import EventFraming
from hillstack.serving.job import Job
from hillstack.serving.ports import OriginFinding
from hillstack.serving.store_events import (
    RunnerListed,
    RunnerUnlisted,
    ServiceVersionsRecorded,
    StoreEvent,
)
from hillstack.serving.stream_versions import StreamVersions
from hillstack.simulation.virtual_loop import Scheduler
from tests.fleet.builders import (
    ENGINES,
    make_entry,
    make_request,
    make_route,
    make_state,
    make_table,
    rev,
)

CALL_SECONDS = 0.01
WATCH_SECONDS = 0.01
POLL_SECONDS = 0.5
STREAM_ROUTE = make_route(RouteKind.STREAM, service=ENGINES, resumable=True)
KNOWN_TO_PEERS = OriginFinding(None, is_mixed=False, knows_versions=True, was_asked=True)


def stream_job(request_id: str, last_event_id: int | None = None, resumes: str = "") -> Job:
    """Return a request for a stream that can be taken up."""
    request = make_request(request_id=request_id, last_event_id=last_event_id)
    request.resumes = resumes
    return Job(request, STREAM_ROUTE, ENGINES, None, 0, 1e9, EventFraming(last_event_id))


@dataclass
class FakePeers:
    """Collects the origins that a node reports, and answers its questions."""

    finding: OriginFinding = KNOWN_TO_PEERS
    reported: list[StreamOrigin] = field(default_factory=list)
    questions: int = 0

    def report(self, origins: Iterable[StreamOrigin]) -> None:
        self.reported.extend(origins)

    async def find(self, service: str, attempt_id: str) -> OriginFinding:
        self.questions += 1
        return self.finding


@dataclass
class FakeRecords:
    """Records that all nodes share; each call takes ``CALL_SECONDS``.

    Attributes:
        fails: Whether each call fails.
        lease_ended: Whether writes of streams find their lease ended.
        calls: When calls were made.
        writes: Each write of versions: its time, and the versions.
        batches: Each accepted write of streams: its time, and the segments.
    """

    world: RecordWorld
    fails: bool = False
    lease_ended: bool = False
    calls: list[float] = field(default_factory=list)
    recorded: dict[str, RecordedVersions] = field(default_factory=dict)
    writes: list[tuple[float, set[str]]] = field(default_factory=list)
    batches: list[tuple[float, list[StreamSegment]]] = field(default_factory=list)
    conflicts: int = 0
    revision: int = 1

    async def read_versions(self, service: str) -> RecordedVersions:
        await self._call()
        return self.recorded.get(service, RecordedVersions(frozenset(), NO_REVISION))

    async def write_versions(
        self, service: str, versions: Collection[str], expected: StoreRevision
    ) -> bool:
        await self._call()
        found = self.recorded.get(service)
        if (found.revision if found is not None else NO_REVISION) != expected:
            self.conflicts += 1
            return False
        self.replace(service, versions)
        return True

    async def write_streams(self, segments: Sequence[StreamSegment]) -> bool:
        await self._call()
        if self.lease_ended:
            return False
        copies = [
            StreamSegment(s.number, s.service, s.software, s.began_at, list(s.attempts))
            for s in segments
        ]
        self.batches.append((self.world.scheduler.now, copies))
        return True

    def replace(self, service: str, versions: Collection[str]) -> None:
        """Replace a record; connected nodes read it soon."""
        self.revision += 1
        self.recorded[service] = RecordedVersions(frozenset(versions), rev(self.revision))
        self.writes.append((self.world.scheduler.now, set(versions)))
        self.world.publish(ServiceVersionsRecorded(service, frozenset(versions)))

    def versions(self, service: str = ENGINES) -> set[str]:
        """Return the versions recorded of a service."""
        found = self.recorded.get(service)
        return set(found.versions) if found is not None else set()

    def attempts(self) -> set[str]:
        """Return all recorded streams."""
        return {a for _, segments in self.batches for s in segments for a in s.attempts}

    async def _call(self) -> None:
        self.calls.append(self.world.scheduler.now)
        await asyncio.sleep(CALL_SECONDS)
        if self.fails:
            raise PlatformUnavailableError("down", step="call", peer="store")


class RecordingNode:
    """One node: what it knows, its recorder and its restriction of streams."""

    def __init__(self, world: RecordWorld, node_id: str, *, follows: bool = True) -> None:
        self.world = world
        self.is_connected = True
        self.state = make_state(make_table(STREAM_ROUTE))
        self.state.node_id = node_id
        self.peers = FakePeers()
        clock = world.scheduler.clock
        self.origins = StreamOrigins(clock())
        self.recorder = StreamRecorder(self.state, self.origins, world.records, clock)
        self.versions = StreamVersions(self.state, self.origins, self.peers, clock, self.recorder)
        self.loop = world.scheduler.new_loop()
        self.state.freshness.prove(clock())
        if follows:
            self.start()

    def start(self) -> None:
        self.world.scheduler.spawn(self.loop, self.recorder.run())
        self.world.scheduler.spawn(self.loop, self.versions.run())
        self._poll()

    def _poll(self) -> None:
        scheduler = self.world.scheduler
        if self.is_connected:
            self.state.freshness.prove(scheduler.now)
        scheduler.at(scheduler.now + POLL_SECONDS, self._poll)

    def apply(self, event: StoreEvent) -> None:
        """Apply a change of the store on the loop of the node."""
        self.loop.call_soon(lambda: self.state.apply(event, self.world.scheduler.now))

    def begin(self, *attempts: str, software: str = "v1") -> None:
        """Bring the first events of streams."""
        for attempt_id in attempts:
            job = stream_job(attempt_id)
            self.loop.call_soon(self.versions.began, job, software)

    def take_up(self, attempt_id: str) -> Job | Exception:
        """Take a stream up; return the restricted request, or the error."""
        job = stream_job(f"{attempt_id}-again", last_event_id=3, resumes=attempt_id)
        task = self.world.scheduler.spawn(self.loop, self.versions.restrict(job))
        self.world.run(0.1)
        error = task.exception()
        assert error is None or isinstance(error, Exception)
        return error or job


class RecordWorld:
    """A store with records, and the nodes that write them.

    Args:
        nodes: Number of nodes that run from the beginning.
    """

    def __init__(self, nodes: int = 1) -> None:
        self.scheduler = Scheduler()
        self.records = FakeRecords(self)
        self.nodes: list[RecordingNode] = []
        self._listed: dict[str, RunnerListed] = {}
        for number in range(nodes):
            self.add(f"node-{number}")

    def add(self, node_id: str) -> RecordingNode:
        """Start a node, which has read the store."""
        node = RecordingNode(self, node_id)
        self.nodes.append(node)
        for each in self.nodes:
            for other in self.nodes:
                entry = NodeEntry(other.state.node_id, "10.0.0.9:1", "zone-a")
                each.state.nodes.list_node(entry)
        for event in self._listed.values():
            node.apply(event)
        for service, found in self.records.recorded.items():
            node.apply(ServiceVersionsRecorded(service, found.versions))
        return node

    def in_turn(self) -> list[RecordingNode]:
        """Return the nodes in the order in which they record a new version."""
        order = self.nodes[0].state.nodes.relay_order(None)
        return sorted(self.nodes, key=lambda node: order.index(node.state.node_id))

    def publish(self, event: StoreEvent) -> None:
        """Let all connected nodes read a change soon."""

        def deliver() -> None:
            for node in self.nodes:
                if node.is_connected:
                    node.apply(event)

        self.scheduler.at(self.scheduler.now + WATCH_SECONDS, deliver)

    def list_runner(self, software: str, runner_id: str = "") -> None:
        """List a runner of a version."""
        name = runner_id or f"runner-of-{software}"
        self.records.revision += 1
        entry = make_entry(name, ENGINES, software=software, revision=self.records.revision)
        self._listed[name] = RunnerListed(entry)
        self.publish(self._listed[name])

    def unlist_runner(self, software: str) -> None:
        """Remove the runner of a version from the list."""
        name = f"runner-of-{software}"
        self.records.revision += 1
        entry = self._listed.pop(name).entry
        self.publish(RunnerUnlisted(entry.directory_name, rev(self.records.revision)))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.scheduler.run_until(self.scheduler.now + seconds)

    def close(self) -> None:
        """End all tasks."""
        self.scheduler.close()
