"""Restarts of a runner under one name, of which two nodes learn late, repeatedly or not at all."""

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
from hillstack.platform.runner_identifiers import runner_id_of
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.store_events import RunnerListed, RunnerUnlisted, StoreEvent
from tests.fleet.builders import ENGINES, MODEL, make_route, make_state, make_table, rev

NAME = "i-1"
NODES = st.sampled_from([0, 1])
# Factor by which the weights version of each process encodes the number of the process, so that
# state of one process can be told from that of another.
WEIGHTS_OF_PROCESS = 100


def entry_of(process: int, revision: int) -> RunnerEntry:
    """Return the entry of the runner that one of its processes writes."""
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
        # The latest revision of an entry that each node has received.
        self.latest_received = [rev(0), rev(0)]
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
    def write_of_the_previous_process_is_applied_late(self) -> None:
        self.write(max(1, self.process - 1))

    @rule()
    def lapse(self) -> None:
        self.revision += 1
        self.history.append(RunnerUnlisted(NAME, rev(self.revision)))

    @rule(node=NODES, which=st.integers(0, 200))
    def receive_directory_event(self, node: int, which: int) -> None:
        """Apply any change, even one that is outdated or was applied before."""
        event = self.history[which % len(self.history)]
        if isinstance(event, RunnerListed):
            self.latest_received[node] = max(self.latest_received[node], event.entry.revision)
        self.states[node].apply(event, self.now)

    @rule(node=NODES)
    def notify_peer_of_the_process_in_use(self, node: int) -> None:
        """Send the peer a notice on the process that this node uses."""
        runner = self.states[node].pool.listed_as(NAME)
        if runner is None:
            return
        runner_id, process = runner.runner_id, runner.entry.started_ms
        part = (f"part-{process}", 900)
        self.states[node].index.record_cached(runner_id, "salt", [PromptPart(*part)])
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
        """Learn of the latest process from an answer, before the directory; notify the peer."""
        runner = self.states[node].pool.listed_as(NAME)
        if runner is None or runner.entry.started_ms >= self.process:
            return
        self.states[node].note_restarted(runner, self.now)
        notice = NodeNotice(PROTOCOL_VERSION, f"node-{node}", restarted=[runner.runner_id])
        self.notices.append(notice)

    @rule(node=NODES, which=st.integers(0, 200))
    def receive_notice_of_peer(self, node: int, which: int) -> None:
        # A node never receives its own notices: neither its peers nor its relay send them back.
        others = [notice for notice in self.notices if notice.node_id != f"node-{node}"]
        if not others:
            return
        notice = others[which % len(others)]
        reader = NoticeReader(self.states[node], "zone-a")
        reader.apply(notice, self.now)
        reader.apply_loads(notice.node_id, notice.loads, self.now)

    @rule(seconds=st.floats(0.1, 20.0))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        for node, state in enumerate(self.states):
            state.expire(self.now)
            if not state.pool.is_outdated(entry_of(0, 0)):
                # The node has forgotten the name, since its last process was unlisted for long.
                self.latest_received[node] = rev(0)

    @rule()
    def both_nodes_receive_the_latest_entry(self) -> None:
        """After the next heartbeat of the runner both nodes use its latest process only."""
        self.heartbeat()
        for state in self.states:
            state.apply(self.history[-1], self.now)
            later = self.now + 10.0
            assert [r.entry.started_ms for r in state.pool.accepting(ENGINES, later)] == [
                self.process
            ]
        self.latest_received = [rev(self.revision), rev(self.revision)]

    @invariant()
    def at_most_one_process_of_a_name_is_known(self) -> None:
        for state in self.states:
            assert len(state.pool.all()) <= 1

    @invariant()
    def state_of_a_process_comes_from_that_process(self) -> None:
        for state in self.states:
            for runner in state.pool.all():
                process = runner.entry.started_ms
                assert runner.weights_after_load(MODEL) // WEIGHTS_OF_PROCESS == process
                assert runner.running(self.now) in (0, process)
                parts = state.index.cached_parts_of(runner.runner_id, 1)
                assert {part.part_id for _, part in parts} <= {f"part-{process}"}

    @invariant()
    def no_process_is_used_after_a_later_entry_was_received(self) -> None:
        for state, latest_received in zip(self.states, self.latest_received, strict=True):
            for runner in state.pool.all():
                assert runner.entry.revision >= latest_received


TestRestartsUnderOneName = RestartsUnderOneName.TestCase
