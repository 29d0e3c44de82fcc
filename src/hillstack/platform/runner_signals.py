"""Reads what a runner says of itself in the head of an answer: it leaves, or wants a backoff."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Protocol

from hillstack.core.runner_signals import RunnerSignals
from hillstack.platform import names
from hillstack.platform.incarnations import instance_of

SERVICE_UNAVAILABLE = 503
SAYS_SO = "1"
# Whole or with a fraction. A date, a sign or anything else is passed over like a missing one: the
# pause after any refusal holds all the same.
SECONDS = re.compile(r"[0-9]+(\.[0-9]*)?")
# Backoffs of some seconds were seen. One that is longer than a lease of the platform may be is
# taken for a mistake, and the runner is asked again after that.
MAX_BACKOFF_SECONDS = 600.0


class SignalListener(Protocol):
    """Takes what runners say of themselves."""

    def heard(self, runner_id: str, signals: RunnerSignals, source: str) -> None:
        """Take what an answer says of a process, when its head has come.

        Args:
            runner_id: The process.
            signals: What it says.
            source: Which answer, for the log.
        """
        ...


class SignalReader:
    """Hands on what answers say of their runners.

    Args:
        listener: Where it is taken; nowhere by default.
    """

    def __init__(self, listener: SignalListener | None = None) -> None:
        self._listener = listener

    def read(self, runner_id: str, status: int, headers: Mapping[str, str], source: str) -> None:
        """Read the head of an answer that is a process's own, as far as that can be told.

        Args:
            runner_id: The process that was asked.
            status: Status of the answer.
            headers: Its headers.
            source: What was asked, for the log.
        """
        answered_by = headers.get(names.INSTANCE)
        if answered_by is not None and answered_by != instance_of(runner_id):
            return
        signals = signals_of(status, headers)
        if signals and self._listener is not None:
            self._listener.heard(runner_id, signals, f"{source}: status {status}")


def signals_of(status: int, headers: Mapping[str, str]) -> RunnerSignals:
    """Return what an answer says of its runner."""
    leaving = headers.get(names.LEAVING, "").strip() == SAYS_SO
    backoff = 0.0
    if status == SERVICE_UNAVAILABLE:
        backoff = backoff_of(headers.get(names.RETRY_AFTER, ""))
    return RunnerSignals(leaving, backoff)


def backoff_of(text: str) -> float:
    """Return the seconds of backoff that a text asks for; 0 if it can't be read."""
    text = text.strip()
    if not SECONDS.fullmatch(text):
        return 0.0
    return min(MAX_BACKOFF_SECONDS, float(text))
