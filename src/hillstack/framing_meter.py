"""Counts the bytes of an HTTP message that are no part of its body.

Heads, informational answers, chunk sizes and chunk extensions may come without end; the HTTP
parsers drop most of them without a trace, or keep heads of any length.
"""

from __future__ import annotations

# Bytes around the body of a message, in addition to as many bytes as the body has: several times
# the largest head of a request or answer. A late answer to another request counts, too.
MAX_FRAMING_BYTES = 262_144


class FramingMeter:
    """Counts the bytes of the current message on one connection."""

    def __init__(self) -> None:
        self._received = 0

    def begin(self) -> None:
        """Start to count for the next message."""
        self._received = 0

    def add(self, received: int, body_bytes: int) -> bool:
        """Count received bytes; return whether the message has too many bytes around its body.

        Args:
            received: Number of bytes that have just been received.
            body_bytes: Number of bytes of the message's body so far.
        """
        self._received += received
        return self._received > MAX_FRAMING_BYTES + 2 * body_bytes
