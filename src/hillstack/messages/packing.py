"""Encodes typed messages as compressed bytes; messages contain many repeated names."""

from __future__ import annotations

import functools
import zlib
from typing import Any, TypeVar

import msgspec

from hillstack.errors import CodecError
from hillstack.messages.peer_notices import PROTOCOL_VERSION

# The fastest level of zlib compresses a batch of notices to about half its size in about ten
# microseconds.
COMPRESSION_LEVEL = 1
# Maximum size of a decompressed message. A configuration with thousands of routes takes a few
# megabytes.
MAX_DECOMPRESSED_BYTES = 8_388_608


class PackedMessage(msgspec.Struct, array_like=True, frozen=True):
    """Base of the messages that ``pack`` compresses; starts with the sender's protocol version."""

    protocol: int


Message = TypeVar("Message", bound=PackedMessage)


def pack(message: PackedMessage) -> bytes:
    """Encode and compress a message."""
    return zlib.compress(msgspec.msgpack.encode(message), COMPRESSION_LEVEL)


def unpack(payload: bytes, kind: type[Message], peer: str) -> Message:
    """Decompress and decode a message.

    Raises:
        CodecError: The message is malformed, truncated, too large, or of another protocol version.
    """
    try:
        decompressor = zlib.decompressobj()
        decompressed = decompressor.decompress(payload, MAX_DECOMPRESSED_BYTES)
        if not decompressor.eof:
            raise CodecError("truncated or too large", step="decode", peer=peer)
        message: Message = _decoder(kind).decode(decompressed)
    except (ValueError, TypeError, RecursionError, zlib.error) as error:
        raise CodecError("malformed message", step="decode", peer=peer) from error
    if message.protocol != PROTOCOL_VERSION:
        raise CodecError(f"protocol version {message.protocol}", step="decode", peer=peer)
    return message


@functools.cache
def _decoder(kind: type[PackedMessage]) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(kind)
