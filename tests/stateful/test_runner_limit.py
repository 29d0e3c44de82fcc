"""A runner that reports limits to several nodes, with answers and peer messages in any order.

The runner's limit is the reference. An answer is generated some time after its request was sent and
arrives some time after that. Messages of peers may be delayed, duplicated or lost.
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
    """An answer in flight: when its request was sent, and its limit once it is generated."""

    node: int
    asked_at: float
    is_generated: bool = False
    limit: float | None = None


@dataclass
class Message:
    """A node's message to its peers about the limit."""

    rate: float | None
    asked_at: float
    sent_at: float


@dataclass
class NodeState:
    """The limit as known to a node, and when a peer's message last arrived there."""

    limit: RunnerLimit = field(default_factory=RunnerLimit)
    last_hint_at: float = float("-inf")


class LimitsInAnyOrder(RuleBasedStateMachine):
    """In any order of arrival, the latest message that is certainly newer is applied."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.limit: float | None = None
        self.changed_at = 0.0
        self.history: list[tuple[float, float | None]] = [(0.0, None)]
        self.nodes = [NodeState() for _ in range(NODES)]
        self.answers: list[Answer] = []
        self.messages: list[Message] = []

    @rule(limit=LIMITS)
    def change_the_limit(self, limit: float | None) -> None:
        self.now += 0.001
        self.limit = limit
        self.changed_at = self.now
        self.history.append((self.now, limit))

    @rule(seconds=st.floats(0.001, 3.0))
    def advance_time(self, seconds: float) -> None:
        self.now += seconds

    @rule(node=NODE)
    def send_a_request(self, node: int) -> None:
        self.answers.append(Answer(node, self.now))

    @rule(which=st.integers(0, 100))
    def generate_an_answer(self, which: int) -> None:
        waiting = [answer for answer in self.answers if not answer.is_generated]
        if waiting:
            answer = waiting[which % len(waiting)]
            answer.is_generated, answer.limit = True, self.limit

    @rule(which=st.integers(0, 100))
    def deliver_an_answer(self, which: int) -> None:
        generated = [answer for answer in self.answers if answer.is_generated]
        if not generated:
            return
        answer = generated[which % len(generated)]
        self.answers.remove(answer)
        limit = self.nodes[answer.node].limit
        source = AnswerSource(
            AnswerKind.REQUEST, 200, self.now - answer.asked_at, was_carried_out=True
        )
        if limit.apply(answer.limit, source, self.now):
            self.messages.append(Message(limit.rate, limit.request_sent_at, self.now))

    @rule(node=NODE, which=st.integers(0, 100))
    def deliver_a_message(self, node: int, which: int) -> None:
        if not self.messages:
            return
        message = self.messages[which % len(self.messages)]
        if self.now - message.sent_at > HINT_TRANSIT_SECONDS:
            return
        node_state = self.nodes[node]
        age = message.sent_at - message.asked_at
        if message.rate is None:
            node_state.limit.apply_end_hint(age, self.now)
        else:
            node_state.limit.apply_hint(message.rate, age, self.now)
        node_state.last_hint_at = self.now

    @rule(node=NODE)
    def one_request_and_its_answer_report_the_current_limit(self, node: int) -> None:
        """An answer to a request sent now is the newest, whatever messages are still in flight."""
        self.now += 2 * HINT_TRANSIT_SECONDS
        node_state = self.nodes[node]
        source = AnswerSource(AnswerKind.REQUEST, 200, 0.0, was_carried_out=True)
        node_state.limit.apply(self.limit, source, self.now)
        known = node_state.limit.in_force(self.now)
        if self.limit is None:
            assert known is None
        else:
            assert known is not None
            assert known <= self.limit

    @invariant()
    def no_node_knows_a_limit_that_was_never_reported(self) -> None:
        named = {limit for _, limit in self.history}
        for node_state in self.nodes:
            assert node_state.limit.in_force(self.now) in named | {None}

    @invariant()
    def hints_expire(self) -> None:
        for node_state in self.nodes:
            if self.now >= node_state.last_hint_at + HINT_SECONDS:
                assert node_state.limit.in_force(self.now) == node_state.limit.rate

    @invariant()
    def a_direct_limit_is_raised_only_by_newer_messages(self) -> None:
        """A limit reported to a node directly is in effect at least until the runner changes it."""
        for node_state in self.nodes:
            own, known = node_state.limit.rate, node_state.limit.in_force(self.now)
            if own is None or known is None or known <= own:
                continue
            since = [at for at, limit in self.history if limit == known]
            assert max(since) + HINT_TRANSIT_SECONDS >= node_state.limit.request_sent_at


TestLimitsInAnyOrder = LimitsInAnyOrder.TestCase
