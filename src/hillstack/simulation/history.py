"""The history of a run: the events at callers, back ends and nodes, in order.

Simulations and tests with real processes record the same kinds of events, so that one checker
serves both.
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
        request: Identifier of this send; each retry has its own.
        key: Identifier of the request, which its retries share.
    """

    at: float
    node: str
    request: str
    key: str
    kind: str
    repeatable: bool


@dataclass(frozen=True, slots=True)
class Return:
    """A caller received its final answer, or its connection broke (status 0).

    Attributes:
        outcome: ``ran``, ``not_run`` or ``unknown``; empty when the connection broke.
        answer_key: Key of the request that the answer names; empty without an answer.
        positions: Token positions received, for streams.
        expected: Number of tokens in the complete stream; 0 if the answer is no stream.
        done: Whether the stream ended in ``[DONE]``.
        error: Whether the stream ended in an explicit error.
        retry_after: Whether a refusal carried ``Retry-After``.
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
    """A back end received a new request."""

    at: float
    node: str


@dataclass(frozen=True, slots=True)
class Leave:
    """A back end began to leave: it should get no new requests."""

    at: float
    node: str


@dataclass(frozen=True, slots=True)
class Reuse:
    """An engine reused a cached block.

    Attributes:
        incarnation: Incarnation that reused the block.
        stored_incarnation: Incarnation that stored the block.
        tenant: Tenant of the request.
        stored_tenant: Tenant whose request stored the block.
    """

    at: float
    node: str
    incarnation: str
    stored_incarnation: str
    tenant: str
    stored_tenant: str


@dataclass(frozen=True, slots=True)
class Accept:
    """An operator's roll-out of a bundle was accepted."""

    at: float
    node: str
    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class Adopt:
    """A node put a bundle in force.

    Attributes:
        incarnation: Incarnation of the node's process, which changes at each restart.
    """

    at: float
    node: str
    incarnation: int
    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class Final:
    """The version in force on a node at the end of the run, after all faults have ended."""

    at: float
    node: str
    version: int


@dataclass(frozen=True, slots=True)
class Order:
    """An engine received an order to load weights.

    Attributes:
        fence: Fencing token of the order.
        taken: Whether the engine accepted the order.
    """

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
    """Serialize events as JSON lines."""
    return "".join(
        json.dumps({"event": type(event).__name__} | asdict(event)) + "\n" for event in events
    )
