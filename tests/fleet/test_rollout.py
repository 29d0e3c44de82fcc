"""The rollout of weights: which runners load the new weights, and when."""

from __future__ import annotations

from collections.abc import Collection

from hypothesis import given
from hypothesis import strategies as st

from hillstack.core.runner_load import OwnAttempt
from hillstack.core.runner_pool import Runner
from hillstack.core.weights_rollout import START_DELAY_SECONDS, WeightsLoadPlan, WeightsLoadView
from hillstack.core.weights_versions import Announcement, WeightsVersions
from tests.fleet.builders import ENGINES, MODEL, make_entry

GRACE = 7.6
LOAD = 1.3


def make_runners(count: int, weights: int = 1) -> list[Runner]:
    entries = [make_entry(f"i-{n}", ENGINES, weights=weights) for n in range(count)]
    return [Runner(entry, dict(entry.weights)) for entry in entries]


def make_plan() -> tuple[WeightsLoadPlan, WeightsVersions]:
    versions = WeightsVersions(GRACE)
    versions.announce(MODEL, Announcement(1, -100.0))
    versions.announce(MODEL, Announcement(2, 0.0))
    return WeightsLoadPlan(MODEL, versions), versions


def add_long_stream(runner: Runner) -> None:
    runner.attempts.add("a", OwnAttempt(0, 100, 0.0, 1.0, long=True, started=True))


def view(
    runners: list[Runner], now: float, loading: Collection[str] = (), resting: Collection[str] = ()
) -> WeightsLoadView:
    return WeightsLoadView(runners, loading, resting, LOAD, now)


def test_no_runner_loads_while_all_are_up_to_date() -> None:
    plan, _ = make_plan()
    assert plan.next_loads(view(make_runners(6, weights=2), 5.0)) == []


def test_no_runner_loads_right_after_a_version_was_announced() -> None:
    plan, _ = make_plan()
    assert plan.next_loads(view(make_runners(6), START_DELAY_SECONDS / 2)) == []


def test_runners_load_while_streams_run_and_the_least_loaded_runner_comes_first() -> None:
    # In Tampere trouble-2, waiting for streams of up to 10 s delayed the loads, and a load that
    # then had to begin kept its runner out of use for 3 to 5 s. Streams now continue under the new
    # weights.
    plan, _ = make_plan()
    runners = make_runners(6)
    for runner in runners:
        add_long_stream(runner)
    runners[4].attempts.remove("a")
    loads = plan.next_loads(view(runners, 1.0))
    assert loads[0] is runners[4] and len(loads) == 2


def test_the_pace_follows_from_the_deadline() -> None:
    plan, _ = make_plan()
    runners = make_runners(6)
    assert len(plan.next_loads(view(runners, 1.0))) == 2
    for runner in runners[1:]:
        runner.weights[MODEL] = 2
    assert plan.next_loads(view(runners, 1.0)) == [runners[0]]
    assert plan.next_loads(view(runners, 1.0, {"i-0"})) == []


def test_no_more_runners_load_than_the_share_allows() -> None:
    plan, _ = make_plan()
    runners = make_runners(6)
    assert len(plan.next_loads(view(runners, 4.0))) == 2
    assert plan.next_loads(view(runners, 4.0, {"i-0", "i-1"})) == []
    assert len(plan.next_loads(view(runners, GRACE - 1.0, {"i-0", "i-1"}))) == 1


def test_crashed_runners_do_not_count_as_serving() -> None:
    plan, _ = make_plan()
    runners = make_runners(6)
    for runner in runners[:2]:
        runner.suspected_until = 100.0
    loads = plan.next_loads(view(runners, 3.0))
    assert len(loads) == 1 and loads[0] not in runners[:2]


def test_half_of_the_runners_past_their_deadline_load_at_once() -> None:
    # Loading all at once takes longer than loading two halves, and no runner serves meanwhile, as
    # seen in the Lagos incident.
    plan, _ = make_plan()
    assert len(plan.next_loads(view(make_runners(6), GRACE))) == 3


def test_leaving_and_resting_runners_do_not_load() -> None:
    plan, _ = make_plan()
    runners = make_runners(3)
    runners[0].leaving = True
    assert plan.next_loads(view(runners, GRACE, resting={"i-1"})) == [runners[2]]


@given(st.integers(2, 20), st.sets(st.integers(0, 19)), st.floats(0.0, 9.0))
def test_half_of_the_runners_alive_always_serve(count: int, loading: set[int], now: float) -> None:
    plan, _ = make_plan()
    runners = make_runners(count)
    ids = {f"i-{n}" for n in loading if n < count // 2}
    loads = plan.next_loads(view(runners, now, ids))
    assert len(loads) + len(ids) <= max(1, count // 2, len(ids))
    assert not ids & {runner.runner_id for runner in loads}
