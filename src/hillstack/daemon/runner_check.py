"""Checks whether the process of a runner still runs after it has closed a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from hillstack.daemon.path_monitor import UNREACHED, ProbeResult, TargetProbe
from hillstack.daemon.relayed_link import RelayRoute

# How long the check waits for room in the runner's request limit; then it is made regardless,
# because without it a complete answer would be broken off.
LIMIT_PATIENCE_SECONDS = 0.3
# Peers that reached the runner this recently are tried without asking them again.
ROUTE_AGE_SECONDS = 5.0
# Pause before the second call; each later pause is twice as long.
FIRST_PAUSE_SECONDS = 0.05
# How long calls are repeated to which nothing answers: a runner resets new connections while it has
# too many, and the peers that reach it may be slow. Callers wait several times as long for the next
# event of a stream, and its last one has arrived.
CHECK_SECONDS = 1.5
# Calls of an address on which nothing listens: the process has ended.
MAX_REFUSED_CALLS = 2
RUNNING = frozenset({ProbeResult.ANSWERED, ProbeResult.OTHER})


class CallLimits(Protocol):
    """The request limits that runners announce."""

    async def room_for_call(self, runner_id: str, patience_seconds: float) -> bool:
        """Wait for room in a runner's limit, and use it; return whether there was any."""
        ...


class Routes(Protocol):
    """The routes to runners through peers."""

    async def routes(self, address: str, max_age: float) -> list[RelayRoute]:
        """Return the routes through peers to an address, the best first."""
        ...


class RunnerCheck:
    """Calls a runner over a new connection.

    Args:
        probe: Calls runners.
        limits: Counts calls against the limits of runners.
        routes: Finds peers that reach a runner which this node does not reach.
        is_lost: Returns whether this node reaches an address through peers only.
    """

    def __init__(
        self,
        probe: TargetProbe,
        limits: CallLimits,
        routes: Routes,
        is_lost: Callable[[str], bool],
    ) -> None:
        self._probe = probe
        self._limits = limits
        self._routes = routes
        self._is_lost = is_lost

    async def is_running(self, runner_id: str, address: str) -> bool:
        """Return whether the process answers now.

        False says that nothing proves it: the process may have ended, or it can't be reached.
        """
        await self._limits.room_for_call(runner_id, LIMIT_PATIENCE_SECONDS)
        try:
            async with asyncio.timeout(CHECK_SECONDS):
                return await self._call_until_known(runner_id, address)
        except TimeoutError:
            return False

    async def _call_until_known(self, runner_id: str, address: str) -> bool:
        """Call a process until the result shows whether it runs."""
        pause = FIRST_PAUSE_SECONDS
        refused = 0
        while True:
            result = await self._call(runner_id, address)
            if result in RUNNING:
                return True
            refused += result is ProbeResult.REFUSED
            if result is ProbeResult.OTHER_PROCESS or refused >= MAX_REFUSED_CALLS:
                return False
            await asyncio.sleep(pause)
            pause *= 2
            await self._limits.room_for_call(runner_id, LIMIT_PATIENCE_SECONDS)

    async def _call(self, runner_id: str, address: str) -> ProbeResult:
        """Call a process once, through peers if this node reaches it only so."""
        if not self._is_lost(address):
            return await self._probe.probe(runner_id, address, None)
        found = ProbeResult.SILENT
        for route in await self._routes.routes(address, ROUTE_AGE_SECONDS):
            result = await self._probe.probe(runner_id, address, route)
            if result is ProbeResult.ANSWERED:
                return result
            if result not in UNREACHED and found is not ProbeResult.OTHER:
                found = result
        return found

    async def answers(self, runner_id: str, address: str) -> bool:
        """Return whether the process answers a call now, which proves that it has not ended.

        A runner whose limit has no room is not called.
        """
        if not await self._limits.room_for_call(runner_id, 0.0):
            return False
        return await self._call(runner_id, address) is ProbeResult.ANSWERED
