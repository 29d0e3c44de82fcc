"""Stateful tests of bundle adoption and of the cache index."""

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
UNTRUSTED_SIGNERS = Signers()


class AdoptionMachine(RuleBasedStateMachine):
    """Nodes receive bundles in any order, including forged and insufficiently signed ones."""

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
        forged = UNTRUSTED_SIGNERS.sign(child_of(self.chain[-1], version=1_000))
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


class CacheIndexMachine(RuleBasedStateMachine):
    """An engine's actual cache and its index under crashes, event gaps, resets and late events."""

    def __init__(self) -> None:
        super().__init__()
        self.index = CacheIndex()
        self.incarnation_number = 1
        self.sequence = 0
        self.actual: set[int] = set()
        self.lost = False
        self.index.observe_incarnation("e", "life-1")
        self.old_events: list[tuple[str, list[int]]] = []

    def name(self) -> str:
        return f"life-{self.incarnation_number}"

    @rule(blocks=st.sets(st.integers(0, 9), min_size=1), delivered=st.booleans())
    def store(self, blocks: set[int], delivered: bool) -> None:
        self.actual |= blocks
        self.old_events.append((self.name(), sorted(blocks)))
        self.publish(delivered, lambda: self.index.stored("e", self.name(), blocks))

    @rule(blocks=st.sets(st.integers(0, 9), min_size=1), delivered=st.booleans())
    def evict(self, blocks: set[int], delivered: bool) -> None:
        self.actual -= blocks
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
        self.incarnation_number += 1
        self.actual = set()
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
            self.actual = set()
            self.lost = False

    @invariant()
    def trusted_entries_are_of_the_current_incarnation(self) -> None:
        partition = self.index.partition("e")
        assert partition is not None
        assert partition.incarnation == self.name()
        if self.sequence == 0:
            assert not partition.blocks

    @invariant()
    def an_index_with_a_gap_is_not_trusted(self) -> None:
        partition = self.index.partition("e")
        assert partition is not None
        assert not (self.lost and partition.trusted)


AdoptionMachine.TestCase.settings = settings(max_examples=30, stateful_step_count=30)
CacheIndexMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
TestAdoption = AdoptionMachine.TestCase
TestCacheIndex = CacheIndexMachine.TestCase
