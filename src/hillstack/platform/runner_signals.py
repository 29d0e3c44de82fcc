"""Reads the signals that a runner sets in the headers of its answers.

A runner can announce that it is about to stop, ask for a backoff, or state the requests per second
that it accepts from all nodes together, or the rejections in a second that it tolerates.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from hillstack import clock
from hillstack.core.runner_limit import AnswerKind, AnswerSource
from hillstack.core.runner_signals import RunnerSignals
from hillstack.platform import names
from hillstack.platform.expected_headers import unknown_fields
from hillstack.platform.runner_identifiers import instance_of

SERVICE_UNAVAILABLE = 503
OK = 200
REDIRECTS = 300
FLAG_SET = "1"
# A decimal number with an optional fraction. A date, a sign or any other text is treated like a
# missing field; the pause that follows every refusal applies anyway.
DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?")
# As long as the longest lease of the platform. Usual backoffs are some seconds; a longer backoff
# than this is treated as a mistake and cut to this limit.
MAX_BACKOFF_SECONDS = 600.0
# Requests per second. More than all nodes send to all runners of the largest fleet, so a higher
# limit has no effect.
MAX_REQUESTS_PER_SECOND = 1_000_000.0


@dataclass(frozen=True, slots=True)
class SentCall:
    """A call to a runner whose answer is read for signals.

    Attributes:
        kind: The kind of call.
        request_id: Identifier of the caller's request; empty for other kinds of calls.
        at: When the call was sent, on the system's monotonic clock.
    """

    kind: AnswerKind
    request_id: str = ""
    at: float = field(default_factory=clock.seconds)


class SignalListener(Protocol):
    """Receives the signals in the answers of runners."""

    def receive(self, runner_id: str, signals: RunnerSignals, source: AnswerSource) -> None:
        """Handle the signals of an answer; called once per answer, when its head was received.

        Args:
            runner_id: The runner process that answered.
            signals: The signals, possibly none. An answer without a limit ends an earlier limit.
            source: The kind, status and duration of the answer.
        """
        ...

    def handle_unknown_field(self, runner_id: str, name: str, value: str) -> None:
        """Handle a header field of an answer that hillstack does not know.

        Args:
            runner_id: The runner process that answered.
            name: The field's name, in lower case.
            value: The field's value.
        """
        ...


class SignalReader:
    """Passes the signals in runners' answers to a listener.

    Args:
        listener: Receives the signals; None to ignore them.
    """

    def __init__(self, listener: SignalListener | None = None) -> None:
        self._listener = listener

    def read(self, runner_id: str, status: int, headers: Mapping[str, str], call: SentCall) -> None:
        """Read the head of an answer, unless it names another runner as its sender.

        Args:
            runner_id: The runner process that the call was sent to.
            status: Status of the answer.
            headers: Headers of the answer.
            call: The call that was answered.
        """
        answered_by = headers.get(names.INSTANCE)
        if answered_by is not None and answered_by != instance_of(runner_id):
            return
        if self._listener is None:
            return
        is_complete = OK <= status < REDIRECTS
        if call.kind is AnswerKind.REQUEST:
            is_complete = is_complete and names.SIGNATURE in headers
        source = AnswerSource(
            call.kind, status, clock.seconds() - call.at, call.request_id, is_complete
        )
        self._listener.receive(runner_id, parse_signals(status, headers), source)
        for name in unknown_fields(headers):
            self._listener.handle_unknown_field(runner_id, name.lower(), headers[name])


def parse_signals(status: int, headers: Mapping[str, str]) -> RunnerSignals:
    """Return the signals in the head of an answer."""
    leaving = headers.get(names.LEAVING, "").strip() == FLAG_SET
    backoff = 0.0
    if status == SERVICE_UNAVAILABLE:
        backoff = parse_backoff(headers.get(names.RETRY_AFTER, ""))
    limit = parse_limit(headers.get(names.REQUEST_LIMIT, ""))
    return RunnerSignals(leaving, backoff, limit, parse_limit(headers.get(names.BRITTLE, "")))


def parse_backoff(text: str) -> float:
    """Return the backoff in seconds that a text states; 0 if it can't be parsed."""
    text = text.strip()
    if not DECIMAL.fullmatch(text):
        return 0.0
    return min(MAX_BACKOFF_SECONDS, float(text))


def parse_limit(text: str) -> float | None:
    """Return the number per second that a text states; None if it can't be parsed."""
    text = text.strip()
    if not DECIMAL.fullmatch(text):
        return None
    return min(MAX_REQUESTS_PER_SECOND, float(text))
