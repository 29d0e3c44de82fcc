"""Cuts single nodes off from addresses behind a fault proxy; each node has its own source host."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass


class CutKind(enum.Enum):
    """What a cut does to the connections of the nodes that it affects.

    Attributes:
        HANG: Open and new connections are accepted and pass nothing until the cut ends.
        RESET: Open and new connections are reset.
        REFUSE_NEW: New connections are reset; open ones go on.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse_new"


@dataclass(eq=False, frozen=True, slots=True)
class NodeCut:
    """A cut between some nodes and some proxied addresses.

    Attributes:
        hosts: Hosts from which the cut nodes connect.
        is_cut: Returns whether the cut affects a proxied address, by its name.
    """

    kind: CutKind
    hosts: frozenset[str]
    is_cut: Callable[[str], bool]

    def affects(self, name: str, host: str) -> bool:
        """Return whether the cut affects a connection from a host to a proxied address."""
        return host in self.hosts and self.is_cut(name)
