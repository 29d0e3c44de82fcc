"""Polls the machine list and the back ends, and subscribes to the cache events of engines."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from hillstack.core.cache_index import CacheIndex
from hillstack.core.fleet import Backend, Fleet
from hillstack.daemon.ports import Environment
from hillstack.errors import BackendError, PeerError, PlatformError
from hillstack.logs import error_fields
from hillstack.messages.types import BackendKind, Machine, MachineListReply, MachineListRequest

logger = logging.getLogger(__name__)

PEER_TIMEOUT_SECONDS = 2.0


class BackendWatch:
    """Keeps the fleet and the cache index up to date.

    Args:
        fleet: Back ends and their load.
        index: Estimated contents of the engines' caches.
        environment: Access to the machine list, back ends, cache events, peers and clock.
        machine_interval: Mean seconds between reads of the machine list.
        load_interval: Mean seconds between reads of the status and load of one back end.
        choose_peer: Returns the address of another node, or None if no other node is known.
    """

    def __init__(
        self,
        fleet: Fleet,
        index: CacheIndex,
        environment: Environment,
        machine_interval: float,
        load_interval: float,
        choose_peer: Callable[[], str | None],
    ) -> None:
        self._fleet = fleet
        self._index = index
        self._environment = environment
        self._machine_interval = machine_interval
        self._load_interval = load_interval
        self._choose_peer = choose_peer
        self._read_at: float | None = None
        self._pollers: dict[str, asyncio.Task[None]] = {}
        self._subscribers: dict[str, tuple[str, asyncio.Task[None]]] = {}

    async def run(self) -> None:
        """Poll the machine list and all back ends until cancelled."""
        try:
            while True:
                await self.read_machines()
                await asyncio.sleep(self._machine_interval * (0.5 + self._environment.rng.random()))
        finally:
            tasks = [*self._pollers.values(), *(task for _, task in self._subscribers.values())]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def read_machines(self) -> None:
        """Read the machine list once, from the platform or, if that fails, from another node.

        If neither answers, the last list stays in use, so that an outage of the platform does not
        remove back ends.
        """
        try:
            self._apply(await self._environment.fetch_machines(), age=0.0)
        except PlatformError as error:
            logger.debug("could not read the machine list", extra=error_fields(error))
            await self._read_from_peer()

    def machine_list(self) -> MachineListReply | None:
        """Return the current machine list and its age; None before the first successful read."""
        if self._read_at is None:
            return None
        machines = tuple(backend.machine for backend in self._fleet.all())
        return MachineListReply(machines, self._environment.clock() - self._read_at)

    async def _read_from_peer(self) -> None:
        address = self._choose_peer()
        if address is None:
            return
        try:
            reply = await self._environment.peers.call(
                address, MachineListRequest(), PEER_TIMEOUT_SECONDS
            )
        except PeerError as error:
            logger.debug("could not read the machine list from a peer", extra=error_fields(error))
            return
        if isinstance(reply, MachineListReply):
            self._apply(list(reply.machines), reply.age)

    def _apply(self, machines: list[Machine], age: float) -> None:
        read_at = self._environment.clock() - age
        if self._read_at is not None and read_at <= self._read_at:
            return
        self._read_at = read_at
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
        self._index.remove(machine_id)

    async def _poll(self, machine_id: str) -> None:
        while True:
            backend = self._fleet.get(machine_id)
            if backend is None:
                return
            try:
                await self._read_backend(backend)
            except BackendError as error:
                self._fleet.observe_failure(machine_id, self._environment.clock())
                logger.info("could not read back end", extra=error_fields(error))
            await asyncio.sleep(self._load_interval * (0.5 + self._environment.rng.random()))

    async def _read_backend(self, backend: Backend) -> None:
        machine = backend.machine
        status = await self._environment.backends.fetch_status(machine.address)
        self._fleet.observe_status(
            machine.machine_id, status.incarnation, status.weights_version, status.draining
        )
        if machine.kind is not BackendKind.ENGINE:
            return
        if self._index.observe_incarnation(machine.machine_id, status.incarnation):
            logger.info("engine has a new incarnation", extra={"peer": machine.machine_id})
        self._subscribe(backend, status.incarnation)
        report = await self._environment.backends.fetch_load(machine.address)
        self._fleet.observe_load(machine.machine_id, report, self._environment.clock())

    def _subscribe(self, backend: Backend, incarnation: str) -> None:
        machine = backend.machine
        known = self._subscribers.get(machine.machine_id)
        if known is not None and known[0] == incarnation and not known[1].done():
            return
        self._unsubscribe(machine.machine_id)
        events = self._environment.cache_events
        task = asyncio.create_task(events.follow(machine, incarnation))
        self._subscribers[machine.machine_id] = (incarnation, task)

    def _unsubscribe(self, machine_id: str) -> None:
        known = self._subscribers.pop(machine_id, None)
        if known is not None:
            known[1].cancel()
