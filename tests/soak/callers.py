"""Callers of a soak: each sends one request after another and notes what came of it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace
from random import Random

from hillstack.platform import names
from tests.fleet.builders import HOST, MODEL
from tests.fleet.deployment import NodeProcess
from tests.soak.connections import CallerConnection, ConnectionBrokenError, WholeAnswer
from tests.soak.fatal_requests import FatalRequests, is_varied
from tests.soak.observations import Observations, Sent

KINDS = ("safe", "once", "stream")
PATIENCE_MS = 4_000
# A caller gives up a second after its deadline: an answer in time has come by then.
GIVE_UP_SECONDS = PATIENCE_MS / 1000 + 1
LEAVE_SHARE = 0.05
PAUSE_SECONDS = 0.05
EVENTS = 5


class Callers:
    """All callers.

    Args:
        observations: Where results are noted.
        nodes: Returns the nodes that may be called now.
        keys: Returns the keys that are drawn from.
        fatal: Requests that end their runners, sent now and then.
        rng: Source of randomness.
    """

    def __init__(
        self,
        observations: Observations,
        nodes: Callable[[], list[NodeProcess]],
        keys: Callable[[], list[str]],
        fatal: FatalRequests,
        rng: Random,
    ) -> None:
        self._observations = observations
        self._nodes = nodes
        self._keys = keys
        self._fatal = fatal
        self._rng = rng
        self._count = 0

    async def run(self) -> None:
        """Call with a new connection for each request until cancelled."""
        while True:
            await self.call_once(self._rng.choice(self._nodes()))
            await self._rest()

    async def run_on_kept_connections(self) -> None:
        """Call over one connection for as long as it lasts, then over another, until cancelled.

        A node that stops is left only when it closes the connection, as by most clients' pools.
        """
        while True:
            node = self._rng.choice(self._nodes())
            try:
                connection = await CallerConnection.open(node.callers)
            except ConnectionBrokenError:
                await self._rest()
                continue
            try:
                while connection.is_usable:
                    await self._call(connection, node, self._draw_key(), leave=True)
                    await self._rest()
            finally:
                connection.close()

    async def call_once(
        self, node: NodeProcess, key: str | None = None, *, leave: bool = True
    ) -> Sent:
        """Send one request over a connection of its own, with a key that is drawn or given.

        Args:
            node: The node.
            key: The key.
            leave: Whether the caller may close before the end of the answer.
        """
        try:
            connection = await CallerConnection.open(node.callers)
        except ConnectionBrokenError:
            request = self._next_request(node, key or self._draw_key())
            self._observations.sent.append(request)
            return request
        try:
            return await self._call(connection, node, key or self._draw_key(), leave=leave)
        finally:
            connection.close()

    async def _call(
        self, connection: CallerConnection, node: NodeProcess, key: str, *, leave: bool
    ) -> Sent:
        request = replace(self._next_request(node, key), reused=connection.exchanges > 0)
        leaves = leave and self._rng.random() < LEAVE_SHARE
        patience = 0.1 * self._rng.random() if leaves else GIVE_UP_SECONDS
        result = request
        try:
            async with asyncio.timeout(patience):
                answer = await self._exchange(connection, request)
            result = _answered(request, answer)
        except TimeoutError:
            connection.close()
            result = replace(request, closed_at=connection.closed_at)
        except ConnectionBrokenError:
            pass
        except asyncio.CancelledError:
            connection.close()
            result = replace(request, closed_at=connection.closed_at)
            raise
        finally:
            self._observations.sent.append(replace(result, ended_at=time.monotonic()))
        return result

    async def _exchange(self, connection: CallerConnection, request: Sent) -> WholeAnswer:
        headers = {
            "Host": HOST,
            names.REQUEST_ID: request.request_id,
            names.API_KEY: request.key,
            names.DEADLINE: str(PATIENCE_MS),
        }
        if request.kind == "stream":
            headers |= {names.MODEL: MODEL, names.TOKEN_USAGE: "850,80"}
            headers |= {names.PROMPT_PARTS: self._prompt_parts(request)}
        body = request.fatal or request.request_id
        query = f"?try={self._count}" if is_varied(request.fatal) else ""
        return await connection.exchange(f"/{request.kind}/x{query}", headers, body.encode())

    def _prompt_parts(self, request: Sent) -> str:
        if is_varied(request.fatal):
            return f"a0:800,{self._count:x}:50"
        if request.fatal:
            return "a0:800,f:50"
        return f"a{self._rng.randrange(4):x}:800,{self._count:x}:50"

    def _next_request(self, node: NodeProcess, key: str) -> Sent:
        self._count += 1
        kind = self._rng.choice(KINDS)
        fatal = self._fatal.draw(self._rng)
        if fatal is not None:
            kind, key = fatal.kind, self._fatal.key
        return Sent(
            f"{fatal.name if fatal else kind}-{id(self):x}-{self._count}",
            kind,
            node.name,
            key,
            time.monotonic(),
            expected_events=EVENTS if kind == "stream" else None,
            fatal=fatal.name if fatal else "",
        )

    def _draw_key(self) -> str:
        return self._rng.choice(self._keys())

    async def _rest(self) -> None:
        await asyncio.sleep(PAUSE_SECONDS * self._rng.random())


def _answered(request: Sent, answer: WholeAnswer) -> Sent:
    return replace(
        request,
        status=answer.status,
        body=answer.body,
        signature=answer.headers.get(names.SIGNATURE, ""),
        retry_after=answer.headers.get(names.RETRY_AFTER),
    )
