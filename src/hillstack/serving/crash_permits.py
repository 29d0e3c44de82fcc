"""Permits to send a request again that may have crashed a runner.

The permits bound the runners that one request crashes across all nodes: also while notices between
nodes are late or lost, and after all nodes were restarted. While the store does not answer, nodes
fall back to what their peers report (``RunnerCrashMonitor``); a node that neither reaches the store
nor the other regions sends no suspect again.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

from hillstack.core.crash_ledger import MAX_RETENTION_SECONDS, CrashLedger, SendOutcome
from hillstack.core.store_revision import NO_REVISION, StoreRevision
from hillstack.errors import PlatformError

logger = logging.getLogger(__name__)

# Longest wait for a permit while other tries of the same request are under way.
PERMIT_WAIT_SECONDS = 1.0
# Pause before the first further read of the ledger; each later pause is twice as long, so that many
# waiting tries cost the store few reads.
PERMIT_CHECK_SECONDS = 0.02
# Retry delay where neither the store nor another region can be reached.
ISOLATED_RETRY_SECONDS = 2.0
# Longest wait for the store. An answer takes some milliseconds.
STORE_WAIT_SECONDS = 0.3
# Attempts to write a ledger that other nodes change at the same time.
MAX_WRITE_ATTEMPTS = 5
# Attempts to record the outcome of a send, and the pause after each that failed: some seconds, so
# that a store that is away for a moment gets it all the same.
MAX_RECORD_ATTEMPTS = 20
RECORD_PAUSE_SECONDS = 0.25
# Ledgers that a node reads at a time. When several runners crash, some hundred requests may be
# suspects for a moment; requests beyond this number are sent without a permit.
MAX_CONCURRENT_CALLS = 32


@dataclass(frozen=True, slots=True)
class StoredLedger:
    """A ledger and the revision at which it was last changed; ``NO_REVISION`` if there is none."""

    ledger: CrashLedger
    revision: StoreRevision = NO_REVISION

    def without_survivors(self, has_survived: Callable[[str], bool]) -> StoredLedger:
        """Return the ledger without the runners that turned out not to have crashed."""
        return StoredLedger(self.ledger.without_survivors(has_survived), self.revision)


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to a request for a permit.

    Attributes:
        may_send: Whether the request may be sent.
        is_stored: Whether the ledger contains the permit and the outcome of earlier sends.
        permit: The permit; None if there is none. If the store did not answer, it may have been
            stored all the same.
        retry_after: Seconds after which a request that may not be sent may be tried again.
    """

    may_send: bool
    is_stored: bool = False
    permit: str | None = None
    retry_after: float = 0.0


class LedgerStore(Protocol):
    """The ledgers in the platform's store; each call raises ``PlatformError`` on failure."""

    async def read(self, fingerprint: int) -> StoredLedger:
        """Return the ledger of a request; an empty one if there is none."""
        ...

    async def write(self, fingerprint: int, ledger: CrashLedger, expected: StoreRevision) -> bool:
        """Write a ledger if its revision is the expected one; return whether it was written."""
        ...

    async def remove(self, fingerprint: int) -> None:
        """Remove the ledger of a request."""
        ...


class CrashPermits:
    """Issues permits to the requests of one node.

    Args:
        store: The ledgers of all nodes.
        node_id: This node; part of the permits' identifiers.
        clock: Monotonic seconds.
        is_isolated: Returns whether this node does not receive the notices of another region.
        start_task: Starts a task in the node's event loop.
    """

    def __init__(
        self,
        store: LedgerStore,
        node_id: str,
        clock: Callable[[], float],
        is_isolated: Callable[[], bool],
        start_task: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]] = asyncio.create_task,
    ) -> None:
        self._store = store
        self._node_id = node_id
        self._clock = clock
        self._is_isolated = is_isolated
        self._start_task = start_task
        self._issued = 0
        self._calls = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def acquire(
        self,
        fingerprint: int,
        earlier: SendOutcome,
        known_crashed: Callable[[], set[str]],
        is_suspect: Callable[[], bool],
        has_survived: Callable[[str], bool] = lambda _: False,
    ) -> Grant:
        """Request a permit to send a request.

        Args:
            fingerprint: The request.
            earlier: Outcome of its sends on this node that the ledger may not contain yet.
            known_crashed: Returns the runners that crashed under it according to this node.
            is_suspect: Returns whether it may have crashed a runner according to this node. A
                request that was cleared while it waited needs no permit.
            has_survived: Returns whether a runner that the ledger contains has not crashed.
        """
        self._issued += 1
        permit = f"{self._node_id}/{self._clock():.6f}/{self._issued}"
        latest = self._clock() + PERMIT_WAIT_SECONDS
        pause = PERMIT_CHECK_SECONDS
        while True:
            # Other sends of the request usually end soon, and show whether it crashes runners.
            alone = self._clock() < latest
            crashed = known_crashed()
            if CrashLedger().is_exhausted(crashed):
                return Grant(may_send=False, retry_after=MAX_RETENTION_SECONDS)
            try:
                async with asyncio.timeout(STORE_WAIT_SECONDS):
                    stored = (await self._read(fingerprint)).without_survivors(has_survived)
                    if not stored.ledger and not is_suspect():
                        return Grant(may_send=True)
                    if stored.ledger.with_outcome(earlier).is_exhausted(crashed):
                        return Grant(may_send=False, retry_after=MAX_RETENTION_SECONDS)
                    is_issued = await self._issue(
                        fingerprint, stored, permit, earlier, crashed, has_survived, alone=alone
                    )
            except (PlatformError, TimeoutError) as error:
                return self._without_store(fingerprint, permit, error)
            if is_issued:
                return Grant(may_send=True, is_stored=True, permit=permit)
            if not alone:
                return Grant(may_send=False, retry_after=MAX_RETENTION_SECONDS)
            await asyncio.sleep(pause)
            pause *= 2

    def _without_store(self, fingerprint: int, permit: str, error: Exception) -> Grant:
        is_isolated = self._is_isolated()
        fields = {
            "fingerprint": f"{fingerprint:016x}",
            "error": str(error) or type(error).__name__,
            "isolated": is_isolated,
        }
        logger.warning("no crash permit", extra=fields)
        return Grant(not is_isolated, permit=permit, retry_after=ISOLATED_RETRY_SECONDS)

    async def _issue(
        self,
        fingerprint: int,
        stored: StoredLedger,
        permit: str,
        earlier: SendOutcome,
        known_crashed: set[str],
        has_survived: Callable[[str], bool],
        *,
        alone: bool,
    ) -> bool:
        """Write a permit; return whether it was written."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            ledger = stored.ledger.with_outcome(earlier)
            if not ledger.allows_send(known_crashed, alone=alone):
                return False
            if await self._store.write(fingerprint, ledger.with_permit(permit), stored.revision):
                return True
            stored = (await self._read(fingerprint)).without_survivors(has_survived)
        return False

    async def _read(self, fingerprint: int) -> StoredLedger:
        if self._calls >= MAX_CONCURRENT_CALLS:
            raise PlatformError("too many concurrent calls", step="crash permit", peer="store")
        self._calls += 1
        try:
            return await self._store.read(fingerprint)
        finally:
            self._calls -= 1

    def report_outcome(
        self, fingerprint: int, outcome: Callable[[], SendOutcome], delay: float = 0.0
    ) -> None:
        """Record in the background that a request's sends have ended.

        Args:
            fingerprint: The request.
            outcome: Returns the outcome of its sends.
            delay: Seconds to wait before, while a runner may still run the request.
        """
        self._start(self._record_outcome(fingerprint, outcome, delay))

    def report_success(self, fingerprint: int) -> None:
        """Remove the ledger of a request in the background after a successful run."""
        self._start(self._store.remove(fingerprint))

    def report_survival(self, fingerprint: int, runner_id: str) -> None:
        """Remove a runner that has not crashed from a request's ledger, in the background."""

        def change(ledger: CrashLedger) -> CrashLedger:
            return ledger.without_survivors(lambda name: name == runner_id)

        self._start(self._change(fingerprint, change))

    async def _record_outcome(
        self, fingerprint: int, outcome: Callable[[], SendOutcome], delay: float
    ) -> None:
        await asyncio.sleep(delay)
        await self._change(fingerprint, lambda ledger: ledger.with_outcome(outcome()))

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
        stored = await self._read(fingerprint)
        ledger = change(stored.ledger)
        if ledger == stored.ledger:
            return True
        return await self._store.write(fingerprint, ledger, stored.revision)

    def close(self) -> None:
        """Stop the work in the background; what was not recorded expires with the ledgers."""
        for task in self._tasks:
            task.cancel()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._start_task(_log_failure(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _log_failure(work: Coroutine[Any, Any, None]) -> None:
    try:
        await work
    except PlatformError as error:
        logger.warning("crash ledger not written", extra={"error": str(error)})
