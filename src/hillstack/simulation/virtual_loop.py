"""Event loops in virtual time, one for each simulated process.

Each loop is a standard asyncio loop whose clock is the simulation's. The scheduler runs the loop
with the earliest work next, so the same seed gives the same run. A frozen loop is passed over:
its timers fire late and its messages wait, as for a stopped process. A killed loop never runs
again.
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
    """The parts of ``asyncio.BaseEventLoop`` that a loop of its own must drive."""

    _ready: Any
    _scheduled: list[Any]
    _timer_cancelled_count: int

    def _run_once(self) -> None: ...


class _NoSelector:
    """A selector without files: simulated processes have no sockets."""

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
        """Do nothing: there are no files."""

    def _write_to_self(self) -> None:
        """Do nothing: there is no other thread to wake."""

    def next_due(self) -> float | None:
        """Return when the loop has work next; None when it has none."""
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
        """Run what is due now."""
        previous = events._get_running_loop()
        events._set_running_loop(self)
        try:
            cast(_LoopInternals, self)._run_once()
        finally:
            events._set_running_loop(previous)


class Scheduler:
    """Runs many loops in one virtual time."""

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
        """Add a loop."""
        loop = VirtualLoop(self.clock)
        self._loops.append(loop)
        self._all_loops.append(loop)
        return loop

    def spawn(self, loop: VirtualLoop, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task on a loop from outside."""
        return loop.create_task(work)

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run an action of the simulation itself at a time."""
        heapq.heappush(self._actions, (when, next(self._numbers), action))

    def kill(self, loop: VirtualLoop) -> None:
        """End a process: it never runs again."""
        loop.killed = True
        self._loops.remove(loop)

    def run_until(self, end: float) -> None:
        """Advance to a time."""
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
        """Cancel all that is left, so that nothing runs after the simulation."""
        for _ in range(CLOSE_ROUNDS):
            for loop in self._all_loops:
                for task in asyncio.all_tasks(loop):
                    task.cancel()
                loop.run_ready()
        for loop in self._all_loops:
            loop.close()

    def _earliest(self) -> tuple[float | None, VirtualLoop | None]:
        best: float | None = None
        chosen: VirtualLoop | None = None
        for loop in self._loops:
            if loop.frozen:
                continue
            due = loop.next_due()
            if due is not None and (best is None or due < best):
                best, chosen = due, loop
        return best, chosen
