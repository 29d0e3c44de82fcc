"""The tasks that a node runs beside its requests, for the life of the process."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

logger = logging.getLogger(__name__)


class BackgroundTasks:
    """Starts the background tasks of a node, and notices when one of them fails.

    Args:
        on_failure: Called with the name of a task that has failed.
    """

    def __init__(self, on_failure: Callable[[str], None]) -> None:
        self._on_failure = on_failure
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Start a task."""
        task = asyncio.create_task(work, name=name)
        task.add_done_callback(self._note_end)
        self._tasks.append(task)

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        name = task.get_name()
        logger.error("background task failed", extra={"task": name}, exc_info=task.exception())
        self._on_failure(name)
