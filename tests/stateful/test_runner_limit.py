"""A runner that names limits, several nodes, and answers and words between them in any order.

The runner is the truth. Its answers are made some time after they were asked for, and come some
time after that; words of peers come late, more than once, or never.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hillstack.core.runner_limit import (
    HINT_SECONDS,
    HINT_TRANSIT_SECONDS,
    AnswerKind,
    AnswerSource,
    RunnerLimit,
)

NODES = 3
NODE = st.integers(0, NODES - 1)
LIMITS = st.sampled_from((None, 0.0, 0.5, 2.0, 8.0))


@dataclass
class Answer:
    """An answer under way: when it was asked for, and what it says once it is made."""

    node: int
    asked_at: float
    is_made: bool = False
    limit: float | None = None


@dataclass
class Word:
    """A node's word to its peers."""

    rate: float | None
    asked_at: float
    told_at: float


@dataclass
class NodeSide:
    """What a node knows, and when a peer's word last reached it."""

    limit: RunnerLimit = field(default_factory=RunnerLimit)
    last_hint_at: float = float("-inf")


class LimitsInAnyOrder(RuleBasedStateMachine):
    """Whatever overtakes what, the latest word that is surely later counts."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.limit: float | None = None
        self.changed_at = 0.0
        self.history: list[tuple[float, float | None]] = [(0.0, None)]
        self.nodes = [NodeSide() for _ in range(NODES)]
        self.answers: list[Answer] = []
        self.words: list[Word] = []

    @rule(limit=LIMITS)
    def the_runner_changes_its_mind(self, limit: float | None) -> None:
        self.now += 0.001
        self.limit = limit
        self.changed_at = self.now
        self.history.append((self.now, limit))

    @rule(seconds=st.floats(0.001, 3.0))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule(node=NODE)
    def a_node_sends_a_request(self, node: int) -> None:
        self.answers.append(Answer(node, self.now))

    @rule(which=st.integers(0, 100))
    def an_answer_is_made(self, which: int) -> None:
        waiting = [answer for answer in self.answers if not answer.is_made]
        if waiting:
            answer = waiting[which % len(waiting)]
            answer.is_made, answer.limit = True, self.limit

    @rule(which=st.integers(0, 100))
    def an_answer_comes(self, which: int) -> None:
        made = [answer for answer in self.answers if answer.is_made]
        if not made:
            return
        answer = made[which % len(made)]
        self.answers.remove(answer)
        limit = self.nodes[answer.node].limit
        source = AnswerSource(AnswerKind.REQUEST, 200, self.now - answer.asked_at, is_whole=True)
        if limit.take(answer.limit, source, self.now):
            self.words.append(Word(limit.rate, limit.asked_at, self.now))

    @rule(node=NODE, which=st.integers(0, 100))
    def a_word_comes(self, node: int, which: int) -> None:
        if not self.words:
            return
        word = self.words[which % len(self.words)]
        if self.now - word.told_at > HINT_TRANSIT_SECONDS:
            return
        side = self.nodes[node]
        age = word.told_at - word.asked_at
        if word.rate is None:
            side.limit.hint_end(age, self.now)
        else:
            side.limit.hint(word.rate, age, self.now)
        side.last_hint_at = self.now

    @rule(node=NODE)
    def one_request_and_its_answer_tell_the_truth_at_once(self, node: int) -> None:
        """Whatever is still under way, an answer asked for now, alone, is surely the latest."""
        self.now += 2 * HINT_TRANSIT_SECONDS
        side = self.nodes[node]
        source = AnswerSource(AnswerKind.REQUEST, 200, 0.0, is_whole=True)
        side.limit.take(self.limit, source, self.now)
        known = side.limit.in_force(self.now)
        if self.limit is None:
            assert known is None
        else:
            assert known is not None
            assert known <= self.limit

    @invariant()
    def nobody_knows_a_limit_that_was_never_named(self) -> None:
        named = {limit for _, limit in self.history}
        for side in self.nodes:
            assert side.limit.in_force(self.now) in named | {None}

    @invariant()
    def without_answers_a_peers_word_is_over_after_a_while(self) -> None:
        for side in self.nodes:
            if self.now >= side.last_hint_at + HINT_SECONDS:
                assert side.limit.in_force(self.now) == side.limit.rate

    @invariant()
    def an_own_limit_is_lifted_only_by_a_later_word_of_the_runner(self) -> None:
        """What a node was told last holds at least until the runner said something else."""
        for side in self.nodes:
            own, known = side.limit.rate, side.limit.in_force(self.now)
            if own is None or known is None or known <= own:
                continue
            since = [at for at, limit in self.history if limit == known]
            assert max(since) + HINT_TRANSIT_SECONDS >= side.limit.asked_at


TestLimitsInAnyOrder = LimitsInAnyOrder.TestCase
