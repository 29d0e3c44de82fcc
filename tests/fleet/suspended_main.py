"""A node whose monotonic clock does not count the time during which its process is stopped.

On a suspended machine the monotonic clock stops, while the time since boot and the time of day
advance. This module is run in place of ``hillstack.daemon.fleet_main`` and simulates a suspension
by stopping the process: on each SIGCONT it sets the monotonic clock back by the length of the stop.
"""

from __future__ import annotations

import signal
import threading
import time

real_monotonic = time.monotonic
POLL_SECONDS = 0.01
# Longer than any gap between two polls of a running process, also on a busy machine.
MIN_STOP_SECONDS = 0.5


class MonotonicClock:
    """Monotonic clock that stops while the process is stopped."""

    def __init__(self) -> None:
        self._stopped_seconds = 0.0
        self._polled_at = real_monotonic()

    def seconds(self) -> float:
        """Return the monotonic time minus the length of all stops."""
        now = real_monotonic()
        if now - self._polled_at > MIN_STOP_SECONDS:
            self._stopped_seconds += now - self._polled_at
        self._polled_at = now
        return now - self._stopped_seconds

    def poll(self) -> None:
        """Poll the clock continuously, so that a stop appears as a gap between two polls."""
        while True:
            self.seconds()
            threading.Event().wait(POLL_SECONDS)


def main() -> None:
    """Run a node with this clock."""
    clock = MonotonicClock()
    time.monotonic = clock.seconds
    signal.signal(signal.SIGCONT, lambda *_: clock.seconds())
    threading.Thread(target=clock.poll, daemon=True).start()
    from hillstack.daemon.fleet_main import main as node_main

    node_main()


if __name__ == "__main__":
    main()
