"""The promises to runners: who leaves gets no more requests, who asks for a backoff gets it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from tests.soak.observations import Arrival, Observations, Sent, SignalSent
from tests.soak.timed_promises import CONTACT_SECONDS

# A request that its caller sends later than that after its node has passed on an answer which says
# that the runner leaves must not reach that runner from there.
LEAVE_SECONDS = 2.0
# What is under way when a runner asks for a backoff is free, for so long; two more are.
BACKOFF_BEGIN_SECONDS = 0.5
ALLOWED_IN_A_BACKOFF = 2

# Node, runner and start of the runner's process.
Pair = tuple[str, str, int]


def reached_leaving_runners(seen: Observations) -> Iterator[str]:
    """Return requests that reached a runner long after it had told their node that it leaves."""
    sent = {request.request_id: request for request in seen.sent}
    told: dict[Pair, SignalSent] = {}
    for signal in seen.signals:
        request = sent.get(signal.request_id)
        # An answer that the caller did not get may not have reached the node either.
        if signal.signals.leaving and request is not None and request.status is not None:
            told.setdefault((request.node, signal.runner_id, signal.born), signal)
    for arrival in seen.arrivals:
        request = sent.get(arrival.request_id)
        first = told.get((request.node, arrival.runner_id, arrival.born)) if request else None
        if request is None or first is None:
            continue
        late = request.sent_at - _passed_on_at(sent[first.request_id], first)
        if late > LEAVE_SECONDS + seen.lag(first.at, arrival.at) and not _is_excused(
            seen, first, request.node, arrival.at
        ):
            yield f"{arrival.request_id}: at {arrival.runner_id} {late:.2f} s after its signal"


def reached_runners_in_backoff(seen: Observations) -> Iterator[str]:
    """Return the backoffs in which a runner got more requests of a node than are allowed."""
    sent = {request.request_id: request for request in seen.sent}
    arrivals: dict[Pair, list[Arrival]] = defaultdict(list)
    for arrival in seen.arrivals:
        request = sent.get(arrival.request_id)
        if request is not None:
            arrivals[request.node, arrival.runner_id, arrival.born].append(arrival)
    for signal in seen.signals:
        request = sent.get(signal.request_id)
        if request is None or not signal.signals.backoff_seconds:
            continue
        ends_at = signal.at + signal.signals.backoff_seconds
        begins_at = signal.at + BACKOFF_BEGIN_SECONDS + seen.lag(signal.at, ends_at)
        in_backoff = [
            arrival.request_id
            for arrival in arrivals[request.node, signal.runner_id, signal.born]
            if begins_at < arrival.at < ends_at
        ]
        if len(in_backoff) > ALLOWED_IN_A_BACKOFF and not _is_excused(
            seen, signal, request.node, ends_at
        ):
            seconds = signal.signals.backoff_seconds
            count = len(in_backoff)
            yield f"{signal.runner_id}: {count} of {request.node} in {seconds:.1f} s of backoff"


def _passed_on_at(request: Sent, signal: SignalSent) -> float:
    return request.ended_at if request.ended_at is not None else signal.at


def _is_excused(seen: Observations, signal: SignalSent, node: str, until: float) -> bool:
    """Return whether the node, or its way to the runner, was disturbed meanwhile."""
    since = signal.at - CONTACT_SECONDS
    return any(seen.disturbed(target, since, until) for target in (node, signal.runner_id)) or any(
        stop.node == node and stop.ended_at >= signal.at for stop in seen.stops
    )
