"""A retry budget per service that all nodes hold together without asking one another.

All nodes together may send at most ``ratio`` times the requests plus a fixed slack of further
attempts in any window. Each node draws on the ratio of its own requests and on an equal part of the
slack, so the sum over nodes stays within the budget whatever they know of one another.
"""

from __future__ import annotations

from collections import deque

# Parts of the sliding window: what has left it is forgotten a tenth of the window late.
WINDOW_PARTS = 10
# Part of the budget that is used: the rest is for windows that slide between the parts, and for
# requests that were counted and never sent.
SAFETY_SHARE = 0.8


class _SlidingCount:
    """Counts events over a sliding window, in parts of a tenth."""

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


class SharedRetryBudget:
    """This node's part of the retry budgets of all services.

    Args:
        ratio: Further attempts allowed for each request.
        slack: Further attempts allowed in a window beyond the ratio, over all nodes.
        window_seconds: Length of the window.
    """

    def __init__(self, ratio: float, slack: float, window_seconds: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window_seconds
        self._node_count = 1
        self._requests: dict[str, _SlidingCount] = {}
        self._retries: dict[str, _SlidingCount] = {}

    def set_node_count(self, count: int) -> None:
        """Note how many nodes share the slack."""
        self._node_count = max(1, count)

    def on_request(self, service: str, now: float) -> None:
        """Note a request for a service."""
        self._counter(self._requests, service).add(now)

    def allowed(self, service: str, now: float) -> float:
        """Return how many further attempts may still be sent in this window."""
        requests = self._counter(self._requests, service).total(now)
        used = self._counter(self._retries, service).total(now)
        allowance = self._ratio * requests + self._slack / self._node_count
        return allowance * SAFETY_SHARE - used

    def try_retry(self, service: str, now: float) -> bool:
        """Take one further attempt from the budget; return whether there was one."""
        if self.allowed(service, now) < 1.0:
            return False
        self._counter(self._retries, service).add(now)
        return True

    def _counter(self, counters: dict[str, _SlidingCount], service: str) -> _SlidingCount:
        counter = counters.get(service)
        if counter is None:
            counter = counters[service] = _SlidingCount(self._window)
        return counter
