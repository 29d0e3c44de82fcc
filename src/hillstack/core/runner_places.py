"""Counts the places of brittle runners that nodes hold from one issuer, and grants further ones.

A brittle runner falls over if it has to reject more than a few requests in a second. Rejections
come from requests of several nodes that meet at a full runner, since no node sees what the others
send. So each request needs a place, and each place has one issuer (``place_parts``), which counts
the nodes that hold one.
"""

from __future__ import annotations

from dataclasses import dataclass, field

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


@dataclass(slots=True)
class _RunnerPlaces:
    by_holder: dict[Holder, _Report] = field(default_factory=dict)


class PlaceCounts:
    """The places that this node issues, by runner."""

    def __init__(self) -> None:
        self._runners: dict[str, _RunnerPlaces] = {}

    def report(self, runner_id: str, holder: Holder, number: int, held: int, now: float) -> bool:
        """Record how many places a process holds; return whether the message is its latest.

        The places of an earlier process of the same node stay in use until its last report
        expires, since the runner may go on with the requests of a process that was killed.
        """
        places = self._runners.setdefault(runner_id, _RunnerPlaces())
        known = places.by_holder.get(holder)
        if known is not None and number <= known.number:
            return False
        places.by_holder[holder] = _Report(number, held, now)
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
        self._runners[runner_id].by_holder[holder].count += 1
        return True

    def in_use(self, runner_id: str, now: float) -> int:
        """Return how many places of a runner are in use."""
        places = self._runners.get(runner_id)
        if places is None:
            return 0
        for holder, report in list(places.by_holder.items()):
            if now - report.received_at > REPORT_VALID_SECONDS:
                del places.by_holder[holder]
        return sum(report.count for report in places.by_holder.values())

    def expire(self, now: float) -> None:
        """Forget the runners at which no process holds a place any more."""
        for runner_id in list(self._runners):
            self.in_use(runner_id, now)
            if not self._runners[runner_id].by_holder:
                del self._runners[runner_id]
