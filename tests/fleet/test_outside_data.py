"""What other processes write: each decoder raises its own error, whatever the data are."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import ormsgpack
import pytest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hillstack.answer_bodies import read_json
from hillstack.backends.cache_events import CacheEventSubscriber
from hillstack.backends.status import fetch_load, fetch_status
from hillstack.config.settings import load_settings
from hillstack.core.cache_salt import parse_salt
from hillstack.core.cache_watch import CacheHolder
from hillstack.core.store_revision import StoreRevision
from hillstack.daemon.change_log import StoredItem
from hillstack.decoding import MAX_DIGITS, parse_whole_number
from hillstack.errors import BackendError, CodecError, HillstackError, PlatformError, SettingsError
from hillstack.messages.codec import Codec
from hillstack.messages.origin_messages import OriginReport
from hillstack.messages.packing import unpack
from hillstack.platform import names
from hillstack.platform.cache_feed import HttpCacheFeed
from hillstack.platform.connections import make_runner_session
from hillstack.platform.formats import parse_shape, parse_usage
from hillstack.platform.ingress import Ingress
from hillstack.platform.response_handler import DEFAULT_IDLE_SECONDS, idle_limit_seconds
from hillstack.platform.rollouts import rollout_summaries
from hillstack.platform.runners import HttpRunnerClient, _weights_version
from hillstack.platform.store import MetadataStore
from hillstack.serving.event_framing import EventFraming
from tests.fleet.builders import ENGINES, rev
from tests.fleet.deployment import Deployment
from tests.fleet.odd_entries import DEPTH, DIGITS, nested_list, nested_object
from tests.fleet.test_formats import received_request
from tests.fleet.test_node_process import play

MANY_DIGITS = "9" * DIGITS
BODIES = {
    "nested list": nested_list(),
    "nested object": nested_object(),
    "nested in an unread field": '{"extra":' + nested_list() + "}",
    "number of many digits": MANY_DIGITS,
    "version of 31 digits": '{"models":[{"name":"m","version":' + str(10**30) + "}]}",
    "no JSON": "{",
}
# MessagePack of lists that contain a list each.
NESTED_PACKED = b"\x91" * DEPTH

Call = Callable[[aiohttp.ClientSession, str], Awaitable[object]]


async def report(session: aiohttp.ClientSession, address: str) -> object:
    return await HttpRunnerClient(session).report("i-1", address)


async def cache_list(session: aiohttp.ClientSession, address: str) -> object:
    return await HttpCacheFeed(session).listing(CacheHolder("i-1", address, "zone-a"))


async def cache_changes(session: aiohttp.ClientSession, address: str) -> object:
    return await HttpCacheFeed(session).changes(CacheHolder("i-1", address, "zone-a"), 0, 0.0)


async def store_snapshot(session: aiohttp.ClientSession, address: str) -> object:
    return await MetadataStore(address, session).snapshot()


async def store_changes(session: aiohttp.ClientSession, address: str) -> object:
    return await MetadataStore(address, session).changes(StoreRevision(0, 1), 0.0)


async def store_item(session: aiohttp.ClientSession, address: str) -> object:
    return await MetadataStore(address, session).get("key")


async def engine_status(session: aiohttp.ClientSession, address: str) -> object:
    return await fetch_status(session, address, 1.0)


async def engine_load(session: aiohttp.ClientSession, address: str) -> object:
    return await fetch_load(session, address, 1.0)


async def untyped(session: aiohttp.ClientSession, address: str) -> object:
    async with session.get(f"http://{address}/") as response:
        return await read_json(response)


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (report, BackendError),
        (cache_list, BackendError),
        (cache_changes, BackendError),
        (store_snapshot, PlatformError),
        (store_changes, PlatformError),
        (store_item, PlatformError),
        (engine_status, BackendError),
        (engine_load, BackendError),
        (untyped, ValueError),
    ],
)
# Guards against an answer that ends the task that reads it with an error that nobody handles.
def test_an_answer_that_cannot_be_decoded_raises_the_error_of_its_call(
    tmp_path: Path, call: Call, error: type[Exception]
) -> None:
    async def scenario(running: Deployment) -> None:
        body = ""

        async def answer(request: Request) -> Response:
            return Response(body, media_type="application/json")

        app = Starlette(routes=[Route("/{path:path}", answer, methods=["GET", "POST"])])
        address = await running.serve(app)
        async with make_runner_session() as session:
            for name, body in BODIES.items():  # noqa: B007 (``answer`` reads it)
                if name.startswith("version") and call is not report:
                    continue
                with pytest.raises(error):
                    await call(session, address)

    play(tmp_path, scenario)


INFINITE_LOAD = """
vllm:num_requests_running +Inf
vllm:num_requests_waiting 0
vllm:kv_cache_usage_perc 0
"""


# Guards against an answer of another type that ends the request or the task that reads it.
@pytest.mark.parametrize(
    ("call", "body"),
    [
        (engine_status, "[]"),
        (engine_status, "5"),
        (engine_status, '{"incarnation": "p-1", "weights_version": null}'),
        (engine_load, INFINITE_LOAD),
        (engine_load, INFINITE_LOAD.replace("+Inf", "NaN")),
    ],
)
def test_an_answer_of_an_engine_with_other_types_is_an_error_of_the_back_end(
    tmp_path: Path, call: Call, body: str
) -> None:
    async def scenario(running: Deployment) -> None:
        async def answer(request: Request) -> Response:
            return Response(body, media_type="application/json")

        app = Starlette(routes=[Route("/{path:path}", answer)])
        address = await running.serve(app)
        async with make_runner_session() as session:
            with pytest.raises(BackendError):
                await call(session, address)

    play(tmp_path, scenario)


# Guards against a value without base64 that ends the task that reads one key: polls count it as an
# unreadable one.
def test_a_value_that_is_not_base64_is_an_unreadable_one(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        async def answer(request: Request) -> Response:
            return Response('{"key": "k", "rev": 5, "value": "a"}', media_type="application/json")

        app = Starlette(routes=[Route("/{path:path}", answer)])
        address = await running.serve(app)
        async with make_runner_session() as session:
            entry = await MetadataStore(address, session).get("k")
        assert entry is not None and entry.value == b""

    play(tmp_path, scenario)


@pytest.mark.parametrize("body", [nested_list(), nested_object(), MANY_DIGITS, ""])
def test_a_rollout_status_that_cannot_be_decoded_is_an_error_of_the_platform(body: str) -> None:
    item = StoredItem(names.ROLLOUT_STATUS_PREFIX + ENGINES, rev(1), body.encode())
    with pytest.raises(PlatformError):
        rollout_summaries([], [], [item])


def test_messages_of_peers_that_are_nested_too_deeply_are_dropped() -> None:
    nested_field = msgspec.msgpack.encode([1, "service", "v1"])[:-3] + NESTED_PACKED
    for payload in (NESTED_PACKED, nested_field):
        with pytest.raises(CodecError):
            unpack(zlib.compress(payload), OriginReport, "10.0.0.1")
    codec = Codec(b"k" * 32)
    with pytest.raises(CodecError):
        codec.decode(codec._digest(NESTED_PACKED) + NESTED_PACKED, "10.0.0.1")


def test_cache_events_that_are_nested_too_deeply_are_dropped() -> None:
    context: Any = None
    index: Any = None
    subscriber = CacheEventSubscriber("e-1", "1", "10.0.0.1:1", "10.0.0.1:2", index, context)
    for payload in (NESTED_PACKED, ormsgpack.packb([1, MANY_DIGITS])):
        subscriber._apply(payload)


@pytest.mark.parametrize("value", [nested_list(20_000), MANY_DIGITS])
def test_settings_that_cannot_be_decoded_are_an_error_of_the_settings(
    tmp_path: Path, value: str
) -> None:
    path = tmp_path / "router.toml"
    path.write_text(f"extra = {value}")
    with pytest.raises(SettingsError):
        load_settings(path)


@pytest.mark.parametrize(
    ("text", "number"),
    [
        ("0", 0),
        ("12", 12),
        ("9" * MAX_DIGITS, 10**MAX_DIGITS - 1),
        ("9" * (MAX_DIGITS + 1), None),
        (MANY_DIGITS, None),
        ("", None),
        ("-1", None),
        ("+1", None),
        ("1_0", None),
        ("²", None),
        ("٣", None),
    ],
)
def test_whole_numbers_are_decimal_digits_only(text: str, number: int | None) -> None:
    assert parse_whole_number(text) == number
    if text.isascii():
        assert parse_whole_number(text.encode()) == number


class AnsweredHeaders:
    """The headers of an answer."""

    def __init__(self, **headers: str) -> None:
        self.headers = {name.replace("_", "-"): value for name, value in headers.items()}


@pytest.mark.parametrize("text", [MANY_DIGITS, "-5", "²", "nan", ""])
def test_numbers_in_headers_that_cannot_be_read_count_as_missing(text: str) -> None:
    answer: Any = AnsweredHeaders(Weight_Versions=text)
    assert _weights_version(answer) == 0
    assert idle_limit_seconds(f"timeout={text}") == DEFAULT_IDLE_SECONDS
    assert parse_usage(f"{text},{text}") is None
    assert parse_shape(f"a1:{text}", "850,80") is None
    assert parse_salt(f"shared|m|{text}") is None
    if text:
        assert parse_shape("a1:800", f"850,{text}") is None
    shape = parse_shape("a1:800", "850,80", text)
    assert shape is not None and shape.output_tokens == 80
    request = received_request({names.REQUEST_ID: "r-1", names.DEADLINE: text})
    assert request.patience_seconds in (None, 0.0)
    assert (request.patience_seconds == 0.0) == (text == "-5")


# Guards against a caller's header that ends the task that reports loads to peers: the sum of the
# parts did not fit into a message.
@pytest.mark.parametrize("tokens", [10**MAX_DIGITS - 1, 10**12])
def test_a_prompt_with_more_tokens_than_any_has_counts_as_missing(tokens: int) -> None:
    parts = ",".join(f"p{number}:{tokens}" for number in range(40))
    assert parse_shape(parts, "850,80") is None
    assert parse_shape("a1:800", f"850,{tokens}") is None


def test_an_event_with_an_identifier_of_many_digits_has_none() -> None:
    framing = EventFraming(None)
    event = f"id: {MANY_DIGITS}\ndata: x\n\n".encode()
    assert framing.feed(event, "i-1") == event
    assert framing.last_event_id is None


# Guards against a caller that gets a stream from its start, since what it has cannot be read.
@pytest.mark.parametrize("text", [MANY_DIGITS, "-5", "abc", "1.5"])
def test_a_last_event_that_cannot_be_read_is_rejected(text: str) -> None:
    statuses: list[int] = []

    async def send(message: Any) -> None:
        if message["type"] == "http.response.start":
            statuses.append(message["status"])

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": b"", "more_body": False}

    serving: Any = None
    ingress = Ingress(serving, lambda: 0.0, lambda: 1_000, lambda: False, lambda: False)
    headers = {names.REQUEST_ID: "r-1", names.LAST_EVENT_ID: text}
    scope = {
        "type": "http",
        "method": "POST",
        "raw_path": b"/stream/x",
        "query_string": b"",
        "headers": [(name.lower().encode(), value.encode()) for name, value in headers.items()],
    }
    asyncio.run(ingress(scope, receive, send))
    assert statuses == [400]


def test_a_dropped_message_names_the_step() -> None:
    with pytest.raises(HillstackError) as raised:
        unpack(zlib.compress(NESTED_PACKED), OriginReport, "10.0.0.1")
    assert raised.value.step == "decode"
