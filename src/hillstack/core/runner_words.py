"""What runners say of themselves in the heads of their answers.

It is known at first hand and at once, while the directory tells it when its store has taken it: not
before the end of an outage. It holds for one process of a runner, whatever the directory says of it
meanwhile, and nothing takes it back: a process that leaves ends, and a rest ends by its time.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# Processes of which words are kept. Several times as many as leave or are replaced in a day at a
# fleet's full size (2,100); some 200 bytes each.
MAX_PROCESSES = 8_192


@dataclass(frozen=True, slots=True)
class RunnerSignals:
    """What one answer says of its runner.

    Attributes:
        leaving: Whether its process leaves.
        rest_seconds: How long it wants no requests of this node; 0 if it does not say.
    """

    leaving: bool = False
    rest_seconds: float = 0.0

    def __bool__(self) -> bool:
        """Return whether it says anything."""
        return self.leaving or self.rest_seconds > 0


@dataclass(slots=True)
class RunnerWords:
    """What a process of a runner has told this node of itself so far.

    Attributes:
        left_at: When the first answer came that says that it leaves; None if none did.
        left_source: Which answer that was, for the log.
        rests_until: It wants no requests of this node before; the latest end that it asked for.
        rest_asked_at: When that was asked.
        rest_source: By which answer, for the log.
    """

    left_at: float | None = None
    left_source: str = ""
    rests_until: float = float("-inf")
    rest_asked_at: float = float("-inf")
    rest_source: str = ""

    @property
    def leaves(self) -> bool:
        """Whether its process leaves."""
        return self.left_at is not None

    def rest_left(self, now: float) -> float:
        """Return the seconds of rest that are left; 0 if it does not rest."""
        return max(0.0, self.rests_until - now)

    def hold_back(self, now: float) -> bool:
        """Return whether they keep requests away from it."""
        return self.leaves or now < self.rests_until

    def take(self, signals: RunnerSignals, source: str, now: float) -> bool:
        """Take over what an answer says, from when it came; return whether it is news.

        Of several rests the latest end counts: an answer to an earlier request, or a refusal that
        asks for none, does not cut one short.
        """
        is_news = False
        if signals.leaving and self.left_at is None:
            self.left_at, self.left_source = now, source
            is_news = True
        until = now + signals.rest_seconds
        if signals.rest_seconds > 0 and until > self.rests_until:
            self.rests_until, self.rest_asked_at, self.rest_source = until, now, source
            is_news = True
        return is_news


class WordRecord:
    """The words of processes by their identifiers, also of those that the directory has dropped.

    The directory may list a process again long after it has dropped it; what it said still holds.
    """

    def __init__(self) -> None:
        self._words: OrderedDict[str, RunnerWords] = OrderedDict()

    def __contains__(self, runner_id: str) -> bool:
        return runner_id in self._words

    def get(self, runner_id: str) -> RunnerWords | None:
        """Return the words of a process; None if it has said nothing."""
        return self._words.get(runner_id)

    def keep(self, runner_id: str, words: RunnerWords) -> None:
        """Keep the words of a process; those that were kept for longest give way."""
        self._words[runner_id] = words
        self._words.move_to_end(runner_id)
        while len(self._words) > MAX_PROCESSES:
            self._words.popitem(last=False)
