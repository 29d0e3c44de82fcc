"""Keeps a node able to take connections from callers.

Each connection takes a descriptor of the process, and when none is left the system hands over no
further one: callers wait in the backlog of a node that still says it is ready. So connections that
rest are closed before that, and readiness is taken back while none can be taken.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection
from typing import Any

logger = logging.getLogger(__name__)

# Kept for files by the platform, and what a node has open besides connections of callers and those
# for their requests: listeners, datagrams, the store, questions to 45 runners at once.
RESERVED_DESCRIPTORS = 300
# Each request that is served may hold a connection of its caller and one to a runner.
DESCRIPTORS_PER_CALLER = 2
# Resting connections are closed down to that share of the most, so that not each new one costs an
# old one.
LOW_SHARE = 0.9
# The event loop takes no connections for a second after it could not, then tries again; the
# question about readiness comes each second.
EXHAUSTED_SECONDS = 1.5


# A connection of the HTTP server. Its ``cycle`` is its latest request, None before the first; its
# ``shutdown`` closes it, after its answer if it has a request.
CallerConnection = Any


def most_callers(descriptors: int) -> int:
    """Return how many connections of callers fit into a limit of descriptors."""
    return max(1, (descriptors - RESERVED_DESCRIPTORS) // DESCRIPTORS_PER_CALLER)


class CallerRoom:
    """Watches how many connections callers have open.

    Args:
        most: How many may be open.
        connections: Returns those that are.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        most: int,
        connections: Callable[[], Collection[CallerConnection]],
        clock: Callable[[], float],
    ) -> None:
        self._most = most
        self._connections = connections
        self._clock = clock
        self._exhausted_until = float("-inf")

    def is_full(self) -> bool:
        """Return whether connections should end after their answer."""
        return len(self._connections()) > self._most

    def can_accept(self) -> bool:
        """Return whether further connections can be taken, closing resting ones beyond the most."""
        if self.is_full():
            self._end_resting(len(self._connections()) - int(self._most * LOW_SHARE))
        return not self.is_full() and self._clock() >= self._exhausted_until

    def note_exhausted(self) -> None:
        """Note that a connection could not be taken for want of descriptors, and make room."""
        now = self._clock()
        if now < self._exhausted_until:
            return
        self._exhausted_until = now + EXHAUSTED_SECONDS
        ended = self._end_resting(len(self._connections()))
        fields = {"connections": len(self._connections()), "ended": ended}
        logger.warning("callers can't be taken: no descriptors are left", extra=fields)

    def _end_resting(self, count: int) -> int:
        """Close up to so many connections that have had their answer; return how many."""
        resting = [each for each in self._connections() if is_resting(each)]
        for connection in resting[:count]:
            connection.shutdown()
        return len(resting[:count])


def is_resting(connection: CallerConnection) -> bool:
    """Return whether a connection has had its answer and no further request."""
    cycle = getattr(connection, "cycle", None)
    return cycle is not None and bool(cycle.response_complete)


def end_idle_connections(connections: Collection[CallerConnection], *, also_unused: bool) -> None:
    """Close connections that have had their answer; callers then reach another node.

    Args:
        connections: The connections; those with a request end after its answer.
        also_unused: Whether connections without any request yet are closed too.
    """
    for connection in list(connections):
        if getattr(connection, "cycle", None) is not None or also_unused:
            connection.shutdown()
