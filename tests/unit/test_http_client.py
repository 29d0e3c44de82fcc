"""Tests the back end client for read timeouts, slow readers and refused connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from hillstack.backends.http_client import BackendClient
from hillstack.core.attempt import Attempt, AttemptState
from hillstack.errors import BackendBrokenError, BackendRefusedError
from hillstack.gateway.answers import read_whole
from tests.fleet.test_connections import reset

READ_TIMEOUT_SECONDS = 0.2
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 300000\r\n\r\n"
BODY = b"x" * 300_000

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Use = Callable[[BackendClient, Attempt, str], Awaitable[None]]


def run_against(serve: Serve, use: Use) -> Attempt:
    async def main() -> Attempt:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = BackendClient(connect_timeout=5.0, read_timeout=READ_TIMEOUT_SECONDS)
        attempt = Attempt("r-1", "backend")
        try:
            await use(client, attempt, f"http://127.0.0.1:{port}/")
        finally:
            await client.close()
            server.close()
        return attempt

    return asyncio.run(main())


async def answer_in_full(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(HEAD + BODY)
    await writer.drain()


async def answer_half(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(HEAD + BODY[:1_000])
    await writer.drain()
    await reader.read()


def test_a_slow_reader_gets_the_whole_response() -> None:
    async def read_slowly(client: BackendClient, attempt: Attempt, url: str) -> None:
        received = 0
        async with client.send(attempt, "POST", url, b"", {}) as answer:
            async for piece in answer.content.iter_any():
                received += len(piece)
                await asyncio.sleep(3 * READ_TIMEOUT_SECONDS)
        assert received == len(BODY)

    run_against(answer_in_full, read_slowly)


def test_a_response_without_bytes_times_out() -> None:
    async def read_all(client: BackendClient, attempt: Attempt, url: str) -> None:
        async with client.send(attempt, "POST", url, b"", {}) as answer:
            await answer.content.read()

    with pytest.raises(BackendBrokenError) as caught:
        run_against(answer_half, read_all)
    assert caught.value.step == "read answer"
    assert caught.value.peer


def test_a_response_over_the_size_limit_is_aborted() -> None:
    async def read_limited(client: BackendClient, attempt: Attempt, url: str) -> None:
        async with client.send(attempt, "POST", url, b"", {}) as answer:
            await read_whole(answer, len(BODY) - 1, "backend")

    with pytest.raises(BackendBrokenError, match="too long"):
        run_against(answer_in_full, read_limited)


def test_a_refused_connection_leaves_the_attempt_in_the_connecting_state() -> None:
    attempt = Attempt("r-1", "backend")

    async def main() -> None:
        client = BackendClient(connect_timeout=5.0, read_timeout=READ_TIMEOUT_SECONDS)
        try:
            async with client.send(attempt, "POST", "http://127.0.0.1:1/", b"", {}):
                pass
        finally:
            await client.close()

    with pytest.raises(BackendRefusedError):
        asyncio.run(main())
    assert attempt.state is AttemptState.CONNECTING


# The HTTP library sends a GET, PUT or DELETE once more if its connection breaks, so a request that
# may run only once ran twice.
@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
def test_a_request_whose_connection_breaks_is_not_sent_again(method: str) -> None:
    heads: list[bytes] = []

    async def run_and_break(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.close()

    async def send_once(client: BackendClient, attempt: Attempt, url: str) -> None:
        async with client.send(attempt, method, url, b"", {}, single_use=True):
            pass

    with pytest.raises(BackendBrokenError):
        run_against(run_and_break, send_once)
    assert len(heads) == 1


STATUS = b'{"incarnation":"p-1"}'
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nhalf"


def unframed(*, resets: bool = False, keeps_running: bool = True) -> Serve:
    """Return an application whose answer ends with its connection."""
    is_running = True

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal is_running
        head = await reader.readuntil(b"\r\n\r\n")
        if not is_running:
            writer.transport.abort()
        elif head.startswith(b"GET /status"):
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                + f"Content-Length: {len(STATUS)}\r\n\r\n".encode()
                + STATUS
            )
        else:
            is_running = keeps_running
            writer.write(UNFRAMED)
            await writer.drain()
            await asyncio.sleep(0.05)
        if resets:
            reset(writer)
        writer.close()

    return serve


def read_confirmed(incarnation: str = "p-1") -> Use:
    async def use(client: BackendClient, attempt: Attempt, url: str) -> None:
        address = url.removeprefix("http://").removesuffix("/")
        async with client.send(attempt, "POST", url, b"", {}, single_use=True) as answer:
            assert await read_whole(answer, 1_000, "backend") == b"half"
            await client.confirm_end(answer, address, incarnation)

    return use


def test_an_unframed_answer_of_a_running_process_is_complete() -> None:
    run_against(unframed(), read_confirmed())


# Guards against a part of a body that passes for the whole: the system closes the connections of a
# process that is killed as the process itself would.
def test_an_unframed_answer_of_a_process_that_has_ended_is_broken() -> None:
    with pytest.raises(BackendBrokenError):
        run_against(unframed(keeps_running=False), read_confirmed())
    with pytest.raises(BackendBrokenError):
        run_against(unframed(), read_confirmed("an earlier process"))


def test_an_unframed_answer_that_is_reset_is_broken() -> None:
    with pytest.raises(BackendBrokenError):
        run_against(unframed(resets=True), read_confirmed())
