"""A simulated network between simulated processes.

Datagrams may be lost, delayed, reordered and duplicated. Messages over connections are not lost: a
cut delays them until it ends. When a process is killed, its peers' open exchanges fail.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from hillstack.simulation.virtual_loop import Scheduler, VirtualLoop

LOCAL_DELAY_SECONDS = 0.0002
JITTER_SHARE = 0.3


class ConnectionRefused(Exception):
    """No process listens at the address."""


class ConnectionBroken(Exception):
    """The other process was killed during the exchange."""


@dataclass(slots=True, eq=False)
class SimProcess:
    """A simulated process: an event loop, a zone and an address.

    Attributes:
        exchanges: Futures of other processes that wait for an answer of this process.
    """

    name: str
    zone: str
    address: str
    loop: VirtualLoop
    on_datagram: Callable[[Any, str], None] | None = None
    on_call: Callable[[Any, str], Awaitable[Any]] | None = None
    # A dict, because it keeps insertion order: a set of futures is ordered differently in each run,
    # which would make runs with the same seed differ.
    exchanges: dict[asyncio.Future[Any], None] = field(default_factory=dict)

    @property
    def alive(self) -> bool:
        """Whether the process has not been killed."""
        return not self.loop.killed


@dataclass(slots=True)
class NetworkConditions:
    """The current behavior of the network.

    Attributes:
        zone_delay: One-way delay between zones in seconds.
        loss: Share of datagrams lost.
        duplication: Share of datagrams delivered twice.
        extra_delay: Upper bound of the random extra delay in seconds.
        cuts: Pairs of zones (sender, receiver) between which nothing is delivered.
    """

    zone_delay: float = 0.0015
    loss: float = 0.0
    duplication: float = 0.0
    extra_delay: float = 0.0
    cuts: set[tuple[str, str]] = field(default_factory=set)


class SimNetwork:
    """Delivers datagrams and calls between processes."""

    def __init__(self, scheduler: Scheduler, rng: Random) -> None:
        self.scheduler = scheduler
        self.conditions = NetworkConditions()
        self._rng = rng
        self._processes: dict[str, SimProcess] = {}

    def register(self, process: SimProcess) -> None:
        """Make a process reachable at its address."""
        self._processes[process.address] = process

    def kill(self, process: SimProcess) -> None:
        """Kill a process; exchanges that other processes have open with it fail."""
        if process.alive:
            self.scheduler.kill(process.loop)
        if self._processes.get(process.address) is process:
            del self._processes[process.address]
        for future in list(process.exchanges):
            self._fail_exchange(future, ConnectionBroken(f"{process.name} died"))
        process.exchanges.clear()

    def send_datagram(self, sender: SimProcess, address: str, message: Any) -> None:
        """Send a datagram, which may be lost, delayed or duplicated."""
        target = self._processes.get(address)
        if target is None or self._is_cut(sender, target):
            return
        if self._rng.random() < self.conditions.loss:
            return
        copies = 2 if self._rng.random() < self.conditions.duplication else 1
        for _ in range(copies):
            delay = self._delay(sender, target)
            self._deliver_datagram(target, message, sender.address, delay)

    async def call(self, sender: SimProcess, address: str, message: Any) -> Any:
        """Send a request over a connection and return the answer.

        Raises:
            ConnectionRefused: No process listens at the address.
            ConnectionBroken: The target was killed before it answered.
        """
        target = await self.connect(sender, address)
        future = self.open_exchange(sender, target)

        def deliver() -> None:
            if target.on_call is not None:
                target.loop.create_task(self._serve(sender, target, message, future))

        self.transmit(sender, target, deliver)
        try:
            return await future
        finally:
            target.exchanges.pop(future, None)

    async def connect(self, sender: SimProcess, address: str) -> SimProcess:
        """Return the process at an address after a round trip; never returns across a cut.

        Raises:
            ConnectionRefused: No process listens at the address.
        """
        target = self._processes.get(address)
        if target is not None and self._is_cut(sender, target):
            await asyncio.get_running_loop().create_future()
        await asyncio.sleep(2 * self._path_delay(sender, target))
        target = self._processes.get(address)
        if target is None:
            raise ConnectionRefused(address)
        return target

    def open_exchange(self, sender: SimProcess, target: SimProcess) -> asyncio.Future[Any]:
        """Return a future on the sender's loop that fails if the target is killed."""
        future: asyncio.Future[Any] = sender.loop.create_future()
        target.exchanges[future] = None
        if not target.alive:
            self._fail_exchange(future, ConnectionBroken(f"{target.name} died"))
        return future

    def transmit(self, sender: SimProcess, target: SimProcess, deliver: Callable[[], None]) -> None:
        """Run ``deliver`` on the target's loop after the delay, and after any cut has ended."""
        delay = self._delay(sender, target)
        self._transmit_after(sender, target, deliver, delay)

    def _transmit_after(
        self, sender: SimProcess, target: SimProcess, deliver: Callable[[], None], delay: float
    ) -> None:
        def arrive() -> None:
            if self._is_cut(sender, target):
                # TCP retransmits until the cut is over.
                self._transmit_after(sender, target, deliver, 0.2)
            elif target.alive:
                target.loop.call_soon(deliver)

        self.scheduler.at(self.scheduler.now + delay, arrive)

    async def _serve(
        self, sender: SimProcess, target: SimProcess, message: Any, future: asyncio.Future[Any]
    ) -> None:
        assert target.on_call is not None
        try:
            answer = await target.on_call(message, sender.address)
        except Exception as error:  # any failure is passed on to the caller
            self._answer(sender, target, future, None, error)
        else:
            self._answer(sender, target, future, answer, None)

    def _answer(
        self,
        sender: SimProcess,
        target: SimProcess,
        future: asyncio.Future[Any],
        answer: Any,
        error: Exception | None,
    ) -> None:
        def deliver() -> None:
            if future.done():
                return
            if error is not None:
                future.set_exception(error)
            else:
                future.set_result(answer)

        self.transmit(target, sender, deliver)

    def _fail_exchange(self, future: asyncio.Future[Any], error: Exception) -> None:
        def deliver() -> None:
            if not future.done():
                future.set_exception(error)

        loop = future.get_loop()
        if isinstance(loop, VirtualLoop) and not loop.killed:
            loop.call_soon(deliver)

    def _deliver_datagram(
        self, target: SimProcess, message: Any, address: str, delay: float
    ) -> None:
        def arrive() -> None:
            if target.alive and target.on_datagram is not None:
                target.loop.call_soon(target.on_datagram, message, address)

        self.scheduler.at(self.scheduler.now + delay, arrive)

    def _delay(self, sender: SimProcess, target: SimProcess) -> float:
        jitter = 1.0 + JITTER_SHARE * self._rng.random()
        extra = self.conditions.extra_delay * self._rng.random()
        return self._path_delay(sender, target) * jitter + extra

    def _path_delay(self, sender: SimProcess, target: SimProcess | None) -> float:
        if target is None or sender.zone != target.zone:
            return self.conditions.zone_delay
        return LOCAL_DELAY_SECONDS

    def _is_cut(self, sender: SimProcess, target: SimProcess) -> bool:
        return (sender.zone, target.zone) in self.conditions.cuts
