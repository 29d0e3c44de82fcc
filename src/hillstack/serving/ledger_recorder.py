"""Records in the background what became of the sends of suspects, in their ledgers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from hillstack.core.crash_ledger import CrashLedger, SendOutcome
from hillstack.errors import PlatformError
from hillstack.serving.ledger_store import LedgerStore

logger = logging.getLogger(__name__)

# Attempts to record the outcome of a send, and the pause after each that failed: some seconds, so
# that a store that is away for a moment gets it all the same.
MAX_RECORD_ATTEMPTS = 20
RECORD_PAUSE_SECONDS = 0.25


class LedgerRecorder:
    """Changes ledgers in the background.

    Args:
        store: The ledgers of all nodes.
        start_task: Starts a task in the node's event loop.
    """

    def __init__(
        self,
        store: LedgerStore,
        start_task: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
    ) -> None:
        self._store = store
        self._start_task = start_task
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Start work in the background that ends when the node stops."""
        task = self._start_task(_log_failure(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def record_outcome(self, fingerprint: int, outcome: SendOutcome) -> None:
        """Record what became of a request's sends.

        Raises:
            PlatformError: The store did not answer.
        """
        await self._change(fingerprint, lambda ledger: ledger.with_outcome(outcome))

    def mark(self, name: int, mark: str) -> None:
        """Write a mark to a ledger, which counts as a crash, so that nodes which start know it."""
        outcome = SendOutcome(crashed=frozenset({mark}))
        self.start(self._change(name, lambda ledger: ledger.with_outcome(outcome)))

    def report_success(self, fingerprint: int) -> None:
        """Remove the ledger of a request after a successful run."""
        self.start(self._store.remove(fingerprint))

    def report_survival(self, fingerprint: int, runner_id: str) -> None:
        """Remove a runner that has not crashed from a request's ledger."""

        def change(ledger: CrashLedger) -> CrashLedger:
            return ledger.without_survivors(lambda name: name == runner_id)

        self.start(self._change(fingerprint, change))

    def close(self) -> None:
        """Stop the work in the background; what was not recorded expires with the ledgers."""
        for task in self._tasks:
            task.cancel()

    async def _change(self, fingerprint: int, change: Callable[[CrashLedger], CrashLedger]) -> None:
        """Change a ledger, also if the store is away for a moment."""
        failure: PlatformError | None = None
        for _ in range(MAX_RECORD_ATTEMPTS):
            try:
                if await self._try_change(fingerprint, change):
                    return
            except PlatformError as error:
                failure = error
                await asyncio.sleep(RECORD_PAUSE_SECONDS)
        if failure is not None:
            raise failure

    async def _try_change(
        self, fingerprint: int, change: Callable[[CrashLedger], CrashLedger]
    ) -> bool:
        """Write a changed ledger; return whether the store has it."""
        stored = await self._store.read(fingerprint)
        ledger = change(stored.ledger)
        if ledger == stored.ledger:
            return True
        return await self._store.write(fingerprint, ledger, stored.revision)


async def _log_failure(work: Coroutine[Any, Any, None]) -> None:
    try:
        await work
    except PlatformError as error:
        logger.warning("crash ledger not written", extra={"error": str(error)})
