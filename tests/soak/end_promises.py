"""The promise that no answer ends as complete without its end."""

from __future__ import annotations

from collections.abc import Iterator

from tests.soak.observations import CallerRequest


def ended_without_its_end(request: CallerRequest) -> Iterator[str]:
    """Yield a description if a runner's answer, whatever its status, is complete but lacks its end.

    An answer is complete if its last chunk or its full length was received; only the answers of
    runners are signed.
    """
    if request.status is not None and request.signature and not _has_end(request):
        yield (
            f"{request.request_id} ({request.kind} at {request.node}): {request.status} ended"
            f" as complete without its end: {request.body[-80:]!r}"
        )


def _has_end(request: CallerRequest) -> bool:
    if request.expected_events is not None and request.status == 200:
        _, _, last = request.body.rpartition(b"id: ")
        return request.body.endswith(b"\n\n") and last.startswith(b"%d\n" % request.expected_events)
    contents = [request.request_id, request.fatal] if request.fatal else [request.request_id]
    return any(request.body.endswith(b":" + content.encode()) for content in contents)
