"""The messages between nodes."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class MemberState(enum.IntEnum):
    """What is believed of a member; at equal incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Member:
    """A node as seen by membership.

    Attributes:
        incarnation: Start time in milliseconds, raised by one to refute a suspicion.
        bundle_version: Highest bundle version that the node was seen to have in force.
    """

    node_id: str
    region: str
    zone: str
    address: str
    incarnation: int
    state: MemberState
    bundle_version: int = 0


class BackendKind(enum.StrEnum):
    """What a back end serves."""

    ENGINE = "engine"
    APPLICATION = "application"


@dataclass(frozen=True, slots=True)
class Machine:
    """An entry of the machine list.

    Attributes:
        address: HTTP address.
        events_address: Address of the cache event stream; empty for applications.
        replay_address: Address that replays cache events; empty for applications.
        leaving: Whether the platform announced its end.
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
    """A node's word that a back end leaves; it holds for one incarnation."""

    machine_id: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Ping:
    """A probe. ``updates`` are piggybacked membership changes."""

    sequence: int
    sender: Member
    updates: tuple[Member, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """The answer to a probe."""

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
    """A digest of the sender's member list; the answer is the receiver's."""

    digest: int


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Sends the whole member list and asks for the receiver's."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class SyncReply:
    """The whole member list of the receiver."""

    members: tuple[Member, ...]
    leaving: tuple[LeavingNotice, ...] = ()


@dataclass(frozen=True, slots=True)
class BundleRequest:
    """Asks for the bundle in force if its version is above ``above_version``."""

    above_version: int


@dataclass(frozen=True, slots=True)
class BundleReply:
    """The signed bundle as JSON; empty when the receiver has no newer one."""

    signed_bundle: str


@dataclass(frozen=True, slots=True)
class MachineListRequest:
    """Asks for the machine list that the receiver uses."""


@dataclass(frozen=True, slots=True)
class MachineListReply:
    """A machine list and the seconds since it was read from the platform."""

    machines: tuple[Machine, ...]
    age: float


class ClaimStatus(enum.StrEnum):
    """A replica's answer to a claim."""

    GRANTED = "granted"
    HELD = "held"
    OTHER_BODY = "other_body"
    CANNOT_VOUCH = "cannot_vouch"


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer of an execution, kept for repeats of its request."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Claims a key for one attempt.

    Attributes:
        created_at: Time in the key, in seconds since the epoch; None if it carries none.
        body_digest: Digest of the request body; a key names one request only.
    """

    key: str
    attempt_id: str
    body_digest: str
    created_at: float | None = None


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """The answer to a claim; ``answer`` is set when the request already ran."""

    status: ClaimStatus
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class ClaimRelease:
    """Gives a claim back: its request provably did not run."""

    key: str
    attempt_id: str


@dataclass(frozen=True, slots=True)
class ClaimComplete:
    """Hands the answer of a claimed request to a replica."""

    key: str
    attempt_id: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class Done:
    """Acknowledges a message that has no other answer."""


@dataclass(frozen=True, slots=True)
class Failure:
    """Says why a request of a peer was not carried out."""

    reason: str


@dataclass(frozen=True, slots=True)
class FillNotice:
    """Tells other nodes of a prefill just sent, so that they follow it and do not repeat it.

    Attributes:
        tokens: Prompt tokens that the engine has to prefill.
        hashes: Hashes of the blocks that it will store.
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
