"""Tracks runners that run a suspect request, so that other requests avoid these runners.

A suspect request may have crashed its runner. It is sent to a runner with little load and without
another suspect: if that runner crashes too, few other requests are hit and no other request
explains the crash.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from hillstack.core.run_at_crash import SETTLED_SECONDS
from hillstack.core.runner_pool import Runner

# Runners are ordered by their running requests in steps of this size. Nodes receive load reports at
# different times, and with the steps they still agree on the order in most cases.
LOAD_STEP_REQUESTS = 4

# The names of a request: its fingerprint, and its content name.
Names = tuple[int, ...]


class Probations:
    """The running suspects of this node and of its peers."""

    def __init__(self) -> None:
        # Suspects of this node by attempt: runner, end of the probation, and request names.
        self._runner_by_attempt: dict[str, str] = {}
        self._ends_at: dict[str, float] = {}
        self._names: dict[str, Names] = {}
        # Suspects of peers, by runner.
        self._peer_ends_at: dict[str, float] = {}
        self._peer_names: dict[str, Names] = {}

    def __bool__(self) -> bool:
        """Return whether any suspect may be running."""
        return bool(self._runner_by_attempt or self._peer_ends_at)

    def begin(self, attempt_id: str, runner_id: str, names: Names = ()) -> None:
        """Record that this node sent a suspect to a runner."""
        self._names[attempt_id] = names
        self._runner_by_attempt[attempt_id] = runner_id
        self._ends_at[attempt_id] = math.inf

    def started(self, attempt_id: str, now: float) -> None:
        """Record the first bytes of the answer; the probation ends SETTLED_SECONDS later."""
        if attempt_id in self._ends_at:
            self._ends_at[attempt_id] = now + SETTLED_SECONDS

    def end(self, attempt_id: str) -> str | None:
        """Record the end of an attempt; return its runner if it was on probation, else None."""
        self._ends_at.pop(attempt_id, None)
        self._names.pop(attempt_id, None)
        return self._runner_by_attempt.pop(attempt_id, None)

    def note_peer_suspect(self, runner_id: str, until: float, names: Names = ()) -> None:
        """Record that a peer runs a suspect on a runner until a time."""
        self._peer_ends_at[runner_id] = until
        self._peer_names[runner_id] = names

    def is_tried(self, name: int, now: float) -> bool:
        """Return whether this node or a peer is running a suspect with a name."""
        own = (at for at, names in self._names.items() if name in names)
        if any(now < self._ends_at[attempt_id] for attempt_id in own):
            return True
        return any(
            name in names and now < self._peer_ends_at[runner_id]
            for runner_id, names in self._peer_names.items()
        )

    def runner_ids(self, now: float) -> set[str]:
        """Return the runners on which a suspect is running."""
        expired = [runner_id for runner_id, until in self._peer_ends_at.items() if now >= until]
        for runner_id in expired:
            del self._peer_ends_at[runner_id]
            del self._peer_names[runner_id]
        occupied = set(self._peer_ends_at)
        for attempt_id, runner_id in self._runner_by_attempt.items():
            if now < self._ends_at[attempt_id]:
                occupied.add(runner_id)
        return occupied

    def select_runners(
        self, runners: Sequence[Runner], suspect_rank: int | None, now: float
    ) -> Sequence[Runner]:
        """Return the runners to which a request should be sent.

        A suspect gets one runner: the first in load order, starting at its rank, that runs no other
        suspect. Other requests get all runners without a suspect, or all runners if each has one.

        Args:
            runners: Runners that may take the request.
            suspect_rank: Position of the request among all suspects; None if it is no suspect.
            now: Time on the node's clock.
        """
        if suspect_rank is None and not self:
            return runners
        occupied = self.runner_ids(now)
        if suspect_rank is None:
            return [runner for runner in runners if runner.runner_id not in occupied] or runners
        if not runners:
            return runners
        # Nodes that place suspects at the same time use the same order.
        ordered = sorted(runners, key=lambda runner: _load_order(runner, now))
        start = suspect_rank % len(ordered)
        by_preference = [*ordered[start:], *ordered[:start]]
        free = (runner for runner in by_preference if runner.runner_id not in occupied)
        return [next(free, by_preference[0])]


def _load_order(runner: Runner, now: float) -> tuple[int, str]:
    return runner.running(now) // LOAD_STEP_REQUESTS, runner.runner_id
