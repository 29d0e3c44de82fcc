"""Records in the store what nodes that start have to know of the streams of earlier processes.

The store holds which software versions may have begun streams of a service, written before a
version begins streams, and the origins of the streams themselves while there are several versions.
A node that starts knows both from its first read of the store.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from hillstack.core.store_revision import StoreRevision
from hillstack.core.stream_origins import StreamOrigin, StreamOrigins
from hillstack.errors import PlatformError
from hillstack.logs import error_fields
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.stream_versions import CURRENT_SECONDS

logger = logging.getLogger(__name__)

# Interval of the check for versions that have come or left, if nothing reports one.
CHECK_SECONDS = 1.0
# Pause between two writes of origins. In a large deployment it is longer, since all nodes read what
# each of them writes.
MIN_WRITE_SECONDS = 0.25
WRITE_SECONDS_PER_NODE = 0.01
# Pause after a call that failed.
RETRY_SECONDS = 0.5
# Nodes record a new version in turn, each after this many seconds more than the one before.
TURN_SECONDS = 0.1
MAX_TURN = 9
# Streams and seconds after which another segment is begun, so that each write is short.
MAX_SEGMENT_STREAMS = 200
MAX_SEGMENT_SECONDS = 5.0
# Segments in one write; the store accepts 32 entries.
MAX_SEGMENTS_WRITTEN = 16
# Origins that wait to be written; later ones are dropped while the store accepts no writes.
MAX_WAITING = 2_000
# Longer identifiers of callers' tries are not recorded.
MAX_ATTEMPT_CHARACTERS = 64


@dataclass(frozen=True, slots=True)
class RecordedVersions:
    """The versions recorded of a service, at a revision of the store."""

    versions: frozenset[str]
    revision: StoreRevision


@dataclass(slots=True)
class StreamSegment:
    """Some streams of this process that began at one version of a service.

    Attributes:
        number: Number among the segments of this process.
        began_at: When the first stream was added.
        attempts: The callers' tries that brought the first events.
    """

    number: int
    service: str
    software: str
    began_at: float
    attempts: list[str] = field(default_factory=list)

    def is_full(self, now: float) -> bool:
        """Return whether the next stream belongs to another segment."""
        is_long = len(self.attempts) >= MAX_SEGMENT_STREAMS
        return is_long or now >= self.began_at + MAX_SEGMENT_SECONDS


class RecordStore(Protocol):
    """The records in the store; each call raises ``PlatformError`` on failure."""

    async def read_versions(self, service: str) -> RecordedVersions:
        """Return the versions recorded of a service; none if there is no record."""
        ...

    async def write_versions(
        self, service: str, versions: Collection[str], expected: StoreRevision
    ) -> bool:
        """Replace a record if it has the expected revision; return whether it had."""
        ...

    async def write_streams(self, segments: Sequence[StreamSegment]) -> bool:
        """Write segments of this process; return whether they were written."""
        ...


class StreamRecorder:
    """Writes the records of a node.

    Args:
        state: State of the node.
        origins: The origins and versions that the node knows.
        store: The records.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        state: FleetState,
        origins: StreamOrigins,
        store: RecordStore,
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._origins = origins
        self._store = store
        self._clock = clock
        self._versions_changed = asyncio.Event()
        self._has_streams = asyncio.Event()
        self._waiting: list[StreamOrigin] = []
        self._segments: dict[tuple[str, str], StreamSegment] = {}
        self._segment_count = 0
        self._next_write_at = float("-inf")
        # Records that the store may have lost in a restore from an older copy, by service.
        self._unverified: dict[str, frozenset[str]] = {}
        state.store_era.handle_new(lambda _: self._handle_restore())
        # Since when a difference between a record and the listed versions is known, by service.
        self._differs_since: dict[str, float] = {}
        # Until when a service whose record was not accepted is left, by service.
        self._paused_until: dict[str, float] = {}

    def record(self, origins: Iterable[StreamOrigin]) -> None:
        """Record the origins of streams, soon and as far as the store accepts them."""
        known = [o for o in origins if len(o.attempt_id) <= MAX_ATTEMPT_CHARACTERS]
        # The latest ones are those whose callers are still there.
        self._waiting = [*self._waiting, *known][-MAX_WAITING:]
        if self._waiting:
            self._has_streams.set()

    def record_versions(self) -> None:
        """Record the versions that are listed, soon, because there is a new one."""
        self._versions_changed.set()

    async def run(self) -> None:
        """Write what is due until cancelled."""
        await self._state.start_gate.wait_for_first_read()
        async with asyncio.TaskGroup() as running:
            running.create_task(self._run_versions())
            running.create_task(self._run_streams())

    async def _run_versions(self) -> None:
        while True:
            self._versions_changed.clear()
            pause = await self._record_all_versions()
            if pause < CHECK_SECONDS:
                await asyncio.sleep(pause)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_SECONDS):
                    await self._versions_changed.wait()

    async def _run_streams(self) -> None:
        while True:
            await self._has_streams.wait()
            if not self._state.directory_known:
                await asyncio.sleep(MIN_WRITE_SECONDS)
                continue
            self._has_streams.clear()
            await asyncio.sleep(max(0.0, self._next_write_at - self._clock()))
            waiting, self._waiting = self._waiting, []
            try:
                await self._write_streams(waiting)
            except PlatformError as error:
                logger.info("streams not recorded", extra=error_fields(error))
                self._next_write_at = self._clock() + RETRY_SECONDS
                self._wait_again(waiting)

    async def _record_all_versions(self) -> float:
        """Record what differs from the listed versions; return the seconds until more is due."""
        table = self._state.table
        if table is None or not self._state.directory_known:
            return CHECK_SECONDS
        # Only those of the configuration: another writer's entry may name any service.
        services = sorted(self._origins.services() & table.services.keys())
        pauses = [await self._try_versions(service) for service in services]
        return min(pauses, default=CHECK_SECONDS)

    async def _try_versions(self, service: str) -> float:
        """Record the versions of a service; a record that is not accepted affects no other."""
        left = self._paused_until.get(service, float("-inf")) - self._clock()
        if left > 0:
            return left
        try:
            return await self._work_on_versions(service)
        except PlatformError as error:
            logger.info("versions not recorded", extra=error_fields(error) | {"service": service})
            self._paused_until[service] = self._clock() + RETRY_SECONDS
            return RETRY_SECONDS

    def _handle_restore(self) -> None:
        """Write again what the store may have lost in a restore from an older copy."""
        now = self._clock()
        for service in self._origins.services():
            self._unverified[service] = self._origins.recorded(service)
            if self._origins.is_mixed(service, now):
                known = self._origins.of_service(service, now)
                self.record(origin for origin in known if origin.is_local)

    async def _work_on_versions(self, service: str) -> float:
        now = self._clock()
        added, removed = self._origins.unrecorded(service, now), self._removable(service, now)
        added = added | self._unverified.get(service, frozenset())
        if not added and not removed:
            self._differs_since.pop(service, None)
            return CHECK_SECONDS
        since = self._differs_since.setdefault(service, now)
        left = since + self._turn_seconds() - now
        if left > 0:
            return left
        is_written = await self._write_versions(service, added, removed)
        return TURN_SECONDS if is_written else RETRY_SECONDS

    def _removable(self, service: str, now: float) -> set[str]:
        """Return the recorded versions that this node has not seen for as long as streams last."""
        is_current = self._state.freshness.age(now) <= CURRENT_SECONDS
        if not is_current or not self._origins.knows_all_versions(now):
            return set()
        return self._origins.outdated(service, now)

    def _turn_seconds(self) -> float:
        """Return how long this node leaves the write to other nodes."""
        order = self._state.nodes.relay_order(None)
        is_listed = self._state.node_id in order
        place = order.index(self._state.node_id) if is_listed else len(order)
        return TURN_SECONDS * min(place, MAX_TURN)

    async def _write_versions(self, service: str, added: set[str], removed: set[str]) -> bool:
        """Change a record; return False if another node has changed it at the same time."""
        stored = await self._store.read_versions(service)
        listed = self._origins.recent(service, self._clock())
        versions = (stored.versions - removed) | added | listed
        if versions != stored.versions:
            if not await self._store.write_versions(service, versions, stored.revision):
                return False
            fields = {"service": service, "versions": sorted(versions)}
            logger.info("versions of a service recorded", extra=fields)
        self._unverified.pop(service, None)
        self._origins.apply_record(service, versions, self._clock())
        return True

    async def _write_streams(self, waiting: Sequence[StreamOrigin]) -> None:
        nodes = len(self._state.nodes)
        interval = max(MIN_WRITE_SECONDS, WRITE_SECONDS_PER_NODE * nodes)
        self._next_write_at = self._clock() + interval
        changed = {segment.number: segment for segment in map(self._add, waiting)}
        segments = list(changed.values())
        for first in range(0, len(segments), MAX_SEGMENTS_WRITTEN):
            written = segments[first : first + MAX_SEGMENTS_WRITTEN]
            if not await self._store.write_streams(written):
                self._wait_again(waiting)
                return

    def _add(self, origin: StreamOrigin) -> StreamSegment:
        """Add a stream to the open segment of its version; return the segment."""
        key = origin.service, origin.software
        segment = self._segments.get(key)
        if segment is None or segment.is_full(self._clock()):
            self._segment_count += 1
            segment = StreamSegment(
                self._segment_count, origin.service, origin.software, self._clock()
            )
            self._segments[key] = segment
        if origin.attempt_id not in segment.attempts:
            segment.attempts.append(origin.attempt_id)
        return segment

    def _wait_again(self, origins: Sequence[StreamOrigin]) -> None:
        self._waiting = [*origins, *self._waiting][-MAX_WAITING:]
        self._has_streams.set()
