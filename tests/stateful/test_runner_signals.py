"""Runners that leave or ask for a backoff, with signals, entries and hints in any order."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hillstack.core.runner_pool import RunnerEntry
from hillstack.core.runner_signals import RunnerSignals
from hillstack.daemon.notice_reader import NoticeReader
from hillstack.messages.peer_notices import PROTOCOL_VERSION, NodeNotice
from hillstack.platform.runner_identifiers import runner_id_of
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.store_events import RunnerListed, RunnerUnlisted, StoreEvent
from tests.fleet.builders import ENGINES, make_route, make_state, make_table, rev

RUNNERS = ("i-1", "i-2")
NAMES = st.sampled_from(RUNNERS)
SOURCE = "request r-0: status 200"


class SignalsInAnyOrder(RuleBasedStateMachine):
    """Two runners that restart under their names, a directory, and one node.

    The model records the signals that each process has sent to the node. The node must not forget
    any of them, and must not hold back a process for any other reason.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.revision = 10
        self.process = dict.fromkeys(RUNNERS, 0)
        self.left: set[str] = set()
        self.backoff_until: dict[str, float] = {}
        self.history: list[StoreEvent] = []
        self.state: FleetState = make_state(make_table(make_route()))
        for name in RUNNERS:
            self.restart(name)
            self.state.apply(self.history[-1], self.now)

    def latest(self, name: str) -> str:
        return runner_id_of(name, self.process[name])

    def write(self, name: str, process: int, *, draining: bool = False) -> None:
        self.revision += 1
        entry = RunnerEntry(
            runner_id_of(name, process),
            ENGINES,
            f"10.0.0.9:800{name[-1]}",
            "zone-a",
            8,
            draining,
            {},
            rev(self.revision),
            listed_as=name,
            started_ms=process,
        )
        self.history.append(RunnerListed(entry))

    @rule(name=NAMES)
    def restart(self, name: str) -> None:
        self.process[name] += 1
        self.write(name, self.process[name])

    @rule(name=NAMES)
    def heartbeat(self, name: str) -> None:
        self.write(name, self.process[name])

    @rule(name=NAMES)
    def write_of_the_previous_process_is_applied_late(self, name: str) -> None:
        self.write(name, max(1, self.process[name] - 1))

    @rule(name=NAMES)
    def write_to_the_directory_that_it_leaves(self, name: str) -> None:
        self.write(name, self.process[name], draining=True)

    @rule(name=NAMES)
    def lapse(self, name: str) -> None:
        self.revision += 1
        self.history.append(RunnerUnlisted(name, rev(self.revision)))

    @rule(which=st.integers(0, 300))
    def receive_directory_event(self, which: int) -> None:
        """Apply any change, even one that is outdated or was applied before."""
        self.state.apply(self.history[which % len(self.history)], self.now)

    @rule()
    def reload_directory(self) -> None:
        listed = {name for name in RUNNERS if self.process[name] % 2}
        self.state.retain_runners(listed, self.now, rev(self.revision))

    @rule()
    def an_outage_ends(self) -> None:
        self.state.note_store_recovered(self.now)

    @rule(name=NAMES, back=st.integers(0, 1))
    def answer_signals_that_it_leaves(self, name: str, back: int) -> None:
        """Receive the signal from the latest process, or late from the previous one."""
        runner_id = runner_id_of(name, max(1, self.process[name] - back))
        self.left.add(runner_id)
        self.state.pool.apply_signals(runner_id, RunnerSignals(leaving=True), SOURCE, self.now)

    @rule(name=NAMES, back=st.integers(0, 1), seconds=st.floats(0.05, 30.0))
    def refusal_asks_for_a_backoff(self, name: str, back: int, seconds: float) -> None:
        runner_id = runner_id_of(name, max(1, self.process[name] - back))
        until = max(self.backoff_until.get(runner_id, 0.0), self.now + seconds)
        self.backoff_until[runner_id] = until
        self.state.pool.apply_signals(
            runner_id, RunnerSignals(backoff_seconds=seconds), SOURCE, self.now
        )

    @rule(name=NAMES)
    def answer_without_a_signal(self, name: str) -> None:
        """Receive a success and a refusal without a backoff for attempts that were under way."""
        runner = self.state.pool.get(self.latest(name))
        if runner is not None:
            self.state.pool.record_contact(runner, self.now)
            self.state.pool.succeeded(runner)
            self.state.pool.shed(runner, self.now)

    @rule(name=NAMES, back=st.integers(0, 1))
    def receive_notice_of_peer(self, name: str, back: int) -> None:
        runner_id = runner_id_of(name, max(1, self.process[name] - back))
        notice = NodeNotice(PROTOCOL_VERSION, "node-2", leaving=[runner_id])
        NoticeReader(self.state, "zone-a").apply(notice, self.now)

    @rule(seconds=st.floats(0.01, 40.0))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        self.state.expire(self.now)

    @rule(name=NAMES)
    def next_process_is_used_at_once(self, name: str) -> None:
        """Signals of earlier processes keep no requests from the next one."""
        self.restart(name)
        self.state.apply(self.history[-1], self.now)
        runner = self.state.pool.get(self.latest(name))
        assert runner is not None and runner.accepts(self.now)

    @invariant()
    def runners_that_leave_or_back_off_get_no_request(self) -> None:
        for runner in self.state.pool.accepting(ENGINES, self.now):
            assert runner.runner_id not in self.left
            assert self.now >= self.backoff_until.get(runner.runner_id, 0.0)

    @invariant()
    def no_other_runner_is_held_back(self) -> None:
        held_back = {r.runner_id for r in self.state.pool.restricted_runners(ENGINES, self.now)}
        signalled = self.left | {r for r, until in self.backoff_until.items() if self.now < until}
        listed = {runner.runner_id for runner in self.state.pool.all()}
        assert held_back == signalled & listed


TestSignalsInAnyOrder = SignalsInAnyOrder.TestCase
