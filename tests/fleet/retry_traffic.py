"""Requests that fail at nodes that share a retry budget, in virtual time.

Nodes are killed, restarted, replaced and added; each process counts for itself, as real ones do.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from hillstack.core.shared_retry_budget import SharedRetryBudget
from tests.fleet.repeat_window import RepeatBound, WorstWindow, worst_window

SERVICE = "service"
# A restart of a node takes at least this long.
DOWN_SECONDS = 0.5
# Further attempts that each failing request may make.
REPEATS = 3


@dataclass
class RetryTraffic:
    """Sends requests to random nodes, and retries those that fail as often as the budget allows.

    Attributes:
        nodes: Budget of each running node.
        listed: Number of nodes that the running nodes know of.
        fails_from: Time from which all requests fail.
        sent: When each request was sent.
        repeated: When each further attempt was sent.
        failed: Requests without a further attempt.
    """

    bound: RepeatBound
    count: int
    seed: int
    fails_from: float = 0.0
    now: float = 100.0
    nodes: dict[str, SharedRetryBudget] = field(default_factory=dict)
    listed: int = 0
    sent: list[float] = field(default_factory=list)
    repeated: list[float] = field(default_factory=list)
    failed: int = 0
    _starts: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._rng = Random(self.seed)
        self.listed = self.count
        for number in range(self.count):
            self.start(f"node-{number}")

    def start(self, name: str, started_at: float = float("-inf")) -> None:
        bound = self.bound
        budget = SharedRetryBudget(bound.ratio, bound.slack, bound.window, started_at)
        budget.set_node_count(self.listed)
        self.nodes[name] = budget

    def add(self, name: str) -> None:
        """Add a node that all nodes know."""
        self.listed += 1
        self.start(name, self.now)
        for budget in self.nodes.values():
            budget.set_node_count(self.listed)

    def kill(self, name: str) -> None:
        """Kill a node; it starts again after ``DOWN_SECONDS``."""
        if self.nodes.pop(name, None) is not None:
            self._starts[name] = self.now + DOWN_SECONDS

    def replace(self, name: str, successor: str) -> None:
        """Remove a node for good, and start another one, which is listed beside it for a while."""
        if self.nodes.pop(name, None) is None:
            return
        self.listed += 1
        for budget in self.nodes.values():
            budget.set_node_count(self.listed)
        self._starts[successor] = self.now + DOWN_SECONDS

    def send(self, per_second: float, seconds: float) -> None:
        """Let requests arrive at a mean rate for some seconds."""
        ends_at = self.now + seconds
        while (at := self.now + self._rng.expovariate(per_second)) < ends_at:
            self.now = at
            for name in [n for n, start in self._starts.items() if start <= at]:
                del self._starts[name]
                self.start(name, at)
            self.sent.append(at)
            if self.nodes:
                self._serve(self.nodes[self._rng.choice(sorted(self.nodes))])
        self.now = ends_at

    def worst(self) -> WorstWindow:
        return worst_window(self.sent, self.repeated, self.bound)

    def _serve(self, budget: SharedRetryBudget) -> None:
        budget.on_request(SERVICE, self.now)
        if self.now < self.fails_from:
            return
        repeats = 0
        while repeats < REPEATS and budget.try_retry(SERVICE, self.now):
            repeats += 1
            self.repeated.append(self.now)
        self.failed += repeats == 0
