"""HTTP connections to runners and to the store: sessions, the pool, and the router's own calls.

Answers are checked by ``hillstack.platform.response_handler``. A connection to a silent machine,
which neither acknowledges nor sends bytes, is closed, and idle connections to the same address are
not reused. The cause (a lost firewall entry, a network cut) usually affects all open connections to
the address, while new connections work.
"""

from __future__ import annotations

import functools
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from hillstack.addresses import split_address
from hillstack.answer_bodies import BodyReader
from hillstack.answer_limits import MEBIBYTE
from hillstack.errors import BackendError
from hillstack.platform import names
from hillstack.platform.connection_log import ConnectionLog
from hillstack.platform.response_handler import (
    MAX_IDLE_SECONDS,
    UNACKNOWLEDGED_LIMIT_MS,
    ConnectionObserver,
    SilentAddresses,
    StrictResponse,
    StrictResponseHandler,
)

# TCP keepalive probes, for connections that wait for an answer. The operating system accepts only
# whole seconds, so 1 is the minimum. Because of TCP_USER_TIMEOUT it gives up at the first probe
# time after ``UNACKNOWLEDGED_LIMIT_MS`` without bytes, 2 s, whatever the count.
PROBE_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBE_COUNT = 2
# Opening a connection takes some milliseconds; the system retransmits a lost SYN after a second.
CONNECT_LIMIT_SECONDS = 0.5
# Longest answer to a call of the router's own: several times a report, or the cache events that a
# runner keeps.
MAX_CALL_ANSWER_BYTES = MEBIBYTE
CALL_ANSWERS = BodyReader()


class SilenceAwareConnector(aiohttp.TCPConnector):
    """A connection pool that does not reuse idle connections to an address found silent.

    Args:
        observer: Observes the paths of the connections; None if they are not observed.
        log: Records discarded answers and runs that were left.
        single_use: Whether each connection serves one request or call only.

    Attributes:
        idle_until: Per ``IP:PORT`` with an idle connection, the monotonic time until which the
            connection that was released last may be reused.
    """

    def __init__(
        self,
        observer: ConnectionObserver | None = None,
        log: ConnectionLog | None = None,
        *,
        single_use: bool = False,
    ) -> None:
        super().__init__(
            force_close=single_use,
            limit=0,
            limit_per_host=0,
            keepalive_timeout=None if single_use else MAX_IDLE_SECONDS,
            use_dns_cache=False,
            socket_factory=make_socket,
        )
        self.silent = SilentAddresses()
        self.idle_until: dict[str, float] = {}
        factory: Any = functools.partial(
            StrictResponseHandler, loop=self._loop, silent=self.silent, observer=observer, log=log
        )
        self._factory = factory

    async def connect(self, req: Any, traces: Any, timeout: aiohttp.ClientTimeout) -> Any:
        """Take or open a connection on which no answer to an earlier attempt can still arrive."""
        request_id = req.headers.get(names.REQUEST_ID)
        if request_id is not None:
            for idle in self._idle_connections(req.connection_key):
                if not idle.may_take(request_id):
                    self.close_if_idle(idle)
        connection = await super().connect(req, traces, timeout)
        if isinstance(connection.protocol, StrictResponseHandler):
            connection.protocol.expect_answer()
        return connection

    def _idle_connections(self, key: Any) -> list[StrictResponseHandler]:
        protocols = (protocol for protocol, _ in self._conns.get(key, ()))
        return [each for each in protocols if isinstance(each, StrictResponseHandler)]

    def close_if_idle(self, handler: ResponseHandler) -> None:
        """Close a connection unless a request uses it; such a connection closes after its answer.

        Whether an answer is due does not show this: a request may be about to be sent.
        """
        for key, idle in list(self._conns.items()):
            kept = [each for each in idle if each[0] is not handler]
            if len(kept) == len(idle):
                continue
            handler.close()
            idle.clear()
            idle.extend(kept)
            if not idle:
                del self._conns[key]

    async def _get(self, key: Any, traces: Any) -> Any:
        """Take an idle connection; drop the address from ``idle_until`` if no other one is left."""
        connection = await super()._get(key, traces)
        if key not in self._conns:
            self.idle_until.pop(f"{key.host}:{key.port}", None)
        return connection

    def _release(self, key: Any, protocol: Any, *, should_close: bool = False) -> None:
        """Return a connection to the pool, and store until when it may be reused."""
        super()._release(key, protocol, should_close=should_close)
        if key in self._conns and isinstance(protocol, StrictResponseHandler):
            self.idle_until[f"{key.host}:{key.port}"] = protocol.reusable_until


def make_socket(address: Any) -> socket.socket:
    """Return a TCP socket that detects a silent peer."""
    family, kind, protocol, _, _ = address
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    return made


def make_runner_session(connector: SilenceAwareConnector | None = None) -> aiohttp.ClientSession:
    """Return a session for requests to runners; it never retries a request.

    Args:
        connector: Opens the connections; directly by default.
    """
    session = aiohttp.ClientSession(
        connector=connector or SilenceAwareConnector(),
        response_class=StrictResponse,
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_LIMIT_SECONDS),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )
    session._retry_connection = False
    return session


def idle_connections(session: aiohttp.ClientSession) -> Mapping[str, float]:
    """Return until when an idle connection to each ``IP:PORT`` may be reused; updated live."""
    assert isinstance(session.connector, SilenceAwareConnector)
    return session.connector.idle_until


def make_store_session() -> aiohttp.ClientSession:
    """Return a session for calls to the store."""
    return aiohttp.ClientSession(
        connector=SilenceAwareConnector(),
        response_class=StrictResponse,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def record_silent_address(session: aiohttp.ClientSession, address: str) -> None:
    """Record that a call to ``IP:PORT`` timed out, or that the process there has ended.

    aiohttp closes the connection of the call itself; idle connections to the same address are not
    reused after this. If a machine fails without closing its connections, nothing else shows that
    they are unusable before a request is sent, and a request that may run only once then fails.
    """
    if isinstance(session.connector, SilenceAwareConnector):
        session.connector.silent.record(split_address(address))


@dataclass(frozen=True, slots=True)
class OutgoingCall:
    """A call that the router makes on its own account to a runner or a KV cache store.

    Attributes:
        limit_seconds: Time limit for receiving the complete answer.
        max_bytes: Largest body of the answer.
    """

    method: str
    address: str
    path: str
    limit_seconds: float
    headers: Mapping[str, str] = field(default_factory=dict)
    data: bytes | None = None
    max_bytes: int = MAX_CALL_ANSWER_BYTES


@dataclass(frozen=True, slots=True)
class Reply:
    """The complete answer to a call."""

    body: bytes
    status: int
    headers: Mapping[str, str]


async def send_call(session: aiohttp.ClientSession, call: OutgoingCall) -> Reply:
    """Send a call and return its answer.

    Raises:
        BackendError: No complete answer was received; the call may or may not have been executed.
    """
    timeout = aiohttp.ClientTimeout(total=call.limit_seconds, sock_connect=CONNECT_LIMIT_SECONDS)
    url = f"http://{call.address}{call.path}"
    try:
        async with session.request(
            call.method, url, data=call.data, headers=call.headers, timeout=timeout
        ) as response:
            body = await CALL_ANSWERS.read(response, call.max_bytes)
            return Reply(body, response.status, response.headers)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        if isinstance(error, TimeoutError):
            record_silent_address(session, call.address)
        text = str(error) or type(error).__name__
        step = f"{call.method} {call.path.partition('?')[0]}"
        raise BackendError(text, step=step, peer=call.address) from error
