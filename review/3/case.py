"""Shows that named weights are not rolled out while one process is killed again and again."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

import aiohttp

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.deployment import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Deployment,
    EngineSize,
    Prompt,
    RouteTerms,
    run_case,
)

# The node that last wrote to the store under a condition is the one that took this key.
DUTY_KEY = "hillstack/duties/weights"
DEADLINE_MS = 6_000
SIZE = EngineSize(runners=6, slots=64, capacity=110_556)
ASK = RouteTerms("ask", 1, 2, True, DEADLINE_MS)
RATE = 6.0
PROMPT_TOKENS = 1_000
OUTPUT = 40
LEAD_SECONDS = 4.0
# The kills begin this long before the weights are named.
KILLS_AHEAD_SECONDS = 6.0
KILLS = 7
KILL_PAUSE_SECONDS = 3.0
# A process starts again after a short delay.
RESTART_SECONDS = 0.3
# More than 1.5 times the 8 s for new weights pass from their naming to the end of the traffic.
TRAFFIC_SECONDS = 14.0
OLD_SHARE = 0.1


class Case:
    """The course of the case.

    Args:
        folder: Where the nodes' settings and logs lie.
        has_trouble: Whether a process is killed again and again.
    """

    def __init__(self, folder: Path, has_trouble: bool) -> None:
        self._has_trouble = has_trouble
        self._deployment = Deployment(folder, FOLDER / "record.txt", SIZE, [ASK])

    async def play(self) -> int:
        """Play the case; return the exit code."""
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000 + 1)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            try:
                await self._deployment.start(session)
                old = await self._play(session)
            finally:
                await self._deployment.stop()
        return self._judge(old)

    async def _play(self, session: aiohttp.ClientSession) -> int:
        """Return how many runners have the older weights when the traffic ends."""
        traffic = asyncio.create_task(self._send_all(session))
        await asyncio.sleep(LEAD_SECONDS)
        trouble = asyncio.create_task(self._kill_again_and_again())
        await asyncio.sleep(KILLS_AHEAD_SECONDS)
        self._deployment.name_weights(2)
        ends_at = time.monotonic() + TRAFFIC_SECONDS
        await asyncio.sleep(ends_at - time.monotonic())
        traffic.cancel()
        for engine in self._deployment.engines:
            fields: dict[str, object] = {"runner": engine.name, "version": engine.version}
            self._deployment.record.note("at the end of the traffic", fields)
        old = sum(engine.version < 2 for engine in self._deployment.engines)
        await trouble
        return old

    async def _kill_again_and_again(self) -> None:
        if not self._has_trouble:
            return
        for _ in range(KILLS):
            holder = (self._deployment.store.value(DUTY_KEY) or b"node-0").decode()
            self._deployment.kill(holder)
            await asyncio.sleep(RESTART_SECONDS)
            self._deployment.start_again(holder)
            await asyncio.sleep(KILL_PAUSE_SECONDS - RESTART_SECONDS)

    async def _send_all(self, session: aiohttp.ClientSession) -> None:
        while True:
            await asyncio.sleep(self._deployment.rng.expovariate(RATE))
            own = f"ff{next(self._deployment.numbers):06x}"
            self._deployment.send(session, ASK.name, Prompt([(own, PROMPT_TOKENS)], OUTPUT, OUTPUT))

    def _judge(self, old: int) -> int:
        ends = self._deployment.ends
        self._deployment.record.note("total", {"ends": ends, "old": old})
        self._deployment.record.close()
        print(f"ends {ends}; {old} of {SIZE.runners} runners have the older weights")
        if not ends.get("200"):
            return NOT_RUN
        return BROKEN if old > max(1, OLD_SHARE * SIZE.runners) else HELD


if __name__ == "__main__":
    sys.exit(run_case(lambda folder, has_trouble: Case(folder, has_trouble).play()))
