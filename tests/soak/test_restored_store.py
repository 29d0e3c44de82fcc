"""A soak in which the store is restored from older copies while nodes are killed and paused."""

from __future__ import annotations

from pathlib import Path

from tests.soak.faults import kill_node, pause_node
from tests.soak.restore_faults import restore_store
from tests.soak.soak import SoakPlan, run

SEED = 508
SECONDS = 10.0


def test_real_processes_keep_all_promises_when_the_store_is_restored(tmp_path: Path) -> None:
    faults = (restore_store, restore_store, pause_node, kill_node)
    result = run(SEED, SoakPlan(SECONDS, faults=faults), tmp_path)
    assert result.violations == [], result.faults
    assert "restore_store" in {fault.partition(" ")[2] for fault in result.faults}
    logged = "".join(log.read_text() for log in tmp_path.glob("node-*.log"))
    assert "store read after a restore" in logged
