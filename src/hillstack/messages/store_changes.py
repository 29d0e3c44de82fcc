"""Questions and answers between nodes about changes of the store."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from hillstack.errors import CodecError
from hillstack.messages.packing import pack, unpack
from hillstack.messages.peer_notices import PROTOCOL_VERSION

Message = TypeVar("Message", "ChangesQuestion", "ChangesAnswer")


class ChangesQuestion(msgspec.Struct, array_like=True, frozen=True):
    """Asks for all that has changed since a revision.

    Attributes:
        number: Comes back in the answer.
    """

    protocol: int
    node_id: str
    number: int
    revision: int


class ItemChange(msgspec.Struct, array_like=True, frozen=True):
    """The latest change of a key; without a value it was removed."""

    key: str
    revision: int
    value: bytes | None


class ChangesAnswer(msgspec.Struct, array_like=True, frozen=True):
    """What a node knows of the store.

    Attributes:
        number: Number of the question.
        revision: Up to where the changes go.
        age_ms: How long ago the sender asked the store, or its own source, for what it knows; None
            if it knows nothing. Counted to the moment of sending.
        outage_age_ms: How long ago the last outage of the store ended for the sender; None without.
        items: The changes.
        keys: All keys that exist, where removals are not told one by one; else None.
        is_complete: Whether everything fitted; if not, only ages are told.
    """

    protocol: int
    node_id: str
    number: int
    revision: int
    age_ms: int | None = None
    outage_age_ms: int | None = None
    items: list[ItemChange] = []
    keys: list[str] | None = None
    is_complete: bool = True


def encode(message: ChangesQuestion | ChangesAnswer) -> bytes:
    """Return the payload of a message."""
    return pack(message)


def decode(payload: bytes, kind: type[Message], peer: str) -> Message:
    """Return the message of a payload.

    Raises:
        CodecError: It is malformed, too large, or of another protocol version.
    """
    message = unpack(payload, kind, peer)
    if message.protocol != PROTOCOL_VERSION:
        raise CodecError(f"protocol version {message.protocol}", step="decode", peer=peer)
    return message
