"""The promises to runners that are leaving, ask for a backoff, or name a limit."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from tests.soak.observations import (
    STORE,
    Arrival,
    CallerRequest,
    NamedLimit,
    Observations,
    SignalSent,
)
from tests.soak.timed_promises import CONTACT_SECONDS

# Once a node has forwarded an answer that says that its runner is leaving, requests that callers
# send to that node later than this must not reach the runner.
LEAVE_SECONDS = 2.0
# Requests in flight when a runner asks for a backoff aren't counted for this long; after that,
# two requests of each node are allowed.
BACKOFF_GRACE_SECONDS = 0.5
MAX_REQUESTS_IN_BACKOFF = 2

# Requests that reach a runner before the node is notified of its limit, or this soon after, aren't
# counted.
LIMIT_GRACE_SECONDS = 0.5
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_OVERSHOOT = 1.5
LIMIT_SLACK = 5
# Nodes learn of a lowered limit with the next answer, within this time.
LIMIT_CHANGE_SECONDS = 1.0
# Maximum gap between two consecutive limits: no answer is sent in so short a time.
LIMIT_GAP_SECONDS = 0.001

# Node, runner and start time of the runner's process.
NodeRunnerProcess = tuple[str, str, int]


def reached_leaving_runners(seen: Observations) -> Iterator[str]:
    """Return requests that reached a runner long after their node got its leaving signal."""
    sent = {request.request_id: request for request in seen.sent}
    notified: dict[NodeRunnerProcess, SignalSent] = {}
    for signal in seen.signals:
        request = sent.get(signal.request_id)
        # If the caller got no answer, the node may not have received the signal either.
        if signal.signals.leaving and request is not None and request.status is not None:
            notified.setdefault((request.node, signal.runner_id, signal.born), signal)
    for arrival in seen.arrivals:
        request = sent.get(arrival.request_id)
        first = notified.get((request.node, arrival.runner_id, arrival.born)) if request else None
        if request is None or first is None:
            continue
        late = request.sent_at - _answered_at(sent[first.request_id], first)
        if late > LEAVE_SECONDS + seen.lag(first.at, arrival.at) and not _is_excused(
            seen, first, request.node, arrival.at
        ):
            yield f"{arrival.request_id}: at {arrival.runner_id} {late:.2f} s after its signal"


def reached_runners_that_left(seen: Observations) -> Iterator[str]:
    """Return requests that reached a runner long after the store acknowledged that it leaves."""
    sent = {request.request_id: request for request in seen.sent}
    for arrival in seen.arrivals:
        left_at = seen.left_at.get(arrival.runner_id)
        request = sent.get(arrival.request_id)
        if left_at is None or request is None:
            continue
        late = arrival.at - left_at
        if late <= LEAVE_SECONDS + seen.lag(left_at, arrival.at):
            continue
        if seen.ran_earlier_build(request.node, arrival.at):
            continue
        since = left_at - CONTACT_SECONDS
        targets = (request.node, arrival.runner_id, STORE)
        if not any(seen.disturbed(target, since, arrival.at) for target in targets):
            yield f"{arrival.request_id}: at {arrival.runner_id} {late:.2f} s after it left"


def reached_runners_in_backoff(seen: Observations) -> Iterator[str]:
    """Return the backoffs in which a runner got more requests from a node than are allowed."""
    sent = {request.request_id: request for request in seen.sent}
    arrivals: dict[NodeRunnerProcess, list[Arrival]] = defaultdict(list)
    for arrival in seen.arrivals:
        request = sent.get(arrival.request_id)
        if request is not None:
            arrivals[request.node, arrival.runner_id, arrival.born].append(arrival)
    for signal in seen.signals:
        request = sent.get(signal.request_id)
        if request is None or not signal.signals.backoff_seconds:
            continue
        ends_at = signal.at + signal.signals.backoff_seconds
        begins_at = signal.at + BACKOFF_GRACE_SECONDS + seen.lag(signal.at, ends_at)
        in_backoff = [
            arrival.request_id
            for arrival in arrivals[request.node, signal.runner_id, signal.born]
            if begins_at < arrival.at < ends_at
        ]
        if len(in_backoff) > MAX_REQUESTS_IN_BACKOFF and not _is_excused(
            seen, signal, request.node, ends_at
        ):
            seconds = signal.signals.backoff_seconds
            count = len(in_backoff)
            yield f"{signal.runner_id}: {count} of {request.node} in {seconds:.1f} s of backoff"


def exceeded_limits(seen: Observations) -> Iterator[str]:
    """Return runners that got more requests from all nodes together than the limits they named.

    Requests of a node that was recently disturbed or stopped aren't counted.
    """
    sent = {request.request_id: request for request in seen.sent}
    limits: dict[tuple[str, int], list[NamedLimit]] = defaultdict(list)
    for named in seen.limits:
        limits[named.runner_id, named.born].append(named)
    notified = _limit_notifications(seen, sent)
    counted: dict[tuple[str, int], list[float]] = defaultdict(list)
    for arrival in sorted(seen.arrivals, key=lambda arrival: arrival.at):
        request = sent.get(arrival.request_id)
        process = arrival.runner_id, arrival.born
        named_at = _named_since(limits[process], arrival.at)
        if request is None or named_at is None:
            continue
        if seen.ran_earlier_build(request.node, arrival.at):
            # Earlier builds don't support runners' limits.
            continue
        notified_at = min(
            (at for at in notified[request.node, *process] if at >= named_at), default=None
        )
        begins_at = None if notified_at is None else notified_at + LIMIT_GRACE_SECONDS
        if begins_at is None or arrival.at < begins_at + seen.lag(begins_at, arrival.at):
            continue
        since = arrival.at - LIMIT_WINDOW_SECONDS - CONTACT_SECONDS
        names = request.node, arrival.runner_id
        if any(seen.disturbed(name, since, arrival.at) for name in names):
            continue
        if any(s.node == request.node and s.ended_at >= since for s in seen.stops):
            continue
        counted[process].append(arrival.at)
    for process, arrivals in counted.items():
        yield from _find_limit_violation(process[0], arrivals, limits[process], seen)


def _named_since(limits: list[NamedLimit], at: float) -> float | None:
    """Return since when a process has named limits without a gap; None if it names none."""
    since: float | None = None
    for named in sorted(limits, key=lambda named: named.began_at, reverse=True):
        if named.began_at <= at < named.ended_at or (
            since is not None and named.ended_at >= since - LIMIT_GAP_SECONDS
        ):
            since = named.began_at
    return since


def _limit_notifications(
    seen: Observations, sent: dict[str, CallerRequest]
) -> dict[NodeRunnerProcess, list[float]]:
    """Return when each node forwarded answers in which each runner process names a limit."""
    notified: dict[NodeRunnerProcess, list[float]] = defaultdict(list)
    for signal in seen.signals:
        request = sent.get(signal.request_id)
        if signal.signals.limit is None or request is None or request.status is None:
            continue
        key = request.node, signal.runner_id, signal.born
        notified[key].append(_answered_at(request, signal))
    return notified


def _find_limit_violation(
    runner_id: str, arrivals: list[float], limits: list[NamedLimit], seen: Observations
) -> Iterator[str]:
    for end in arrivals:
        since = end - LIMIT_WINDOW_SECONDS
        got = sum(since < at <= end for at in arrivals)
        # On a busy machine requests arrive late and in bursts.
        window = LIMIT_WINDOW_SECONDS + seen.lag(since, end)
        limit = max(
            named.limit
            for named in limits
            if named.began_at <= end and named.ended_at >= since - LIMIT_CHANGE_SECONDS
        )
        allowed = LIMIT_OVERSHOOT * limit * window + LIMIT_SLACK
        if got > allowed:
            yield f"{runner_id}: {got} requests in {window:.1f} s at a limit of {limit}"
            return


def _answered_at(request: CallerRequest, signal: SignalSent) -> float:
    return request.ended_at if request.ended_at is not None else signal.at


def _is_excused(seen: Observations, signal: SignalSent, node: str, until: float) -> bool:
    """Return whether the node or the runner was disturbed, or the node stopped, meanwhile."""
    since = signal.at - CONTACT_SECONDS
    return any(seen.disturbed(target, since, until) for target in (node, signal.runner_id)) or any(
        stop.node == node and stop.ended_at >= signal.at for stop in seen.stops
    )
