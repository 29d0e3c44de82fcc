"""What two nodes exchange over TCP to relay a connection to a runner.

The origin, which cannot reach the runner, connects to a relay and sends a ``RelayRequest``. The
relay connects to the runner and answers with a ``RelayStatus``. Then the origin's bytes pass to the
runner unchanged. The runner's bytes pass to the origin in frames, which also carry how the
connection to the runner ended: a reset by the runner may be a crash, the loss of a relay is not.
"""

from __future__ import annotations

import enum
import struct
from collections.abc import Iterator

from hillstack.errors import CodecError
from hillstack.messages.packing import PackedMessage, pack, unpack

_LENGTH = struct.Struct("!H")
_FRAME_HEAD = struct.Struct("!BI")


class RelayRequest(PackedMessage, array_like=True, frozen=True):
    """A node's request to connect it to a runner.

    Attributes:
        node_id: The origin.
        target_id: Identifier of the runner, or address of the KV cache store. The relay looks the
            address up in its own state and never connects to one that a message contains.
    """

    node_id: str
    target_id: str


class RelayStatus(enum.IntEnum):
    """Answer to a ``RelayRequest``; all but ``CONNECTED`` mean that no byte reached the runner.

    Attributes:
        CONNECTED: The connection to the runner is open.
        UNKNOWN_TARGET: The relay does not know the runner, or knows that it is leaving.
        NOT_REACHED: The relay cannot connect to the runner.
        BUSY: The relay has too many relayed connections, or is stopping.
        NOT_ALLOWED: The origin is not a listed node.
    """

    CONNECTED = 1
    UNKNOWN_TARGET = 2
    NOT_REACHED = 3
    BUSY = 4
    NOT_ALLOWED = 5


class FrameKind(enum.IntEnum):
    """Kind of a frame from the relay to the origin.

    Attributes:
        DATA: Bytes of the runner.
        ENDED: The runner closed the connection.
        RESET: The runner reset the connection.
        LOST: The relay lost the connection to the runner in another way, such as a time-out.
        CLOSING: The relay is stopping; the connection must not be used for a further request.
    """

    DATA = 1
    ENDED = 2
    RESET = 3
    LOST = 4
    CLOSING = 5


def encode_request(request: RelayRequest) -> bytes:
    """Encode a request with its length in front."""
    payload = pack(request)
    return _LENGTH.pack(len(payload)) + payload


def decode_request(received: bytes, peer: str) -> RelayRequest | None:
    """Decode a request; return None if it is not complete yet.

    Raises:
        CodecError: The request is malformed, or bytes follow it.
    """
    if len(received) < _LENGTH.size:
        return None
    (length,) = _LENGTH.unpack_from(received)
    end = _LENGTH.size + length
    if len(received) < end:
        return None
    if len(received) > end:
        raise CodecError("bytes after the relay request", step="relay", peer=peer)
    return unpack(received[_LENGTH.size :], RelayRequest, peer)


def encode_frame(kind: FrameKind, payload: bytes = b"") -> bytes:
    """Encode a frame."""
    return _FRAME_HEAD.pack(kind, len(payload)) + payload


class FrameReader:
    """Splits received bytes into frames; the payload of a frame may arrive in several parts."""

    def __init__(self) -> None:
        self._head = b""
        self._remaining = 0

    def feed(self, received: bytes) -> Iterator[tuple[FrameKind, bytes]]:
        """Return each frame without payload, and each part of the payload of a data frame.

        Raises:
            CodecError: A frame is malformed.
        """
        position = 0
        while position < len(received):
            if self._remaining:
                part = received[position : position + self._remaining]
                self._remaining -= len(part)
                position += len(part)
                yield FrameKind.DATA, part
                continue
            missing = _FRAME_HEAD.size - len(self._head)
            self._head += received[position : position + missing]
            position += missing
            if len(self._head) < _FRAME_HEAD.size:
                return
            kind = self._take_head()
            if kind is not FrameKind.DATA:
                yield kind, b""

    def _take_head(self) -> FrameKind:
        number, length = _FRAME_HEAD.unpack(self._head)
        self._head = b""
        try:
            kind = FrameKind(number)
        except ValueError as error:
            raise CodecError("unknown kind of frame", step="relay") from error
        if length and kind is not FrameKind.DATA:
            raise CodecError("payload in a frame without one", step="relay")
        self._remaining = length
        return kind
