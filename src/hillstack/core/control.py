"""The control state of a node: the member list, the bundle in force and the claim replica."""

from __future__ import annotations

from collections.abc import Iterable

from hillstack.config.bundle import Bundle
from hillstack.core.claims import ClaimLimits, ClaimTable, OwnershipHistory
from hillstack.core.membership import Datagram, Membership
from hillstack.core.rollout import BundleAdopter
from hillstack.messages.types import (
    BundleReply,
    BundleRequest,
    ClaimComplete,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    Done,
    Failure,
    Gossip,
    Member,
    Message,
    SyncDigest,
    SyncReply,
    SyncRequest,
)

CLAIM_EXPIRY_INTERVAL_SECONDS = 5.0


class ControlState:
    """Connects the membership, bundle and claims of one node.

    Args:
        membership: The member list.
        adopter: Holds the bundle in force.
        now: Monotonic time at the start, in seconds.
    """

    def __init__(self, membership: Membership, adopter: BundleAdopter, now: float) -> None:
        self.membership = membership
        self.adopter = adopter
        self._ownership = OwnershipHistory(membership.own.node_id)
        self.claims = ClaimTable(self._ownership)
        self._refutations = 0
        self._generation = -1
        self._claims_expire_at = now
        self._last_majority_at = now

    @property
    def bundle(self) -> Bundle | None:
        """The bundle in force, if any."""
        current = self.adopter.current
        return current.bundle if current else None

    def is_too_stale(self, now: float) -> bool:
        """Return whether this node must refuse requests because it was partitioned for too long.

        The node is partitioned while it sees live members in at most half of the bundle's zones.
        The bundle sets the limit.
        """
        bundle = self.bundle
        if bundle is None or bundle.staleness.action == "serve":
            return False
        return now - self._last_majority_at > bundle.staleness.after_seconds

    def on_tick(self, now: float, now_wall: float) -> list[Datagram]:
        """Advance timers."""
        effects = self.membership.on_tick(now)
        self._after_membership_change(now, now_wall)
        return effects

    def on_gossip(
        self, message: Gossip, address: str, now: float, now_wall: float
    ) -> list[Datagram]:
        """Handle a datagram from another node."""
        effects = self.membership.on_message(message, address, now)
        self._after_membership_change(now, now_wall)
        return effects

    def on_synchronized(self, members: Iterable[Member], now: float, now_wall: float) -> None:
        """Merge the full member list of another node."""
        self.membership.on_synchronized(members, now)
        self._after_membership_change(now, now_wall)

    def on_request(self, message: Message, now: float, now_wall: float) -> Message:
        """Answer a request from another node."""
        if isinstance(message, SyncDigest):
            return SyncDigest(self.membership.digest())
        if isinstance(message, SyncRequest):
            # The first member is the sender. Only its arrival is announced to other nodes.
            self.membership.merge(message.members[:1], now)
            self.membership.merge(message.members[1:], now, announce=False)
            self._after_membership_change(now, now_wall)
            return SyncReply(self.membership.snapshot(), self.membership.leaving)
        if isinstance(message, BundleRequest):
            return self._bundle_reply(message)
        if isinstance(message, ClaimRequest):
            return self.claim(message, now_wall)
        if isinstance(message, ClaimRelease | ClaimComplete):
            self.claims.apply(message)
            return Done()
        return Failure(f"unexpected message {type(message).__name__}")

    def claim(self, request: ClaimRequest, now_wall: float) -> ClaimReply:
        """Answer a claim request as a replica."""
        bundle = self.bundle
        if bundle is None:
            return ClaimReply(ClaimStatus.CANNOT_VOUCH)
        return self.claims.claim(request, now_wall, claim_limits(bundle))

    def _bundle_reply(self, request: BundleRequest) -> BundleReply:
        current = self.adopter.current
        if current is None or current.bundle.version <= request.above_version:
            return BundleReply("")
        return BundleReply(current.signed.model_dump_json())

    def _after_membership_change(self, now: float, now_wall: float) -> None:
        membership = self.membership
        if membership.refutations != self._refutations:
            # Other nodes suspected this node or considered it dead, and may have assigned its keys
            # to another replica.
            self._refutations = membership.refutations
            self._ownership.restart(now_wall)
        if membership.generation != self._generation:
            self._generation = membership.generation
            if membership.is_known_to_zone():
                own_zone = membership.by_zone().get(membership.own.zone, [])
                self._ownership.record(own_zone, now_wall)
        bundle = self.bundle
        if bundle is None:
            return
        by_zone = membership.by_zone()
        if sum(1 for zone in bundle.zones if by_zone.get(zone)) > len(bundle.zones) // 2:
            self._last_majority_at = now
        if now >= self._claims_expire_at:
            self._claims_expire_at = now + CLAIM_EXPIRY_INTERVAL_SECONDS
            self._ownership.trim(now_wall - 2 * bundle.claims.horizon_seconds)
            self.claims.expire(now_wall, claim_limits(bundle))


def claim_limits(bundle: Bundle) -> ClaimLimits:
    """Return the claim limits of a bundle."""
    return ClaimLimits(bundle.claims.horizon_seconds, bundle.claims.max_clock_skew_seconds)
