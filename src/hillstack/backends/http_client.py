"""HTTP to back ends, with an account of how far each attempt got.

An attempt counts as ``BYTES_MAY_HAVE_LEFT`` from the moment it has a connection: from then on the
request may be in the kernel's hands. Until then it provably did not reach the back end.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Mapping
from types import SimpleNamespace

import aiohttp

from hillstack.backends.status import fetch_load, fetch_status
from hillstack.core.attempt import Attempt, AttemptState
from hillstack.core.fleet import LoadReport
from hillstack.daemon.ports import BackendStatus
from hillstack.errors import BackendBrokenError, BackendError, BackendRefusedError

MAX_KEEP_ALIVE_SECONDS = 15.0
PAGE_TIMEOUT_SECONDS = 2.0
CHECKS_PER_SILENCE = 2
LOAD_TIMEOUT_SECONDS = 600.0
CONFLICT = 409


class BackendClient:
    """Sends requests to back ends.

    Engines are reached over kept connections. Applications get a new connection for each
    request: a kept one may be closed by the other side just as the request leaves, which would
    make the outcome of a non-repeatable request unknown for no reason.

    Args:
        connect_timeout: Limit for a TCP connection in seconds.
        silence_timeout: Longest wait for the next piece of an answer in seconds.
    """

    def __init__(self, connect_timeout: float, silence_timeout: float) -> None:
        self._connect_timeout = connect_timeout
        self._silence_timeout = silence_timeout
        self._kept = self._session(force_close=False)
        self._single_use = self._session(force_close=True)

    @property
    def session(self) -> aiohttp.ClientSession:
        """The session with kept connections, for status and load pages."""
        return self._kept

    async def close(self) -> None:
        """Close all connections."""
        await self._kept.close()
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
        """Send a request and yield its response once the headers are in.

        The connection is closed, not reused, unless the body was read to its end.

        Raises:
            BackendRefusedError: No connection; the request did not leave.
            BackendBrokenError: The connection broke or fell silent.
        """
        session = self._single_use if single_use else self._kept
        attempt.advance(AttemptState.CONNECTING)
        limits = aiohttp.ClientTimeout(total=timeout, sock_connect=self._connect_timeout)
        try:
            async with asyncio.timeout(self._connect_timeout + self._silence_timeout):
                response = await session.request(
                    method,
                    url,
                    data=body,
                    headers=headers,
                    timeout=limits,
                    allow_redirects=False,
                    trace_request_ctx=attempt,
                )
            async with response:
                guard = _SilenceGuard(response, self._silence_timeout)
                try:
                    yield response
                finally:
                    guard.stop()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise _translate(error, attempt, url) from error

    async def fetch_status(self, address: str) -> BackendStatus:
        """Return a back end's status.

        Raises:
            BackendError: It could not be read.
        """
        return await fetch_status(self._kept, address, PAGE_TIMEOUT_SECONDS)

    async def fetch_load(self, address: str) -> LoadReport:
        """Return an engine's load.

        Raises:
            BackendError: It could not be read.
        """
        return await fetch_load(self._kept, address, PAGE_TIMEOUT_SECONDS)

    async def order_load(self, address: str, fence: int, weights_version: int) -> bool:
        """Order an engine to load weights and wait until it has.

        Returns:
            False when the engine has taken an order with a higher fence.

        Raises:
            BackendError: The engine failed.
        """
        order = {"fence": fence, "weights_version": weights_version}
        limits = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_SECONDS)
        url = f"http://{address}/orders/load"
        try:
            async with self._kept.post(url, json=order, timeout=limits) as response:
                if response.status == CONFLICT:
                    return False
                response.raise_for_status()
                return True
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise BackendError(repr(error), step="order weights", peer=address) from error

    def _session(self, *, force_close: bool) -> aiohttp.ClientSession:
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(_on_connection)
        trace.on_connection_reuseconn.append(_on_connection)
        if force_close:
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
        else:
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=MAX_KEEP_ALIVE_SECONDS)
        return aiohttp.ClientSession(
            connector=connector,
            trace_configs=[trace],
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )


class _SilenceGuard:
    """Breaks a response off when no byte comes for a while.

    The HTTP library's own read limit sets a timer for each piece, which costs a tenth of the
    relay's time; this one looks now and then whether bytes came.

    Args:
        limit: Seconds of silence after which the response is broken off, plus up to half as many.
    """

    def __init__(self, response: aiohttp.ClientResponse, limit: float) -> None:
        self._response = response
        self._interval = limit / CHECKS_PER_SILENCE
        self._silent_checks = 0
        self._seen = response.content.total_bytes
        self._loop = asyncio.get_running_loop()
        self._handle = self._loop.call_later(self._interval, self._check)

    def stop(self) -> None:
        """Stop watching."""
        self._handle.cancel()

    def _check(self) -> None:
        total = self._response.content.total_bytes
        self._silent_checks = self._silent_checks + 1 if total == self._seen else 0
        self._seen = total
        if self._silent_checks >= CHECKS_PER_SILENCE and not self._is_held_back():
            self._response.content.set_exception(TimeoutError("the answer fell silent"))
            self._response.close()
            return
        self._handle = self._loop.call_later(self._interval, self._check)

    def _is_held_back(self) -> bool:
        """Return whether the silence is ours: a slow caller has not taken what came.

        The library stops reading from the connection while its buffer is full.
        """
        if self._response.content.is_eof():
            return True
        connection = self._response.connection
        transport = connection.transport if connection is not None else None
        return isinstance(transport, asyncio.Transport) and not transport.is_reading()


async def _on_connection(
    session: aiohttp.ClientSession, context: SimpleNamespace, params: object
) -> None:
    attempt = context.trace_request_ctx
    if isinstance(attempt, Attempt):
        attempt.advance(AttemptState.BYTES_MAY_HAVE_LEFT)


def _translate(
    error: Exception, attempt: Attempt, url: str
) -> BackendRefusedError | BackendBrokenError:
    if attempt.state < AttemptState.BYTES_MAY_HAVE_LEFT:
        return BackendRefusedError(repr(error), step="connect", peer=url)
    return BackendBrokenError(repr(error), step="read answer", peer=url)
