"""Messages about permits of suspect requests, between a node and the voters of the request."""

from __future__ import annotations

from hillstack.messages.packing import PackedMessage


class PermitQuestion(PackedMessage, array_like=True, frozen=True):
    """Asks a voter for the permit to send a request that may have crashed runners.

    Attributes:
        node_id: The sender.
        number: Number of the question at the sender.
        fingerprint: The request.
        permit: Identifier of the permit.
        crashed: Runners that crashed under the request, according to the sender.
        max_crashes: Number of crashes from which the voter refuses.
        is_returned: Whether the sender returns the permit instead of asking for it, since its send
            has ended without a crash; there is no answer.
    """

    node_id: str
    number: int
    fingerprint: int
    permit: str
    crashed: list[str]
    max_crashes: int
    is_returned: bool = False


class PermitAnswer(PackedMessage, array_like=True, frozen=True):
    """Answer to a ``PermitQuestion``.

    Attributes:
        node_id: The voter.
        number: Number of the question.
        vote: The vote, as a value of ``peer_permits.Vote``.
        permit: The permit in the question; a restarted node uses numbers again.
    """

    node_id: str
    number: int
    vote: int
    permit: str
