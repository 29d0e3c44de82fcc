"""Keeps calls to runners within the limits that they name for all nodes together.

No node sees what the others send. So each call takes its part out of a sum that all nodes hold
together (``core.token_buckets``); where none is left a request goes to another runner at once.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from hillstack.core.runner_limit import RunnerLimit
from hillstack.core.runner_pool import Runner, RunnerPool
from hillstack.core.tenant_limits import TenantLimit
from hillstack.serving.job import Job
from hillstack.serving.metrics import FleetMetrics
from hillstack.serving.ports import TenantLimiter

logger = logging.getLogger(__name__)

# How long a request waits for the word of a holder, which takes some milliseconds: others take it.
ANSWER_SECONDS = 0.03
# Without that word the runner is passed over for as long as it takes to find another holder.
SILENT_SECONDS = 0.1
# A runner without room is asked for again after that: others may have left their places unused.
LONGEST_PAUSE_SECONDS = 1.0
# Orders and reports find room before requests, and urgent requests before others: a rank lower each
# time. Weights have a bound of their own, and nobody else may give these orders.
CALL_RANK = 0
URGENT_RANK = 1
OTHER_RANK = 2


class RunnerLimits:
    """Takes calls of this node out of the limits of runners.

    Args:
        pool: All runners.
        limiter: Holds the sums together with the other nodes.
        metrics: Where calls are counted.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        pool: RunnerPool,
        limiter: TenantLimiter,
        metrics: FleetMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._pool = pool
        self._limiter = limiter
        self._metrics = metrics
        self._clock = clock

    async def admits(self, job: Job, runner: Runner) -> bool:
        """Return whether a runner's limit has room for an attempt, which is taken out of it.

        Where it has none the runner accepts no work of this node for a while.
        """
        limit = runner.signals.limit
        rate = limit.rate_to_use(self._clock())
        if rate is None:
            return True
        if limit.take_probe():
            self._note(job, runner, rate, "probe")
            return True
        rank = OTHER_RANK if job.priority else URGENT_RANK
        wait = await self._take(runner.runner_id, rate, rank)
        if wait <= 0:
            self._note(job, runner, rate, "admitted")
            return True
        limit.no_room_until = self._clock() + min(wait, LONGEST_PAUSE_SECONDS)
        self._note(job, runner, rate, "no room")
        return False

    async def room_for_call(self, runner_id: str, patience_seconds: float) -> bool:
        """Wait until a runner's limit has room for a call that is no request, and take it.

        Returns:
            Whether there was room in time.
        """
        gives_up_at = self._clock() + patience_seconds
        while (rate := self._pool.limit_of(runner_id, self._clock())) is not None:
            wait = await self._take(runner_id, rate, CALL_RANK)
            if wait <= 0:
                return True
            left = gives_up_at - self._clock()
            if left <= 0:
                return False
            await asyncio.sleep(min(wait, left, LONGEST_PAUSE_SECONDS))
        return True

    async def _take(self, runner_id: str, rate: float, rank: int) -> float:
        """Return 0 if there is room, which is taken; else after how long it may be asked again."""
        limit = TenantLimit(rate, burst=0.0)
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                return await self._limiter.take(runner_id, limit, limit.cost(None), rank)
        except TimeoutError:
            return SILENT_SECONDS

    def _note(self, job: Job, runner: Runner, rate: float, result: str) -> None:
        self._metrics.limited_attempts.labels(result).inc()
        fields = {
            "request": job.request.request_id,
            "runner": runner.runner_id,
            "limit_per_second": rate,
            "result": result,
        }
        logger.info("runner limit asked", extra=fields)


def holds_back(limit: RunnerLimit, now: float) -> bool:
    """Return whether a limit keeps all requests of this node away for now."""
    return limit.in_force(now) is not None and now < limit.no_room_until
