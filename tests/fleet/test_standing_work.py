"""What a node's servers do while nobody asks them for anything."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from hillstack.http_server import make_server
from hillstack.platform.ingress import Readiness
from hillstack.platform.names import READY_PATH

LOOK_SECONDS = 0.35
QUESTION = f"GET {READY_PATH} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n".encode()


def test_a_server_without_a_date_header_sets_no_timers_while_it_rests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> tuple[int, bytes]:
        server = make_server(Readiness(lambda: True), "127.0.0.1:0", date_header=False)
        serving = asyncio.create_task(server._serve())
        while not server.started:  # noqa: ASYNC110 (uvicorn offers no event)
            await asyncio.sleep(0.01)
        made = _count_timers(monkeypatch)
        await asyncio.sleep(LOOK_SECONDS)
        own_sleep = 1
        timers = len(made) - own_sleep
        answer = await _ask(server.servers[0].sockets[0].getsockname()[1])
        server.should_exit = True
        server.force_exit = True
        await serving
        return timers, answer

    timers, answer = asyncio.run(run())
    assert timers == 0
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert b"date:" not in answer.lower()


def test_a_server_that_was_told_to_end_before_it_began_ends_at_once() -> None:
    async def run() -> bool:
        server = make_server(Readiness(lambda: True), "127.0.0.1:0", date_header=False)
        server.should_exit = True
        server.force_exit = True
        await server._serve()
        return server.should_exit

    assert asyncio.run(run())


async def _ask(port: int) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(QUESTION)
    answer = await reader.read()
    writer.close()
    return answer


def _count_timers(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return a list to which the time of each timer of the running loop is added from now on."""
    loop = asyncio.get_running_loop()
    made: list[float] = []
    call_at = loop.call_at

    def counted(when: float, *arguments: Any, **options: Any) -> Any:
        made.append(when)
        return call_at(when, *arguments, **options)

    monkeypatch.setattr(loop, "call_at", counted)
    return made
