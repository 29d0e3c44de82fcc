"""A caller's connection: it is used until it is closed or breaks, whatever its answers say.

An HTTP library gives a connection up by rules of its own, and sends some requests again by itself.
Here each byte that is sent, and each close, is the soak's own, so that its moment is known.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass

from multidict import CIMultiDict

HEAD_END = b"\r\n\r\n"


class ConnectionBrokenError(Exception):
    """The connection ended before the answer was whole."""


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer that ended as complete."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


class CallerConnection:
    """One connection to a node.

    Attributes:
        closed_at: When this side closed it; None while it has not.
        exchanges: Answers that came over it.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self.closed_at: float | None = None
        self.exchanges = 0

    @classmethod
    async def open(cls, address: str) -> CallerConnection:
        """Connect to ``IP:PORT``.

        Raises:
            ConnectionBrokenError: Nobody listens.
        """
        host, _, port = address.rpartition(":")
        try:
            return cls(*await asyncio.open_connection(host, int(port)))
        except OSError as error:
            raise ConnectionBrokenError(str(error)) from error

    @property
    def is_usable(self) -> bool:
        """Return whether neither side has closed it, as far as is known."""
        ended = self._reader.at_eof() or self._reader.exception() is not None
        return self.closed_at is None and not ended and not self._writer.is_closing()

    async def exchange(self, path: str, headers: dict[str, str], body: bytes) -> WholeAnswer:
        """Send a request and read its answer.

        Raises:
            ConnectionBrokenError: The connection ended before the answer did.
        """
        lines = [f"POST {path} HTTP/1.1", *(f"{name}: {text}" for name, text in headers.items())]
        lines.append(f"Content-Length: {len(body)}")
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
        """Close it at once, with what has not been read yet."""
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
        body = b""
        while True:
            size = int((await self._reader.readuntil(b"\r\n")).strip(), 16)
            piece = await self._reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
