"""Running totals of loads equal the sums over the individual loads."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hillstack.core.runner_load import (
    PEER_LOAD_SECONDS,
    OwnAttempt,
    OwnAttempts,
    ReportedLoads,
    RunnerLoad,
)

loads = st.builds(RunnerLoad, st.integers(0, 9), st.integers(0, 3), st.integers(0, 900))
reports = st.lists(st.tuples(st.sampled_from("abcde"), loads, st.floats(0.0, 1.0)), max_size=60)


@given(reports=reports, pause=st.floats(0.0, 3.0))
def test_totals_are_the_sum_of_the_reports_that_have_not_expired(
    reports: list[tuple[str, RunnerLoad, float]], pause: float
) -> None:
    totals = ReportedLoads()
    known: dict[str, tuple[RunnerLoad, float]] = {}
    now = 100.0
    for reporter, load, step in reports:
        now += step
        totals.report(reporter, load, now)
        known[reporter] = load, now
    now += pause
    fresh = [load for load, at in known.values() if at >= now - PEER_LOAD_SECONDS]
    fresh = [load for load in fresh if not load.is_zero()]
    total = totals.total(now)
    assert total.running == sum(load.running for load in fresh)
    assert total.long_running == sum(load.long_running for load in fresh)
    assert total.committed_tokens == sum(load.committed_tokens for load in fresh)
    assert len(totals) == len(fresh)


def test_a_peer_without_load_is_not_stored() -> None:
    totals = ReportedLoads()
    for number in range(1_000):
        totals.report(f"node-{number}", RunnerLoad(), 1.0)
    assert len(totals) == 0
    totals.report("node-1", RunnerLoad(2, 0, 50), 1.0)
    totals.report("node-1", RunnerLoad(), 1.1)
    assert len(totals) == 0 and totals.total(1.1) == RunnerLoad()


def test_own_attempts_count_once_until_they_end() -> None:
    attempts = OwnAttempts()
    attempts.add("a", OwnAttempt(10, 700, 0.0, 1.0, long=True))
    attempts.add("a", OwnAttempt(10, 500, 0.0, 1.0))
    attempts.add("b", OwnAttempt(10, 300, 0.0, 1.0, long=True))
    assert attempts.load() == RunnerLoad(2, 1, 800)
    attempts.remove("a")
    attempts.remove("a")
    assert attempts.load() == RunnerLoad(1, 1, 300)


def test_subtracting_a_larger_load_gives_zero() -> None:
    assert RunnerLoad(2, 1, 50).without(RunnerLoad(3, 0, 20)) == RunnerLoad(0, 1, 30)
