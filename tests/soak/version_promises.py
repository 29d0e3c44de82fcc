"""Promises about requests that crash runners, and about rollouts of software."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from tests.fleet.builders import APPLICATION, ENGINES
from tests.soak.fatal_requests import fatal_name_of, is_part, is_varied
from tests.soak.observations import NODE_PREFIX, STORE, Observations, Rollout, RunnerCrash
from tests.soak.software import CANARY_SHARE, CANARY_SLACK, is_decided
from tests.soak.timed_promises import CONTACT_SECONDS

# Maximum number of runners that a fatal request may crash.
MAX_ENDS = 2
# A node that was cut off, paused or started between two crashes may not know of the first one.
MAX_ENDS_WITH_DISTURBED_NODES = 3
# Maximum number of crashes under a request whose tries differ, once all nodes know of its third.
MAX_LATER_ENDS = 3
# The same for sends with a prompt part, once all nodes know of the fifth crash under it.
ENDS_BEFORE_LIMIT = 5
MAX_LATER_SENDS = 3


def runners_ended(seen: Observations) -> Iterator[str]:
    """Return the fatal requests that crashed more runners than allowed."""
    by_request: dict[str, list[RunnerCrash]] = defaultdict(list)
    for end in seen.runner_ends:
        by_request[end.fatal].append(end)
    for fatal, ends in by_request.items():
        if is_part(fatal):
            yield from _find_late_sends(fatal, ends, seen)
            continue
        if is_varied(fatal):
            yield from _find_late_ends(fatal, ends)
            continue
        is_disturbed = _any_node_disturbed(seen, ends[0].at, ends[-1].at)
        most = MAX_ENDS_WITH_DISTURBED_NODES if is_disturbed else MAX_ENDS
        if len(ends) > most:
            times = ", ".join(f"{end.runner_id} at {end.at:.2f}" for end in ends)
            yield f"{fatal}: ended {len(ends)} runners: {times}"


def _find_late_sends(part: str, ends: list[RunnerCrash], seen: Observations) -> Iterator[str]:
    """Return a violation if too many requests with a part came long after its fifth crash."""
    if len(ends) < ENDS_BEFORE_LIMIT:
        return
    known_at = sorted(end.at for end in ends)[ENDS_BEFORE_LIMIT - 1] + CONTACT_SECONDS
    later = sum(
        arrival.at > known_at and fatal_name_of(arrival.request_id) == part
        for arrival in seen.arrivals
    )
    if later > MAX_LATER_SENDS:
        yield f"{part}: sent {later} times later than the fifth crash, {len(ends)} in all"


def _find_late_ends(fatal: str, ends: list[RunnerCrash]) -> Iterator[str]:
    """Return a violation if too many tries crashed runners long after the third crash."""
    if len(ends) <= MAX_ENDS_WITH_DISTURBED_NODES:
        return
    known_at = ends[MAX_ENDS_WITH_DISTURBED_NODES - 1].at + CONTACT_SECONDS
    later = sum(end.at > known_at for end in ends)
    if later > MAX_LATER_ENDS:
        yield f"{fatal}: ended {later} runners later than the third, {len(ends)} in all"


def rollouts(seen: Observations) -> Iterator[str]:
    """Return the broken promises of software rollouts."""
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
            yield from _exposure_violation(seen, rollout, name)
        yield from _cut_stream_violations(seen, rollout, name)


def _exposure_violation(seen: Observations, rollout: Rollout, name: str) -> Iterator[str]:
    """Return a violation if a bad version got more than its canary share before its deadline."""
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


def _cut_stream_violations(seen: Observations, rollout: Rollout, name: str) -> Iterator[str]:
    """Return the streams that a rollout's completion cut at nodes that weren't disturbed."""
    nodes = {request.request_id: request.node for request in seen.sent}
    for request_id in rollout.old_streams:
        node = nodes.get(request_id, "")
        since, until = rollout.ordered_at, rollout.decided_at
        if not any(seen.disturbed(target, since, until) for target in (node, STORE)):
            yield f"{name}: its completion cut {request_id} at {node}"


def _any_node_disturbed(seen: Observations, since: float, until: float) -> bool:
    return any(
        each.target.startswith(NODE_PREFIX)
        and each.began_at <= until
        and each.ended_at + CONTACT_SECONDS >= since
        for each in seen.troubles
    )
