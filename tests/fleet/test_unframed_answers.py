"""Answers with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from hillstack.errors import ConnectionLostError
from hillstack.platform import names
from hillstack.platform.connections import SilenceAwareConnector, make_runner_session
from hillstack.platform.runners import HttpRunnerClient
from hillstack.serving.types import Dispatch
from tests.fleet.builders import APPLICATION, ENGINES
from tests.fleet.deployment import Deployment
from tests.fleet.test_connections import Serve, head, read_request, reset, take
from tests.fleet.test_node_process import play


class RecordingObserver:
    """Counts the connections that broke while an answer was due."""

    def __init__(self) -> None:
        self.broken = 0

    def handle_contact(self, address: str) -> None:
        return

    def handle_broken(self, address: str) -> None:
        self.broken += 1


def broken_connections(serve: Serve) -> int:
    """Return how many connections to a runner are observed to break during one request."""
    observer = RecordingObserver()

    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        session = make_runner_session(SilenceAwareConnector(observer))
        try:
            await take(HttpRunnerClient(session), Dispatch("i-1", f"127.0.0.1:{port}", 5.0))
        except ConnectionLostError:
            pass
        finally:
            await session.close()
            server.close()

    asyncio.run(main())
    return observer.broken


async def answer_and_close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await read_request(reader)
    writer.write(head("r-1") + b"whole")
    writer.close()


async def answer_and_reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await read_request(reader)
    writer.write(head("r-1") + b"half")
    await writer.drain()
    await asyncio.sleep(0.05)
    reset(writer)


async def answer_too_little(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await read_request(reader)
    writer.write(head("r-1", "Content-Length: 100") + b"half")
    writer.close()


async def close_before_the_head(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await read_request(reader)
    writer.close()


# Guards against a path to a runner that counts as broken although the runner ended its answer.
def test_an_answer_that_ends_with_its_connection_breaks_no_path() -> None:
    assert broken_connections(answer_and_close) == 0


@pytest.mark.parametrize("serve", [answer_and_reset, answer_too_little, close_before_the_head])
def test_an_answer_that_is_cut_off_breaks_the_path(serve: Serve) -> None:
    assert broken_connections(serve) == 1


def test_an_answer_that_ends_with_its_connection_leaves_none_to_reuse() -> None:
    connections = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        await answer_and_close(reader, writer)

    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        session = make_runner_session()
        client = HttpRunnerClient(session)
        for _ in range(3):
            assert await take(client, Dispatch("i-1", f"127.0.0.1:{port}", 5.0)) == b"whole"
        await session.close()
        server.close()

    asyncio.run(main())
    assert connections == 3


class UnframedRunner:
    """A runner that answers each request without a length, and ends it as it is told.

    Attributes:
        pieces: What it sends after the head.
        resets: Whether it resets the connection after the last piece instead of closing it.
        served: Number of requests.
    """

    def __init__(self, pieces: list[bytes], *, resets: bool = False, streams: bool = False) -> None:
        self.pieces = pieces
        self.resets = resets
        self.streams = streams
        self.served = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raw = (await read_request(reader)).decode()
        if raw.startswith(("GET", f"POST {names.ORDER_PATH}")):
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            writer.close()
            return
        self.served += 1
        fields = dict(line.split(": ", 1) for line in raw.split("\r\n")[1:] if ": " in line)
        request_id = {name.lower(): text for name, text in fields.items()}[names.REQUEST_ID.lower()]
        kind = ("Content-Type: text/event-stream",) if self.streams else ()
        writer.write(head(request_id, f"{names.VERSIONS}: 1", *kind))
        for piece in self.pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.05)
        if self.resets:
            reset(writer)
        else:
            writer.close()


async def start_unframed(running: Deployment, runner_id: str, runner: UnframedRunner) -> None:
    """List a runner that ends its answers with their connections."""
    service = ENGINES if runner.streams else APPLICATION
    server = await asyncio.start_server(runner.serve, running.host, 0)
    listed = running.make_runner(runner_id, service)
    running.runners[runner_id] = listed
    running.addresses[runner_id] = f"{running.host}:{server.sockets[0].getsockname()[1]}"
    running.list_runner(runner_id)


def test_a_caller_gets_the_whole_of_an_unframed_answer(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        runner = UnframedRunner([b"one ", b"two"])
        await start_unframed(running, "i-1", runner)
        node = await running.add_node("node-1")
        for number in range(3):
            answer = await running.call(node, f"/safe/{number}", f"r-{number}")
            assert (answer.status, answer.body) == (200, b"one two")
        assert runner.served == 3
        assert "runner ended" not in node.messages()

    play(tmp_path, scenario)


def test_an_unframed_answer_that_is_reset_does_not_look_complete(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        runner = UnframedRunner([b"one "], resets=True)
        await start_unframed(running, "i-1", runner)
        node = await running.add_node("node-1")
        answer = await running.call(node, "/once/x")
        assert answer.status == 502
        assert "runner ended" in node.messages()

    play(tmp_path, scenario)


def test_an_unframed_stream_that_ends_inside_an_event_is_continued_elsewhere(
    tmp_path: Path,
) -> None:
    async def scenario(running: Deployment) -> None:
        events = [b"id: 1\ndata: x\n\n", b"id: 2\nda"]
        runner = UnframedRunner(events, streams=True)
        await start_unframed(running, "i-1", runner)
        sound = await running.add_runner("i-2", ENGINES)
        node = await running.add_node("node-1", retry_slack=1_000.0)
        parts = [{names.PROMPT_PARTS: f"a{number}:800,b{number}:50"} for number in range(8)]
        answers = await asyncio.gather(
            *(
                running.call(node, f"/stream/{number}", f"r-{number}", **headers)
                for number, headers in enumerate(parts)
            )
        )
        bodies = [answer.body for answer in answers]
        ids = [f"id: {number}" for number in range(1, sound.events + 1)]
        for body in bodies:
            lines = [line for line in body.decode().splitlines() if line.startswith("id:")]
            assert lines == ids
        assert runner.served > 0

    play(tmp_path, scenario)
