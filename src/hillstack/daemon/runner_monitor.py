"""Finds runners that owe this node an answer and are silent, and tells the peers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from hillstack.core.runner_pool import Runner
from hillstack.daemon.loop_lag import TICK_SECONDS, LoopLag
from hillstack.daemon.peer_exchange import PeerExchange
from hillstack.daemon.suspensions import SuspensionWatch
from hillstack.serving.fleet_state import FleetState

logger = logging.getLogger(__name__)

# How late silence is noticed: a quarter of what counts as silence.
CHECK_SECONDS = TICK_SECONDS


class RunnerMonitor:
    """Looks at all runners that have requests of this node.

    Args:
        state: What the node knows.
        peers: Where peers are told.
        clock: Seconds of the node's clock.
        lag: Is told of each look, which is as regular as the loop allows.
        on_suspended: Called with the length of each sleep of the machine, in seconds.
    """

    def __init__(
        self,
        state: FleetState,
        peers: PeerExchange,
        clock: Callable[[], float],
        lag: LoopLag,
        on_suspended: Callable[[float], None] = lambda _: None,
    ) -> None:
        self._suspensions = SuspensionWatch()
        self._on_suspended = on_suspended
        self._lag = lag
        self._state = state
        self._peers = peers
        self._clock = clock

    async def run(self) -> None:
        """Look now and then until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self._lag.ticked()
            suspended = self._suspensions.look()
            if suspended:
                self._on_suspended(suspended)
            now = self._clock()
            for runner in self._state.pool.all():
                # Most runners have none: ten looks a second at each.
                if len(runner.attempts) and runner.is_silent(now) and now >= runner.suspected_until:
                    self._suspect(runner, now)

    def _suspect(self, runner: Runner, now: float) -> None:
        self._state.pool.failed(runner, now)
        self._peers.suspected(runner)
        fields = {
            "runner": runner.runner_id,
            "silent_seconds": round(now - runner.last_heard_at, 2),
            "attempts": len(runner.attempts),
            "pause_seconds": round(runner.suspected_until - now, 2),
        }
        logger.info("runner suspected", extra=fields)
