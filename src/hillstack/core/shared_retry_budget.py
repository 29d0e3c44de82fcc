"""A retry budget per service that all nodes share without coordination.

In any window, all nodes together may send at most ``ratio`` times the number of requests plus a
fixed slack as further attempts. Each node uses its own requests and an equal part of the slack, so
the sum over all nodes stays within the budget whatever they know of one another.

A process knows nothing of what its predecessors sent. So a part of the budget may be saved up, and
another part is earned: with each request, and for the slack with the time for which the process has
run. A process starts with nothing saved. What all processes together send in a window is at most
what those that ran at its beginning had saved, which the requests of the window before it bound,
plus what was earned within it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Number of parts of the sliding window. Requests leave the count up to a part late.
WINDOW_PARTS = 10
# Shares of the ratio: what may be saved up of the requests of a window, and what each request
# earns. The rest of the budget allows for attempts that reach runners later than others.
SAVED_RATIO_SHARE = 0.35
EARNED_RATIO_SHARE = 0.6
# The same shares of the slack.
SAVED_SLACK_SHARE = 0.6
EARNED_SLACK_SHARE = 0.35


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


class _Earned:
    """Attempts that requests to one service have earned at this node.

    Args:
        ratio: Further attempts allowed per request.
        window_seconds: Length of the budget's window.
    """

    def __init__(self, ratio: float, window_seconds: float) -> None:
        self._ratio = ratio
        self._requests = _SlidingCount(window_seconds)
        self._saved = 0.0

    def on_request(self, now: float) -> None:
        """Earn a part of an attempt."""
        self._requests.add(now)
        self._saved += EARNED_RATIO_SHARE * self._ratio
        self.available(now)

    def available(self, now: float) -> float:
        """Return how many attempts are saved, and drop those beyond what may be saved."""
        most = SAVED_RATIO_SHARE * self._ratio * self._requests.total(now)
        self._saved = min(self._saved, most)
        return self._saved

    def take(self, attempts: float) -> None:
        """Take attempts that are available."""
        self._saved -= attempts


class _Slack:
    """This node's part of the slack of one service, as a fraction of what may be saved up.

    The fraction does not depend on the number of nodes, which may change.

    Args:
        started_at: Time from which the slack fills.
        window_seconds: Length of the budget's window.
    """

    def __init__(self, started_at: float, window_seconds: float) -> None:
        self._fill_seconds = window_seconds * SAVED_SLACK_SHARE / EARNED_SLACK_SHARE
        self._filled_at = started_at
        self._fraction = 0.0

    def fraction(self, now: float) -> float:
        """Return the fraction that is available."""
        gained = max(0.0, now - self._filled_at) / self._fill_seconds
        self._fraction = min(1.0, self._fraction + gained)
        self._filled_at = max(self._filled_at, now)
        return self._fraction

    def take(self, fraction: float) -> None:
        """Take a fraction that is available."""
        self._fraction -= fraction


class _ServiceBudget:
    """This node's share of the budget of one service."""

    def __init__(self, ratio: float, started_at: float, window_seconds: float) -> None:
        self.earned = _Earned(ratio, window_seconds)
        self.slack = _Slack(started_at, window_seconds)


@dataclass(slots=True)
class RetryUse:
    """What this process has taken from its share of the budget, over all services.

    Attributes:
        from_requests: Further attempts covered by requests.
        from_slack: Further attempts covered by the slack.
        refused: Further attempts that the budget did not allow.
    """

    from_requests: float = 0.0
    from_slack: float = 0.0
    refused: int = 0


class SharedRetryBudget:
    """This node's share of the retry budgets of all services.

    Args:
        ratio: Further attempts allowed per request.
        slack: Further attempts allowed per window in addition, over all nodes.
        window_seconds: Length of the window.
        started_at: When this process started; by default, long ago.

    Attributes:
        use: What this process has taken so far.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_seconds: float,
        started_at: float = float("-inf"),
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window_seconds
        self._started_at = started_at
        self._node_count = 1
        self.use = RetryUse()
        self._services: dict[str, _ServiceBudget] = {}

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes that share the slack."""
        self._node_count = max(1, count)

    def on_request(self, service: str, now: float) -> None:
        """Count a request for a service."""
        self._service(service).earned.on_request(now)

    def allowed(self, service: str, now: float) -> float:
        """Return how many further attempts may be sent now."""
        budget = self._service(service)
        return budget.earned.available(now) + self._saved_slack * budget.slack.fraction(now)

    def try_retry(self, service: str, now: float) -> bool:
        """Take one further attempt from the budget; return whether one was available."""
        if self.allowed(service, now) < 1.0:
            self.use.refused += 1
            return False
        budget = self._service(service)
        from_requests = min(1.0, budget.earned.available(now))
        from_slack = 1.0 - from_requests
        budget.earned.take(from_requests)
        if from_slack > 0.0:
            budget.slack.take(from_slack / self._saved_slack)
        self.use.from_requests += from_requests
        self.use.from_slack += from_slack
        return True

    @property
    def _saved_slack(self) -> float:
        """The most slack that this node may save up."""
        return SAVED_SLACK_SHARE * self._slack / self._node_count

    def _service(self, name: str) -> _ServiceBudget:
        budget = self._services.get(name)
        if budget is None:
            budget = _ServiceBudget(self._ratio, self._started_at, self._window)
            self._services[name] = budget
        return budget
