"""Asks the voters of a request for its peer permit, and votes on the requests of other nodes."""

from __future__ import annotations

import asyncio
import functools
from collections import Counter

from hillstack.core.node_directory import NodeEntry
from hillstack.core.peer_permits import PeerPermitRequest, Vote, majority_of, voters_of
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.pending_answers import PendingAnswers
from hillstack.errors import CodecError
from hillstack.messages.datagrams import DatagramKind
from hillstack.messages.packing import pack, unpack
from hillstack.messages.peer_notices import PROTOCOL_VERSION
from hillstack.messages.permit_messages import PermitAnswer, PermitQuestion
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.permit_voter import PermitVoter

# Longest wait for a vote: three round trips between regions.
ANSWER_SECONDS = 0.3
# Pause before a question is repeated, in case it or its answer was lost.
REPEAT_SECONDS = 0.1
# How often the return of a permit is sent. If all are lost, the permit is free when the vote
# expires.
RETURN_REPETITIONS = 3


class PeerPermits:
    """Acquires peer permits, and answers the questions of other nodes for them.

    Args:
        state: State of this node.
        voter: Votes of this node.
        link: Sends and receives datagrams.
    """

    def __init__(self, state: FleetState, voter: PermitVoter, link: PeerLink) -> None:
        self._state = state
        self._voter = voter
        self._link = link
        self._pending: PendingAnswers[PermitAnswer] = PendingAnswers(ANSWER_SECONDS)
        link.handle(DatagramKind.PERMIT_QUESTION, self._take_question)
        link.handle(DatagramKind.PERMIT_ANSWER, self._take_answer)

    async def acquire(self, request: PeerPermitRequest) -> Vote | None:
        """Ask for a permit, whose identifier must be new; None if too few voters answered.

        Votes that are no majority are returned.
        """
        voters = self._voters(request.fingerprint)
        needed = majority_of(len(voters))
        votes: Counter[Vote | None] = Counter()
        asking = [asyncio.ensure_future(self._ask(voter, request)) for voter in voters]
        try:
            for answer in asyncio.as_completed(asking):
                votes[await answer] += 1
                if votes[Vote.GRANTED] >= needed:
                    return Vote.GRANTED
                if votes.total() - votes[Vote.GRANTED] > len(voters) - needed:
                    break
        finally:
            for task in asking:
                task.cancel()
            if votes[Vote.GRANTED] < needed:
                self.give_back(request.fingerprint, request.permit)
        return next((vote for vote in (Vote.REFUSED, Vote.TAKEN) if votes[vote]), None)

    def give_back(self, fingerprint: int, permit: str) -> None:
        """Return a permit whose request was not sent, or whose send has ended without a crash."""
        self._voter.withdraw(fingerprint, permit)
        returned = PeerPermitRequest(fingerprint, permit, frozenset(), 0)
        for node in self._voters(fingerprint):
            if node.node_id == self._state.node_id:
                continue
            send = functools.partial(self._send, node, returned, is_returned=True)
            for number in range(RETURN_REPETITIONS):
                asyncio.get_running_loop().call_later(number * REPEAT_SECONDS, send, 0)

    def _voters(self, fingerprint: int) -> list[NodeEntry]:
        nodes = {node.node_id: node for node in self._state.nodes.all()}
        return [nodes[node_id] for node_id in voters_of(fingerprint, nodes)]

    async def _ask(self, voter: NodeEntry, request: PeerPermitRequest) -> Vote | None:
        if voter.node_id == self._state.node_id:
            return self._voter.vote(request)
        repeating: list[asyncio.TimerHandle] = []

        def send(number: int) -> None:
            self._send(voter, request, number)
            repeating[:] = [asyncio.get_running_loop().call_later(REPEAT_SECONDS, send, number)]

        try:
            answer = await self._pending.ask(send)
        finally:
            repeating[0].cancel()
        if answer is None or answer.permit != request.permit:
            return None
        return Vote(answer.vote)

    def _send(
        self,
        node: NodeEntry,
        request: PeerPermitRequest,
        number: int,
        *,
        is_returned: bool = False,
    ) -> None:
        question = PermitQuestion(
            PROTOCOL_VERSION,
            self._state.node_id,
            number,
            request.fingerprint,
            request.permit,
            sorted(request.crashed),
            request.max_crashes,
            is_returned,
        )
        self._link.send(DatagramKind.PERMIT_QUESTION, pack(question), node.address)

    def _take_question(self, payload: bytes, peer: str) -> None:
        question = unpack(payload, PermitQuestion, peer)
        node = self._state.nodes.get(question.node_id)
        if node is None:
            return
        if question.is_returned:
            self._voter.withdraw(question.fingerprint, question.permit)
            return
        vote = self._voter.vote(
            PeerPermitRequest(
                question.fingerprint,
                question.permit,
                frozenset(question.crashed),
                question.max_crashes,
            )
        )
        answer = PermitAnswer(
            PROTOCOL_VERSION, self._state.node_id, question.number, vote, question.permit
        )
        self._link.send(DatagramKind.PERMIT_ANSWER, pack(answer), node.address)

    def _take_answer(self, payload: bytes, peer: str) -> None:
        answer = unpack(payload, PermitAnswer, peer)
        if answer.vote not in set(Vote):
            raise CodecError(f"unknown vote {answer.vote}", step="decode", peer=peer)
        self._pending.take(answer.number, answer)
