"""Reads what a runner says of itself in the head of an answer.

It leaves, wants a backoff, or takes so many requests a second from all nodes together.
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
from hillstack.platform.incarnations import instance_of
from hillstack.platform.known_fields import unknown_fields

SERVICE_UNAVAILABLE = 503
OK = 200
REDIRECTS = 300
SAYS_SO = "1"
# Whole or with a fraction. A date, a sign or anything else is passed over like a missing one: the
# pause after any refusal holds all the same.
DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?")
# Backoffs of some seconds were seen. One that is longer than a lease of the platform may be is
# taken for a mistake, and the runner is asked again after that.
MAX_BACKOFF_SECONDS = 600.0
# More than all nodes send to all runners of the largest fleet: as good as none.
MAX_LIMIT = 1_000_000.0


@dataclass(frozen=True, slots=True)
class Asked:
    """What a runner was asked, and when.

    Attributes:
        kind: What it was.
        request_id: The request; empty for other kinds.
        at: When it was sent, on the system's monotonic clock.
    """

    kind: AnswerKind
    request_id: str = ""
    at: float = field(default_factory=clock.seconds)


class SignalListener(Protocol):
    """Takes what runners say of themselves."""

    def heard(self, runner_id: str, signals: RunnerSignals, source: AnswerSource) -> None:
        """Take what an answer says of a process, when its head has come.

        Args:
            runner_id: The process.
            signals: What it says, which may be nothing: that ends a limit.
            source: Which answer.
        """
        ...

    def unknown_field(self, runner_id: str, name: str, value: str) -> None:
        """Take a header field of an answer that nobody reads.

        Args:
            runner_id: The process.
            name: The field's name, in lower case.
            value: Its value.
        """
        ...


class SignalReader:
    """Hands on what answers say of their runners.

    Args:
        listener: Where it is taken; nowhere by default.
    """

    def __init__(self, listener: SignalListener | None = None) -> None:
        self._listener = listener

    def read(self, runner_id: str, status: int, headers: Mapping[str, str], asked: Asked) -> None:
        """Read the head of an answer that is a process's own, as far as that can be told.

        Args:
            runner_id: The process that was asked.
            status: Status of the answer.
            headers: Its headers.
            asked: What was asked.
        """
        answered_by = headers.get(names.INSTANCE)
        if answered_by is not None and answered_by != instance_of(runner_id):
            return
        if self._listener is None:
            return
        is_whole = OK <= status < REDIRECTS
        if asked.kind is AnswerKind.REQUEST:
            is_whole = is_whole and names.SIGNATURE in headers
        source = AnswerSource(
            asked.kind, status, clock.seconds() - asked.at, asked.request_id, is_whole
        )
        self._listener.heard(runner_id, signals_of(status, headers), source)
        for name in unknown_fields(headers):
            self._listener.unknown_field(runner_id, name.lower(), headers[name])


def signals_of(status: int, headers: Mapping[str, str]) -> RunnerSignals:
    """Return what an answer says of its runner."""
    leaving = headers.get(names.LEAVING, "").strip() == SAYS_SO
    backoff = 0.0
    if status == SERVICE_UNAVAILABLE:
        backoff = backoff_of(headers.get(names.RETRY_AFTER, ""))
    return RunnerSignals(leaving, backoff, limit_of(headers.get(names.REQUEST_LIMIT, "")))


def backoff_of(text: str) -> float:
    """Return the seconds of backoff that a text asks for; 0 if it can't be read."""
    text = text.strip()
    if not DECIMAL.fullmatch(text):
        return 0.0
    return min(MAX_BACKOFF_SECONDS, float(text))


def limit_of(text: str) -> float | None:
    """Return the requests a second that a text names; None if it can't be read."""
    text = text.strip()
    if not DECIMAL.fullmatch(text):
        return None
    return min(MAX_LIMIT, float(text))
