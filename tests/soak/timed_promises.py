"""Promises with a time: what closes and planned stops must have brought about, and when."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from tests.soak.observations import Observations, Run, Sent

# What the users allow between a close and the last that reaches a runner. What the soak's own
# tasks were late meanwhile comes on top: they note the close too early, or the arrival too late.
CLOSE_SECONDS = 0.5
# A node or a link is held to times only when it was left alone for that long.
CONTACT_SECONDS = 3.0
# From SIGTERM to the end of the process.
GRACE_SECONDS = 8.0
# Requests whose runs end with their callers; another one runs once and is let run to its end.
CANCELLED_KINDS = frozenset({"safe", "stream"})


def sent_after_close(seen: Observations) -> Iterator[str]:
    """Return the runs that began long after their callers had closed."""
    for request, run in _runs_of_closed(seen):
        late = run.began_at - _not_before(request)
        if late > CLOSE_SECONDS + _allowance(seen, request, run, run.began_at):
            yield f"{run.request_id}: began {late:.2f} s after its caller had closed"


def at_work_after_close(seen: Observations) -> Iterator[str]:
    """Return the runs that went on long after their callers had closed, at runners that hang."""
    for request, run in _runs_of_closed(seen):
        let_go_at = seen.let_go_at(run.request_id, run.runner_id)
        if let_go_at is None or request.kind not in CANCELLED_KINDS:
            continue
        late = let_go_at - max(_not_before(request), run.began_at)
        if late > CLOSE_SECONDS + _allowance(seen, request, run, let_go_at):
            yield f"{run.request_id}: {run.runner_id} at work {late:.2f} s after the close"


def lost_in_planned_stops(seen: Observations) -> Iterator[str]:
    """Return the requests that ran and got no answer because their node stopped as planned."""
    ran = {run.request_id for run in seen.runs}
    for request in seen.sent:
        ended_at = request.ended_at
        if request.status is not None or request.closed_at is not None or ended_at is None:
            continue
        if request.request_id not in ran or not _stops(seen, request, ended_at):
            continue
        if any(seen.unplanned(request.sent_at - CONTACT_SECONDS, ended_at)):
            continue
        yield f"{request.request_id}: ran, and lost in the planned stop of {request.node}"


def late_stops(seen: Observations) -> Iterator[str]:
    """Return the planned stops that were not over at the end of their grace time."""
    for stop in seen.stops:
        took = stop.ended_at - stop.began_at
        allowed = GRACE_SECONDS + seen.lag(stop.began_at, stop.ended_at)
        if took > allowed and not seen.disturbed(stop.node, stop.began_at, stop.ended_at):
            yield f"{stop.node}: still there after its grace time, ended after {took:.1f} s"


def _runs_of_closed(seen: Observations) -> Iterator[tuple[Sent, Run]]:
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in seen.runs:
        runs[run.request_id].append(run)
    for request in seen.sent:
        if request.closed_at is not None:
            yield from ((request, run) for run in runs[request.request_id])


def _not_before(request: Sent) -> float:
    return request.closed_at if request.closed_at is not None else request.sent_at


def _allowance(seen: Observations, request: Sent, run: Run, until: float) -> float:
    """Return what may come on top of the time: without an end where the way was disturbed."""
    since = _not_before(request)
    for target in (request.node, run.runner_id):
        if seen.disturbed(target, since - CONTACT_SECONDS, until):
            return float("inf")
    return seen.lag(since, until)


def _stops(seen: Observations, request: Sent, ended_at: float) -> bool:
    return any(
        each.planned
        and each.target == request.node
        and each.began_at <= ended_at
        and each.ended_at >= request.sent_at
        for each in seen.troubles
    )
