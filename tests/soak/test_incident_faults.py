"""Soaks with odd entries, answers without a length, and releases beside killed nodes."""

from __future__ import annotations

from pathlib import Path

from tests.soak.answer_faults import end_answers_by_close
from tests.soak.odd_entry_faults import write_odd_entries
from tests.soak.release_faults import kill_all_beside_release
from tests.soak.soak import SoakPlan, run

SEED = 11
SECONDS = 8.0


# Guards against one entry after which each node keeps its configuration for good.
def test_odd_entries_change_nothing_for_callers(tmp_path: Path) -> None:
    result = run(SEED, SoakPlan(SECONDS, faults=(write_odd_entries,)), tmp_path)
    assert result.violations == [], result.faults
    logged = "".join(log.read_text() for log in tmp_path.glob("node-*.log"))
    assert "item can't be read" in logged


# Guards against streams that end as complete when their runner is killed.
def test_no_answer_of_a_killed_runner_ends_as_complete(tmp_path: Path) -> None:
    result = run(SEED, SoakPlan(SECONDS, faults=(end_answers_by_close,)), tmp_path)
    assert result.violations == [], result.faults
    logged = "".join(log.read_text() for log in tmp_path.glob("node-*.log"))
    assert "answer ended with its connection" in logged


# Guards against streams that go on at a version that came while all nodes were down.
def test_streams_keep_their_version_when_all_nodes_are_killed_beside_a_release(
    tmp_path: Path,
) -> None:
    result = run(SEED, SoakPlan(SECONDS, faults=(kill_all_beside_release,)), tmp_path)
    assert result.violations == [], result.faults
    assert result.results["tries to take a stream up"] > 0
