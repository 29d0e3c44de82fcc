"""Opens connections to runners: directly, or through a peer if this node cannot reach the runner.

No byte of a request is sent before a connection is open, so trying a second route costs no attempt
and no retry budget, and a request still runs at most once.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from random import Random
from typing import Generic, Protocol, TypeVar

from hillstack.core.runner_paths import RunnerPaths
from hillstack.daemon.reach_exchange import ReachExchange
from hillstack.daemon.relay_targets import RelayTargets
from hillstack.daemon.relayed_link import RelayRoute
from hillstack.errors import RelayError
from hillstack.logs import error_fields
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.metrics import FleetMetrics

logger = logging.getLogger(__name__)

Connection = TypeVar("Connection")

# If a direct connection is not open after this time, a relay is tried beside it: several times the
# usual time to connect, also to another region.
RELAY_DELAY_SECONDS = 0.1
# Relays tried for one connection.
MAX_RELAYS = 3
# While a path is lost, relays are asked again after this time.
FRESH_ANSWER_SECONDS = 1.0
# The first probe of a lost path; spread, since the paths to all runners are usually lost together.
PROBE_SECONDS = (0.3, 0.6)


class LostPathHandler(Protocol):
    """Receives the paths that are found lost, and the addresses that were not reached at all."""

    def handle_lost(self, address: str, cause: str, relay_id: str) -> None:
        """Handle that a peer reaches an address which this node does not reach."""
        ...

    def handle_unreached(self, address: str) -> None:
        """Handle that no connection to an address opened, directly or through a peer."""
        ...


class PathDialer(Generic[Connection]):
    """Opens connections.

    Args:
        state: State of this node.
        paths: Which paths are lost, and which peers may relay.
        targets: Names runners in messages.
        reach: Asks peers which runners they reach.
        metrics: Counts relayed connections.
        clock: Monotonic seconds.
        rng: Spreads probes.
    """

    def __init__(
        self,
        state: FleetState,
        paths: RunnerPaths,
        targets: RelayTargets,
        reach: ReachExchange,
        metrics: FleetMetrics,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._state = state
        self._paths = paths
        self._targets = targets
        self._reach = reach
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._handlers: list[LostPathHandler] = []
        self._background: set[asyncio.Task[None]] = set()

    def handle_lost_paths(self, handler: LostPathHandler) -> None:
        """Add a handler for paths that are found lost."""
        self._handlers.append(handler)

    async def dial(
        self,
        address: str,
        direct: Callable[[], Awaitable[Connection]],
        relayed: Callable[[RelayRoute], Awaitable[Connection]],
        close: Callable[[Connection], None],
    ) -> Connection:
        """Open a connection to a runner.

        Args:
            address: Address of the runner.
            direct: Opens a direct connection; raises the error of its library on failure.
            relayed: Opens a connection through a peer; raises ``RelayError``.
            close: Closes a connection that is not used.

        Returns:
            The connection that was open first; a relayed one first if the path is lost.
        """
        try:
            return await self._dial(address, direct, relayed, close)
        except Exception:
            for handler in self._handlers:
                handler.handle_unreached(address)
            raise

    async def _dial(
        self,
        address: str,
        direct: Callable[[], Awaitable[Connection]],
        relayed: Callable[[RelayRoute], Awaitable[Connection]],
        close: Callable[[Connection], None],
    ) -> Connection:
        self._paths.note_use(address, self._clock())
        if self._paths.is_lost(address):
            try:
                _, connection = await self._dial_relays(address, relayed)
            except RelayError:
                # No peer reaches the runner any more, so the path is as good as any other.
                self._paths.restore(address)
                return await direct()
            return connection
        dialing = asyncio.ensure_future(direct())
        try:
            await asyncio.wait({dialing}, timeout=RELAY_DELAY_SECONDS)
            if dialing.done() and dialing.exception() is None:
                return dialing.result()
            return await self._race(address, dialing, relayed, close)
        except BaseException:
            _discard(dialing, close)
            raise

    async def _race(
        self,
        address: str,
        dialing: asyncio.Future[Connection],
        relayed: Callable[[RelayRoute], Awaitable[Connection]],
        close: Callable[[Connection], None],
    ) -> Connection:
        """Return the direct connection or a relayed one, whichever opens first.

        Raises:
            Exception: The error of the direct connection, if both fail.
        """
        relaying = asyncio.ensure_future(self._dial_relays(address, relayed))
        try:
            waiting = {each for each in (dialing, relaying) if not each.done()}
            while waiting:
                _, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
                if _has_succeeded(dialing):
                    _discard(relaying, lambda opened: close(opened[1]))
                    return dialing.result()
                if _has_succeeded(relaying):
                    relay_id, connection = relaying.result()
                    self._judge_later(address, relay_id, dialing, close)
                    return connection
        except BaseException:
            _discard(relaying, lambda opened: close(opened[1]))
            raise
        # Metrics count the failed relays; the caller handles the error of the direct connection.
        relaying.exception()
        return dialing.result()

    def _judge_later(
        self,
        address: str,
        relay_id: str,
        dialing: asyncio.Future[Connection],
        close: Callable[[Connection], None],
    ) -> None:
        """Mark the path lost once the direct connection has failed too."""

        async def judge() -> None:
            await asyncio.wait({dialing})
            if dialing.cancelled():
                return
            if dialing.exception() is None:
                close(dialing.result())
            else:
                self.mark_lost(address, f"connect: {dialing.exception()}", relay_id)

        task = asyncio.get_running_loop().create_task(judge())
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def mark_lost(self, address: str, cause: str, relay_id: str) -> None:
        """Record that a peer reaches an address which this node does not reach."""
        probe_after = self._rng.uniform(*PROBE_SECONDS)
        if self._paths.mark_lost(address, self._clock(), probe_after):
            for handler in self._handlers:
                handler.handle_lost(address, cause, relay_id)

    async def _dial_relays(
        self, address: str, relayed: Callable[[RelayRoute], Awaitable[Connection]]
    ) -> tuple[str, Connection]:
        """Open a connection through a peer; return the peer and the connection.

        Raises:
            RelayError: No peer relayed the connection.
        """
        tried: set[str] = set()
        # Once a path is lost, a peer has reached the runner: all are asked again, also those that
        # failed lately.
        for is_last in (False, True) if self._paths.is_lost(address) else (False,):
            max_age = 0.0 if is_last else FRESH_ANSWER_SECONDS
            for route in await self.routes(address, max_age, with_paused=is_last):
                if route.node_id in tried:
                    continue
                tried.add(route.node_id)
                connection = await self._try_relay(route, relayed)
                if connection is not None:
                    return route.node_id, connection
        raise RelayError("no peer relays a connection", step="relay", peer=address)

    async def _try_relay(
        self, route: RelayRoute, relayed: Callable[[RelayRoute], Awaitable[Connection]]
    ) -> Connection | None:
        """Return a connection through a peer; None if the peer does not open one."""
        address = route.target_address
        try:
            connection = await relayed(route)
        except RelayError as error:
            logger.info("connection not relayed", extra=error_fields(error))
            self._metrics.dials.labels("relay failed").inc()
            self._paths.pause_relay(route.node_id, address, self._clock())
            return None
        self._metrics.dials.labels("relayed").inc()
        self._paths.note_relay(route.node_id, address)
        return connection

    async def routes(
        self, address: str, max_age: float, *, with_paused: bool = False
    ) -> list[RelayRoute]:
        """Return the routes through peers to an address, the best first.

        Args:
            address: The address.
            max_age: Peers are asked first if none has answered within this many seconds.
            with_paused: Whether peers that failed as relays lately are included.
        """
        if self._paths.needs_answers(address, self._clock(), max_age):
            await self._reach.ask([address])
        target_id = self._targets.target_id(address)
        if target_id is None:
            return []
        relays = self._paths.relays(address, self._clock(), with_paused=with_paused)
        found = (self._state.nodes.get(node_id) for node_id in relays)
        nodes = [node for node in found if node is not None]
        return [
            RelayRoute(node.node_id, node.address, target_id, address)
            for node in nodes[:MAX_RELAYS]
        ]


def _has_succeeded(future: asyncio.Future[Connection]) -> bool:
    return future.done() and not future.cancelled() and future.exception() is None


def _discard(future: asyncio.Future[Connection], close: Callable[[Connection], None]) -> None:
    """Cancel a future, or close the connection that it has opened."""
    if not future.done():
        future.cancel()
    elif _has_succeeded(future):
        close(future.result())
