"""The tasks that a node runs beside its requests, for the life of the process.

A task that ends is started again. The node goes on serving with what it knows, and while a task
keeps failing it reports that it is not ready, since it no longer keeps up with the fleet. It does
not end the process: whatever made the task fail is likely to be there for the next process, too.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from typing import Any

logger = logging.getLogger(__name__)

# Pause before the first start after a failure; it doubles with each further one.
MIN_RESTART_SECONDS = 0.1
MAX_RESTART_SECONDS = 5.0
# Enough to reach the longest pause; a float overflows after some more.
MAX_DOUBLINGS = 6
# A task is sound again after it has run for this long, longer than the longest pause.
SOUND_SECONDS = 10.0
# Failures, each less than the above after the previous one, from which a task keeps failing.
MAX_FAILURES = 3

Work = Callable[[], Coroutine[Any, Any, None]]


class TaskEndedError(RuntimeError):
    """A task that runs until it is cancelled has returned."""


@dataclass(slots=True)
class _Failures:
    """The latest failures of a task.

    Attributes:
        count: Number of failures in a row.
        last_at: When the task failed last.
    """

    count: int = 0
    last_at: float = float("-inf")

    def add(self, now: float) -> None:
        is_in_a_row = now - self.last_at < SOUND_SECONDS
        self.count = self.count + 1 if is_in_a_row else 1
        self.last_at = now

    def persist(self, now: float) -> bool:
        return self.count >= MAX_FAILURES and now - self.last_at < SOUND_SECONDS

    def restart_seconds(self) -> float:
        doublings = min(self.count - 1, MAX_DOUBLINGS)
        return min(MAX_RESTART_SECONDS, MIN_RESTART_SECONDS * 2.0**doublings)


class BackgroundTasks:
    """Runs the background tasks of a node, and starts each again that ends.

    Args:
        clock: Monotonic seconds.
        on_failure: Called with the name of a task that has ended.
    """

    def __init__(
        self, clock: Callable[[], float], on_failure: Callable[[str], None] = lambda _: None
    ) -> None:
        self._clock = clock
        self._on_failure = on_failure
        self._tasks: list[asyncio.Task[None]] = []
        self._failures: dict[str, _Failures] = {}

    def start(self, name: str, run: Work, *, is_required: bool = True) -> None:
        """Start a task that runs until it is cancelled.

        Args:
            name: Name of the task in logs and metrics.
            run: The work, called for each start.
            is_required: Whether the node is ready only while the task runs.
        """
        failures = _Failures()
        if is_required:
            self._failures[name] = failures
        self._tasks.append(asyncio.create_task(self._supervise(name, run, failures), name=name))

    def failing(self) -> list[str]:
        """Return the required tasks that keep failing."""
        now = self._clock()
        return [name for name, failures in self._failures.items() if failures.persist(now)]

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_once(self, name: str, run: Work) -> None:
        try:
            await run()
        except asyncio.CancelledError as error:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            # Something that the work waited for was cancelled, not the work itself.
            raise TaskEndedError(f"{name} has ended with a cancelled call") from error
        raise TaskEndedError(f"{name} has returned")

    async def _supervise(self, name: str, run: Work, failures: _Failures) -> None:
        while True:
            try:
                await self._run_once(name, run)
            except Exception as error:
                failures.add(self._clock())
                pause = failures.restart_seconds()
                fields = {"task": name, "failures": failures.count, "restart_seconds": pause}
                logger.error("background task failed", extra=fields, exc_info=error)
                self._on_failure(name)
            await asyncio.sleep(pause)


def has_failed(task: asyncio.Task[None], fields: Mapping[str, object]) -> bool:
    """Return whether a task that was not started again has ended with an error, and log it."""
    error = None if task.cancelled() else task.exception()
    if error is not None:
        logger.error("background task failed", extra=dict(fields), exc_info=error)
    return error is not None
