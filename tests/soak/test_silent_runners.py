"""A soak with silent runners beside stops of nodes and changes of the configuration."""

from __future__ import annotations

from pathlib import Path

from tests.soak.silence_faults import silence_runners
from tests.soak.soak import SoakPlan, run

SEED = 12
SECONDS = 1.0


# Guards against requests of silent runners that planned work cuts off (incident LOST).
def test_planned_work_cuts_no_request_of_a_silent_runner_off(tmp_path: Path) -> None:
    result = run(SEED, SoakPlan(SECONDS, faults=(silence_runners,)), tmp_path)
    assert result.violations == [], result.faults
    assert result.results["met a silence"] > 0
