"""Observed answer durations of a service, and the time after which an answer is overdue."""

from __future__ import annotations

from collections import deque

# Number of latest answers in the window: half a minute at about 7 answers/s per node. Sorting the
# window costs about 20 us and is done once in ANSWERS_PER_UPDATE answers.
MAX_SAMPLED_ANSWERS = 200
ANSWERS_PER_UPDATE = 20
# From 101 answers on this is not the longest duration; in a full window of 200 answers one exceeds
# it.
QUANTILE = 0.99
# Allowance for requests that wait behind other work or take longer than most of their kind.
OVERDUE_FACTOR = 2.0
# Used until the first ANSWERS_PER_UPDATE answers were observed: the connect timeout of callers.
DEFAULT_OVERDUE_SECONDS = 1.0
# With a shorter limit, a lost packet, retransmitted after 0.2 s, would look like a silent runner.
MIN_OVERDUE_SECONDS = 0.4


class AnswerDurations:
    """Durations of the latest answers of one service."""

    def __init__(self) -> None:
        self._durations: deque[float] = deque(maxlen=MAX_SAMPLED_ANSWERS)
        self._seen = 0
        self._overdue = DEFAULT_OVERDUE_SECONDS
        self._median: float | None = None

    def add(self, seconds: float) -> None:
        """Record an answer that arrived ``seconds`` after its request was sent."""
        self._durations.append(seconds)
        self._seen += 1
        if self._seen % ANSWERS_PER_UPDATE == 0:
            ordered = sorted(self._durations)
            self._median = ordered[len(ordered) // 2]
            quantile_seconds = ordered[min(len(ordered) - 1, int(QUANTILE * len(ordered)))]
            self._overdue = max(MIN_OVERDUE_SECONDS, OVERDUE_FACTOR * quantile_seconds)

    def overdue_seconds(self) -> float:
        """Return the seconds after which an answer is overdue."""
        return self._overdue

    def median_seconds(self) -> float | None:
        """Return the median duration; None until enough answers were observed."""
        return self._median
