"""What a node tells its peers of a runner that ended while it worked on requests."""

from __future__ import annotations

import msgspec


class RequestAtEnd(msgspec.Struct, array_like=True, frozen=True):
    """A request that was at a runner when it ended.

    Attributes:
        fingerprint: Names the request by what stays the same when its caller sends it again.
        age_ms: How long it had been there.
        started: Whether the first bytes of its answer had come.
        answering_ms: Time from those bytes to the end; 0 if none had come.
        content: Names it by its path, tenant and body alone; 0 from an earlier build, which does
            not say.
    """

    fingerprint: int
    age_ms: int
    started: bool
    answering_ms: int = 0
    content: int = 0


class RunnerEndNotice(msgspec.Struct, array_like=True, frozen=True):
    """A runner ended; its sender lost these requests by it, or heard of them.

    Attributes:
        runner_id: The incarnation that ended.
        ended_ms_ago: When, counted from the sending of the notice.
        running: Number of requests that the sender believes all nodes together had there.
        cleared: Requests that were there and ended well in another run since.
        probation_ms: The runner has not ended, but the sender has a suspect there for that long at
            the most; 0 if that is over. None where it is an end that is told.
        taken_back: Whether the runner was heard again, so that it has not ended.
        succeeded: Requests of which a run ended with an answer of success since. An earlier build
            does not say: others that are cleared there may have failed.
    """

    runner_id: str
    ended_ms_ago: int
    requests: list[RequestAtEnd]
    running: int = 0
    cleared: list[int] = []
    taken_back: bool = False
    probation_ms: int | None = None
    succeeded: list[int] = []
