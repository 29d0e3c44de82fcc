"""Requests that crash every runner that runs them, sent repeatedly with the same content."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

# Share of fatal requests among the callers' requests while any is active.
FATAL_SHARE = 0.04
PREFIX = "fatal"
VARIED_PREFIX = "fatal.varied"
PART_PREFIX = "fatal.part"


@dataclass(frozen=True, slots=True)
class FatalRequest:
    """The content that all tries of a fatal request share.

    Attributes:
        name: Its name; the request identifiers of its tries begin with the name.
        kind: Kind of the route to which it is sent.
    """

    name: str
    kind: str


@dataclass(slots=True)
class FatalRequests:
    """The fatal requests that callers send now.

    Attributes:
        key: API key of all tries; it is never revoked.
        active: The fatal requests to draw from.
    """

    key: str
    active: list[FatalRequest] = field(default_factory=list)
    _count: int = 0

    def add(self, kind: str, *, varied: bool = False) -> FatalRequest:
        """Add a fatal request to those that callers send.

        Args:
            kind: Kind of the route to which it is sent.
            varied: Whether its tries share only path, tenant and body.
        """
        self._count += 1
        request = FatalRequest(f"{VARIED_PREFIX if varied else PREFIX}.{self._count}", kind)
        self.active.append(request)
        return request

    def add_part(self, kind: str) -> FatalRequest:
        """Add requests that share nothing but a prompt part to those that callers send."""
        self._count += 1
        request = FatalRequest(f"{PART_PREFIX}.{self._count}", kind)
        self.active.append(request)
        return request

    def draw(self, rng: Random) -> FatalRequest | None:
        """Return the fatal request that a caller sends next, or usually None."""
        if not self.active or rng.random() >= FATAL_SHARE:
            return None
        return rng.choice(self.active)


def fatal_name_of(request_id: str) -> str:
    """Return the name of the fatal request of a try; empty if the request isn't fatal."""
    name = request_id.partition("-")[0]
    return name if name.startswith(PREFIX) else ""


def is_part(name: str) -> bool:
    """Return whether requests that end runners share only a prompt part of that name."""
    return name.startswith(PART_PREFIX)


def is_varied(name: str) -> bool:
    """Return whether the tries of a fatal request share only path, tenant and body."""
    return name.startswith(VARIED_PREFIX)
