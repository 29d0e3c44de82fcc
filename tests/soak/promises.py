"""The promises that nodes must keep in a soak, checked on the records of callers and runners."""

from __future__ import annotations

import itertools
import re
from collections import Counter, defaultdict
from collections.abc import Iterator

from tests.soak.cut_promises import served_worse_at_cut_nodes
from tests.soak.end_of_answer_promises import cut_off_in_planned_work
from tests.soak.end_promises import ended_without_its_end
from tests.soak.observations import CallerRequest, Observations, Run
from tests.soak.run_promises import worked_on_by_two_runners
from tests.soak.signal_promises import (
    exceeded_limits,
    reached_leaving_runners,
    reached_runners_in_backoff,
    reached_runners_that_left,
)
from tests.soak.stream_promises import streams_of_two_versions
from tests.soak.timed_promises import (
    continued_after_close,
    lost_in_planned_stops,
    overlong_stops,
    started_after_close,
)
from tests.soak.version_promises import rollouts, runners_ended
from tests.soak.weights_promises import began_on_foreign_parts, started_on_older_weights

NOT_RUN = frozenset({408, 421, 429, 503})
RETRY_AFTER_STATUSES = frozenset({429, 503})
REVOKE_SECONDS = 5.0
MAX_RUNS = 2
LIMIT_WINDOW_SECONDS = 8.0
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


def find_violations(seen: Observations) -> list[str]:
    """Return a description of every broken promise."""
    return [
        *_answer_violations(seen),
        *_run_violations(seen),
        *_revoked_key_runs(seen),
        *_tenant_limit_violations(seen),
        *_order_violations(seen),
        *started_after_close(seen),
        *continued_after_close(seen),
        *lost_in_planned_stops(seen),
        *cut_off_in_planned_work(seen),
        *overlong_stops(seen),
        *runners_ended(seen),
        *rollouts(seen),
        *started_on_older_weights(seen),
        *began_on_foreign_parts(seen),
        *reached_leaving_runners(seen),
        *reached_runners_that_left(seen),
        *reached_runners_in_backoff(seen),
        *exceeded_limits(seen),
        *served_worse_at_cut_nodes(seen),
        *streams_of_two_versions(seen),
        *worked_on_by_two_runners(seen),
    ]


def _answer_violations(seen: Observations) -> Iterator[str]:
    for request in seen.sent:
        found = list(_check_answer(request)) if request.status == 200 else []
        yield from found or ended_without_its_end(request)
        if _lacks_retry_after(request):
            yield f"{request.request_id}: {request.status} without a time to come back"


def _lacks_retry_after(request: CallerRequest) -> bool:
    """Return whether an answer lacks the time to come back.

    A stream that is taken up may be refused for good, with 503 and no such time.
    """
    if request.status == 503 and request.after:
        return False
    return request.status in RETRY_AFTER_STATUSES and request.retry_after is None


def _run_violations(seen: Observations) -> Iterator[str]:
    by_request: dict[str, list[Run]] = defaultdict(list)
    for run in seen.runs:
        by_request[run.request_id].append(run)
    known = {request.request_id for request in seen.sent}
    for request_id in by_request.keys() - known:
        yield f"{request_id}: run, though no caller sent it"
    for request in seen.sent:
        count = len(by_request[request.request_id])
        if request.status in NOT_RUN and count:
            yield f"{request.request_id} ({request.kind}): {request.status}, and it ran"
        most = 1 if request.kind == "once" else MAX_RUNS
        if count > most:
            yield f"{request.request_id} ({request.kind}): ran {count} times"


def _revoked_key_runs(seen: Observations) -> Iterator[str]:
    sent = {request.request_id: request for request in seen.sent}
    for run in seen.runs:
        request = sent.get(run.request_id)
        revoked_at = seen.revoked_at.get(request.key) if request is not None else None
        if request is None or revoked_at is None:
            continue
        late = request.sent_at - revoked_at
        if late > REVOKE_SECONDS:
            yield f"{run.request_id}: ran with a key that was revoked {late:.1f} s before"


def _tenant_limit_violations(seen: Observations) -> Iterator[str]:
    sent = {request.request_id: request for request in seen.sent}
    began: dict[str, dict[str, Run]] = defaultdict(dict)
    for run in seen.runs:
        request = sent.get(run.request_id)
        if request is not None and request.key in seen.most_runs:
            began[request.key].setdefault(run.request_id, run)
    for key, runs in began.items():
        worst = _busiest_window(sorted(runs.values(), key=lambda run: run.began_at))
        if len(worst) > seen.most_runs[key]:
            nodes = Counter(sent[run.request_id].node for run in worst)
            yield (
                f"{key}: {len(worst)} requests ran in {LIMIT_WINDOW_SECONDS:.0f} s,"
                f" from {worst[0].request_id} at {worst[0].began_at:.2f} on, by node: {dict(nodes)}"
            )


def _order_violations(seen: Observations) -> Iterator[str]:
    holders: dict[int, str] = {}
    for runner_id, orders in seen.orders.items():
        for before, after in itertools.pairwise(orders):
            if after.fence < before.fence or after.version < before.version:
                yield f"{runner_id}: order {after} after {before}"
        for order in orders:
            if holders.setdefault(order.fence, order.holder) != order.holder:
                yield f"{runner_id}: fence {order.fence} of two holders"
    yield from _fences_from_two_hosts(seen)


def _fences_from_two_hosts(seen: Observations) -> Iterator[str]:
    """Return the fences with which orders reached a runner from two machines."""
    for runner_id, orders in seen.orders.items():
        hosts: dict[int, str] = {}
        for order, host in zip(orders, seen.order_hosts.get(runner_id, ()), strict=False):
            if hosts.setdefault(order.fence, host) != host:
                yield f"{runner_id}: fence {order.fence} from two machines"


def _busiest_window(runs: list[Run]) -> list[Run]:
    """Return the runs of the window with the most runs; ``runs`` is sorted by start time."""
    first = 0
    most: list[Run] = []
    for last, run in enumerate(runs):
        while run.began_at - runs[first].began_at >= LIMIT_WINDOW_SECONDS:
            first += 1
        if last - first + 1 > len(most):
            most = runs[first : last + 1]
    return most


def _check_answer(request: CallerRequest) -> Iterator[str]:
    name = f"{request.request_id} ({request.kind} at {request.node})"
    if not request.signature.endswith("." + request.request_id):
        yield f"{name}: signature {request.signature!r}"
    if request.expected_events is None:
        runner = request.signature.partition(".")[0]
        if request.body != f"{runner}:{request.request_id}".encode():
            yield f"{name}: body {request.body[:80]!r}"
        return
    numbers = [int(number) for number in EVENT_ID.findall(request.body)]
    if numbers != list(range(request.after + 1, request.expected_events + 1)):
        yield f"{name}: ended as complete with events {numbers}"
