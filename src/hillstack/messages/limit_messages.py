"""Requests and answers about tokens of rate limits that all nodes share.

The limits apply to tenants or to runners. For a runner's limit, the tenant fields of the messages
contain the runner's identifier.

A sender deducts the tokens from its own count before it sends a message with tokens. A lost message
therefore destroys tokens, and no message creates tokens.
"""

from __future__ import annotations

import msgspec

from hillstack.messages.packing import PackedMessage

# Entry of ``TenantGrant.waits_ms`` for a request that may be sent at once.
GRANTED = -1


class TokenNeed(msgspec.Struct, array_like=True, frozen=True):
    """A request that waits for tokens.

    Attributes:
        cost: Number of tokens that the request takes.
        rank: Priority among the requests of the same tenant; 0 is the most urgent.
    """

    cost: float
    rank: int


class TenantTokens(msgspec.Struct, array_like=True, frozen=True):
    """The tokens of one tenant that a node returns and requests.

    Attributes:
        returned: Unused tokens that had been leased to the node.
        needs: The node's requests that are waiting for tokens.
        ahead: Tokens that the node wants to lease for future requests.
        rate: The limit that the node has received from the runner, in tokens per second; 0 if the
            node has received none, or if the limit is part of the configuration.
    """

    tenant: str
    returned: float = 0.0
    needs: list[TokenNeed] = []
    ahead: float = 0.0
    rate: float = 0.0


class TokenQuestion(PackedMessage, array_like=True, frozen=True):
    """A node's request for tokens, sent to the node that holds the token buckets.

    The request contributes elapsed time to the holder, which refills the buckets by that time.

    Attributes:
        incarnation: Identifies the sender's process; each start of the sender has another one.
        number: Number of the request, increasing within a process; the answer repeats the number.
        seconds: Elapsed time since the sender last contributed time to any holder.
        is_first: Whether the sender's process contributes time for the first time.
    """

    node_id: str
    incarnation: int
    number: int
    seconds: float
    is_first: bool = False
    tenants: list[TenantTokens] = msgspec.field(default_factory=list)


class TenantGrant(msgspec.Struct, array_like=True, frozen=True):
    """The tokens of one tenant that a bucket holder grants to a node.

    Attributes:
        waits_ms: For each entry of ``TenantTokens.needs``, in the same order: ``GRANTED``, or the
            time until enough tokens are expected.
        leased: Tokens leased to the node for future requests.
    """

    tenant: str
    waits_ms: list[int] = []
    leased: float = 0.0


class TokenAnswer(PackedMessage, array_like=True, frozen=True):
    """A bucket holder's answer to a ``TokenQuestion``; ``number`` is that of the request."""

    number: int
    grants: list[TenantGrant] = msgspec.field(default_factory=list)


class TransferQuestion(PackedMessage, array_like=True, frozen=True):
    """A bucket holder's request to another holder for tokens, by tenant."""

    number: int
    node_id: str
    wanted: dict[str, float]


class TransferAnswer(PackedMessage, array_like=True, frozen=True):
    """The tokens that a bucket holder transfers to the requesting holder, by tenant."""

    number: int
    given: dict[str, float]
