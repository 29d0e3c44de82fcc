"""What runners say of themselves in the heads of their answers.

It is known at first hand and at once, while the directory tells it when its store has taken it: not
before the end of an outage. It holds for one process of a runner, whatever the directory says of it
meanwhile: a process that leaves ends, a backoff ends by its time, and a limit by the runner's own
word (``runner_limit``).
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from hillstack.core.runner_limit import RunnerLimit

# Processes whose signals are kept. Several times as many as leave or are replaced in a day at a
# fleet's full size (2,100); some 200 bytes each.
MAX_PROCESSES = 8_192


@dataclass(frozen=True, slots=True)
class RunnerSignals:
    """What one answer says of its runner.

    Attributes:
        leaving: Whether its process leaves.
        backoff_seconds: How long it wants no requests of this node; 0 if it does not say.
        limit: Requests a second that it takes from all nodes together; None if it names no limit.
    """

    leaving: bool = False
    backoff_seconds: float = 0.0
    limit: float | None = None

    def __bool__(self) -> bool:
        """Return whether it says anything."""
        return self.leaving or self.backoff_seconds > 0 or self.limit is not None


@dataclass(slots=True)
class ReceivedSignals:
    """What a process of a runner has told this node of itself so far.

    Attributes:
        left_at: When the first answer came that says that it leaves; None if none did.
        left_source: Which answer that was, for the log.
        backoff_until: It wants no requests of this node before; the latest end that it asked for.
        backoff_asked_at: When that was asked.
        backoff_source: By which answer, for the log.
        limit: What it says of the requests that it takes from all nodes together.
    """

    left_at: float | None = None
    left_source: str = ""
    backoff_until: float = float("-inf")
    backoff_asked_at: float = float("-inf")
    backoff_source: str = ""
    limit: RunnerLimit = field(default_factory=RunnerLimit)

    @property
    def leaves(self) -> bool:
        """Whether its process leaves."""
        return self.left_at is not None

    def backoff_left(self, now: float) -> float:
        """Return the seconds of backoff that are left; 0 without one."""
        return max(0.0, self.backoff_until - now)

    @property
    def asked_until(self) -> float:
        """Until when it wants no requests of this node: a backoff, or no part of its limit."""
        return max(self.backoff_until, self.limit.no_room_until)

    def hold_back(self, now: float) -> bool:
        """Return whether they keep requests away from it."""
        return self.leaves or now < self.backoff_until or self.limit.in_force(now) is not None

    def take(self, signals: RunnerSignals, source: str, now: float) -> bool:
        """Take over what an answer says, from when it came; return whether it is news.

        Of several backoffs the latest end counts: an answer to an earlier request, or a refusal
        that asks for none, does not cut one short.
        """
        is_news = False
        if signals.leaving and self.left_at is None:
            self.left_at, self.left_source = now, source
            is_news = True
        until = now + signals.backoff_seconds
        if signals.backoff_seconds > 0 and until > self.backoff_until:
            self.backoff_until, self.backoff_asked_at, self.backoff_source = until, now, source
            is_news = True
        return is_news


class SignalRecord:
    """The signals of processes by their identifiers, also of those that the directory has dropped.

    The directory may list a process again long after it has dropped it; what it said still holds.
    """

    def __init__(self) -> None:
        self._signals: OrderedDict[str, ReceivedSignals] = OrderedDict()

    def __contains__(self, runner_id: str) -> bool:
        return runner_id in self._signals

    def get(self, runner_id: str) -> ReceivedSignals | None:
        """Return the signals of a process; None if it has given none."""
        return self._signals.get(runner_id)

    def keep(self, runner_id: str, received: ReceivedSignals) -> None:
        """Keep the signals of a process; those that were kept for longest give way."""
        self._signals[runner_id] = received
        self._signals.move_to_end(runner_id)
        while len(self._signals) > MAX_PROCESSES:
            self._signals.popitem(last=False)
