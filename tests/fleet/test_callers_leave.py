"""Callers that disconnect: nodes start no more attempts of the request and cancel running ones."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from hillstack.core.routing_table import TenantEntry
from hillstack.core.tenant_limits import TenantLimit
from hillstack.daemon.loop_lag import LoopLag
from hillstack.http_server import make_server
from hillstack.platform import names
from hillstack.platform.ingress import Ingress
from hillstack.serving.start_gate import StartGate
from hillstack.serving.types import RefusalCause, ServingRequest
from tests.fleet.builders import (
    APPLICATION,
    ENGINES,
    HOST,
    KEY,
    make_request,
    make_route,
    make_table,
)
from tests.fleet.deployment import Deployment, deployment, until
from tests.fleet.fake_runners import Behaviour, FakeAnswer, FakeSink, answers, hangs, refuses
from tests.fleet.test_pipeline import (
    EVENTS,
    RESET,
    Bench,
    first_then,
    make_bench,
    make_stream_bench,
    stream_request,
)

LEFT_AT = 0.1
# A request must end within half a second after its caller has disconnected.
ENDED_BY = LEFT_AT + 0.5


def serve_until_caller_leaves(bench: Bench, request: ServingRequest) -> None:
    """Serve a request until its caller disconnects at ``LEFT_AT``; it must end by ``ENDED_BY``."""
    task = bench.run(bench.pipeline.serve(request, FakeSink()), until=LEFT_AT)
    assert not task.done()
    task.cancel()
    bench.scheduler.run_until(ENDED_BY)
    assert task.cancelled()
    assert bench.pipeline.active == 0


def attempts(bench: Bench) -> int:
    """Return the number of attempts that run at all runners."""
    return sum(runner.attempts.load().running for runner in bench.state.pool.all())


def test_a_request_whose_caller_leaves_at_the_start_gate_is_not_sent() -> None:
    bench = make_bench(i_1=answers(b"ok"))
    bench.state.start_gate = StartGate()
    serve_until_caller_leaves(bench, make_request())
    bench.state.start_gate.open()
    bench.scheduler.run_until(5.0)
    assert bench.client.dispatches == []


def test_a_request_whose_caller_leaves_while_tokens_are_requested_is_not_sent() -> None:
    bench = make_bench(i_1=answers(b"ok"))

    class SlowLimiter:
        async def take(self, tenant: str, limit: TenantLimit, cost: float, rank: int) -> float:
            await asyncio.sleep(1.0)
            return 0.0

        def give_back(self, tenant: str, cost: float) -> None:
            pass

    bench.pipeline._limiter = SlowLimiter()
    tenants = {KEY: TenantEntry("tenant-1", limit=TenantLimit(1.0, 1.0))}
    bench.state.table = make_table(make_route(), version=2, keys=tenants)
    serve_until_caller_leaves(bench, make_request())
    bench.scheduler.run_until(5.0)
    assert bench.client.dispatches == []


def test_a_caller_that_leaves_during_a_second_attempt_cancels_it() -> None:
    behave = first_then(refuses(RefusalCause.FULL), hangs())
    bench = make_bench(i_1=behave, i_22=behave)
    serve_until_caller_leaves(bench, make_request())
    bench.scheduler.run_until(5.0)
    assert len(bench.client.dispatches) == 2
    assert len(bench.client.cancelled) == 1
    assert attempts(bench) == 0


@pytest.mark.parametrize("then", [hangs(), answers(EVENTS[1], 100.0)])
def test_a_caller_that_leaves_while_its_stream_is_resumed_cancels_the_attempt(
    then: Behaviour,
) -> None:
    behave = first_then(answers(EVENTS[0], RESET), then)
    bench = make_stream_bench(i_1=behave, i_22=behave)
    serve_until_caller_leaves(bench, stream_request())
    bench.scheduler.run_until(5.0)
    assert len(bench.client.dispatches) == 2
    assert all(answer.closed for answer in bench.client.answers)
    assert len(bench.client.answers) + len(bench.client.cancelled) == 2
    assert attempts(bench) == 0


def test_an_answer_whose_head_arrives_as_the_caller_leaves_is_closed() -> None:
    bench = make_bench()
    serving: list[asyncio.Task[Any]] = []

    async def answer_as_the_caller_leaves(request: ServingRequest, dispatch: Any) -> FakeAnswer:
        await asyncio.sleep(LEFT_AT)
        serving[0].cancel()
        return FakeAnswer([100.0])

    bench = make_bench(i_1=answer_as_the_caller_leaves)
    work = bench.pipeline.serve(make_request(), FakeSink())
    serving.append(bench.scheduler.spawn(bench.scheduler.new_loop(), work))
    bench.scheduler.run_until(ENDED_BY)
    assert serving[0].cancelled()
    assert [answer.closed for answer in bench.client.answers] == [True]


class RecordingServing:
    """Records the requests that it is asked to serve, and answers them."""

    def __init__(self) -> None:
        self.served: list[str] = []

    async def serve(self, request: ServingRequest, sink: Any) -> None:
        self.served.append(request.request_id)
        await sink.start(200, [(b"content-length", b"2")])
        await sink.write(b"ok")
        await sink.finish()


def raw_request(request_id: str) -> bytes:
    head = f"POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\n{names.REQUEST_ID}: {request_id}\r\n"
    return f"{head}Content-Length: 4\r\n\r\nbody".encode()


def test_requests_that_were_closed_before_they_were_read_are_not_served() -> None:
    async def main() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        address = listener.getsockname()
        # The request and the close of its connection wait in the socket before the server reads.
        for number in range(20):
            with socket.create_connection(address) as caller:
                caller.sendall(raw_request(f"left-{number}"))
        staying = socket.create_connection(address)
        staying.sendall(raw_request("stays"))
        serving = RecordingServing()
        loop = asyncio.get_running_loop()
        ingress = Ingress(
            serving, loop.time, lambda: 1_000_000, lambda: False, LoopLag(loop.time).is_lagging
        )
        server = make_server(ingress, f"127.0.0.1:{address[1]}")
        running = asyncio.create_task(server._serve([listener]))
        await until(
            lambda: "stays" in serving.served, "the request of the connected caller is served"
        )
        await until(
            lambda: len(server.server_state.connections) <= 1, "the other connections are closed"
        )
        assert serving.served == ["stays"]
        staying.close()
        server.should_exit = True
        server.force_exit = True
        await running

    asyncio.run(main())


def test_an_event_loop_that_was_blocked_counts_as_behind_for_a_while() -> None:
    now = 0.0
    lag = LoopLag(lambda: now)
    assert lag.is_lagging()
    for _ in range(30):
        now += 0.1
        lag.note_tick()
    assert not lag.is_lagging()
    now += 0.6
    assert lag.is_lagging()
    lag.note_tick()
    now += 0.1
    lag.note_tick()
    assert lag.is_lagging()
    for _ in range(20):
        now += 0.1
        lag.note_tick()
    assert not lag.is_lagging()


def play(folder: Path, scenario: Callable[[Deployment], Awaitable[None]]) -> None:
    async def main() -> None:
        async with deployment(folder) as running:
            await scenario(running)

    asyncio.run(main())


def test_a_process_that_reloads_cancels_requests_whose_callers_leave(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        hung = await running.add_runner("i-1", APPLICATION)
        hung.faults.hang = True
        engine = await running.add_runner("i-2", ENGINES)
        engine.events = 10_000
        node = await running.add_node("node-1")
        calls = [
            asyncio.create_task(running.call(node, "/safe/x", "r-1")),
            asyncio.create_task(running.call(node, "/stream/x", "r-2")),
        ]
        await until(lambda: (hung.ran, engine.ran) == (["r-1"], ["r-2"]), "both requests run")
        running.send_signal(node, signal.SIGHUP)
        await until(lambda: "settings read again" in node.messages(), "reload")
        running.send_signal(node, signal.SIGHUP)
        for call in calls:
            call.cancel()
        await until(
            lambda: (hung.left, engine.left) == (["r-1"], ["r-2"]), "both requests are cancelled"
        )
        assert (hung.ran, engine.ran) == (["r-1"], ["r-2"])

    play(tmp_path, scenario)


def test_a_starting_process_serves_no_request_whose_caller_has_left(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        runner = await running.add_runner("i-1")
        node = running.launch("node-1")
        host, _, port = node.callers.partition(":")
        fields = f"{names.API_KEY}: {KEY}\r\n{names.DEADLINE}: 5000\r\nContent-Length".encode()
        raw = raw_request("left").replace(b"Content-Length", fields)
        while True:
            try:
                with socket.create_connection((host, int(port))) as caller:
                    caller.sendall(raw)
                break
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)
        await running.wait_ready(node)
        answer = await running.call(node, "/safe/x", "stays")
        assert answer.status == 200
        assert runner.ran == ["stays"]

    play(tmp_path, scenario)
