"""Requests that end each runner that runs them, sent again and again with the same content."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

# Of the requests that callers send while one is about.
SHARE = 0.04
PREFIX = "fatal"
VARIED_PREFIX = "fatal.varied"


@dataclass(frozen=True, slots=True)
class FatalRequest:
    """One content, which all tries have in common.

    Attributes:
        name: Its name, with which the identifiers of its tries begin.
        kind: Kind of its route.
    """

    name: str
    kind: str


@dataclass(slots=True)
class FatalRequests:
    """Those that callers send now.

    Attributes:
        key: Of their tenant, which all tries have in common too; it is never taken away.
    """

    key: str
    active: list[FatalRequest] = field(default_factory=list)
    _count: int = 0

    def add(self, kind: str, *, varied: bool = False) -> FatalRequest:
        """Begin to send one more.

        Args:
            kind: Kind of its route.
            varied: Whether its tries have no more than path, tenant and body in common.
        """
        self._count += 1
        request = FatalRequest(f"{VARIED_PREFIX if varied else PREFIX}.{self._count}", kind)
        self.active.append(request)
        return request

    def draw(self, rng: Random) -> FatalRequest | None:
        """Return the one that a caller sends next; mostly none."""
        if not self.active or rng.random() >= SHARE:
            return None
        return rng.choice(self.active)


def name_of(request_id: str) -> str:
    """Return the name of a try's content; empty if it ends no runner."""
    name = request_id.partition("-")[0]
    return name if name.startswith(PREFIX) else ""


def is_varied(name: str) -> bool:
    """Return whether the tries of a content differ in all that callers need not keep."""
    return name.startswith(VARIED_PREFIX)
