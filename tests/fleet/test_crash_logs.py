"""What the log of a node shows of a runner crash."""

from __future__ import annotations

import logging

import pytest

from hillstack.core.run_at_crash import RunAtCrash
from hillstack.daemon.notice_reader import NoticeReader
from hillstack.messages.peer_notices import PROTOCOL_VERSION, NodeNotice
from hillstack.messages.runner_ends import RequestAtEnd, RunnerEndNotice
from tests.fleet.builders import make_entry, make_route, make_state, make_table
from tests.fleet.fatal_world import World


def test_the_shared_parts_of_unsettled_runs_at_a_crash_are_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    world = World(2, 1)
    world.send("node-0", b"long 1", parts=(("first", 100), ("settled", 50), ("own-1", 10)))
    world.run(2.0)
    for number in (2, 3):
        parts = (("first", 100), ("middle", 50), (f"own-{number}", 10))
        world.send("node-0", b"long %d" % number, parts=parts)
    world.run(0.1)
    for runner in world.runners.by_id.values():
        runner.crash()
    world.run(0.1)
    counts = [
        (part, count)
        for record in caplog.records
        if record.getMessage() == "runner ended"
        for part, count in record.__dict__["parts"].items()
    ]
    assert sum(count for part, count in counts if part == "first") == 2
    assert sum(count for part, count in counts if part == "middle") == 2
    assert {part for part, _ in counts} == {"first", "middle"}


def test_a_reported_crash_is_logged_once_and_only_if_it_was_not_known(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    state = make_state(make_table(make_route()), make_entry("i-1"))
    reader = NoticeReader(state, "zone-a")
    reader.handle_runner_crashes(lambda *_: None)
    reported = RunnerEndNotice("i-1", 5, [RequestAtEnd(0xAB, 30, started=False)], running=1)
    probation = RunnerEndNotice("i-1", 0, [RequestAtEnd(0xAB, 0, started=False)], probation_ms=100)
    taken_back = RunnerEndNotice("i-1", 0, [RequestAtEnd(0xAB, 0, started=False)], taken_back=True)
    for ended in (probation, taken_back, reported):
        reader.apply(NodeNotice(PROTOCOL_VERSION, "node-2", runner_ends=[ended]), 1.0)
    state.runner_crashes.record_crash("i-1", 1.0, {0xAB: RunAtCrash(0.03)}, 1.0, 1, is_local=False)
    reader.apply(NodeNotice(PROTOCOL_VERSION, "node-3", runner_ends=[reported]), 1.0)
    logged = [record for record in caplog.records if record.getMessage() == "runner end reported"]
    assert [(record.__dict__["runner"], record.__dict__["by"]) for record in logged] == [
        ("i-1", "node-2")
    ]
