"""Nodes of two regions whose store is slow or away, and whose notices are late or lost.

If the first try of a fatal request goes alone and each node is told of its crash, every later try
is sent by a node that knows of a crash. So the bound of crashes has to hold whatever the nodes are
told afterwards.
"""

from __future__ import annotations

import gc
from dataclasses import dataclass, replace
from random import Random

from tests.fleet.fatal_world import NOTICE_SECONDS, Node, World

BODY = b"fatal 1"
NODES = 4
RUNNERS = 24
REGIONS = 2
# Callers repeat the request in this many rounds, each through some nodes at almost the same time.
ROUNDS = 40
MAX_TRIES_PER_ROUND = 4
MAX_GAP_SECONDS = 0.06
MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.02, 0.6
FATAL_AGES_SECONDS = (0.003, 0.02, 0.115)


@dataclass(frozen=True, slots=True)
class Disturbance:
    """What is wrong between the first crash and the end.

    Attributes:
        store_seconds: How long a call of the store takes; infinite if it answers nobody.
        is_store_down: Whether the store refuses all calls.
        link_seconds: Latency of a message between the regions.
        lost_share: Share of the messages between nodes that are lost, in both regions.
        silent_seconds: Longest time for which connections stay silent after a crash.
    """

    store_seconds: float = 0.004
    is_store_down: bool = False
    link_seconds: float = 0.03
    lost_share: float = 0.0
    silent_seconds: float = 0.0

    def with_notices(
        self, link_seconds: float, lost_share: float, silent_seconds: float
    ) -> Disturbance:
        """Return the disturbance with another one of notices and connections."""
        return replace(
            self, link_seconds=link_seconds, lost_share=lost_share, silent_seconds=silent_seconds
        )


class SlowStoreWorld(World):
    """A fatal request that callers repeat through all nodes, beside a disturbance."""

    def __init__(self, seed: int, disturbance: Disturbance) -> None:
        self._rng = Random(seed)
        self._disturbance = disturbance
        self._is_disturbed = False
        super().__init__(RUNNERS, NODES, lists_later_nodes=True)
        self.runners.fatal_age_seconds = self._rng.choice(FATAL_AGES_SECONDS)

    def notice_seconds(self, source: str, node: Node) -> float | None:
        if self._is_disturbed and self._rng.random() < self._disturbance.lost_share:
            return None
        is_near = _region_of(source) == _region_of(node.state.node_id)
        return NOTICE_SECONDS if is_near else self._disturbance.link_seconds

    def store_seconds(self, name: str) -> float:
        return min(self._disturbance.store_seconds, 1e9)

    def reaches_store(self, name: str) -> bool:
        return not self._disturbance.is_store_down

    def play(self, *, waits_for_first_notices: bool = True) -> int:
        """Return how many runners the request crashes, and end the world.

        Args:
            waits_for_first_notices: Whether the first try goes alone, and all nodes are told of its
                crash before the other tries are sent.
        """
        if waits_for_first_notices:
            self._crash_first_runner()
        self._is_disturbed = True
        for _ in range(ROUNDS):
            for _ in range(self._rng.randint(1, MAX_TRIES_PER_ROUND)):
                self._send_from_any_node()
                self.run(self._rng.uniform(0.0, MAX_GAP_SECONDS))
            self.run(self._rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))
        count = self.runners.crash_count(BODY)
        self.scheduler.close()
        self.nodes.clear()
        gc.collect()
        return count

    def _crash_first_runner(self) -> None:
        self.send("node-0", BODY)
        while not self.runners.crash_count(BODY):
            self.run(0.001)
        self.run(NOTICE_SECONDS)
        # The notices of this crash are on their way now; those of all further ones may be lost.
        self._is_disturbed = True
        self.run(self._disturbance.link_seconds)

    def _send_from_any_node(self) -> None:
        name = self._rng.choice(sorted(self.nodes))
        self.silent_seconds[name] = self._rng.uniform(0.0, self._disturbance.silent_seconds)
        self.send(name, BODY)


def _region_of(node_id: str) -> int:
    return int(node_id.rpartition("-")[2]) % REGIONS
