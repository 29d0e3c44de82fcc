"""Nodes that follow a store which may be restored from an older copy at any moment."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hillstack.platform import names
from tests.fleet.builders import MODEL
from tests.fleet.node_network import NodeNetwork, StoreCopy, write_runner

NODES = 4
ZONES = 2
RUNNERS = ("i-0", "i-1", "i-2", "i-3")
NODE_NAMES = st.sampled_from([f"node-{number}" for number in range(NODES)])
# Time within which all nodes know a change, and time to settle after the last fault.
BOUND_SECONDS = 2.0
SETTLE_SECONDS = 6.0
# Time within which runners and operator write their items again, and time after which the entry of
# a stopped runner lapses.
HEARTBEAT_SECONDS = 1.2
LAPSE_SECONDS = 3.6


class RestoredStore(RuleBasedStateMachine):
    """A few nodes, a store, an operator and runners."""

    def __init__(self) -> None:
        super().__init__()
        self.network = NodeNetwork(NODES, ZONES)
        # What runners and operator wrote last, whether or not the store still has it.
        self.runners = dict.fromkeys(RUNNERS, "ready")
        self.weights = 1
        self.seq = 1
        self.copies: list[StoreCopy] = []
        self.newest: dict[str, int] = {}
        self.write_again()
        self.network.run(4.0)
        self.copies.append(self.network.store.copy())

    def teardown(self) -> None:
        self.network.store.down_for = set()
        for node in self.network.nodes.values():
            node.cut = False
        self.write_again()
        self.network.run(SETTLE_SECONDS)
        self.lapse()
        self.network.run(SETTLE_SECONDS)
        differences = self.find_differences()
        self.network.close()
        assert not differences

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.5]))
    def pass_time(self, seconds: float) -> None:
        self.network.run(seconds)

    @rule(runner_id=st.sampled_from(RUNNERS))
    def heartbeat(self, runner_id: str) -> None:
        if runner_id in self.runners:
            self.write(runner_id)

    @rule(runner_id=st.sampled_from(RUNNERS))
    def leave(self, runner_id: str) -> None:
        if runner_id in self.runners:
            self.runners[runner_id] = "draining"
            self.write(runner_id)

    @rule(runner_id=st.sampled_from(RUNNERS))
    def end(self, runner_id: str) -> None:
        if self.runners.pop(runner_id, None) is not None:
            self.network.store.put(names.RUNNERS_PREFIX + runner_id, None)

    @rule()
    def name_weights(self) -> None:
        self.weights += 1
        self.write_weights()

    @rule()
    def copy(self) -> None:
        self.copies.append(self.network.store.copy())

    @rule(which=st.integers(0, 50), away=st.sampled_from([0.0, 0.4, 1.2]))
    def restore(self, which: int, away: float) -> None:
        store = self.network.store
        down_for = store.down_for
        store.down_for = None
        self.network.run(away)
        store.restore(self.copies[which % len(self.copies)])
        store.down_for = down_for
        self.network.run(0.2)
        self.write_again()

    @rule(name=NODE_NAMES)
    def refuse(self, name: str) -> None:
        self.network.store.down_for = {name}

    @rule()
    def serve_all(self) -> None:
        self.network.store.down_for = set()

    @rule(name=NODE_NAMES, cut=st.booleans())
    def cut(self, name: str, cut: bool) -> None:
        self.network.nodes[name].cut = cut

    @rule(name=NODE_NAMES)
    def start_again(self, name: str) -> None:
        self.newest.pop(name, None)
        self.network.add(name, self.network.nodes[name].zone)

    @precondition(lambda self: not self.has_fault())
    @rule()
    def leaves_are_known_in_time(self) -> None:
        self.network.run(BOUND_SECONDS + HEARTBEAT_SECONDS)
        self.write_again()
        self.network.run(BOUND_SECONDS)
        assert not self.leaving_but_used()

    @invariant()
    def no_node_goes_back_to_older_weights(self) -> None:
        for name, node in self.network.nodes.items():
            newest = node.state.versions.newest(MODEL)
            assert newest >= self.newest.get(name, 0)
            self.newest[name] = newest

    def has_fault(self) -> bool:
        store = self.network.store
        return store.down_for != set() or any(n.cut for n in self.network.nodes.values())

    def leaving_but_used(self) -> list[tuple[str, str]]:
        """Return the pairs of a node and a leaving runner to which it would send requests."""
        now = self.network.scheduler.now
        return [
            (name, runner.runner_id)
            for name, node in self.network.nodes.items()
            for runner in node.state.pool.all()
            if runner.accepts(now) and self.runners.get(runner.runner_id) == "draining"
        ]

    def find_differences(self) -> list[tuple[str, str]]:
        """Return where nodes differ from what runners and operator wrote last."""
        now = self.network.scheduler.now
        ready = {name for name, state in self.runners.items() if state == "ready"}
        found = []
        for name, node in self.network.nodes.items():
            usable = {r.runner_id for r in node.state.pool.all() if r.accepts(now)}
            found += [(name, runner_id) for runner_id in sorted(ready ^ (usable & set(RUNNERS)))]
            if node.state.versions.newest(MODEL) != self.weights:
                found.append((name, "weights"))
            if len(node.state.nodes) != NODES:
                found.append((name, "nodes"))
        return found

    def write(self, runner_id: str) -> None:
        self.seq += 1
        write_runner(self.network, runner_id, self.runners[runner_id], self.seq)

    def write_weights(self) -> None:
        body = b'{"model":"%s","version":%d}' % (MODEL.encode(), self.weights)
        self.network.store.put(f"{names.WEIGHTS_PREFIX}{MODEL}", body)

    def write_again(self) -> None:
        """Let operator and runners write again what the store may have lost."""
        self.write_weights()
        for runner_id in self.runners:
            self.write(runner_id)

    def lapse(self) -> None:
        """Remove the entries of runners that have ended."""
        for key in list(self.network.store.items):
            runner_id = key.removeprefix(names.RUNNERS_PREFIX)
            if key.startswith(names.RUNNERS_PREFIX) and runner_id not in self.runners:
                self.network.store.put(key, None)


TestRestoredStore = RestoredStore.TestCase
TestRestoredStore.settings = settings(max_examples=30, stateful_step_count=25)
