"""Stateful test of membership: no lost or stale members after loss, partitions and restarts."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from hillstack.core.membership import Datagram, Membership, MembershipTiming
from hillstack.messages.types import MemberState
from tests.builders import make_member

NAMES = [f"node-{number}" for number in range(5)]
TIMING = MembershipTiming(probe_interval=0.5, suspect_timeout=2.0)
STEP = 0.125
SETTLE_SECONDS = 60.0


class MembershipMachine(RuleBasedStateMachine):
    """Five nodes; once messages are delivered again, all live nodes see each other as alive."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.rng = Random(1)
        self.starts = 0
        self.loss = 0.0
        self.partitioned: set[str] = set()
        self.nodes: dict[str, Membership] = {}
        for name in NAMES:
            self.start(name)

    def address(self, name: str) -> str:
        return f"10.0.0.{NAMES.index(name) + 1}:1"

    def start(self, name: str) -> None:
        self.starts += 1
        zone = f"zone-{NAMES.index(name) % 2}"
        own = replace(
            make_member(name, zone), incarnation=self.starts * 1_000, address=self.address(name)
        )
        seeds = [self.address(other) for other in NAMES if other != name]
        self.nodes[name] = Membership(own, seeds, TIMING, Random(self.starts))

    def run_for(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            for name, node in list(self.nodes.items()):
                self.deliver(name, node.on_tick(self.now))

    def deliver(self, sender: str, datagrams: list[Datagram]) -> None:
        for datagram in datagrams:
            target = next((n for n in self.nodes if self.address(n) == datagram.address), None)
            if target is None or self.rng.random() < self.loss:
                continue
            if (sender in self.partitioned) != (target in self.partitioned):
                continue
            replies = self.nodes[target].on_message(
                datagram.message, self.address(sender), self.now
            )
            self.deliver(target, replies)

    @rule(seconds=st.floats(0.2, 8.0))
    def run(self, seconds: float) -> None:
        self.run_for(seconds)

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name: str) -> None:
        self.nodes.pop(name, None)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        self.start(name)

    @rule(name=st.sampled_from(NAMES))
    def leave(self, name: str) -> None:
        node = self.nodes.pop(name, None)
        if node is not None:
            self.deliver(name, node.leave())

    @rule(loss=st.floats(0.0, 0.6))
    def lose(self, loss: float) -> None:
        self.loss = loss

    @rule(names=st.sets(st.sampled_from(NAMES)))
    def cut_off(self, names: set[str]) -> None:
        self.partitioned = names

    def teardown(self) -> None:
        self.loss = 0.0
        self.partitioned = set()
        self.run_for(SETTLE_SECONDS)
        live = set(self.nodes)
        for name, node in self.nodes.items():
            alive = {m.node_id for m in node.members() if m.state is MemberState.ALIVE}
            assert alive == live - {name}, f"{name} sees {sorted(alive)} of {sorted(live)}"
        self.lists_of_restarted_nodes_agree_after_an_exchange()

    def lists_of_restarted_nodes_agree_after_an_exchange(self) -> None:
        nodes = list(self.nodes.values())
        for first in nodes:
            for second in nodes:
                first.on_synchronized(second.snapshot(), self.now)
                second.on_synchronized(first.snapshot(), self.now)
        assert len({node.digest() for node in nodes}) <= 1


MembershipMachine.TestCase.settings = settings(max_examples=25, stateful_step_count=15)
TestMembership = MembershipMachine.TestCase
