"""Polls of the store that may overlap.

A poll without an answer says nothing about the next one: the store may have lost it, or its
connection may be broken, while new polls are answered. So a node does not wait for a late poll
alone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from hillstack.core.store_revision import StoreRevision
from hillstack.daemon.change_log import StoreChange
from hillstack.errors import PlatformError


class ChangesView(Protocol):
    """Changes since a revision."""

    @property
    def changes(self) -> Sequence[StoreChange]:
        """The changes in order."""
        ...

    @property
    def revision(self) -> StoreRevision:
        """Revision up to which the changes are complete."""
        ...


class PolledStore(Protocol):
    """The call that returns changes."""

    async def changes(self, revision: StoreRevision, wait_seconds: float) -> ChangesView:
        """Return the changes after a revision; raises ``PlatformError``."""
        ...


@dataclass(frozen=True, slots=True)
class PollOutcome:
    """The end of one poll.

    Attributes:
        since: The revision after which changes were requested.
        started_at: When the poll began, on the node's clock.
        late_seconds: How much longer the poll took than the store may wait for the first change.
        answer: The changes, or the reason why there are none.
    """

    since: StoreRevision
    started_at: float
    late_seconds: float
    answer: ChangesView | PlatformError


class StorePolls:
    """The polls that have not ended.

    Args:
        store: The store.
        clock: Monotonic clock in seconds.
    """

    def __init__(self, store: PolledStore, clock: Callable[[], float]) -> None:
        self._store = store
        self._clock = clock
        self._pending: set[asyncio.Task[PollOutcome]] = set()

    def __bool__(self) -> bool:
        """Return whether a poll has not ended."""
        return bool(self._pending)

    def start(self, since: StoreRevision, wait_seconds: float) -> None:
        """Begin a poll.

        Args:
            since: The revision after which changes are requested.
            wait_seconds: How long the store may wait for the first change.
        """
        self._pending.add(asyncio.create_task(self._poll(since, wait_seconds)))

    async def wait_ended(self, timeout_seconds: float) -> None:
        """Wait until a poll ends, but not longer than a time."""
        if not self._pending:
            await asyncio.sleep(timeout_seconds)
            return
        await asyncio.wait(
            self._pending, timeout=timeout_seconds, return_when=asyncio.FIRST_COMPLETED
        )

    async def next_outcome(self, timeout_seconds: float) -> PollOutcome | None:
        """Return the outcome of the next poll that ends; None if none ends in time.

        If several polls have ended, the outcomes of the others are dropped: an answer goes before
        failures, which count as lost answers then.
        """
        await self.wait_ended(timeout_seconds)
        ended = {task for task in self._pending if task.done()}
        if not ended:
            return None
        self._pending -= ended
        outcomes = [task.result() for task in ended]
        return min(outcomes, key=lambda outcome: isinstance(outcome.answer, PlatformError))

    def cancel(self) -> None:
        """Abandon all polls."""
        for task in self._pending:
            task.cancel()
        self._pending.clear()

    async def _poll(self, since: StoreRevision, wait_seconds: float) -> PollOutcome:
        started_at = self._clock()
        answer: ChangesView | PlatformError
        try:
            answer = await self._store.changes(since, wait_seconds)
        except PlatformError as error:
            answer = error
        late_seconds = max(0.0, self._clock() - started_at - wait_seconds)
        return PollOutcome(since, started_at, late_seconds, answer)
