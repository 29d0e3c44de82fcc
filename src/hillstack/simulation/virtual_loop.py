"""Event loops in virtual time, one for each simulated process.

Each loop is a standard asyncio loop that reads the clock of the simulation. The scheduler always
runs the loop with the earliest due work, so a run depends on its seed only. The scheduler skips a
frozen loop: its timers fire late and its messages wait, as in a stopped process. A killed loop
never runs again.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from asyncio import base_events, events
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, cast

CLOSE_ROUNDS = 6


class _LoopInternals(Protocol):
    """Private members of ``asyncio.BaseEventLoop`` that ``VirtualLoop`` uses."""

    _ready: Any
    _scheduled: list[Any]
    _timer_cancelled_count: int

    def _run_once(self) -> None: ...


class _NoSelector:
    """A selector without file descriptors, because simulated processes have no sockets."""

    def select(self, timeout: float | None = None) -> list[Any]:
        return []


class VirtualLoop(base_events.BaseEventLoop):
    """An asyncio loop in virtual time.

    Args:
        clock: Returns the virtual time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__()
        self._virtual_clock = clock
        self._selector = _NoSelector()
        self._clock_resolution = 1e-9
        self.frozen = False
        self.killed = False

    def time(self) -> float:
        """Return the virtual time."""
        return self._virtual_clock()

    def _process_events(self, event_list: list[Any]) -> None:
        """Do nothing: there are no file descriptors."""

    def _write_to_self(self) -> None:
        """Do nothing: there is no other thread to wake."""

    def next_due(self) -> float | None:
        """Return the time at which the loop has work next, or None if it has no work."""
        internals = cast(_LoopInternals, self)
        if internals._ready:
            return self.time()
        while internals._scheduled and internals._scheduled[0]._cancelled:
            handle = heapq.heappop(internals._scheduled)
            handle._scheduled = False
            internals._timer_cancelled_count -= 1
        if not internals._scheduled:
            return None
        return max(float(internals._scheduled[0]._when), self.time())

    def run_ready(self) -> None:
        """Run one iteration of the loop: the callbacks that are due now."""
        previous = events._get_running_loop()
        events._set_running_loop(self)
        try:
            cast(_LoopInternals, self)._run_once()
        finally:
            events._set_running_loop(previous)


class Scheduler:
    """Runs many loops on one virtual clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self._loops: list[VirtualLoop] = []
        self._all_loops: list[VirtualLoop] = []
        self._actions: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def clock(self) -> float:
        """Return the virtual time."""
        return self.now

    def new_loop(self) -> VirtualLoop:
        """Create a loop and add it to the scheduler."""
        loop = VirtualLoop(self.clock)
        self._loops.append(loop)
        self._all_loops.append(loop)
        return loop

    def spawn(self, loop: VirtualLoop, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task on a loop from outside the loop."""
        return loop.create_task(work)

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action of the simulation, outside all loops, at a virtual time."""
        heapq.heappush(self._actions, (when, next(self._numbers), action))

    def kill(self, loop: VirtualLoop) -> None:
        """Stop a loop for good, as when its process is killed."""
        loop.killed = True
        self._loops.remove(loop)

    def run_until(self, end: float) -> None:
        """Run all work that is due by ``end`` and advance the clock to it."""
        while True:
            due, loop = self._earliest()
            action_due = self._actions[0][0] if self._actions else None
            if action_due is not None and (due is None or action_due <= due):
                if action_due > end:
                    break
                self.now = max(self.now, action_due)
                heapq.heappop(self._actions)[2]()
            elif due is None or due > end:
                break
            else:
                self.now = max(self.now, due)
                assert loop is not None
                loop.run_ready()
        self.now = max(self.now, end)

    def close(self) -> None:
        """Cancel all remaining tasks and close all loops.

        This takes several rounds, because cancelled tasks may need more iterations to clean up.
        """
        for _ in range(CLOSE_ROUNDS):
            for loop in self._all_loops:
                for task in asyncio.all_tasks(loop):
                    task.cancel()
                loop.run_ready()
        for loop in self._all_loops:
            loop.close()

    def _earliest(self) -> tuple[float | None, VirtualLoop | None]:
        earliest_due: float | None = None
        earliest_loop: VirtualLoop | None = None
        for loop in self._loops:
            if loop.frozen:
                continue
            due = loop.next_due()
            if due is not None and (earliest_due is None or due < earliest_due):
                earliest_due, earliest_loop = due, loop
        return earliest_due, earliest_loop
