"""The promise that planned work cuts no request off that a sound runner works on."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from tests.soak.callers import REQUEST_DEADLINE_MS
from tests.soak.observations import STORE, CallerRequest, Observations, Run
from tests.soak.timed_promises import CONTACT_SECONDS

# Shorter than the grace time of a stop, whose end thus excuses no cut before the deadline.
DEADLINE_SECONDS = REQUEST_DEADLINE_MS / 1000
# From a configuration's acknowledgement until its change counts as over: the time in which nodes
# apply it, and a second.
CHANGE_SECONDS = 3.0


def cut_off_in_planned_work(seen: Observations) -> Iterator[str]:
    """Return the requests at work at sound runners whose connections ended around planned work."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in seen.runs:
        runs[run.request_id].append(run)
    for request in seen.sent:
        ended_at = request.ended_at
        if request.status is not None or request.closed_at is not None or ended_at is None:
            continue
        of_request = runs[request.request_id]
        if not of_request or request.fatal or ended_at >= request.sent_at + DEADLINE_SECONDS:
            continue
        work = _planned_work(seen, request, ended_at)
        if work and not _is_excused(seen, request, of_request, ended_at):
            runners = ", ".join(run.runner_id for run in of_request)
            yield (
                f"{request.request_id} at {request.node}: cut off after {len(request.body)} bytes"
                f" and {ended_at - request.sent_at:.2f} s, at work at {runners}, beside {work}"
            )


def _planned_work(seen: Observations, request: CallerRequest, ended_at: float) -> str:
    """Return what was planned at the request's node while it was open; empty for nothing."""
    for each in seen.troubles:
        overlaps = each.began_at <= ended_at and each.ended_at >= request.sent_at
        if each.planned and each.target == request.node and overlaps:
            return "a planned stop"
    for changed_at in seen.configured_at:
        if changed_at <= ended_at and changed_at + CHANGE_SECONDS >= request.sent_at:
            return "a change of the configuration"
    return ""


def _is_excused(
    seen: Observations, request: CallerRequest, runs: list[Run], ended_at: float
) -> bool:
    """Return whether the node, a runner of the request or the store was disturbed or ended."""
    since = request.sent_at - CONTACT_SECONDS
    runners = {run.runner_id for run in runs}
    targets = {request.node, STORE, *runners, *(f"work of {each}" for each in runners)}
    if any(each.target in targets for each in seen.unplanned_disturbances(since, ended_at)):
        return True
    crashed = {end.runner_id for end in seen.runner_ends if end.at <= ended_at}
    ended = {runner_id for runner_id, at in seen.runners_closed_at.items() if at <= ended_at}
    return bool(runners & (crashed | ended))
