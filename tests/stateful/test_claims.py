"""Stateful test of claims: no double execution despite memory loss, lost or late messages, skew."""

from __future__ import annotations

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from hillstack.core.claims import (
    ClaimLimits,
    ClaimRound,
    ClaimTable,
    ClaimVerdict,
    OwnershipHistory,
    key_created_at,
    make_key,
    replicas_of,
)
from hillstack.messages.types import ClaimReply, ClaimRequest, StoredAnswer

ZONES = ("a", "b", "c")
NODES = {"a": ["a1", "a2"], "b": ["b1"], "c": ["c1", "c2"]}
LIMITS = ClaimLimits(horizon=100.0, max_clock_skew=2.0)


class ClaimMachine(RuleBasedStateMachine):
    """Routers claim keys at replicas that lose their memory; messages are lost or arrive late."""

    keys = Bundle("keys")
    rounds = Bundle("rounds")

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0
        self.number = 0
        self.tables: dict[str, ClaimTable] = {}
        self.skews: dict[str, float] = {}
        self.late: list[tuple[str, ClaimRequest]] = []
        self.executions: Counter[str] = Counter()
        for nodes in NODES.values():
            for node in nodes:
                self.skews[node] = 0.0
                self.restart(node)
        self.now += 10.0

    def wall(self, node: str) -> float:
        return self.now + self.skews[node]

    def restart(self, node: str) -> None:
        ownership = OwnershipHistory(node)
        ownership.record(NODES[node[0]], self.wall(node))
        self.tables[node] = ClaimTable(ownership)

    @rule(target=keys, skew=st.floats(-0.9, 0.9))
    def new_key(self, skew: float) -> str:
        self.number += 1
        return make_key(self.now + skew, self.number)

    @rule(seconds=st.floats(0.0, 30.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(node=st.sampled_from(["a1", "a2", "b1", "c1", "c2"]), skew=st.floats(-0.9, 0.9))
    def lose_memory(self, node: str, skew: float) -> None:
        self.skews[node] = skew
        self.restart(node)

    @rule(target=rounds, key=keys, lost=st.sets(st.sampled_from(ZONES)), late=st.booleans())
    def claim(self, key: str, lost: set[str], late: bool) -> tuple[str, str, ClaimVerdict]:
        self.number += 1
        request = ClaimRequest(key, f"attempt-{self.number}", "digest", key_created_at(key))
        claim_round = ClaimRound(replicas_of(key, ZONES, NODES))
        for zone, node in claim_round.replicas.items():
            assert node is not None
            claim_round.on_reply(zone, self.ask(node, request, zone in lost, late))
        verdict = claim_round.verdict() or ClaimVerdict.NO_MAJORITY
        if verdict is ClaimVerdict.WON:
            self.executions[key] += 1
        return key, request.attempt_id, verdict

    def ask(self, node: str, request: ClaimRequest, lost: bool, late: bool) -> ClaimReply | None:
        if lost and late:
            self.late.append((node, request))
            return None
        reply = self.tables[node].claim(request, self.wall(node), LIMITS)
        return None if lost else reply

    @rule()
    def deliver_late(self) -> None:
        for node, request in self.late:
            self.tables[node].claim(request, self.wall(node), LIMITS)
        self.late.clear()

    @rule(outcome=rounds, answered=st.booleans())
    def finish(self, outcome: tuple[str, str, ClaimVerdict], answered: bool) -> None:
        """Release a lost claim; complete a won claim with its answer, or leave it open."""
        key, attempt_id, verdict = outcome
        for table in self.tables.values():
            if verdict is not ClaimVerdict.WON:
                table.release(key, attempt_id)
            elif answered:
                table.complete(key, attempt_id, StoredAnswer(200, "text/plain", b""))

    @rule()
    def forget(self) -> None:
        for node, table in self.tables.items():
            table.expire(self.wall(node), LIMITS)

    @invariant()
    def at_most_once(self) -> None:
        assert all(count <= 1 for count in self.executions.values())


ClaimMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)
TestClaims = ClaimMachine.TestCase
