"""A part stays bounded, and the others served, whatever fails in whatever order.

The troubles are drawn. Run as a module to play many seeds and print those that break a promise:
``python -m tests.fleet.test_drawn_part_worlds 0 100``.
"""

from __future__ import annotations

import sys

import pytest

from tests.fleet.drawn_part_world import DrawnPartPlay
from tests.fleet.part_traffic import MAX_LATE_SENDS
from tests.fleet.test_fatal_parts import MIN_SERVED_SHARE, playing

SEEDS = (0, 1, 2, 3, 18, 134)
# Length of the calm time at the end in which the sound requests are counted.
COUNTED_SECONDS = 3.0


def broken_promises(seed: int) -> list[str]:
    """Play a seed; return the promises that were broken."""
    play = DrawnPartPlay(seed)
    with playing(play.traffic) as traffic:
        play.run()
        now = play.world.scheduler.now
        late = traffic.late_sends()
        share = traffic.served_share(now - 1.0 - COUNTED_SECONDS, now - 1.0)
        crashes = [round(at, 1) for at in traffic.crashes()]
    broken = []
    if late > MAX_LATE_SENDS:
        broken.append(f"{late} late sends, crashes at {crashes}, troubles {play.troubles}")
    if share < MIN_SERVED_SHARE:
        broken.append(f"{share:.2f} of the sound requests served, troubles {play.troubles}")
    return broken


@pytest.mark.parametrize("seed", SEEDS)
def test_a_part_is_bounded_in_drawn_worlds(seed: int) -> None:
    assert broken_promises(seed) == []


if __name__ == "__main__":
    for drawn_seed in range(int(sys.argv[1]), int(sys.argv[2])):
        for promise in broken_promises(drawn_seed):
            print(f"seed {drawn_seed}: {promise}", flush=True)
