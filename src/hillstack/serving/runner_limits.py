"""Keeps calls to runners within the rate limits that runners announce for all nodes together.

No node sees the calls of the others, so each call takes tokens out of a bucket that all nodes share
(``core.token_buckets``). If the bucket is empty, a request goes to another runner immediately.
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
from hillstack.serving.ports import PlaceAnswer, PlaceSource, TenantLimiter

logger = logging.getLogger(__name__)

# How long a request waits for the bucket's holder, which usually answers within milliseconds; then
# another runner serves the request.
HOLDER_TIMEOUT_SECONDS = 0.03
# Without an answer, the runner is skipped for as long as it takes to find another holder.
NO_ANSWER_PAUSE_SECONDS = 0.1
# A runner without a free place is tried again after a part of the shortest work seen.
NO_PLACE_PAUSE_SECONDS = 0.02
# A runner whose limit had no room is tried again after this time at the latest: other nodes may not
# have used their shares.
MAX_PAUSE_SECONDS = 1.0
# Rejections in a second that a runner is presumed to tolerate before any of its service answered.
PRESUMED_REJECTIONS = 1.0
# Orders and reports take precedence over requests, and urgent requests over others: a lower rank
# goes first. Orders to load weights have a time bound, and no other node may give them.
CALL_RANK = 0
URGENT_RANK = 1
OTHER_RANK = 2


class RunnerLimits:
    """Charges this node's calls to the rate limits of runners.

    Args:
        pool: All runners.
        limiter: Shares the token buckets with the other nodes.
        metrics: Counts limited calls.
        clock: Monotonic seconds.
        places: Grants places at brittle runners; None to ignore that runners are brittle.
    """

    def __init__(
        self,
        pool: RunnerPool,
        limiter: TenantLimiter,
        metrics: FleetMetrics,
        clock: Callable[[], float],
        places: PlaceSource | None = None,
    ) -> None:
        self._places = places
        self._pool = pool
        self._limiter = limiter
        self._metrics = metrics
        self._clock = clock

    async def admits(self, job: Job, runner: Runner) -> bool:
        """Charge an attempt to a runner's limit; return whether it may be sent to the runner.

        A runner whose limit has no room, or a brittle one without a free place, accepts no work of
        this node for a while. A runner may also leave, fail or ask for a backoff while this node
        waits for another one's answer.
        """
        return await self._reserve_send(job, runner) and _takes_requests(runner, self._clock())

    async def _reserve_send(self, job: Job, runner: Runner) -> bool:
        """Get a place at a brittle runner, and charge an attempt to the limit of a runner."""
        if not await self._has_place(job, runner):
            return False
        limit = runner.signals.limit
        rate = limit.rate_to_use(self._clock())
        if rate is None:
            return True
        if limit.take_probe():
            self._log_result(job, runner, rate, "probe")
            return True
        rank = OTHER_RANK if job.priority else URGENT_RANK
        wait = await self._reserve(runner.runner_id, rate, rank)
        if wait <= 0:
            self._log_result(job, runner, rate, "admitted")
            return True
        limit.exhausted_until = self._clock() + min(wait, MAX_PAUSE_SECONDS)
        self._log_result(job, runner, rate, "no room")
        return False

    async def _has_place(self, job: Job, runner: Runner) -> bool:
        """Return whether a runner is known not to be brittle, or has a place for a request."""
        rejections = self._pool.tolerated_rejections(runner)
        if rejections is None and self._pool.has_answered(runner.entry.service):
            return True
        if self._places is None:
            return True
        rejections = PRESUMED_REJECTIONS if rejections is None else rejections
        # A brittle runner that has just rejected a request is fuller than the count of places.
        if self._clock() >= runner.shed_until:
            answer = await self._places.take(runner, rejections)
            self._log_place(job, runner, answer)
            if answer.granted:
                return True
        runner.signals.no_place_until = self._clock() + NO_PLACE_PAUSE_SECONDS
        self._metrics.limited_attempts.labels("no place").inc()
        return False

    async def room_for_call(self, runner_id: str, patience_seconds: float) -> bool:
        """Wait until a runner's limit has room for a call other than a request, and charge it.

        Returns:
            Whether there was room in time.
        """
        gives_up_at = self._clock() + patience_seconds
        while (rate := self._pool.limit_of(runner_id, self._clock())) is not None:
            wait = await self._reserve(runner_id, rate, CALL_RANK)
            if wait <= 0:
                return True
            left = gives_up_at - self._clock()
            if left <= 0:
                return False
            await asyncio.sleep(min(wait, left, MAX_PAUSE_SECONDS))
        return True

    async def _reserve(self, runner_id: str, rate: float, rank: int) -> float:
        """Charge one call and return 0, or return the seconds until the next try may have room."""
        limit = TenantLimit(rate, burst=0.0)
        try:
            async with asyncio.timeout(HOLDER_TIMEOUT_SECONDS):
                return await self._limiter.take(runner_id, limit, limit.cost(None), rank)
        except TimeoutError:
            return NO_ANSWER_PAUSE_SECONDS

    def _log_place(self, job: Job, runner: Runner, answer: PlaceAnswer) -> None:
        result = "granted" if answer.granted else "refused"
        self._metrics.places.labels(result if answer.issuer else f"{result} unissued").inc()
        fields = {
            "request": job.request.request_id,
            "runner": runner.runner_id,
            "granted": answer.granted,
            "issuer": answer.issuer,
        }
        logger.info("place asked", extra=fields)

    def _log_result(self, job: Job, runner: Runner, rate: float, result: str) -> None:
        self._metrics.limited_attempts.labels(result).inc()
        fields = {
            "request": job.request.request_id,
            "runner": runner.runner_id,
            "limit_per_second": rate,
            "result": result,
        }
        logger.info("runner limit asked", extra=fields)


def _takes_requests(runner: Runner, now: float) -> bool:
    """Return whether a runner takes requests, whatever other requests did to its limit."""
    return runner.will_accept(now) and now >= max(
        runner.suspected_until, runner.signals.backoff_until
    )


def holds_back(limit: RunnerLimit, now: float) -> bool:
    """Return whether a limit currently keeps all requests of this node away from its runner."""
    return limit.in_force(now) is not None and now < limit.exhausted_until
