"""Permits to send a request again that may have crashed a runner.

The permits bound the runners that one request crashes across all nodes: also while notices between
nodes are late or lost, and after all nodes were restarted. While the store does not answer, nodes
fall back to what their peers report (``RunnerCrashMonitor``); a node that neither reaches the store
nor the other regions sends no suspect again.
"""

from __future__ import annotations

import asyncio
import enum
import logging
from collections.abc import Callable
from dataclasses import dataclass

from hillstack.core.crash_ledger import MAX_RETENTION_SECONDS, CrashLedger, SendOutcome
from hillstack.errors import PlatformError
from hillstack.serving.ledger_store import LedgerStore

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
NO_OUTCOME = SendOutcome()


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request that may have crashed runners, as the node knows it that wants to send it.

    Attributes:
        fingerprint: The request.
        known_crashed: Returns the runners that crashed under it according to this node.
        is_suspected: Returns whether it may have crashed a runner according to this node. A request
            that was cleared while it waited needs no permit.
        has_survived: Returns whether a runner that the ledger contains has not crashed.
        earlier: Outcome of its sends on this node that the ledger may not contain yet.
        open_permits: Permits of its sends on this node that may still crash their runners.
    """

    fingerprint: int
    known_crashed: Callable[[], set[str]]
    is_suspected: Callable[[], bool]
    has_survived: Callable[[str], bool] = lambda _: False
    earlier: SendOutcome = NO_OUTCOME
    open_permits: frozenset[str] = frozenset()


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


class _Answer(enum.Enum):
    """What a node gets when it asks a ledger for a permit.

    Attributes:
        ISSUED: The permit was written.
        NOT_NEEDED: The request is no suspect any more.
        BUSY: Another send is under way.
        EXHAUSTED: The request has crashed too many runners.
        NO_STORE: The store does not answer in time.
    """

    ISSUED = "issued"
    NOT_NEEDED = "not needed"
    BUSY = "busy"
    EXHAUSTED = "exhausted"
    NO_STORE = "no store"


class CrashPermits:
    """Issues permits to the requests of one node.

    Args:
        store: The ledgers of all nodes.
        node_id: This node; part of the permits' identifiers.
        clock: Monotonic seconds.
        is_isolated: Returns whether this node does not receive the notices of another region.
    """

    def __init__(
        self,
        store: LedgerStore,
        node_id: str,
        clock: Callable[[], float],
        is_isolated: Callable[[], bool],
    ) -> None:
        self._store = store
        self._node_id = node_id
        self._clock = clock
        self._is_isolated = is_isolated
        self._issued = 0

    async def acquire(self, suspect: Suspect) -> Grant:
        """Request a permit to send a request."""
        permit = self._new_permit()
        latest = self._clock() + PERMIT_WAIT_SECONDS
        pause = PERMIT_CHECK_SECONDS
        while True:
            # Other sends of the request usually end soon, and show whether it crashes runners.
            alone = self._clock() < latest
            answer = await self._ask_ledger(suspect, permit, alone=alone)
            grant = self._grant_for(answer, permit)
            if grant is not None:
                return grant
            if not alone:
                return Grant(may_send=False, permit=permit, retry_after=MAX_RETENTION_SECONDS)
            await asyncio.sleep(pause)
            pause *= 2

    def _grant_for(self, answer: _Answer, permit: str) -> Grant | None:
        """Return the grant that follows from a ledger's answer; None if another send runs."""
        match answer:
            case _Answer.ISSUED:
                return Grant(may_send=True, is_stored=True, permit=permit)
            case _Answer.NOT_NEEDED:
                return Grant(may_send=True)
            case _Answer.EXHAUSTED:
                return Grant(may_send=False, retry_after=MAX_RETENTION_SECONDS)
            case _Answer.NO_STORE:
                is_sent = not self._is_isolated()
                return Grant(is_sent, permit=permit, retry_after=ISOLATED_RETRY_SECONDS)
            case _:
                return None

    def _new_permit(self) -> str:
        self._issued += 1
        return f"{self._node_id}/{self._clock():.6f}/{self._issued}"

    async def _ask_ledger(self, suspect: Suspect, permit: str, *, alone: bool) -> _Answer:
        """Write a permit to the ledger if that is within the bound."""
        crashed = suspect.known_crashed()
        if CrashLedger().is_exhausted(crashed):
            return _Answer.EXHAUSTED
        try:
            async with asyncio.timeout(STORE_WAIT_SECONDS):
                return await self._write_permit(suspect, permit, crashed, alone=alone)
        except (PlatformError, TimeoutError) as error:
            fields = {
                "fingerprint": f"{suspect.fingerprint:016x}",
                "error": str(error) or type(error).__name__,
                "isolated": self._is_isolated(),
            }
            logger.warning("no crash permit", extra=fields)
            return _Answer.NO_STORE

    async def _write_permit(
        self,
        suspect: Suspect,
        permit: str,
        known_crashed: set[str],
        *,
        alone: bool,
    ) -> _Answer:
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = await self._store.read(suspect.fingerprint)
            stored = stored.without_survivors(suspect.has_survived)
            if not stored.ledger and not suspect.is_suspected():
                return _Answer.NOT_NEEDED
            ledger = stored.ledger.with_outcome(suspect.earlier)
            if ledger.is_exhausted(known_crashed):
                return _Answer.EXHAUSTED
            own = suspect.open_permits
            if not ledger.allows_send(known_crashed, alone=alone, own_permits=own):
                return _Answer.BUSY
            changed = ledger.with_permit(permit)
            if await self._store.write(suspect.fingerprint, changed, stored.revision):
                return _Answer.ISSUED
        return _Answer.BUSY
