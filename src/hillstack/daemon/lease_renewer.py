"""Renews the lease on a duty, or acquires it when it is this node's turn and nobody holds it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from hillstack.daemon.duty_lease import DutyLease
from hillstack.errors import PlatformError, PlatformUnavailableError
from hillstack.logs import error_fields
from hillstack.serving.fleet_state import FleetState

logger = logging.getLogger(__name__)

# Pause between renewals. The holder uses a lease of 2 s for only 1.5 s (``duty_lease``), which is
# enough for three renewals that are refused, or for one whose answer is lost.
RENEW_SECONDS = 0.4
# Pause after a renewal whose answer was lost, which has already used 0.5 s of the lease.
RENEW_RETRY_SECONDS = 0.1
# Pause after a renewal that the store refused, since the next one will usually be refused too.
RENEW_REFUSED_SECONDS = 0.3
# Random delay that spreads the attempts of nodes whose turns begin at the same time.
ACQUIRE_JITTER_SECONDS = 0.25
# Delay between the moments from which one node after another may try to acquire a free duty, so
# that not hundreds of nodes call the store at once. The name of the new holder reaches the other
# nodes within two polls of the store (1 s each in the largest deployment), so about four nodes may
# try before they know it.
ACQUIRE_SLOT_SECONDS = 0.5
# Place of the latest holder of a duty: after a few others, but not after hundreds of nodes that may
# all have failed.
LATEST_HOLDER_PLACE = 4
# Timeout for releasing a lease, which is one call: the time of two at the store's usual speed. A
# planned stop has 0.7 s
# before the process is killed, and a lease that was not released expires within 2 s.
RELEASE_TIMEOUT_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class Candidacy:
    """What a node knows about a duty and about itself as the next holder.

    Attributes:
        is_free: Returns whether the duty is needed and, as far as this node knows, nobody holds it.
        holder: Returns the node that holds the duty, as far as this node knows.
        may_work_from: Returns the time from which this node may do the work of the duty. The node
            does not acquire it earlier: a holder that may not work keeps the others from working.
        delay: Returns for how many seconds this node lets others go first, in addition to its
            place in the order.
    """

    is_free: Callable[[], bool]
    holder: Callable[[], str | None]
    may_work_from: Callable[[], float] = lambda: float("-inf")
    delay: Callable[[], float] = lambda: 0.0


class AcquireSlot:
    """The time, after a duty became free, from which this node may try to acquire it.

    The slot has no end: the nodes whose turn came earlier may still try. The latest holder comes
    last: whatever made it lose the duty may happen again, as to a process that crashes repeatedly.

    Args:
        state: The node's view of the fleet.
        candidacy: The duty, and this node as its next holder.
        clock: Monotonic seconds.
        rng: Source of randomness.
    """

    def __init__(
        self,
        state: FleetState,
        candidacy: Candidacy,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._state = state
        self._candidacy = candidacy
        self._clock = clock
        self._rng = rng
        self._free_since: float | None = None
        self._latest_holder: str | None = None

    async def has_begun(self) -> bool:
        """Return whether this node may try to acquire the duty now."""
        candidacy = self._candidacy
        self._latest_holder = candidacy.holder() or self._latest_holder
        if not candidacy.is_free():
            self._free_since = None
            return False
        now = self._clock()
        self._free_since = now if self._free_since is None else self._free_since
        turn_began_at = max(self._free_since, candidacy.may_work_from())
        if now - turn_began_at < self._wait():
            return False
        await asyncio.sleep(ACQUIRE_JITTER_SECONDS * self._rng.random())
        return candidacy.is_free()

    def _wait(self) -> float:
        """Return how long the duty must be free before this node tries to acquire it."""
        return ACQUIRE_SLOT_SECONDS * self._place() + self._candidacy.delay()

    def _place(self) -> int:
        """Return how many nodes may try to acquire the duty before this one."""
        node_id = self._state.node_id
        others_first = [
            each for each in self._state.nodes.relay_order(None) if each != self._latest_holder
        ]
        if node_id in others_first:
            return others_first.index(node_id)
        if node_id == self._latest_holder:
            return min(LATEST_HOLDER_PLACE, len(others_first))
        return len(others_first)


class LeaseRenewer:
    """The loop that acquires and renews the lease on a duty.

    Args:
        lease: The lease on the duty.
        slot: When this node may try to acquire the lease.
        note_held: Called with whether the lease is held, in each iteration except after a failed
            call that leaves the lease as it was.
    """

    def __init__(
        self, lease: DutyLease, slot: AcquireSlot, note_held: Callable[[bool], None]
    ) -> None:
        self._lease = lease
        self._slot = slot
        self._note_held = note_held
        self._stopping = False

    async def run(self) -> None:
        """Renew the lease, or try to acquire it while nobody holds it, until cancelled."""
        pause = RENEW_SECONDS
        while True:
            await asyncio.sleep(pause)
            pause = RENEW_SECONDS
            held = self._lease.fence() is not None
            if not held and (self._stopping or not await self._slot.has_begun()):
                self._note_held(False)
                continue
            try:
                await self._lease.renew_or_acquire()
            except PlatformError as error:
                logger.info("duty lease not renewed", extra=error_fields(error))
                pause = renewal_pause(error)
                if held and self._lease.fence() is None:
                    self._note_held(False)
                continue
            self._note_held(self._lease.fence() is not None)

    def stop_acquiring(self) -> None:
        """Stop trying to acquire the duty; a lease that is already held is still renewed."""
        self._stopping = True

    async def release_on_stop(self) -> None:
        """Release the lease before a planned stop, so that another node can acquire it."""
        self._stopping = True
        await self.release()

    async def release(self) -> None:
        """Release the lease, so that another node can acquire it; this node may acquire it again.

        If the store does not answer, the lease is left to expire and is not used until then.
        """
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_SECONDS):
                await self._lease.release()
        except PlatformError as error:
            logger.info("duty lease not released, left to expire", extra=error_fields(error))
        except TimeoutError:
            fields = {"step": "hand over", "waited_seconds": RELEASE_TIMEOUT_SECONDS}
            logger.info("duty lease not released, left to expire", extra=fields)


def renewal_pause(error: PlatformError) -> float:
    """Return the pause before the next renewal after a failed one.

    After a lost answer the pause is short, since the lease is running out and the loss may be an
    isolated one. After a refusal the pause is longer, since the store will probably refuse the next
    call as well and each call has a cost.
    """
    if isinstance(error, PlatformUnavailableError):
        return RENEW_REFUSED_SECONDS
    return RENEW_RETRY_SECONDS
