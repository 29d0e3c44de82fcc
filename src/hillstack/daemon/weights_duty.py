"""The duty of ordering engines to load weights, performed by the node that holds its lease."""

from __future__ import annotations

import asyncio
import logging

from hillstack.core.control import ControlState
from hillstack.core.fleet import Fleet
from hillstack.core.rendezvous import ranked
from hillstack.core.weights import LoadOrder, next_orders
from hillstack.daemon.duty_lease import DutyLease
from hillstack.daemon.ports import Environment
from hillstack.errors import BackendError, PlatformError
from hillstack.logs import error_fields

logger = logging.getLogger(__name__)

WEIGHTS_DUTY_KEY = "/hillstack/duties/weights"
LEASE_SECONDS = 6
INTERVAL_SECONDS = 1.0
CANDIDATES = 3


class WeightsDuty:
    """Orders engines to load the weights of the bundle in force, while the lease is held."""

    def __init__(self, control: ControlState, fleet: Fleet, environment: Environment) -> None:
        self._control = control
        self._fleet = fleet
        self._environment = environment
        own = control.membership.own
        self._lease = DutyLease(
            environment.key_value, WEIGHTS_DUTY_KEY, own.node_id, LEASE_SECONDS, environment.clock
        )
        self._in_progress: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Try to hold the lease, and give orders while it is held, until cancelled."""
        while True:
            pause = INTERVAL_SECONDS * (0.75 + 0.5 * self._environment.rng.random())
            await asyncio.sleep(pause)
            if not self._is_candidate():
                continue
            try:
                await self._lease.renew_or_acquire()
            except PlatformError as error:
                logger.debug("duty lease not renewed", extra=error_fields(error))
            self._give_orders()

    async def release_on_stop(self) -> None:
        """Release the duty before a planned stop."""
        try:
            await self._lease.release()
        except PlatformError as error:
            logger.info("duty lease not released, left to expire", extra=error_fields(error))

    def _is_candidate(self) -> bool:
        """Return whether this node is one of the few that try to acquire the duty."""
        membership = self._control.membership
        nodes = [member.node_id for member in membership.serving()]
        return membership.own.node_id in ranked(WEIGHTS_DUTY_KEY, nodes)[:CANDIDATES]

    def _give_orders(self) -> None:
        bundle, fence = self._control.bundle, self._lease.fence()
        if bundle is None or fence is None:
            return
        now = self._environment.clock()
        for order in next_orders(bundle, self._fleet, self._in_progress, now):
            task = asyncio.create_task(self._give(order, fence))
            self._in_progress[order.engine_id] = task

    async def _give(self, order: LoadOrder, fence: int) -> None:
        try:
            is_loaded = await self._environment.backends.order_weights_load(
                order.address, fence, order.weights_version
            )
            fields = {"peer": order.engine_id, "fence": fence, "version": order.weights_version}
            logger.info(
                "weights loaded" if is_loaded else "weights order refused by fence", extra=fields
            )
        except BackendError as error:
            logger.warning("weights order failed", extra=error_fields(error))
        finally:
            self._in_progress.pop(order.engine_id, None)
