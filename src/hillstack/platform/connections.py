"""HTTP connections to runners and to the store: what the client library does not do by itself.

An answer without a length that ends in a reset is broken, not complete. An answer with the
identifier of another request is passed over. A connection to a machine that has gone silent breaks,
and those that have rested beside it are not used again: whatever silenced one (a lost entry in a
firewall, a cut) has mostly silenced all that were open, while new ones work.
"""

from __future__ import annotations

import asyncio
import errno
import functools
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from hillstack import clock
from hillstack.addresses import split_address
from hillstack.errors import BackendError
from hillstack.platform import names

# Unacknowledged bytes for that long: the machine is gone or cut off; ordinary losses take less.
SILENCE_LIMIT_MS = 1_200
# Probes of connections that wait for an answer: the system takes whole seconds, and one is least.
PROBE_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBE_COUNT = 2
# How long a connection may rest where no answer says it: runners close it after some seconds, and
# one that is closed costs a new try.
DEFAULT_REST_SECONDS = 4.0
# Part of the time that a runner announces which is used. Its time began when it sent the answer,
# and a request that meets its close may have run, so it is given up if it must not run twice.
REST_SHARE = 0.75
# The longest rest, whatever is announced: connections beyond it hold descriptors for nothing.
MOST_REST_SECONDS = 30.0
# A connection takes some milliseconds; packets that open one are repeated after a second.
CONNECT_LIMIT_SECONDS = 0.5
# A connection that ends after it owed bytes for that long had gone silent: what the system's own
# time-out takes. The shorter limits of questions tell by themselves.
OWED_SILENCE_SECONDS = SILENCE_LIMIT_MS / 1000
# Addresses kept with their last silence: several times the runners of the largest deployment.
MAX_SILENT_ADDRESSES = 8_192

Endpoint = tuple[str, int]
NO_ENDPOINT: Endpoint = ("", 0)


class SilentAddresses:
    """When a connection to an address was last found silent.

    A connection that has not been heard since then is not used again, which costs a new one of
    some milliseconds; used again, each would cost a request its whole time-out.
    """

    def __init__(self) -> None:
        self._found_at: dict[Endpoint, float] = {}

    def note(self, endpoint: Endpoint) -> None:
        """Note a connection to an address that has gone silent."""
        if len(self._found_at) >= MAX_SILENT_ADDRESSES:
            self._found_at.clear()
        self._found_at[endpoint] = clock.seconds()

    def is_trusted(self, endpoint: Endpoint, heard_at: float) -> bool:
        """Return whether a connection that was last heard at a moment may be used again."""
        return heard_at > self._found_at.get(endpoint, float("-inf"))


class StrictResponseHandler(ResponseHandler):
    """One connection.

    Args:
        loop: The loop.
        silent: Where silence is noted.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, silent: SilentAddresses) -> None:
        super().__init__(loop)
        self._silent = silent
        self._endpoint = NO_ENDPOINT
        self._expected_id: str | None = None
        self._asked_at = 0.0
        self._heard_at = 0.0
        self._awaits_head = False
        self._rest_seconds = DEFAULT_REST_SECONDS

    def expect(self, request_id: str) -> None:
        """Take only the answer to this request from now on."""
        self._expected_id = request_id

    @property
    def rests_until(self) -> float:
        """When it has rested for so long that it is not used again, on the monotonic clock."""
        return self._heard_at + self._rest_seconds

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep where the connection goes."""
        super().connection_made(transport)
        host, port = (transport.get_extra_info("peername") or NO_ENDPOINT)[:2]
        self._endpoint = (host, port)
        self._heard_at = clock.seconds()

    def data_received(self, data: bytes) -> None:
        """Take bytes, and note that the connection lives."""
        self._heard_at = clock.seconds()
        super().data_received(data)

    async def read(self) -> Any:
        """Return the next answer, passing over answers to other requests."""
        self._asked_at = clock.seconds()
        self._awaits_head = True
        while True:
            message, payload = await super().read()
            answered = message.headers.get(names.REQUEST_ID)
            if answered is None or self._expected_id is None or answered == self._expected_id:
                self._awaits_head = False
                # Ahead of the body: with its last byte the connection begins to rest.
                self._rest_seconds = rest_seconds(message.headers.get(names.KEEP_ALIVE))
                return message, payload
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Break an answer that a reset has cut, and note a silence."""
        self._note_if_silent(exc)
        payload = self._payload
        if exc is None or payload is None or payload.is_eof():
            super().connection_lost(exc)
            return
        error = aiohttp.ClientPayloadError(f"connection reset: {exc!r}")
        error.__cause__ = exc
        payload.set_exception(error)
        super().connection_lost(exc)
        # The library has put its own error there, which does not tell a reset from a silence.
        payload.set_exception(error)

    def close(self) -> None:
        """Close, and note a silence before the next request looks for a connection."""
        self._note_if_silent(None)
        super().close()

    def is_connected(self) -> bool:
        """Return whether the connection can take a request.

        It is open, no bytes are left over, and none beside it was found silent since it was heard.
        """
        if not super().is_connected() or self._buffer or self._tail:
            return False
        if clock.seconds() >= self.rests_until:
            return False
        return self._silent.is_trusted(self._endpoint, self._heard_at)

    def _note_if_silent(self, exc: BaseException | None) -> None:
        payload = self._payload
        owes_bytes = self._awaits_head or (payload is not None and not payload.is_eof())
        quiet_since = max(self._asked_at, self._heard_at)
        owed_long = owes_bytes and clock.seconds() - quiet_since >= OWED_SILENCE_SECONDS
        if owed_long or (isinstance(exc, OSError) and exc.errno == errno.ETIMEDOUT):
            self._silent.note(self._endpoint)


class StrictResponse(aiohttp.ClientResponse):
    """An answer that must belong to its request."""

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        """Tell the connection which answer to wait for, then read its head."""
        expected = self.request_info.headers.get(names.REQUEST_ID)
        protocol = connection.protocol
        if expected is not None and isinstance(protocol, StrictResponseHandler):
            protocol.expect(expected)
        return await super().start(connection)


class WatchedConnector(aiohttp.TCPConnector):
    """Connections of which none is used again that rested beside a silent one.

    Attributes:
        resting: Until when a resting connection to each ``IP:PORT`` may be used again, as far as
            there is one.
    """

    def __init__(self) -> None:
        super().__init__(
            limit=0,
            limit_per_host=0,
            keepalive_timeout=MOST_REST_SECONDS,
            use_dns_cache=False,
            socket_factory=make_socket,
        )
        self.silent = SilentAddresses()
        self.resting: dict[str, float] = {}
        factory: Any = functools.partial(StrictResponseHandler, loop=self._loop, silent=self.silent)
        self._factory = factory

    async def _get(self, key: Any, traces: Any) -> Any:
        """Take a resting connection, and note whether another one is left."""
        connection = await super()._get(key, traces)
        if key not in self._conns:
            self.resting.pop(f"{key.host}:{key.port}", None)
        return connection

    def _release(self, key: Any, protocol: Any, *, should_close: bool = False) -> None:
        """Let a connection rest, and note until when it may be used again."""
        super()._release(key, protocol, should_close=should_close)
        if key in self._conns and isinstance(protocol, StrictResponseHandler):
            self.resting[f"{key.host}:{key.port}"] = protocol.rests_until


def rest_seconds(announced: str | None) -> float:
    """Return how long a connection may rest, from the parameters that an answer announces."""
    for parameter in (announced or "").split(","):
        name, _, value = parameter.partition("=")
        if name.strip().lower() == "timeout" and value.strip().isdecimal():
            return min(MOST_REST_SECONDS, REST_SHARE * int(value))
    return DEFAULT_REST_SECONDS


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
        connector=WatchedConnector(),
        response_class=StrictResponse,
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_LIMIT_SECONDS),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )
    session._retry_connection = False
    return session


def resting_connections(session: aiohttp.ClientSession) -> Mapping[str, float]:
    """Return until when a resting connection to each ``IP:PORT`` may be used, kept current."""
    assert isinstance(session.connector, WatchedConnector)
    return session.connector.resting


def make_store_session() -> aiohttp.ClientSession:
    """Return a session for calls to the store."""
    return aiohttp.ClientSession(connector=WatchedConnector(), cookie_jar=aiohttp.DummyCookieJar())


def note_silence(session: aiohttp.ClientSession, address: str) -> None:
    """Note that a call to ``IP:PORT`` had no answer in time, or that the process there has ended.

    The call's own connection is closed by the library; those that rest beside it are not used
    again. Where a machine went down without a word nothing else shows that they lead nowhere before
    a request is sent, and one that may run only once is lost with it.
    """
    if isinstance(session.connector, WatchedConnector):
        session.connector.silent.note(split_address(address))


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


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a question."""

    body: bytes
    status: int
    headers: Mapping[str, str]


async def ask(session: aiohttp.ClientSession, question: Question) -> Reply:
    """Return the answer to a question.

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
            return Reply(await response.read(), response.status, response.headers)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        if isinstance(error, TimeoutError):
            note_silence(session, question.address)
        text = str(error) or type(error).__name__
        step = f"{question.method} {question.path.partition('?')[0]}"
        raise BackendError(text, step=step, peer=question.address) from error
