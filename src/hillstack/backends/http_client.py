"""HTTP client for back ends that records how far each attempt progressed.

An attempt is in the state ``BYTES_MAY_HAVE_LEFT`` as soon as it has a connection, because the
kernel may send the request from that moment on. Before that, the request has provably not reached
the back end.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Mapping
from types import SimpleNamespace
from typing import Any

import aiohttp

from hillstack.answer_bodies import is_unframed
from hillstack.backends.status import fetch_load, fetch_status
from hillstack.core.attempt import Attempt, AttemptState
from hillstack.core.fleet import LoadReport
from hillstack.daemon.ports import Answer, BackendStatus
from hillstack.errors import BackendBrokenError, BackendError, BackendRefusedError
from hillstack.reset_aware import ResetAwareHandler

MAX_KEEP_ALIVE_SECONDS = 15.0
POLL_TIMEOUT_SECONDS = 2.0
CHECKS_PER_READ_TIMEOUT = 2
LOAD_TIMEOUT_SECONDS = 600.0
CONFLICT = 409


class BackendClient:
    """Sends requests to back ends.

    Requests to engines use a pool of persistent connections. Each request to an application opens a
    new connection: the application may close a persistent connection at the moment the request is
    sent, and the outcome of a non-repeatable request would then be needlessly unknown.

    Args:
        connect_timeout: Time limit for opening a TCP connection, in seconds.
        read_timeout: Longest wait for the next chunk of a response, in seconds.
    """

    def __init__(self, connect_timeout: float, read_timeout: float) -> None:
        self._connect_timeout = connect_timeout
        self._read_timeout = read_timeout
        self._pooled = self._session(force_close=False)
        self._single_use = self._session(force_close=True)

    @property
    def session(self) -> aiohttp.ClientSession:
        """The session with persistent connections, which other clients of this node share."""
        return self._pooled

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._single_use.close()

    @contextlib.asynccontextmanager
    async def send(
        self,
        attempt: Attempt,
        method: str,
        url: str,
        body: bytes,
        headers: Mapping[str, str],
        *,
        single_use: bool = False,
        timeout: float | None = None,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request and yield its response once the headers have been received.

        The connection is reused only if the body was read to the end; otherwise it is closed.

        Raises:
            BackendRefusedError: No connection was opened, so the request was not sent.
            BackendBrokenError: The connection broke or timed out.
        """
        session = self._single_use if single_use else self._pooled
        attempt.advance(AttemptState.CONNECTING)
        timeouts = aiohttp.ClientTimeout(total=timeout, sock_connect=self._connect_timeout)
        try:
            async with asyncio.timeout(self._connect_timeout + self._read_timeout):
                response = await session.request(
                    method,
                    url,
                    data=body,
                    headers=headers,
                    timeout=timeouts,
                    allow_redirects=False,
                    trace_request_ctx=attempt,
                )
            async with response:
                guard = _ReadTimeoutGuard(response, self._read_timeout)
                try:
                    yield response
                finally:
                    guard.stop()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise _backend_error(error, attempt, url) from error

    async def confirm_end(self, answer: Answer, address: str, incarnation: str) -> None:
        """Check that the whole body of an answer was received; see ``Backends.confirm_end``."""
        if not isinstance(answer, aiohttp.ClientResponse) or not is_unframed(answer):
            return
        text = "the answer ended with its connection, and its process does not answer"
        try:
            status = await self.fetch_status(address)
        except BackendError as error:
            raise BackendBrokenError(text, step="read answer", peer=address) from error
        if status.incarnation != incarnation:
            raise BackendBrokenError(text, step="read answer", peer=address)

    async def fetch_status(self, address: str) -> BackendStatus:
        """Return the status of a back end.

        Raises:
            BackendError: The status could not be read.
        """
        return await fetch_status(self._pooled, address, POLL_TIMEOUT_SECONDS)

    async def fetch_load(self, address: str) -> LoadReport:
        """Return the load of an engine.

        Raises:
            BackendError: The load could not be read.
        """
        return await fetch_load(self._pooled, address, POLL_TIMEOUT_SECONDS)

    async def order_weights_load(self, address: str, fence: int, weights_version: int) -> bool:
        """Order an engine to load weights and wait until they are loaded.

        Returns:
            False if the engine has already accepted an order with a higher fence.

        Raises:
            BackendError: The engine answered with an error or could not be reached.
        """
        order = {"fence": fence, "weights_version": weights_version}
        timeouts = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_SECONDS)
        url = f"http://{address}/orders/load"
        try:
            async with self._pooled.post(url, json=order, timeout=timeouts) as response:
                if response.status == CONFLICT:
                    return False
                response.raise_for_status()
                return True
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise BackendError(repr(error), step="order weights", peer=address) from error

    def _session(self, *, force_close: bool) -> aiohttp.ClientSession:
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(_on_connection_ready)
        trace.on_connection_reuseconn.append(_on_connection_ready)
        if force_close:
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
        else:
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=MAX_KEEP_ALIVE_SECONDS)
        factory: Any = functools.partial(ResetAwareHandler, loop=connector._loop)
        connector._factory = factory
        session = aiohttp.ClientSession(
            connector=connector,
            trace_configs=[trace],
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        # aiohttp repeats idempotent HTTP methods, whatever the route allows. Polls over persistent
        # connections keep it, because the back end may have closed an idle one.
        session._retry_connection = not force_close
        return session


class _ReadTimeoutGuard:
    """Aborts a response when no bytes arrive within the read timeout.

    The read timeout of aiohttp sets a timer for each chunk, which takes a tenth of the time spent
    on relaying a response. This class instead checks periodically whether bytes have arrived.

    Args:
        response: Response to watch.
        timeout: Seconds without bytes after which the response is aborted; the abort can come up
            to half as many seconds later.
    """

    def __init__(self, response: aiohttp.ClientResponse, timeout: float) -> None:
        self._response = response
        self._interval = timeout / CHECKS_PER_READ_TIMEOUT
        self._idle_checks = 0
        self._last_total = response.content.total_bytes
        self._loop = asyncio.get_running_loop()
        self._handle = self._loop.call_later(self._interval, self._check)

    def stop(self) -> None:
        """Stop checking the response."""
        self._handle.cancel()

    def _check(self) -> None:
        total = self._response.content.total_bytes
        self._idle_checks = self._idle_checks + 1 if total == self._last_total else 0
        self._last_total = total
        if self._idle_checks >= CHECKS_PER_READ_TIMEOUT and not self._is_reading_paused():
            self._response.content.set_exception(TimeoutError("the answer fell silent"))
            self._response.close()
            return
        self._handle = self._loop.call_later(self._interval, self._check)

    def _is_reading_paused(self) -> bool:
        """Return whether reading is paused on this side because the caller reads too slowly.

        aiohttp stops reading from the connection while its receive buffer is full.
        """
        if self._response.content.is_eof():
            return True
        connection = self._response.connection
        transport = connection.transport if connection is not None else None
        return isinstance(transport, asyncio.Transport) and not transport.is_reading()


async def _on_connection_ready(
    session: aiohttp.ClientSession, context: SimpleNamespace, params: object
) -> None:
    attempt = context.trace_request_ctx
    if isinstance(attempt, Attempt):
        attempt.advance(AttemptState.BYTES_MAY_HAVE_LEFT)


def _backend_error(
    error: Exception, attempt: Attempt, url: str
) -> BackendRefusedError | BackendBrokenError:
    if attempt.state < AttemptState.BYTES_MAY_HAVE_LEFT:
        return BackendRefusedError(repr(error), step="connect", peer=url)
    return BackendBrokenError(repr(error), step="read answer", peer=url)
