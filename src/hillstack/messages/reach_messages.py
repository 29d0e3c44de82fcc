"""Question of a node that cannot reach some runners, and a peer's answer from its own contacts."""

from __future__ import annotations

import msgspec

from hillstack.messages.packing import PackedMessage


class ReachQuestion(PackedMessage, array_like=True, frozen=True):
    """Asks a peer which runners it reaches.

    Attributes:
        node_id: The asking node.
        number: Number of the question, which the answer repeats.
        target_ids: Identifiers of runners, and addresses of KV cache stores.
    """

    node_id: str
    number: int
    target_ids: list[str]


class TargetReach(msgspec.Struct, array_like=True, frozen=True):
    """How a peer reaches a runner.

    Attributes:
        age_ms: Time since bytes last arrived over the peer's own connections; None if there were
            none.
        is_lost: Whether the peer itself reaches the runner only through other nodes.
    """

    target_id: str
    age_ms: int | None = None
    is_lost: bool = False


class ReachAnswer(PackedMessage, array_like=True, frozen=True):
    """Answer to a ``ReachQuestion``.

    Attributes:
        node_id: The answering node.
        number: Number of the question.
        accepts: Whether the node relays connections now.
        targets: Those of the runners in the question that the node knows.
    """

    node_id: str
    number: int
    accepts: bool
    targets: list[TargetReach]
