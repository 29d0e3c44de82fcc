"""Outcomes that one node observed for the versions of a rollout, as counts that only rise.

A broken connection counts as a failure of the runner, unless connections to three or more runners
of at least two versions broke within half a second: then the node's own network failed, and none of
them counts. A connection broken by a runner crash also doesn't count if the crash is attributed to
a request.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Set
from dataclasses import dataclass

from hillstack.core.rollout_evidence import (
    BUCKETS_PER_DOUBLING,
    DELAY_BUCKETS,
    EXPECTED_BUCKET,
    OutcomeCounter,
    OutcomeKey,
)
from hillstack.messages.rollout_reports import OutcomeCounts

# Connections broken by a network failure are noticed within some tenths of a second of each other.
DISCONNECT_WINDOW_SECONDS = 0.5
# A network failure breaks connections to many runners; two may break together by chance.
MIN_BROKEN_RUNNERS = 3
# Greatest number of broken attempts whose cause is undecided. Beyond it the oldest one counts as a
# failure of its runner.
MAX_PENDING = 1_000
# Keeps the logarithm finite; far below the first entry.
MIN_SLOWNESS = 1e-6


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """Outcome of an attempt that its runner is responsible for.

    Attributes:
        failed: Whether the attempt failed.
        broken: Whether the attempt failed because its connection broke.
        slowness: Ratio of the time to the first bytes to the expected time, or of the time waited
            if no bytes arrived; None if unknown.
    """

    key: OutcomeKey
    runner_id: str
    failed: bool = False
    broken: bool = False
    slowness: float | None = None


def delay_bucket(slowness: float) -> int:
    """Return the index of the delay bucket for a ratio of actual to expected delay."""
    doublings = math.log2(max(slowness, MIN_SLOWNESS)) + EXPECTED_BUCKET / BUCKETS_PER_DOUBLING
    place = round(BUCKETS_PER_DOUBLING * doublings)
    return min(DELAY_BUCKETS - 1, max(0, place))


class LocalOutcomes:
    """Outcome counts of one node for one rollout order."""

    def __init__(self) -> None:
        self._counters: dict[OutcomeKey, OutcomeCounter] = {}
        self._pending: deque[tuple[AttemptOutcome, float]] = deque()
        # Broken attempts already decided are still evidence that later ones broke with them.
        self._decided: deque[tuple[AttemptOutcome, float]] = deque()

    def add(self, outcome: AttemptOutcome, now: float) -> None:
        """Record the end of an attempt."""
        if not outcome.broken:
            self._count(outcome)
            return
        self._pending.append((outcome, now))
        if len(self._pending) > MAX_PENDING:
            self._count(self._pending.popleft()[0])

    def settle(self, now: float, excused: Set[str] = frozenset()) -> list[AttemptOutcome]:
        """Decide the attempts that broke at least ``DISCONNECT_WINDOW_SECONDS`` ago.

        Args:
            now: Time on the clock of ``add``.
            excused: Runners whose crash is not attributed to their version.

        Returns:
            The outcomes that count, in the order in which the attempts broke.
        """
        counted = []
        while self._pending and now - self._pending[0][1] >= DISCONNECT_WINDOW_SECONDS:
            outcome, at = self._pending.popleft()
            self._decided.append((outcome, at))
            if outcome.runner_id not in excused and not self._was_network_failure(at):
                self._count(outcome)
                counted.append(outcome)
        while self._decided and now - self._decided[0][1] > 2 * DISCONNECT_WINDOW_SECONDS:
            self._decided.popleft()
        return counted

    def rows(self) -> list[OutcomeCounts]:
        """Return all counts, to be sent in a report."""
        return [
            OutcomeCounts(
                key.version,
                key.route,
                key.busy,
                counter.answered,
                counter.failed,
                list(counter.delays),
            )
            for key, counter in self._counters.items()
        ]

    def _was_network_failure(self, at: float) -> bool:
        """Return whether attempts at enough runners, of several versions, broke at about a time."""
        around = [
            outcome
            for outcome, other_at in (*self._decided, *self._pending)
            if abs(other_at - at) <= DISCONNECT_WINDOW_SECONDS
        ]
        runners = {outcome.runner_id for outcome in around}
        versions = {outcome.key.version for outcome in around}
        return len(runners) >= MIN_BROKEN_RUNNERS and len(versions) > 1

    def _count(self, outcome: AttemptOutcome) -> None:
        counter = self._counters.setdefault(outcome.key, OutcomeCounter())
        counter.answered += 1
        counter.failed += outcome.failed
        if outcome.slowness is not None and not outcome.failed:
            counter.delays[delay_bucket(outcome.slowness)] += 1
