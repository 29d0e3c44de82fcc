"""Bounds the open connections of callers, so that the node can accept new connections.

Each connection uses a file descriptor of the process. If no descriptor is left, the system accepts
no further connection, and callers wait in the backlog of a node that still reports that it is
ready. Idle connections are therefore closed before the descriptors run out, and the node reports
that it is not ready while it cannot accept connections.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection
from typing import Any

logger = logging.getLogger(__name__)

# Descriptors that the platform reserves for files, and those that a node uses besides connections
# of callers and the runner connections for their requests: listeners, datagram sockets, connections
# to the store, calls to 45 runners at once.
RESERVED_DESCRIPTORS = 300
# A request in progress may hold a connection from its caller and a connection to a runner.
DESCRIPTORS_PER_CALLER = 2
# Idle connections are closed down to this share of the maximum, so that a full node does not have
# to close one connection for each new one.
LOW_WATER_SHARE = 0.9
# After a failed accept the event loop pauses accepting for a second and then tries again. Readiness
# is queried every second.
EXHAUSTED_SECONDS = 1.5


# A connection of the HTTP server. ``cycle`` is its latest request, None before the first request.
# ``shutdown`` closes the connection, after the answer if a request is in progress.
CallerConnection = Any


def max_caller_connections(descriptors: int) -> int:
    """Return how many caller connections fit into a limit of file descriptors."""
    return max(1, (descriptors - RESERVED_DESCRIPTORS) // DESCRIPTORS_PER_CALLER)


class ConnectionLimiter:
    """Closes idle caller connections, and reports whether new connections can be accepted.

    Args:
        max_connections: How many caller connections may be open.
        connections: Returns the open caller connections.
        clock: Monotonic seconds.
        relayed_count: Returns the number of connections that this node relays for others; each
            takes as many descriptors as one of a caller.
    """

    def __init__(
        self,
        max_connections: int,
        connections: Callable[[], Collection[CallerConnection]],
        clock: Callable[[], float],
        relayed_count: Callable[[], int] = lambda: 0,
    ) -> None:
        self._relayed_count = relayed_count
        self._max_connections = max_connections
        self._connections = connections
        self._clock = clock
        self._exhausted_until = float("-inf")

    def is_full(self) -> bool:
        """Return whether connections should be closed after their answer."""
        return self._open_count() > self._max_connections

    def can_accept(self) -> bool:
        """Return whether connections can be accepted; close idle ones if too many are open.

        Connections that have had no request yet are not closed.
        """
        if self.is_full():
            self._close_idle(self._open_count() - int(self._max_connections * LOW_WATER_SHARE))
        return not self.is_full() and self._clock() >= self._exhausted_until

    def _open_count(self) -> int:
        return len(self._connections()) + self._relayed_count()

    def note_exhausted(self) -> None:
        """Record that no descriptor was left to accept a connection, and close idle connections."""
        now = self._clock()
        if now < self._exhausted_until:
            return
        self._exhausted_until = now + EXHAUSTED_SECONDS
        ended = self._close_idle(len(self._connections()))
        fields = {"connections": len(self._connections()), "ended": ended}
        logger.warning("callers can't be taken: no descriptors are left", extra=fields)

    def _close_idle(self, count: int) -> int:
        """Close up to ``count`` idle connections; return how many were closed."""
        idle = [each for each in self._connections() if is_idle(each)]
        for connection in idle[:count]:
            connection.shutdown()
        return len(idle[:count])


def is_idle(connection: CallerConnection) -> bool:
    """Return whether a connection's last request is answered and no other has begun.

    A connection that has had no request yet is not idle.
    """
    cycle = getattr(connection, "cycle", None)
    return cycle is not None and bool(cycle.response_complete)


def close_idle_connections(connections: Collection[CallerConnection], *, also_unused: bool) -> None:
    """Close connections after their answer, so that their callers connect to another node.

    Args:
        connections: The connections; a connection with a request in progress closes after its
            answer.
        also_unused: Whether connections that have had no request yet are closed too.
    """
    for connection in list(connections):
        if getattr(connection, "cycle", None) is not None or also_unused:
            connection.shutdown()


def has_unsent_bytes(connections: Collection[CallerConnection]) -> bool:
    """Return whether an answer on a connection is complete, but not sent completely."""
    return any(
        is_idle(connection) and connection.transport.get_write_buffer_size() > 0
        for connection in connections
    )
