"""Stateful test of the bound on the exposure of an untrusted version.

Nodes see the order late or never, are partitioned, paused, restarted one by one or all together,
and know too few other nodes. The bound holds although they exchange no messages.
"""

from __future__ import annotations

import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hillstack.core.version_exposure import SLACK_SETTLE_SECONDS, VersionExposure
from tests.fleet.builders import rev

SERVICE = "service"
SHARE = 0.1
SLACK = 50.0
OVER_SECONDS = 12.0
ROUTES = ("often", "rare")
FIRST_NODES = 4
MAX_NODES = 12


class Node:
    """One process with its account and its view of the store."""

    def __init__(self, number: int, known: int, now: float, *, late: bool) -> None:
        self.number = number
        self.exposure = VersionExposure(SHARE, SLACK)
        self.exposure.set_node_count(known)
        self.proved_at = -math.inf if late else now
        self.paused = False
        self.cut = False
        self.waiting: list[tuple[float, int]] = []


class ExposureMachine(RuleBasedStateMachine):
    """Counts the service's requests and those that the target version gets."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.ordered_at: float | None = None
        self.requests = 0
        self.sends = 0
        self.nodes = [
            Node(number, FIRST_NODES, self.now, late=False) for number in range(FIRST_NODES)
        ]

    def pick(self, index: int) -> Node:
        return self.nodes[index % len(self.nodes)]

    def is_in_time(self) -> bool:
        """Return whether requests that arrive now count towards the bound."""
        return self.ordered_at is not None and self.now <= self.ordered_at + OVER_SECONDS

    def see_order(self, node: Node) -> None:
        """Let a node read the order and the number of its peers from the store."""
        if node.cut or node.paused:
            return
        node.exposure.set_node_count(len(self.nodes))
        if self.ordered_at is not None:
            node.exposure.open(SERVICE, rev(7), OVER_SECONDS, node.proved_at, self.now)
        node.proved_at = self.now

    @rule(seconds=st.floats(0.0, 4.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def settle(self) -> None:
        """Let all connected nodes read the store, as they do at least every half second."""
        for node in self.nodes:
            self.see_order(node)
        self.now += SLACK_SETTLE_SECONDS

    @precondition(lambda self: self.ordered_at is None)
    @rule()
    def order(self) -> None:
        self.ordered_at = self.now

    @rule(index=st.integers(0, 20))
    def read_store(self, index: int) -> None:
        self.see_order(self.pick(index))

    @rule(
        index=st.integers(0, 20),
        route=st.sampled_from(ROUTES),
        count=st.integers(1, 400),
        draw=st.floats(0.0, 0.99),
        repeats=st.integers(0, 2),
    )
    def serve(self, index: int, route: str, count: int, draw: float, repeats: int) -> None:
        """Serve requests; some canary requests are sent again, as far as the account allows."""
        node = self.pick(index)
        if node.paused:
            return
        for _ in range(count):
            self.requests += self.is_in_time()
            node.exposure.on_request(SERVICE, route, self.now)
            for _ in range(1 + repeats):
                if node.exposure.admits(SERVICE, route, draw, self.now):
                    node.exposure.on_send(SERVICE)
                    self.sends += 1

    @rule(index=st.integers(0, 20), count=st.integers(1, 400))
    def arrive(self, index: int, count: int) -> None:
        """Receive requests that are placed later, because they wait or the node is paused."""
        self.pick(index).waiting.append((self.now, count))
        self.requests += count if self.is_in_time() else 0

    @rule(index=st.integers(0, 20))
    def place_waiting(self, index: int) -> None:
        node = self.pick(index)
        if node.paused:
            return
        for arrived_at, count in node.waiting:
            for _ in range(count):
                node.exposure.on_request(SERVICE, ROUTES[0], arrived_at)
        node.waiting.clear()

    @precondition(lambda self: self.is_in_time())
    @rule(beyond=st.floats(0.01, 2.0))
    def pass_deadline(self, beyond: float) -> None:
        assert self.ordered_at is not None
        self.now = self.ordered_at + OVER_SECONDS + beyond

    @rule()
    def send_all(self) -> None:
        """Let each node in turn use its whole allowance."""
        for node in self.nodes:
            while not node.paused and node.exposure.admits(SERVICE, ROUTES[0], 0.0, self.now):
                node.exposure.on_send(SERVICE)
                self.sends += 1
                self.the_bound_holds()

    @rule(index=st.integers(0, 20), cut=st.booleans())
    def cut(self, index: int, cut: bool) -> None:
        self.pick(index).cut = cut

    @rule(index=st.integers(0, 20), paused=st.booleans())
    def pause(self, index: int, paused: bool) -> None:
        self.pick(index).paused = paused

    @rule(index=st.integers(0, 20))
    def restart(self, index: int) -> None:
        """Restart a process, which reads the store before it serves."""
        place = index % len(self.nodes)
        self.nodes[place] = Node(place, len(self.nodes), self.now, late=True)
        self.see_order(self.nodes[place])

    @rule()
    def restart_all(self) -> None:
        for place in range(len(self.nodes)):
            self.restart(place)

    @precondition(lambda self: len(self.nodes) < MAX_NODES)
    @rule()
    def join(self) -> None:
        """Add a node; the others learn of it at their next read of the store."""
        node = Node(len(self.nodes), len(self.nodes) + 1, self.now, late=True)
        self.nodes.append(node)
        self.see_order(node)

    @precondition(lambda self: self.ordered_at is not None)
    @rule(known=st.integers(1, 3))
    def lose_sight(self, known: int) -> None:
        """Let all nodes consider most others removed; their parts of the slack must not grow."""
        for node in self.nodes:
            node.exposure.set_node_count(known)

    @invariant()
    def the_bound_holds(self) -> None:
        assert self.sends <= SHARE * self.requests + SLACK


ExposureMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)
TestVersionExposure = ExposureMachine.TestCase
