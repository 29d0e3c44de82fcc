"""Nodes that read and write one ledger in any order never let a request crash too many runners."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hillstack.core.crash_ledger import MAX_CRASHES, CrashLedger, SendOutcome

NODES = 3


class CrashLedgerMachine(RuleBasedStateMachine):
    """Nodes with copies of the ledger that may be outdated, and sends with permits.

    The first crash happened under a send without a permit, and is recorded at any later moment.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ledger = CrashLedger()
        self.revision = 0
        self.copies = [(CrashLedger(), 0)] * NODES
        self.running: dict[str, int] = {}
        self.unrecorded: list[set[str]] = [{"i-0"}, set(), set()]
        self.ended: list[set[str]] = [set() for _ in range(NODES)]
        self.crashed = {"i-0"}
        self.issued = 0

    def _write(self, node: int, ledger: CrashLedger) -> bool:
        _, revision = self.copies[node]
        if revision != self.revision:
            return False
        self.revision += 1
        self.ledger = ledger
        return True

    def _outcome(self, node: int) -> SendOutcome:
        return SendOutcome(frozenset(self.ended[node]), frozenset(self.unrecorded[node]))

    @rule(node=st.integers(0, NODES - 1))
    def read(self, node: int) -> None:
        self.copies[node] = self.ledger, self.revision

    @rule(node=st.integers(0, NODES - 1), alone=st.booleans())
    def send(self, node: int, alone: bool) -> None:
        """Send the request on a node that knows of the first crash, if it gets a permit."""
        ledger = self.copies[node][0].with_outcome(self._outcome(node))
        if not ledger.allows_send({"i-0"}, alone=alone):
            return
        permit = f"permit-{self.issued}"
        if self._write(node, ledger.with_permit(permit)):
            self.issued += 1
            self.running[permit] = node
            self.ended[node].clear()
            self.unrecorded[node].clear()

    @rule(data=st.data())
    def crash(self, data: st.DataObject) -> None:
        self._end(data, is_crash=True)

    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        """End a run whose runner does not crash."""
        self._end(data, is_crash=False)

    def _end(self, data: st.DataObject, *, is_crash: bool) -> None:
        if not self.running:
            return
        permit = data.draw(st.sampled_from(sorted(self.running)))
        node = self.running.pop(permit)
        self.ended[node].add(permit)
        if is_crash:
            self.crashed.add(f"runner of {permit}")
            self.unrecorded[node].add(f"runner of {permit}")

    @rule(node=st.integers(0, NODES - 1))
    def record_outcome(self, node: int) -> None:
        ledger = self.copies[node][0].with_outcome(self._outcome(node))
        if self._write(node, ledger):
            self.ended[node].clear()
            self.unrecorded[node].clear()

    @rule(node=st.integers(1, NODES - 1))
    def kill(self, node: int) -> None:
        """Kill a node whose sends have ended or not; their permits stay in the ledger."""
        for permit in [permit for permit, at in self.running.items() if at == node]:
            self.crashed.add(f"runner of {permit}")
            del self.running[permit]
        self.ended[node].clear()
        self.unrecorded[node].clear()

    @invariant()
    def crashes_are_bounded(self) -> None:
        assert len(self.crashed) + len(self.running) <= MAX_CRASHES


TestCrashLedger = CrashLedgerMachine.TestCase
