"""Counts the places of brittle runners that nodes use, and grants further ones.

A brittle runner falls over if it has to reject more than a few requests in a second. Rejections
come from requests of several nodes that meet at a full runner, since no node sees what the others
send. So one node, the issuer, counts the places that all nodes use at a runner, and each further
request needs a place.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# A node that has reported nothing for this long has ended, and its requests with it.
REPORT_VALID_SECONDS = 1.5
# An issuer that has just begun to count does not know all requests under way. Until all nodes have
# reported, it grants only a part of the places.
COUNTING_SECONDS = 0.3
COUNTING_SHARE = 0.5


@dataclass(slots=True)
class _NodeUse:
    """Places that a node uses.

    Attributes:
        number: Number of the node's latest message.
        used: Places in use, including granted ones whose request has not been sent yet.
        reported_at: When the message arrived.
    """

    number: int
    used: int
    reported_at: float


@dataclass(slots=True)
class _RunnerUse:
    began_at: float
    by_node: dict[str, _NodeUse] = field(default_factory=dict)


class PlaceCounts:
    """The places of all runners for which this node is the issuer."""

    def __init__(self) -> None:
        self._runners: dict[str, _RunnerUse] = {}

    def report(self, runner_id: str, node_id: str, number: int, used: int, now: float) -> bool:
        """Record how many places a node uses; return whether the message is the node's latest."""
        use = self._runners.setdefault(runner_id, _RunnerUse(now))
        known = use.by_node.get(node_id)
        if known is not None and number <= known.number:
            return False
        use.by_node[node_id] = _NodeUse(number, used, now)
        return True

    def take(
        self, runner_id: str, node_id: str, number: int, used: int, slots: int, now: float
    ) -> bool:
        """Grant a node one more place, unless all are in use.

        Args:
            runner_id: The runner.
            node_id: The node that asks.
            number: Number of its message; an earlier message than the latest one is refused.
            used: Places that it uses without this one.
            slots: Places of the runner.
            now: Time on this node's clock.
        """
        if not self.report(runner_id, node_id, number, used, now):
            return False
        use = self._runners[runner_id]
        is_counting = now < use.began_at + COUNTING_SECONDS
        allowed = max(1, int(slots * COUNTING_SHARE)) if is_counting else slots
        if self.in_use(runner_id, now) >= allowed:
            return False
        use.by_node[node_id].used += 1
        return True

    def in_use(self, runner_id: str, now: float) -> int:
        """Return how many places of a runner are in use."""
        use = self._runners.get(runner_id)
        if use is None:
            return 0
        for node_id, node_use in list(use.by_node.items()):
            if now - node_use.reported_at > REPORT_VALID_SECONDS:
                del use.by_node[node_id]
        return sum(node_use.used for node_use in use.by_node.values())

    def expire(self, now: float) -> None:
        """Forget the runners at which no node uses a place any more."""
        for runner_id in list(self._runners):
            self.in_use(runner_id, now)
            if not self._runners[runner_id].by_node:
                del self._runners[runner_id]
