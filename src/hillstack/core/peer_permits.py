"""Peer permits: permits to send a suspect that a majority of its voters grants.

A ledger in the store (``crash_ledger``) issues permits up to one below the bound of crashes. The
last send within the bound, and any send while the store does not answer, needs the peer permit of
the request. A voter grants it to one send at a time, and any two majorities of the same voters
share one, so one send has it, whatever notices of crashes the nodes have received. It is free again
when that send has ended without a crash.

All nodes choose the same voters if they know the same nodes. The list of nodes is in the store, so
it does not change while the store does not answer.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from hillstack.core.crash_ledger import MAX_RETENTION_SECONDS
from hillstack.core.rendezvous import ranked

# Number of voters of a request: two of them may have failed.
MAX_VOTERS = 5
# Maximum number of requests for which a voter stores its vote. The oldest are forgotten first.
MAX_STORED_VOTES = 4_096


class Vote(enum.IntEnum):
    """A voter's answer.

    Attributes:
        GRANTED: The permit is granted.
        TAKEN: Another send has the permit; it may end without a crash.
        REFUSED: The voter knows that the request has crashed too many runners.
    """

    GRANTED = 1
    TAKEN = 2
    REFUSED = 3


@dataclass(frozen=True, slots=True)
class PeerPermitRequest:
    """A node's request for a peer permit.

    Attributes:
        fingerprint: The request to send.
        permit: Identifier that the node has given to the permit, for one send.
        crashed: Runners that crashed under the request, according to the node that asks.
        max_crashes: Number of crashes, known to that node and the voter together, from which the
            voter refuses.
    """

    fingerprint: int
    permit: str
    crashed: frozenset[str]
    max_crashes: int


def voters_of(fingerprint: int, node_ids: Iterable[str]) -> list[str]:
    """Return the voters of a request; nodes that know the same nodes choose the same ones."""
    return ranked(f"voters of {fingerprint:016x}", node_ids)[:MAX_VOTERS]


def majority_of(voters: int) -> int:
    """Return how many of a number of voters are a majority."""
    return voters // 2 + 1


class PeerPermitVotes:
    """The votes of one node, bounded in number and in age."""

    def __init__(self) -> None:
        # Each granted permit by its request, with the time at which it expires.
        self._granted: OrderedDict[int, tuple[str, float]] = OrderedDict()

    def vote(
        self,
        request: PeerPermitRequest,
        known_crashed: Iterable[str],
        now: float,
        retention_seconds: float = MAX_RETENTION_SECONDS,
    ) -> Vote:
        """Vote on a node's request; a repeated request gets the same vote.

        Args:
            request: The node's request.
            known_crashed: Runners that crashed under it, according to the voter.
            now: Time on the voter's clock.
            retention_seconds: How long a granted permit is stored unless it is returned.
        """
        if len(request.crashed.union(known_crashed)) >= request.max_crashes:
            return Vote.REFUSED
        permit, expires_at = self._granted.get(request.fingerprint, (request.permit, now))
        if permit != request.permit and now < expires_at:
            return Vote.TAKEN
        self._granted[request.fingerprint] = request.permit, now + retention_seconds
        self._granted.move_to_end(request.fingerprint)
        while len(self._granted) > MAX_STORED_VOTES:
            self._granted.popitem(last=False)
        return Vote.GRANTED

    def withdraw(self, fingerprint: int, permit: str) -> None:
        """Withdraw the vote for a permit whose send has ended without a crash."""
        granted, _ = self._granted.get(fingerprint, ("", 0.0))
        if granted == permit:
            del self._granted[fingerprint]
