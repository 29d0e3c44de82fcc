"""Outcomes of one rollout on all nodes: monotonic counters, summed over processes.

A report contains the cumulative counts of one process, so repeated, late and lost reports don't
distort the sums. The counts of a process that has ended still count.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from hillstack.core.software_rollouts import RolloutStage
from hillstack.messages.rollout_reports import OutcomeCounts, RolloutReport

# Delay buckets, from a quarter of the expected time to nearly six times it. Delays outside of that
# range count in the first or last bucket.
DELAY_BUCKETS = 10
BUCKETS_PER_DOUBLING = 2
# The bucket of answers that took as long as expected.
EXPECTED_BUCKET = 4
# Greatest number of processes whose counts are stored: several times the nodes of the largest
# deployment, each restarted a few times within a rollout. Counts of further processes are ignored.
MOST_PROCESSES = 2_000
# Greatest number of outcome keys; outcomes with further keys are ignored.
MAX_OUTCOME_KEYS = 256
# A node that has sent no report for this long is not counted as a reporter.
REPORTER_SECONDS = 30.0
# A process that has sent no report for this long, while another process of its node reports, has
# ended. This is more than twice the longest interval between reports (0.8 s), and longer than
# notices are delayed.
PROCESS_SILENT_SECONDS = 2.0
# Progress of the stages in reports of one process. Unlike ``software_rollouts.STAGE_ORDER``, both
# final stages are equal, so that a later report of either is applied.
STAGE_PROGRESS = {
    RolloutStage.CANARY.value: 0,
    RolloutStage.SHIFTING.value: 1,
    RolloutStage.COMPLETE.value: 2,
    RolloutStage.REVERTED.value: 2,
}

Process = tuple[str, int]


@dataclass(frozen=True, slots=True)
class OutcomeKey:
    """The key by which outcomes are grouped.

    Attributes:
        version: Version of the runners' software.
        route: Route of the requests.
        busy: Whether at least half of the runner's request slots were in use.
    """

    version: str
    route: str
    busy: bool


@dataclass(frozen=True, slots=True)
class OutcomeTotals:
    """Outcomes with one key, summed over all nodes.

    Attributes:
        answered: Attempts that succeeded, or failed because of the runner. An attempt that was
            abandoned counts too, if its first bytes had arrived or it had waited for longer than
            expected.
        failed: Attempts that failed because of the runner.
        delays: Number of answers per delay bucket. Bucket ``i`` counts the answers whose time to
            the first bytes was about ``2 ** (i / 2 - 2)`` times the expected time.
    """

    answered: int
    failed: int
    delays: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ReporterState:
    """State in the latest report of a node.

    Attributes:
        stage: The rollout stage that is in effect on the node.
        old_running: Number of the node's attempts still running at runners of other versions than
            the target.
        received_at: When the report arrived, on this node's clock.
    """

    stage: str
    old_running: int
    received_at: float


@dataclass(slots=True)
class OutcomeCounter:
    """Mutable counts of the outcomes with one key."""

    answered: int = 0
    failed: int = 0
    delays: list[int] = field(default_factory=lambda: [0] * DELAY_BUCKETS)

    def totals(self) -> OutcomeTotals:
        """Return the current counts."""
        return OutcomeTotals(self.answered, self.failed, tuple(self.delays))


class RolloutEvidence:
    """Evidence about one rollout, from this node and from reports of its peers."""

    def __init__(self) -> None:
        self._reported: dict[Process, dict[OutcomeKey, OutcomeCounter]] = {}
        self._totals: dict[OutcomeKey, OutcomeCounter] = {}
        self._latest: dict[str, tuple[int, ReporterState]] = {}
        self._is_reported_bad = False
        # Time of the order by the oldest age in any report, on this node's clock.
        self.ordered_at = math.inf

    def merge_report(
        self, node_id: str, incarnation: int, report: RolloutReport, now: float
    ) -> None:
        """Merge the report of a process.

        Args:
            node_id: The reporting node.
            incarnation: Incarnation of the reporting process.
            report: The cumulative counts and the state of the process.
            now: Time on this node's clock.
        """
        self._is_reported_bad = self._is_reported_bad or report.bad
        if report.order_age_ms > 0:
            self.ordered_at = min(self.ordered_at, now - report.order_age_ms / 1000)
        process = (node_id, incarnation)
        is_new = process not in self._reported
        if is_new and len(self._reported) >= MOST_PROCESSES:
            return
        reported = self._reported.setdefault(process, {})
        for counts in report.outcomes:
            self._merge_counts(reported, counts)
        self._merge_state(node_id, incarnation, report, now, is_new)

    def totals(self) -> dict[OutcomeKey, OutcomeTotals]:
        """Return all outcomes by key."""
        return {key: counter.totals() for key, counter in self._totals.items()}

    def reporters(self, now: float) -> dict[str, ReporterState]:
        """Return the latest state of each node that reported within ``REPORTER_SECONDS``."""
        return {
            node_id: state
            for node_id, (_, state) in self._latest.items()
            if now - state.received_at < REPORTER_SECONDS
        }

    def is_reported_bad(self) -> bool:
        """Return whether any node, which may be this one, reported the target version as bad."""
        return self._is_reported_bad

    def _merge_counts(
        self, reported: dict[OutcomeKey, OutcomeCounter], counts: OutcomeCounts
    ) -> None:
        key = OutcomeKey(counts.version, counts.route, counts.busy)
        total = self._totals.get(key)
        if total is None:
            if len(self._totals) >= MAX_OUTCOME_KEYS:
                return
            total = self._totals[key] = OutcomeCounter()
        known = reported.setdefault(key, OutcomeCounter())
        total.answered += _increase(known.answered, counts.answered)
        total.failed += _increase(known.failed, counts.failed)
        known.answered = max(known.answered, counts.answered)
        known.failed = max(known.failed, counts.failed)
        _raise_delays(known.delays, total.delays, counts.delays)

    def _merge_state(
        self, node_id: str, incarnation: int, report: RolloutReport, now: float, is_new: bool
    ) -> None:
        """Store the state in a report, unless it is a late report of this or an earlier process."""
        known = self._latest.get(node_id)
        if known is not None:
            latest, state = known
            is_silent = now - state.received_at >= PROCESS_SILENT_SECONDS
            if incarnation != latest and not is_new and not is_silent:
                return
            is_earlier_stage = STAGE_PROGRESS.get(report.stage, 0) < STAGE_PROGRESS.get(
                state.stage, 0
            )
            if incarnation == latest and is_earlier_stage:
                return
        state = ReporterState(report.stage, report.old_running, now)
        self._latest[node_id] = incarnation, state


def _increase(known: int, reported: int) -> int:
    return max(0, reported - known)


def _raise_delays(known: list[int], total: list[int], reported: Sequence[int]) -> None:
    for index, count in enumerate(reported[:DELAY_BUCKETS]):
        total[index] += _increase(known[index], count)
        known[index] = max(known[index], count)
