"""Shows a request that runs on KV cache that was made under other weights than its own."""

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

DEADLINE_MS = 15_000
SIZE = EngineSize(runners=7, slots=32, capacity=52_500)
REVIEW = RouteTerms("review", 1, 1, False, DEADLINE_MS)
ASK = RouteTerms("ask", 0, 1, False, DEADLINE_MS)
# A report that a client reviews, and the client's own text beside it.
SHARED_TOKENS = (16_000, 9_000)
OWN_TOKENS = 250
# Most answers are about as long as the client estimates, some are far longer.
HINT = 80
SHORT_OUTPUT = 60
LONG_OUTPUT = 1_200
# An urgent request brings a long text of its own and displaces a review where memory is short.
URGENT_TOKENS = 28_000
URGENT_OUTPUT = 40
URGENT_AFTER_SECONDS = 0.8
# Each round: new reports are reviewed, weights are named, and each report gets more questions.
ROUNDS = 10
ROUND_SECONDS = 9.0
NAMED_AFTER_SECONDS = 1.5
QUESTIONS_AFTER_SECONDS = (2.6, 3.1)
SPACING_SECONDS = 0.05


class Case:
    """The rounds of the case.

    Args:
        folder: Where the nodes' settings and logs lie.
        has_trouble: Whether new weights are named.
    """

    def __init__(self, folder: Path, has_trouble: bool) -> None:
        self._has_trouble = has_trouble
        self._deployment = Deployment(folder, FOLDER / "record.txt", SIZE, [REVIEW, ASK])

    async def play(self) -> int:
        """Play all rounds; return the exit code."""
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000 + 1)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            try:
                await self._deployment.start(session)
                for number in range(ROUNDS):
                    ends_at = time.monotonic() + ROUND_SECONDS
                    await self._play_round(session, number)
                    await asyncio.sleep(ends_at - time.monotonic())
                if self._deployment.sent:
                    await asyncio.wait(self._deployment.sent, timeout=5.0)
            finally:
                await self._deployment.stop()
        return self._judge()

    async def _play_round(self, session: aiohttp.ClientSession, number: int) -> None:
        reports = [f"{number:02x}{report:02x}" for report in range(SIZE.runners)]
        await self._review_all(session, reports, LONG_OUTPUT)
        await asyncio.sleep(NAMED_AFTER_SECONDS - SIZE.runners * SPACING_SECONDS)
        named_at = time.monotonic()
        if self._has_trouble:
            self._deployment.name_weights(number + 2)
        await asyncio.sleep(named_at + URGENT_AFTER_SECONDS - time.monotonic())
        for _ in range(SIZE.runners):
            own = f"aa{next(self._deployment.numbers):06x}"
            prompt = Prompt([(own, URGENT_TOKENS)], LONG_OUTPUT, URGENT_OUTPUT, URGENT_OUTPUT)
            self._deployment.send(session, ASK.name, prompt)
            await asyncio.sleep(SPACING_SECONDS / 2)
        for after in QUESTIONS_AFTER_SECONDS:
            await asyncio.sleep(named_at + after - time.monotonic())
            await self._review_all(session, reports, SHORT_OUTPUT)

    async def _review_all(
        self, session: aiohttp.ClientSession, reports: list[str], output: int
    ) -> None:
        for report in reports:
            parts = [(f"{report}{place}", tokens) for place, tokens in enumerate(SHARED_TOKENS)]
            own = f"ff{next(self._deployment.numbers):06x}"
            prompt = Prompt([*parts, (own, OWN_TOKENS)], LONG_OUTPUT, output, min(HINT, output))
            self._deployment.send(session, REVIEW.name, prompt)
            await asyncio.sleep(SPACING_SECONDS)

    def _judge(self) -> int:
        engines, ends = self._deployment.engines, self._deployment.ends
        stale = [found for engine in engines for found in engine.stale]
        requests = len({found["request"] for found in stale})
        preempted = sum(engine.preempted for engine in engines)
        total: dict[str, object] = {"ends": ends, "stale": len(stale), "preempted": preempted}
        self._deployment.record.note("total", total)
        self._deployment.record.close()
        print(f"ends {ends}; preempted {preempted}")
        print(f"{len(stale)} parts of other weights' cache in {requests} requests")
        if not ends.get("200"):
            return NOT_RUN
        return BROKEN if stale else HELD


if __name__ == "__main__":
    sys.exit(run_case(lambda folder, has_trouble: Case(folder, has_trouble).play()))
