"""A bound on the runners that one request can crash, whatever differs between its tries.

Seen: a request under which three runners had crashed was sent to runners eight times more, and
twelve crashed under it. Callers saw 502 and broken streams, their own and those that ran beside.

How it came about: the verdict on a request weighs it against all others at the same ends. Several
such requests at a time explain one another's ends and stand at each, so none is likelier than all
else together, and each next end leaves the same doubt.
Cause: nothing counted. The promise is a number of runners, and all that kept it was a guess.
Proof: sixteen such requests at a time took up to 14 runners each, eight up to 10; counted, with the
guess as it was, they take three each.
"""

from __future__ import annotations

import pytest

from tests.fleet.crash_traffic import (
    SENDS_ALLOWED_LATER,
    CrashTraffic,
    Variation,
    all_alike,
    other_model,
    other_parts,
    other_query,
)
from tests.fleet.fatal_world import World

SECONDS = 25.0


@pytest.mark.parametrize(
    ("nodes", "runners", "fatal", "vary"),
    [
        pytest.param(4, 6, 1, all_alike, id="one"),
        pytest.param(4, 6, 2, other_query, id="other-query"),
        pytest.param(4, 6, 4, other_parts, id="other-parts"),
        pytest.param(6, 8, 3, other_model, id="other-model"),
        pytest.param(7, 8, 8, all_alike, id="eight-at-a-time"),
        pytest.param(4, 8, 16, all_alike, id="sixteen-at-a-time"),
    ],
)
@pytest.mark.parametrize("seed", [1, 2])
def test_no_more_than_three_sends_come_later_than_the_third_crash(
    nodes: int, runners: int, fatal: int, vary: Variation, seed: int
) -> None:
    traffic = CrashTraffic(World(runners, nodes), seed, fatal, vary)
    traffic.run(SECONDS)
    assert traffic.most_sends_later() <= SENDS_ALLOWED_LATER


@pytest.mark.parametrize("seed", [1, 2])
def test_callers_that_leave_before_the_crash_hide_nothing(seed: int) -> None:
    world = World(6, 4)
    world.runners.works_on = True
    traffic = CrashTraffic(world, seed, 2, leaves_after=0.1)
    traffic.run(SECONDS)
    assert traffic.most_sends_later() <= SENDS_ALLOWED_LATER
