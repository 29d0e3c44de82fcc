"""Callers that take a stream up again after each break, also after all nodes were killed."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from random import Random

from hillstack.platform import names
from tests.fleet.builders import HOST, MODEL
from tests.fleet.deployment import NodeProcess
from tests.soak.callers import (
    CLIENT_TIMEOUT_SECONDS,
    EVENTS_PER_STREAM,
    REQUEST_DEADLINE_MS,
    SLOW_STREAM_PREFIX,
)
from tests.soak.connections import CallerConnection, ConnectionBrokenError
from tests.soak.observations import CallerRequest, ResumedStream
from tests.soak.promises import EVENT_ID
from tests.soak.system import SystemUnderTest

EVENT_END = b"\n\n"
# Time for all nodes to start again, after which a caller gives its stream up.
GIVE_UP_SECONDS = 8.0
RETRY_SECONDS = 0.25


class ResumingCallers:
    """Callers of slow streams, each of which it takes up again until the last event.

    Args:
        system: Receives the streams.
        rng: Draws nodes and keys.
    """

    def __init__(self, system: SystemUnderTest, rng: Random) -> None:
        self._system = system
        self._rng = rng
        self._count = 0

    @contextlib.asynccontextmanager
    async def calling(self, number: int) -> AsyncIterator[None]:
        """Let some callers send streams while the block runs, and wait for their last streams."""
        ended = asyncio.Event()
        callers = [asyncio.create_task(self._run(ended)) for _ in range(number)]
        try:
            yield
        finally:
            ended.set()
            await asyncio.gather(*callers)

    async def _run(self, ended: asyncio.Event) -> None:
        while not ended.is_set():
            await self._receive()

    async def _receive(self) -> None:
        """Receive one stream, over as many tries as it takes."""
        stream = ResumedStream()
        self._system.observations.resumed.append(stream)
        gives_up_at = time.monotonic() + GIVE_UP_SECONDS
        while last_event(stream.body) < EVENTS_PER_STREAM and time.monotonic() < gives_up_at:
            if not await self._try_once(stream):
                await asyncio.sleep(RETRY_SECONDS)

    async def _try_once(self, stream: ResumedStream) -> bool:
        """Try a stream at a random node; return whether the node answered with it."""
        node = self._rng.choice(self._system.callable_nodes())
        try:
            connection = await CallerConnection.open(node.callers)
        except ConnectionBrokenError:
            return False
        before = last_event(stream.body)
        request = self._next_request(node, before)
        try:
            received = await self._exchange(connection, request, stream)
        finally:
            connection.close()
        whole, end, _ = received.rpartition(EVENT_END)
        stream.body += whole + end
        stream.first_try = stream.first_try or (request.request_id if whole else "")
        stream.tries += before > 0
        stream.continued += before > 0 and bool(whole)
        return bool(whole)

    async def _exchange(
        self, connection: CallerConnection, request: CallerRequest, stream: ResumedStream
    ) -> bytes:
        """Send a try and record its outcome; return what arrived of the stream."""
        outcome: dict[str, object] = {}
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_SECONDS):
                answer = await connection.exchange(
                    f"/stream/{request.request_id}",
                    self._headers(request, stream),
                    request.request_id.encode(),
                )
            outcome = {
                "status": answer.status,
                "body": answer.body,
                "signature": answer.headers.get(names.SIGNATURE, ""),
                "retry_after": answer.headers.get(names.RETRY_AFTER),
            }
            return answer.body if answer.status == 200 else b""
        except TimeoutError:
            connection.close()
            outcome = {"body": connection.received, "closed_at": connection.closed_at}
            return connection.received
        except ConnectionBrokenError:
            outcome = {"body": connection.received}
            return connection.received
        finally:
            self._record(request, outcome)

    def _record(self, request: CallerRequest, outcome: dict[str, object]) -> None:
        ended = {"ended_at": time.monotonic()}
        fields = {name: getattr(request, name) for name in request.__slots__}
        self._system.observations.sent.append(CallerRequest(**(fields | outcome | ended)))

    def _headers(self, request: CallerRequest, stream: ResumedStream) -> dict[str, str]:
        headers = {
            "Host": HOST,
            names.REQUEST_ID: request.request_id,
            names.API_KEY: request.key,
            names.DEADLINE: str(REQUEST_DEADLINE_MS),
            names.MODEL: MODEL,
            names.TOKEN_USAGE: "850,80",
            names.PROMPT_PARTS: f"a{self._rng.randrange(4):x}:800,b{self._count:x}:50",
        }
        if request.after:
            headers |= {names.LAST_EVENT_ID: str(request.after), names.RESUMES: stream.first_try}
        return headers

    def _next_request(self, node: NodeProcess, after: int) -> CallerRequest:
        self._count += 1
        return CallerRequest(
            f"{SLOW_STREAM_PREFIX}-resumed-{id(self):x}-{self._count}",
            "stream",
            node.name,
            self._rng.choice(self._system.keys()),
            time.monotonic(),
            expected_events=EVENTS_PER_STREAM,
            after=after,
        )


def last_event(body: bytes) -> int:
    """Return the number of the last whole event of a stream; 0 if there is none."""
    numbers = EVENT_ID.findall(body)
    return int(numbers[-1]) if numbers else 0
