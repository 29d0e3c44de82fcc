"""Calls to runners that are no requests, kept within the limits that runners name.

A runner counts all that reaches it. Questions on cached parts, which may come late, get a small
part of a limit; orders for weights, which may not, come before requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hillstack.core.cache_watch import CacheHolder
from hillstack.core.runner_pool import RunnerPool
from hillstack.daemon.cache_follower import CacheChanges, CacheFeed, CacheListing
from hillstack.daemon.weights_orders import OrderOutcome, OrderSender, RunnerReport, WeightsOrder
from hillstack.serving.runner_limits import RunnerLimits

# Part of a limit that questions on cached parts may use, and the longest time between two of them.
FEED_SHARE = 0.1
LONGEST_FEED_PAUSE_SECONDS = 10.0
# How soon it is noticed that a limit has ended.
LOOK_SECONDS = 0.25
# How long an order or a report waits for room. A runner that gets neither keeps its old weights, of
# which the time is bounded too: so they are sent after that.
ORDER_PATIENCE_SECONDS = 0.5


class LimitedFeed:
    """Asks holders what they keep, and runners that name a limit seldom.

    Args:
        feed: Asks.
        limits: Takes calls out of limits.
        pool: Knows the limits.
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
        """Return all that a holder keeps; raises ``BackendError``."""
        await self._room(holder)
        return await self._feed.listing(holder)

    async def changes(self, holder: CacheHolder, since: int, wait_seconds: float) -> CacheChanges:
        """Return the changes since a cursor; raises ``BackendError``."""
        await self._pause(holder)
        await self._room(holder)
        return await self._feed.changes(holder, since, wait_seconds)

    async def _pause(self, holder: CacheHolder) -> None:
        """Wait while the runner's limit has no part left for the next question."""
        asked_at = self._clock()
        while (rate := self._pool.limit_of(holder.holder_id, self._clock())) is not None:
            pause = min(LONGEST_FEED_PAUSE_SECONDS, 1.0 / (FEED_SHARE * rate))
            left = asked_at + pause - self._clock()
            if left <= 0:
                return
            await asyncio.sleep(min(left, LOOK_SECONDS))

    async def _room(self, holder: CacheHolder) -> None:
        while not await self._limits.room_for_call(holder.holder_id, LONGEST_FEED_PAUSE_SECONDS):
            continue


class LimitedOrders:
    """Orders weights and asks for reports, with room of the runner's limit if there is some soon.

    Args:
        sender: Sends them.
        limits: Takes calls out of limits.
    """

    def __init__(self, sender: OrderSender, limits: RunnerLimits) -> None:
        self._sender = sender
        self._limits = limits

    async def report(self, runner_id: str, address: str) -> RunnerReport:
        """Return what a runner says of itself; raises ``BackendError``."""
        await self._limits.room_for_call(runner_id, ORDER_PATIENCE_SECONDS)
        return await self._sender.report(runner_id, address)

    async def order_weights(self, order: WeightsOrder) -> OrderOutcome:
        """Order a runner to load weights; raises ``BackendError``."""
        await self._limits.room_for_call(order.runner_id, ORDER_PATIENCE_SECONDS)
        return await self._sender.order_weights(order)
