"""A soak in which runners restart under their names while new weights are announced."""

from __future__ import annotations

from pathlib import Path

from tests.soak.faults import name_weights
from tests.soak.restart_faults import restart_runners
from tests.soak.soak import SoakPlan, run

SEED = 801
SECONDS = 8.0


def test_real_processes_keep_all_promises_while_runners_restart(tmp_path: Path) -> None:
    result = run(SEED, SoakPlan(SECONDS, faults=(restart_runners, name_weights)), tmp_path)
    assert result.violations == [], result.faults
    assert {fault.partition(" ")[2] for fault in result.faults} == {
        "restart_runners",
        "name_weights",
    }
    logged = "".join(log.read_text() for log in tmp_path.glob("node-*.log"))
    assert "runner started again" in logged
