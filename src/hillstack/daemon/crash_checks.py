"""Checks crashes that peers report before they cost this node its own requests.

A peer that is cut off from a runner by resets sees the same as in a crash. A verdict on its report
may abort requests here. So if any are at stake, this node calls the runner itself, in the time that
it waits for the notices of other peers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hillstack.daemon.path_monitor import ProbeResult, TargetProbe
from hillstack.messages.runner_ends import RunnerEndNotice
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.runner_crashes import RunnerCrashMonitor

# Runners called at a time.
MAX_CALLS = 8


class CrashChecks:
    """Calls runners that peers report as crashed.

    Args:
        state: State of this node.
        crashes: Processes the notices.
        probe: Calls a runner over a new connection.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        state: FleetState,
        crashes: RunnerCrashMonitor,
        probe: TargetProbe,
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._crashes = crashes
        self._probe = probe
        self._clock = clock
        self._calls: dict[str, asyncio.Task[None]] = {}

    def observe(self, peer: str, notice: RunnerEndNotice, now: float) -> None:
        """Process a crash notice, and call its runner if requests of this node are at stake."""
        self._crashes.observe(peer, notice, now)
        is_report = notice.probation_ms is None and not notice.taken_back
        runner_id = notice.runner_id
        if not is_report or runner_id in self._calls or len(self._calls) >= MAX_CALLS:
            return
        if self._crashes.is_at_stake(notice):
            self._calls[runner_id] = asyncio.get_running_loop().create_task(self._call(runner_id))

    async def _call(self, runner_id: str) -> None:
        runner = self._state.pool.get(runner_id)
        called_at = self._clock()
        try:
            if runner is None:
                return
            result = await self._probe.probe(runner_id, runner.address, None)
            if result is ProbeResult.ANSWERED:
                self._crashes.refute(runner_id, called_at)
        finally:
            del self._calls[runner_id]
