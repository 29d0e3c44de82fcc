"""A planned stop of a node: it serves for a while, and answers what it can no longer serve."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Collection
from typing import Protocol

from hillstack.core.planned_stop import PlannedStop
from hillstack.daemon.connection_limiter import (
    CallerConnection,
    close_idle_connections,
    has_unsent_bytes,
)

logger = logging.getLogger(__name__)

# Interval of the check whether the last request is answered.
CHECK_SECONDS = 0.05
# Longest wait for the last answers to be sent once no request is served any more: several times the
# transmission of a full buffer (64 KiB) over the slowest link of known machines (10 Mbit/s).
SEND_SECONDS = 0.25
SEND_CHECK_SECONDS = 0.01


class Requests(Protocol):
    """The requests of a node."""

    @property
    def active(self) -> int:
        """Requests being served."""
        ...

    @property
    def waiting(self) -> int:
        """Requests being served whose answer has not begun."""
        ...

    def stop_accepting(self) -> None:
        """Reject all further requests."""
        ...

    def end_waiting(self) -> None:
        """Answer all requests whose answer has not begun."""
        ...


class Relay(Protocol):
    """The connections that a node relays for its peers."""

    @property
    def open_count(self) -> int:
        """Relayed connections that are open."""
        ...

    def stop_accepting(self) -> None:
        """Relay no further connections."""
        ...


class NodeStop:
    """Carries out a planned stop.

    Args:
        requests: The requests of the node.
        relay: The connections that the node relays.
        connections: Returns the open connections of callers.
        release_duties: Releases the node's leases.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        requests: Requests,
        relay: Relay,
        connections: Callable[[], Collection[CallerConnection]],
        release_duties: Callable[[], Awaitable[object]],
        clock: Callable[[], float],
    ) -> None:
        self._requests = requests
        self._relay = relay
        self._connections = connections
        self._release_duties = release_duties
        self._clock = clock

    async def run(self, grace_seconds: float) -> None:
        """Serve until all requests are answered, or until shortly before the grace period ends.

        Requests whose answer has not begun by then are answered with an error: the connections of
        their callers end with the process.
        """
        logger.info("stopping", extra={"active": self._requests.active})
        self._relay.stop_accepting()
        await self._serve(PlannedStop(grace_seconds))
        self._requests.stop_accepting()
        waiting = self._requests.waiting
        await asyncio.gather(self._release_duties(), self._send_answers())
        fields = {"active": self._requests.active, "ended_waiting": waiting}
        logger.info("drained", extra=fields)

    async def _serve(self, stop: PlannedStop) -> None:
        started_at = self._clock()
        elapsed = 0.0
        while not stop.is_over(elapsed, self._requests.active + self._relay.open_count):
            if not stop.accepts(elapsed):
                self._requests.stop_accepting()
            also_unused = stop.closes_unused(elapsed)
            close_idle_connections(self._connections(), also_unused=also_unused)
            await asyncio.sleep(CHECK_SECONDS)
            elapsed = self._clock() - started_at

    async def _send_answers(self) -> None:
        """End the requests without an answer, and wait until all answers are sent.

        What is still buffered when the process ends is lost.
        """
        latest = self._clock() + SEND_SECONDS
        while self._clock() < latest:
            if not self._requests.waiting and not has_unsent_bytes(self._connections()):
                return
            # A step that a request takes meanwhile may extend its time limit again.
            self._requests.end_waiting()
            await asyncio.sleep(SEND_CHECK_SECONDS)
