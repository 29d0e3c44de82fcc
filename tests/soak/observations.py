"""Records of what callers, runners and faults did in a soak, observed from outside the nodes.

All times except ``born`` are those of ``time.monotonic`` in the process of the soak.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from hillstack.core.runner_signals import RunnerSignals
from hillstack.platform.bodies import OrderBody

# Targets of faults: the store, and nodes, whose names begin with the prefix.
STORE = "store"
NODE_PREFIX = "node-"


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request of a caller and its outcome.

    Attributes:
        kind: ``safe`` (may be repeated), ``once`` (must run at most once) or ``stream``.
        node: The node to which it was sent.
        key: The caller's API key.
        status: Status of a complete answer; None if no complete answer arrived.
        expected_events: Number of events of its stream; None if it is no stream.
        reused: Whether an earlier request was answered over the same connection.
        closed_at: When the caller closed the connection before the answer ended; None if not.
        ended_at: When the caller learned the outcome; None if the request was never sent.
        fatal: Name of its content if the request crashes its runners; empty otherwise.
        body: Body of a complete answer, or what the caller received of a stream that broke off.
        after: Number of the last event that the caller had received before, of a stream that it
            takes up.
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
    after: int = 0


@dataclass(slots=True)
class ResumedStream:
    """A stream that its caller takes up again after each break.

    Attributes:
        first_try: Identifier of the try that brought the first event; empty before.
        body: The whole events that the caller received over all tries.
        tries: Number of tries that took the stream up.
        continued: Number of these that brought an event.
    """

    first_try: str = ""
    body: bytes = b""
    tries: int = 0
    continued: int = 0


@dataclass(frozen=True, slots=True)
class Run:
    """The start of a request at a runner.

    Attributes:
        weights: Version of the weights when the request started; 0 if the service has none.
    """

    request_id: str
    runner_id: str
    began_at: float
    weights: int = 0


@dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a runner's work on a request: its answer is complete or its caller has left."""

    request_id: str
    runner_id: str
    at: float


@dataclass(frozen=True, slots=True)
class ForeignParts:
    """Cached parts with which a request began, made by other weights than the request began on.

    Attributes:
        weights: Version of the weights when the request started.
        makers: Versions of the weights that made the request's cached parts.
    """

    request_id: str
    runner_id: str
    weights: int
    makers: list[int]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a runner, whether the runner ran it or not.

    Attributes:
        born: Unix milliseconds at which the runner's process started; distinguishes successive
            processes with the same name.
    """

    request_id: str
    runner_id: str
    born: int
    at: float


@dataclass(frozen=True, slots=True)
class SignalSent:
    """The signals that a runner gave about itself in an answer.

    Attributes:
        request_id: The request that was answered; empty if the question was no caller's request.
        born: Unix milliseconds at which the runner's process started.
        at: When the runner sent the answer.
    """

    request_id: str
    runner_id: str
    born: int
    at: float
    signals: RunnerSignals


@dataclass(slots=True)
class EarlierBuild:
    """A period in which a node ran an earlier build."""

    node: str
    began_at: float
    ended_at: float = math.inf


@dataclass(slots=True)
class NamedLimit:
    """A period in which a runner named a limit in its answers.

    Attributes:
        born: Unix milliseconds at which the runner's process started.
        limit: Requests per second that the runner accepts from all nodes together.
    """

    runner_id: str
    born: int
    limit: float
    began_at: float
    ended_at: float = math.inf


@dataclass(slots=True)
class Disturbance:
    """A period in which a fault disturbed a node, a runner's link or the store.

    Attributes:
        target: Name of the node or runner, or ``STORE``.
        ended_at: When the fault was over; infinite while it lasts.
        planned: Whether it is a graceful stop or a start of a node rather than a failure.
    """

    target: str
    began_at: float
    ended_at: float = math.inf
    planned: bool = False


@dataclass(slots=True)
class RunnerCut:
    """A period in which some nodes were cut off from runners, but not from the store and peers.

    Attributes:
        service: Service of the runners; None for all.
    """

    nodes: list[str]
    service: str | None
    began_at: float
    ended_at: float = math.inf


@dataclass(frozen=True, slots=True)
class Stop:
    """A graceful stop of a node, from SIGTERM to the end of its process."""

    node: str
    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class RunnerCrash:
    """The crash of a runner under a fatal request.

    Attributes:
        fatal: Name of the request's content.
    """

    fatal: str
    runner_id: str
    at: float


@dataclass(slots=True)
class Rollout:
    """An operator's rollout order and its progress.

    Attributes:
        target: The version to roll out.
        is_bad: Whether the version fails or slows down requests.
        states: States that were reported to the operator, in order.
        old_streams: Streams still open at old runners when these were ended after completion.
        decided_at: When an outcome was first reported; infinite before.
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
    """Everything that a soak observed.

    Attributes:
        sent: Requests of callers.
        runs: Starts of requests at runners.
        run_ends: Ends of runners' work on requests.
        revoked_at: When the store acknowledged the revocation of each key.
        orders: Weights orders that each runner accepted, in order.
        order_hosts: Host from which each of ``orders`` arrived.
        most_runs: Maximum number of requests with a key that may run within a window, for each key
            whose tenant has a limit.
        troubles: Targets and periods of the disturbances by faults.
        stops: Graceful stops of nodes.
        runner_cuts: Periods in which nodes were cut off from runners.
        let_go: When the node closed its connection to a hung runner, by request and runner.
        left_at: When the store acknowledged that each runner is leaving.
        weights_named: When the store acknowledged each version of the weights.
        foreign_parts: Requests that began with cached parts of other weights.
        arrivals: Requests that reached runners.
        signals: Signals that runners gave in their answers.
        limits: Limits that runners named.
        earlier_builds: Periods in which nodes ran an earlier build.
        lags: Time and length in seconds of each delay of the soak's own tasks.
        runner_ends: Crashes of runners under fatal requests.
        rollouts: Rollout orders by target version.
        software: Version of each runner's software.
        resumed: Streams whose callers take them up again.
        configured_at: When the store acknowledged each configuration.
        runners_closed_at: When each runner that was ended for good closed its connections.
    """

    sent: list[CallerRequest] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    run_ends: list[RunEnd] = field(default_factory=list)
    revoked_at: dict[str, float] = field(default_factory=dict)
    orders: dict[str, list[OrderBody]] = field(default_factory=dict)
    order_hosts: dict[str, list[str]] = field(default_factory=dict)
    most_runs: dict[str, float] = field(default_factory=dict)
    troubles: list[Disturbance] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    runner_cuts: list[RunnerCut] = field(default_factory=list)
    let_go: dict[str, float] = field(default_factory=dict)
    left_at: dict[str, float] = field(default_factory=dict)
    weights_named: dict[int, float] = field(default_factory=dict)
    foreign_parts: list[ForeignParts] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    signals: list[SignalSent] = field(default_factory=list)
    limits: list[NamedLimit] = field(default_factory=list)
    earlier_builds: list[EarlierBuild] = field(default_factory=list)
    lags: list[tuple[float, float]] = field(default_factory=list)
    runner_ends: list[RunnerCrash] = field(default_factory=list)
    rollouts: dict[str, Rollout] = field(default_factory=dict)
    software: dict[str, str] = field(default_factory=dict)
    resumed: list[ResumedStream] = field(default_factory=list)
    configured_at: list[float] = field(default_factory=list)
    runners_closed_at: dict[str, float] = field(default_factory=dict)

    def record_abandoned(self, request_id: str, runner_id: str, at: float) -> None:
        """Record when the node closed its connection to a runner that hung with a request."""
        self.let_go[f"{request_id} at {runner_id}"] = at

    def abandoned_at(self, request_id: str, runner_id: str) -> float | None:
        """Return when the node left a runner that hung with a request; None if it didn't hang."""
        return self.let_go.get(f"{request_id} at {runner_id}")

    def disturbed(self, target: str, since: float, until: float) -> bool:
        """Return whether an unplanned disturbance of a target overlaps a period."""
        return any(each.target == target for each in self.unplanned_disturbances(since, until))

    def unplanned_disturbances(self, since: float, until: float) -> Iterator[Disturbance]:
        """Return the unplanned disturbances that overlap a period."""
        for each in self.troubles:
            if not each.planned and each.began_at <= until and each.ended_at >= since:
                yield each

    def ran_earlier_build(self, node: str, at: float) -> bool:
        """Return whether a node ran an earlier build at a time."""
        return any(
            build.node == node and build.began_at <= at <= build.ended_at
            for build in self.earlier_builds
        )

    def lag(self, since: float, until: float) -> float:
        """Return the longest delay, in seconds, of the soak's own tasks within a period."""
        return max((lag for at, lag in self.lags if since <= at <= until + lag), default=0.0)
