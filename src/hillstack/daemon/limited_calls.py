"""Keeps control calls to runners within the request limits that the runners announce.

A runner counts every call against its limit, not only completion requests. Polls of cache contents
may be delayed and get a small share of the limit. Weights orders take precedence over requests.
They wait for the limit only for a short time and are then sent regardless of it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hillstack.core.cache_watch import CacheHolder
from hillstack.core.runner_pool import RunnerPool
from hillstack.daemon.cache_follower import CacheChanges, CacheFeed, CacheListing
from hillstack.daemon.path_monitor import ProbeResult, TargetProbe
from hillstack.daemon.relayed_link import RelayRoute
from hillstack.daemon.weights_orders import OrderOutcome, OrderSender, RunnerReport, WeightsOrder
from hillstack.serving.runner_limits import RunnerLimits

# Share of a limit that polls of cache contents may use.
FEED_SHARE = 0.1
# Longest pause before a poll; at limits below one call per second polls therefore use more than
# their share. After the pause a poll still waits until the limit has room.
LONGEST_FEED_PAUSE_SECONDS = 10.0
# Interval of the check whether a limit has ended.
LIMIT_CHECK_SECONDS = 0.25
# How long an order or a report call waits for the limit before it is sent regardless. A runner
# without orders keeps its old weights, whose time in use is bounded as well.
ORDER_PATIENCE_SECONDS = 0.5


class RateLimitedCacheFeed:
    """Reads the contents of cache holders, less often from runners with a limit.

    Args:
        feed: Reads the contents of holders.
        limits: Counts calls against the limits.
        pool: All runners and their limits.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        feed: CacheFeed,
        limits: RunnerLimits,
        pool: RunnerPool,
        clock: Callable[[], float],
    ) -> None:
        self._feed = feed
        self._limits = limits
        self._pool = pool
        self._clock = clock

    async def listing(self, holder: CacheHolder) -> CacheListing:
        """Return the complete contents of a holder; raises ``BackendError``."""
        await self._wait_for_limit(holder)
        return await self._feed.listing(holder)

    async def changes(self, holder: CacheHolder, since: int, wait_seconds: float) -> CacheChanges:
        """Return the changes since a cursor; raises ``BackendError``."""
        await self._pause(holder)
        await self._wait_for_limit(holder)
        return await self._feed.changes(holder, since, wait_seconds)

    async def _pause(self, holder: CacheHolder) -> None:
        """Wait until the polls' share of the runner's limit allows the next poll."""
        asked_at = self._clock()
        while (rate := self._pool.limit_of(holder.holder_id, self._clock())) is not None:
            pause = min(LONGEST_FEED_PAUSE_SECONDS, 1.0 / (FEED_SHARE * rate))
            left = asked_at + pause - self._clock()
            if left <= 0:
                return
            await asyncio.sleep(min(left, LIMIT_CHECK_SECONDS))

    async def _wait_for_limit(self, holder: CacheHolder) -> None:
        while not await self._limits.room_for_call(holder.holder_id, LONGEST_FEED_PAUSE_SECONDS):
            continue


class RateLimitedOrderSender:
    """Sends weights orders and report calls, and waits for the runner's limit for a bounded time.

    Args:
        sender: Sends the calls.
        limits: Counts calls against the limits.
    """

    def __init__(self, sender: OrderSender, limits: RunnerLimits) -> None:
        self._sender = sender
        self._limits = limits

    async def report(self, runner_id: str, address: str) -> RunnerReport:
        """Return a runner's report on its weights; raises ``BackendError``."""
        await self._limits.room_for_call(runner_id, ORDER_PATIENCE_SECONDS)
        return await self._sender.report(runner_id, address)

    async def order_weights(self, order: WeightsOrder) -> OrderOutcome:
        """Order a runner to load weights; raises ``BackendError``."""
        await self._limits.room_for_call(order.runner_id, ORDER_PATIENCE_SECONDS)
        return await self._sender.order_weights(order)


class RateLimitedProbe:
    """Probes paths to runners; a runner whose limit has no room is not probed.

    Args:
        probe: Calls the runners.
        limits: Counts calls against the limits.
    """

    def __init__(self, probe: TargetProbe, limits: RunnerLimits) -> None:
        self._probe = probe
        self._limits = limits

    async def probe(self, target_id: str, address: str, route: RelayRoute | None) -> ProbeResult:
        """Call a runner; see ``TargetProbe``."""
        if not await self._limits.room_for_call(target_id, 0.0):
            return ProbeResult.SILENT
        return await self._probe.probe(target_id, address, route)
