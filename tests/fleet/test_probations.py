"""Choice of the runners that run suspects, and avoidance of these runners by other requests."""

from __future__ import annotations

from hillstack.core.probations import LOAD_STEP_REQUESTS, Probations
from hillstack.core.run_at_crash import SETTLED_SECONDS
from hillstack.core.runner_load import OwnAttempt
from hillstack.core.runner_pool import Runner
from tests.fleet.builders import ENGINES, make_entry


def make_runners(*loads: int) -> list[Runner]:
    """Return runners with the given numbers of requests."""
    runners = []
    for number, load in enumerate(loads):
        runner = Runner(make_entry(f"i-{number}", ENGINES))
        for attempt in range(load):
            runner.attempts.add(f"a-{attempt}", OwnAttempt(0, 100, 0.0, 9.0))
        runners.append(runner)
    return runners


def names(runners: object) -> list[str]:
    assert isinstance(runners, list)
    return [runner.runner_id for runner in runners]


def test_without_suspects_all_runners_are_returned() -> None:
    runners = make_runners(0, 5)
    assert Probations().select_runners(runners, None, 1.0) is runners


def test_suspects_are_assigned_to_runners_in_order_of_load() -> None:
    runners = make_runners(20, 3 * LOAD_STEP_REQUESTS, 9 * LOAD_STEP_REQUESTS, 0)
    chosen = [names(Probations().select_runners(runners, rank, 1.0)) for rank in range(4)]
    assert chosen == [["i-3"], ["i-1"], ["i-0"], ["i-2"]]


def test_small_differences_of_load_do_not_change_the_order() -> None:
    for loads in ((0, 1, 2), (2, 1, 0), (3, 0, 3)):
        assert names(Probations().select_runners(make_runners(*loads), 1, 1.0)) == ["i-1"]


def test_a_suspect_avoids_runners_with_another_suspect() -> None:
    probations = Probations()
    runners = make_runners(0, 0, 0)
    probations.begin("a", "i-0")
    probations.note_peer_suspect("i-1", 2.0)
    assert names(probations.select_runners(runners, 0, 1.0)) == ["i-2"]
    assert names(probations.select_runners(runners, 0, 2.0)) == ["i-1"]


def test_other_requests_avoid_runners_with_a_suspect_if_possible() -> None:
    probations = Probations()
    runners = make_runners(0, 0)
    probations.begin("a", "i-0")
    assert names(probations.select_runners(runners, None, 1.0)) == ["i-1"]
    assert names(probations.select_runners(runners[:1], None, 1.0)) == ["i-0"]


def test_a_probation_ends_with_its_run_or_once_the_run_is_settled() -> None:
    probations = Probations()
    probations.begin("a", "i-0")
    probations.begin("b", "i-1")
    probations.started("a", 1.0)
    assert probations.runner_ids(1.0) == {"i-0", "i-1"}
    assert probations.runner_ids(1.0 + SETTLED_SECONDS) == {"i-1"}
    assert probations.end("b") == "i-1"
    assert probations.end("c") is None
    assert probations.runner_ids(1.0 + SETTLED_SECONDS) == set()
