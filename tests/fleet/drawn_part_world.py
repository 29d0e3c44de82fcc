"""A world with a fatal part in which nodes, notices and the store fail in a drawn order."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from tests.fleet.fatal_world import NOTICE_SECONDS, Node
from tests.fleet.part_traffic import FatalPart, PartTraffic
from tests.fleet.test_crash_permits import RestartedWorld

SHORTEST_SECONDS, LONGEST_SECONDS = 0.2, 2.5
# Time without a node between its kill and its start.
DOWN_SECONDS = 0.4
# Time for which nodes run on after a trouble that others must not follow at once.
RECOVERY_SECONDS = 2.0
# Time without any trouble at the end.
CALM_SECONDS = 12.0


class DrawnPartWorld(RestartedWorld):
    """A world whose notices may be lost.

    Attributes:
        lost_share: Share of the notices that are lost.
        rng: Draws them.
    """

    lost_share = 0.0
    rng = Random(0)

    def notice_seconds(self, source: str, node: Node) -> float | None:
        return None if self.rng.random() < self.lost_share else NOTICE_SECONDS


class DrawnPartPlay:
    """Traffic with a fatal part, and troubles one after the other.

    Attributes:
        traffic: The traffic.
        troubles: The troubles so far, and how long each took.
    """

    def __init__(self, seed: int) -> None:
        self._rng = rng = Random(f"drawn part world {seed}")
        nodes, runners = rng.choice([2, 3, 4, 6]), rng.choice([6, 8, 12])
        is_application = rng.random() < 0.4
        self.world = DrawnPartWorld(
            runners, nodes, application=is_application, lists_later_nodes=True
        )
        self.world.rng = rng
        part = FatalPart(
            per_second=rng.choice([1.0, 3.0, 8.0, 20.0, 40.0]),
            before=rng.choice([0, 1, 2, None]),
            after=rng.choice([0, 1]),
        )
        sound_per_second = rng.choice([5.0, 10.0, 20.0, 40.0])
        self.traffic = PartTraffic(self.world, seed, [part], sound_per_second)
        self.troubles: list[tuple[str, float]] = []

    def run(self) -> None:
        """Run through all troubles, and for a while after them."""
        troubles: list[Callable[[float], None]] = [
            self.traffic.run,
            self._kill_node,
            self._kill_node,
            self._kill_all_nodes,
            self._kill_all_nodes_in_series,
            self._silence_store,
            self._cut_node,
            self._lose_notices,
            self._lose_ledgers,
        ]
        for _ in range(self._rng.randint(4, 10)):
            trouble = self._rng.choice(troubles)
            seconds = self._rng.uniform(SHORTEST_SECONDS, LONGEST_SECONDS)
            self.troubles.append((trouble.__name__, round(seconds, 1)))
            trouble(seconds)
        self.traffic.run(CALM_SECONDS)

    def _kill_node(self, seconds: float) -> None:
        name = self._rng.choice(list(self.world.nodes))
        del self.world.nodes[name]
        self.traffic.run(min(seconds, DOWN_SECONDS))
        started = self.world.add_node(name)
        for node in self.world.nodes.values():
            if node is not started:
                node.pipeline.runner_crashes.send_initial_state(name)
        self.traffic.run(seconds)

    def _kill_all_nodes(self, seconds: float) -> None:
        self.world.restart_all_nodes()
        self.traffic.run(seconds)

    def _kill_all_nodes_in_series(self, seconds: float) -> None:
        for _ in range(self._rng.randint(2, 5)):
            self._kill_all_nodes(seconds / 2)

    def _silence_store(self, seconds: float) -> None:
        self.world.is_store_down = True
        self.traffic.run(seconds)
        self.world.is_store_down = False

    def _cut_node(self, seconds: float) -> None:
        self.world.partitioned_nodes = {self._rng.choice(list(self.world.nodes))}
        self.traffic.run(seconds)
        self.world.partitioned_nodes = set()
        self.traffic.run(RECOVERY_SECONDS)

    def _lose_notices(self, seconds: float) -> None:
        self.world.lost_share = 0.5
        self.traffic.run(seconds)
        self.world.lost_share = 0.0

    def _lose_ledgers(self, seconds: float) -> None:
        self.world.lose_ledgers()
        self.traffic.run(RECOVERY_SECONDS + seconds)
