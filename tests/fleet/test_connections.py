"""Requests to runners over sockets: mismatched, truncated, unframed and refused answers."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from hillstack.errors import BackendBrokenError
from hillstack.platform import names
from hillstack.platform.connections import make_runner_session
from hillstack.platform.runners import HttpRunnerAnswer, HttpRunnerClient
from hillstack.serving.types import Dispatch, RefusalCause, RunnerRefusedError, ServingRequest
from tests.fleet.builders import make_request

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Use = Callable[[HttpRunnerClient, Dispatch], Awaitable[None]]


def head(request_id: str, *lines: str, status: str = "200 OK") -> bytes:
    fields = [f"{names.REQUEST_ID}: {request_id}", f"{names.SIGNATURE}: s", *lines]
    return (
        f"HTTP/1.1 {status}\r\n".encode()
        + "".join(f"{line}\r\n" for line in fields).encode()
        + b"\r\n"
    )


def complete_answer(request_id: str, body: bytes = b"body") -> bytes:
    return head(request_id, f"Content-Length: {len(body)}") + body


async def read_request(reader: asyncio.StreamReader) -> bytes:
    raw = await reader.readuntil(b"\r\n\r\n")
    for line in raw.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            raw += await reader.readexactly(int(line.split(b":")[1]))
    return raw


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset: with a linger time of 0, closing discards unsent data."""
    raw: socket.socket = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def run_against(serve: Serve, use: Use) -> None:
    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        session = make_runner_session()
        dispatch = Dispatch("i-1", f"127.0.0.1:{port}", 5.0)
        try:
            await use(HttpRunnerClient(session), dispatch)
        finally:
            await session.close()
            server.close()

    asyncio.run(main())


def request(request_id: str = "r-1") -> ServingRequest:
    return make_request("/app/x?q=%20a&b", request_id=request_id)


async def take(client: HttpRunnerClient, dispatch: Dispatch, request_id: str = "r-1") -> bytes:
    answer = await client.send(request(request_id), dispatch)
    try:
        return await answer.whole_body()
    finally:
        answer.close()


def test_runner_receives_method_target_body_and_headers() -> None:
    seen: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        seen.append(await read_request(reader))
        writer.write(complete_answer("r-1"))

    async def use(client: HttpRunnerClient, dispatch: Dispatch) -> None:
        full = replace(dispatch, tenant="t", salt="s", weights_version=3, last_event_id=7)
        sent = request()
        sent.headers = [(b"x-own", b"1")]
        answer = await client.send(sent, full)
        assert await answer.whole_body() == b"body"
        answer.close()

    run_against(serve, use)
    raw = seen[0].decode()
    assert raw.startswith("POST /app/x?q=%20a&b HTTP/1.1\r\n") and raw.endswith("\r\n\r\n{}")
    lowered = raw.lower()
    for line in (
        f"{names.EXPECT_INSTANCE}: i-1",
        f"{names.TENANT}: t",
        f"{names.CACHE_SALT}: s",
        f"{names.EXPECT_VERSION}: 3",
        f"{names.LAST_EVENT_ID}: 7",
        f"{names.DEADLINE}: 5000",
        f"{names.REQUEST_ID}: r-1",
        "x-own: 1",
    ):
        assert f"\r\n{line.lower()}\r\n" in lowered
    assert "accept-encoding" not in lowered and "user-agent" not in lowered


def test_an_answer_to_another_request_is_passed_over() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(complete_answer("r-0", b"late") + complete_answer("r-1", b"right"))

    async def use(client: HttpRunnerClient, dispatch: Dispatch) -> None:
        assert await take(client, dispatch) == b"right"

    run_against(serve, use)


def test_connection_with_bytes_after_an_answer_is_not_reused() -> None:
    connections: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections.append(1)
        await read_request(reader)
        request_id = f"r-{len(connections)}"
        writer.write(complete_answer(request_id, b"first") + complete_answer("r-9", b"extra"))
        await reader.read()

    async def use(client: HttpRunnerClient, dispatch: Dispatch) -> None:
        assert await take(client, dispatch, "r-1") == b"first"
        assert await take(client, dispatch, "r-2") == b"first"

    run_against(serve, use)
    assert len(connections) == 2


def test_idle_connection_that_receives_bytes_is_not_reused() -> None:
    connections: list[int] = []
    extra_sent = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections.append(1)
        await read_request(reader)
        writer.write(complete_answer(f"r-{len(connections)}"))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(complete_answer("r-1", b"again"))
        await writer.drain()
        extra_sent.set()
        await reader.read()

    async def use(client: HttpRunnerClient, dispatch: Dispatch) -> None:
        await take(client, dispatch, "r-1")
        await extra_sent.wait()
        await asyncio.sleep(0.05)
        assert await take(client, dispatch, "r-2") == b"body"

    run_against(serve, use)
    assert len(connections) == 2


def test_unframed_answer_is_complete_when_its_connection_is_closed() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(head("r-1") + b"no length")
        writer.close()

    async def use(client: HttpRunnerClient, dispatch: Dispatch) -> None:
        assert await take(client, dispatch) == b"no length"

    run_against(serve, use)


def test_unframed_answer_that_ends_in_a_reset_is_broken() -> None:
    release = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(head("r-1") + b"half of i")
        await writer.drain()
        await release.wait()
        reset(writer)

    async def use(client: HttpRunnerClient, dispatch: Dispatch) -> None:
        answer = await client.send(request(), dispatch)
        assert await answer.next_piece() == b"half of i"
        release.set()
        with pytest.raises(BackendBrokenError):
            while await answer.next_piece():
                pass

    run_against(serve, use)


@pytest.mark.parametrize("framing", ["Content-Length: 100", "Transfer-Encoding: chunked"])
def test_framed_answer_that_ends_early_is_broken(framing: str) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(head("r-1", framing) + b"5\r\nhello\r\n")
        writer.close()

    async def use(client: HttpRunnerClient, dispatch: Dispatch) -> None:
        with pytest.raises(BackendBrokenError):
            await take(client, dispatch)

    run_against(serve, use)


@pytest.mark.parametrize(
    ("answer", "cause", "weights"),
    [
        (
            head("r-1", f"{names.NOT_EXECUTED}: 1", "Content-Length: 0", status="503 Busy"),
            RefusalCause.FULL,
            0,
        ),
        (
            head("r-1", f"{names.INSTANCE}: i-9", "Content-Length: 0", status="421 Other"),
            RefusalCause.OTHER_INSTANCE,
            0,
        ),
        (
            head(
                "r-1",
                f"{names.INSTANCE}: i-1",
                f"{names.VERSIONS}: 4",
                "Content-Length: 0",
                status="421 Other",
            ),
            RefusalCause.OTHER_WEIGHTS,
            4,
        ),
    ],
)
def test_refusals_that_promise(answer: bytes, cause: RefusalCause, weights: int) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(answer)

    async def use(client: HttpRunnerClient, dispatch: Dispatch) -> None:
        with pytest.raises(RunnerRefusedError) as raised:
            await client.send(request(), dispatch)
        assert (raised.value.cause, raised.value.weights_version) == (cause, weights)

    run_against(serve, use)


def test_a_refusal_without_the_promise_may_have_run() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(head("r-1", "Content-Length: 0", status="503 Busy"))

    async def use(client: HttpRunnerClient, dispatch: Dispatch) -> None:
        with pytest.raises(BackendBrokenError):
            await client.send(request(), dispatch)

    run_against(serve, use)


def test_request_to_an_unreachable_runner_was_not_executed() -> None:
    async def main() -> None:
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        session = make_runner_session()
        dispatch = Dispatch("i-1", f"127.0.0.1:{port}", 5.0)
        with pytest.raises(RunnerRefusedError) as raised:
            await HttpRunnerClient(session).send(request(), dispatch)
        assert raised.value.cause is RefusalCause.UNREACHABLE
        await session.close()

    asyncio.run(main())


def test_a_request_is_not_repeated_by_the_library() -> None:
    requests: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        requests.append(await read_request(reader))
        if len(requests) == 1:
            writer.write(complete_answer("r-1"))
            requests.append(await read_request(reader))
        writer.transport.abort()

    async def use(client: HttpRunnerClient, dispatch: Dispatch) -> None:
        await take(client, dispatch, "r-1")
        get = request("r-2")
        get.method, get.body = "GET", b""
        with pytest.raises(BackendBrokenError):
            await client.send(get, dispatch)

    run_against(serve, use)
    assert len(requests) == 2


def test_abandoning_an_answer_closes_its_connection() -> None:
    closed = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(head("r-1", "Transfer-Encoding: chunked") + b"5\r\nhello\r\n")
        await writer.drain()
        await reader.read()
        closed.set()

    async def use(client: HttpRunnerClient, dispatch: Dispatch) -> None:
        answer: HttpRunnerAnswer = await client.send(request(), dispatch)
        assert await answer.next_piece() == b"hello"
        answer.close()
        await asyncio.wait_for(closed.wait(), 10)

    run_against(serve, use)
