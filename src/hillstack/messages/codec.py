"""Codec of peer messages: MessagePack with a protocol version, a type tag and a keyed digest.

A frame consists of a 16-byte keyed BLAKE2b digest of the payload, followed by the payload
``[protocol version, tag, fields]``. All nodes of a deployment share the key, so that frames from
outside the deployment are rejected. The digest does not protect nodes from one another, and the
payload is not encrypted.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Any, get_args

import ormsgpack
from pydantic import TypeAdapter, ValidationError

from hillstack.errors import CodecError
from hillstack.messages.types import Message

PROTOCOL_VERSION = 1
DIGEST_BYTES = 16

_ADAPTERS: dict[str, TypeAdapter[Any]] = {
    kind.__name__: TypeAdapter(kind) for kind in get_args(Message)
}


class Codec:
    """Encodes and decodes frames with a shared key.

    Args:
        key: Shared key, 32 bytes.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key

    def encode(self, message: Message) -> bytes:
        """Encode a message as a frame."""
        content = [PROTOCOL_VERSION, type(message).__name__, message]
        payload = ormsgpack.packb(content)
        return self._digest(payload) + payload

    def decode(self, frame: bytes, peer: str) -> Message:
        """Verify a frame and decode its message.

        Raises:
            CodecError: The frame is truncated, not authentic, of another protocol version or
                malformed.
        """
        digest, payload = frame[:DIGEST_BYTES], frame[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(payload)):
            raise CodecError("not authentic", step="decode", peer=peer)
        try:
            version, tag, fields = ormsgpack.unpackb(payload)
        except (ValueError, TypeError, RecursionError) as error:
            raise CodecError("malformed frame", step="decode", peer=peer) from error
        if version != PROTOCOL_VERSION:
            raise CodecError(f"protocol version {version!r}", step="decode", peer=peer)
        adapter = _ADAPTERS.get(tag) if isinstance(tag, str) else None
        if adapter is None:
            raise CodecError(f"unknown message {tag!r}", step="decode", peer=peer)
        return _validate(adapter, fields, peer)

    def _digest(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, key=self._key, digest_size=DIGEST_BYTES).digest()


def _validate(adapter: TypeAdapter[Any], fields: object, peer: str) -> Message:
    try:
        message: Message = adapter.validate_python(fields)
    except ValidationError as error:
        raise CodecError("malformed fields", step="decode", peer=peer) from error
    return message
