"""Requests of many nodes to one runner that names a limit, and counts of those that reach it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from hillstack.core.runner_limit import AnswerKind, AnswerSource
from hillstack.core.runner_signals import RunnerSignals
from hillstack.daemon.limit_scopes import RUNNER_TOLERANCE
from hillstack.serving.event_framing import EventFraming
from hillstack.serving.job import Job
from hillstack.serving.metrics import FleetMetrics
from hillstack.serving.runner_limits import RunnerLimits
from hillstack.serving.signal_receiver import SignalReceiver
from tests.fleet.builders import ENGINES, make_request, make_route
from tests.fleet.node_network import NodeNetwork, SimulatedNode

# Requests count if their node was informed of the limit at least this long before they arrive.
FREE_SECONDS = 0.5
# Range of the time from sending a request to receiving its answer.
ANSWER_SECONDS = (0.02, 0.6)

LimitOverTime = Callable[[float], float | None]


def constant(limit: float) -> LimitOverTime:
    """Return a limit that does not change."""
    return lambda _: limit


@dataclass
class _NodeSide:
    """The parts of one node that read and apply a runner's limit.

    Attributes:
        informed_at: When the node received the first answer that names a limit.
    """

    node: SimulatedNode
    limits: RunnerLimits
    intake: SignalReceiver
    informed_at: float | None = None


@dataclass
class RunnerTraffic:
    """Sends requests to one runner as far as the limit of the runner admits them.

    Attributes:
        limit: The limit that the runner names, over time.
        entry_node_count: Number of nodes, chosen at random, at which requests arrive.
        arrived: When requests reached the runner, each with ``informed_at`` of its node.
        sent_elsewhere: When requests went to other runners because the limit left no room.
        delays: Seconds that each request waited for the decision about the limit.
    """

    network: NodeNetwork
    limit: LimitOverTime
    runner_id: str = "i-0"
    seed: int = 1
    entry_node_count: int = 1_000
    arrived: list[tuple[float, float | None]] = field(default_factory=list)
    sent_elsewhere: list[float] = field(default_factory=list)
    delays: list[float] = field(default_factory=list)
    _sides: dict[int, _NodeSide] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._rng = Random(self.seed)
        names = sorted(self.network.nodes)
        self._entry_nodes = self._rng.sample(names, min(self.entry_node_count, len(names)))
        self._job = Job(
            make_request(), make_route(), ENGINES, None, 0, self.network.scheduler.now + 1e9,
            EventFraming(None),
        )  # fmt: skip

    def send(self, seconds: float, per_second: float) -> None:
        """Let requests arrive at random times in the next seconds, at random nodes."""
        scheduler = self.network.scheduler
        at, end = scheduler.now, scheduler.now + seconds
        while (at := at + self._rng.expovariate(per_second)) < end:
            scheduler.at(at, self._arrive)

    def counted(self) -> list[float]:
        """Return when requests reached the runner whose nodes had been informed for long enough."""
        return [
            at
            for at, informed_at in self.arrived
            if informed_at is not None and at >= informed_at + FREE_SECONDS
        ]

    def used(self, since: float, until: float) -> int:
        """Return how many requests reached the runner between two moments."""
        return sum(since <= at < until for at, _ in self.arrived)

    def worst_window(self) -> int:
        """Return the largest number of counted requests in any window of the tolerance."""
        inside: deque[float] = deque()
        worst = 0
        for at in sorted(self.counted()):
            inside.append(at)
            while at - inside[0] >= RUNNER_TOLERANCE.window_seconds:
                inside.popleft()
            worst = max(worst, len(inside))
        return worst

    def _side(self, node: SimulatedNode) -> _NodeSide:
        side = self._sides.get(id(node))
        if side is None:
            clock, metrics = self.network.scheduler.clock, FleetMetrics()
            pool = node.state.pool
            side = self._sides[id(node)] = _NodeSide(
                node,
                RunnerLimits(pool, node.runner_limits, metrics, clock),
                SignalReceiver(pool, metrics, clock, on_limit=node.exchange.limit_changed),
            )
        return side

    def _arrive(self) -> None:
        node = self.network.nodes.get(self._rng.choice(self._entry_nodes))
        if node is None or node.loop.frozen:
            return
        self.network.scheduler.spawn(node.loop, self._send(self._side(node)))

    async def _send(self, side: _NodeSide) -> None:
        scheduler = self.network.scheduler
        runner = side.node.state.pool.get(self.runner_id)
        assert runner is not None
        arrived_at = scheduler.now
        is_admitted = runner.accepts(arrived_at) and await side.limits.admits(self._job, runner)
        now = scheduler.now
        self.delays.append(now - arrived_at)
        if not is_admitted:
            self.sent_elsewhere.append(now)
            return
        self.arrived.append((now, side.informed_at))
        answered_at = now + self._rng.uniform(*ANSWER_SECONDS) / 2
        received_at = answered_at + self._rng.uniform(*ANSWER_SECONDS) / 2
        signals = RunnerSignals(limit=self.limit(answered_at))

        def answer() -> None:
            if side.node.alive and not side.node.loop.frozen:
                self._take_answer(side, signals, now)

        scheduler.at(received_at, answer)

    def _take_answer(self, side: _NodeSide, signals: RunnerSignals, asked_at: float) -> None:
        now = self.network.scheduler.now
        if signals.limit is not None and side.informed_at is None:
            side.informed_at = now
        source = AnswerSource(AnswerKind.REQUEST, 200, now - asked_at, was_carried_out=True)

        def take() -> None:
            side.intake.receive(self.runner_id, signals, source)

        side.node.loop.call_soon(take)
