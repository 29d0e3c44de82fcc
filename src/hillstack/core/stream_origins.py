"""Which software version began which stream, and which versions a service has had lately.

The events of two versions don't fit together, so a stream may go on only at the version that began
it. A node learns the version of each stream that it begins, and keeps it for the streams of other
nodes, too (``daemon.origin_exchange``). The versions of a service, and the origins of its streams
while it has several, are also recorded in the store, for nodes that start
(``daemon.stream_recorder``).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

# Longer than the deadlines of known deployments, after which no caller takes a stream up again.
STREAM_SECONDS = 30.0
# How long runners of a version that is not recorded begin no streams that can be taken up: several
# times the duration of the write.
UNRECORDED_SECONDS = 3.0
# Streams of ``STREAM_SECONDS`` at more than a thousand a second.
MAX_STREAMS = 32_768


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The first event of a stream.

    Attributes:
        attempt_id: The caller's try that brought the first event.
        service: Service of the runner.
        software: Version of the runner's software.
        began_at: When the origin was recorded.
        is_local: Whether this node began the stream.
    """

    attempt_id: str
    service: str
    software: str
    began_at: float
    is_local: bool = True


class StreamOrigins:
    """The origins of recent streams, and the recent versions of each service.

    Args:
        started_at: When this node started; it does not know of earlier versions.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._origins: OrderedDict[str, StreamOrigin] = OrderedDict()
        # By service and version, until when a stream of the version may be taken up again.
        self._versions: dict[str, dict[str, float]] = {}
        # The versions that the store records, by service.
        self._recorded: dict[str, frozenset[str]] = {}
        # When this node learned that a version is recorded, by service and version.
        self._recorded_since: dict[tuple[str, str], float] = {}
        # When a version was listed that was not recorded, by service and version.
        self._unrecorded_since: dict[tuple[str, str], float] = {}

    def record(self, origin: StreamOrigin) -> None:
        """Record the origin of a stream; the first one of an attempt stays."""
        self._origins.setdefault(origin.attempt_id, origin)
        while len(self._origins) > MAX_STREAMS:
            self._origins.popitem(last=False)

    def find(self, attempt_id: str, service: str, now: float) -> str | None:
        """Return the version that began the stream of an attempt, or None if it is not known."""
        self._expire(now)
        origin = self._origins.get(attempt_id)
        return origin.software if origin is not None and origin.service == service else None

    def of_service(self, service: str, now: float) -> list[StreamOrigin]:
        """Return the origins of the recent streams of a service."""
        self._expire(now)
        return [origin for origin in self._origins.values() if origin.service == service]

    def note_versions(self, service: str, listed: Iterable[str], now: float) -> bool:
        """Record the versions that are listed; return whether the service has become mixed."""
        was_mixed = self.is_mixed(service, now)
        versions = self._versions.setdefault(service, {})
        for version in listed:
            versions[version] = now + STREAM_SECONDS
            if version not in self._recorded.get(service, ()):
                self._unrecorded_since.setdefault((service, version), now)
        return self.is_mixed(service, now) and not was_mixed

    def apply_record(self, service: str, versions: frozenset[str] | None, now: float = 0.0) -> None:
        """Apply the versions that the store records of a service; None if it has no record."""
        before = self._recorded.pop(service, frozenset())
        if versions is None:
            return
        self._recorded[service] = versions
        for version in versions:
            self._unrecorded_since.pop((service, version), None)
            if version not in before:
                self._recorded_since[service, version] = now

    def recorded(self, service: str) -> frozenset[str]:
        """Return the versions that the store records of a service; none without a record."""
        return self._recorded.get(service, frozenset())

    def services(self) -> set[str]:
        """Return the services of which versions were listed or are recorded."""
        return self._versions.keys() | self._recorded.keys()

    def unrecorded(self, service: str, now: float) -> set[str]:
        """Return the recent versions of a service that the store does not record."""
        return self.recent(service, now) - self._recorded.get(service, frozenset())

    def outdated(self, service: str, now: float) -> set[str]:
        """Return the recorded versions whose streams are over; empty if none is recent.

        A version that was recorded lately may have been listed and left while this node had no
        up-to-date list.
        """
        recent = self.recent(service, now)
        if not recent:
            return set()
        return {
            version
            for version in self._recorded.get(service, frozenset()) - recent
            if now >= self._recorded_since.get((service, version), now) + STREAM_SECONDS
        }

    def may_begin(self, service: str, version: str, now: float) -> bool:
        """Return whether a version may begin streams that can be taken up.

        A version that is not recorded has to wait for that, but only for a while: the store may
        not accept writes.
        """
        since = self._unrecorded_since.get((service, version))
        if since is None or now >= since + UNRECORDED_SECONDS:
            return True
        return version in self._recorded.get(service, ())

    def is_mixed(self, service: str, now: float) -> bool:
        """Return whether streams of more than one version may be taken up again."""
        return len(self.possible_versions(service, now)) > 1

    def possible_versions(self, service: str, now: float) -> set[str]:
        """Return the versions whose streams may be taken up again."""
        return self.recent(service, now) | self._recorded.get(service, frozenset())

    def recent(self, service: str, now: float) -> set[str]:
        """Return the versions that were listed as lately as streams last."""
        versions = self._versions.get(service, {})
        for version in [name for name, until in versions.items() if until <= now]:
            del versions[version]
            self._unrecorded_since.pop((service, version), None)
        return set(versions)

    def knows_all_versions(self, now: float) -> bool:
        """Return whether this node has known the versions for as long as streams last."""
        return now >= self._started_at + STREAM_SECONDS

    def _expire(self, now: float) -> None:
        while self._origins:
            origin = next(iter(self._origins.values()))
            if now < origin.began_at + STREAM_SECONDS:
                return
            del self._origins[origin.attempt_id]
