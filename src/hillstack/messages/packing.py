"""Typed messages as compressed bytes: what nodes tell each other repeats many names."""

from __future__ import annotations

import functools
import zlib
from typing import Any, TypeVar

import msgspec

from hillstack.errors import CodecError
from hillstack.messages.peer_notices import PROTOCOL_VERSION

# zlib's fastest level: a batch of notices shrinks to about half in some ten microseconds.
COMPRESSION_LEVEL = 1
# What a message may unpack to; a configuration of thousands of routes has some megabytes.
MAX_UNPACKED_BYTES = 8_388_608


class PackedMessage(msgspec.Struct, array_like=True, frozen=True):
    """A message between nodes; its first field is the protocol version of its sender."""

    protocol: int


Message = TypeVar("Message", bound=PackedMessage)


def pack(message: PackedMessage) -> bytes:
    """Return the payload of a message."""
    return zlib.compress(msgspec.msgpack.encode(message), COMPRESSION_LEVEL)


def unpack(payload: bytes, kind: type[Message], peer: str) -> Message:
    """Return the message of a payload.

    Raises:
        CodecError: It is malformed, cut, too large, or of another protocol version.
    """
    try:
        unpacker = zlib.decompressobj()
        unpacked = unpacker.decompress(payload, MAX_UNPACKED_BYTES)
        if not unpacker.eof:
            raise CodecError("cut or too large", step="decode", peer=peer)
        message: Message = _decoder(kind).decode(unpacked)
    except (ValueError, TypeError, zlib.error) as error:
        raise CodecError("malformed message", step="decode", peer=peer) from error
    if message.protocol != PROTOCOL_VERSION:
        raise CodecError(f"protocol version {message.protocol}", step="decode", peer=peer)
    return message


@functools.cache
def _decoder(kind: type[PackedMessage]) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(kind)
