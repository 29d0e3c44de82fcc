"""Load on one runner as running totals, so that a read costs the same with any number of peers.

Totals change when a notice arrives, when an attempt begins or ends, and when a peer's report
expires. Peers without load use no memory.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass

import msgspec

# Lifetime of a peer's report. A peer repeats its loads every 0.8 s
# (``peer_exchange.REFRESH_SECONDS``): one repetition may be lost, and the load of a failed peer
# expires soon.
PEER_LOAD_SECONDS = 2.0


class RunnerLoad(msgspec.Struct, frozen=True):
    """Load that one or several nodes put on a runner.

    Attributes:
        running: Number of requests.
        long_running: Number of long streams among the requests.
        committed_tokens: Memory that the requests may use in total, in tokens.
    """

    running: int = 0
    long_running: int = 0
    committed_tokens: int = 0

    def is_zero(self) -> bool:
        """Return whether there is no load at all."""
        return self.running <= 0 and self.committed_tokens <= 0

    def plus(self, other: RunnerLoad) -> RunnerLoad:
        """Return the sum of both loads."""
        return RunnerLoad(
            self.running + other.running,
            self.long_running + other.long_running,
            self.committed_tokens + other.committed_tokens,
        )

    def without(self, other: RunnerLoad) -> RunnerLoad:
        """Return this load minus another load, with no value below 0."""
        return RunnerLoad(
            max(0, self.running - other.running),
            max(0, self.long_running - other.long_running),
            max(0, self.committed_tokens - other.committed_tokens),
        )


NO_LOAD = RunnerLoad()


@dataclass(slots=True)
class OwnAttempt:
    """An attempt that this node sent to a runner.

    Attributes:
        prefill_tokens: Tokens that the runner has to prefill.
        total_tokens: Memory that the attempt may use in total, in tokens.
        sent_at: When the attempt was sent.
        due_at: When the first bytes of the answer are overdue.
        long: Whether the attempt is expected to run so long that it holds up a load of weights.
        started: Whether the first event of the answer has arrived.
    """

    prefill_tokens: int
    total_tokens: int
    sent_at: float
    due_at: float
    long: bool = False
    started: bool = False

    def load(self) -> RunnerLoad:
        """Return the load that the attempt puts on its runner."""
        return RunnerLoad(1, int(self.long), self.total_tokens)


class OwnAttempts:
    """The attempts that this node has at one runner, and their total load."""

    def __init__(self) -> None:
        self._attempts: dict[str, OwnAttempt] = {}
        self._load = NO_LOAD

    def __len__(self) -> int:
        return len(self._attempts)

    def add(self, attempt_id: str, attempt: OwnAttempt) -> None:
        """Add an attempt that is being sent."""
        self.remove(attempt_id)
        self._attempts[attempt_id] = attempt
        self._load = self._load.plus(attempt.load())

    def remove(self, attempt_id: str) -> None:
        """Remove an attempt that has ended."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is not None:
            self._load = self._load.without(attempt.load())

    def get(self, attempt_id: str) -> OwnAttempt | None:
        """Return an attempt, or None if it has ended."""
        return self._attempts.get(attempt_id)

    def all(self) -> Collection[OwnAttempt]:
        """Return the attempts."""
        return self._attempts.values()

    def load(self) -> RunnerLoad:
        """Return the total load of the attempts."""
        return self._load


class ReportedLoads:
    """Loads on one runner as reported by other nodes; a report expires unless it is replaced.

    Reports are stored in the order of their arrival, so expiry checks the oldest first and visits
    each report once. Reports arrive about ten times as often as the total is read, so the sums are
    kept as plain numbers and combined into a load only on a read.
    """

    def __init__(self) -> None:
        self._reports: OrderedDict[str, tuple[RunnerLoad, float]] = OrderedDict()
        # Lower bound of the arrival times of all reports.
        self._oldest_at = math.inf
        self._running = 0
        self._long_running = 0
        self._committed_tokens = 0
        self._total: RunnerLoad | None = NO_LOAD

    def __len__(self) -> int:
        return len(self._reports)

    def report(self, reporter: str, load: RunnerLoad, now: float) -> None:
        """Apply a reporter's load, which replaces its previous report."""
        known = self._reports.pop(reporter, None)
        if known is not None:
            self._subtract(known[0])
        if load.running <= 0 and load.committed_tokens <= 0:
            return
        self._reports[reporter] = load, now
        self._running += load.running
        self._long_running += load.long_running
        self._committed_tokens += load.committed_tokens
        self._total = None
        if now < self._oldest_at:
            self._oldest_at = now

    def total(self, now: float) -> RunnerLoad:
        """Return the total load of all reports that have not expired."""
        if self._oldest_at < now - PEER_LOAD_SECONDS:
            self._expire(now - PEER_LOAD_SECONDS)
        if self._total is None:
            running, long_running = self._running, self._long_running
            self._total = RunnerLoad(running, long_running, self._committed_tokens)
        return self._total

    def _expire(self, oldest: float) -> None:
        self._oldest_at = math.inf
        while self._reports:
            reporter, (load, reported_at) = next(iter(self._reports.items()))
            if reported_at >= oldest:
                self._oldest_at = reported_at
                return
            del self._reports[reporter]
            self._subtract(load)

    def _subtract(self, load: RunnerLoad) -> None:
        self._running -= load.running
        self._long_running -= load.long_running
        self._committed_tokens -= load.committed_tokens
        self._total = None
