"""Ledger and peers together never let a request crash too many runners, in any order of events.

Each node knows of the first crash. Whatever else it is told comes late or never, and so do the
writes of the ledger that a node no longer waits for, the questions to voters and their returns.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hillstack.core.crash_ledger import MAX_CRASHES, MAX_LEDGER_CRASHES, CrashLedger, SendOutcome
from hillstack.core.peer_permits import PeerPermitRequest, PeerPermitVotes, Vote, majority_of

NODES = 4
FINGERPRINT = 1
FIRST_CRASH = "i-0"
nodes = st.integers(0, NODES - 1)


@dataclass
class Question:
    """A node's question for the peers' permit, and the voters that have granted it."""

    node: int
    request: PeerPermitRequest
    granted: set[int] = field(default_factory=set)


@dataclass(frozen=True)
class Send:
    """A send under way, with its permits; the ledger may lack the permit."""

    node: int
    permit: str
    peer_permit: str | None


class PermitsMachine(RuleBasedStateMachine):
    """Nodes that vote, read and write the ledger, and send the request."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = CrashLedger()
        self.revision = 0
        self.copies = [(CrashLedger(), 0)] * NODES
        self.known: list[set[str]] = [{FIRST_CRASH} for _ in range(NODES)]
        self.votes = [PeerPermitVotes() for _ in range(NODES)]
        self.questions: list[Question] = []
        self.returned: list[str] = []
        self.running: list[Send] = []
        self.unrecorded: list[SendOutcome] = []
        self.crashed = {FIRST_CRASH}
        self.issued = 0

    def _new_permit(self) -> str:
        self.issued += 1
        return f"permit-{self.issued}"

    def _write(self, node: int, ledger: CrashLedger) -> bool:
        if self.copies[node][1] != self.revision:
            return False
        self.revision += 1
        self.ledger = ledger
        return True

    @rule(node=nodes)
    def read(self, node: int) -> None:
        self.copies[node] = self.ledger, self.revision

    @rule(node=nodes, other=nodes)
    def tell(self, node: int, other: int) -> None:
        """Deliver a node's notices to another one."""
        self.known[other] |= self.known[node]

    @rule(node=nodes, max_crashes=st.sampled_from((MAX_LEDGER_CRASHES, MAX_CRASHES)))
    def ask(self, node: int, max_crashes: int) -> None:
        crashed = frozenset(self.known[node])
        request = PeerPermitRequest(FINGERPRINT, self._new_permit(), crashed, max_crashes)
        self.questions.append(Question(node, request))

    @precondition(lambda self: self.questions)
    @rule(data=st.data(), voters=st.sets(nodes, min_size=1))
    def vote(self, data: st.DataObject, voters: set[int]) -> None:
        """Let voters answer a question, which may be a repeated or a late one."""
        question = data.draw(st.sampled_from(self.questions))
        for voter in sorted(voters):
            vote = self.votes[voter].vote(question.request, self.known[voter], 0.0)
            if vote is Vote.GRANTED:
                question.granted.add(voter)

    @precondition(lambda self: self.questions)
    @rule(data=st.data())
    def give_up(self, data: st.DataObject) -> None:
        question = data.draw(st.sampled_from(self.questions))
        self.questions.remove(question)
        self.returned.append(question.request.permit)

    @precondition(lambda self: self.returned)
    @rule(data=st.data(), voter=nodes)
    def take_return(self, data: st.DataObject, voter: int) -> None:
        """Deliver a returned permit to a voter, early, late, repeatedly or never."""
        self.votes[voter].withdraw(FINGERPRINT, data.draw(st.sampled_from(self.returned)))

    @rule(node=nodes, alone=st.booleans())
    def send_with_ledger(self, node: int, alone: bool) -> None:
        ledger, known = self.copies[node][0], self.known[node]
        if not ledger.allows_send(known, alone=alone) or ledger.needs_peers(known):
            return
        permit = self._new_permit()
        if self._write(node, ledger.with_permit(permit)):
            self.running.append(Send(node, permit, None))

    @precondition(lambda self: self.questions)
    @rule(data=st.data(), is_written=st.booleans())
    def send_with_peers(self, data: st.DataObject, is_written: bool) -> None:
        """Send with the peers' permit; the ledger's permit may be written or not."""
        question = data.draw(st.sampled_from(self.questions))
        if len(question.granted) < majority_of(NODES):
            return
        node, known = question.node, self.known[question.node]
        ledger = self.copies[node][0]
        permit = self._new_permit()
        if question.request.max_crashes == MAX_CRASHES:
            # The last send needs the ledger as well.
            if not ledger.allows_send(known, alone=False):
                return
            if not self._write(node, ledger.with_permit(permit)):
                return
        elif len(known) >= MAX_LEDGER_CRASHES:
            return
        elif is_written:
            self._write(node, ledger.with_permit(permit))
        self.questions.remove(question)
        self.running.append(Send(node, permit, question.request.permit))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), is_noticed=st.booleans())
    def crash(self, data: st.DataObject, is_noticed: bool) -> None:
        """Crash the runner of a send; without a notice its node abandons the run."""
        send = data.draw(st.sampled_from(self.running))
        self.running.remove(send)
        name = f"runner of {send.permit}"
        self.crashed.add(name)
        if is_noticed:
            self.known[send.node].add(name)
            self.unrecorded.append(SendOutcome(frozenset({send.permit}), frozenset({name})))

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def survive(self, data: st.DataObject) -> None:
        """End a send whose runner is known to have survived it."""
        send = data.draw(st.sampled_from(self.running))
        self.running.remove(send)
        self.unrecorded.append(SendOutcome(frozenset({send.permit})))
        if send.peer_permit is not None:
            self.returned.append(send.peer_permit)

    @precondition(lambda self: self.unrecorded)
    @rule(data=st.data())
    def record(self, data: st.DataObject) -> None:
        outcome = data.draw(st.sampled_from(self.unrecorded))
        self.unrecorded.remove(outcome)
        self.revision += 1
        self.ledger = self.ledger.with_outcome(outcome)

    @invariant()
    def crashes_are_bounded(self) -> None:
        assert len(self.crashed) + len(self.running) <= MAX_CRASHES


TestPermits = PermitsMachine.TestCase
