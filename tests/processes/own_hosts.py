"""Loopback hosts of one process, so that runs side by side on a machine can't reach each other.

The system may give the port of a runner that has ended to a server of another run. If both runs use
the same host, the nodes of the first one then send their requests to that server.
"""

from __future__ import annotations

import os

# Networks 127.A.B.0/24 with A and B from 1 to 250; 127.0.0.0/16 is left to all others.
PARTS = 250
HOSTS_PER_NET = 250


def own_host(number: int = 0, process_id: int | None = None) -> str:
    """Return a host of this process.

    Args:
        number: Number of the host; the first ``HOSTS_PER_NET`` are of this process alone, unless
            the identifiers of two processes differ by a multiple of ``PARTS * PARTS``.
        process_id: The process; this one by default.
    """
    process_id = os.getpid() if process_id is None else process_id
    net = (process_id + number // HOSTS_PER_NET) % (PARTS * PARTS)
    return f"127.{1 + net // PARTS}.{1 + net % PARTS}.{1 + number % HOSTS_PER_NET}"
