"""Counts the places of brittle runners that nodes hold from one issuer, and grants further ones.

A brittle runner falls over if it has to reject more than a few requests in a second. Rejections
come from requests of several nodes that meet at a full runner, since no node sees what the others
send. So each request needs a place, and each place has one issuer (``place_parts``), which counts
the nodes that hold one.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

# The requests of a process that has reported nothing for this long have ended.
REPORT_VALID_SECONDS = 1.0

# A process of a node: the node and the incarnation.
Holder = tuple[str, int]


@dataclass(slots=True)
class _Report:
    """The latest report of a process on the places that it holds.

    Attributes:
        number: Number of the message.
        count: Places held, including those granted since.
        received_at: When the message arrived.
    """

    number: int
    count: int
    received_at: float


class PlaceCounts:
    """The places that this node issues, by runner."""

    def __init__(self) -> None:
        self._reports: defaultdict[str, dict[Holder, _Report]] = defaultdict(dict)

    def report(self, runner_id: str, holder: Holder, number: int, held: int, now: float) -> bool:
        """Record how many places a process holds; return whether the message is its latest.

        The places of an earlier process of the same node stay in use until its last report
        expires, since the runner may go on with the requests of a process that was killed.
        """
        reports = self._reports[runner_id]
        known = reports.get(holder)
        if known is not None and number <= known.number:
            return False
        reports[holder] = _Report(number, held, now)
        return True

    def take(
        self, runner_id: str, holder: Holder, number: int, held: int, part: int, now: float
    ) -> bool:
        """Grant a process one more place, unless all that this node issues are in use.

        Args:
            runner_id: The runner.
            holder: The process that asks.
            number: Number of its message; an earlier message than the latest one is refused.
            held: Places that it holds from this issuer, without this one.
            part: Number of places that this node issues.
            now: Time on this node's clock.
        """
        if not self.report(runner_id, holder, number, held, now):
            return False
        if self.in_use(runner_id, now) >= part:
            return False
        self._reports[runner_id][holder].count += 1
        return True

    def in_use(self, runner_id: str, now: float) -> int:
        """Return how many places of a runner are in use."""
        reports = self._reports.get(runner_id, {})
        for holder, report in list(reports.items()):
            if now - report.received_at > REPORT_VALID_SECONDS:
                del reports[holder]
        return sum(report.count for report in reports.values())

    def expire(self, now: float) -> None:
        """Forget the runners at which no process holds a place any more."""
        for runner_id in list(self._reports):
            self.in_use(runner_id, now)
            if not self._reports[runner_id]:
                del self._reports[runner_id]
