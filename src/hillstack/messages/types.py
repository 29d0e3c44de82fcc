"""Messages between nodes, and the types that the messages contain."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class MemberState(enum.IntEnum):
    """State of a member as seen by a node; at equal incarnations the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Member:
    """A node as seen by the membership protocol.

    Attributes:
        incarnation: Start time in milliseconds; the node increases it by one to refute a suspicion.
        bundle_version: Highest version of a bundle that the node was seen to use.
    """

    node_id: str
    region: str
    zone: str
    address: str
    incarnation: int
    state: MemberState
    bundle_version: int = 0


class BackendKind(enum.StrEnum):
    """Kind of requests that a back end serves."""

    ENGINE = "engine"
    APPLICATION = "application"


@dataclass(frozen=True, slots=True)
class Machine:
    """An entry of the machine list.

    Attributes:
        address: HTTP address.
        events_address: Address of the cache event stream; empty for applications.
        replay_address: Address that replays cache events; empty for applications.
        leaving: Whether the platform has announced that the machine will stop.
    """

    machine_id: str
    kind: BackendKind
    pool: str
    zone: str
    address: str
    events_address: str = ""
    replay_address: str = ""
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """A notice that a back end is shutting down; it applies to one incarnation only."""

    machine_id: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Ping:
    """A probe of a member; ``updates`` are piggybacked membership changes."""

    sequence: int
    sender: Member
    updates: tuple[Member, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Answers a probe, with piggybacked membership changes as in ``Ping``."""

    sequence: int
    sender: Member
    updates: tuple[Member, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks a third node to probe ``target_address`` on behalf of the sender."""

    sequence: int
    sender: Member
    target_address: str
    updates: tuple[Member, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncDigest:
    """A digest of the sender's member list; the receiver answers with a digest of its own list."""

    digest: int


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Contains the sender's complete member list and requests the receiver's list."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Answers a ``SyncRequest`` with the receiver's complete member list."""

    members: tuple[Member, ...]
    leaving: tuple[LeavingNotice, ...] = ()


@dataclass(frozen=True, slots=True)
class BundleRequest:
    """Requests the bundle in force if its version is higher than ``above_version``."""

    above_version: int


@dataclass(frozen=True, slots=True)
class BundleReply:
    """The signed bundle as JSON; empty if the receiver has no newer bundle."""

    signed_bundle: str


@dataclass(frozen=True, slots=True)
class MachineListRequest:
    """Requests the machine list that the receiver uses."""


@dataclass(frozen=True, slots=True)
class MachineListReply:
    """A machine list; ``age`` is the time in seconds since it was read from the platform."""

    machines: tuple[Machine, ...]
    age: float


class ClaimStatus(enum.StrEnum):
    """A replica's decision on a claim.

    Attributes:
        GRANTED: The attempt may run.
        HELD: Another attempt holds the claim or has already completed the request.
        OTHER_BODY: The key belongs to a request with another body.
        CANNOT_VOUCH: The replica has no record of the key but cannot rule out an earlier claim.
    """

    GRANTED = "granted"
    HELD = "held"
    OTHER_BODY = "other_body"
    CANNOT_VOUCH = "cannot_vouch"


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer to an executed request, stored for repeats of the request."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Claims an idempotency key for one attempt.

    Attributes:
        body_digest: Digest of the request body; a key is valid for one request only.
        created_at: Creation time encoded in the key, in seconds since the epoch; None if the key
            contains no time.
    """

    key: str
    attempt_id: str
    body_digest: str
    created_at: float | None = None


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Answers a claim; ``answer`` is set if the request has already been executed."""

    status: ClaimStatus
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class ClaimRelease:
    """Releases a claim whose request was provably not executed."""

    key: str
    attempt_id: str


@dataclass(frozen=True, slots=True)
class ClaimComplete:
    """Stores the answer of a claimed request at a replica."""

    key: str
    attempt_id: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class Done:
    """Acknowledges a request that has no other answer."""


@dataclass(frozen=True, slots=True)
class Failure:
    """Answers a request that failed; ``reason`` is the error text."""

    reason: str


@dataclass(frozen=True, slots=True)
class FillNotice:
    """Announces a prefill that the sender has just sent to an engine.

    Other nodes can then send requests with the same prefix to that engine instead of repeating the
    prefill elsewhere.

    Attributes:
        tokens: Prompt tokens that the engine has to prefill.
        hashes: Hashes of the cache blocks that the engine will store.
    """

    engine_id: str
    tokens: int
    hashes: tuple[int, ...]


Gossip = Ping | Ack | PingRequest
PeerRequest = (
    SyncDigest
    | SyncRequest
    | BundleRequest
    | MachineListRequest
    | ClaimRequest
    | ClaimRelease
    | ClaimComplete
)
PeerReply = SyncDigest | SyncReply | BundleReply | MachineListReply | ClaimReply | Done | Failure
Message = Gossip | FillNotice | PeerRequest | PeerReply
