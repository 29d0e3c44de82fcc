"""Finds out whether a runner has survived a run that this node abandoned.

The connection of an abandoned run is closed, so its runner may crash without breaking any
connection of this node.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from hillstack.core.runner_pool import Runner, RunnerPool
from hillstack.serving.permitted_sends import PermittedSend

# A runner may continue an abandoned run for a while, after the caller left, the deadline passed or
# the request was found fatal. For this time the run counts as being at the runner: twice the half
# second within which runners stop after their connection was closed.
ABANDONED_RUN_SECONDS = 1.0
# Checks of a runner that does not answer; it may be silent for a moment.
MAX_CHECKS = 3
CHECK_PAUSE_SECONDS = 1.0


class RunSurvival:
    """Checks runners.

    Args:
        pool: All runners, with the times of their latest bytes.
        clock: Monotonic seconds.
        answers_call: Calls a runner over a new connection; returns whether its process answered.
    """

    def __init__(
        self,
        pool: RunnerPool,
        clock: Callable[[], float],
        answers_call: Callable[[Runner], Awaitable[bool]],
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._answers_call = answers_call

    async def check(self, send: PermittedSend) -> None:
        """Wait until an abandoned run has ended, and record it if its runner has survived it."""
        assert send.abandoned_at is not None
        ends_at = send.abandoned_at + ABANDONED_RUN_SECONDS
        await asyncio.sleep(max(0.0, ends_at - self._clock()))
        for _ in range(MAX_CHECKS):
            if await self._has_answered_since(send.runner_id, ends_at):
                send.is_over = True
                return
            await asyncio.sleep(CHECK_PAUSE_SECONDS)

    async def _has_answered_since(self, runner_id: str, since: float) -> bool:
        runner = self._pool.get(runner_id)
        if runner is None or runner.has_ended:
            return False
        return runner.last_contact_at >= since or await self._answers_call(runner)
