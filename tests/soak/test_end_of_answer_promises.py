"""The soak must find each request that planned work cut off at a sound runner."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.soak.end_of_answer_promises import DEADLINE_SECONDS, cut_off_in_planned_work
from tests.soak.observations import (
    CallerRequest,
    Disturbance,
    Observations,
    Run,
    RunnerCrash,
    Stop,
)
from tests.soak.promises import find_violations
from tests.soak.timed_promises import GRACE_SECONDS

CUT = CallerRequest(
    "r-1",
    "stream",
    "node-1",
    "key-1",
    10.0,
    body=b"id: 1\ndata: i-1\n\n",
    expected_events=3,
    ended_at=11.5,
)
RUN = Run("r-1", "i-1", 10.1)
STOPPING = Disturbance("node-1", 11.0, 13.0, planned=True)


def cut_off(
    request: CallerRequest = CUT,
    *troubles: Disturbance,
    runs: tuple[Run, ...] = (RUN,),
    configured_at: tuple[float, ...] = (),
) -> list[str]:
    seen = Observations([request], list(runs), troubles=list(troubles))
    seen.configured_at = list(configured_at)
    return list(cut_off_in_planned_work(seen))


# Guards against a soak that overlooks requests which planned work cuts off (incident LOST).
def test_a_request_cut_off_in_planned_work_is_found() -> None:
    (violation,) = cut_off(CUT, STOPPING)
    assert "beside a planned stop" in violation and "i-1" in violation
    (violation,) = cut_off(replace(CUT, body=b""), STOPPING)
    assert "after 0 bytes" in violation
    (violation,) = cut_off(configured_at=(8.0,))
    assert "beside a change of the configuration" in violation
    seen = Observations([CUT], [RUN], configured_at=[8.0])
    assert any("cut off" in each for each in find_violations(seen))


@pytest.mark.parametrize(
    "trouble",
    [
        Disturbance("node-2", 10.0),
        Disturbance("i-2", 10.0),
        Disturbance("work of i-2", 10.0),
        Disturbance("node-1", 5.0, 6.5),
        Disturbance("store", 5.0, 6.5),
        Disturbance("i-1", 12.0),
    ],
)
def test_other_disturbances_allow_no_cut(trouble: Disturbance) -> None:
    assert len(cut_off(CUT, STOPPING, trouble)) == 1


@pytest.mark.parametrize(
    "trouble",
    [
        Disturbance("node-1", 7.5, 8.0),
        Disturbance("i-1", 7.5, 8.0),
        Disturbance("work of i-1", 10.5),
        Disturbance("store", 7.5, 8.0),
    ],
)
def test_a_disturbed_node_runner_or_store_allows_a_cut(trouble: Disturbance) -> None:
    assert cut_off(CUT, STOPPING, trouble) == []


def test_a_cut_is_allowed_without_planned_work_or_run_and_after_the_deadline() -> None:
    assert cut_off() == []
    assert cut_off(CUT, replace(STOPPING, target="node-2")) == []
    assert cut_off(CUT, replace(STOPPING, began_at=11.6)) == []
    assert cut_off(configured_at=(6.9,)) == [] and cut_off(configured_at=(11.6,)) == []
    assert cut_off(CUT, STOPPING, runs=()) == []
    assert cut_off(replace(CUT, ended_at=14.0), STOPPING, configured_at=(13.0,)) == []
    assert cut_off(replace(CUT, closed_at=11.5), STOPPING) == []
    assert cut_off(replace(CUT, status=503), STOPPING) == []


def test_a_runner_that_crashed_or_was_ended_allows_a_cut() -> None:
    seen = Observations([CUT], [RUN], troubles=[STOPPING])
    seen.runner_ends = [RunnerCrash("fatal", "i-2", 11.0)]
    seen.runners_closed_at = {"i-1": 11.6}
    assert len(list(cut_off_in_planned_work(seen))) == 1
    seen.runner_ends = [RunnerCrash("fatal", "i-1", 11.0)]
    assert list(cut_off_in_planned_work(seen)) == []
    seen.runner_ends = []
    seen.runners_closed_at = {"i-1": 11.4}
    assert list(cut_off_in_planned_work(seen)) == []


# Guards against cuts that a stop's grace time excuses though it outlasts each deadline.
def test_each_request_reaches_its_deadline_within_the_grace_time() -> None:
    assert DEADLINE_SECONDS < GRACE_SECONDS
    stopping = replace(STOPPING, began_at=3.0, ended_at=11.6)
    seen = Observations([CUT], [RUN], troubles=[stopping], stops=[Stop("node-1", 3.4, 11.6)])
    assert len(list(cut_off_in_planned_work(seen))) == 1
