"""Claims on non-repeatable requests: at most one execution per key.

For each key, one replica per zone stores the claim in memory. A router runs the request only after
a majority of the zones granted its claim. Any two majorities share a zone, so two routers cannot
both win a claim while the replicas retain their memory.

A replica loses its claims when it restarts, and it becomes the replica of further keys when other
nodes fail. A replica therefore vouches for the absence of a claim only if the key was created after
the node became the key's replica. Keys that contain their creation time (UUIDv7) make that check
possible; a setting bounds the assumed clock skew.
"""

from __future__ import annotations

import enum
import uuid
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from hillstack.core.rendezvous import owner
from hillstack.messages.types import (
    ClaimComplete,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    StoredAnswer,
)

TIMESTAMPED_UUID_VERSION = 7
MILLISECONDS = 1000.0


def key_created_at(key: str) -> float | None:
    """Return the time in a UUIDv7 key, in seconds since the epoch; None for other keys."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != TIMESTAMPED_UUID_VERSION:
        return None
    return (parsed.int >> 80) / MILLISECONDS


def make_key(now_wall: float, random_bits: int) -> str:
    """Return a UUIDv7 for the given time.

    Args:
        now_wall: Seconds since the epoch.
        random_bits: At least 74 random bits.
    """
    milliseconds = int(now_wall * MILLISECONDS) & ((1 << 48) - 1)
    random_a = random_bits & 0xFFF
    random_b = (random_bits >> 12) & ((1 << 62) - 1)
    value = (milliseconds << 80) | (TIMESTAMPED_UUID_VERSION << 76) | (random_a << 64)
    return str(uuid.UUID(int=value | (0b10 << 62) | random_b))


@dataclass(slots=True)
class ClaimRecord:
    """A claim that a replica granted."""

    attempt_id: str
    body_digest: str
    granted_at: float
    answer: StoredAnswer | None = None


class OwnershipHistory:
    """How long a node has been the replica of a key in its zone, in the node's own view.

    A node that became the replica of a key after another one lacks the earlier claims. The history
    records each change of the zone's node list, since a change moves only some keys: most keys
    retain their replica.

    Args:
        node_id: This node.
    """

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._views: list[tuple[float, frozenset[str]]] = []

    def record(self, zone_nodes: Collection[str], now_wall: float) -> None:
        """Record the serving nodes of the zone, including this one, if they changed."""
        view = frozenset(zone_nodes)
        if not self._views or self._views[-1][1] != view:
            self._views.append((now_wall, view))

    def restart(self, now_wall: float) -> None:
        """Drop the history: other nodes may have owned this node's keys until now."""
        if self._views:
            self._views = [(now_wall, self._views[-1][1])]

    def trim(self, before: float) -> None:
        """Drop views that were superseded before the given time."""
        while len(self._views) > 1 and self._views[1][0] < before:
            self._views.pop(0)

    def owned_since(self, key: str) -> float | None:
        """Return since when this node has owned the key continuously; None if it does not."""
        since = None
        for recorded_at, view in reversed(self._views):
            if owner(key, view) != self._node_id:
                break
            since = recorded_at
        return since


@dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Age up to which claims are honored and greatest clock difference, in seconds."""

    horizon: float
    max_clock_skew: float


class ClaimTable:
    """The claims stored by one replica.

    Args:
        ownership: How long this node has been the replica of a key.
    """

    def __init__(self, ownership: OwnershipHistory) -> None:
        self._ownership = ownership
        self._records: dict[str, ClaimRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def claim(self, request: ClaimRequest, now_wall: float, limits: ClaimLimits) -> ClaimReply:
        """Grant or deny a claim."""
        record = self._records.get(request.key)
        if record is not None:
            return self._reply_to_known(record, request)
        if not self.can_vouch(request.key, request.created_at, now_wall, limits):
            return ClaimReply(ClaimStatus.CANNOT_VOUCH)
        self._records[request.key] = ClaimRecord(request.attempt_id, request.body_digest, now_wall)
        return ClaimReply(ClaimStatus.GRANTED)

    def can_vouch(
        self, key: str, created_at: float | None, now_wall: float, limits: ClaimLimits
    ) -> bool:
        """Return whether the absence of a record proves that there was no earlier claim.

        True for a key without a creation time once this node has owned it for the horizon plus the
        clock skew. False for a key older than the horizon, whose claim may have been removed here.
        """
        since = self._ownership.owned_since(key)
        if since is None:
            return False
        if created_at is None:
            return now_wall - since >= limits.horizon + limits.max_clock_skew
        if now_wall - created_at > limits.horizon:
            return False
        return created_at - limits.max_clock_skew >= since

    def release(self, key: str, attempt_id: str) -> None:
        """Remove a claim whose request provably did not run; only the claim's holder may do so."""
        record = self._records.get(key)
        if record is not None and record.attempt_id == attempt_id and record.answer is None:
            del self._records[key]

    def complete(self, key: str, attempt_id: str, answer: StoredAnswer) -> None:
        """Store the answer of a claimed request, to be returned for repeated requests."""
        record = self._records.get(key)
        if record is not None and record.attempt_id == attempt_id:
            record.answer = answer

    def apply(self, message: ClaimRelease | ClaimComplete) -> None:
        """Apply a release or a completion."""
        if isinstance(message, ClaimRelease):
            self.release(message.key, message.attempt_id)
        else:
            self.complete(message.key, message.attempt_id, message.answer)

    def expire(self, now_wall: float, limits: ClaimLimits) -> None:
        """Remove claims older than the horizon plus twice the clock skew."""
        oldest_retained = now_wall - limits.horizon - 2 * limits.max_clock_skew
        expired_keys = [
            key for key, record in self._records.items() if record.granted_at < oldest_retained
        ]
        for key in expired_keys:
            del self._records[key]

    def _reply_to_known(self, record: ClaimRecord, request: ClaimRequest) -> ClaimReply:
        if record.body_digest != request.body_digest:
            return ClaimReply(ClaimStatus.OTHER_BODY)
        if record.attempt_id == request.attempt_id:
            return ClaimReply(ClaimStatus.GRANTED)
        return ClaimReply(ClaimStatus.HELD, record.answer)


class ClaimVerdict(enum.Enum):
    """The result of a claim round."""

    WON = "won"
    HELD = "held"
    OTHER_BODY = "other_body"
    NO_MAJORITY = "no_majority"


@dataclass(slots=True)
class ClaimRound:
    """One attempt to claim a key at a majority of zones.

    Args:
        replicas: The replica in each zone; None where the zone has no live node.
    """

    replicas: Mapping[str, str | None]
    replies: dict[str, ClaimReply | None] = field(default_factory=dict)

    def majority(self) -> int:
        """Return the number of zones that must grant the claim."""
        return len(self.replicas) // 2 + 1

    def on_reply(self, zone: str, reply: ClaimReply | None) -> None:
        """Record the reply of a zone's replica; None if the call failed or timed out."""
        self.replies[zone] = reply

    def verdict(self) -> ClaimVerdict | None:
        """Return the result, or None while outstanding replies can still decide it."""
        statuses = [reply.status for reply in self.replies.values() if reply is not None]
        if ClaimStatus.OTHER_BODY in statuses:
            return ClaimVerdict.OTHER_BODY
        if ClaimStatus.HELD in statuses:
            return ClaimVerdict.HELD
        granted = statuses.count(ClaimStatus.GRANTED)
        if granted >= self.majority():
            return ClaimVerdict.WON
        outstanding = len(self.replicas) - len(self.replies)
        if granted + outstanding < self.majority():
            return ClaimVerdict.NO_MAJORITY
        return None

    def can_end_early(self) -> bool:
        """Return whether the round can end before all replies have arrived.

        A held claim is not settled until a reply contains the answer: a replica that stores the
        claim may lack the answer, which another replica may have. If none has it, this remains
        False even after all replies have arrived.
        """
        verdict = self.verdict()
        if verdict is ClaimVerdict.HELD:
            return self.answer() is not None
        return verdict is not None

    def answer(self) -> StoredAnswer | None:
        """Return the answer of the earlier execution, if a replica stored it."""
        for reply in self.replies.values():
            if reply is not None and reply.answer is not None:
                return reply.answer
        return None


def replicas_of(
    key: str, zones: Sequence[str], nodes_by_zone: Mapping[str, Sequence[str]]
) -> dict[str, str | None]:
    """Return the replica of a key in each zone."""
    return {zone: owner(key, nodes_by_zone.get(zone, ())) for zone in zones}
