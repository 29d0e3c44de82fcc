"""Decides when the holder of a duty gives it up, because it does not get the work done.

A holder that cannot do its work would otherwise keep the duty as long as it can renew its lease,
while other nodes could do the work at once.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

# How long the holder keeps the duty while only other nodes reach a runner that waits for an order.
# In this time the holder orders the runners that it reaches, so each holder makes progress.
UNREACHED_SECONDS = 1.5
# How long the holder keeps the duty while there is work and none of it gets done: longer than the
# longest wait before an order (for prefills and for the runner's limit) and one repeated order.
STALL_SECONDS = 3.0


class DutyProgress:
    """Progress of the node that holds a duty.

    Args:
        clock: Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._unreached_since: dict[str, float] = {}
        self._progress_at = clock()

    def begin(self) -> None:
        """Record that the node has acquired the duty."""
        self._unreached_since.clear()
        self.note_progress()

    def note_progress(self) -> None:
        """Record that some of the work was done."""
        self._progress_at = self._clock()

    def observe(self, *, has_work: bool, unreached: Collection[str]) -> None:
        """Record the state of the work.

        Args:
            has_work: Whether a runner waits for an order that this node may send now.
            unreached: Identifiers of runners that wait for an order, and that other nodes reach
                while this node does not.
        """
        now = self._clock()
        if not has_work:
            self.note_progress()
        self._unreached_since = {
            runner_id: self._unreached_since.get(runner_id, now) for runner_id in unreached
        }

    def lacks_reach(self) -> bool:
        """Return whether another node should order a runner that this node does not reach."""
        now = self._clock()
        earliest = min(self._unreached_since.values(), default=now)
        return now - earliest >= UNREACHED_SECONDS

    def is_stalled(self) -> bool:
        """Return whether there has been work for some time and none of it was done."""
        return self._clock() - self._progress_at >= STALL_SECONDS
