"""Rewrites answers of runners to answers without a length, which end with their connection.

HTTP servers may answer so. The end of such an answer looks like the end of a process that is
killed: the system closes its connections in order.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from hillstack.platform import names

HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"
SIGNATURE = names.SIGNATURE.lower().encode() + b":"
FRAMING_FIELDS = (b"transfer-encoding:", b"content-length:", b"connection:")


def starts_answer(piece: bytes) -> bool:
    """Return whether the head of an answer begins with these bytes."""
    return piece.startswith(b"HTTP/1.1 ")


class _Part(enum.Enum):
    """Which part of an answer is read next."""

    HEAD = "head"
    CHUNKS = "chunks"
    LENGTH = "length"
    PASS = "pass"
    END = "end"


@dataclass(slots=True)
class UnframedAnswer:
    """One answer, which loses its framing if it answers the request of a caller."""

    _part: _Part = _Part.HEAD
    _unread: bytes = b""
    _left: int = 0

    @property
    def has_ended(self) -> bool:
        """Return whether the answer is whole, so that its connection is to be closed."""
        return self._part is _Part.END

    @property
    def passes(self) -> bool:
        """Return whether the answer keeps its framing."""
        return self._part is _Part.PASS

    def rewrite(self, piece: bytes) -> bytes:
        """Return what the caller receives for some bytes of the server."""
        self._unread += piece
        head = self._read_head() if self._part is _Part.HEAD else b""
        if self._part is _Part.CHUNKS:
            return head + self._read_chunks()
        if self._part is _Part.LENGTH:
            return head + self._read_length()
        if self._part is _Part.PASS:
            passed, self._unread = self._unread, b""
            return head + passed
        return head

    def _read_head(self) -> bytes:
        head, end, rest = self._unread.partition(HEAD_END)
        if not end:
            return b""
        self._unread = rest
        lines = head.split(LINE_END)
        lowered = [line.lower() for line in lines]
        if not any(line.startswith(SIGNATURE) for line in lowered):
            self._part = _Part.PASS
            return head + end
        self._part = _Part.CHUNKS
        for line in lowered:
            if line.startswith(b"content-length:"):
                self._part, self._left = _Part.LENGTH, int(line.partition(b":")[2])
        kept = [line for line in lines if not line.lower().startswith(FRAMING_FIELDS)]
        return LINE_END.join([*kept, b"Connection: close"]) + end

    def _read_chunks(self) -> bytes:
        payload = b""
        while True:
            line, end, rest = self._unread.partition(LINE_END)
            size = int(line, 16) if end else 0
            if not end or len(rest) < size + len(LINE_END):
                return payload
            self._unread = rest[size + len(LINE_END) :]
            payload += rest[:size]
            if not size:
                self._part = _Part.END
                return payload

    def _read_length(self) -> bytes:
        payload, self._unread = self._unread[: self._left], b""
        self._left -= len(payload)
        if not self._left:
            self._part = _Part.END
        return payload
