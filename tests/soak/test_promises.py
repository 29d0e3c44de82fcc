"""The soak's checks must find each broken promise in a history that breaks it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import pytest

from hillstack.platform.bodies import OrderBody
from tests.soak.observations import CallerRequest, Disturbance, Observations, Run, RunEnd, Stop
from tests.soak.promises import find_violations

ORDER = OrderBody("version", "m", 2, "retain", "node-1", 5, 0)
ONCE = CallerRequest("r-1", "once", "node-1", "key-1", 10.0, 200, b"i-1:r-1", "i-1.r-1")
STREAM = replace(
    ONCE,
    kind="stream",
    expected_events=3,
    body=b"id: 1\ndata: i-1\n\nid: 2\ndata: i-1\n\nid: 3\ndata: i-2\n\n",
)
RUN = Run("r-1", "i-1", 10.1)


def short_ends(runs: Iterable[Run]) -> list[RunEnd]:
    """Return the ends of runs that take no time."""
    return [RunEnd(run.request_id, run.runner_id, run.began_at) for run in runs]


def found(
    *sent: CallerRequest,
    runs: tuple[Run, ...] = (),
    revoked: float | None = None,
    orders: tuple[OrderBody, ...] = (),
) -> list[str]:
    seen = Observations(list(sent), list(runs), short_ends(runs), orders={"i-1": list(orders)})
    if revoked is not None:
        seen.revoked_at["key-1"] = revoked
    return find_violations(seen)


def test_a_history_that_keeps_all_promises_has_no_violations() -> None:
    orders = (ORDER, replace_order(version=3, fence=6, holder="node-2"))
    assert found(ONCE, runs=(RUN,), revoked=9.0, orders=orders) == []
    assert found(STREAM, runs=(RUN, RUN)) == []
    assert found(replace(ONCE, status=503, retry_after="1")) == []


def replace_order(**changes: object) -> OrderBody:
    fields = {name: getattr(ORDER, name) for name in ORDER.__struct_fields__}
    return OrderBody(**{**fields, **changes})


@pytest.mark.parametrize(
    ("sent", "runs", "text"),
    [
        (replace(ONCE, signature="i-1.r-2"), (RUN,), "signature"),
        (replace(ONCE, body=b"i-1:r-2"), (RUN,), "body"),
        (replace(ONCE, body=b"i-1:r-"), (RUN,), "body"),
        (ONCE, (RUN, RUN), "ran 2 times"),
        (replace(ONCE, status=503, retry_after="1"), (RUN,), "and it ran"),
        (replace(ONCE, status=503), (), "time to come back"),
        (replace(STREAM, kind="stream"), (RUN, RUN, RUN), "ran 3 times"),
        (replace(STREAM, body=STREAM.body[:17]), (RUN,), "ended as complete"),
        (replace(STREAM, body=STREAM.body + STREAM.body), (RUN,), "ended as complete"),
        (ONCE, (RUN, Run("r-9", "i-1", 10.0)), "no caller sent it"),
    ],
)
def test_a_broken_promise_is_found(sent: CallerRequest, runs: tuple[Run, ...], text: str) -> None:
    violations = found(sent, runs=runs)
    assert len(violations) == 1 and text in violations[0]


def test_a_run_with_a_key_that_was_revoked_long_before_is_found() -> None:
    assert "revoked" in found(ONCE, runs=(RUN,), revoked=4.0)[0]


@pytest.mark.parametrize(
    "order",
    [
        replace_order(fence=4),
        replace_order(version=1),
        replace_order(holder="node-2"),
    ],
)
def test_orders_in_the_wrong_sequence_are_found(order: OrderBody) -> None:
    assert len(found(orders=(ORDER, order))) == 1


def test_more_runs_of_a_limited_key_than_a_window_allows_are_found() -> None:
    sent = [replace(ONCE, request_id=f"r-{number}", status=None) for number in range(6)]
    runs = [Run(f"r-{number}", "i-1", 10.0 + 2 * number) for number in range(6)]
    seen = Observations(sent, runs, most_runs={"key-1": 4})
    assert find_violations(seen) == []
    seen.most_runs = {"key-1": 3}
    assert "ran in 8 s" in find_violations(seen)[0]


def test_a_request_that_ran_twice_counts_once_for_its_limit() -> None:
    sent = [replace(ONCE, kind="safe", status=None)]
    runs = [RUN, replace(RUN, runner_id="i-2")]
    seen = Observations(sent, runs, short_ends(runs), most_runs={"key-1": 1})
    assert find_violations(seen) == []


CLOSED = CallerRequest("r-1", "safe", "node-1", "key-1", 10.0, closed_at=10.2, ended_at=10.2)
LATE = Run("r-1", "i-1", 10.8)


def test_a_run_that_begins_long_after_its_caller_closed_is_found() -> None:
    assert find_violations(Observations([CLOSED], [RUN])) == []
    assert find_violations(Observations([CLOSED], [replace(LATE, began_at=10.65)])) == []
    assert "began 0.60 s after" in find_violations(Observations([CLOSED], [LATE]))[0]


@pytest.mark.parametrize(
    "seen",
    [
        Observations([CLOSED], [LATE], troubles=[Disturbance("node-1", 5.0, 8.0)]),
        Observations([CLOSED], [LATE], troubles=[Disturbance("i-1", 10.3)]),
        Observations([CLOSED], [LATE], lags=[(10.5, 0.15)]),
    ],
)
def test_a_late_run_is_allowed_if_its_node_or_runner_was_disturbed(seen: Observations) -> None:
    assert find_violations(seen) == []


@pytest.mark.parametrize(
    "seen",
    [
        Observations([CLOSED], [LATE], troubles=[Disturbance("node-1", 5.0, 7.0)]),
        Observations(
            [CLOSED], [LATE], troubles=[Disturbance("node-2", 10.0), Disturbance("i-2", 10.0)]
        ),
        Observations([CLOSED], [LATE], troubles=[Disturbance("store", 10.0)]),
        Observations([CLOSED], [LATE], troubles=[Disturbance("node-1", 10.0, planned=True)]),
        Observations([CLOSED], [LATE], lags=[(9.0, 0.15), (10.5, 0.05)]),
    ],
)
def test_other_disturbances_do_not_allow_a_late_run(seen: Observations) -> None:
    assert len(find_violations(seen)) == 1


def test_a_runner_still_working_long_after_the_close_is_found() -> None:
    hung = Observations([CLOSED], [RUN])
    hung.record_abandoned("r-1", "i-1", 10.6)
    assert find_violations(hung) == []
    hung.record_abandoned("r-1", "i-1", 10.8)
    assert "at work" in find_violations(hung)[0]
    hung.sent = [replace(CLOSED, kind="once")]
    assert find_violations(hung) == []


BROKEN = replace(CLOSED, closed_at=None, ended_at=10.4)
STOPPING = Disturbance("node-1", 10.1, 12.0, planned=True)


def test_a_request_that_ran_and_was_lost_by_a_planned_stop_is_found() -> None:
    assert "lost" in find_violations(Observations([BROKEN], [RUN], troubles=[STOPPING]))[0]
    assert find_violations(Observations([BROKEN], [], troubles=[STOPPING])) == []
    assert find_violations(Observations([BROKEN], [RUN])) == []
    other = replace(STOPPING, target="node-2")
    assert find_violations(Observations([BROKEN], [RUN], troubles=[other])) == []
    of_other_runner = [STOPPING, Disturbance("i-2", 7.5, 8.0)]
    (violation,) = find_violations(Observations([BROKEN], [RUN], troubles=of_other_runner))
    assert "cut off" in violation and "lost" not in violation
    of_own_runner = [STOPPING, Disturbance("i-1", 7.5, 8.0)]
    assert find_violations(Observations([BROKEN], [RUN], troubles=of_own_runner)) == []


def test_a_stop_that_outlasts_its_grace_time_is_found() -> None:
    late = Stop("node-1", 10.0, 18.5)
    assert "after its grace time" in find_violations(Observations(stops=[late]))[0]
    assert find_violations(Observations(stops=[replace(late, ended_at=17.9)])) == []
    paused = Observations(stops=[late], troubles=[Disturbance("node-1", 12.0, 13.0)])
    assert find_violations(paused) == []


# Guards against a soak that accepts the orders of one fence from two machines.
def test_orders_of_one_fence_from_two_machines_are_found() -> None:
    seen = Observations(orders={"i-1": [ORDER, replace_order(version=3, expected_count=1)]})
    seen.order_hosts["i-1"] = ["127.0.0.2", "127.0.0.2"]
    assert find_violations(seen) == []
    seen.order_hosts["i-1"] = ["127.0.0.2", "127.0.0.3"]
    (violation,) = find_violations(seen)
    assert "from two machines" in violation
