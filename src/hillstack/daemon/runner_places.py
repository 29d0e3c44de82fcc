"""Gets places at brittle runners from their issuers, and issues places to other nodes.

The issuer of a runner's places is one live node of the runner's region, chosen by rendezvous
hashing. Nodes report their places to it while a runner is brittle, so a new issuer knows them
soon. If only some of the listed nodes are alive according to the issuer, it issues the same part of
the places, since the others may be alive in another partition. A node that gets no answer sends a
request only now and then, so that all such nodes together stay below the rejections that the runner
tolerates.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable, Mapping

from hillstack.core.node_directory import NodeEntry
from hillstack.core.rendezvous import owner
from hillstack.core.runner_places import PlaceCounts
from hillstack.core.runner_pool import Runner
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.pending_answers import PendingAnswers
from hillstack.messages import place_messages
from hillstack.messages.datagrams import DatagramKind
from hillstack.messages.packing import pack, unpack
from hillstack.messages.peer_notices import PROTOCOL_VERSION
from hillstack.messages.place_messages import PlaceQuestion
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.ports import PlaceAnswer

# Several round trips between zones.
ANSWER_SECONDS = 0.03
# Interval at which unchanged places are reported again; a lost report is repaired by then.
REPEAT_SECONDS = 0.2
# Share of the rejections that a runner tolerates which all nodes without an issuer use together.
UNISSUED_SHARE = 0.5


class RunnerPlaces:
    """Places at brittle runners.

    Args:
        state: State of this node.
        link: Sends and receives datagrams.
        live_zones: Returns the zone of each live node.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        state: FleetState,
        link: PeerLink,
        live_zones: Callable[[], Mapping[str, str]],
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._link = link
        self._live_zones = live_zones
        self._clock = clock
        self._counts = PlaceCounts()
        self._numbers = itertools.count(1)
        self._asking: Counter[str] = Counter()
        self._reported: dict[str, tuple[int, float]] = {}
        self._unissued_at: dict[str, float] = {}
        self._pending: PendingAnswers[place_messages.PlaceAnswer] = PendingAnswers(ANSWER_SECONDS)
        link.handle(DatagramKind.PLACE_QUESTION, self._take_question)
        link.handle(DatagramKind.PLACE_ANSWER, self._take_answer)

    async def take(self, runner: Runner, rejections_per_second: float) -> PlaceAnswer:
        """Return whether a request may be sent to a brittle runner now.

        Args:
            runner: The runner.
            rejections_per_second: Rejections that it tolerates.
        """
        runner_id = runner.runner_id
        issuer = self._issuer(runner)
        if issuer is None:
            own_id, used = self._state.node_id, self._used(runner)
            if self._issued_places(runner):
                return PlaceAnswer(self._grant(runner, own_id, next(self._numbers), used), own_id)
            return PlaceAnswer(self._take_unissued(runner, rejections_per_second))
        self._asking[runner_id] += 1
        try:
            answer = await self._pending.ask(
                lambda number: self._send(issuer, number, runner, wants=True)
            )
        finally:
            self._asking[runner_id] -= 1
        if answer is not None:
            return PlaceAnswer(answer.granted, issuer.node_id)
        return PlaceAnswer(self._take_unissued(runner, rejections_per_second))

    def _take_unissued(self, runner: Runner, rejections_per_second: float) -> bool:
        """Return whether a request may be sent although no issuer answers."""
        now = self._clock()
        if self._used(runner) or now < self._unissued_at.get(runner.runner_id, float("-inf")):
            return False
        share = UNISSUED_SHARE * rejections_per_second / self._state.nodes.budget_node_count(now)
        if share <= 0:
            return False
        self._unissued_at[runner.runner_id] = now + 1 / share
        return True

    def _used(self, runner: Runner) -> int:
        """Return the places that this node uses, including those that it is asking for.

        Each question asks for one place more than it reports, so its own is left out.
        """
        return len(runner.attempts) + max(0, self._asking[runner.runner_id] - 1)

    def _grant(self, runner: Runner, node_id: str, number: int, used: int) -> bool:
        """Return whether this node, as the issuer, grants a place."""
        places, now = self._issued_places(runner), self._clock()
        return self._counts.take(runner.runner_id, node_id, number, used, places, now)

    def _issued_places(self, runner: Runner) -> int:
        """Return how many places of a runner this node issues."""
        listed = [node for node in self._state.nodes.all() if self._is_near(runner, node.zone)]
        live = len(self._live_nodes(runner))
        return runner.entry.slots * live // max(live, len(listed))

    def _live_nodes(self, runner: Runner) -> set[str]:
        """Return the live nodes of a runner's region, with this node."""
        zones = self._live_zones()
        near = {node_id for node_id, zone in zones.items() if self._is_near(runner, zone)}
        return near | {self._state.node_id}

    def _is_near(self, runner: Runner, zone: str) -> bool:
        topology = self._state.topology
        return topology.region_of(zone) == topology.region_of(runner.entry.zone)

    def _issuer(self, runner: Runner) -> NodeEntry | None:
        """Return the issuer of a runner's places; None if it is this node."""
        chosen = owner(runner.runner_id, sorted(self._live_nodes(runner)))
        if chosen is None or chosen == self._state.node_id:
            return None
        return self._state.nodes.get(chosen)

    def _send(self, issuer: NodeEntry, number: int, runner: Runner, *, wants: bool) -> None:
        used = self._used(runner)
        now = self._clock()
        self._reported[runner.runner_id] = used + wants, now
        question = PlaceQuestion(
            PROTOCOL_VERSION,
            self._state.node_id,
            number,
            runner.runner_id,
            used,
            wants,
        )
        self._link.send(DatagramKind.PLACE_QUESTION, pack(question), issuer.address)

    async def run(self) -> None:
        """Repeat the reports of places until cancelled."""
        while True:
            await asyncio.sleep(REPEAT_SECONDS)
            brittle = self._state.pool.brittle_runners()
            if not brittle:
                self._reported.clear()
                self._unissued_at.clear()
            self._counts.expire(self._clock())
            for runner in brittle:
                self._report(runner)

    def report_change(self, runner: Runner) -> None:
        """Report at once that a request has begun or ended at a runner, if it is brittle."""
        if self._state.pool.tolerated_rejections(runner) is not None:
            self._report(runner)

    def _report(self, runner: Runner) -> None:
        now = self._clock()
        used = len(runner.attempts) + self._asking[runner.runner_id]
        known, reported_at = self._reported.get(runner.runner_id, (-1, float("-inf")))
        if used == known and now < reported_at + REPEAT_SECONDS:
            return
        self._reported[runner.runner_id] = used, now
        issuer = self._issuer(runner)
        if issuer is not None:
            self._send(issuer, self._pending.next_number(), runner, wants=False)
            return
        own_id = self._state.node_id
        self._counts.report(runner.runner_id, own_id, next(self._numbers), used, now)

    def _take_question(self, payload: bytes, peer: str) -> None:
        question = unpack(payload, PlaceQuestion, peer)
        node = self._state.nodes.get(question.node_id)
        if node is None:
            return
        runner_id, node_id = question.runner_id, question.node_id
        number, used, now = question.number, question.used, self._clock()
        if not question.wants:
            self._counts.report(runner_id, node_id, number, used, now)
            return
        runner = self._state.pool.get(runner_id)
        granted = runner is not None and self._grant(runner, node_id, number, used)
        answer = place_messages.PlaceAnswer(PROTOCOL_VERSION, self._state.node_id, number, granted)
        self._link.send(DatagramKind.PLACE_ANSWER, pack(answer), node.address)

    def _take_answer(self, payload: bytes, peer: str) -> None:
        answer = unpack(payload, place_messages.PlaceAnswer, peer)
        self._pending.take(answer.number, answer)
