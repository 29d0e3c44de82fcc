"""Requests of many nodes to one runner that names a limit, and a checker of what reaches it."""

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
from hillstack.serving.signal_intake import SignalIntake
from tests.fleet.builders import ENGINES, make_request, make_route
from tests.fleet.node_network import NodeNetwork, SimulatedNode

# What is under way when a node is told is free, and what it sends so soon after that.
FREE_SECONDS = 0.5
ANSWER_SECONDS = (0.02, 0.6)

LimitOverTime = Callable[[float], float | None]


def constant(limit: float) -> LimitOverTime:
    return lambda _: limit


@dataclass
class _NodeSide:
    """What a node does with the runner's word.

    Attributes:
        told_at: When the first answer came that names a limit.
    """

    node: SimulatedNode
    limits: RunnerLimits
    intake: SignalIntake
    told_at: float | None = None


@dataclass
class RunnerTraffic:
    """Sends requests that would all go to one runner, where its limit does not forbid it.

    Attributes:
        limit: The limit that the runner names, over time.
        arrived: When requests reached it, and of which time on its node was told then.
        elsewhere: When requests went to other runners since this one had no room.
    """

    network: NodeNetwork
    limit: LimitOverTime
    runner_id: str = "i-0"
    seed: int = 1
    homes: int = 1_000
    arrived: list[tuple[float, float | None]] = field(default_factory=list)
    elsewhere: list[float] = field(default_factory=list)
    delays: list[float] = field(default_factory=list)
    _sides: dict[int, _NodeSide] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._rng = Random(self.seed)
        names = sorted(self.network.nodes)
        self._homes = self._rng.sample(names, min(self.homes, len(names)))
        self._job = Job(
            make_request(), make_route(), ENGINES, None, 0, self.network.scheduler.now + 1e9,
            EventFraming(None),
        )  # fmt: skip

    def send(self, seconds: float, per_second: float) -> None:
        """Let requests come at random over the next seconds, at random nodes."""
        scheduler = self.network.scheduler
        at, end = scheduler.now, scheduler.now + seconds
        while (at := at + self._rng.expovariate(per_second)) < end:
            scheduler.at(at, self._arrive)

    def counted(self) -> list[float]:
        """Return when those requests reached the runner whose nodes were told long enough ago."""
        return [
            at
            for at, told_at in self.arrived
            if told_at is not None and at >= told_at + FREE_SECONDS
        ]

    def used(self, since: float, until: float) -> int:
        """Return how many requests reached the runner in a time."""
        return sum(since <= at < until for at, _ in self.arrived)

    def worst_window(self) -> int:
        """Return the most requests that count in any window."""
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
                SignalIntake(pool, metrics, clock, on_limit=node.exchange.limit_changed),
            )
        return side

    def _arrive(self) -> None:
        node = self.network.nodes.get(self._rng.choice(self._homes))
        if node is None or node.loop.frozen:
            return
        self.network.scheduler.spawn(node.loop, self._ask(self._side(node)))

    async def _ask(self, side: _NodeSide) -> None:
        scheduler = self.network.scheduler
        runner = side.node.state.pool.get(self.runner_id)
        assert runner is not None
        began_at = scheduler.now
        is_admitted = runner.accepts(began_at) and await side.limits.admits(self._job, runner)
        now = scheduler.now
        self.delays.append(now - began_at)
        if not is_admitted:
            self.elsewhere.append(now)
            return
        self.arrived.append((now, side.told_at))
        made_at = now + self._rng.uniform(*ANSWER_SECONDS) / 2
        ends_at = made_at + self._rng.uniform(*ANSWER_SECONDS) / 2
        signals = RunnerSignals(limit=self.limit(made_at))

        def answer() -> None:
            if side.node.alive and not side.node.loop.frozen:
                self._take_answer(side, signals, now)

        scheduler.at(ends_at, answer)

    def _take_answer(self, side: _NodeSide, signals: RunnerSignals, asked_at: float) -> None:
        now = self.network.scheduler.now
        if signals.limit is not None and side.told_at is None:
            side.told_at = now
        source = AnswerSource(AnswerKind.REQUEST, 200, now - asked_at, is_whole=True)

        def take() -> None:
            side.intake.heard(self.runner_id, signals, source)

        side.node.loop.call_soon(take)
