"""What a runner says of how many requests a second it takes from all nodes together.

It holds for as long as its answers say so: an answer without a limit ends it. Answers overtake one
another, so each counts for the time at which it was asked for.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class AnswerKind(enum.StrEnum):
    """What a runner answers.

    Attributes:
        REQUEST: A caller's request.
        REPORT: A question on its state.
        ORDER: An order for weights.
        CACHE: A question on what it keeps of prompts.
    """

    REQUEST = "request"
    REPORT = "report"
    ORDER = "order"
    CACHE = "cache feed"


@dataclass(frozen=True, slots=True)
class AnswerSource:
    """The answer by which a runner says something of itself.

    Attributes:
        kind: What it answers.
        status: Status of the answer.
        asked_seconds_ago: How long before the answer it was asked for.
        request_id: The request; empty for other kinds.
        is_whole: Whether it is one that the runner gives when it has done what it was asked.
    """

    kind: AnswerKind
    status: int
    asked_seconds_ago: float = 0.0
    request_id: str = ""
    is_whole: bool = False

    def __str__(self) -> str:
        asked = f"{self.kind.value} {self.request_id}".strip()
        return f"{asked}: status {self.status}"


@dataclass(slots=True)
class RunnerLimit:
    """The limit of one process of a runner, as one node knows it.

    Attributes:
        rate: Requests a second that it takes from all nodes; None if it names no limit.
        named_at: When the latest answer came that names it.
        first_named_at: When the first one came since it last named none.
        source: Which answer named it first, for the log.
        asked_at: When the latest answer that counted was asked for.
        kinds: By which kinds of answers it is named.
    """

    rate: float | None = None
    named_at: float = float("-inf")
    first_named_at: float = float("-inf")
    source: str = ""
    asked_at: float = float("-inf")
    kinds: set[AnswerKind] = field(default_factory=set)

    def in_force(self, now: float) -> float | None:
        """Return the requests a second that it takes from all nodes; None without a limit."""
        return self.rate

    def take(self, rate: float | None, source: AnswerSource, now: float) -> bool:
        """Take over what an answer says, when its head has come; return whether it is news.

        Args:
            rate: The limit that it names; None if it names none.
            source: Which answer.
            now: When it came, on the node's clock.
        """
        asked_at = now - source.asked_seconds_ago
        if rate is None:
            return self._take_silence(source, asked_at)
        if asked_at < self.asked_at:
            return False
        is_news = rate != self.rate
        if self.rate is None:
            self.first_named_at, self.source = now, str(source)
        self.rate, self.named_at, self.asked_at = rate, now, asked_at
        self.kinds.add(source.kind)
        return is_news

    def _take_silence(self, source: AnswerSource, asked_at: float) -> bool:
        """Take over that an answer names no limit.

        Only one that was asked for after the latest that names it had come is surely newer. A kind
        of answers that never named it says nothing by its silence, unless it answers a request.
        """
        if self.rate is None or asked_at < self.named_at or not source.is_whole:
            return False
        if source.kind is not AnswerKind.REQUEST and source.kind not in self.kinds:
            return False
        self.rate, self.asked_at = None, asked_at
        self.kinds.clear()
        return True
