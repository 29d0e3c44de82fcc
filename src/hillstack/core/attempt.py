"""The states of a request's attempts, and what may be said about its outcome."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class AttemptState(enum.IntEnum):
    """How far an attempt got; states only advance."""

    QUEUED = 0
    CONNECTING = 1
    BYTES_MAY_HAVE_LEFT = 2
    ANSWERED = 3


class Outcome(enum.StrEnum):
    """What is known about whether a request ran."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


@dataclass(slots=True)
class Attempt:
    """One try of a request at one back end."""

    attempt_id: str
    backend_id: str
    state: AttemptState = AttemptState.QUEUED

    def advance(self, state: AttemptState) -> None:
        """Move to a later state; earlier states are ignored, since bytes can't be taken back."""
        self.state = max(self.state, state)


@dataclass(slots=True)
class RequestAttempts:
    """All attempts of one request.

    Args:
        request_id: Identifier of the request.
        repeatable: Whether the request may run more than once.
        may_be_repeat: Whether the caller may have sent the same request before, through any
            node; then this node alone can never know that it did not run.
    """

    request_id: str
    repeatable: bool
    may_be_repeat: bool = False
    attempts: list[Attempt] = field(default_factory=list)

    def start(self, backend_id: str) -> Attempt:
        """Add an attempt at a back end."""
        number = len(self.attempts) + 1
        attempt = Attempt(f"{self.request_id}-{number}", backend_id)
        self.attempts.append(attempt)
        return attempt

    def may_retry(self) -> bool:
        """Return whether another attempt is allowed.

        A non-repeatable request is not sent again once bytes of it may have left.
        """
        return self.repeatable or not self.bytes_may_have_left()

    def bytes_may_have_left(self) -> bool:
        """Return whether any attempt may have reached a back end."""
        return any(entry.state >= AttemptState.BYTES_MAY_HAVE_LEFT for entry in self.attempts)

    def outcome_of_refusal(self) -> Outcome:
        """Return what may truthfully be said when the request is given up."""
        if any(entry.state is AttemptState.ANSWERED for entry in self.attempts):
            return Outcome.RAN
        if self.bytes_may_have_left() or self.may_be_repeat:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN
