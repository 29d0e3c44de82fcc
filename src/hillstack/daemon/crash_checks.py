"""Calls runners that seem to have crashed, before a verdict on their crashes costs requests.

A node that is cut off from a runner by resets sees the same as in a crash. So does one that reads
the ledgers of nodes which were all killed. Verdicts on such crashes abort requests, and hold back
others, for as long as the crashes are not taken back. So this node calls the runners itself: at
once if a peer's notice puts its own requests at stake, and again and again while it knows of a
crash of a runner that is still listed.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from hillstack.daemon.background_tasks import has_failed
from hillstack.errors import HillstackError
from hillstack.logs import error_fields
from hillstack.messages.runner_ends import RunnerEndNotice
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.runner_crashes import RunnerCrashMonitor

logger = logging.getLogger(__name__)

# Runners called at a time.
MAX_CALLS = 8
# Interval of the loop that looks for runners to call.
TICK_SECONDS = 0.1
# Interval of looking up the counted crashes, of which there may be thousands.
COUNT_SECONDS = 1.0
# Pause after the first call that shows nothing; each later pause is twice as long.
FIRST_PAUSE_SECONDS = 0.4
MAX_PAUSE_SECONDS = 3.2


class RunnerCalls(Protocol):
    """Calls runners over new connections."""

    async def answers(self, runner_id: str, address: str) -> bool:
        """Return whether the process of a runner answers a call."""
        ...


@dataclass(slots=True)
class _Repetition:
    """When a runner whose crash is not refuted is called next."""

    next_at: float
    pause: float


class CrashChecks:
    """Calls the runners whose crashes this node knows.

    Args:
        state: State of this node.
        crashes: Processes the notices.
        calls: Calls a runner over a new connection.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        state: FleetState,
        crashes: RunnerCrashMonitor,
        calls: RunnerCalls,
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._crashes = crashes
        self._runner_calls = calls
        self._clock = clock
        self._calls: dict[str, asyncio.Task[None]] = {}
        self._repetitions: dict[str, _Repetition] = {}
        # Runners at the crashes that are counted, which are kept the longest, and when they were
        # looked up.
        self._counted: set[str] = set()
        self._counted_at = -math.inf

    def observe(self, peer: str, notice: RunnerEndNotice, now: float) -> None:
        """Process a crash notice, and call its runner if requests of this node are at stake."""
        self._crashes.observe(peer, notice, now)
        is_report = notice.probation_ms is None and not notice.taken_back
        if is_report and self._crashes.is_at_stake(notice):
            self._start_call(notice.runner_id)

    async def run(self) -> None:
        """Call runners whose crash is known, although they are listed, until cancelled."""
        try:
            while True:
                await asyncio.sleep(TICK_SECONDS)
                self._start_due_calls()
        finally:
            for call in self._calls.values():
                call.cancel()

    def _start_due_calls(self) -> None:
        now = self._clock()
        seeming = set(self._seemingly_crashed())
        self._repetitions = {
            runner_id: repetition
            for runner_id, repetition in self._repetitions.items()
            if runner_id in seeming
        }
        for runner_id in sorted(seeming):
            repetition = self._repetitions.setdefault(
                runner_id, _Repetition(now, FIRST_PAUSE_SECONDS)
            )
            if now >= repetition.next_at and self._start_call(runner_id):
                repetition.next_at = now + repetition.pause
                repetition.pause = min(2 * repetition.pause, MAX_PAUSE_SECONDS)

    def _seemingly_crashed(self) -> Iterator[str]:
        """Yield the listed runners that have crashed, as far as this node knows."""
        state, now = self._state, self._clock()
        known = {crash.runner_id for crash in state.runner_crashes.crashes()}
        known.update(state.part_crashes.runner_ids(), state.part_crashes.trial_runner_ids())
        latest_contact = state.runner_crashes.contacts.latest
        for part in state.part_ledgers.names():
            known.update(state.part_ledgers.crashes(part, latest_contact))
        if now >= self._counted_at + COUNT_SECONDS:
            self._counted_at = now
            self._counted = {run.runner_id for _, run in state.crash_counts.repeated()}
        known |= self._counted
        return (runner_id for runner_id in known if state.pool.get(runner_id) is not None)

    def _start_call(self, runner_id: str) -> bool:
        """Start a call of a runner; return whether none was under way, or too many."""
        if runner_id in self._calls or len(self._calls) >= MAX_CALLS:
            return False
        task = asyncio.get_running_loop().create_task(self._call(runner_id))
        fields = {"task": "crash_check", "runner": runner_id}
        task.add_done_callback(functools.partial(has_failed, fields=fields))
        self._calls[runner_id] = task
        return True

    async def _call(self, runner_id: str) -> None:
        runner = self._state.pool.get(runner_id)
        called_at = self._clock()
        try:
            if runner is not None and await self._runner_calls.answers(runner_id, runner.address):
                self._crashes.refute(runner_id, called_at)
        except HillstackError as error:
            logger.warning("runner not checked", extra=error_fields(error))
        finally:
            del self._calls[runner_id]
