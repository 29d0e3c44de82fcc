"""Runners at which a suspect is tried once more, and who keeps away from them.

A request that may have ended its runner goes to a quiet one, alone of its kind: if it ends that one
too, little falls beside it and nothing else explains it.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from hillstack.core.runner_ends import SETTLED_SECONDS
from hillstack.core.runner_pool import Runner

# Runners are ordered by steps of that many running requests: nodes hear of loads at different
# times, and should agree on the order all the same.
SAME_LOAD = 4

# The names of a request: its fingerprint, and its content name.
Names = tuple[int, ...]


class Probations:
    """The suspects that are at work, of this node and of its peers."""

    def __init__(self) -> None:
        # Suspects of this node, by attempt: runner, end of the probation, and names.
        self._by_attempt: dict[str, str] = {}
        self._until: dict[str, float] = {}
        self._names: dict[str, Names] = {}
        # Suspects of peers, by runner.
        self._peers_until: dict[str, float] = {}
        self._peers_names: dict[str, Names] = {}

    def __bool__(self) -> bool:
        """Whether any may be at work."""
        return bool(self._by_attempt or self._peers_until)

    def begin(self, attempt_id: str, runner_id: str, names: Names = ()) -> None:
        """Note that a suspect of this node was sent to a runner."""
        self._names[attempt_id] = names
        self._by_attempt[attempt_id] = runner_id
        self._until[attempt_id] = math.inf

    def started(self, attempt_id: str, now: float) -> None:
        """Note the first bytes of its answer: it is settled some time later."""
        if attempt_id in self._until:
            self._until[attempt_id] = now + SETTLED_SECONDS

    def end(self, attempt_id: str) -> str | None:
        """Note that an attempt is over; return where it was on probation, None if nowhere."""
        self._until.pop(attempt_id, None)
        self._names.pop(attempt_id, None)
        return self._by_attempt.pop(attempt_id, None)

    def told(self, runner_id: str, until: float, names: Names = ()) -> None:
        """Note until when a peer has a suspect at a runner."""
        self._peers_until[runner_id] = until
        self._peers_names[runner_id] = names

    def is_tried(self, name: int, now: float) -> bool:
        """Return whether a run of a suspect is under way, of this node or of a peer."""
        own = (at for at, names in self._names.items() if name in names)
        if any(now < self._until[attempt_id] for attempt_id in own):
            return True
        return any(
            name in names and now < self._peers_until[runner_id]
            for runner_id, names in self._peers_names.items()
        )

    def runner_ids(self, now: float) -> set[str]:
        """Return the runners at which a suspect is at work."""
        over = [runner_id for runner_id, until in self._peers_until.items() if now >= until]
        for runner_id in over:
            del self._peers_until[runner_id]
            del self._peers_names[runner_id]
        taken = set(self._peers_until)
        for attempt_id, runner_id in self._by_attempt.items():
            if now < self._until[attempt_id]:
                taken.add(runner_id)
        return taken

    def suited(
        self, runners: Sequence[Runner], suspect_rank: int | None, now: float
    ) -> Sequence[Runner]:
        """Return those of some runners that a request should go to; all if none is suited.

        Args:
            runners: Runners that may take it.
            suspect_rank: Its place among all suspects; None if it is none.
            now: Time on the node's clock.
        """
        if suspect_rank is None and not self:
            return runners
        taken = self.runner_ids(now)
        if suspect_rank is None:
            return [runner for runner in runners if runner.runner_id not in taken] or runners
        if not runners:
            return runners
        # Nodes that place suspects at the same moment go by the same order.
        ordered = sorted(runners, key=lambda runner: _load_order(runner, now))
        place = suspect_rank % len(ordered)
        in_turn = [*ordered[place:], *ordered[:place]]
        free = (runner for runner in in_turn if runner.runner_id not in taken)
        return [next(free, in_turn[0])]


def _load_order(runner: Runner, now: float) -> tuple[int, str]:
    return runner.running(now) // SAME_LOAD, runner.runner_id
