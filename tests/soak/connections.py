"""A caller's HTTP connection, used until one side closes it, whatever the answers' headers say.

HTTP libraries drop connections by their own rules and retry some requests. Here the soak itself
writes every byte and does every close, so that the time of each is known.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass

from multidict import CIMultiDict

HEAD_END = b"\r\n\r\n"


class ConnectionBrokenError(Exception):
    """The connection ended before the answer was complete."""


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer that was received to its end."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


class CallerConnection:
    """One connection to a node.

    Attributes:
        closed_at: When the caller closed the connection; None if the caller hasn't.
        exchanges: Number of answers received over the connection.
        received: What has arrived of the body of the current or last answer.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self.closed_at: float | None = None
        self.exchanges = 0
        self.received = b""

    @classmethod
    async def open(cls, address: str) -> CallerConnection:
        """Connect to ``IP:PORT``.

        Raises:
            ConnectionBrokenError: The connection was refused.
        """
        host, _, port = address.rpartition(":")
        try:
            return cls(*await asyncio.open_connection(host, int(port)))
        except OSError as error:
            raise ConnectionBrokenError(str(error)) from error

    @property
    def is_usable(self) -> bool:
        """Return whether, as far as the caller can tell, neither side has closed the connection."""
        ended = self._reader.at_eof() or self._reader.exception() is not None
        return self.closed_at is None and not ended and not self._writer.is_closing()

    async def exchange(self, path: str, headers: dict[str, str], body: bytes) -> WholeAnswer:
        """Send a request and read its answer to the end.

        Raises:
            ConnectionBrokenError: The connection ended before the answer was complete.
        """
        lines = [f"POST {path} HTTP/1.1", *(f"{name}: {text}" for name, text in headers.items())]
        lines.append(f"Content-Length: {len(body)}")
        self.received = b""
        try:
            self._writer.write("\r\n".join(lines).encode() + HEAD_END + body)
            await self._writer.drain()
            answer = await self._read_answer()
        except (OSError, EOFError, ValueError) as error:
            self.close()
            raise ConnectionBrokenError(str(error)) from error
        self.exchanges += 1
        return answer

    def close(self) -> None:
        """Close the connection at once; unread data is lost."""
        if self.closed_at is None:
            self.closed_at = time.monotonic()
        with contextlib.suppress(OSError):
            self._writer.close()

    async def _read_answer(self) -> WholeAnswer:
        head = (await self._reader.readuntil(HEAD_END)).decode("latin-1").split("\r\n")
        headers: CIMultiDict[str] = CIMultiDict()
        for line in head[1:]:
            name, separator, text = line.partition(":")
            if separator:
                headers.add(name, text.strip())
        status = int(head[0].split(" ")[1])
        return WholeAnswer(status, headers, await self._read_body(headers))

    async def _read_body(self, headers: CIMultiDict[str]) -> bytes:
        if headers.get("transfer-encoding", "").lower() != "chunked":
            return await self._reader.readexactly(int(headers.get("content-length", "0")))
        while True:
            size = int((await self._reader.readuntil(b"\r\n")).strip(), 16)
            piece = await self._reader.readexactly(size + 2)
            if not size:
                return self.received
            self.received += piece[:-2]
