"""Claim rounds with peers that answer at different times."""

from __future__ import annotations

import asyncio
from random import Random

from hillstack.core.claims import ClaimVerdict
from hillstack.core.control import ControlState
from hillstack.core.membership import Membership, MembershipTiming
from hillstack.core.rollout import BundleAdopter
from hillstack.daemon.claim_coordinator import ClaimCoordinator
from hillstack.messages.types import (
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    Message,
    StoredAnswer,
)
from tests.builders import ZONES, Signers, make_member

ANSWER = StoredAnswer(200, "text/plain", b"done")


class SlowPeers:
    """Each peer answers after a given number of iterations of the event loop."""

    gossip_bytes_sent = 0

    def __init__(self, replies: dict[str, tuple[int, ClaimReply]]) -> None:
        self._replies = replies

    def gossip(self, address: str, message: Message) -> None:
        raise NotImplementedError

    async def call(self, address: str, message: Message, timeout: float) -> Message:
        iterations, reply = self._replies[address]
        for _ in range(iterations):
            await asyncio.sleep(0)
        return reply


def test_a_repeated_claim_gets_the_answer_of_a_slower_replica() -> None:
    members = [make_member(f"node-{zone}", zone) for zone in ZONES]
    membership = Membership(members[0], [], MembershipTiming(), Random(1))
    membership.merge(members, 0.0)
    control = ControlState(membership, BundleAdopter(Signers().keyset, ZONES[0]), 0.0)
    peers = SlowPeers(
        {
            members[1].address: (1, ClaimReply(ClaimStatus.HELD)),
            members[2].address: (20, ClaimReply(ClaimStatus.HELD, ANSWER)),
        }
    )
    coordinator = ClaimCoordinator(control, peers, lambda: 100.0)
    request = ClaimRequest("key", "attempt", "digest", 50.0)
    result = asyncio.run(coordinator.claim(request, ZONES))
    assert result.verdict is ClaimVerdict.HELD
    assert result.answer == ANSWER
