"""Nodes that are cut off from runners: the promise to their callers, and a soak of such cuts."""

from __future__ import annotations

from pathlib import Path

from tests.soak.cut_faults import cut_nodes_from_runners
from tests.soak.cut_promises import ALLOWED_FAILURES, served_worse_at_cut_nodes
from tests.soak.observations import CallerRequest, Disturbance, Observations, RunnerCut
from tests.soak.soak import SoakPlan, run
from tests.soak.timed_promises import CONTACT_SECONDS

SEED = 64003
SECONDS = 10.0
NODES = 4
CUT = RunnerCut(["node-1"], None, 100.0, 110.0)
COUNT = 3 * ALLOWED_FAILURES


def tries(node: str, status: int, *, after: float = CONTACT_SECONDS + 1) -> list[CallerRequest]:
    sent_at = CUT.began_at + after
    return [
        CallerRequest(
            f"r-{node}-{number}", "safe", node, "key", sent_at, status, ended_at=sent_at + 0.1
        )
        for number in range(COUNT)
    ]


def observed(*requests: CallerRequest) -> Observations:
    seen = Observations(sent=list(requests), runner_cuts=[CUT])
    seen.troubles.append(Disturbance("node-1", CUT.began_at, CUT.ended_at))
    return seen


def test_a_cut_node_that_serves_nothing_breaks_the_promise() -> None:
    seen = observed(*tries("node-1", 503), *tries("node-2", 200))
    assert len(list(served_worse_at_cut_nodes(seen))) == 1


def test_a_cut_node_that_serves_as_often_keeps_the_promise() -> None:
    seen = observed(*tries("node-1", 200), *tries("node-2", 200))
    assert not list(served_worse_at_cut_nodes(seen))


def test_nodes_that_all_fail_keep_the_promise() -> None:
    seen = observed(*tries("node-1", 503), *tries("node-2", 503))
    assert not list(served_worse_at_cut_nodes(seen))


def test_tries_soon_after_the_cut_or_beside_another_fault_do_not_count() -> None:
    early = observed(*tries("node-1", 503, after=1.0), *tries("node-2", 200, after=1.0))
    assert not list(served_worse_at_cut_nodes(early))
    beside = observed(*tries("node-1", 503), *tries("node-2", 200))
    beside.troubles.append(Disturbance("i-1", CUT.began_at + 1, CUT.ended_at))
    assert not list(served_worse_at_cut_nodes(beside))


def test_real_processes_keep_all_promises_while_nodes_are_cut_off(tmp_path: Path) -> None:
    result = run(SEED, SoakPlan(SECONDS, NODES, (cut_nodes_from_runners,)), tmp_path)
    assert result.violations == [], result.faults
    logged = "".join(log.read_text() for log in tmp_path.glob("node-*.log"))
    assert "runner not reached, but a peer reaches it" in logged
    assert "runner reached directly again" in logged
