"""Answers of the key-value service with bodies of an unexpected shape.

Guards against background tasks that end with an error which is not the client's own.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import pytest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hillstack.daemon.key_value import Put
from hillstack.emulator.free_ports import free_ports
from hillstack.errors import PlatformError
from hillstack.etcd.key_value import KeyValueClient
from hillstack.http_server import make_server

LONG_NUMBER = "9" * 5_000
BODIES: list[Any] = [
    None,
    5,
    "text",
    [1],
    {"header": 5},
    {"header": {"revision": "x"}},
    {"header": {"revision": LONG_NUMBER}},
    {"header": {"revision": -1}},
    {"kvs": 5, "succeeded": 7, "ID": [], "result": 5},
    {"kvs": [5], "succeeded": True, "ID": "x", "result": {"TTL": "x"}},
    {"kvs": [{"key": 5}], "succeeded": True, "ID": LONG_NUMBER, "result": {"TTL": {}}},
    {"kvs": [{"key": "!"}], "succeeded": [], "ID": {}, "result": {"TTL": LONG_NUMBER}},
    {
        "kvs": [{"key": "YQ==", "mod_revision": "x"}],
        "succeeded": {},
        "ID": -1,
        "result": [],
        "events": 5,
    },
]
LINES: list[bytes] = [
    b"5",
    b"null",
    b"no JSON",
    b"[" * 200_000,
    b'{"result": 5}',
    b'{"result": {"events": 5}}',
    b'{"result": {"events": [5]}}',
    b'{"result": {"events": [{}]}}',
    b'{"result": {"events": [{"kv": {"value": "!"}}]}}',
]


def with_answer(
    body: bytes, status: int, scenario: Callable[[KeyValueClient], Awaitable[None]]
) -> None:
    async def answer(request: Request) -> Response:
        await request.body()
        return Response(body, status, media_type="application/json")

    async def play() -> None:
        address = f"127.0.0.1:{free_ports(1)[0]}"
        app = Starlette(routes=[Route("/{path:path}", answer, methods=["POST"])])
        server = make_server(app, address)
        serving = asyncio.create_task(server.serve())
        while not server.started:  # noqa: ASYNC110 (uvicorn offers no event)
            await asyncio.sleep(0.01)
        async with aiohttp.ClientSession() as session:
            await scenario(KeyValueClient([address], session))
        server.should_exit = True
        await serving

    asyncio.run(play())


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("body", BODIES, ids=[str(index) for index in range(len(BODIES))])
def test_an_answer_of_another_shape_is_an_error_of_the_service(body: Any, status: int) -> None:
    async def scenario(client: KeyValueClient) -> None:
        calls: list[Callable[[], Awaitable[Any]]] = [
            lambda: client.get("key"),
            lambda: client.list_prefix("key"),
            lambda: client.transact([], [Put("key", b"value")]),
            lambda: client.grant_lease(5.0),
            lambda: client.keep_alive(1),
        ]
        failed = 0
        for call in calls:
            try:
                await call()
            except PlatformError:
                failed += 1
        assert failed == len(calls) or (status == 200 and failed)

    with_answer(json.dumps(body).encode(), status, scenario)


@pytest.mark.parametrize("line", LINES, ids=[str(index) for index in range(len(LINES))])
def test_a_line_of_another_shape_breaks_the_watch(line: bytes) -> None:
    async def scenario(client: KeyValueClient) -> None:
        with pytest.raises(PlatformError):
            async for value in client.watch("key"):
                assert isinstance(value, bytes)

    with_answer(line + b"\n", 200, scenario)


def test_answers_of_the_right_shape_are_read() -> None:
    body = {
        "header": {"revision": "7"},
        "kvs": [{"key": "a2V5", "value": "dmFsdWU=", "mod_revision": "6"}],
        "succeeded": True,
        "ID": "12",
        "result": {"TTL": "5"},
    }

    async def scenario(client: KeyValueClient) -> None:
        entry = await client.get("key")
        assert entry is not None
        assert (entry.key, entry.value, entry.mod_revision.number) == ("key", b"value", 6)
        revision = await client.transact([], [Put("key", b"value")])
        assert revision is not None
        assert revision.number == 7
        assert await client.grant_lease(5.0) == 12
        assert await client.keep_alive(12)

    with_answer(json.dumps(body).encode(), 200, scenario)
