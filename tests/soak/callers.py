"""Callers of a soak: each sends one request after another and notes what came of it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random

import aiohttp

from hillstack.platform import names
from tests.fleet.builders import HOST, MODEL
from tests.fleet.deployment import NodeProcess
from tests.soak.promises import Observations, Sent

KINDS = ("safe", "once", "stream")
PATIENCE_MS = 4_000
LEAVE_SHARE = 0.05
PAUSE_SECONDS = 0.05
EVENTS = 5


class Callers:
    """All callers.

    Args:
        observations: Where results are noted.
        nodes: Returns the nodes that may be called now.
        keys: Returns the keys that are drawn from.
        rng: Source of randomness.
    """

    def __init__(
        self,
        observations: Observations,
        nodes: Callable[[], list[NodeProcess]],
        keys: Callable[[], list[str]],
        rng: Random,
    ) -> None:
        self._observations = observations
        self._nodes = nodes
        self._keys = keys
        self._rng = rng
        self._count = 0

    async def run(self) -> None:
        """Call until cancelled."""
        timeout = aiohttp.ClientTimeout(total=PATIENCE_MS / 1000 + 1)
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            while True:
                await self.call(session, self._rng.choice(self._nodes()))
                await asyncio.sleep(PAUSE_SECONDS * self._rng.random())

    async def call(
        self, session: aiohttp.ClientSession, node: NodeProcess, key: str | None = None
    ) -> Sent:
        """Send one request, with a key that is drawn or given, and note what came of it."""
        self._count += 1
        kind = self._rng.choice(KINDS)
        request = Sent(
            f"{kind}-{id(self):x}-{self._count}",
            kind,
            node.name,
            key or self._rng.choice(self._keys()),
            time.monotonic(),
            expected_events=EVENTS if kind == "stream" else None,
        )
        result = request
        answering = asyncio.ensure_future(self._answer(session, node, request))
        try:
            if self._rng.random() < LEAVE_SHARE:
                # This caller leaves after a while, in the middle of the answer perhaps.
                await asyncio.wait({answering}, timeout=0.1 * self._rng.random())
                answering.cancel()
            result = await answering
        except asyncio.CancelledError:
            answering.cancel()
            own = asyncio.current_task()
            if own is not None and own.cancelling():
                raise
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        finally:
            self._observations.sent.append(result)
        return result

    async def _answer(
        self, session: aiohttp.ClientSession, node: NodeProcess, request: Sent
    ) -> Sent:
        headers = {
            "Host": HOST,
            names.REQUEST_ID: request.request_id,
            names.API_KEY: request.key,
            names.DEADLINE: str(PATIENCE_MS),
        }
        if request.kind == "stream":
            shared = f"{self._rng.randrange(4):x}"
            headers |= {names.MODEL: MODEL, names.TOKEN_USAGE: "850,80"}
            headers |= {names.PROMPT_PARTS: f"a{shared}:800,{self._count:x}:50"}
        url = f"http://{node.callers}/{request.kind}/x"
        data = request.request_id.encode()
        async with session.post(url, data=data, headers=headers) as response:
            body = await response.read()
            return Sent(
                request.request_id,
                request.kind,
                request.node,
                request.key,
                request.sent_at,
                response.status,
                body,
                response.headers.get(names.SIGNATURE, ""),
                response.headers.get(names.RETRY_AFTER),
                request.expected_events,
            )
