"""Questions and answers about the tokens of limits that all nodes share.

These are limits of tenants, and of runners, which stand in the place of a tenant by their names.

What a message carries is gone from its sender before it is sent, so that a lost message destroys
tokens and none ever makes any.
"""

from __future__ import annotations

import msgspec

from hillstack.messages.packing import PackedMessage

# In place of a wait: the request may be sent.
GRANTED = -1


class TokenNeed(msgspec.Struct, array_like=True, frozen=True):
    """A request that waits for tokens.

    Attributes:
        cost: What it counts as.
        rank: How urgent it is among the requests of its tenant; 0 is the most urgent.
    """

    cost: float
    rank: int


class TenantTokens(msgspec.Struct, array_like=True, frozen=True):
    """What a node says and asks of one tenant.

    Attributes:
        returned: Tokens that were leased to it and not used.
        needs: Its requests that wait.
        ahead: Tokens that it would like to have for requests to come.
        rate: The limit that it knows of, in tokens a second; 0 where the configuration names it.
    """

    tenant: str
    returned: float = 0.0
    needs: list[TokenNeed] = []
    ahead: float = 0.0
    rate: float = 0.0


class TokenQuestion(PackedMessage, array_like=True, frozen=True):
    """A node hands its time to a holder of buckets, and asks for tokens.

    Attributes:
        incarnation: Differs from start to start of the sender.
        number: Rises with each question of a process; comes back in the answer.
        seconds: The sender's time since it last handed some over.
        is_first: Whether its process has handed over none before.
    """

    node_id: str
    incarnation: int
    number: int
    seconds: float
    is_first: bool = False
    tenants: list[TenantTokens] = msgspec.field(default_factory=list)


class TenantGrant(msgspec.Struct, array_like=True, frozen=True):
    """What a node gets of one tenant.

    Attributes:
        waits_ms: For each need, in their order, ``GRANTED`` or after how long there is room.
        leased: Tokens for requests to come.
    """

    tenant: str
    waits_ms: list[int] = []
    leased: float = 0.0


class TokenAnswer(PackedMessage, array_like=True, frozen=True):
    """A holder's answer to a node."""

    number: int
    grants: list[TenantGrant] = msgspec.field(default_factory=list)


class TransferQuestion(PackedMessage, array_like=True, frozen=True):
    """A holder asks another one for tokens, by tenant."""

    number: int
    node_id: str
    wanted: dict[str, float]


class TransferAnswer(PackedMessage, array_like=True, frozen=True):
    """The tokens that a holder gives to another one, by tenant."""

    number: int
    given: dict[str, float]
