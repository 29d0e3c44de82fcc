"""Restarts of a runner under one name, as two nodes hear of them: late, lost and repeated."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hillstack.core.part_index import PromptPart
from hillstack.core.runner_pool import RunnerEntry
from hillstack.daemon.notice_reader import NoticeReader
from hillstack.messages.peer_notices import (
    PROTOCOL_VERSION,
    CacheNotice,
    LoadNotice,
    NodeNotice,
    WeightsNotice,
    WeightsPhase,
)
from hillstack.platform.incarnations import runner_id_of
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.store_events import RunnerListed, RunnerUnlisted, StoreEvent
from tests.fleet.builders import ENGINES, MODEL, make_route, make_state, make_table, rev

NAME = "i-1"
NODES = st.sampled_from([0, 1])
# What is told of a process names its number, so that it can be told from words on another one.
WEIGHTS_OF_PROCESS = 100


def entry_of(process: int, revision: int) -> RunnerEntry:
    """Return the runner's entry as one of its processes writes it."""
    return RunnerEntry(
        runner_id_of(NAME, process),
        ENGINES,
        "10.0.0.9:8000",
        "zone-a",
        8,
        False,
        {MODEL: WEIGHTS_OF_PROCESS * process},
        rev(revision),
        listed_as=NAME,
        started_ms=process,
    )


class RestartsUnderOneName(RuleBasedStateMachine):
    """A runner that restarts, a directory, and two nodes."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.revision = 10
        self.process = 0
        self.history: list[StoreEvent] = []
        self.notices: list[NodeNotice] = []
        self.states: list[FleetState] = []
        # The latest revision that each node has heard of, of an entry.
        self.heard = [rev(0), rev(0)]
        for number in range(2):
            state = make_state(make_table(make_route()))
            state.node_id = f"node-{number}"
            self.states.append(state)
        self.restart()

    def write(self, process: int) -> None:
        self.revision += 1
        self.history.append(RunnerListed(entry_of(process, self.revision)))

    @rule()
    def restart(self) -> None:
        self.process += 1
        self.write(self.process)

    @rule()
    def heartbeat(self) -> None:
        self.write(self.process)

    @rule()
    def write_of_the_process_before_is_carried_out_late(self) -> None:
        self.write(max(1, self.process - 1))

    @rule()
    def lapse(self) -> None:
        self.revision += 1
        self.history.append(RunnerUnlisted(NAME, rev(self.revision)))

    @rule(node=NODES, which=st.integers(0, 200))
    def hear_of_the_directory(self, node: int, which: int) -> None:
        """Hear any change, also one that is older than what is known, or was heard before."""
        event = self.history[which % len(self.history)]
        if isinstance(event, RunnerListed):
            self.heard[node] = max(self.heard[node], event.entry.revision)
        self.states[node].apply(event, self.now)

    @rule(node=NODES)
    def tell_of_the_process_in_use(self, node: int) -> None:
        """Tell the peer what is believed of the process that this node uses."""
        runner = self.states[node].pool.listed_as(NAME)
        if runner is None:
            return
        runner_id, process = runner.runner_id, runner.entry.started_ms
        part = (f"part-{process}", 900)
        self.states[node].index.note(runner_id, "salt", [PromptPart(*part)])
        version = WEIGHTS_OF_PROCESS * process + 1
        self.notices.append(
            NodeNotice(
                PROTOCOL_VERSION,
                f"node-{node}",
                loads=[LoadNotice(runner_id, process, 0, 0)],
                weights=[WeightsNotice(runner_id, MODEL, version, WeightsPhase.LOADING)],
                suspected=[runner_id],
                cache=[CacheNotice(runner_id, "salt", [part])],
            )
        )

    @rule(node=NODES)
    def a_later_process_answers(self, node: int) -> None:
        """Hear of the latest process by its answer, before the directory, and tell the peer."""
        runner = self.states[node].pool.listed_as(NAME)
        if runner is None or runner.entry.started_ms >= self.process:
            return
        self.states[node].note_restarted(runner, self.now)
        notice = NodeNotice(PROTOCOL_VERSION, f"node-{node}", restarted=[runner.runner_id])
        self.notices.append(notice)

    @rule(node=NODES, which=st.integers(0, 200))
    def hear_a_peer(self, node: int, which: int) -> None:
        # A node is not told what it said itself: neither its peers nor its relay send that back.
        others = [notice for notice in self.notices if notice.node_id != f"node-{node}"]
        if not others:
            return
        notice = others[which % len(others)]
        reader = NoticeReader(self.states[node], "zone-a")
        reader.take(notice, self.now)
        reader.take_loads(notice.node_id, notice.loads, self.now)

    @rule(seconds=st.floats(0.1, 20.0))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        for node, state in enumerate(self.states):
            state.expire(self.now)
            if not state.pool.is_outdated(entry_of(0, 0)):
                # The last process was gone for long: the name is forgotten.
                self.heard[node] = rev(0)

    @rule()
    def both_nodes_hear_the_latest(self) -> None:
        """After the runner's next heartbeat both nodes use its latest process, and no other."""
        self.heartbeat()
        for state in self.states:
            state.apply(self.history[-1], self.now)
            later = self.now + 10.0
            assert [r.entry.started_ms for r in state.pool.accepting(ENGINES, later)] == [
                self.process
            ]
        self.heard = [rev(self.revision), rev(self.revision)]

    @invariant()
    def at_most_one_process_of_a_name_is_known(self) -> None:
        for state in self.states:
            assert len(state.pool.all()) <= 1

    @invariant()
    def what_is_believed_of_a_process_is_its_own(self) -> None:
        for state in self.states:
            for runner in state.pool.all():
                process = runner.entry.started_ms
                assert runner.weights_after_load(MODEL) // WEIGHTS_OF_PROCESS == process
                assert runner.running(self.now) in (0, process)
                parts = state.index.parts_of(runner.runner_id, 1)
                assert {part.part_id for _, part in parts} <= {f"part-{process}"}

    @invariant()
    def no_process_is_used_after_a_later_entry_was_heard_of(self) -> None:
        for state, heard in zip(self.states, self.heard, strict=True):
            for runner in state.pool.all():
                assert runner.entry.revision >= heard


TestRestartsUnderOneName = RestartsUnderOneName.TestCase
