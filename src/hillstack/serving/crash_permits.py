"""Permits to send a request again that may have crashed a runner.

The permits bound the runners that one request crashes across all nodes: also while notices between
nodes are late or lost, while the store is slow or does not answer, and after all nodes were
restarted. They are issued by the ledgers in the store (``core.crash_ledger``); the last one within
the bound, and any while the store does not answer, are peer permits (``core.peer_permits``). A node
that neither reaches the store nor the other regions sends no suspect again.
"""

from __future__ import annotations

import asyncio
import enum
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from hillstack.core.crash_ledger import (
    MAX_CRASHES,
    MAX_LEDGER_CRASHES,
    MAX_RETENTION_SECONDS,
    CrashLedger,
    SendOutcome,
)
from hillstack.core.peer_permits import PeerPermitRequest, Vote
from hillstack.errors import PlatformError
from hillstack.serving.ledger_store import LedgerStore

logger = logging.getLogger(__name__)

# Longest wait for a permit while other tries of the same request are under way.
PERMIT_WAIT_SECONDS = 1.0
# Pause before the first further read of the ledger; each later pause is twice as long, so that many
# waiting tries cost the store few reads.
PERMIT_CHECK_SECONDS = 0.02
# Retry delay where neither the store nor enough peers can be reached.
ISOLATED_RETRY_SECONDS = 2.0
# Longest wait for the store. An answer takes some milliseconds.
STORE_WAIT_SECONDS = 0.3
# The same for a request that is not sent without the store.
REQUIRED_STORE_WAIT_SECONDS = 1.0
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
        peer_permit: The peer permit; None if there is none.
        retry_after: Seconds after which a request that may not be sent may be tried again.
    """

    may_send: bool
    is_stored: bool = False
    permit: str | None = None
    peer_permit: str | None = None
    retry_after: float = 0.0


class PeerPermitSource(Protocol):
    """Gets peer permits from the voters of requests."""

    async def acquire(self, request: PeerPermitRequest) -> Vote | None:
        """Ask for a permit, whose identifier must be new; None if too few voters answered."""
        ...

    def give_back(self, fingerprint: int, permit: str) -> None:
        """Return a permit whose request was not sent, or whose send has ended without a crash."""
        ...


class _LedgerAnswer(enum.Enum):
    """What a node gets when it asks a ledger for a permit.

    Attributes:
        ISSUED: The permit was written.
        NOT_NEEDED: The request is no suspect any more.
        NEEDS_PEERS: The last send within the bound needs the peer permit first.
        BUSY: Another send is under way.
        EXHAUSTED: The request has crashed too many runners.
        NO_STORE: The store does not answer in time.
    """

    ISSUED = "issued"
    NOT_NEEDED = "not needed"
    NEEDS_PEERS = "needs peers"
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
        peers: Gets peer permits.
    """

    def __init__(
        self,
        store: LedgerStore,
        node_id: str,
        clock: Callable[[], float],
        is_isolated: Callable[[], bool],
        peers: PeerPermitSource,
    ) -> None:
        self._store = store
        self._node_id = node_id
        self._clock = clock
        self._is_isolated = is_isolated
        self._peers = peers
        self._issued = 0

    async def acquire(self, suspect: Suspect) -> Grant:
        """Request a permit to send a request; wait for a while if another send is under way."""
        permit = self._new_permit()
        latest = self._clock() + PERMIT_WAIT_SECONDS
        pause = PERMIT_CHECK_SECONDS
        while True:
            # Other sends of the request usually end soon, and show whether it crashes runners.
            alone = self._clock() < latest
            answer = await self._ask_ledger(suspect, permit, alone=alone)
            if answer is _LedgerAnswer.NEEDS_PEERS:
                grant = await self._acquire_last(suspect, permit, alone=alone)
            elif answer is _LedgerAnswer.NO_STORE:
                grant = await self._acquire_without_store(suspect, permit)
            else:
                grant = _grant_for(answer, permit)
            if grant is not None:
                return grant
            if not alone:
                return Grant(may_send=False, permit=permit, retry_after=MAX_RETENTION_SECONDS)
            await asyncio.sleep(pause)
            pause *= 2

    async def _acquire_last(self, suspect: Suspect, permit: str, *, alone: bool) -> Grant | None:
        """Get the peer permit for the last send within the bound; None if another send has it.

        The ledger issues a permit for this send too, so that nodes which start later know of it.
        """
        peer_permit = self._new_permit()
        vote = await self._ask_peers(suspect, peer_permit, MAX_CRASHES)
        if vote is not Vote.GRANTED:
            return _rejection_of(vote)
        answer: _LedgerAnswer | None = None
        try:
            answer = await self._ask_ledger(suspect, permit, alone=alone, has_peer_permit=True)
        finally:
            if answer is not _LedgerAnswer.ISSUED:
                self._peers.give_back(suspect.fingerprint, peer_permit)
        if answer is _LedgerAnswer.ISSUED:
            return Grant(may_send=True, is_stored=True, permit=permit, peer_permit=peer_permit)
        if answer is _LedgerAnswer.NO_STORE:
            return Grant(may_send=False, permit=permit, retry_after=ISOLATED_RETRY_SECONDS)
        return _grant_for(answer, permit)

    async def _acquire_without_store(self, suspect: Suspect, permit: str) -> Grant | None:
        """Get the peer permit alone; None if another send has it.

        After two crashes nothing is sent: the ledger may have issued a permit in the meantime.
        """
        rejection = Grant(may_send=False, permit=permit, retry_after=ISOLATED_RETRY_SECONDS)
        if len(suspect.known_crashed()) >= MAX_LEDGER_CRASHES or self._is_isolated():
            return rejection
        peer_permit = self._new_permit()
        vote = await self._ask_peers(suspect, peer_permit, MAX_LEDGER_CRASHES)
        if vote is Vote.TAKEN:
            return None
        if vote is not Vote.GRANTED:
            return rejection
        return Grant(may_send=True, permit=permit, peer_permit=peer_permit)

    def _new_permit(self) -> str:
        self._issued += 1
        return f"{self._node_id}/{self._clock():.6f}/{self._issued}"

    async def _ask_peers(self, suspect: Suspect, peer_permit: str, max_crashes: int) -> Vote | None:
        crashed = frozenset(suspect.known_crashed())
        vote = await self._peers.acquire(
            PeerPermitRequest(suspect.fingerprint, peer_permit, crashed, max_crashes)
        )
        fields = {
            "fingerprint": f"{suspect.fingerprint:016x}",
            "permit": peer_permit,
            "crashed": sorted(crashed),
            "vote": vote.name.lower() if vote is not None else "no majority",
        }
        logger.info("peer permit requested", extra=fields)
        return vote

    async def _ask_ledger(
        self, suspect: Suspect, permit: str, *, alone: bool, has_peer_permit: bool = False
    ) -> _LedgerAnswer:
        """Write a permit to the ledger if that is within the bound."""
        crashed = suspect.known_crashed()
        if CrashLedger().is_exhausted(crashed):
            return _LedgerAnswer.EXHAUSTED
        is_required = len(crashed) >= MAX_LEDGER_CRASHES
        wait = REQUIRED_STORE_WAIT_SECONDS if is_required else STORE_WAIT_SECONDS
        try:
            async with asyncio.timeout(wait):
                return await self._write_permit(
                    suspect, permit, crashed, alone=alone, has_peer_permit=has_peer_permit
                )
        except (PlatformError, TimeoutError) as error:
            fields = {
                "fingerprint": f"{suspect.fingerprint:016x}",
                "error": str(error) or type(error).__name__,
                "isolated": self._is_isolated(),
                "crashed": sorted(crashed),
            }
            logger.warning("no crash permit", extra=fields)
            return _LedgerAnswer.NO_STORE

    async def _write_permit(
        self,
        suspect: Suspect,
        permit: str,
        known_crashed: set[str],
        *,
        alone: bool,
        has_peer_permit: bool,
    ) -> _LedgerAnswer:
        # An earlier write of the permit may have succeeded although its answer did not arrive.
        unused = SendOutcome(frozenset({permit}))
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = await self._store.read(suspect.fingerprint)
            stored = stored.without_survivors(suspect.has_survived)
            if not stored.ledger and not suspect.is_suspected():
                return _LedgerAnswer.NOT_NEEDED
            ledger = stored.ledger.with_outcome(suspect.earlier).with_outcome(unused)
            if ledger.is_exhausted(known_crashed):
                return _LedgerAnswer.EXHAUSTED
            own = suspect.open_permits
            if not ledger.allows_send(known_crashed, alone=alone, own_permits=own):
                return _LedgerAnswer.BUSY
            if ledger.needs_peers(known_crashed) and not has_peer_permit:
                return _LedgerAnswer.NEEDS_PEERS
            changed = ledger.with_permit(permit)
            if await self._store.write(suspect.fingerprint, changed, stored.revision):
                return _LedgerAnswer.ISSUED
        return _LedgerAnswer.BUSY


def _grant_for(answer: _LedgerAnswer, permit: str) -> Grant | None:
    """Return the grant that follows from a ledger's answer alone; None if another send runs."""
    match answer:
        case _LedgerAnswer.ISSUED:
            return Grant(may_send=True, is_stored=True, permit=permit)
        case _LedgerAnswer.NOT_NEEDED:
            return Grant(may_send=True)
        case _LedgerAnswer.EXHAUSTED:
            return Grant(may_send=False, retry_after=MAX_RETENTION_SECONDS)
        case _:
            return None


def _rejection_of(vote: Vote | None) -> Grant | None:
    """Return the rejection that follows from a vote; None if another send is under way."""
    match vote:
        case Vote.REFUSED:
            return Grant(may_send=False, retry_after=MAX_RETENTION_SECONDS)
        case Vote.TAKEN:
            return None
        case _:
            return Grant(may_send=False, retry_after=ISOLATED_RETRY_SECONDS)
