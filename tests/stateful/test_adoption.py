"""Bundle adoption and cache beliefs searched for a broken invariant."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hillstack.config.signing import SignedBundle
from hillstack.core.cache_index import CacheIndex
from hillstack.core.rollout import BundleAdopter
from hillstack.errors import BundleError
from tests.builders import Signers, child_of, make_bundle

SIGNERS = Signers()
STRANGERS = Signers()


class AdoptionMachine(RuleBasedStateMachine):
    """Two operators race; nodes hear of bundles in any order, forged ones among them."""

    def __init__(self) -> None:
        super().__init__()
        self.chain = [make_bundle()]
        self.losers: list[SignedBundle] = []
        self.nodes = [BundleAdopter(SIGNERS.keyset, "zone-a") for _ in range(3)]
        self.seen = [0, 0, 0]

    @rule(ratio=st.floats(0.0, 1.0))
    def roll_out(self, ratio: float) -> None:
        self.chain.append(child_of(self.chain[-1], retries={"ratio": ratio}))

    @rule(node=st.integers(0, 2), index=st.integers(0, 20))
    def deliver(self, node: int, index: int) -> None:
        bundle = self.chain[index % len(self.chain)]
        adopted = self.nodes[node].consider(SIGNERS.sign(bundle), 0.0)
        assert adopted == (bundle.version > self.seen[node])
        self.seen[node] = max(self.seen[node], bundle.version)

    @rule(node=st.integers(0, 2))
    def deliver_forged(self, node: int) -> None:
        forged = STRANGERS.sign(child_of(self.chain[-1], version=1_000))
        try:
            adopted = self.nodes[node].consider(forged, 0.0)
        except BundleError:
            adopted = False
        assert not adopted

    @rule(node=st.integers(0, 2))
    def deliver_half_signed(self, node: int) -> None:
        signed = SIGNERS.sign(child_of(self.chain[-1], version=1_000), ("alpha",))
        try:
            adopted = self.nodes[node].consider(signed, 0.0)
        except BundleError:
            adopted = False
        assert not adopted

    @invariant()
    def in_force_is_the_highest_seen(self) -> None:
        assert [node.version for node in self.nodes] == self.seen


class BeliefMachine(RuleBasedStateMachine):
    """An engine's true cache beside the beliefs: crashes, gaps, resets, late events."""

    def __init__(self) -> None:
        super().__init__()
        self.index = CacheIndex()
        self.life = 1
        self.sequence = 0
        self.true: set[int] = set()
        self.lost = False
        self.index.observe_incarnation("e", "life-1")
        self.old_events: list[tuple[str, list[int]]] = []

    def name(self) -> str:
        return f"life-{self.life}"

    @rule(blocks=st.sets(st.integers(0, 9), min_size=1), delivered=st.booleans())
    def store(self, blocks: set[int], delivered: bool) -> None:
        self.true |= blocks
        self.old_events.append((self.name(), sorted(blocks)))
        self.publish(delivered, lambda: self.index.stored("e", self.name(), blocks))

    @rule(blocks=st.sets(st.integers(0, 9), min_size=1), delivered=st.booleans())
    def evict(self, blocks: set[int], delivered: bool) -> None:
        self.true -= blocks
        self.publish(delivered, lambda: self.index.removed("e", self.name(), blocks))

    def publish(self, delivered: bool, apply) -> None:  # type: ignore[no-untyped-def]
        if delivered:
            gap = self.index.observe_sequence("e", self.name(), self.sequence)
            if gap is not None or self.lost:
                self.lost = True
            apply()
        self.sequence += 1

    @rule()
    def crash(self) -> None:
        self.life += 1
        self.true = set()
        self.sequence = 0
        self.lost = False
        self.index.observe_incarnation("e", self.name())

    @rule()
    def old_events_come_late(self) -> None:
        for incarnation, blocks in self.old_events:
            if incarnation != self.name():
                self.index.stored("e", incarnation, blocks)

    @rule()
    def reset_after_gap(self) -> None:
        if self.lost:
            self.index.reset("e")
            self.true = set()
            self.lost = False

    @invariant()
    def trusted_beliefs_are_never_of_a_dead_incarnation(self) -> None:
        partition = self.index.partition("e")
        assert partition is not None
        assert partition.incarnation == self.name()
        if self.sequence == 0:
            assert not partition.blocks

    @invariant()
    def a_gap_that_stands_is_not_trusted(self) -> None:
        partition = self.index.partition("e")
        assert partition is not None
        assert not (self.lost and partition.trusted)


AdoptionMachine.TestCase.settings = settings(max_examples=30, stateful_step_count=30)
BeliefMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
TestAdoption = AdoptionMachine.TestCase
TestBeliefs = BeliefMachine.TestCase
