"""Messages about places at brittle runners, between a node and the issuer of a runner's places."""

from __future__ import annotations

from hillstack.messages.packing import PackedMessage


class PlaceQuestion(PackedMessage, array_like=True, frozen=True):
    """Reports the places that a node uses, and asks for another one.

    Attributes:
        node_id: The sender.
        number: Number of the message at the sender; a later message supersedes it.
        runner_id: The runner.
        used: Places that the sender uses.
        wants: Whether the sender asks for another place; otherwise there is no answer.
    """

    node_id: str
    number: int
    runner_id: str
    used: int
    wants: bool


class PlaceAnswer(PackedMessage, array_like=True, frozen=True):
    """Answer to a ``PlaceQuestion``.

    Attributes:
        node_id: The issuer.
        number: Number of the question.
        granted: Whether the sender of the question got the place.
    """

    node_id: str
    number: int
    granted: bool
