"""Which software version began which stream, and which versions a service has had lately.

The events of two versions don't fit together, so a stream may go on only at the version that began
it. A node learns the version of each stream that it begins, and keeps it for the streams of other
nodes, too (``daemon.origin_exchange``).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

# Longer than the deadlines of known deployments, after which no caller takes a stream up again.
STREAM_SECONDS = 30.0
# Streams of the above time at more than a thousand a second.
MAX_STREAMS = 32_768


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The first event of a stream.

    Attributes:
        attempt_id: The caller's try that brought the first event.
        service: Service of the runner.
        software: Version of the runner's software.
        began_at: When the origin was recorded.
    """

    attempt_id: str
    service: str
    software: str
    began_at: float


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
        return self.is_mixed(service, now) and not was_mixed

    def is_mixed(self, service: str, now: float) -> bool:
        """Return whether streams of more than one version may be taken up again."""
        versions = self._versions.get(service, {})
        for version in [name for name, until in versions.items() if until <= now]:
            del versions[version]
        return len(versions) > 1

    def knows_all_versions(self, now: float) -> bool:
        """Return whether this node has known the versions for as long as streams last."""
        return now >= self._started_at + STREAM_SECONDS

    def _expire(self, now: float) -> None:
        while self._origins:
            origin = next(iter(self._origins.values()))
            if now < origin.began_at + STREAM_SECONDS:
                return
            del self._origins[origin.attempt_id]
