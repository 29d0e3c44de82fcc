"""The rate limit that a runner reports for the requests of all nodes together.

The limit is in effect while the runner's answers contain it: an answer without a limit ends it.
Answers may arrive out of order, so each is ordered by the time at which its request was sent.

Reports of peers are hints. A hint of a limit is applied for a limited time; a hinted rate above the
rate that the runner reported to this node is applied only if it is certainly newer. A hint that a
limit has ended lets one request through, whose answer shows whether the limit has ended.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

# A hint that a runner reports a limit is repeated by some of the nodes that know it after
# HINT_AGAIN_SECONDS, by all of them after twice that time, and expires after HINT_SECONDS.
HINT_AGAIN_SECONDS = 2.0
HINT_SECONDS = 6.0
# Delay of a hint between nodes, including the wait in the sender's batch. The age in a hint does
# not include this delay.
HINT_TRANSIT_SECONDS = 0.15
# Requests per second that all nodes together still send to a runner with a limit of 0; without
# them no node would learn that the limit has ended.
MIN_PROBE_RATE = 0.25


class AnswerKind(enum.StrEnum):
    """The kind of request that a runner answers.

    Attributes:
        REQUEST: A caller's request.
        REPORT: A query of the runner's state.
        ORDER: An order to load weights.
        CACHE: A query of the prompt parts that the runner has cached.
    """

    REQUEST = "request"
    REPORT = "report"
    ORDER = "order"
    CACHE = "cache feed"


@dataclass(frozen=True, slots=True)
class AnswerSource:
    """The answer in which a runner reported its own state.

    Attributes:
        kind: Kind of the answered request.
        status: Status code of the answer.
        seconds_since_request: Seconds from the sending of the request to the answer.
        request_id: Identifier of a caller's request; empty for other kinds.
        was_carried_out: Whether the answer shows that the runner has carried out the request.
    """

    kind: AnswerKind
    status: int
    seconds_since_request: float = 0.0
    request_id: str = ""
    was_carried_out: bool = False

    def __str__(self) -> str:
        asked = f"{self.kind.value} {self.request_id}".strip()
        return f"{asked}: status {self.status}"


@dataclass(slots=True)
class RunnerLimit:
    """The limit of one runner process, as known to this node.

    Attributes:
        rate: Requests per second that the runner accepts from all nodes; None without a limit.
        last_reported_at: When the latest answer with the limit arrived.
        first_reported_at: When the first answer with a limit arrived since the runner had none.
        source: The first answer with the limit, for the log.
        request_sent_at: When the request of the latest applied answer was sent.
        kinds: The kinds of answers that contain the limit.
        hinted_rate: The rate that peers report.
        hinted_until: When the hint of peers expires.
        hinted_request_sent_at: When the request was sent whose answer the hint reports, or later.
        last_hint_at: When a peer or this node last sent a hint of the limit.
        may_probe: Whether one request may be sent to find out whether the limit has ended, since a
            peer reported its end.
        exhausted_until: This node gets no further share of the limit before this time.
    """

    rate: float | None = None
    last_reported_at: float = float("-inf")
    first_reported_at: float = float("-inf")
    source: str = ""
    request_sent_at: float = float("-inf")
    kinds: frozenset[AnswerKind] = frozenset()
    hinted_rate: float = 0.0
    hinted_until: float = float("-inf")
    hinted_request_sent_at: float = float("-inf")
    last_hint_at: float = float("-inf")
    may_probe: bool = False
    exhausted_until: float = float("-inf")

    def in_force(self, now: float) -> float | None:
        """Return the requests per second that the runner accepts from all nodes, or None."""
        if now >= self.hinted_until:
            return self.rate
        if (
            self.rate is None
            or self.hinted_request_sent_at - HINT_TRANSIT_SECONDS >= self.last_reported_at
        ):
            return self.hinted_rate
        return min(self.rate, self.hinted_rate)

    def rate_to_use(self, now: float) -> float | None:
        """Return the requests per second that all nodes may send to the runner, or None."""
        rate = self.in_force(now)
        return None if rate is None else max(rate, MIN_PROBE_RATE)

    def apply(self, rate: float | None, source: AnswerSource, now: float) -> bool:
        """Apply the limit in the head of an answer; return whether the limit has changed.

        Args:
            rate: The limit in the answer; None if the answer has none.
            source: The answer.
            now: When the answer arrived, on the node's clock.
        """
        request_sent_at = now - source.seconds_since_request
        if rate is None:
            return self._apply_missing_limit(source, request_sent_at, now)
        if request_sent_at < self.request_sent_at:
            return False
        is_news = rate != self.rate
        self.may_probe = False
        if self.rate is None:
            self.first_reported_at, self.source = now, str(source)
        self.rate, self.last_reported_at, self.request_sent_at = rate, now, request_sent_at
        self.kinds |= {source.kind}
        return is_news

    def apply_hint(self, rate: float, age_seconds: float, now: float) -> bool:
        """Apply a peer's hint of a limit; return whether this node knows that it has ended.

        Args:
            rate: The limit.
            age_seconds: Seconds from the sending of the request whose answer contained the limit to
                the sending of the hint.
            now: When the hint arrived, on the node's clock.
        """
        request_sent_at = now - age_seconds
        if self.rate is None and request_sent_at <= self.request_sent_at:
            return True
        self.last_hint_at = now
        if (
            request_sent_at >= self.hinted_request_sent_at - HINT_TRANSIT_SECONDS
            or now >= self.hinted_until
        ):
            self._apply_hint(rate, request_sent_at, now)
        return False

    def _apply_hint(self, rate: float, request_sent_at: float, now: float) -> None:
        """Apply a hint that is not older than the current hint, within the transit delay.

        The same hint arrives repeatedly, with times that differ by some ten milliseconds. Of two
        hints that may be from the same time, the lower rate is applied.
        """
        is_same_time = request_sent_at < self.hinted_request_sent_at + HINT_TRANSIT_SECONDS
        if is_same_time and now < self.hinted_until:
            rate = min(rate, self.hinted_rate)
            request_sent_at = max(request_sent_at, self.hinted_request_sent_at)
        self.hinted_rate, self.hinted_request_sent_at = rate, request_sent_at
        self.hinted_until = now + HINT_SECONDS

    def apply_end_hint(self, age_seconds: float, now: float) -> None:
        """Apply a peer's hint that the limit has ended.

        Args:
            age_seconds: Seconds from the sending of the request whose answer had no limit to the
                sending of the hint.
            now: When the hint arrived, on the node's clock.
        """
        request_sent_at = now - age_seconds - HINT_TRANSIT_SECONDS
        if request_sent_at >= self.hinted_request_sent_at:
            self.hinted_until = float("-inf")
        if self.rate is not None and request_sent_at >= self.last_reported_at:
            self.may_probe = True
            self.exhausted_until = float("-inf")

    def take_probe(self) -> bool:
        """Return whether a request may be sent to probe for the end of the limit, once per hint."""
        may_probe, self.may_probe = self.may_probe, False
        return may_probe

    def _apply_missing_limit(
        self, source: AnswerSource, request_sent_at: float, now: float
    ) -> bool:
        """Apply an answer without a limit; return whether this ended the limit.

        The answer is certainly newer only if its request was sent after the latest answer with the
        limit had arrived. An answer of a kind that never contained the limit does not end it,
        unless it answers a caller's request.
        """
        if self.in_force(now) is None or not source.was_carried_out:
            return False
        if request_sent_at < max(self.last_reported_at, self.hinted_request_sent_at):
            return False
        if source.kind is not AnswerKind.REQUEST and source.kind not in self.kinds:
            return False
        self.rate, self.request_sent_at, self.may_probe = None, request_sent_at, False
        self.hinted_until = self.exhausted_until = float("-inf")
        self.kinds = frozenset()
        return True
