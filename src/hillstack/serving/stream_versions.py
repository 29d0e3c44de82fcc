"""Keeps each stream at the software version that began it, over all tries of its caller.

A caller that takes a stream up names the last event that it has, and the try that brought the first
one. The stream goes on only if the version that began it is known and has runners; otherwise the
caller is refused at once, without a time to come back, since only a new stream can be served.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from hillstack.core.routing_table import RouteKind
from hillstack.core.stream_origins import StreamOrigin, StreamOrigins
from hillstack.logs import rounded_seconds
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job
from hillstack.serving.ports import (
    NoOriginRecords,
    OriginFinding,
    OriginRecords,
    OriginSource,
)
from hillstack.serving.store_events import ServiceVersionsRecorded, StreamRecord
from hillstack.serving.types import RejectedError, Verdict

logger = logging.getLogger(__name__)

# Interval of the check whether a service has runners of another version than before.
CHECK_SECONDS = 0.5
# The copy of the store is up to date while it is younger: twice the interval of two polls without
# changes.
CURRENT_SECONDS = 2.0


class StreamVersions:
    """Restricts streams that are taken up to the version that began them.

    Args:
        state: State of the node.
        origins: The origins of streams that this node knows.
        source: Reports origins to other nodes, and finds theirs.
        clock: Monotonic seconds.
        records: Records origins in the store.
    """

    def __init__(
        self,
        state: FleetState,
        origins: StreamOrigins,
        source: OriginSource,
        clock: Callable[[], float],
        records: OriginRecords | None = None,
    ) -> None:
        self._records = records or NoOriginRecords()
        self._state = state
        self._origins = origins
        self._source = source
        self._clock = clock
        # Versions of the listed runners by service, and the generation of the pool.
        self._listed: dict[str, set[str]] = {}
        self._generation = -1
        # Services with streams of several versions, whose earlier streams were reported.
        self._mixed: set[str] = set()
        state.handle_listed(self._note_listed)
        state.handle_stream_records(self._apply_record)

    async def run(self) -> None:
        """Check the versions of all services regularly until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            services = {runner.entry.service for runner in self._state.pool.all()}
            for service in services:
                self._update(service)

    def began(self, job: Job, software: str) -> None:
        """Record the version of the runner that brings the first event of a stream."""
        self._update(job.service)
        attempt_id = job.request.resumes or job.request.request_id
        origin = StreamOrigin(attempt_id, job.service, software, self._clock())
        self._origins.record(origin)
        if self._origins.is_mixed(job.service, origin.began_at):
            self._source.report([origin])
            if job.route.resumable:
                self._records.record([origin])

    def may_begin(self, job: Job, software: str) -> bool:
        """Return whether a version may begin the stream of a request."""
        is_resumable = job.route.kind is RouteKind.STREAM and job.route.resumable
        return not is_resumable or self._origins.may_begin(job.service, software, self._clock())

    async def restrict(self, job: Job) -> None:
        """Restrict a stream that is taken up to the version that began it.

        Raises:
            RejectedError: The version is not known, or has no runners.
        """
        if job.route.kind is not RouteKind.STREAM or not job.request.last_event_id:
            return
        self._update(job.service)
        job.software = await self._find_version(job)
        if job.software is not None and not self._has_runner(job, job.software):
            raise self._refusal(job, f"no runner of version {job.software} that began the stream")
        fields: dict[str, object] = {
            "request": job.request.request_id,
            "resumes": job.request.resumes,
            "software": job.software,
            "copy_age_seconds": rounded_seconds(self._state.freshness.age(self._clock())),
        }
        logger.info("stream taken up", extra=fields)

    async def _find_version(self, job: Job) -> str | None:
        """Return the version that began a stream; None if its service has no versions.

        A stream of unknown origin goes on only if its service has had one version, as far as a node
        knows that has read the records of the store, and is told of the streams that began since,
        or has an up-to-date copy of the store.
        """
        service, attempt_id = job.service, job.request.resumes
        software = self._origins.find(attempt_id, service, self._clock())
        if software is not None:
            return software
        finding = await self._source.find(service, attempt_id)
        software = finding.software or self._origins.find(attempt_id, service, self._clock())
        if software is not None:
            return software
        versions = self._origins.possible_versions(service, self._clock()) | finding.versions
        if finding.is_mixed or len(versions) > 1:
            raise self._refusal(job, "the version that began the stream is not known")
        if not self._knows_versions(finding):
            raise self._refusal(job, "the versions that the service has had are not known")
        return next(iter(versions), None)

    def _knows_versions(self, finding: OriginFinding) -> bool:
        """Return whether some node knows all versions that the service has had lately."""
        if finding.knows_versions:
            return True
        is_current = self._state.freshness.age(self._clock()) <= CURRENT_SECONDS
        return self._state.directory_known and (is_current or not finding.was_asked)

    def _note_listed(self, service: str, software: str) -> None:
        """Report the known streams of a service at once if a runner of another version comes."""
        self._apply_versions(service, {software})

    def _has_runner(self, job: Job, software: str) -> bool:
        now = self._clock()
        return any(
            runner.entry.software == software and runner.will_accept(now)
            for runner in self._state.pool.of_service(job.service)
        )

    def _refusal(self, job: Job, text: str) -> RejectedError:
        fields = {"request": job.request.request_id, "resumes": job.request.resumes}
        logger.info("stream not taken up", extra=fields | {"reason": text})
        return RejectedError(Verdict.UNAVAILABLE, text, step="resume")

    def _update(self, service: str) -> None:
        """Apply the versions that are listed; report the known streams if there are new ones."""
        pool = self._state.pool
        if pool.generation != self._generation:
            self._generation = pool.generation
            self._listed.clear()
        listed = self._listed.get(service)
        if listed is None:
            listed = {runner.entry.software for runner in pool.of_service(service)}
            self._listed[service] = listed
        self._apply_versions(service, listed)

    def _apply_versions(self, service: str, listed: set[str]) -> None:
        now = self._clock()
        self._origins.note_versions(service, listed, now)
        self._report_if_mixed(service)
        if self._origins.unrecorded(service, now):
            self._records.record_versions()

    def _report_if_mixed(self, service: str) -> None:
        """Report the known streams of a service if it has got a second version."""
        now = self._clock()
        if not self._origins.is_mixed(service, now):
            self._mixed.discard(service)
        elif service not in self._mixed:
            self._mixed.add(service)
            known = self._origins.of_service(service, now)
            self._source.report(known)
            self._records.record(origin for origin in known if origin.is_local)

    def _apply_record(self, event: StreamRecord) -> None:
        """Apply what the store records of streams."""
        if isinstance(event, ServiceVersionsRecorded):
            self._origins.apply_record(event.service, event.versions, self._clock())
            self._report_if_mixed(event.service)
            return
        now = self._clock()
        for attempt_id in event.attempts:
            origin = StreamOrigin(attempt_id, event.service, event.software, now, is_local=False)
            self._origins.record(origin)
