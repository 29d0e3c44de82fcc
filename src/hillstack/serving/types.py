"""Types for requests, attempts and verdicts, independent of the protocols on the wire."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from hillstack.core.prompt_shape import PromptShape
from hillstack.errors import BackendBrokenError, BackendRefusedError, HillstackError

HeaderList = list[tuple[bytes, bytes]]

# HTTP statuses of runners: the lowest one that means a failure of the runner, and the successes.
SERVER_ERROR = 500
SUCCESS = range(200, 300)


@dataclass(slots=True)
class ServingRequest:
    """A caller's request.

    Attributes:
        target: Path and query exactly as received.
        headers: Headers to pass on to the runner.
        arrived_at: When the head was read, on the node's clock.
        patience_seconds: How long the caller waits; None if unknown.
        shape: Parts of the prompt; None if the request does not give them.
        tokens: Prompt tokens plus maximum output tokens; None if the request does not give them.
        last_event_id: Identifier of the last event of this stream that the caller has received.
        resumes: The caller's try that brought the first event of this stream; empty if not named.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: str
    headers: HeaderList
    body: bytes
    arrived_at: float
    patience_seconds: float | None = None
    key: str | None = None
    model: str = ""
    shape: PromptShape | None = None
    tokens: int | None = None
    last_event_id: int | None = None
    resumes: str = ""


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Routing and cache parameters that an attempt sends to a runner with the request.

    Attributes:
        remaining_seconds: Time until the deadline.
        salt: Separates cached parts by tenant and weights version; None without a cache.
        weights_version: Weights version that the runner must serve.
        fetch_from: Address from which cached parts are fetched.
        save_to: Address to which parts are saved after their prefill.
    """

    runner_id: str
    address: str
    remaining_seconds: float
    tenant: str | None = None
    priority: int | None = None
    salt: str | None = None
    weights_version: int | None = None
    fetch_from: str | None = None
    save_to: str | None = None
    last_event_id: int | None = None


class RefusalCause(enum.StrEnum):
    """Why a runner did not run a request."""

    UNREACHABLE = "unreachable"
    FULL = "full"
    OTHER_INSTANCE = "other_instance"
    OTHER_WEIGHTS = "other_weights"


class RunnerRefusedError(BackendRefusedError):
    """A runner did not run the request, and never will.

    Args:
        cause: Why the runner did not run the request.
        weights_version: Weights version that the runner reports; 0 for none.
    """

    def __init__(
        self, message: str, *, step: str, peer: str, cause: RefusalCause, weights_version: int = 0
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.cause = cause
        self.weights_version = weights_version


class AttemptAbandonedError(BackendBrokenError):
    """This node abandoned an attempt that the runner had neither answered nor broken off."""


class Verdict(enum.StrEnum):
    """Kinds of answers that the router itself gives instead of a runner.

    Unrelated to the verdicts on software versions (``hillstack.core.rollout_judge.Verdict``).

    Attributes:
        UNAVAILABLE: The request has not run and never will: no runner accepts it, or the node can't
            serve it now.
        OVERLOADED: The request has not run and never will: it would be answered late.
        OVER_LIMIT: The request has not run and never will: its tenant's limit has no room.
        NO_ROUTE: No route matches the request; it was not sent to a runner.
        UNAUTHENTICATED: The request has no valid key; it was not sent to a runner.
        BAD_REQUEST: The request can't be read; it was not sent to a runner.
        FAILED: The request may have run, and its attempt failed.
        TIMED_OUT: The request may have run, and its deadline passed.
    """

    UNAVAILABLE = "unavailable"
    OVERLOADED = "overloaded"
    OVER_LIMIT = "over_limit"

    NO_ROUTE = "no_route"
    UNAUTHENTICATED = "unauthenticated"
    BAD_REQUEST = "bad_request"

    FAILED = "failed"
    TIMED_OUT = "timed_out"


class RejectedError(HillstackError):
    """The router answers the request itself.

    Args:
        verdict: Kind of the answer.
        message: Reason, as text for people.
        retry_after: Seconds after which the caller should retry; only if the request was not run.
    """

    def __init__(
        self, verdict: Verdict, message: str, *, step: str, retry_after: float | None = None
    ) -> None:
        super().__init__(message, step=step)
        self.verdict = verdict
        self.retry_after = retry_after


class CutCause(enum.StrEnum):
    """Why an answer that has begun ends in the middle.

    Attributes:
        FAILED: The runner broke it off, or its request may crash runners.
        NO_ATTEMPT: No further attempt could be made after the latest one had failed.
        TIMED_OUT: The deadline passed.
        UNREAD: The caller does not read it.
    """

    FAILED = "failed"
    NO_ATTEMPT = "no_attempt"
    TIMED_OUT = "timed_out"
    UNREAD = "unread"


class StreamCutError(HillstackError):
    """A stream that has begun can't be completed; its connection must be cut.

    Args:
        cause: Why it ends.
    """

    def __init__(self, message: str, *, step: str, cause: CutCause) -> None:
        super().__init__(message, step=step)
        self.cause = cause
