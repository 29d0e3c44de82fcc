"""The promise that a stream holds events of one software version only."""

from __future__ import annotations

import re
from collections.abc import Iterator

from tests.soak.observations import Observations

EVENT_RUNNER = re.compile(rb"^data: (\S+)$", re.MULTILINE)
# Streams of two versions that the platform tolerates.
MIXED_ALLOWED = 2


def streams_of_two_versions(seen: Observations) -> Iterator[str]:
    """Yield the streams of two versions if there are more than are tolerated."""
    bodies = {request.request_id: request.body for request in seen.sent}
    # The first try of a stream that was taken up holds only a part of its events.
    bodies |= {stream.first_try: stream.body for stream in seen.resumed if stream.first_try}
    mixed = []
    for request_id, body in bodies.items():
        versions = _versions(seen, body)
        if len(versions) > 1:
            mixed.append(f"{request_id}: events of versions {sorted(versions)}")
    if len(mixed) > MIXED_ALLOWED:
        yield from mixed


def _versions(seen: Observations, body: bytes) -> set[str]:
    runners = {name.decode() for name in EVENT_RUNNER.findall(body)}
    return {seen.software[name] for name in runners if name in seen.software}
