"""Watches back ends: machine list, status, load and cache events."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random

import aiohttp
import zmq.asyncio

from hillstack.backends.cache_events import CacheEventSubscriber
from hillstack.backends.status import fetch_load, fetch_status
from hillstack.core.cache_index import CacheIndex
from hillstack.core.fleet import Backend, BackendKind, Fleet
from hillstack.errors import BackendError, PlatformError
from hillstack.logs import error_fields
from hillstack.platform.machine_list import fetch_machines

logger = logging.getLogger(__name__)

POLL_TIMEOUT_SECONDS = 2.0


class BackendWatch:
    """Keeps fleet and cache index up to date.

    Args:
        fleet: Back ends and their load.
        index: Cache beliefs.
        session: HTTP session for status and load pages.
        machine_list: Address of the machine list.
        machine_interval: Seconds between reads of the list.
        load_interval: Seconds between reads of a status and load page.
        clock: Monotonic seconds.
        rng: Source of randomness.
    """

    def __init__(
        self,
        fleet: Fleet,
        index: CacheIndex,
        session: aiohttp.ClientSession,
        machine_list: str,
        machine_interval: float,
        load_interval: float,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._fleet = fleet
        self._index = index
        self._session = session
        self._machine_list = machine_list
        self._machine_interval = machine_interval
        self._load_interval = load_interval
        self._clock = clock
        self._rng = rng
        self._context = zmq.asyncio.Context()
        self._pollers: dict[str, asyncio.Task[None]] = {}
        self._subscribers: dict[str, tuple[str, asyncio.Task[None]]] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        try:
            while True:
                await self._read_machines()
                await asyncio.sleep(self._machine_interval * (0.5 + self._rng.random()))
        finally:
            tasks = [*self._pollers.values(), *(task for _, task in self._subscribers.values())]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._context.destroy(linger=0)

    async def _read_machines(self) -> None:
        try:
            machines = await fetch_machines(self._session, self._machine_list)
        except PlatformError as error:
            # The list in hand stays in use: an outage must not take back ends away.
            logger.debug("machine list not read", extra=error_fields(error))
            return
        for machine_id in self._fleet.update_machines(machines):
            self._stop_watching(machine_id)
        for machine in machines:
            poller = self._pollers.get(machine.machine_id)
            if poller is None or poller.done():
                task = asyncio.create_task(self._poll(machine.machine_id))
                self._pollers[machine.machine_id] = task

    def _stop_watching(self, machine_id: str) -> None:
        poller = self._pollers.pop(machine_id, None)
        if poller is not None:
            poller.cancel()
        self._unsubscribe(machine_id)
        self._index.forget(machine_id)

    async def _poll(self, machine_id: str) -> None:
        while True:
            backend = self._fleet.get(machine_id)
            if backend is None:
                return
            try:
                await self._read_backend(backend)
            except BackendError as error:
                self._fleet.observe_failure(machine_id, self._clock())
                logger.info("back end not read", extra=error_fields(error))
            await asyncio.sleep(self._load_interval * (0.5 + self._rng.random()))

    async def _read_backend(self, backend: Backend) -> None:
        machine = backend.machine
        status = await fetch_status(self._session, machine.address, POLL_TIMEOUT_SECONDS)
        self._fleet.observe_status(
            machine.machine_id, status.incarnation, status.weights_version, status.draining
        )
        if machine.kind is not BackendKind.ENGINE:
            return
        if self._index.observe_incarnation(machine.machine_id, status.incarnation):
            logger.info("engine incarnation", extra={"peer": machine.machine_id})
        self._subscribe(backend, status.incarnation)
        report = await fetch_load(self._session, machine.address, POLL_TIMEOUT_SECONDS)
        self._fleet.observe_load(machine.machine_id, report, self._clock())

    def _subscribe(self, backend: Backend, incarnation: str) -> None:
        machine = backend.machine
        known = self._subscribers.get(machine.machine_id)
        if known is not None and known[0] == incarnation and not known[1].done():
            return
        self._unsubscribe(machine.machine_id)
        subscriber = CacheEventSubscriber(
            machine.machine_id,
            incarnation,
            machine.events_address,
            machine.replay_address,
            self._index,
            self._context,
        )
        task = asyncio.create_task(subscriber.run())
        self._subscribers[machine.machine_id] = (incarnation, task)

    def _unsubscribe(self, machine_id: str) -> None:
        known = self._subscribers.pop(machine_id, None)
        if known is not None:
            known[1].cancel()
