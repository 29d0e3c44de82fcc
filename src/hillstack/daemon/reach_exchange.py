"""Asks peers which runners they reach, and answers such questions from this node's own contacts.

Nothing is sent while this node reaches its runners. Nodes of earlier builds do not answer, so they
are never chosen as relays.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from hillstack.core.node_directory import NodeEntry
from hillstack.core.runner_paths import PeerReach, RunnerPaths
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.pending_answers import PendingAnswers
from hillstack.daemon.relay_targets import RelayTargets
from hillstack.messages.datagrams import DatagramKind
from hillstack.messages.packing import pack, unpack
from hillstack.messages.peer_notices import PROTOCOL_VERSION
from hillstack.messages.reach_messages import ReachAnswer, ReachQuestion, TargetReach
from hillstack.serving.fleet_state import FleetState

# Several round trips between zones, or one between regions on known deployments.
ANSWER_SECONDS = 0.05
# Peers that are asked at once, half of them of this node's zone, since all nodes of a zone may be
# cut off together. Others are drawn the next time.
MAX_ASKED_PEERS = 8
# Runners in one question, so that question and answer each fit into one datagram.
MAX_TARGETS = 32
MILLISECONDS = 1_000.0


class ReachExchange:
    """Sends and answers questions about the reach of runners.

    Args:
        state: State of this node.
        paths: Contacts and lost paths of this node; receives the answers.
        targets: Names runners in messages.
        link: Sends and receives datagrams.
        clock: Monotonic seconds.
        rng: Draws the peers to ask.
        accepts_relays: Whether this node relays connections now.
    """

    def __init__(
        self,
        state: FleetState,
        paths: RunnerPaths,
        targets: RelayTargets,
        link: PeerLink,
        clock: Callable[[], float],
        rng: Random,
        accepts_relays: Callable[[], bool] = lambda: True,
    ) -> None:
        self._state = state
        self._paths = paths
        self._targets = targets
        self._link = link
        self._clock = clock
        self._rng = rng
        self._accepts_relays = accepts_relays
        self._pending: PendingAnswers[ReachAnswer] = PendingAnswers(ANSWER_SECONDS)
        link.handle(DatagramKind.REACH_QUESTION, self._take_question)
        link.handle(DatagramKind.REACH_ANSWER, self._take_answer)

    async def ask(self, addresses: Iterable[str]) -> None:
        """Ask some peers which of these addresses they reach, and wait for their answers.

        Peers of other regions are asked only for addresses that no peer of this region may reach.
        """
        named = {address: self._targets.target_id(address) for address in addresses}
        wanted = {name: address for address, name in named.items() if name is not None}
        near, far = self._peers_by_region()
        await self._ask_peers(self._draw(near or far), wanted)
        now = self._clock()
        unreached = {
            name: address
            for name, address in wanted.items()
            if not self._paths.relays(address, now)
        }
        if near and far:
            await self._ask_peers(self._draw(far), unreached)

    async def _ask_peers(self, peers: list[NodeEntry], wanted: dict[str, str]) -> None:
        names = list(wanted)[:MAX_TARGETS]
        if names:
            await asyncio.gather(*(self._ask_peer(peer, names, wanted) for peer in peers))

    async def _ask_peer(self, peer: NodeEntry, names: list[str], wanted: dict[str, str]) -> None:
        asked_at = self._clock()

        def send(number: int) -> None:
            question = ReachQuestion(PROTOCOL_VERSION, self._state.node_id, number, names)
            self._link.send(DatagramKind.REACH_QUESTION, pack(question), peer.address)

        answer = await self._pending.ask(send)
        if answer is None or not answer.accepts:
            return
        known = {wanted[t.target_id]: t for t in answer.targets if t.target_id in wanted}
        heard_at = {
            address: asked_at - target.age_ms / MILLISECONDS
            for address, target in known.items()
            if target.age_ms is not None
        }
        unknown = {wanted[name] for name in names} - known.keys()
        lost = {address for address, target in known.items() if target.is_lost}
        self._paths.note_answer(
            PeerReach(peer.node_id, peer.zone, asked_at, heard_at, frozenset(lost | unknown))
        )

    def _peers_by_region(self) -> tuple[list[NodeEntry], list[NodeEntry]]:
        """Return the other nodes of this node's region, and those of other regions."""
        near: list[NodeEntry] = []
        far: list[NodeEntry] = []
        for node in self._state.nodes.all():
            if node.node_id != self._state.node_id:
                is_near = self._state.topology.is_own_region(node.zone)
                (near if is_near else far).append(node)
        return near, far

    def _draw(self, peers: list[NodeEntry]) -> list[NodeEntry]:
        """Draw peers to ask, half of them of the own zone."""
        self._rng.shuffle(peers)
        own_zone = [node for node in peers if node.zone == self._paths.zone]
        elsewhere = [node for node in peers if node.zone != self._paths.zone]
        chosen = own_zone[: MAX_ASKED_PEERS // 2]
        chosen += elsewhere[: MAX_ASKED_PEERS - len(chosen)]
        return chosen + own_zone[MAX_ASKED_PEERS // 2 :][: MAX_ASKED_PEERS - len(chosen)]

    def _take_question(self, payload: bytes, peer: str) -> None:
        question = unpack(payload, ReachQuestion, peer)
        node = self._state.nodes.get(question.node_id)
        if node is None:
            return
        targets = [self._reach(name) for name in question.target_ids[:MAX_TARGETS]]
        answer = ReachAnswer(
            PROTOCOL_VERSION,
            self._state.node_id,
            question.number,
            self._accepts_relays(),
            [target for target in targets if target is not None],
        )
        self._link.send(DatagramKind.REACH_ANSWER, pack(answer), node.address)

    def _reach(self, target_id: str) -> TargetReach | None:
        address = self._targets.address_of(target_id)
        if address is None:
            return None
        age = self._clock() - self._paths.contact_at(address)
        age_ms = None if age == float("inf") else int(age * MILLISECONDS)
        return TargetReach(target_id, age_ms, self._paths.is_lost(address))

    def _take_answer(self, payload: bytes, peer: str) -> None:
        answer = unpack(payload, ReachAnswer, peer)
        self._pending.take(answer.number, answer)
