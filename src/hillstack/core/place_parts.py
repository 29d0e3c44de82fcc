"""Which nodes issue the places of a brittle runner, and how many each.

Each issuer has a fixed part of the places, which follows from the list of nodes alone. No view of
which nodes are alive or reachable changes it, so the issuers' parts never exceed the places of the
runner, whichever nodes are killed, paused or cut off. The part of an issuer that does not answer is
missing meanwhile.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from hillstack.core.node_directory import NodeEntry
from hillstack.core.rendezvous import ranked

# More issuers lose less of the places if one is killed; fewer are asked for a free place.
MAX_ISSUERS = 4
# A node issues places that it did not issue before only after this time. By then the requests under
# way at places of its predecessor have ended, or the nodes that sent them have reported them, and
# the predecessor has received the change of the list.
SETTLE_SECONDS = 1.0


@dataclass(slots=True)
class _Listing:
    """A list of nodes, the time from which it applied, and the issuers according to it."""

    since: float
    nodes: Collection[NodeEntry]
    issuers: dict[str, list[str]] = field(default_factory=dict)


def part_of(node_id: str, issuers: list[str], slots: int) -> int:
    """Return how many of a runner's places a node issues."""
    issuers = issuers[:slots]
    if node_id not in issuers:
        return 0
    share, rest = divmod(slots, len(issuers))
    return share + (issuers.index(node_id) < rest)


class PlaceParts:
    """The issuers of all runners' places, according to the latest lists of nodes.

    Args:
        node_id: This node.
        is_near: Returns whether a zone is in the region of another one.
        started_at: When this process started; its predecessor may have issued places until then.
    """

    def __init__(
        self, node_id: str, is_near: Callable[[str, str], bool], started_at: float
    ) -> None:
        self._node_id = node_id
        self._is_near = is_near
        self._listings = [_Listing(started_at, ())]

    def list_nodes(self, nodes: Collection[NodeEntry], now: float) -> None:
        """Apply a changed list of nodes."""
        self._listings.append(_Listing(now, nodes))
        while len(self._listings) > 1 and self._listings[1].since <= now - SETTLE_SECONDS:
            del self._listings[0]

    def issuers(self, runner_id: str, zone: str) -> list[str]:
        """Return the issuers of the places of a runner in a zone, the most important first."""
        return self._issuers(self._listings[-1], runner_id, zone)

    def own_part(self, runner_id: str, zone: str, slots: int) -> int:
        """Return how many places of a runner this node issues according to the latest list."""
        return part_of(self._node_id, self.issuers(runner_id, zone), slots)

    def settled_part(self, runner_id: str, zone: str, slots: int, now: float) -> int:
        """Return how many places this node issues according to all lists that may still apply."""
        ends = [listing.since for listing in self._listings[1:]]
        parts = [
            part_of(self._node_id, self._issuers(listing, runner_id, zone), slots)
            for listing, end in zip(self._listings, [*ends, now], strict=True)
            if end > now - SETTLE_SECONDS
        ]
        return min(parts)

    def _issuers(self, listing: _Listing, runner_id: str, zone: str) -> list[str]:
        known = listing.issuers.get(runner_id)
        if known is None:
            near = [node.node_id for node in listing.nodes if self._is_near(node.zone, zone)]
            candidates = near or [node.node_id for node in listing.nodes]
            known = listing.issuers[runner_id] = ranked(runner_id, candidates)[:MAX_ISSUERS]
        return known
