"""Tells other nodes which software versions began the streams of this one, and asks them.

The origin of a stream is kept by the nodes that rendezvous hashing chooses for the try that brought
its first event, so that any node finds it, also after the node that began the stream was killed.
Origins are reported only while streams of a service may be of several versions.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable

from hillstack.core.node_directory import NodeEntry
from hillstack.core.rendezvous import ranked
from hillstack.core.stream_origins import StreamOrigin, StreamOrigins
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.pending_answers import PendingAnswers
from hillstack.messages.datagrams import DatagramKind
from hillstack.messages.origin_messages import OriginAnswer, OriginQuestion, OriginReport
from hillstack.messages.packing import pack, unpack
from hillstack.messages.peer_notices import PROTOCOL_VERSION
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.ports import OriginFinding

# Copies of each origin, besides that of the node that began the stream.
KEEPERS = 2
# Several round trips between zones. A stream that is taken up waits for it before it is refused.
ANSWER_SECONDS = 0.05
# Versions in one answer; with two of them the stream's version is not known.
MAX_VERSIONS = 2
# Origins in one message, which then fits into a datagram: identifiers are some 16 bytes.
MAX_REPORTED = 40


class OriginExchange:
    """Reports and finds the origins of streams.

    Args:
        state: State of this node.
        link: Sends and receives datagrams.
        origins: The origins that this node knows.
        address: ``IP:PORT`` at which this node receives datagrams.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        state: FleetState,
        link: PeerLink,
        origins: StreamOrigins,
        address: str,
        clock: Callable[[], float],
    ) -> None:
        self._address = address
        self._state = state
        self._link = link
        self._origins = origins
        self._clock = clock
        self._pending: PendingAnswers[OriginAnswer] = PendingAnswers(ANSWER_SECONDS)
        link.handle(DatagramKind.ORIGIN_REPORT, self._take_report)
        link.handle(DatagramKind.ORIGIN_QUESTION, self._take_question)
        link.handle(DatagramKind.ORIGIN_ANSWER, self._take_answer)

    def report(self, origins: Iterable[StreamOrigin]) -> None:
        """Send origins to the nodes that keep them."""
        by_keeper: defaultdict[tuple[str, str, str], list[str]] = defaultdict(list)
        for origin in origins:
            for keeper in self._keepers(origin.attempt_id):
                key = keeper.address, origin.service, origin.software
                by_keeper[key].append(origin.attempt_id)
        for (address, service, software), attempts in by_keeper.items():
            for first in range(0, len(attempts), MAX_REPORTED):
                report = OriginReport(
                    PROTOCOL_VERSION, service, software, attempts[first : first + MAX_REPORTED]
                )
                self._link.send(DatagramKind.ORIGIN_REPORT, pack(report), address)

    async def find(self, service: str, attempt_id: str) -> OriginFinding:
        """Ask the nodes that keep the origin of a stream which version began it.

        Args:
            service: Service of the stream.
            attempt_id: The try that brought its first event; empty if the caller names none.
        """
        keepers = self._keepers(attempt_id or service)
        asked = [asyncio.create_task(self._ask(node, service, attempt_id)) for node in keepers]
        answers: list[OriginAnswer] = []
        try:
            for next_answer in asyncio.as_completed(asked):
                answer = await next_answer
                if answer is None:
                    continue
                answers.append(answer)
                if answer.software is not None:
                    break
        finally:
            for task in asked:
                task.cancel()
        software = next((a.software for a in answers if a.software is not None), None)
        is_mixed = any(answer.is_mixed for answer in answers)
        knows_versions = any(answer.knows_versions for answer in answers)
        versions = frozenset(name for answer in answers for name in answer.versions)
        return OriginFinding(software, is_mixed, knows_versions, bool(keepers), versions)

    async def _ask(self, node: NodeEntry, service: str, attempt_id: str) -> OriginAnswer | None:
        def send(number: int) -> None:
            question = OriginQuestion(PROTOCOL_VERSION, self._address, number, service, attempt_id)
            self._link.send(DatagramKind.ORIGIN_QUESTION, pack(question), node.address)

        return await self._pending.ask(send)

    def _keepers(self, attempt_id: str) -> list[NodeEntry]:
        """Return the other nodes of this region that keep the origin of an attempt's stream."""
        own_id, topology = self._state.node_id, self._state.topology
        near = {
            node.node_id: node
            for node in self._state.nodes.all()
            if topology.is_own_region(node.zone)
        }
        chosen = ranked(attempt_id, near)[:KEEPERS]
        return [near[node_id] for node_id in chosen if node_id != own_id]

    def _take_report(self, payload: bytes, peer: str) -> None:
        report = unpack(payload, OriginReport, peer)
        now = self._clock()
        for attempt_id in report.attempts:
            origin = StreamOrigin(attempt_id, report.service, report.software, now, is_local=False)
            self._origins.record(origin)

    def _take_question(self, payload: bytes, peer: str) -> None:
        question = unpack(payload, OriginQuestion, peer)
        now = self._clock()
        answer = OriginAnswer(
            PROTOCOL_VERSION,
            question.number,
            self._origins.find(question.attempt_id, question.service, now),
            self._origins.is_mixed(question.service, now),
            self._state.directory_known,
            tuple(sorted(self._origins.possible_versions(question.service, now))[:MAX_VERSIONS]),
        )
        self._link.send(DatagramKind.ORIGIN_ANSWER, pack(answer), question.address)

    def _take_answer(self, payload: bytes, peer: str) -> None:
        answer = unpack(payload, OriginAnswer, peer)
        self._pending.take(answer.number, answer)
