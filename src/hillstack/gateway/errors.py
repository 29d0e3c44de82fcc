"""Error answers to callers."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass

from starlette.responses import JSONResponse

from hillstack.core.attempt import Outcome


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """An error answer: an OpenAI error object with additional fields.

    Attributes:
        status: HTTP status.
        code: Machine-readable code.
        outcome: Whether the request ran.
        step: The step that failed.
        peer: The back end involved; empty if there was none.
        retry_after: Seconds after which to retry; None if a retry would not help.
    """

    status: int
    code: str
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    step: str = ""
    peer: str = ""
    retry_after: float | None = None

    def body(self) -> dict[str, object]:
        """Return the JSON body."""
        kind = "invalid_request_error" if self.status < 429 else "server_error"
        return {
            "error": {
                "message": self.message,
                "type": kind,
                "code": self.code,
                "param": None,
                "outcome": self.outcome.value,
                "step": self.step,
                "peer": self.peer,
                "retry_after": self.retry_after,
            }
        }

    def headers(self) -> dict[str, str]:
        """Return the extra headers."""
        if self.retry_after is None:
            return {}
        return {"retry-after": str(max(1, math.ceil(self.retry_after)))}

    def response(self) -> JSONResponse:
        """Return the HTTP response."""
        return JSONResponse(self.body(), status_code=self.status, headers=self.headers())

    def event(self) -> bytes:
        """Return the error as a server-sent event that ends a stream which has begun."""
        return b"data: " + json.dumps(self.body(), separators=(",", ":")).encode() + b"\n\n"


class CallerError(Exception):
    """Ends the handling of a request with an error answer."""

    def __init__(self, answer: ErrorAnswer) -> None:
        super().__init__(answer.message)
        self.answer = answer


def bad_request(code: str, message: str, status: int = 400) -> CallerError:
    """Return the error for invalid input, which does not depend on the state of the system."""
    return CallerError(ErrorAnswer(status, code, message, step="check request"))
