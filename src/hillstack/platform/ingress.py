"""ASGI applications that receive callers' requests and answer readiness checks."""

from __future__ import annotations

import asyncio
import functools
import math
from collections.abc import Callable
from typing import Any, Protocol

from starlette.types import Message, Receive, Scope, Send

from hillstack.decoding import parse_whole_number
from hillstack.platform import names
from hillstack.platform.formats import parse_shape, parse_usage
from hillstack.serving.types import (
    HeaderList,
    RejectedError,
    ServingRequest,
    StreamCutError,
    Verdict,
)

STATUS_BY_VERDICT = {
    Verdict.UNAVAILABLE: 503,
    Verdict.OVERLOADED: 429,
    Verdict.OVER_LIMIT: 429,
    Verdict.NO_ROUTE: 404,
    Verdict.UNAUTHENTICATED: 401,
    Verdict.BAD_REQUEST: 400,
    Verdict.FAILED: 502,
    Verdict.TIMED_OUT: 504,
}
PAYLOAD_TOO_LARGE = 413
CLOSE_HEADER = (b"connection", b"close")
# Iterations of the event loop from a request that was read to its cancellation by a close that
# directly follows it: the read, the loss of the connection, the watcher task, and one in reserve.
CLOSE_READ_ITERATIONS = 4


class Serving(Protocol):
    """Serves requests; the pipeline behind the ingress."""

    async def serve(self, request: ServingRequest, sink: Any) -> None:
        """Serve a request, writing its answer to the sink."""
        ...


class InvalidHeaderError(ValueError):
    """A header field of a request is missing, or can't be read."""


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its request was read completely."""


class AsgiSink:
    """Sends the answer to one request as ASGI messages.

    Args:
        send: The ASGI ``send`` callable.
        should_close: Returns whether the connection should be closed after the answer.
    """

    def __init__(self, send: Send, should_close: Callable[[], bool]) -> None:
        self._send = send
        self._should_close = should_close
        self.started = False

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the status and the headers."""
        self.started = True
        headers = [(name.lower(), value) for name, value in headers]
        if self._should_close():
            headers.append(CLOSE_HEADER)
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self) -> None:
        """Mark the answer as complete."""
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})


class Ingress:
    """The ASGI application that receives callers' requests.

    Args:
        serving: Serves requests.
        clock: Returns monotonic time in seconds.
        max_body_bytes: Returns the size limit of a request body.
        should_close: Returns whether connections should be closed after an answer, so that callers
            move to another node.
        is_lagging: Returns whether the event loop reads requests late, in which case their callers
            may already have disconnected.
    """

    def __init__(
        self,
        serving: Serving,
        clock: Callable[[], float],
        max_body_bytes: Callable[[], int],
        should_close: Callable[[], bool],
        is_lagging: Callable[[], bool],
    ) -> None:
        self._is_lagging = is_lagging
        self._serving = serving
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._should_close = should_close

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        arrived_at = self._clock()
        sink = AsgiSink(send, self._should_close)
        try:
            body = await self._read_body(receive)
        except CallerDisconnectedError:
            return
        if body is None:
            await self._answer(sink, PAYLOAD_TOO_LARGE, "body too large", scope, None)
            return
        try:
            request = _to_serving_request(scope, body, arrived_at)
        except InvalidHeaderError as error:
            await self._answer(sink, 400, str(error), scope, None)
            return
        await self._serve_while_connected(request, receive, sink, scope)

    async def _serve_while_connected(
        self, request: ServingRequest, receive: Receive, sink: AsgiSink, scope: Scope
    ) -> None:
        """Serve a request, and cancel it as soon as the caller disconnects."""
        serving_task = asyncio.current_task()
        assert serving_task is not None
        watcher = asyncio.create_task(_cancel_on_disconnect(receive, serving_task))
        try:
            if self._is_lagging():
                await _yield_until_close_is_read()
            await self._serving.serve(request, sink)
        except RejectedError as error:
            if sink.started:
                return
            status = STATUS_BY_VERDICT[error.verdict]
            await self._answer(sink, status, error.message, scope, error.retry_after)
        except StreamCutError:
            return
        except asyncio.CancelledError:
            if not watcher.done():
                raise
        finally:
            watcher.cancel()

    async def _read_body(self, receive: Receive) -> bytes | None:
        pieces: list[bytes] = []
        size = 0
        limit = self._max_body_bytes()
        while True:
            message: Message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnectedError
            piece = message.get("body", b"")
            size += len(piece)
            if size > limit:
                return None
            pieces.append(piece)
            if not message.get("more_body", False):
                return b"".join(pieces)

    async def _answer(
        self, sink: AsgiSink, status: int, text: str, scope: Scope, retry_after: float | None
    ) -> None:
        body = text.encode()
        headers = [
            (b"content-type", b"text/plain"),
            (b"content-length", str(len(body)).encode()),
        ]
        request_id = _find_header(scope, _header_name(names.REQUEST_ID))
        if request_id is not None:
            headers.append((_header_name(names.REQUEST_ID), request_id))
        if retry_after is not None:
            headers.append((_header_name(names.RETRY_AFTER), f"{retry_after:.2f}".encode()))
        await sink.start(status, headers)
        await sink.write(body)
        await sink.finish()


class Readiness:
    """The ASGI application that answers whether new connections should be sent to this node.

    Args:
        is_ready: Returns whether the node accepts new connections.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one readiness check."""
        if scope["type"] != "http":
            return
        status = 404
        if scope["path"] == names.READY_PATH:
            status = 200 if self._is_ready() else 503
        headers = [(b"content-length", b"0")]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": b""})


async def _yield_until_close_is_read() -> None:
    """Let the event loop read a connection close that directly follows the request.

    The watcher task then cancels the request. Otherwise a request whose caller has disconnected
    would reach a runner before the close is read. The delay costs iterations of the event loop, so
    it is used only while the loop reads late.
    """
    for _ in range(CLOSE_READ_ITERATIONS):
        await asyncio.sleep(0)


async def _cancel_on_disconnect(receive: Receive, serving_task: asyncio.Task[Any]) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            serving_task.cancel()
            return


def _to_serving_request(scope: Scope, body: bytes, arrived_at: float) -> ServingRequest:
    """Convert an ASGI request to a ``ServingRequest``.

    Raises:
        InvalidHeaderError: It has no identifier, or a field on which the answer depends can't be
            read.
    """
    headers: dict[bytes, bytes] = dict(scope["headers"])
    request_id = headers.get(_header_name(names.REQUEST_ID))
    if request_id is None:
        raise InvalidHeaderError("no request identifier")
    target = scope["raw_path"].decode("latin-1")
    usage = _header_text(headers, _header_name(names.TOKEN_USAGE))
    query: bytes = scope["query_string"]
    if query:
        target += "?" + query.decode("latin-1")
    return ServingRequest(
        request_id=request_id.decode("latin-1"),
        method=scope["method"],
        host=_header_text(headers, b"host").partition(":")[0].lower(),
        path=scope["raw_path"].decode("latin-1"),
        target=target,
        headers=_forwarded_headers(scope["headers"]),
        body=body,
        arrived_at=arrived_at,
        patience_seconds=_parse_milliseconds(headers.get(_header_name(names.DEADLINE))),
        key=_header_text(headers, _header_name(names.API_KEY)) or None,
        model=_header_text(headers, _header_name(names.MODEL)),
        shape=parse_shape(
            _header_text(headers, _header_name(names.PROMPT_PARTS)),
            usage,
            _header_text(headers, _header_name(names.LENGTH_HINT)),
        ),
        tokens=parse_usage(usage),
        last_event_id=_parse_last_event_id(headers.get(_header_name(names.LAST_EVENT_ID))),
        resumes=_header_text(headers, _header_name(names.RESUMES)),
    )


@functools.cache
def _header_name(name: str) -> bytes:
    """Return a header's name as ASGI servers pass it: lower case, in bytes."""
    return name.lower().encode()


def _forwarded_headers(headers: HeaderList) -> HeaderList:
    return [
        (name, value)
        for name, value in headers
        if name not in names.HOP_BY_HOP and name not in names.SET_BY_ROUTER
    ]


def _header_text(headers: dict[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b"").decode("latin-1")


def _find_header(scope: Scope, name: bytes) -> bytes | None:
    return next((value for key, value in scope["headers"] if key == name), None)


def _parse_milliseconds(text: bytes | None) -> float | None:
    """Return the seconds in a text that states milliseconds; None if it can't be parsed."""
    if text is None:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        return None
    return max(0.0, milliseconds / 1000) if math.isfinite(milliseconds) else None


def _parse_last_event_id(text: bytes | None) -> int | None:
    """Return the identifier of the last event that a caller has; None if it has none.

    Raises:
        InvalidHeaderError: It is no whole number. The stream can't go on after an unknown event,
            and from the start the caller would get events twice.
    """
    if not text:
        return None
    number = parse_whole_number(text.strip())
    if number is None:
        raise InvalidHeaderError(f"{names.LAST_EVENT_ID} is no whole number")
    return number
