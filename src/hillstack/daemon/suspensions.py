"""Handles suspensions of the machine: timers count the suspended time, and it is logged."""

from __future__ import annotations

import asyncio
import logging

from hillstack import clock

logger = logging.getLogger(__name__)

# Shorter suspensions are ignored. The two clocks are read one after the other, and another process
# may run in between; on a busy machine such a pause looks like a suspension of this length.
MIN_SUSPENSION_SECONDS = 0.2


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """The standard event loop on the node's clock, which counts suspended time.

    Timers that expire during a suspension are due right after it. A wait for sockets that was in
    progress continues for the rest of its timeout, so the loop needs a short periodic timer
    (``RunnerMonitor``) to reach the other timers soon.
    """

    def time(self) -> float:
        """Return the current time of the loop, in seconds of the node's clock."""
        return clock.seconds()


class SuspensionWatch:
    """Detects suspensions of the machine."""

    def __init__(self) -> None:
        self._suspended = clock.suspended_seconds()

    def check(self) -> float:
        """Return the seconds of suspension since the last check, and log them."""
        suspended = clock.suspended_seconds()
        passed = suspended - self._suspended
        self._suspended = suspended
        if passed < MIN_SUSPENSION_SECONDS:
            return 0.0
        logger.warning("machine was suspended", extra={"seconds": round(passed, 3)})
        return passed
