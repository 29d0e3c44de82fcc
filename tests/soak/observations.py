"""What callers, runners and faults did in a soak, as it was seen from outside the nodes."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from hillstack.core.runner_signals import RunnerSignals
from hillstack.platform.bodies import OrderBody

# Targets of troubles: the store, and nodes by their names.
STORE = "store"
NODE_PREFIX = "node-"


@dataclass(frozen=True, slots=True)
class Sent:
    """A request of a caller and what came of it.

    Attributes:
        status: Of a whole answer; None where none came.
        expected_events: Events of its stream; None where it is no stream.
        reused: Whether its connection had carried a request before.
        closed_at: When its caller closed the connection before the end of the answer; None if not.
        ended_at: When its caller knew what came of it; None if it was not sent.
        fatal: Name of its content, if that ends each runner that runs it; empty otherwise.
    """

    request_id: str
    kind: str
    node: str
    key: str
    sent_at: float
    status: int | None = None
    body: bytes = b""
    signature: str = ""
    retry_after: str | None = None
    expected_events: int | None = None
    reused: bool = False
    closed_at: float | None = None
    ended_at: float | None = None
    fatal: str = ""


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a runner began to run.

    Attributes:
        weights: Version of the weights that it began on; 0 where there are none.
    """

    request_id: str
    runner_id: str
    began_at: float
    weights: int = 0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a runner, run or not.

    Attributes:
        born: When the runner's process started, which tells it from others of its name.
    """

    request_id: str
    runner_id: str
    born: int
    at: float


@dataclass(frozen=True, slots=True)
class SignalSent:
    """What a runner said of itself in an answer.

    Attributes:
        request_id: The request that it answered; empty for other questions.
        born: When the runner's process started.
        at: When the answer left it.
    """

    request_id: str
    runner_id: str
    born: int
    at: float
    signals: RunnerSignals


@dataclass(slots=True)
class EarlierBuild:
    """A time in which a node's process was one of an earlier build."""

    node: str
    began_at: float
    ended_at: float = math.inf


@dataclass(slots=True)
class NamedLimit:
    """A time in which a runner named a limit in its answers.

    Attributes:
        born: When the runner's process started.
        limit: Requests a second that it takes from all nodes.
    """

    runner_id: str
    born: int
    limit: float
    began_at: float
    ended_at: float = math.inf


@dataclass(slots=True)
class Trouble:
    """A time in which a fault disturbed a node, a runner's link or the store.

    Attributes:
        target: Name of the node or runner, or that of the store.
        planned: Whether it was announced, as a stop by SIGTERM is.
        ended_at: When it was over; for good, unless it has ended.
    """

    target: str
    began_at: float
    ended_at: float = math.inf
    planned: bool = False


@dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop of a node, from the signal to the end of the process."""

    node: str
    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class RunnerEnd:
    """A runner that a request ended, with the name of the request's content."""

    fatal: str
    runner_id: str
    at: float


@dataclass(slots=True)
class Rollout:
    """An operator's order, with what came of it.

    Attributes:
        is_bad: Whether the version fails or slows down requests.
        states: What the operator was told of it, in order.
        old_streams: Streams at old runners when these ended since it was complete.
    """

    service: str
    target: str
    ordered_at: float
    deadline: float
    is_bad: bool
    states: list[str] = field(default_factory=list)
    old_streams: list[str] = field(default_factory=list)
    decided_at: float = math.inf


@dataclass(slots=True)
class Observations:
    """Everything that was seen.

    Attributes:
        revoked_at: When the removal of each key was acknowledged.
        orders: Orders that each runner took, in order.
        most_runs: Requests of a key, whose tenant has a limit, that may run within a window.
        troubles: What the faults disturbed, and when.
        let_go: When a runner that hung was left by the node, by request and runner.
        runner_ends: Runners that were ended by requests.
        rollouts: Orders by target version.
        software: Version of each runner's software.
        left_at: When the store acknowledged that each runner leaves.
        weights_named: When each version of the weights was acknowledged.
        arrivals: Requests that reached runners.
        signals: What runners said of themselves.
        limits: Limits that runners named.
        earlier_builds: When nodes ran an earlier build.
        lags: When a task of the soak itself was late, and for how many seconds.
    """

    sent: list[Sent] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    revoked_at: dict[str, float] = field(default_factory=dict)
    orders: dict[str, list[OrderBody]] = field(default_factory=dict)
    most_runs: dict[str, float] = field(default_factory=dict)
    troubles: list[Trouble] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    let_go: dict[str, float] = field(default_factory=dict)
    left_at: dict[str, float] = field(default_factory=dict)
    weights_named: dict[int, float] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    signals: list[SignalSent] = field(default_factory=list)
    limits: list[NamedLimit] = field(default_factory=list)
    earlier_builds: list[EarlierBuild] = field(default_factory=list)
    lags: list[tuple[float, float]] = field(default_factory=list)
    runner_ends: list[RunnerEnd] = field(default_factory=list)
    rollouts: dict[str, Rollout] = field(default_factory=dict)
    software: dict[str, str] = field(default_factory=dict)

    def note_let_go(self, request_id: str, runner_id: str, at: float) -> None:
        """Note when a runner that hung with a request was left."""
        self.let_go[f"{request_id} at {runner_id}"] = at

    def let_go_at(self, request_id: str, runner_id: str) -> float | None:
        """Return when a runner that hung with a request was left; None if it did not hang."""
        return self.let_go.get(f"{request_id} at {runner_id}")

    def disturbed(self, target: str, since: float, until: float) -> bool:
        """Return whether unplanned trouble of a target lay within a time."""
        return any(each.target == target for each in self.unplanned(since, until))

    def unplanned(self, since: float, until: float) -> Iterator[Trouble]:
        """Return the unplanned troubles within a time."""
        for each in self.troubles:
            if not each.planned and each.began_at <= until and each.ended_at >= since:
                yield each

    def is_earlier(self, node: str, at: float) -> bool:
        """Return whether a node ran an earlier build."""
        return any(
            build.node == node and build.began_at <= at <= build.ended_at
            for build in self.earlier_builds
        )

    def lag(self, since: float, until: float) -> float:
        """Return how late the soak's own tasks were within a time, at the worst."""
        return max((lag for at, lag in self.lags if since <= at <= until + lag), default=0.0)
