"""Signals that runners send about themselves in the heads of their answers.

A node receives these signals directly and at once, while the directory has them only after a write
to its store, which fails during an outage. Signals apply to one process of a runner, whatever the
directory lists meanwhile. A leaving process never accepts work again, a backoff ends after its
time, and a limit ends with an answer that has none (``runner_limit``).
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from hillstack.core.runner_limit import RunnerLimit

# Maximum number of processes with stored signals: several times the number of processes that leave
# or are replaced in a day in a fleet of full size (2,100). Each entry takes about 200 bytes.
MAX_PROCESSES = 8_192


@dataclass(frozen=True, slots=True)
class RunnerSignals:
    """The signals in one answer of a runner.

    Attributes:
        leaving: Whether the process is leaving.
        backoff_seconds: Time for which this node should send no requests; 0 without a backoff.
        limit: Requests per second that the runner accepts from all nodes together; None without a
            limit.
        rejections: Rejections in a second that the runner tolerates; None if it is not brittle.
    """

    leaving: bool = False
    backoff_seconds: float = 0.0
    limit: float | None = None
    rejections: float | None = None

    def __bool__(self) -> bool:
        """Return whether the answer contains any signal."""
        is_rated = self.limit is not None or self.rejections is not None
        return self.leaving or self.backoff_seconds > 0 or is_rated


@dataclass(slots=True)
class ReceivedSignals:
    """The signals that this node has received so far from one runner process.

    Attributes:
        leaving_since: When the first answer arrived that reported the process as leaving; None
            without one.
        leaving_source: That answer, for the log.
        backoff_until: This node sends no requests before this time: the latest end of all backoffs.
        backoff_received_at: When that backoff arrived.
        backoff_source: The answer with that backoff, for the log.
        limit: The limit on the requests of all nodes together.
        brittleness: The rejections in a second that the process tolerates; its ``rate`` is None
            while it is not brittle.
        no_place_until: All places of the brittle process are in use, and this node sends no
            requests before this time.
    """

    leaving_since: float | None = None
    leaving_source: str = ""
    backoff_until: float = float("-inf")
    backoff_received_at: float = float("-inf")
    backoff_source: str = ""
    limit: RunnerLimit = field(default_factory=RunnerLimit)
    brittleness: RunnerLimit = field(default_factory=RunnerLimit)
    no_place_until: float = float("-inf")

    @property
    def is_leaving(self) -> bool:
        """Whether the process is leaving."""
        return self.leaving_since is not None

    def remaining_backoff(self, now: float) -> float:
        """Return the remaining seconds of the backoff; 0 without a backoff."""
        return max(0.0, self.backoff_until - now)

    @property
    def unavailable_until(self) -> float:
        """Until when this node may send no requests: for a backoff, a limit or want of a place."""
        return max(self.backoff_until, self.limit.exhausted_until, self.no_place_until)

    def restricts_requests(self, now: float) -> bool:
        """Return whether the signals may keep requests away from the process."""
        return self.is_leaving or now < self.backoff_until or self.limit.in_force(now) is not None

    def apply(self, signals: RunnerSignals, source: str, now: float) -> bool:
        """Apply the signals of an answer that has just arrived; return whether anything changed.

        Of several backoffs the latest end counts: neither an answer to an earlier request nor a
        refusal without a backoff shortens it.
        """
        is_news = False
        if signals.leaving and self.leaving_since is None:
            self.leaving_since, self.leaving_source = now, source
            is_news = True
        until = now + signals.backoff_seconds
        if signals.backoff_seconds > 0 and until > self.backoff_until:
            self.backoff_until, self.backoff_received_at, self.backoff_source = until, now, source
            is_news = True
        return is_news


class SignalRecord:
    """Signals by process identifier, also for processes that the directory has dropped.

    The directory may list a process again long after it was dropped, and its signals still apply.
    """

    def __init__(self) -> None:
        self._signals: OrderedDict[str, ReceivedSignals] = OrderedDict()

    def __contains__(self, runner_id: str) -> bool:
        return runner_id in self._signals

    def get(self, runner_id: str) -> ReceivedSignals | None:
        """Return the signals of a process; None if it has sent none."""
        return self._signals.get(runner_id)

    def store(self, runner_id: str, received: ReceivedSignals) -> None:
        """Store the signals of a process, evicting the signals stored longest ago if necessary."""
        self._signals[runner_id] = received
        self._signals.move_to_end(runner_id)
        while len(self._signals) > MAX_PROCESSES:
            self._signals.popitem(last=False)
