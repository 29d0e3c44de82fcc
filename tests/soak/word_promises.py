"""The promises to runners: who leaves gets no more requests, who asks for rest gets it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from tests.soak.observations import Arrival, Observations, Sent, Word
from tests.soak.timed_promises import CONTACT_SECONDS

# A request that its caller sends later than that after its node has passed on an answer which says
# that the runner leaves must not reach that runner from there.
LEAVE_SECONDS = 2.0
# What is under way when a runner asks for rest is free, for so long; two more are.
REST_BEGIN_SECONDS = 0.5
ALLOWED_IN_A_REST = 2

# Node, runner and start of the runner's process.
Pair = tuple[str, str, int]


def reached_leaving_runners(seen: Observations) -> Iterator[str]:
    """Return requests that reached a runner long after it had told their node that it leaves."""
    sent = {request.request_id: request for request in seen.sent}
    told: dict[Pair, Word] = {}
    for word in seen.words:
        request = sent.get(word.request_id)
        # An answer that the caller did not get may not have reached the node either.
        if word.signals.leaving and request is not None and request.status is not None:
            told.setdefault((request.node, word.runner_id, word.born), word)
    for arrival in seen.arrivals:
        request = sent.get(arrival.request_id)
        first = told.get((request.node, arrival.runner_id, arrival.born)) if request else None
        if request is None or first is None:
            continue
        late = request.sent_at - _passed_on_at(sent[first.request_id], first)
        if late > LEAVE_SECONDS + seen.lag(first.at, arrival.at) and not _is_excused(
            seen, first, request.node, arrival.at
        ):
            yield f"{arrival.request_id}: reached {arrival.runner_id} {late:.2f} s after its word"


def reached_resting_runners(seen: Observations) -> Iterator[str]:
    """Return the rests in which a runner got more requests of a node than are allowed."""
    sent = {request.request_id: request for request in seen.sent}
    arrivals: dict[Pair, list[Arrival]] = defaultdict(list)
    for arrival in seen.arrivals:
        request = sent.get(arrival.request_id)
        if request is not None:
            arrivals[request.node, arrival.runner_id, arrival.born].append(arrival)
    for word in seen.words:
        request = sent.get(word.request_id)
        if request is None or not word.signals.rest_seconds:
            continue
        ends_at = word.at + word.signals.rest_seconds
        begins_at = word.at + REST_BEGIN_SECONDS + seen.lag(word.at, ends_at)
        in_rest = [
            arrival.request_id
            for arrival in arrivals[request.node, word.runner_id, word.born]
            if begins_at < arrival.at < ends_at
        ]
        if len(in_rest) > ALLOWED_IN_A_REST and not _is_excused(seen, word, request.node, ends_at):
            rest = word.signals.rest_seconds
            yield f"{word.runner_id}: {len(in_rest)} of {request.node} in {rest:.1f} s of rest"


def _passed_on_at(request: Sent, word: Word) -> float:
    return request.ended_at if request.ended_at is not None else word.at


def _is_excused(seen: Observations, word: Word, node: str, until: float) -> bool:
    """Return whether the node, or its way to the runner, was disturbed meanwhile."""
    since = word.at - CONTACT_SECONDS
    return any(seen.disturbed(target, since, until) for target in (node, word.runner_id)) or any(
        stop.node == node and stop.ended_at >= word.at for stop in seen.stops
    )
