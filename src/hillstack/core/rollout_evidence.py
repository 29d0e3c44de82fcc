"""What all nodes saw of one rollout: counts that only rise, added up over processes.

A report holds all that one process counted so far, so repeated, late and lost reports change
nothing. A process that ends leaves its counts behind.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from hillstack.core.software_rollouts import RolloutStage
from hillstack.messages.rollout_reports import OutcomeCounts, RolloutReport

# Entries of the delays, from a quarter of the expected time to nearly six times as long; what is
# beyond counts in the first or the last one.
DELAY_BUCKETS = 10
BUCKETS_PER_DOUBLING = 2
# The entry of answers that took as long as expected.
EXPECTED_BUCKET = 4
# Processes whose counts are kept: several times the nodes of the largest deployment, each restarted
# a few times within a rollout. The counts of further ones are ignored.
MOST_PROCESSES = 2_000
# Kinds of outcomes that are told apart; further ones are ignored.
MOST_KEYS = 256
# A node that was silent for so long is not counted among those that report.
REPORTER_SECONDS = 30.0
# A process that has said nothing for so long, while another one of its node speaks, has ended: more
# than two of the longest pauses between reports (0.8 s), and longer than notices are late.
PROCESS_SILENT_SECONDS = 2.0
STAGE_ORDER = {
    RolloutStage.CANARY.value: 0,
    RolloutStage.SHIFTING.value: 1,
    RolloutStage.COMPLETE.value: 2,
    RolloutStage.REVERTED.value: 2,
}

Process = tuple[str, int]


@dataclass(frozen=True, slots=True)
class OutcomeKey:
    """What outcomes are counted by.

    Attributes:
        version: Version of the runners' software.
        busy: Whether the runners had half of their places taken or more.
    """

    version: str
    route: str
    busy: bool


@dataclass(frozen=True, slots=True)
class OutcomeTotals:
    """Outcomes of one kind, of all nodes.

    Attributes:
        answered: Attempts that ended well or badly through the runner's doing.
        failed: Those of them that ended badly.
        delays: How many answers took how long: entry ``i`` counts those whose time to the first
            bytes was about ``2 ** (i / 2 - 2)`` times what was expected.
    """

    answered: int
    failed: int
    delays: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ReporterState:
    """What a node said last.

    Attributes:
        stage: The stage that it follows.
        old_running: Its attempts that are still at runners of other versions than the target.
        heard_at: When it said so, on this node's clock.
    """

    stage: str
    old_running: int
    heard_at: float


@dataclass(slots=True)
class OutcomeCounter:
    """Outcomes of one kind that can still rise."""

    answered: int = 0
    failed: int = 0
    delays: list[int] = field(default_factory=lambda: [0] * DELAY_BUCKETS)

    def totals(self) -> OutcomeTotals:
        """Return the counts as they are now."""
        return OutcomeTotals(self.answered, self.failed, tuple(self.delays))


class RolloutEvidence:
    """What is known of one rollout, from this node and from reports of its peers."""

    def __init__(self) -> None:
        self._told: dict[Process, dict[OutcomeKey, OutcomeCounter]] = {}
        self._totals: dict[OutcomeKey, OutcomeCounter] = {}
        self._latest: dict[str, tuple[int, ReporterState]] = {}
        self._bad = False
        # When the order was given by the oldest age that anybody told, on this node's clock.
        self.ordered_at = math.inf

    def take(self, node_id: str, incarnation: int, report: RolloutReport, now: float) -> None:
        """Take over what a process has counted so far.

        Args:
            node_id: The node that tells.
            incarnation: Its process.
            report: What it tells.
            now: Time on this node's clock.
        """
        self._bad = self._bad or report.bad
        if report.order_age_ms > 0:
            self.ordered_at = min(self.ordered_at, now - report.order_age_ms / 1000)
        process = (node_id, incarnation)
        is_new = process not in self._told
        if is_new and len(self._told) >= MOST_PROCESSES:
            return
        told = self._told.setdefault(process, {})
        for counts in report.outcomes:
            self._take_counts(told, counts)
        self._take_state(node_id, incarnation, report, now, is_new)

    def totals(self) -> dict[OutcomeKey, OutcomeTotals]:
        """Return all outcomes, by kind."""
        return {key: counter.totals() for key, counter in self._totals.items()}

    def reporters(self, now: float) -> dict[str, ReporterState]:
        """Return what each node that was heard lately said last."""
        return {
            node_id: state
            for node_id, (_, state) in self._latest.items()
            if now - state.heard_at < REPORTER_SECONDS
        }

    def peer_says_bad(self) -> bool:
        """Return whether some node has enough evidence that the target version is bad."""
        return self._bad

    def _take_counts(self, told: dict[OutcomeKey, OutcomeCounter], counts: OutcomeCounts) -> None:
        key = OutcomeKey(counts.version, counts.route, counts.busy)
        total = self._totals.get(key)
        if total is None:
            if len(self._totals) >= MOST_KEYS:
                return
            total = self._totals[key] = OutcomeCounter()
        known = told.setdefault(key, OutcomeCounter())
        total.answered += _rise(known.answered, counts.answered)
        total.failed += _rise(known.failed, counts.failed)
        known.answered = max(known.answered, counts.answered)
        known.failed = max(known.failed, counts.failed)
        _raise_delays(known.delays, total.delays, counts.delays)

    def _take_state(
        self, node_id: str, incarnation: int, report: RolloutReport, now: float, is_new: bool
    ) -> None:
        """Note what a node follows; a late word of a process, or of one before, changes nothing."""
        known = self._latest.get(node_id)
        if known is not None:
            latest, state = known
            is_silent = now - state.heard_at >= PROCESS_SILENT_SECONDS
            if incarnation != latest and not is_new and not is_silent:
                return
            goes_back = STAGE_ORDER.get(report.stage, 0) < STAGE_ORDER.get(state.stage, 0)
            if incarnation == latest and goes_back:
                return
        state = ReporterState(report.stage, report.old_running, now)
        self._latest[node_id] = incarnation, state


def _rise(known: int, told: int) -> int:
    return max(0, told - known)


def _raise_delays(known: list[int], total: list[int], told: Sequence[int]) -> None:
    for place, count in enumerate(told[:DELAY_BUCKETS]):
        total[place] += _rise(known[place], count)
        known[place] = max(known[place], count)
