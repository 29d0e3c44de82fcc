"""A caller's connection accepts only complete answers and records its own close."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from tests.soak.connections import CallerConnection, ConnectionBrokenError, WholeAnswer

PLAIN = b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 3\r\n\r\nabc"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"


@contextlib.asynccontextmanager
async def answering(*answers: bytes) -> AsyncIterator[str]:
    """Serve the given answers, one per request, over one connection and then close it."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for answer in answers:
            await reader.readuntil(b"body")
            writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def exchange_all(*answers: bytes) -> list[WholeAnswer]:
    async with answering(*answers) as address:
        connection = await CallerConnection.open(address)
        try:
            return [await connection.exchange("/", {"Host": "h"}, b"body") for _ in answers]
        finally:
            connection.close()


def test_answers_over_one_connection_are_read_whole() -> None:
    plain, chunked = asyncio.run(exchange_all(PLAIN, CHUNKED))
    assert (plain.status, plain.headers["x-a"], plain.body) == (200, "1", b"abc")
    assert chunked.body == b"abc"


@pytest.mark.parametrize("answer", [b"", PLAIN[:20], PLAIN[:-1], CHUNKED[:-7], CHUNKED[:-1]])
def test_an_incomplete_answer_raises(answer: bytes) -> None:
    with pytest.raises(ConnectionBrokenError):
        asyncio.run(exchange_all(answer))


def test_a_connection_is_used_until_the_other_side_has_closed_it() -> None:
    async def play() -> None:
        closing = PLAIN.replace(b"X-A: 1", b"Connection: close")
        async with answering(closing, PLAIN) as address:
            connection = await CallerConnection.open(address)
            await connection.exchange("/", {"Host": "h"}, b"body")
            assert connection.is_usable
            await connection.exchange("/", {"Host": "h"}, b"body")
            while connection.is_usable:  # noqa: ASYNC110 (the close comes from the other side)
                await asyncio.sleep(0.01)
            assert connection.closed_at is None
            connection.close()
            assert connection.closed_at is not None

    asyncio.run(play())
