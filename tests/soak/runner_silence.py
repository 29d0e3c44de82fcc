"""Silences of emulated runners: pauses in the middle of streams, and answers that come late."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from random import Random

from starlette.requests import Request

from hillstack.emulator.fleet_runner import DISCONNECT_CHECK_SECONDS
from hillstack.platform import names

STREAM_PAUSE_SECONDS = (0.5, 2.5)
# Like a pause, shorter than a request's deadline, so that the answer can still arrive in time.
ANSWER_DELAY_SECONDS = (0.5, 2.5)
# Probability of a pause after each event of a stream that has not paused yet.
PAUSE_SHARE = 0.25
DELAY_SHARE = 0.25


@dataclass(slots=True)
class RunnerSilence:
    """Draws which requests of a runner meet a silence, and for how long.

    Attributes:
        rng: Draws requests and lengths.
        met: Identifiers of the requests that met a silence at any runner; each meets at most one.
    """

    rng: Random
    met: set[str] = field(default_factory=set)

    def stream_pause_seconds(self, request_id: str) -> float:
        """Return the length of a pause after an event of a stream; 0 for none."""
        if request_id in self.met or self.rng.random() >= PAUSE_SHARE:
            return 0.0
        self.met.add(request_id)
        return self.rng.uniform(*STREAM_PAUSE_SECONDS)

    async def delay_answer(self, request: Request) -> None:
        """Wait before some answers begin, at most until the caller disconnects."""
        request_id = request.headers.get(names.REQUEST_ID, "")
        if request_id in self.met or self.rng.random() >= DELAY_SHARE:
            return
        self.met.add(request_id)
        ends_at = time.monotonic() + self.rng.uniform(*ANSWER_DELAY_SECONDS)
        while time.monotonic() < ends_at and not await request.is_disconnected():  # noqa: ASYNC110
            await asyncio.sleep(DISCONNECT_CHECK_SECONDS)
