"""The clock that nodes measure time with.

It counts the time for which a machine is suspended, as those do with whom a node has to agree: the
store that lets a lease lapse, peers, callers, runners. The monotonic clock stands still meanwhile,
and a node that goes by it wakes with beliefs that are older than it thinks.
"""

from __future__ import annotations

import time

# Missing on systems other than Linux, where the monotonic clock has to do.
BOOT_CLOCK: int | None = getattr(time, "CLOCK_BOOTTIME", None)


def seconds() -> float:
    """Return seconds since some moment that does not change while the machine runs."""
    if BOOT_CLOCK is None:
        return time.monotonic()
    return time.clock_gettime(BOOT_CLOCK)


def suspended_seconds() -> float:
    """Return for how long the machine was suspended, counted from some moment."""
    return seconds() - time.monotonic()
