"""Answers without a length whose runner, a process of its own, is killed before their end."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from hillstack.platform import names
from hillstack.platform.bodies import RouteBody
from tests.fleet.builders import APPLICATION, ENGINES, HOST, MODEL
from tests.fleet.deployment import Answer, Deployment, free_port
from tests.fleet.test_node_process import play
from tests.fleet.unframed_runner import BODY, EVENTS

REPOSITORY = Path(__file__).parents[2]
BORN = 1_000
# Fewer than the slots of a runner.
STREAMS = 6


def routes() -> list[RouteBody]:
    """Return a stream that may be resumed, one that may not, and two routes without streams."""
    stream: dict[str, Any] = {
        "timeout_ms": 9_000,
        "target_ms": 800,
        "service": ENGINES,
        "sticky": True,
    }
    plain: dict[str, Any] = {"timeout_ms": 5_000, "target_ms": 400, "service": APPLICATION}
    return [
        RouteBody("stream", HOST, "/stream/", "streaming", attempts=2, resumable=True, **stream),
        RouteBody("ask", HOST, "/ask/", "streaming", **stream),
        RouteBody("safe", HOST, "/safe/", "safe", attempts=2, **plain),
        RouteBody("once", HOST, "/once/", "unsafe", **plain),
    ]


@dataclass
class RunnerProcesses:
    """Runners that are processes of their own."""

    running: Deployment
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def launch(self, runner_id: str) -> int:
        """Start a process; return its port."""
        port = free_port()
        command = [sys.executable, "-m", "tests.fleet.unframed_runner", runner_id, str(port)]
        self.processes[runner_id] = subprocess.Popen([*command, str(BORN)], cwd=REPOSITORY)
        return port

    async def start(self, runner_id: str, service: str) -> None:
        port = self.launch(runner_id)
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                break
            await asyncio.sleep(0.02)
        runner = self.running.make_runner(runner_id, service)
        runner.born = BORN
        self.running.runners[runner_id] = runner
        self.running.addresses[runner_id] = f"127.0.0.1:{port}"
        self.running.list_runner(runner_id)

    def kill(self, runner_id: str) -> None:
        process = self.processes.pop(runner_id)
        process.send_signal(signal.SIGKILL)
        process.wait()


@contextlib.contextmanager
def runner_processes(running: Deployment) -> Iterator[RunnerProcesses]:
    started = RunnerProcesses(running)
    try:
        yield started
    finally:
        for runner_id in list(started.processes):
            started.kill(runner_id)


async def ask(running: Deployment, path: str, number: int) -> Answer | None:
    """Send a request; None if its answer breaks off."""
    parts = {names.PROMPT_PARTS: f"a{number}:800,b{number}:50", names.MODEL: MODEL}
    usage = {names.TOKEN_USAGE: "850,80"}
    try:
        return await running.call(running.nodes[0], path, f"r-{number}", **parts, **usage)
    except aiohttp.ClientError:
        return None


def event_ids(body: bytes) -> list[int]:
    lines = body.decode().splitlines()
    return [int(line.removeprefix("id: ")) for line in lines if line.startswith("id: ")]


# Guards against a stream that ends as complete before its last event: the system closes the
# connections of a killed runner in order, which is also how an answer without a length ends.
def test_a_stream_of_a_killed_runner_does_not_end_as_complete(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        running.configure(routes=routes())
        with runner_processes(running) as runners:
            await runners.start("i-1", ENGINES)
            await running.add_node("node-0", retry_slack=1_000.0)
            calls = [
                asyncio.create_task(ask(running, f"/ask/{number}", number))
                for number in range(STREAMS)
            ]
            await asyncio.sleep(0.5)
            runners.kill("i-1")
            answers = await asyncio.gather(*calls)
        complete = [a for a in answers if a is not None and a.status == 200]
        assert not complete, f"{len(complete)} of {STREAMS} end as complete"

    play(tmp_path, scenario)


def test_a_stream_that_may_be_resumed_goes_on_when_its_runner_is_killed(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        running.configure(routes=routes())
        with runner_processes(running) as runners:
            await runners.start("i-1", ENGINES)
            await runners.start("i-2", ENGINES)
            await running.add_node("node-0", retry_slack=1_000.0)
            calls = [
                asyncio.create_task(ask(running, f"/stream/{number}", number))
                for number in range(STREAMS)
            ]
            await asyncio.sleep(0.5)
            runners.kill("i-1")
            answers = await asyncio.gather(*calls)
        for answer in answers:
            assert answer is not None and answer.status == 200
            assert event_ids(answer.body) == list(range(1, EVENTS + 1))

    play(tmp_path, scenario)


@pytest.mark.parametrize("path", ["/safe", "/once"])
def test_a_body_of_a_killed_runner_does_not_pass_for_the_whole(tmp_path: Path, path: str) -> None:
    async def scenario(running: Deployment) -> None:
        running.configure(routes=routes())
        with runner_processes(running) as runners:
            await runners.start("i-1", APPLICATION)
            await running.add_node("node-0", retry_slack=1_000.0)
            calls = [
                asyncio.create_task(ask(running, f"{path}/{number}", number)) for number in range(4)
            ]
            await asyncio.sleep(0.4)
            runners.kill("i-1")
            answers = await asyncio.gather(*calls)
        assert [a.status for a in answers if a is not None] == [502] * 4

    play(tmp_path, scenario)


# Guards against a check that breaks sound answers off.
def test_unframed_answers_of_a_runner_that_still_runs_are_complete(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        running.configure(routes=routes())
        with runner_processes(running) as runners:
            await runners.start("i-1", ENGINES)
            await runners.start("i-2", APPLICATION)
            node = await running.add_node("node-0")
            for number in range(STREAMS):
                answer = await ask(running, f"/ask/quick-{number}", number)
                assert answer is not None and event_ids(answer.body) == list(range(1, EVENTS + 1))
                answer = await ask(running, f"/once/quick-{number}", 100 + number)
                assert answer is not None and answer.body == BODY
            ends = [
                line["complete"]
                for line in node.log()
                if line["message"] == "answer ended with its connection"
            ]
            assert ends == [True] * (2 * STREAMS)

    play(tmp_path, scenario)
