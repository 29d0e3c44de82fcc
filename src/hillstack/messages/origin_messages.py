"""Messages about the software versions that began streams."""

from __future__ import annotations

from hillstack.messages.packing import PackedMessage


class OriginReport(PackedMessage, array_like=True, frozen=True):
    """Reports streams that have begun, to a node that keeps their origins.

    Attributes:
        service: Service of the streams.
        software: Version that began them.
        attempts: The callers' tries that brought their first events.
    """

    service: str
    software: str
    attempts: list[str]


class OriginQuestion(PackedMessage, array_like=True, frozen=True):
    """Asks which version began a stream.

    Attributes:
        address: ``IP:PORT`` of the sender, which the receiver may not have on its list yet.
        number: Number of the question at the sender.
        service: Service of the stream.
        attempt_id: The caller's try that brought its first event; empty if it is not known.
    """

    address: str
    number: int
    service: str
    attempt_id: str


class OriginAnswer(PackedMessage, array_like=True, frozen=True):
    """Answer to an ``OriginQuestion``.

    Attributes:
        number: Number of the question.
        software: The version; None if it is not known.
        is_mixed: Whether the receiver of the question knows of several recent versions.
        knows_versions: Whether the receiver of the question has read which versions the service had
            before its own start, so that it knows of all. An earlier build does not.
        versions: The recent versions that the receiver of the question knows.
    """

    number: int
    software: str | None
    is_mixed: bool
    knows_versions: bool = False
    versions: tuple[str, ...] = ()
