"""Real processes start nothing on older weights past their bound, and the check detects it."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.soak.observations import CallerRequest, Disturbance, Observations, Run
from tests.soak.soak import SoakPlan, has_regions, run
from tests.soak.weights_faults import keep_older_weights
from tests.soak.weights_promises import started_on_older_weights

# An odd seed gives two regions; the fault delays the datagrams between them.
SEED = 701
# One fault begins at once; it goes on for some seconds after this time.
SECONDS = 0.1


def test_real_processes_with_delayed_datagrams_start_nothing_on_older_weights_past_their_bound(
    tmp_path: Path,
) -> None:
    # When nodes counted the bound from the arrival of each datagram, it moved by 7.3 s in 12 s at
    # all three nodes, and 146 requests started too late on older weights.
    assert has_regions(SEED)
    result = run(SEED, SoakPlan(SECONDS, faults=(keep_older_weights,)), tmp_path)
    assert result.violations == []
    # Some streams ran on the older weights before the bound, and streams after it were refused.
    assert result.results["stream 200"] > 0 and result.results["stream 503"] > 0


@pytest.mark.parametrize(
    ("began_at", "weights", "troubles", "is_broken"),
    [
        (17.9, 1, [], False),
        (18.1, 1, [], True),
        (18.1, 2, [], False),
        (18.1, 0, [], False),
        (18.1, 1, [Disturbance("store", 12.0, 12.5)], False),
        (18.1, 1, [Disturbance("node-1", 8.0, 9.0)], False),
        (18.1, 1, [Disturbance("i-1", 12.0, 12.5)], False),
        (18.1, 1, [Disturbance("node-2", 12.0, 12.5)], True),
        (18.1, 1, [Disturbance("store", 1.0, 2.0)], True),
    ],
)
def test_a_request_that_begins_too_late_on_older_weights_is_found(
    began_at: float, weights: int, troubles: list[Disturbance], is_broken: bool
) -> None:
    seen = Observations(
        [CallerRequest("r-1", "stream", "node-1", "key-1", 17.0)],
        [Run("r-1", "i-1", began_at, weights)],
        troubles=troubles,
        weights_named={2: 10.0, 3: 17.0},
    )
    found = list(started_on_older_weights(seen))
    assert ["too late" in each for each in found] == [True] * is_broken
