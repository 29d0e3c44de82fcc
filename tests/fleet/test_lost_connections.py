"""Tests, over sockets, which broken answers may indicate that the runner's process has ended.

A process that ends closes or resets its connections. A machine that stops answering, malformed
bytes, and a rejection without the promise that the request was not executed do not indicate that
the process has ended.
"""

from __future__ import annotations

import asyncio
import errno
from typing import Any

import pytest

from hillstack.errors import BackendBrokenError, ConnectionLostError
from hillstack.platform.runners import HttpRunnerAnswer, HttpRunnerClient
from hillstack.serving.types import Dispatch
from tests.fleet.test_connections import head, read_request, request, reset, run_against, take

CHUNKED = "Transfer-Encoding: chunked"
CHUNK = b"5\r\nhello\r\n"


def error_of(first: bytes, *, by_reset: bool) -> BackendBrokenError:
    """Return the error that is raised when the connection ends after the given bytes.

    Args:
        first: Bytes that the runner sends before the connection ends.
        by_reset: Whether the runner resets the connection instead of closing it.
    """
    errors: list[BackendBrokenError] = []
    received = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(first)
        await writer.drain()
        if first:
            await received.wait()
        if by_reset:
            reset(writer)
        else:
            writer.close()

    async def use(client: HttpRunnerClient, dispatch: Dispatch) -> None:
        with pytest.raises(BackendBrokenError) as raised:
            answer = await client.send(request(), dispatch)
            assert await answer.next_piece()
            received.set()
            while await answer.next_piece():
                pass
        errors.append(raised.value)

    run_against(serve, use)
    return errors[0]


@pytest.mark.parametrize("by_reset", [False, True])
def test_a_connection_that_ends_before_the_headers_is_reported_as_lost(by_reset: bool) -> None:
    assert isinstance(error_of(b"", by_reset=by_reset), ConnectionLostError)


@pytest.mark.parametrize("by_reset", [False, True])
@pytest.mark.parametrize("framing", ["Content-Length: 100", CHUNKED])
def test_a_connection_that_ends_within_an_answer_is_reported_as_lost(
    framing: str, by_reset: bool
) -> None:
    error = error_of(head("r-1", framing) + CHUNK, by_reset=by_reset)
    assert isinstance(error, ConnectionLostError)


def test_a_reset_during_an_answer_without_framing_is_reported_as_lost() -> None:
    assert isinstance(error_of(head("r-1") + b"half", by_reset=True), ConnectionLostError)


def protocol_of(answer: HttpRunnerAnswer) -> Any:
    connection = answer._response.connection
    assert connection is not None
    return connection.protocol


@pytest.mark.parametrize("is_waiting", [False, True])
@pytest.mark.parametrize("framing", ["Content-Length: 100", CHUNKED, "X-None: 1"])
def test_a_connection_that_times_out_in_the_kernel_is_not_reported_as_lost(
    framing: str, is_waiting: bool
) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(head("r-1", framing) + CHUNK)
        await reader.read()

    async def use(client: HttpRunnerClient, dispatch: Dispatch) -> None:
        answer = await client.send(request(), dispatch)
        assert await answer.next_piece()
        timed_out = TimeoutError(errno.ETIMEDOUT, "timed out")
        protocol = protocol_of(answer)
        if is_waiting:
            asyncio.get_running_loop().call_later(0.02, protocol.connection_lost, timed_out)
        else:
            protocol.connection_lost(timed_out)
        with pytest.raises(BackendBrokenError) as raised:
            await answer.next_piece()
        assert not isinstance(raised.value, ConnectionLostError)

    run_against(serve, use)


def test_malformed_bytes_are_not_reported_as_a_lost_connection() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(head("r-1", CHUNKED) + CHUNK + b"zz\r\nno chunk\r\n")
        await reader.read()

    async def use(client: HttpRunnerClient, dispatch: Dispatch) -> None:
        with pytest.raises(BackendBrokenError) as raised:
            await take(client, dispatch)
        assert not isinstance(raised.value, ConnectionLostError)

    run_against(serve, use)


def test_a_rejection_without_a_promise_is_not_reported_as_a_lost_connection() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(head("r-1", "Content-Length: 0", status="503 Busy"))

    async def use(client: HttpRunnerClient, dispatch: Dispatch) -> None:
        with pytest.raises(BackendBrokenError) as raised:
            await client.send(request(), dispatch)
        assert not isinstance(raised.value, ConnectionLostError)

    run_against(serve, use)
