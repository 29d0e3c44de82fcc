"""The state of a completion request."""

from __future__ import annotations

from dataclasses import dataclass, field

from hillstack.config.bundle import Priority
from hillstack.core.attempt import RequestAttempts
from hillstack.core.prefix import PrefixScope
from hillstack.core.request_router import CompletionRequest
from hillstack.gateway.parsing import ParsedCompletion


@dataclass(slots=True)
class CompletionJob:
    """A checked completion request and the state of its attempts.

    Attributes:
        excluded: Engines on which an attempt failed; they get no further attempt.
    """

    request: CompletionRequest
    parsed: ParsedCompletion
    priority: Priority
    scope: PrefixScope
    request_id: str
    path: str
    chat: bool
    arrived_at: float
    attempts: RequestAttempts
    excluded: set[str] = field(default_factory=set)
