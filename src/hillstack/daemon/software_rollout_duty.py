"""The duties of deciding software rollouts: one per service, each held by one node at a time."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Set
from random import Random
from typing import Protocol

from hillstack.daemon.duty_lease import DutyLease
from hillstack.daemon.key_value import LeaseStore
from hillstack.daemon.lease_renewer import AcquireSlot, Candidacy, LeaseRenewer
from hillstack.daemon.rollout_decider import Observations, RolloutDecider, RolloutStore
from hillstack.errors import PlatformError
from hillstack.logs import error_fields
from hillstack.serving.fleet_state import FleetState

logger = logging.getLogger(__name__)

# Interval of decisions: a twentieth of the time within which a bad version must be closed.
TICK_SECONDS = 0.25
# Interval of the check for new orders; adds to the delay of polling the store.
IDLE_SECONDS = 0.5
# How long a failed holder blocks a duty: a rollout of 12 s continues after about a fifth of its
# time.
LEASE_TTL_SECONDS = 2.0


class RolloutDutyStore(LeaseStore, RolloutStore, Protocol):
    """The store calls that the duties need."""


class SoftwareRolloutDuty:
    """Takes part in deciding all current rollouts.

    Args:
        state: The node's view of the fleet.
        store: Stores leases, records and statuses.
        duty_key: Returns the key of a service's duty.
        observations: The observations of all nodes.
        live_nodes: Returns the live nodes.
        apply_seconds: Time after which a change is assumed to be in force on silent nodes.
        clock: Monotonic seconds.
        rng: Source of randomness.
    """

    def __init__(
        self,
        state: FleetState,
        store: RolloutDutyStore,
        duty_key: Callable[[str], str],
        observations: Observations,
        live_nodes: Callable[[], Set[str]],
        apply_seconds: float,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._state = state
        self._store = store
        self._duty_key = duty_key
        self._observations = observations
        self._live_nodes = live_nodes
        self._apply_seconds = apply_seconds
        self._clock = clock
        self._rng = rng
        self._rollouts: dict[str, _ServiceRollout] = {}
        self._stopping = False

    async def run(self) -> None:
        """Check for orders and take part in deciding each of them, until cancelled."""
        try:
            while True:
                await asyncio.sleep(IDLE_SECONDS)
                for order in self._state.rollouts.orders():
                    self._rollout(order.service).begin()
        finally:
            for rollout in self._rollouts.values():
                rollout.cancel()

    def stop_acquiring(self) -> None:
        """Stop trying to acquire duties; leases that are already held are still renewed."""
        self._stopping = True
        for rollout in self._rollouts.values():
            rollout.lease_renewer.stop_acquiring()

    async def release_on_stop(self) -> None:
        """Release all duties before a planned stop."""
        self.stop_acquiring()
        held = [rollout for rollout in self._rollouts.values() if rollout.fence() is not None]
        await asyncio.gather(*(rollout.lease_renewer.release_on_stop() for rollout in held))

    def holds(self, service: str) -> bool:
        """Return whether this node decides the rollout of a service."""
        rollout = self._rollouts.get(service)
        return rollout is not None and rollout.fence() is not None

    def _rollout(self, service: str) -> _ServiceRollout:
        existing = self._rollouts.get(service)
        if existing is not None:
            return existing
        lease = DutyLease(
            self._store,
            self._duty_key(service),
            self._state.node_id,
            LEASE_TTL_SECONDS,
            self._clock,
        )
        decider = RolloutDecider(
            service,
            self._state,
            self._store,
            self._observations,
            self._live_nodes,
            self._apply_seconds,
            self._clock,
        )
        rollout = _ServiceRollout(service, self._state, lease, decider, self._clock, self._rng)
        if self._stopping:
            rollout.lease_renewer.stop_acquiring()
        self._rollouts[service] = rollout
        return rollout


class _ServiceRollout:
    """The rollout duty of one service: its lease, and its decisions while the lease is held."""

    def __init__(
        self,
        service: str,
        state: FleetState,
        lease: DutyLease,
        decider: RolloutDecider,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._service = service
        self._state = state
        self._lease = lease
        self._decider = decider
        self._was_held = False
        candidacy = Candidacy(self._is_free, lambda: state.rollout_deciders.get(service))
        slot = AcquireSlot(state, candidacy, clock, rng)
        self.lease_renewer = LeaseRenewer(lease, slot, self._note_held)
        self._task: asyncio.Task[None] | None = None

    def fence(self) -> int | None:
        """Return the fence while the duty is held; else None."""
        return self._lease.fence()

    def begin(self) -> None:
        """Start to take part, unless already started or nothing is left to decide."""
        if self._task is None or self._task.done():
            if not self._decider.has_undecided_order():
                return
            self._task = asyncio.create_task(self._take_part())
            self._task.add_done_callback(self._log_failure)

    def cancel(self) -> None:
        """Stop taking part."""
        if self._task is not None:
            self._task.cancel()

    async def _take_part(self) -> None:
        """Observe the rollout, and decide while the duty is held, until decided or withdrawn."""
        renewal = asyncio.create_task(self.lease_renewer.run())
        renewal.add_done_callback(self._log_failure)
        try:
            while self._decider.has_undecided_order() and not renewal.done():
                view = self._decider.observe()
                key_revision = self._lease.key_revision()
                if view is not None and key_revision is not None:
                    await self._decider.advance(view, key_revision)
                await asyncio.sleep(TICK_SECONDS)
            self._decider.observe()
        finally:
            renewal.cancel()
        await self._release()

    async def _release(self) -> None:
        """Release the lease, so that no node has to wait for it when the next order arrives."""
        try:
            await self._lease.release()
        except PlatformError as error:
            fields = error_fields(error) | {"service": self._service}
            logger.info("rollout duty not released, left to expire", extra=fields)
        self._note_held(False)

    def _is_free(self) -> bool:
        if not self._state.duty_known or not self._decider.has_undecided_order():
            return False
        return self._state.rollout_deciders.get(self._service) is None

    def _note_held(self, held: bool) -> None:
        if held is self._was_held:
            return
        self._was_held = held
        if held:
            self._state.rollout_deciders[self._service] = self._state.node_id
        elif self._state.rollout_deciders.get(self._service) == self._state.node_id:
            # The store reports the next holder.
            self._state.rollout_deciders[self._service] = None
        fields = {"service": self._service, "fence": self._lease.fence()}
        logger.info("rollout duty held" if held else "rollout duty lost", extra=fields)

    def _log_failure(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            fields = {"service": self._service}
            logger.error("rollout task failed", exc_info=task.exception(), extra=fields)
