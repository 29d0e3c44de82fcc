"""The promise to callers of nodes that are cut off from runners which other nodes reach."""

from __future__ import annotations

from collections.abc import Iterator

from tests.fleet.builders import APPLICATION, ENGINES
from tests.soak.observations import CallerRequest, Observations, RunnerCut
from tests.soak.timed_promises import CONTACT_SECONDS

# First tries at cut nodes are served at least this often, relative to those at the others, or at
# most so many of all of them fail.
LEAST_RELATIVE_SHARE = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1 / 50
# Greatest time between the records of a cut and of its disturbances.
CUT_RECORD_SECONDS = 0.05
# Statuses that say nothing about the way to runners: revoked keys and limits of tenants.
CALLERS_OWN = frozenset({401, 429})


def served_worse_at_cut_nodes(seen: Observations) -> Iterator[str]:
    """Compare first tries at nodes that are cut off from runners with those at the other nodes."""
    at_cut: list[bool] = []
    elsewhere: list[bool] = []
    for request in seen.sent:
        cut = _cut_around(seen, request)
        if cut is None or _is_disturbed(seen, request):
            continue
        (at_cut if request.node in cut.nodes else elsewhere).append(request.status == 200)
    if not at_cut or not elsewhere:
        return
    share, share_elsewhere = sum(at_cut) / len(at_cut), sum(elsewhere) / len(elsewhere)
    total = len(at_cut) + len(elsewhere)
    failed = total - sum(at_cut) - sum(elsewhere)
    if failed <= ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * total:
        return
    if share < LEAST_RELATIVE_SHARE * share_elsewhere:
        yield (
            f"nodes cut off from runners served {sum(at_cut)} of {len(at_cut)} first tries,"
            f" the others {sum(elsewhere)} of {len(elsewhere)}"
        )


def _cut_around(seen: Observations, request: CallerRequest) -> RunnerCut | None:
    """Return the only cut during a request, if it began early enough and lasted until its end."""
    if request.ended_at is None or request.closed_at is not None or request.fatal:
        return None
    if request.status in CALLERS_OWN:
        return None
    since = request.sent_at - CONTACT_SECONDS
    during = [
        cut
        for cut in seen.runner_cuts
        if cut.began_at <= request.ended_at and cut.ended_at >= since
    ]
    if len(during) != 1:
        return None
    (cut,) = during
    service = ENGINES if request.kind == "stream" else APPLICATION
    is_whole = cut.began_at <= since and cut.ended_at >= request.ended_at
    return cut if is_whole and cut.service in (None, service) else None


def _is_disturbed(seen: Observations, request: CallerRequest) -> bool:
    """Return whether a fault other than a cut from runners affects a request."""
    assert request.ended_at is not None
    since = request.sent_at - CONTACT_SECONDS
    own = {(name, cut.began_at) for cut in seen.runner_cuts for name in cut.nodes}
    for each in seen.troubles:
        overlaps = each.began_at <= request.ended_at and each.ended_at >= since
        # A cut is recorded a moment before its disturbances.
        is_own = any(
            name == each.target and abs(began_at - each.began_at) < CUT_RECORD_SECONDS
            for name, began_at in own
        )
        if overlaps and not is_own:
            return True
    return False
