"""What the store keeps of streams: the versions of services, and the origins of streams."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Sequence

import msgspec

from hillstack.core.store_revision import NO_REVISION, StoreRevision
from hillstack.core.stream_origins import STREAM_SECONDS
from hillstack.daemon.change_log import StoredItem
from hillstack.daemon.key_value import Put, RevisionIs
from hillstack.daemon.stream_recorder import RecordedVersions, StreamSegment
from hillstack.errors import PlatformError
from hillstack.logs import error_fields
from hillstack.platform import names
from hillstack.platform.bodies import ServiceVersionsBody, StreamsBody
from hillstack.platform.formats import decode_service_versions
from hillstack.platform.reused_lease import ReusedLease
from hillstack.platform.store import MetadataStore

logger = logging.getLogger(__name__)

# How long a lease is used for further writes.
LEASE_REUSE_SECONDS = 10.0


class StreamRecords:
    """Reads and writes the records.

    Args:
        store: The platform's store.
        node_id: This node.
        process: Name of this process, which no other process of the node has.
        clock: Monotonic seconds.
    """

    def __init__(
        self, store: MetadataStore, node_id: str, process: str, clock: Callable[[], float]
    ) -> None:
        self._store = store
        self._prefix = f"{names.STREAMS_PREFIX}{node_id}/{process}-"
        self._lease = ReusedLease(
            store, clock, STREAM_SECONDS + LEASE_REUSE_SECONDS, LEASE_REUSE_SECONDS
        )

    async def read_versions(self, service: str) -> RecordedVersions:
        """Return the versions recorded of a service; none if the record can't be decoded.

        Raises:
            PlatformError: The call failed.
        """
        entry = await self._store.get(names.SERVICE_VERSIONS_PREFIX + service)
        if entry is None:
            return RecordedVersions(frozenset(), NO_REVISION)
        item = StoredItem(entry.key, entry.mod_revision, entry.value)
        try:
            versions = decode_service_versions(item)
        except PlatformError as error:
            logger.warning("record of versions replaced", extra=error_fields(error))
            versions = frozenset()
        return RecordedVersions(versions, entry.mod_revision)

    async def write_versions(
        self, service: str, versions: Collection[str], expected: StoreRevision
    ) -> bool:
        """Replace the record of a service if it has the expected revision; return whether it had.

        Raises:
            PlatformError: The call failed.
        """
        key = names.SERVICE_VERSIONS_PREFIX + service
        put = Put(key, msgspec.json.encode(ServiceVersionsBody(sorted(versions))))
        return await self._store.transact([RevisionIs(key, expected)], [put]) is not None

    async def write_streams(self, segments: Sequence[StreamSegment]) -> bool:
        """Write segments of this process; return False if their lease has ended.

        Raises:
            PlatformError: The call failed.
        """
        lease_id = await self._lease.current()
        puts = [
            Put(
                f"{self._prefix}{segment.number}",
                msgspec.json.encode(
                    StreamsBody(segment.service, segment.software, segment.attempts)
                ),
                lease_id,
            )
            for segment in segments
        ]
        if await self._store.transact([], puts) is not None:
            return True
        self._lease.discard()
        return False
