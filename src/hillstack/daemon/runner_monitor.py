"""Detects runners that are silent while this node waits for their answers; reports suspects."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from hillstack.core.runner_pool import Runner
from hillstack.daemon.loop_lag import TICK_SECONDS, LoopLag
from hillstack.daemon.path_monitor import PathMonitor
from hillstack.daemon.peer_exchange import PeerExchange
from hillstack.daemon.suspensions import SuspensionWatch
from hillstack.serving.fleet_state import FleetState

logger = logging.getLogger(__name__)

# Interval of the check: a quarter of the time that counts as silence.
CHECK_SECONDS = TICK_SECONDS


class RunnerMonitor:
    """Checks all runners that have requests of this node for silence.

    Args:
        state: The node's view of the fleet.
        peers: Sends suspicions to the peers.
        clock: Seconds of the node's clock.
        lag: Gets a tick from each check, which is as regular as the event loop allows.
        path_monitor: Checks whether a silent runner is only out of this node's reach.
        on_suspended: Called with the length of each suspension of the machine, in seconds.
    """

    def __init__(
        self,
        state: FleetState,
        peers: PeerExchange,
        clock: Callable[[], float],
        lag: LoopLag,
        path_monitor: PathMonitor,
        on_suspended: Callable[[float], None] = lambda _: None,
    ) -> None:
        self._suspensions = SuspensionWatch()
        self._on_suspended = on_suspended
        self._lag = lag
        self._path_monitor = path_monitor
        self._state = state
        self._peers = peers
        self._clock = clock

    async def run(self) -> None:
        """Check at a regular interval until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self._lag.note_tick()
            suspended = self._suspensions.check()
            if suspended:
                self._on_suspended(suspended)
            now = self._clock()
            for runner in self._state.pool.all():
                # The cheapest test comes first: most runners have no attempts, and each is checked
                # ten times a second.
                if len(runner.attempts) and runner.is_silent(now) and now >= runner.suspected_until:
                    self._suspect(runner, now)

    def _suspect(self, runner: Runner, now: float) -> None:
        self._state.pool.failed(runner, now)
        check = self._path_monitor.check(runner.address, "runner silent")
        if check is not None:
            check.add_done_callback(lambda _: self._report(runner))
        elif not self._path_monitor.is_lost(runner.address):
            self._report(runner)
        fields = {
            "runner": runner.runner_id,
            "silent_seconds": round(now - runner.last_contact_at, 2),
            "attempts": len(runner.attempts),
            "pause_seconds": round(runner.suspected_until - now, 2),
        }
        logger.info("runner suspected", extra=fields)

    def _report(self, runner: Runner) -> None:
        """Report a suspicion to the peers, unless the runner has been reached since."""
        if self._clock() < runner.suspected_until:
            self._peers.suspected(runner)
