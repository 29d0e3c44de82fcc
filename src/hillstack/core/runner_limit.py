"""What a runner says of how many requests a second it takes from all nodes together.

It holds for as long as its answers say so: an answer without a limit ends it. Answers overtake one
another, so each counts for the time at which it was asked for.

What peers tell is a hint. That there is a limit makes a node careful for a while; a higher one than
this node was told counts only if it is surely the runner's later word. That it has ended lets one
request through, whose answer tells.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

# A peer's word that a runner names a limit is repeated by some of those who know after the shortest
# time, by all of them after twice that, and lapses after the longest one.
HINT_AGAIN_SECONDS = 2.0
HINT_SECONDS = 6.0
# The way of a word between nodes, with the wait until it is sent with others: what it tells is so
# much older than its age says.
HINT_TRANSIT_SECONDS = 0.15
# A runner that takes none is asked that often over all nodes, or nobody would hear of the end.
LEAST_RATE = 0.25


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
        hinted_rate: What peers say that it names.
        hinted_until: When that lapses.
        hinted_asked_at: When the answer of which they tell was asked for, or later.
        told_at: When a peer last told of it, or this node did.
        may_probe: Whether one request may be sent to ask whether it has ended, as a peer says.
        no_room_until: This node gets no further part of it before.
    """

    rate: float | None = None
    named_at: float = float("-inf")
    first_named_at: float = float("-inf")
    source: str = ""
    asked_at: float = float("-inf")
    kinds: frozenset[AnswerKind] = frozenset()
    hinted_rate: float = 0.0
    hinted_until: float = float("-inf")
    hinted_asked_at: float = float("-inf")
    told_at: float = float("-inf")
    may_probe: bool = False
    no_room_until: float = float("-inf")

    def in_force(self, now: float) -> float | None:
        """Return the requests a second that it takes from all nodes; None without a limit."""
        if now >= self.hinted_until:
            return self.rate
        if self.rate is None or self.hinted_asked_at - HINT_TRANSIT_SECONDS >= self.named_at:
            return self.hinted_rate
        return min(self.rate, self.hinted_rate)

    def rate_to_use(self, now: float) -> float | None:
        """Return the requests a second that all nodes send to it; None without a limit."""
        rate = self.in_force(now)
        return None if rate is None else max(rate, LEAST_RATE)

    def take(self, rate: float | None, source: AnswerSource, now: float) -> bool:
        """Take over what an answer says, when its head has come; return whether it is news.

        Args:
            rate: The limit that it names; None if it names none.
            source: Which answer.
            now: When it came, on the node's clock.
        """
        asked_at = now - source.asked_seconds_ago
        if rate is None:
            return self._take_silence(source, asked_at, now)
        if asked_at < self.asked_at:
            return False
        is_news = rate != self.rate
        self.may_probe = False
        if self.rate is None:
            self.first_named_at, self.source = now, str(source)
        self.rate, self.named_at, self.asked_at = rate, now, asked_at
        self.kinds |= {source.kind}
        return is_news

    def hint(self, rate: float, age_seconds: float, now: float) -> bool:
        """Take over a peer's word that it names a limit; return whether this node knows better.

        Args:
            rate: The limit.
            age_seconds: How long before the peer's word the answer was asked for that names it.
            now: When the word came, on the node's clock.
        """
        asked_at = now - age_seconds
        if self.rate is None and asked_at <= self.asked_at:
            return True
        self.told_at = now
        if asked_at >= self.hinted_asked_at - HINT_TRANSIT_SECONDS or now >= self.hinted_until:
            self._take_hint(rate, asked_at, now)
        return False

    def _take_hint(self, rate: float, asked_at: float, now: float) -> None:
        """Take over a peer's word that is not older than the one before, as far as can be told.

        The same word comes again and again, some ten milliseconds sooner or later. Of two that may
        be of the same time the lower rate counts.
        """
        is_same_time = asked_at < self.hinted_asked_at + HINT_TRANSIT_SECONDS
        if is_same_time and now < self.hinted_until:
            rate = min(rate, self.hinted_rate)
            asked_at = max(asked_at, self.hinted_asked_at)
        self.hinted_rate, self.hinted_asked_at = rate, asked_at
        self.hinted_until = now + HINT_SECONDS

    def hint_end(self, age_seconds: float, now: float) -> None:
        """Take over a peer's word that it names no limit any more.

        Args:
            age_seconds: How long before the peer's word the answer was asked for that says so.
            now: When the word came, on the node's clock.
        """
        asked_at = now - age_seconds - HINT_TRANSIT_SECONDS
        if asked_at >= self.hinted_asked_at:
            self.hinted_until = float("-inf")
        if self.rate is not None and asked_at >= self.named_at:
            self.may_probe = True
            self.no_room_until = float("-inf")

    def take_probe(self) -> bool:
        """Return whether a request may be sent to ask whether it has ended; one at a time."""
        may_probe, self.may_probe = self.may_probe, False
        return may_probe

    def _take_silence(self, source: AnswerSource, asked_at: float, now: float) -> bool:
        """Take over that an answer names no limit.

        Only one that was asked for after the latest that names it had come is surely newer. A kind
        of answers that never named it says nothing by its silence, unless it answers a request.
        """
        if self.in_force(now) is None or not source.is_whole:
            return False
        if asked_at < max(self.named_at, self.hinted_asked_at):
            return False
        if source.kind is not AnswerKind.REQUEST and source.kind not in self.kinds:
            return False
        self.rate, self.asked_at, self.may_probe = None, asked_at, False
        self.hinted_until = self.no_room_until = float("-inf")
        self.kinds = frozenset()
        return True
