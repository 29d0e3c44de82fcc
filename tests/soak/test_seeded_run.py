"""A short soak with a fixed seed that covers every kind of fault."""

from __future__ import annotations

from pathlib import Path
from random import Random

from tests.soak.fault_series import FAULTS
from tests.soak.soak import SoakPlan, draw_schedule, has_regions, run

# With this seed there are two regions, every kind of fault, and both good and bad versions. The
# first test checks the faults and regions, the second one the versions.
SEED = 367
SECONDS = 60.0
KINDS = {"good", "bad"}


def test_the_seeded_run_plays_every_kind_of_fault() -> None:
    drawn = {fault for _, fault, _ in draw_schedule(Random(SEED), SoakPlan(SECONDS))}
    assert drawn == set(FAULTS)
    assert has_regions(SEED)


def test_real_processes_keep_all_promises_under_faults_in_series(tmp_path: Path) -> None:
    result = run(SEED, SoakPlan(SECONDS), tmp_path)
    assert result.violations == [], result.faults
    served = sum(count for name, count in result.results.items() if name.endswith(" 200"))
    assert result.results["runners ended by requests"] > 0
    assert {name.partition(" ")[0] for name in result.results if " version " in name} == KINDS
    assert served > 0 and result.results["over kept connections"] > 0
