"""A node whose monotonic clock does not count the time for which its process was stopped.

On a machine that is suspended the monotonic clock stands still, while the time since boot and the
time of day go on. Run in place of ``hillstack.daemon.fleet_main``: each continue signal sets the
monotonic clock back by the length of the stop before it.
"""

from __future__ import annotations

import signal
import threading
import time

real_monotonic = time.monotonic
LOOK_SECONDS = 0.01
# Between two looks of a process that runs, also on a busy machine.
LEAST_STOP_SECONDS = 0.5


class MonotonicClock:
    """Stands still while the process is stopped."""

    def __init__(self) -> None:
        self._stood = 0.0
        self._looked_at = real_monotonic()

    def seconds(self) -> float:
        """Return the monotonic time less that of all stops."""
        now = real_monotonic()
        if now - self._looked_at > LEAST_STOP_SECONDS:
            self._stood += now - self._looked_at
        self._looked_at = now
        return now - self._stood

    def look(self) -> None:
        """Look at the clock again and again, so that a stop shows as a gap."""
        while True:
            self.seconds()
            threading.Event().wait(LOOK_SECONDS)


def main() -> None:
    """Run a node on such a clock."""
    clock = MonotonicClock()
    time.monotonic = clock.seconds
    signal.signal(signal.SIGCONT, lambda *_: clock.seconds())
    threading.Thread(target=clock.look, daemon=True).start()
    from hillstack.daemon.fleet_main import main as node_main

    node_main()


if __name__ == "__main__":
    main()
