"""Answers whose head, or whose trailers, are cut: no client takes one for an answer.

A process that stops may close its connections in order, so the end of a connection alone does not
show that an answer is cut.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import pytest

from hillstack.backends.http_client import BackendClient
from hillstack.core.attempt import Attempt
from hillstack.core.cache_watch import CacheHolder
from hillstack.core.store_revision import StoreRevision
from hillstack.daemon.key_value import Put
from hillstack.daemon.path_monitor import ProbeResult
from hillstack.daemon.weights_orders import WeightsOrder
from hillstack.errors import BackendBrokenError, BackendError, ConnectionLostError, PlatformError
from hillstack.etcd.key_value import KeyValueClient
from hillstack.etcd.machine_list import fetch_machines
from hillstack.platform import runners
from hillstack.platform.cache_feed import HttpCacheFeed
from hillstack.platform.connections import make_runner_session, make_store_session
from hillstack.platform.path_probe import PathProbe
from hillstack.platform.runners import HttpRunnerClient
from hillstack.platform.store import MetadataStore
from hillstack.serving.types import Dispatch
from tests.fleet.builders import make_request
from tests.fleet.test_connections import read_request, reset

# Gives the reader time to take the bytes, which a reset discards from its socket.
BEFORE_RESET_SECONDS = 0.05
TEST_LIMIT_SECONDS = 30.0
# Calls at a time, each over its own connection.
CALLS_AT_A_TIME = 8
# Limit of calls that otherwise have a shorter one, which a busy machine may exceed.
CALL_LIMIT_SECONDS = 5.0

Call = Callable[[str], Coroutine[Any, Any, object]]


class SilentPathError(Exception):
    """A probe found its path silent, which is what a cut answer has to look like."""


async def send(address: str) -> object:
    async with make_runner_session() as session:
        answer = await HttpRunnerClient(session).send(make_request(), Dispatch("i-1", address, 5.0))
        try:
            return await answer.whole_body()
        finally:
            answer.close()


async def report(address: str) -> object:
    async with make_runner_session() as session:
        return await HttpRunnerClient(session).report("i-1", address)


async def order_weights(address: str) -> object:
    async with make_runner_session() as session:
        order = WeightsOrder("i-1", address, "m", 2, "node-1", 1, 0)
        return await HttpRunnerClient(session).order_weights(order)


async def cache_listing(address: str) -> object:
    async with make_runner_session() as session:
        return await HttpCacheFeed(session).listing(CacheHolder("i-1", address, "z"))


async def cache_changes(address: str) -> object:
    async with make_runner_session() as session:
        return await HttpCacheFeed(session).changes(CacheHolder("i-1", address, "z"), 0, 0.5)


async def probe(address: str) -> object:
    result = await PathProbe("node-1").probe("i-1", address)
    if result is ProbeResult.SILENT:
        raise SilentPathError
    return result


@contextlib.asynccontextmanager
async def store(address: str) -> AsyncIterator[MetadataStore]:
    async with make_store_session() as session:
        yield MetadataStore(address, session, lambda: None)


async def store_get(address: str) -> object:
    async with store(address) as client:
        return await client.get("key")


async def store_list(address: str) -> object:
    async with store(address) as client:
        return await client._list("prefix")


async def store_changes(address: str) -> object:
    async with store(address) as client:
        return await client.changes(StoreRevision(0, 1), 0.5)


async def store_transact(address: str) -> object:
    async with store(address) as client:
        return await client.transact([], [Put("key", b"value")])


async def store_renewal(address: str) -> object:
    async with store(address) as client:
        return await client.keep_alive(1)


@contextlib.asynccontextmanager
async def backends() -> AsyncIterator[BackendClient]:
    client = BackendClient(1.0, 2.0)
    try:
        yield client
    finally:
        await client.close()


async def etcd_get(address: str) -> object:
    async with backends() as client:
        return await KeyValueClient([address], client.session).get("key")


async def etcd_list(address: str) -> object:
    async with backends() as client:
        return await KeyValueClient([address], client.session).list_prefix("prefix")


async def etcd_transact(address: str) -> object:
    async with backends() as client:
        puts = [Put("key", b"value")]
        return await KeyValueClient([address], client.session).transact([], puts)


async def etcd_renewal(address: str) -> object:
    async with backends() as client:
        return await KeyValueClient([address], client.session).keep_alive(1)


async def machine_list(address: str) -> object:
    async with backends() as client:
        return await fetch_machines(client.session, address)


async def backend_send(address: str) -> object:
    async with (
        backends() as client,
        client.send(Attempt("a-1", "b-1"), "POST", f"http://{address}/", b"", {}) as response,
    ):
        return await response.read()


async def backend_status(address: str) -> object:
    async with backends() as client:
        return await client.fetch_status(address)


async def backend_load(address: str) -> object:
    async with backends() as client:
        return await client.fetch_load(address)


async def backend_order(address: str) -> object:
    async with backends() as client:
        return await client.order_weights_load(address, 1, 2)


@dataclass(frozen=True)
class Case:
    """A client's call, an answer that it takes when it is whole, and its error when it is cut.

    Attributes:
        reads_body: Whether the call depends on the body; else the status alone is its result.
    """

    call: Call
    body: bytes
    error: type[Exception]
    status: str = "200 OK"
    reads_body: bool = True


LOAD = b"vllm:num_requests_running 1\nvllm:num_requests_waiting 0\nvllm:kv_cache_usage_perc 0.5\n"
ETCD = b'{"header": {"revision": "7"}, "succeeded": true}'

CASES = {
    "send": Case(send, b"body", ConnectionLostError),
    "report": Case(report, b"{}", BackendError),
    "order done": Case(order_weights, b"{}", BackendError),
    "order taken": Case(order_weights, b"{}", BackendError, "202 Accepted"),
    "order conflict": Case(order_weights, b"{}", BackendError, "409 Conflict"),
    "order refused": Case(order_weights, b"{}", BackendError, "500 Error"),
    "cache listing": Case(cache_listing, b'{"epoch": 1, "next_token": 1}', BackendError),
    "cache changes": Case(cache_changes, b'{"epoch": 1, "next_token": 1}', BackendError),
    "probe": Case(probe, b"{}", SilentPathError),
    "probe of a failure": Case(probe, b"{}", SilentPathError, "500 Error"),
    "store get": Case(store_get, b'{"key": "key", "rev": 1}', PlatformError),
    "store absent": Case(store_get, b"{}", PlatformError, "404 Not Found"),
    "store list": Case(store_list, b"{}", PlatformError),
    "store changes": Case(store_changes, b"{}", PlatformError),
    "store transaction": Case(store_transact, b'{"rev": 7}', PlatformError),
    "store condition": Case(store_transact, b"{}", PlatformError, "412 Failed"),
    "store renewal": Case(store_renewal, b"{}", PlatformError),
    "store lease ended": Case(store_renewal, b"{}", PlatformError, "404 Not Found"),
    "etcd get": Case(etcd_get, b"{}", PlatformError),
    "etcd list": Case(etcd_list, b"{}", PlatformError),
    "etcd transaction": Case(etcd_transact, ETCD, PlatformError),
    "etcd condition": Case(etcd_transact, b"{}", PlatformError),
    "etcd renewal": Case(etcd_renewal, b"{}", PlatformError),
    "machine list": Case(machine_list, b'{"machines": []}', PlatformError),
    "backend send": Case(backend_send, b"body", BackendBrokenError),
    "backend status": Case(backend_status, b'{"incarnation": "a"}', BackendError),
    "backend load": Case(backend_load, LOAD, BackendError),
    "backend order": Case(backend_order, b"{}", BackendError, reads_body=False),
    "backend fence": Case(backend_order, b"{}", BackendError, "409 Conflict", reads_body=False),
}

INTERIM = {
    "": b"",
    "behind 100 ": b"HTTP/1.1 100 Continue\r\n\r\n",
    "behind 103 ": b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n",
}
CHUNKED_FIELD = b"Transfer-Encoding: chunked\r\n"


def head_of(status: str, framing: bytes) -> bytes:
    """Return a head with its framing field between two other fields."""
    line = f"HTTP/1.1 {status}\r\n".encode()
    return line + b"Request-Id: r-1\r\n" + framing + b"Server-Seal: seal\r\n\r\n"


def cuts_of(head: bytes, framing: bytes) -> dict[str, bytes]:
    """Return the beginnings of a head, by the place where it is cut."""
    line, request_id = head.index(b"\r\n"), head.index(b"Request-Id")
    seal = head.index(b"Server-Seal")
    lengths = {
        "before the first byte": 0,
        "in the version": 4,
        "before the status": 9,
        "in the status": 11,
        "behind the status": 12,
        "behind the reason": line,
        "in the end of the status line": line + 1,
        "behind the status line": line + 2,
        "in a field's name": request_id + 4,
        "in a field's value": head.index(b"r-1") + 2,
        "behind the framing": seal,
        "in the last field": seal + 6,
        "3 bytes before the end": len(head) - 3,
        "2 bytes before the end": len(head) - 2,
        "1 byte before the end": len(head) - 1,
    }
    if framing:
        lengths["before the framing"] = seal - len(framing)
        lengths["in the framing's name"] = seal - len(framing) + 7
        lengths["in the framing's value"] = seal - 3
        lengths["in the framing's line end"] = seal - 1
    return {place: head[:length] for place, length in lengths.items()}


def cut_heads(case: Case) -> dict[str, bytes]:
    """Return cut heads of a case, with each framing and without one, some behind interim ones."""
    length = f"Content-Length: {len(case.body) + 100}\r\n".encode()
    framings = {"length": length, "no body": b"Content-Length: 0\r\n"}
    framings |= {"chunks": CHUNKED_FIELD, "no length": b""}
    heads: dict[str, bytes] = {"in 100": INTERIM["behind 100 "][:-1], "in 103": b"HTTP/1.1 103 Ea"}
    for name, framing in framings.items():
        for place, cut in cuts_of(head_of(case.status, framing), framing).items():
            for behind, interim in INTERIM.items():
                if name == "length" or not interim:
                    heads[f"{behind}{name}, {place}"] = interim + cut
    return heads


def cut_trailers(case: Case) -> dict[str, bytes]:
    """Return answers with a whole head and a whole chunked body whose end is cut."""
    last = b"%x\r\n" % len(case.body) + case.body + b"\r\n"
    whole = head_of(case.status, CHUNKED_FIELD) + last
    ends = [b"", b"0", b"0\r", b"0\r\n", b"0\r\n\r", b"0\r\nX-Sum", b"0\r\nX-Sum: 1\r\n"]
    return {repr(end): whole + end for end in [*ends, b"0\r\nX-Sum: 1\r\n\r"]}


def whole_answers(case: Case) -> dict[str, bytes]:
    """Return whole answers, with which the same calls succeed."""
    length = f"Content-Length: {len(case.body)}\r\n".encode()
    chunks = b"%x\r\n" % len(case.body) + case.body + b"\r\n0\r\nX-Sum: 1\r\n\r\n"
    with_length = head_of(case.status, length) + case.body
    wholes = {f"{behind}length": first + with_length for behind, first in INTERIM.items()}
    return wholes | {"chunks": head_of(case.status, CHUNKED_FIELD) + chunks}


async def outcome(call: Call, first: bytes, by_reset: bool) -> object:
    """Return a call's result or error when its connection ends after the given bytes."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(first)
        await writer.drain()
        if by_reset:
            await asyncio.sleep(BEFORE_RESET_SECONDS)
            reset(writer)
        else:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        return await call(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    except Exception as error:
        return error
    finally:
        server.close()


def outcomes(case: Case, answers: dict[str, bytes], by_reset: bool) -> dict[str, object]:
    """Return the outcome of a case's call for each of some answers."""

    slots = asyncio.Semaphore(CALLS_AT_A_TIME)

    async def one(first: bytes) -> object:
        async with slots:
            return await outcome(case.call, first, by_reset)

    async def run() -> dict[str, object]:
        async with asyncio.timeout(TEST_LIMIT_SECONDS):
            found = await asyncio.gather(*(one(first) for first in answers.values()))
            return dict(zip(answers, found, strict=True))

    return asyncio.run(run())


def believed(case: Case, answers: dict[str, bytes], by_reset: bool) -> dict[str, object]:
    """Return the outcomes that are not the expected error, or only a call's time limit."""
    found = outcomes(case, answers, by_reset)
    return {
        name: each
        for name, each in found.items()
        if not isinstance(each, case.error) or isinstance(each.__cause__, TimeoutError)
    }


@pytest.fixture(autouse=True)
def long_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let no call end by its time limit, which would hide what it makes of a cut answer."""
    monkeypatch.setattr(runners, "REPORT_LIMIT_SECONDS", CALL_LIMIT_SECONDS)
    monkeypatch.setattr(runners, "ORDER_LIMIT_SECONDS", CALL_LIMIT_SECONDS)


# Guards against clients that fail with a whole answer, too, so that the other tests show nothing.
@pytest.mark.parametrize("name", CASES)
def test_a_whole_answer_is_taken(name: str) -> None:
    found = outcomes(CASES[name], whole_answers(CASES[name]), by_reset=False)
    assert not [each for each in found.values() if isinstance(each, Exception)]


# Guards against an answer that looks whole and empty because its server stopped within its head.
@pytest.mark.parametrize("by_reset", [False, True])
@pytest.mark.parametrize("name", CASES)
def test_a_cut_head_is_no_answer(name: str, by_reset: bool) -> None:
    assert believed(CASES[name], cut_heads(CASES[name]), by_reset) == {}


# Guards against a body that looks whole although the end of its chunks is missing.
@pytest.mark.parametrize("by_reset", [False, True])
@pytest.mark.parametrize("name", [name for name, case in CASES.items() if case.reads_body])
def test_a_body_whose_trailers_are_cut_is_no_answer(name: str, by_reset: bool) -> None:
    assert believed(CASES[name], cut_trailers(CASES[name]), by_reset) == {}
