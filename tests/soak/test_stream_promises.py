"""The check that streams hold events of one software version finds a history that breaks it."""

from __future__ import annotations

from tests.soak.observations import CallerRequest, Observations
from tests.soak.stream_promises import MIXED_ALLOWED, streams_of_two_versions


def stream_of(request_id: str, *runners: str) -> CallerRequest:
    body = b"".join(b"id: %d\ndata: %s\n\n" % (n, name.encode()) for n, name in enumerate(runners))
    return CallerRequest(request_id, "stream", "node-1", "key-1", 10.0, 200, body)


def test_more_streams_of_two_versions_than_are_tolerated_are_found() -> None:
    seen = Observations()
    seen.software |= {"i-1": "v1", "i-2": "v1", "i-3": "v2"}
    seen.sent += [stream_of(f"ok-{n}", "i-1", "i-2") for n in range(5)]
    seen.sent += [stream_of(f"mixed-{n}", "i-1", "i-3") for n in range(MIXED_ALLOWED)]
    assert not list(streams_of_two_versions(seen))
    seen.sent.append(stream_of("mixed", "i-3", "i-2"))
    assert len(list(streams_of_two_versions(seen))) == MIXED_ALLOWED + 1
