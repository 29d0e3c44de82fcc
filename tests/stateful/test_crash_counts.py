"""Crash counts of several nodes for one request that crashes every runner.

Messages between nodes take up to 50 ms and may be duplicated and reordered. Whatever the callers
do, at most three sends follow after all nodes know of the third crash.
"""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hillstack.core.crash_counts import MAX_CRASHES, CrashCounts, CrashedRun

NAME = 7
NODES = 4
CRASH_SECONDS = 0.1
# Longer than the delay via relays, which is up to 30 ms above the direct delay between two nodes.
MESSAGE_SECONDS = 0.05
CONTACT_SECONDS = 3.0
MAX_LATE_SENDS = 3


@dataclass(frozen=True)
class Message:
    """A message between two nodes: a crash, or the start of a trial if ``crash`` is None."""

    to: int
    sent_at: float
    crash: CrashedRun | None


class CountsInAnyOrder(RuleBasedStateMachine):
    """Nodes that send a request whenever their own count allows it."""

    @initialize()
    def start(self) -> None:
        self.now = 100.0
        self.counts = [CrashCounts() for _ in range(NODES)]
        self.messages: list[Message] = []
        self.crashes: list[CrashedRun] = []
        self.pending: list[tuple[int, CrashedRun]] = []

    @rule(node=st.integers(0, NODES - 1))
    def try_again(self, node: int) -> None:
        counts = self.counts[node]
        if counts.count(NAME) and self.pending:
            # Suspects run one at a time: nodes decide some ms apart and notify the others of a run
            # (``Probations``).
            return
        if counts.has_reached_bound(NAME):
            if not counts.may_try(NAME, node, self.now):
                return
            counts.record_trial(NAME, self.now)
            self._broadcast(node, None)
        crash = CrashedRun(
            f"i-{len(self.crashes) + len(self.pending)}", self.now, self.now + CRASH_SECONDS
        )
        self.pending.append((node, crash))

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 5.0, 30.0, 200.0, 2_000.0]))
    def wait(self, seconds: float) -> None:
        until = self.now + seconds
        while due := [due for due in self._due() if due <= until]:
            self.now = max(self.now, min(due))
            self._crash_now()
            self._deliver_due()
        self.now = until

    @rule(data=st.data(), again=st.booleans())
    def deliver(self, data: st.DataObject, again: bool) -> None:
        if not self.messages:
            return
        message = data.draw(st.sampled_from(self.messages))
        self._apply(message)
        if not again:
            self.messages.remove(message)

    @invariant()
    def few_sends_after_the_bound(self) -> None:
        if len(self.crashes) < MAX_CRASHES:
            return
        ended = sorted(crash.crashed_at for crash in self.crashes)
        known_at = ended[MAX_CRASHES - 1] + CONTACT_SECONDS
        sends = [*self.crashes, *(crash for _, crash in self.pending)]
        assert sum(send.began_at > known_at for send in sends) <= MAX_LATE_SENDS

    def _due(self) -> list[float]:
        ends = [crash.crashed_at for _, crash in self.pending]
        return ends + [message.sent_at + MESSAGE_SECONDS for message in self.messages]

    def _crash_now(self) -> None:
        for node, crash in [each for each in self.pending if each[1].crashed_at <= self.now]:
            self.pending.remove((node, crash))
            self.crashes.append(crash)
            self.counts[node].note(NAME, crash)
            self._broadcast(node, crash)

    def _deliver_due(self) -> None:
        for message in [
            message for message in self.messages if message.sent_at + MESSAGE_SECONDS <= self.now
        ]:
            self.messages.remove(message)
            self._apply(message)

    def _broadcast(self, node: int, crash: CrashedRun | None) -> None:
        self.messages += [
            Message(other, self.now, crash) for other in range(NODES) if other != node
        ]

    def _apply(self, message: Message) -> None:
        counts = self.counts[message.to]
        if message.crash is not None:
            counts.note(NAME, message.crash)
        else:
            counts.record_trial(NAME, self.now)


TestCountsInAnyOrder = CountsInAnyOrder.TestCase
TestCountsInAnyOrder.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)
