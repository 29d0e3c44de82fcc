"""This node as a voter on peer permits (``core.peer_permits``)."""

from __future__ import annotations

from collections.abc import Callable

from hillstack.core.crash_counts import REPEATED_RETENTION_SECONDS
from hillstack.core.peer_permits import PeerPermitRequest, PeerPermitVotes, Vote
from hillstack.core.runner_crashes import RunnerCrashRecord, Suspicion
from hillstack.serving.crash_knowledge import CrashKnowledge, PartKnowledge


class PermitVoter:
    """Votes by this node's earlier votes and by the crashes that it knows.

    Args:
        record: Runner crashes that this node knows, and its verdicts.
        knowledge: Runners that crashed under a request.
        parts: Runners that crashed under a prompt part.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        record: RunnerCrashRecord,
        knowledge: CrashKnowledge,
        parts: PartKnowledge,
        clock: Callable[[], float],
    ) -> None:
        self._parts = parts
        self._record = record
        self._knowledge = knowledge
        self._clock = clock
        self._votes = PeerPermitVotes()

    def vote(self, request: PeerPermitRequest) -> Vote:
        """Vote on a node's request for a peer permit; a request known to be fatal gets none."""
        now = self._clock()
        if self._record.suspicion(request.fingerprint, now) is Suspicion.FATAL:
            return Vote.REFUSED
        if self._parts.is_part(request.fingerprint):
            crashed = self._parts.crashed(request.fingerprint)
            return self._votes.vote(request, crashed, now, REPEATED_RETENTION_SECONDS)
        return self._votes.vote(request, self._knowledge.crashed(request.fingerprint), now)

    def withdraw(self, fingerprint: int, permit: str) -> None:
        """Withdraw the vote for a permit whose send has ended without a crash."""
        self._votes.withdraw(fingerprint, permit)
