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
    mixed = []
    for request in seen.sent:
        runners = {name.decode() for name in EVENT_RUNNER.findall(request.body)}
        versions = {seen.software[name] for name in runners if name in seen.software}
        if len(versions) > 1:
            mixed.append(f"{request.request_id}: events of versions {sorted(versions)}")
    if len(mixed) > MIXED_ALLOWED:
        yield from mixed
