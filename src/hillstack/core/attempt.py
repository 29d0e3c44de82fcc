"""The states of a request's attempts, and what they prove about the request's outcome."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class AttemptState(enum.IntEnum):
    """Progress of an attempt; the state only advances."""

    QUEUED = 0
    CONNECTING = 1
    BYTES_MAY_HAVE_LEFT = 2
    ANSWERED = 3


class Outcome(enum.StrEnum):
    """Whether a request ran, as far as this node can know."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


@dataclass(slots=True)
class Attempt:
    """One attempt to send a request to one back end."""

    attempt_id: str
    backend_id: str
    state: AttemptState = AttemptState.QUEUED

    def advance(self, state: AttemptState) -> None:
        """Move to a later state; an earlier state is ignored, since sent bytes stay sent."""
        self.state = max(self.state, state)


@dataclass(slots=True)
class RequestAttempts:
    """All attempts of one request.

    Args:
        request_id: Identifier of the request.
        repeatable: Whether the request may run more than once.
        may_be_repeat: Whether the caller may have sent the same request before, through any
            node. This node can then never prove that the request did not run.
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
        """Return the outcome that can be reported when the request is given up."""
        if any(entry.state is AttemptState.ANSWERED for entry in self.attempts):
            return Outcome.RAN
        if self.bytes_may_have_left() or self.may_be_repeat:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN
