"""Older weights are not begun on past their bound, by real processes; and the check finds it."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.soak.observations import Observations, Run, Sent, Trouble
from tests.soak.soak import SoakPlan, has_regions, run
from tests.soak.weights_faults import keep_older_weights
from tests.soak.weights_promises import begun_on_older_weights

# With two regions, whose words to each other the fault makes late.
SEED = 701
# The fault begins at once, and lasts for some seconds more.
SECONDS = 0.1


def test_real_processes_beside_late_words_begin_nothing_on_older_weights_past_their_bound(
    tmp_path: Path,
) -> None:
    # Counted from the arrival of each word, the bound moved by 7.3 s in 12 s at all three nodes,
    # and 146 requests began on older weights too late.
    assert has_regions(SEED)
    result = run(SEED, SoakPlan(SECONDS, faults=(keep_older_weights,)), tmp_path)
    assert result.violations == []
    # Older weights were there to be used, and what needed weights was refused without newer ones.
    assert result.results["stream 200"] > 0 and result.results["stream 503"] > 0


@pytest.mark.parametrize(
    ("began_at", "weights", "troubles", "is_broken"),
    [
        (17.9, 1, [], False),
        (18.1, 1, [], True),
        (18.1, 2, [], False),
        (18.1, 0, [], False),
        (18.1, 1, [Trouble("store", 12.0, 12.5)], False),
        (18.1, 1, [Trouble("node-1", 8.0, 9.0)], False),
        (18.1, 1, [Trouble("i-1", 12.0, 12.5)], False),
        (18.1, 1, [Trouble("node-2", 12.0, 12.5)], True),
        (18.1, 1, [Trouble("store", 1.0, 2.0)], True),
    ],
)
def test_a_request_that_begins_too_late_on_older_weights_is_found(
    began_at: float, weights: int, troubles: list[Trouble], is_broken: bool
) -> None:
    seen = Observations(
        [Sent("r-1", "stream", "node-1", "key-1", 17.0)],
        [Run("r-1", "i-1", began_at, weights)],
        troubles=troubles,
        weights_named={2: 10.0, 3: 17.0},
    )
    found = list(begun_on_older_weights(seen))
    assert ["too late" in each for each in found] == [True] * is_broken
