"""Promises with a time limit after a caller's close and in a graceful stop."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from tests.soak.observations import CallerRequest, Observations, Run

# Maximum time between a caller's close and the last effect on a runner. The lag of the soak's own
# tasks is added, since they may record the close too early or the arrival too late.
CLOSE_SECONDS = 0.5
# Time limits apply to a node or a link only if no fault disturbed it for this long before.
CONTACT_SECONDS = 3.0
# Maximum time from SIGTERM to the end of the process.
GRACE_SECONDS = 8.0
# Kinds of request that are cancelled when the caller closes; ``once`` requests run to their end.
CANCELLED_KINDS = frozenset({"safe", "stream"})


def started_after_close(seen: Observations) -> Iterator[str]:
    """Return the runs that started too long after their callers had closed the connection."""
    for request, run in _runs_of_closed_requests(seen):
        late = run.began_at - _closed_at(request)
        if late > CLOSE_SECONDS + _allowance(seen, request, run, run.began_at):
            yield f"{run.request_id}: began {late:.2f} s after its caller had closed"


def continued_after_close(seen: Observations) -> Iterator[str]:
    """Return the runs at hung runners that went on too long after their callers had closed."""
    for request, run in _runs_of_closed_requests(seen):
        abandoned_at = seen.abandoned_at(run.request_id, run.runner_id)
        if abandoned_at is None or request.kind not in CANCELLED_KINDS:
            continue
        late = abandoned_at - max(_closed_at(request), run.began_at)
        if late > CLOSE_SECONDS + _allowance(seen, request, run, abandoned_at):
            yield f"{run.request_id}: {run.runner_id} at work {late:.2f} s after the close"


def lost_in_planned_stops(seen: Observations) -> Iterator[str]:
    """Return the requests that ran and were lost because their node stopped gracefully."""
    ran = {run.request_id for run in seen.runs}
    for request in seen.sent:
        ended_at = request.ended_at
        if request.status is not None or request.closed_at is not None or ended_at is None:
            continue
        if request.request_id not in ran or not _overlaps_planned_stop(seen, request, ended_at):
            continue
        if any(seen.unplanned_disturbances(request.sent_at - CONTACT_SECONDS, ended_at)):
            continue
        yield f"{request.request_id}: ran, and lost in the planned stop of {request.node}"


def overlong_stops(seen: Observations) -> Iterator[str]:
    """Return the graceful stops that took longer than the grace time."""
    for stop in seen.stops:
        took = stop.ended_at - stop.began_at
        allowed = GRACE_SECONDS + seen.lag(stop.began_at, stop.ended_at)
        if took > allowed and not seen.disturbed(stop.node, stop.began_at, stop.ended_at):
            yield f"{stop.node}: still there after its grace time, ended after {took:.1f} s"


def _runs_of_closed_requests(seen: Observations) -> Iterator[tuple[CallerRequest, Run]]:
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in seen.runs:
        runs[run.request_id].append(run)
    for request in seen.sent:
        if request.closed_at is not None:
            yield from ((request, run) for run in runs[request.request_id])


def _closed_at(request: CallerRequest) -> float:
    return request.closed_at if request.closed_at is not None else request.sent_at


def _allowance(seen: Observations, request: CallerRequest, run: Run, until: float) -> float:
    """Return the seconds to add to a limit; infinite if the node or runner was disturbed."""
    since = _closed_at(request)
    for target in (request.node, run.runner_id):
        if seen.disturbed(target, since - CONTACT_SECONDS, until):
            return float("inf")
    return seen.lag(since, until)


def _overlaps_planned_stop(seen: Observations, request: CallerRequest, ended_at: float) -> bool:
    return any(
        each.planned
        and each.target == request.node
        and each.began_at <= ended_at
        and each.ended_at >= request.sent_at
        for each in seen.troubles
    )
