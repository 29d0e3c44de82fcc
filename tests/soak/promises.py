"""What callers and runners saw in a soak, and the promises that it must keep."""

from __future__ import annotations

import itertools
import math
import re
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from hillstack.platform.bodies import OrderBody

NOT_RUN = frozenset({408, 421, 429, 503})
RETRY_AFTER_STATUSES = frozenset({429, 503})
REVOKE_SECONDS = 5.0
MAX_RUNS = 2
LIMIT_WINDOW_SECONDS = 8.0
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Sent:
    """A request of a caller and what came of it.

    Attributes:
        status: Of a whole answer; None where none came.
        expected_events: Events of its stream; None where it is no stream.
        reused: Whether its connection had carried a request before.
        closed_at: When its caller closed the connection before the end of the answer; None if not.
        ended_at: When its caller knew what came of it; None if it was not sent.
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


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a runner began to run."""

    request_id: str
    runner_id: str
    began_at: float


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


@dataclass(slots=True)
class Observations:
    """Everything that was seen.

    Attributes:
        revoked_at: When the removal of each key was acknowledged.
        orders: Orders that each runner took, in order.
        most_runs: Requests of a key, whose tenant has a limit, that may run within a window.
        troubles: What the faults disturbed, and when.
    """

    sent: list[Sent] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    revoked_at: dict[str, float] = field(default_factory=dict)
    orders: dict[str, list[OrderBody]] = field(default_factory=dict)
    most_runs: dict[str, float] = field(default_factory=dict)
    troubles: list[Trouble] = field(default_factory=list)

    def violations(self) -> list[str]:
        """Return every broken promise."""
        return [
            *self._answers(),
            *self._runs(),
            *self._revoked(),
            *self._limits(),
            *self._order_fences(),
        ]

    def _answers(self) -> Iterator[str]:
        for request in self.sent:
            if request.status == 200:
                yield from _own_answer(request)
            if request.status in RETRY_AFTER_STATUSES and request.retry_after is None:
                yield f"{request.request_id}: {request.status} without a time to come back"

    def _runs(self) -> Iterator[str]:
        by_request: dict[str, list[Run]] = defaultdict(list)
        for run in self.runs:
            by_request[run.request_id].append(run)
        known = {request.request_id for request in self.sent}
        for request_id in by_request.keys() - known:
            yield f"{request_id}: run, though no caller sent it"
        for request in self.sent:
            count = len(by_request[request.request_id])
            if request.status in NOT_RUN and count:
                yield f"{request.request_id} ({request.kind}): {request.status}, and it ran"
            most = 1 if request.kind == "once" else MAX_RUNS
            if count > most:
                yield f"{request.request_id} ({request.kind}): ran {count} times"

    def _revoked(self) -> Iterator[str]:
        sent = {request.request_id: request for request in self.sent}
        for run in self.runs:
            request = sent.get(run.request_id)
            revoked_at = self.revoked_at.get(request.key) if request is not None else None
            if request is None or revoked_at is None:
                continue
            late = request.sent_at - revoked_at
            if late > REVOKE_SECONDS:
                yield f"{run.request_id}: ran with a key that was revoked {late:.1f} s before"

    def _limits(self) -> Iterator[str]:
        key_of = {request.request_id: request.key for request in self.sent}
        began: dict[str, dict[str, float]] = defaultdict(dict)
        for run in self.runs:
            key = key_of.get(run.request_id, "")
            if key in self.most_runs:
                began[key].setdefault(run.request_id, run.began_at)
        for key, times in began.items():
            worst = _most_in_a_window(sorted(times.values()))
            if worst > self.most_runs[key]:
                yield f"{key}: {worst} requests ran in {LIMIT_WINDOW_SECONDS:.0f} s"

    def _order_fences(self) -> Iterator[str]:
        holders: dict[int, str] = {}
        for runner_id, orders in self.orders.items():
            for before, after in itertools.pairwise(orders):
                if after.fence < before.fence or after.version < before.version:
                    yield f"{runner_id}: order {after} after {before}"
            for order in orders:
                if holders.setdefault(order.fence, order.holder) != order.holder:
                    yield f"{runner_id}: fence {order.fence} of two holders"


def _most_in_a_window(times: list[float]) -> int:
    """Return how many moments fall into a window at the most."""
    first = most = 0
    for last, at in enumerate(times):
        while at - times[first] >= LIMIT_WINDOW_SECONDS:
            first += 1
        most = max(most, last - first + 1)
    return most


def _own_answer(request: Sent) -> Iterator[str]:
    name = f"{request.request_id} ({request.kind} at {request.node})"
    if not request.signature.endswith("." + request.request_id):
        yield f"{name}: signature {request.signature!r}"
    if request.expected_events is None:
        runner = request.signature.partition(".")[0]
        if request.body != f"{runner}:{request.request_id}".encode():
            yield f"{name}: body {request.body[:80]!r}"
        return
    numbers = [int(number) for number in EVENT_ID.findall(request.body)]
    if numbers != list(range(1, request.expected_events + 1)):
        yield f"{name}: ended as complete with events {numbers}"
