"""HTTP connections to runners: what the client library does not do by itself.

An answer without a length that ends in a reset is broken, not complete. An answer with the
identifier of another request is passed over. A connection to a machine that has gone silent breaks.
"""

from __future__ import annotations

import asyncio
import functools
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from hillstack.errors import BackendError
from hillstack.platform import names

# Unacknowledged bytes for that long: the machine is gone or cut off; ordinary losses take less.
SILENCE_LIMIT_MS = 1_200
# Probes of connections that wait for an answer: the system takes whole seconds, and one is least.
PROBE_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBE_COUNT = 2
# Runners close resting connections after some seconds; one that is closed costs a new try.
IDLE_SECONDS = 4.0
# A connection takes some milliseconds; packets that open one are repeated after a second.
CONNECT_LIMIT_SECONDS = 0.5


class StrictResponseHandler(ResponseHandler):
    """One connection to a runner."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._expected_id: str | None = None
        self._stray_data = False

    def expect(self, request_id: str) -> None:
        """Take only the answer to this request from now on."""
        self._expected_id = request_id

    async def read(self) -> Any:
        """Return the next answer, passing over answers to other requests."""
        while True:
            message, payload = await super().read()
            answered = message.headers.get(names.REQUEST_ID)
            if answered is None or self._expected_id is None or answered == self._expected_id:
                return message, payload
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Break an answer that a reset has cut."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"connection reset: {exc!r}"))
        super().connection_lost(exc)

    def is_connected(self) -> bool:
        """Return whether the connection can take a request: open, and no bytes are left over."""
        return super().is_connected() and not (self._buffer or self._tail)


class StrictResponse(aiohttp.ClientResponse):
    """An answer that must belong to its request."""

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        """Tell the connection which answer to wait for, then read its head."""
        expected = self.request_info.headers.get(names.REQUEST_ID)
        if expected is not None and isinstance(connection.protocol, StrictResponseHandler):
            connection.protocol.expect(expected)
        return await super().start(connection)


class RunnerConnector(aiohttp.TCPConnector):
    """Connections to runners."""

    def __init__(self) -> None:
        super().__init__(
            limit=0,
            limit_per_host=0,
            keepalive_timeout=IDLE_SECONDS,
            use_dns_cache=False,
            socket_factory=make_socket,
        )
        factory: Any = functools.partial(StrictResponseHandler, loop=self._loop)
        self._factory = factory


def make_socket(address: Any) -> socket.socket:
    """Return a TCP socket that notices a silent peer."""
    family, kind, protocol, _, _ = address
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_LIMIT_MS)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    return made


def make_runner_session() -> aiohttp.ClientSession:
    """Return a session for requests to runners; it repeats nothing by itself."""
    session = aiohttp.ClientSession(
        connector=RunnerConnector(),
        response_class=StrictResponse,
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_LIMIT_SECONDS),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )
    session._retry_connection = False
    return session


@dataclass(frozen=True, slots=True)
class Question:
    """A call of the router's own to a runner or a store of kept KV cache.

    Attributes:
        limit_seconds: Longest time until the whole answer is there.
    """

    method: str
    address: str
    path: str
    limit_seconds: float
    headers: Mapping[str, str] = field(default_factory=dict)
    data: bytes | None = None


async def ask(session: aiohttp.ClientSession, question: Question) -> tuple[bytes, int]:
    """Return the body and the status of the answer.

    Raises:
        BackendError: No answer came; the call may or may not have been taken.
    """
    timeout = aiohttp.ClientTimeout(
        total=question.limit_seconds, sock_connect=CONNECT_LIMIT_SECONDS
    )
    url = f"http://{question.address}{question.path}"
    try:
        async with session.request(
            question.method, url, data=question.data, headers=question.headers, timeout=timeout
        ) as response:
            return await response.read(), response.status
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        text = str(error) or type(error).__name__
        step = f"{question.method} {question.path.partition('?')[0]}"
        raise BackendError(text, step=step, peer=question.address) from error
