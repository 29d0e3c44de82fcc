"""A rolling upgrade from an earlier build, with nodes of both builds running together."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.soak.earlier_builds import EarlierBuildError, has_commit, unpack_build
from tests.soak.signal_faults import name_limits
from tests.soak.soak import SoakPlan, run
from tests.soak.upgrade_faults import upgrade_nodes

# The last build before rolling upgrades were supported and tested.
EARLIER_BUILD = "f42427b"
SEED = 11
SECONDS = 10.0
NODES = 4

needs_history = pytest.mark.skipif(
    not has_commit(EARLIER_BUILD), reason="not run: this clone has no history"
)


@needs_history
def test_an_upgrade_of_all_nodes_keeps_all_promises(tmp_path: Path) -> None:
    plan = SoakPlan(SECONDS, NODES, (upgrade_nodes, name_limits), (EARLIER_BUILD,))
    result = run(SEED, plan, tmp_path)
    assert result.violations == [], result.faults
    assert any("upgrade_nodes" in fault for fault in result.faults)
    logs = {log.name: log.read_text() for log in tmp_path.glob("node-*.log")}
    assert len(logs) == NODES
    assert any(log.count('"message":"started"') >= 2 for log in logs.values())


@needs_history
def test_unpacked_sources_are_those_of_the_earlier_commit(tmp_path: Path) -> None:
    source = unpack_build(EARLIER_BUILD, tmp_path)
    assert (source / "hillstack" / "daemon" / "fleet_main.py").exists()
    assert not (source / "hillstack" / "core" / "runner_limit.py").exists()


@pytest.mark.parametrize("commit", ["no-such-commit", "", "--help"])
def test_an_unknown_commit_raises_and_writes_nothing(tmp_path: Path, commit: str) -> None:
    with pytest.raises(EarlierBuildError, match="no commit"):
        unpack_build(commit, tmp_path)
    assert list(tmp_path.iterdir()) == []
