"""Messages about places at brittle runners, between a node and the issuers of a runner's places."""

from __future__ import annotations

import enum

from hillstack.messages.packing import PackedMessage

# Value of ``PlaceQuestion.held`` of a sender that knows one issuer for each runner only.
ALL_PLACES = -1


class Brittleness(enum.IntEnum):
    """What a node knows of the runners of a service.

    Attributes:
        UNKNOWN: No runner of the service has answered the node.
        SOUND: Their latest answers report none of them as brittle.
        BRITTLE: Some of them reports that it is brittle.
    """

    UNKNOWN = 0
    SOUND = 1
    BRITTLE = 2


class PlaceQuestion(PackedMessage, array_like=True, frozen=True):
    """Reports the places that a node uses, and asks for another one.

    Attributes:
        node_id: The sender.
        number: Number of the message at the sender; a later message supersedes it.
        runner_id: The runner.
        used: Places at the runner that the sender uses.
        wants: Whether the sender asks for another place; otherwise there is no answer.
        held: Places that the sender holds from the receiver.
        incarnation: Identifies the sender's process.
    """

    node_id: str
    number: int
    runner_id: str
    used: int
    wants: bool
    held: int = ALL_PLACES
    incarnation: int = 0


class PlaceAnswer(PackedMessage, array_like=True, frozen=True):
    """Answer to a ``PlaceQuestion``.

    Attributes:
        node_id: The issuer.
        number: Number of the question.
        granted: Whether the sender of the question got the place.
        brittleness: What the issuer knows of the runner.
    """

    node_id: str
    number: int
    granted: bool
    brittleness: Brittleness = Brittleness.UNKNOWN
