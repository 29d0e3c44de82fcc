"""Requests and runners of two versions for simulated nodes, and checks of the requests sent."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

import msgspec

from hillstack.core.freshness import Freshness
from hillstack.core.rollout_evidence import OutcomeKey, OutcomeTotals
from hillstack.core.rollout_judge import RolloutOpinion, Verdict
from hillstack.core.routing_table import RouteKind, RoutingTable
from hillstack.core.software_rollouts import RolloutOrder
from hillstack.core.version_exposure import VersionExposure
from hillstack.errors import HillstackError
from hillstack.platform import names
from hillstack.platform.bodies import RolloutOrderBody, RolloutRecordBody, RunnerBody
from hillstack.serving.metrics import FleetMetrics
from hillstack.serving.pipeline import RequestPipeline
from hillstack.serving.placement import RunnerPlacement
from hillstack.serving.rollout_observer import RolloutObserver
from hillstack.serving.types import Dispatch, ServingRequest
from tests.fleet.builders import APPLICATION, make_request, make_route, make_table
from tests.fleet.fake_runners import FakeAnswer, FakeLimiter, FakeSink
from tests.fleet.node_network import NodeNetwork, SimulatedNode

OLD, NEW = "v1", "v2"
# The target version may get this share of the requests, plus the slack.
SHARE, SLACK = 0.1, 50.0
OVER_SECONDS = 12.0
ROLLBACK_SECONDS = 5.0
# Number of bad answers that prove a version to be bad.
PROOF_ANSWERS = 50
# Path prefixes of the two routes, and the share of requests that take the rare one.
FREQUENT, RARE = "/app/", "/rare/"
RARE_SHARE = 0.15
WORK_SECONDS = 0.05
# Thresholds of the judge of these tests; a good version stays far below them.
MIN_FAILURES = 10
MIN_ANSWERS = 20
SLOW_BUCKET = 7
EVALUATION_SECONDS = 0.2

# Maps a path and the seconds since the order to whether the answer is a failure and to a factor by
# which it is slower.
Behaviour = Callable[[str, float], tuple[bool, float]]


def good(path: str, since: float) -> tuple[bool, float]:
    return False, 1.0


class ThresholdJudge:
    """Judges a version as bad after some failures, or if more than half of its answers are slow."""

    def __init__(self, order: RolloutOrder, ordered_at: float) -> None:
        self._target = order.target
        self._verdict = Verdict.UNDECIDED
        self._evaluated_at = float("-inf")
        self.ordered_at = ordered_at
        self.looks = 0

    def is_due(self, now: float) -> bool:
        return now - self._evaluated_at >= EVALUATION_SECONDS

    def note_ordered_at(self, ordered_at: float) -> None:
        self.ordered_at = min(self.ordered_at, ordered_at)

    def opinion(self) -> RolloutOpinion:
        return RolloutOpinion(self._verdict, f"{self.looks} looks")

    def evaluate(self, totals: Mapping[OutcomeKey, OutcomeTotals], now: float) -> Verdict:
        self._evaluated_at = now
        self.looks += 1
        self._verdict = self._evaluate(totals)
        return self._verdict

    def _evaluate(self, totals: Mapping[OutcomeKey, OutcomeTotals]) -> Verdict:
        of_target = [total for key, total in totals.items() if key.version == self._target]
        answered = sum(total.answered for total in of_target)
        slow = sum(sum(total.delays[SLOW_BUCKET:]) for total in of_target)
        if sum(total.failed for total in of_target) >= MIN_FAILURES:
            return Verdict.BAD
        if answered >= MIN_ANSWERS and slow > answered / 2:
            return Verdict.BAD
        return Verdict.UNDECIDED


def rollout_table() -> RoutingTable:
    rare = make_route(RouteKind.UNSAFE, prefix=RARE, attempts=1)
    return make_table(make_route(prefix=FREQUENT, attempts=3), rare)


@dataclass
class TargetSend:
    """A request sent to a runner of the target version.

    Attributes:
        is_connected: Whether the sending node was alive and not cut off.
    """

    at: float
    node_id: str
    route: str
    runner_id: str
    is_connected: bool


@dataclass
class _Client:
    """The client of one node, which passes its requests to the simulated runners."""

    traffic: RolloutTraffic
    node: SimulatedNode

    async def send(self, request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        return await self.traffic.run(self.node, request, dispatch)


@dataclass
class RolloutTraffic:
    """Traffic of one service during a rollout.

    Attributes:
        behaviour: How the target version answers.
        min_running: Least number of requests running at a runner at which the target version
            follows ``behaviour``; with fewer it behaves well.
        requests: Number of requests that arrived between the order and its deadline.
        sent: Requests that were sent to the target version.
        bad_at: When the target version gave failed or slow answers.
        statuses: Number of answers to callers by status; 0 counts requests without an answer.
    """

    network: NodeNetwork
    behaviour: Behaviour = good
    old_runners: int = 4
    new_runners: int = 4
    min_running: int = 0
    seed: int = 5
    ordered_at: float = float("inf")
    requests: int = 0
    sent: list[TargetSend] = field(default_factory=list)
    bad_at: list[float] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    observers: dict[str, RolloutObserver] = field(default_factory=dict)
    running: Counter[str] = field(default_factory=Counter)
    _pipelines: dict[str, RequestPipeline] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._rng = Random(self.seed)
        self.list_runners(OLD, self.old_runners)
        for node in self.network.nodes.values():
            self.attach(node)

    def list_runners(self, version: str, count: int) -> None:
        for number in range(count):
            self.list_runner(f"{version}-{number}", version)

    def list_runner(self, runner_id: str, version: str) -> None:
        body = RunnerBody(APPLICATION, "10.9.0.1:1", "zone-0", 16, "ready", [], version)
        self.network.store.put(names.RUNNERS_PREFIX + runner_id, msgspec.json.encode(body))

    def attach(self, node: SimulatedNode) -> None:
        """Give a node, which may be a new process, a request pipeline and a rollout observer."""
        clock = self.network.scheduler.clock
        rng = Random(f"{node.node_id}/{self.network.scheduler.now}")
        # The node has not read the store yet.
        node.state.freshness = Freshness(math.inf)
        node.state.exposure = VersionExposure(SHARE, SLACK)
        placement = RunnerPlacement(node.state, node.exchange, node.zone, rng)
        metrics = FleetMetrics()
        observer = RolloutObserver(
            node.state, node.exchange, ThresholdJudge, lambda _: WORK_SECONDS, metrics, clock, rng
        )
        node.exchange.handle_rollouts(observer.add_report)
        self.observers[node.node_id] = observer
        self._pipelines[node.node_id] = RequestPipeline(
            node.state, _Client(self, node), placement, clock, FakeLimiter(), metrics, observer
        )
        self.network.scheduler.spawn(node.loop, observer.run())

    def restart(self, node_id: str) -> SimulatedNode:
        """Replace a node by a new process."""
        node = self.network.add(node_id, self.network.nodes[node_id].zone)
        self.attach(node)
        return node

    def order(self, over_seconds: float = OVER_SECONDS) -> int:
        """Order the rollout and start the new runners; return the revision of the order."""
        self.ordered_at = self.network.scheduler.now
        body = RolloutOrderBody(APPLICATION, NEW, over_seconds)
        key = names.ROLLOUTS_PREFIX + APPLICATION
        revision = self.network.store.put(key, msgspec.json.encode(body))
        self.list_runners(NEW, self.new_runners)
        return revision

    def record(self, stage: str, order_revision: int) -> None:
        """Write a record of the rollout's stage, as the node that holds the duty does."""
        body = RolloutRecordBody(NEW, order_revision, stage)
        key = names.ROLLOUT_RECORDS_PREFIX + APPLICATION
        self.network.store.put(key, msgspec.json.encode(body))

    def play(self, seconds: float, rate: float = 120.0) -> None:
        """Let requests arrive at random nodes for some seconds."""
        scheduler = self.network.scheduler
        at, end = scheduler.now, scheduler.now + seconds
        while (at := at + self._rng.expovariate(rate)) < end:
            scheduler.at(at, self._arrive)
        self.network.run(seconds)

    def _arrive(self) -> None:
        node = self.network.nodes[self._rng.choice(sorted(self.network.nodes))]
        path = RARE if self._rng.random() < RARE_SHARE else FREQUENT
        now = self.network.scheduler.now
        self.requests += self.ordered_at <= now <= self.ordered_at + OVER_SECONDS
        self.network.scheduler.spawn(node.loop, self._serve(node, path))

    async def _serve(self, node: SimulatedNode, path: str) -> None:
        sink = FakeSink()
        request = make_request(path + "x", arrived_at=self.network.scheduler.now)
        try:
            await self._pipelines[node.node_id].serve(request, sink)
        except HillstackError:
            self.statuses[0] += 1
        else:
            self.statuses[sink.status or 0] += 1

    async def run(
        self, node: SimulatedNode, request: ServingRequest, dispatch: Dispatch
    ) -> FakeAnswer:
        """Answer a request as its runner would; record it if it reached the target version."""
        now = self.network.scheduler.now
        if not dispatch.runner_id.startswith(NEW):
            await asyncio.sleep(WORK_SECONDS)
            return FakeAnswer([b"body"])
        is_connected = node.alive and not node.cut
        send = TargetSend(now, node.node_id, request.path[:-1], dispatch.runner_id, is_connected)
        self.sent.append(send)
        failed, slowness = self.behaviour(request.path, now - self.ordered_at)
        self.running[dispatch.runner_id] += 1
        if self.running[dispatch.runner_id] < self.min_running:
            failed, slowness = good(request.path, now - self.ordered_at)
        try:
            await asyncio.sleep(WORK_SECONDS * slowness)
        finally:
            self.running[dispatch.runner_id] -= 1
        if failed or slowness > 1:
            self.bad_at.append(self.network.scheduler.now)
        return FakeAnswer([b"body"], status=500 if failed else 200)

    def assert_bounded(self) -> None:
        """Check that all nodes together sent the target version no more than its bound."""
        assert len(self.sent) <= SHARE * self.requests + SLACK

    def assert_closed_in_time(self, within: float = ROLLBACK_SECONDS) -> None:
        """Check that connected nodes send the target version nothing more soon after the proof.

        The proof is the moment of the bad answer number ``PROOF_ANSWERS``.
        """
        assert self.bad_at
        proof = sorted(self.bad_at)[min(PROOF_ANSWERS, len(self.bad_at)) - 1]
        late = [send for send in self.sent if send.is_connected and send.at > proof + within]
        assert not late
