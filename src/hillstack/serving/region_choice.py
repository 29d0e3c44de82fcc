"""Decides whether a request may be sent to a runner of another region, and at what cost.

Runners of the local region are preferred. Runners of another region are considered only if this
node's share of the link between the regions has room, and for one of the reasons in
``BorrowReason``. Among engines, a runner of the other region is then chosen if it costs less than
the best local one, including the round trip and the bytes on the link. Among application servers,
it is chosen without such a comparison.
"""

from __future__ import annotations

import enum

from hillstack.core.link_share import LinkShare
from hillstack.core.runner_pool import Runner
from hillstack.core.topology import Topology
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.types import ServingRequest

# Link bandwidth in each direction if the settings do not give it: the narrowest known link.
DEFAULT_LINK_MEGABITS = 30.0
# Round trip to the other region: twice 12 ms; known deployments have 8 to 20 ms one way.
DETOUR_SECONDS = 0.024
# Cost of a byte between regions, as a delay. Its price alone, on the scale on which a repeated
# prefill of a token costs ``REPEATED_PREFILL_SECONDS_PER_TOKEN``, would give an eighth of this; the
# cost is higher because all traffic shares the link. A long prompt of 12 KB costs 0.5 s, as much as
# 1,760 tokens prefilled again. In calculations with known caches, 15 of 100 prompts go to the other
# region. At half this cost 19 do; at a quarter more than this cost 5 do, but then cache transfers
# between regions block the links when half a region is lost.
SECONDS_PER_BYTE = 0.000044
# Size of the head of a request or of an answer.
HEAD_BYTES = 600
# Sizes of an event with one token and of an application server's answer.
EVENT_BYTES = 150
ANSWER_BYTES = 800
# A request counts as late if its expected delay exceeds this share of the objective. From there on
# the penalty for lateness rises steeply (``expected_delay.LATE_SOFTNESS``).
LATE_SHARE = 0.85
# With fewer repeated tokens, runners of the other region are not considered: at
# ``REPEATED_PREFILL_SECONDS_PER_TOKEN``, 1,000 tokens cost less than the bytes of a prompt.
MIN_REPEATED_TOKENS = 1_000


class BorrowReason(enum.StrEnum):
    """Why a request is sent to another region.

    Attributes:
        NO_RUNNER: No runner of the local region accepts the request.
        LATE: The best local engine would probably answer late.
        CACHED: The best local engine would prefill many shared parts again, or fetch them from
            another region.
        FULL: No local application server that accepts the request has a free slot, but one in the
            other region has.
    """

    NO_RUNNER = "no_runner"
    LATE = "late"
    CACHED = "cached"
    FULL = "full"


class RegionChoice:
    """Limits the requests that go to another region to this node's share of the link.

    Args:
        state: State of the node.
        link_megabits: Bandwidth of the link between regions in each direction, in Mbit/s.
    """

    def __init__(self, state: FleetState, link_megabits: float = DEFAULT_LINK_MEGABITS) -> None:
        self._state = state
        self._link_share = LinkShare(link_megabits)
        self._topology: Topology | None = None
        self._other_zones: frozenset[str] = frozenset()

    def other_zones(self) -> frozenset[str]:
        """Return the zones of other regions; empty in a deployment with one region."""
        if self._topology is not self._state.topology:
            self._topology = self._state.topology
            self._other_zones = self._topology.other_zones()
        return self._other_zones

    def is_cross_region(self, runner: Runner) -> bool:
        """Return whether a runner is in another region."""
        return runner.entry.zone in self.other_zones()

    def has_link_room(self, request: ServingRequest, now: float) -> bool:
        """Return whether this node's share of the link has room for a request and its answer."""
        return self._link_share.allows(_link_bytes(request), self._nodes_sharing_link(now), now)

    def sent(self, runner: Runner, request: ServingRequest) -> None:
        """Charge a request to this node's share of the link if it is sent to another region."""
        if self.is_cross_region(runner):
            self._link_share.spend(_link_bytes(request))

    def failed_zones(self, tried_ids: set[str]) -> frozenset[str]:
        """Return the zones of the runners tried for a request; empty with one region."""
        if not tried_ids or not self.other_zones():
            return frozenset()
        tried = (self._state.pool.get(runner_id) for runner_id in tried_ids)
        return frozenset(runner.entry.zone for runner in tried if runner is not None)

    def _nodes_sharing_link(self, now: float) -> int:
        """Return how many nodes share the link: all except those known to be in another region."""
        nodes = self._state.nodes
        other = self.other_zones()
        return nodes.budget_node_count(now) - sum(node.zone in other for node in nodes.all())


def is_late(delay: float, target_seconds: float) -> bool:
    """Return whether a request with this expected delay is likely late; False without a target.

    Args:
        delay: Expected seconds to the first event.
        target_seconds: Latency objective; 0 for none.
    """
    return 0 < LATE_SHARE * target_seconds < delay


def exchange_bytes(request: ServingRequest) -> float:
    """Return the expected bytes of a request and its answer on the link, in both directions."""
    return sum(_bytes_each_way(request))


def _link_bytes(request: ServingRequest) -> float:
    """Return the expected bytes of a request in the busier direction of the duplex link."""
    return max(_bytes_each_way(request))


def _bytes_each_way(request: ServingRequest) -> tuple[float, float]:
    shape = request.shape
    answer = ANSWER_BYTES if shape is None else EVENT_BYTES * shape.output_tokens
    return len(request.body) + HEAD_BYTES, answer + HEAD_BYTES
