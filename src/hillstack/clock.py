"""The clock of the nodes, which counts the time during which the machine is suspended.

The other parties count this time as well: the store, which expires leases, and the peers, callers
and runners. The monotonic clock stops during a suspension, so a node that used it would
underestimate the age of its leases and estimates after the machine is resumed.
"""

from __future__ import annotations

import time

# Only Linux has this clock; on other systems the monotonic clock is used instead.
BOOT_CLOCK: int | None = getattr(time, "CLOCK_BOOTTIME", None)


def seconds() -> float:
    """Return seconds since a fixed but arbitrary moment, including suspended time."""
    if BOOT_CLOCK is None:
        return time.monotonic()
    return time.clock_gettime(BOOT_CLOCK)


def suspended_seconds() -> float:
    """Return seconds of suspension since a fixed but arbitrary moment."""
    return seconds() - time.monotonic()
