"""A retry budget per service that all nodes share without coordination.

In any window, all nodes together may send at most ``ratio`` times the number of requests plus a
fixed slack as further attempts. Each node may use the ratio of its own requests and an equal part
of the slack, so the sum over all nodes stays within the budget whatever they know of one another.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Number of parts of the sliding window. Events leave the count up to a tenth of the window late.
WINDOW_PARTS = 10
# Share of the budget that is used. The rest allows for windows that don't align with the parts, and
# for requests that were counted but never sent.
SAFETY_SHARE = 0.8


class _SlidingCount:
    """Counts events in a sliding window, in parts of a tenth of its length."""

    def __init__(self, window_seconds: float) -> None:
        self._part = window_seconds / WINDOW_PARTS
        self._counts: deque[tuple[int, int]] = deque()
        self._total = 0

    def add(self, now: float) -> None:
        number = int(now / self._part)
        self._expire(number)
        if self._counts and self._counts[-1][0] == number:
            self._counts[-1] = (number, self._counts[-1][1] + 1)
        else:
            self._counts.append((number, 1))
        self._total += 1

    def total(self, now: float) -> int:
        self._expire(int(now / self._part))
        return self._total

    def _expire(self, number: int) -> None:
        while self._counts and self._counts[0][0] < number - WINDOW_PARTS:
            self._total -= self._counts.popleft()[1]


@dataclass(slots=True)
class RetryUse:
    """What this process has taken from its share of the budget, over all services.

    Attributes:
        from_requests: Further attempts covered by the requests of the window.
        from_slack: Further attempts covered by the slack.
        refused: Further attempts that the budget did not allow.
    """

    from_requests: int = 0
    from_slack: int = 0
    refused: int = 0


class SharedRetryBudget:
    """This node's share of the retry budgets of all services.

    Args:
        ratio: Further attempts allowed per request.
        slack: Further attempts allowed per window in addition, over all nodes.
        window_seconds: Length of the window.

    Attributes:
        use: What this process has taken so far.
    """

    def __init__(self, ratio: float, slack: float, window_seconds: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window_seconds
        self._node_count = 1
        self.use = RetryUse()
        self._requests: dict[str, _SlidingCount] = {}
        self._retries: dict[str, _SlidingCount] = {}

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes that share the slack."""
        self._node_count = max(1, count)

    def on_request(self, service: str, now: float) -> None:
        """Count a request for a service."""
        self._counter(self._requests, service).add(now)

    def allowed(self, service: str, now: float) -> float:
        """Return how many further attempts may still be sent in this window."""
        requests = self._counter(self._requests, service).total(now)
        used = self._counter(self._retries, service).total(now)
        allowance = self._ratio * requests + self._slack / self._node_count
        return allowance * SAFETY_SHARE - used

    def try_retry(self, service: str, now: float) -> bool:
        """Take one further attempt from the budget; return whether one was available."""
        if self.allowed(service, now) < 1.0:
            self.use.refused += 1
            return False
        retries = self._counter(self._retries, service)
        requests = self._counter(self._requests, service).total(now)
        if retries.total(now) + 1.0 <= self._ratio * requests * SAFETY_SHARE:
            self.use.from_requests += 1
        else:
            self.use.from_slack += 1
        retries.add(now)
        return True

    def _counter(self, counters: dict[str, _SlidingCount], service: str) -> _SlidingCount:
        counter = counters.get(service)
        if counter is None:
            counter = counters[service] = _SlidingCount(self._window)
        return counter
