"""Reads the bodies of HTTP answers up to a size.

A server in trouble may send bytes without end. A body is counted while it is read, and its
connection is closed as soon as it is longer than an answer may be.
"""

from __future__ import annotations

from typing import Any

import aiohttp

from hillstack.answer_limits import MAX_ANSWER_BYTES, MAX_STORE_ANSWER_BYTES, MAX_TOTAL_BYTES
from hillstack.decoding import parse_json

# Statuses of answers without a body.
BODILESS_STATUSES = frozenset({204, 304})


class AnswerTooLongError(aiohttp.ClientError):
    """An answer has more bytes than it may have; its connection is closed."""


def is_unframed(response: aiohttp.ClientResponse) -> bool:
    """Return whether only the end of its connection ends an answer."""
    if response.method == "HEAD" or response.status in BODILESS_STATUSES:
        return False
    headers = response.headers
    is_chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    return "Content-Length" not in headers and not is_chunked


class BodyReader:
    """Reads whole bodies, each up to a size and all together up to another one.

    Args:
        max_bytes: Largest body.
        max_total_bytes: Bytes of all bodies that are being read at a time. If they are exceeded,
            bodies of more than the average size fail.
    """

    def __init__(
        self, max_bytes: int = MAX_ANSWER_BYTES, max_total_bytes: int = MAX_TOTAL_BYTES
    ) -> None:
        self._max_bytes = max_bytes
        self._max_total_bytes = max_total_bytes
        self._readers = 0
        self._total = 0

    @property
    def total_bytes(self) -> int:
        """Bytes of all bodies that are being read now."""
        return self._total

    async def read(self, response: aiohttp.ClientResponse, max_bytes: int | None = None) -> bytes:
        """Return the whole body of an answer.

        Args:
            response: The answer, whose body has not been read.
            max_bytes: Largest body; that of the reader by default.

        Raises:
            AnswerTooLongError: The body is too long.
            aiohttp.ClientError: The body broke off.
        """
        limit = self._max_bytes if max_bytes is None else max_bytes
        pieces: list[bytes] = []
        size = 0
        self._readers += 1
        try:
            while piece := await response.content.readany():
                pieces.append(piece)
                size += len(piece)
                self._total += len(piece)
                self._check(response, size, limit)
            return b"".join(pieces)
        finally:
            self._readers -= 1
            self._total -= size

    def _check(self, response: aiohttp.ClientResponse, size: int, limit: int) -> None:
        is_over_total = self._total > self._max_total_bytes
        if size > limit or (is_over_total and size * self._readers >= self._total):
            response.close()
            raise AnswerTooLongError(f"answer of more than {min(size, limit)} bytes")


async def read_json(response: aiohttp.ClientResponse) -> Any:
    """Return the JSON body of an answer of at most ``MAX_STORE_ANSWER_BYTES``.

    Raises:
        AnswerTooLongError: The body is too long.
        aiohttp.ClientError: The body broke off.
        ValueError: The body is no JSON.
    """
    reader = BodyReader(MAX_STORE_ANSWER_BYTES, MAX_STORE_ANSWER_BYTES)
    return parse_json(await reader.read(response))
