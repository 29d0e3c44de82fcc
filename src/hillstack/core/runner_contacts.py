"""The latest contact with runners that seemed to crash, and which of them have not crashed.

A runner is an incarnation: once its process has ended, no contact with it is possible.
"""

from __future__ import annotations

import math
from collections import OrderedDict

# Runners stored; those recorded the longest ago are forgotten first.
MAX_RUNNERS = 1_024


class RunnerContacts:
    """Contacts with runners, bounded in number; times are on this node's clock."""

    def __init__(self) -> None:
        self._latest: OrderedDict[str, float] = OrderedDict()
        self._survivors: OrderedDict[str, None] = OrderedDict()

    def record(self, runner_id: str, contact_at: float) -> None:
        """Record contact with a runner."""
        self._latest[runner_id] = max(self.latest(runner_id), contact_at)
        self._latest.move_to_end(runner_id)
        while len(self._latest) > MAX_RUNNERS:
            self._latest.popitem(last=False)

    def latest(self, runner_id: str) -> float:
        """Return the time of the latest contact with a runner; minus infinity without any."""
        return self._latest.get(runner_id, -math.inf)

    def record_survival(self, runner_id: str, contact_at: float) -> None:
        """Record contact that shows all reports of a runner's crash so far to be wrong."""
        self.record(runner_id, contact_at)
        self._survivors[runner_id] = None
        self._survivors.move_to_end(runner_id)
        while len(self._survivors) > MAX_RUNNERS:
            self._survivors.popitem(last=False)

    def forget_survival(self, runner_id: str) -> None:
        """Record that a runner was reported as crashed after the latest contact with it."""
        self._survivors.pop(runner_id, None)

    def has_survived(self, runner_id: str) -> bool:
        """Return whether all reports of a runner's crash so far were wrong."""
        return runner_id in self._survivors
