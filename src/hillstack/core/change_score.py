"""A sequential change-point test: detects that answers became worse at an unknown moment.

Each step adds the log likelihood ratio of its answers, bad version to good version. The score is
the largest sum over steps that end with the latest one (Page's cumulative sum, CUSUM), so earlier
good answers don't hide a problem that begins later. A runner crash or a load of weights causes a
single burst of bad answers. The score without its worst burst shows whether there is evidence
besides that burst.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from itertools import accumulate


@dataclass(frozen=True, slots=True)
class ScoredStep:
    """The answers of one step.

    Attributes:
        gain: Sum of the log likelihood ratios of the answers, bad version to good version.
        answered: Number of answers.
        bad: Number of answers that count as bad.
        expected: Number of answers that would be bad at the rate of the other versions.
    """

    gain: float
    answered: int
    bad: int
    expected: float


class ChangeScore:
    """CUSUM score for one kind of problem in one group of answers.

    Args:
        burst_steps: Greatest length of a burst, in steps.
        memory_steps: Number of latest steps that are stored.
    """

    def __init__(self, burst_steps: int, memory_steps: int) -> None:
        self._burst_steps = burst_steps
        self._steps: deque[ScoredStep] = deque(maxlen=memory_steps)
        self.score = 0.0

    def add(self, step: ScoredStep) -> None:
        """Add the answers of one step."""
        self._steps.append(step)
        self.score = max(0.0, self.score + step.gain)

    def steps(self) -> list[ScoredStep]:
        """Return the stored steps, oldest first."""
        return list(self._steps)

    def worst_burst(self) -> tuple[int, int]:
        """Return the number of bad answers of the worst burst and how many steps ago it began.

        The worst burst has the most bad answers. The latest step counts as one step ago.
        """
        bad = [step.bad for step in self._steps]
        sums = [0, *accumulate(bad)]
        found = (0, 0)
        for first in range(len(bad)):
            burst = sums[min(first + self._burst_steps, len(bad))] - sums[first]
            found = max(found, (burst, len(bad) - first))
        return found

    def score_without_burst_at(self, steps_ago: int) -> float:
        """Return the score without the burst that began ``steps_ago`` steps ago."""
        steps = list(self._steps)
        first = len(steps) - steps_ago
        score = 0.0
        for position, step in enumerate(steps):
            if not first <= position < first + self._burst_steps:
                score = max(0.0, score + step.gain)
        return score

    def score_without_burst(self) -> float:
        """Return the largest sum that ends with the latest step, without one burst in it.

        The burst left out is the one that adds most to the sum; ``worst_burst`` has the most bad
        answers instead. Only the stored steps count, while ``score`` counts all steps.
        """
        gains = [step.gain for step in self._steps]
        sums = [0.0, *accumulate(gains)]
        best = 0.0
        worst = 0.0
        for first in range(len(gains) - 1, -1, -1):
            end = min(first + self._burst_steps, len(gains))
            worst = max(worst, sums[end] - sums[first])
            best = max(best, sums[-1] - sums[first] - worst)
        return best
