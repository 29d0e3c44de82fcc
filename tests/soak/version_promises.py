"""Promises about requests that end runners, and about rollouts of software."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from tests.fleet.builders import APPLICATION, ENGINES
from tests.soak.fatal_requests import is_varied
from tests.soak.observations import NODE_PREFIX, STORE, Observations, Rollout, RunnerEnd
from tests.soak.software import CANARY_SHARE, CANARY_SLACK, is_decided
from tests.soak.timed_promises import CONTACT_SECONDS

MOST_ENDS = 2
# A node that was cut, paused or started between the ends may not know of the first one.
MOST_ENDS_WITH_NODES_AWAY = 3
# Sends of a request whose tries differ, once all nodes know of the third end under it.
MOST_ENDS_LATER = 3


def runners_ended(seen: Observations) -> Iterator[str]:
    """Return the requests that ended more runners than they may."""
    by_request: dict[str, list[RunnerEnd]] = defaultdict(list)
    for end in seen.runner_ends:
        by_request[end.fatal].append(end)
    for fatal, ends in by_request.items():
        if is_varied(fatal):
            yield from _ended_later(fatal, ends)
            continue
        away = _nodes_away(seen, ends[0].at, ends[-1].at)
        most = MOST_ENDS_WITH_NODES_AWAY if away else MOST_ENDS
        if len(ends) > most:
            times = ", ".join(f"{end.runner_id} at {end.at:.2f}" for end in ends)
            yield f"{fatal}: ended {len(ends)} runners: {times}"


def _ended_later(fatal: str, ends: list[RunnerEnd]) -> Iterator[str]:
    """Return a request of which too many tries ended a runner long after the third end."""
    if len(ends) <= MOST_ENDS_WITH_NODES_AWAY:
        return
    known_at = ends[MOST_ENDS_WITH_NODES_AWAY - 1].at + CONTACT_SECONDS
    later = sum(end.at > known_at for end in ends)
    if later > MOST_ENDS_LATER:
        yield f"{fatal}: ended {later} runners later than the third, {len(ends)} in all"


def rollouts(seen: Observations) -> Iterator[str]:
    """Return what went wrong in rollouts of software."""
    for rollout in seen.rollouts.values():
        name = f"{rollout.service} {rollout.target}"
        decided = [state for state in rollout.states if state != "running"]
        if not is_decided(rollout):
            yield f"{name}: not decided long after its deadline"
        if len(decided) > 1 or "running" in rollout.states[1:]:
            yield f"{name}: the operator was told {rollout.states}"
        if rollout.is_bad and "complete" in rollout.states:
            yield f"{name}: bad, and complete"
        if rollout.is_bad:
            yield from _exposure(seen, rollout, name)
        yield from _cut_streams(seen, rollout, name)


def _exposure(seen: Observations, rollout: Rollout, name: str) -> Iterator[str]:
    """Return whether a bad version got more than its share while it was on trial."""
    began_at, ends_at = rollout.ordered_at, rollout.deadline
    ran = {run.request_id for run in seen.runs}
    taken = sum(
        began_at <= request.sent_at <= ends_at
        and (request.status is not None or request.request_id in ran)
        for request in seen.sent
        if rollout.service == (ENGINES if request.kind == "stream" else APPLICATION)
    )
    exposed = sum(
        began_at <= run.began_at <= ends_at and seen.software[run.runner_id] == rollout.target
        for run in seen.runs
    )
    if exposed > CANARY_SHARE * taken + CANARY_SLACK:
        yield f"{name}: bad, and got {exposed} of {taken} requests"


def _cut_streams(seen: Observations, rollout: Rollout, name: str) -> Iterator[str]:
    """Return the streams cut by a completion, but for those of nodes that were out of touch."""
    nodes = {request.request_id: request.node for request in seen.sent}
    for request_id in rollout.old_streams:
        node = nodes.get(request_id, "")
        since, until = rollout.ordered_at, rollout.decided_at
        if not any(seen.disturbed(target, since, until) for target in (node, STORE)):
            yield f"{name}: its completion cut {request_id} at {node}"


def _nodes_away(seen: Observations, since: float, until: float) -> bool:
    return any(
        each.target.startswith(NODE_PREFIX)
        and each.began_at <= until
        and each.ended_at + CONTACT_SECONDS >= since
        for each in seen.troubles
    )
