"""A machine that is suspended: the timers of a node count the sleep, and its log tells of it."""

from __future__ import annotations

import asyncio
import logging

from hillstack import clock

logger = logging.getLogger(__name__)

# The two clocks are read one after the other, with a turn of another process between them now and
# then. A sleep of that length is as short as a pause that a busy machine makes.
LEAST_SECONDS = 0.2


class ClockedEventLoop(asyncio.SelectorEventLoop):
    """The standard event loop on the node's clock: what was due in a sleep is due after it.

    A wait for sockets that was under way goes on for the rest of its time, so the loop needs a
    timer of some short period (``RunnerMonitor``) to look at the others soon.
    """

    def time(self) -> float:
        """Return the time that timers are set by."""
        return clock.seconds()


class SuspensionWatch:
    """Notices that the machine was suspended."""

    def __init__(self) -> None:
        self._suspended = clock.suspended_seconds()

    def look(self) -> float:
        """Return for how many seconds it was suspended since the last look; log them."""
        suspended = clock.suspended_seconds()
        passed = suspended - self._suspended
        self._suspended = suspended
        if passed < LEAST_SECONDS:
            return 0.0
        logger.warning("machine was suspended", extra={"seconds": round(passed, 3)})
        return passed
