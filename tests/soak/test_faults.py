"""The soak's fault injection: silenced connections and the seeded schedule."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from tests.processes.fault_proxy import FaultProxy
from tests.soak.soak import SoakPlan, draw_schedule

# Enough time for many answers over loopback, so that none in this time means silence.
SILENCE_SECONDS = 0.3


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while piece := await reader.read(100):
        writer.write(piece)
    writer.close()


async def ask(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
    writer.write(b"a")
    return await asyncio.wait_for(reader.read(1), SILENCE_SECONDS)


def test_open_connections_go_silent_without_a_close_and_new_ones_work() -> None:
    async def play(proxy: FaultProxy) -> None:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        address = await asyncio.to_thread(proxy.front, "echo", f"127.0.0.1:{port}")
        host, _, front = address.partition(":")
        old = await asyncio.open_connection(host, int(front))
        assert await ask(*old) == b"a"
        assert proxy.silence_open_connections("echo") == 1
        with pytest.raises(TimeoutError):
            await ask(*old)
        new = await asyncio.open_connection(host, int(front))
        assert await ask(*new) == b"a"
        for _, writer in (old, new):
            writer.close()
        server.close()

    proxy = FaultProxy()
    try:
        asyncio.run(play(proxy))
    finally:
        proxy.close()


def test_a_seed_draws_the_same_faults_again() -> None:
    plan = SoakPlan(20.0)
    assert draw_schedule(Random(3), plan) == draw_schedule(Random(3), plan)
    assert draw_schedule(Random(3), plan) != draw_schedule(Random(4), plan)
