"""Notices about runner crashes and about the requests that may have caused the crashes."""

from __future__ import annotations

import msgspec


class RequestAtEnd(msgspec.Struct, array_like=True, frozen=True):
    """A request that was running at a runner when the runner crashed.

    Attributes:
        fingerprint: Hash of all properties that stay the same when the caller retries the request.
        age_ms: Time from sending the request to the crash.
        started: Whether the first bytes of the answer had been received.
        answering_ms: Time from the first bytes to the crash; 0 if no bytes had been received.
        content: Hash of path, tenant and body only; 0 in notices of earlier builds, which do not
            have this field.
    """

    fingerprint: int
    age_ms: int
    started: bool
    answering_ms: int = 0
    content: int = 0


class PartAtEnd(msgspec.Struct, array_like=True, frozen=True):
    """A prompt part that runs at a runner contained when the runner crashed.

    Attributes:
        name: Name of the part (``core.request_fingerprint``).
        age_ms: Time from the sending of the oldest of these requests to the crash.
        answering_ms: Time from the first bytes of its answer; 0 if no bytes had been received.
    """

    name: int
    age_ms: int
    answering_ms: int = 0


class RunnerEndNotice(msgspec.Struct, array_like=True, frozen=True):
    """A crash of a runner, or an update about suspect requests or an earlier crash.

    Attributes:
        runner_id: Identifier of the runner process.
        ended_ms_ago: Time from the crash to the sending of the notice; with ``taken_back``, the
            time since the runner's latest message.
        requests: Requests that were running at the crash, observed by the sender or reported to the
            sender; with ``probation_ms``, the suspect request.
        running: Estimated number of requests that all nodes together had at the runner.
        cleared: Fingerprints of requests that were running at a crash and have since been answered
            in another run.
        taken_back: Whether an earlier notice of a crash is withdrawn because the runner has sent
            data since then.
        probation_ms: Maximum time for which the sender runs a suspect request at the runner, which
            has not crashed; 0 when the suspect request is over. None for all other notices.
        succeeded: Hashes of requests and names of prompt parts that a runner has since processed
            successfully. Earlier builds
            do not send this field; the requests in their ``cleared`` may have failed.
        parts: Prompt parts, not yet cleared, of the runs at the crash that had not settled.
    """

    runner_id: str
    ended_ms_ago: int
    requests: list[RequestAtEnd]
    running: int = 0
    cleared: list[int] = []
    taken_back: bool = False
    probation_ms: int | None = None
    succeeded: list[int] = []
    parts: list[PartAtEnd] = []
