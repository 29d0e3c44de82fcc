"""The history of a run: what callers, back ends and nodes saw, in order.

Simulations and tests with real processes write the same events, and one checker reads them.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Invoke:
    """A caller sent a request.

    Attributes:
        request: Identifier of this sending; repeats have their own.
        key: What names the request over all its repeats.
    """

    at: float
    node: str
    request: str
    key: str
    kind: str
    repeatable: bool


@dataclass(frozen=True, slots=True)
class Return:
    """A caller got a final answer, or its connection broke (status 0).

    Attributes:
        outcome: ``ran``, ``not_run`` or ``unknown``; empty when the connection broke.
        answer_key: Key of the request that the answer says it is for; empty without an answer.
        positions: Token positions received, for streams.
        expected: Tokens of a whole stream.
        done: Whether the stream ended in ``[DONE]``.
        error: Whether it ended in an explicit error.
        retry_after: Whether a refusal said when to come back.
    """

    at: float
    node: str
    request: str
    key: str
    status: int
    outcome: str = ""
    answer_key: str = ""
    positions: tuple[int, ...] = ()
    expected: int = 0
    done: bool = False
    error: bool = False
    retry_after: bool = False


@dataclass(frozen=True, slots=True)
class Execute:
    """An application executed a non-repeatable request."""

    at: float
    node: str
    key: str


@dataclass(frozen=True, slots=True)
class Work:
    """A back end took on new work."""

    at: float
    node: str


@dataclass(frozen=True, slots=True)
class Leave:
    """A back end announced that it leaves."""

    at: float
    node: str


@dataclass(frozen=True, slots=True)
class Reuse:
    """An engine served blocks from its cache.

    Attributes:
        incarnation: Incarnation that serves.
        stored_incarnation: Incarnation that stored the blocks.
        tenant: Tenant of the request.
        stored_tenant: Tenant whose request stored the blocks.
    """

    at: float
    node: str
    incarnation: str
    stored_incarnation: str
    tenant: str
    stored_tenant: str


@dataclass(frozen=True, slots=True)
class Accept:
    """A roll-out was reported as accepted to its operator."""

    at: float
    node: str
    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class Adopt:
    """A node put a bundle in force."""

    at: float
    node: str
    incarnation: int
    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class Final:
    """The version in force on a node at the end, after all faults were healed."""

    at: float
    node: str
    version: int


@dataclass(frozen=True, slots=True)
class Order:
    """An engine got an order with a fence."""

    at: float
    node: str
    fence: int
    taken: bool


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault began or ended."""

    at: float
    node: str
    text: str


Event = Invoke | Return | Execute | Work | Leave | Reuse | Accept | Adopt | Final | Order | Fault


@dataclass(slots=True)
class History:
    """Events in the order in which they were recorded."""

    events: list[Event] = field(default_factory=list)

    def add(self, event: Event) -> None:
        """Record an event."""
        self.events.append(event)

    def of(self, kind: type[Any]) -> list[Any]:
        """Return the events of a kind."""
        return [event for event in self.events if isinstance(event, kind)]


def to_lines(events: Iterable[Event]) -> str:
    """Return events as JSON lines."""
    return "".join(
        json.dumps({"event": type(event).__name__} | asdict(event)) + "\n" for event in events
    )
