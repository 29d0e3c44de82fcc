"""Splits cumulative outcome counts into time steps, and sums them over the latest steps."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping

from hillstack.core.rollout_evidence import DELAY_BUCKETS, OutcomeKey, OutcomeTotals

# Several times the interval between evaluations of a judge: the reports of many nodes arrive spread
# over about a second.
STEP_SECONDS = 0.5
NO_OUTCOMES = OutcomeTotals(0, 0, (0,) * DELAY_BUCKETS)

OutcomeStep = dict[OutcomeKey, OutcomeTotals]


class OutcomeSteps:
    """The outcomes of all nodes in the latest time steps.

    Args:
        memory_steps: Number of latest steps that are stored.
    """

    def __init__(self, memory_steps: int) -> None:
        self._steps: deque[OutcomeStep] = deque(maxlen=memory_steps)
        self._previous_totals: dict[OutcomeKey, OutcomeTotals] = {}
        self._step_began_at = float("-inf")

    def is_due(self, now: float) -> bool:
        """Return whether the current step has ended; ``add_totals`` ignores totals until then."""
        return now >= self._step_began_at + STEP_SECONDS

    def add_totals(
        self, totals: Mapping[OutcomeKey, OutcomeTotals], now: float
    ) -> OutcomeStep | None:
        """Record cumulative totals if a step has ended.

        Returns:
            The outcomes that were added during the step; None if the step has not ended.
        """
        if not self.is_due(now):
            return None
        self._step_began_at = now
        step = {
            key: _minus(value, self._previous_totals.get(key, NO_OUTCOMES))
            for key, value in totals.items()
        }
        step = {key: value for key, value in step.items() if value.answered > 0}
        self._previous_totals = dict(totals)
        self._steps.append(step)
        return step

    def outcome_keys(self) -> list[OutcomeKey]:
        """Return the keys of all outcomes since the order."""
        return list(self._previous_totals)

    def total(
        self, matches: Callable[[OutcomeKey], bool], steps: int | None = None
    ) -> OutcomeTotals:
        """Return the sum of the matching outcomes.

        Args:
            matches: Selects the outcomes.
            steps: Number of latest steps to sum; None for all outcomes since the order.
        """
        if steps is None:
            return _sum([value for key, value in self._previous_totals.items() if matches(key)])
        latest = list(self._steps)[-steps:]
        return _sum([value for step in latest for key, value in step.items() if matches(key)])


def _minus(later: OutcomeTotals, earlier: OutcomeTotals) -> OutcomeTotals:
    """Return the increase from one total to a later one; a count that fell contributes zero."""
    pairs = zip(later.delays, earlier.delays, strict=True)
    return OutcomeTotals(
        max(0, later.answered - earlier.answered),
        max(0, later.failed - earlier.failed),
        tuple(max(0, after - before) for after, before in pairs),
    )


def _sum(parts: list[OutcomeTotals]) -> OutcomeTotals:
    if not parts:
        return NO_OUTCOMES
    return OutcomeTotals(
        sum(part.answered for part in parts),
        sum(part.failed for part in parts),
        tuple(map(sum, zip(*(part.delays for part in parts), strict=True))),
    )
