"""Gets places at brittle runners from their issuers, and issues places to other nodes.

Each runner has a few issuers with a fixed part of its places each (``core.place_parts``). A node
that needs a place takes one of its own part, or asks the other issuers one after the other. It
holds the place until the request has ended, and repeats its reports, so that an issuer that has
just started knows the places in use before it grants any.

A node that gets no answer of any issuer sends a request only now and then, so that all such nodes
together stay below the rejections that the runner tolerates.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from collections import defaultdict
from collections.abc import Callable
from random import Random

from hillstack.core.held_places import HeldPlaces
from hillstack.core.node_directory import NodeEntry
from hillstack.core.place_parts import PlaceParts
from hillstack.core.rendezvous import score
from hillstack.core.runner_places import PlaceCounts
from hillstack.core.runner_pool import Runner
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.pending_answers import PendingAnswers
from hillstack.messages import place_messages
from hillstack.messages.datagrams import DatagramKind
from hillstack.messages.packing import pack, unpack
from hillstack.messages.peer_notices import PROTOCOL_VERSION
from hillstack.messages.place_messages import ALL_PLACES, Brittleness, PlaceQuestion
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.ports import PlaceAnswer

# Several round trips between zones.
ANSWER_SECONDS = 0.03
# Interval at which places are reported again; a lost report is repaired by then.
REPEAT_SECONDS = 0.2
# How long an issuer that did not answer, or had no free place, is not asked.
NO_ANSWER_SECONDS = 0.3
NO_PLACE_SECONDS = 0.05
# Share of the rejections that a runner tolerates which all nodes without an issuer use together.
UNISSUED_SHARE = 0.5
# Size of the random number that tells the processes of one node apart.
INCARNATION_BITS = 32


class RunnerPlaces:
    """Places at brittle runners.

    Args:
        state: State of this node.
        link: Sends and receives datagrams.
        clock: Monotonic seconds.
        rng: Source of randomness.
    """

    def __init__(
        self,
        state: FleetState,
        link: PeerLink,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._state = state
        self._link = link
        self._clock = clock
        self._rng = rng
        self._incarnation = rng.getrandbits(INCARNATION_BITS)
        self._parts = PlaceParts(state.node_id, self._are_near, clock())
        self._listed_generation = -1
        self._counts = PlaceCounts()
        self._own_numbers = itertools.count(1)
        self._held: defaultdict[str, HeldPlaces] = defaultdict(HeldPlaces)
        self._silent_until: dict[str, float] = {}
        self._full_until: dict[tuple[str, str], float] = {}
        self._unissued_at: dict[str, float] = {}
        self._pending: PendingAnswers[place_messages.PlaceAnswer] = PendingAnswers(ANSWER_SECONDS)
        link.handle(DatagramKind.PLACE_QUESTION, self._take_question)
        link.handle(DatagramKind.PLACE_ANSWER, self._take_answer)

    async def take(self, runner: Runner, rejections_per_second: float) -> PlaceAnswer:
        """Return whether a request may be sent to a runner that is brittle, or may be.

        Args:
            runner: The runner.
            rejections_per_second: Rejections that it tolerates.
        """
        refused_by = ""
        for issuer in self._issuers(runner):
            granted = await self._ask(issuer, runner)
            if granted:
                return PlaceAnswer(granted=True, issuer=issuer)
            if granted is not None:
                refused_by = issuer
        if refused_by:
            return PlaceAnswer(granted=False, issuer=refused_by)
        return PlaceAnswer(self._take_unissued(runner, rejections_per_second))

    def _issuers(self, runner: Runner) -> list[str]:
        """Return the issuers to ask: this node first, then the others, other nodes in turn."""
        self._update_list()
        own_id = self._state.node_id
        issuers = self._parts.issuers(runner.runner_id, runner.entry.zone)
        others = sorted(
            (name for name in issuers if name != own_id), key=lambda name: score(own_id, name)
        )
        return [own_id, *others] if own_id in issuers and self._state.peers_known else others

    async def _ask(self, issuer: str, runner: Runner) -> bool | None:
        """Return whether an issuer grants a place; None if it did not answer lately."""
        if issuer == self._state.node_id:
            return self._take_own(runner)
        node, now = self._state.nodes.get(issuer), self._clock()
        if node is None or now < self._silent_until.get(issuer, now):
            return None
        place_key = runner.runner_id, issuer
        if now < self._full_until.get(place_key, now):
            return False
        answer = await self._ask_node(node, runner)
        if answer is None:
            self._silent_until[issuer] = self._clock() + NO_ANSWER_SECONDS
            return None
        if answer.brittleness is Brittleness.SOUND:
            self._state.pool.note_sound(runner.entry.service)
        if not answer.granted:
            self._full_until[place_key] = self._clock() + NO_PLACE_SECONDS
        return answer.granted

    async def _ask_node(
        self, issuer: NodeEntry, runner: Runner
    ) -> place_messages.PlaceAnswer | None:
        """Ask another node for a place; return its answer, or None if there is none."""
        held = self._held[runner.runner_id]
        held.asked[issuer.node_id] += 1
        answer = None
        try:
            answer = await self._pending.ask(
                lambda number: self._send(issuer, number, runner, wants=True)
            )
        finally:
            held.asked[issuer.node_id] -= 1
            is_granted = answer is not None and answer.granted
            if is_granted:
                held.grant(issuer.node_id, self._clock())
                held.reported[issuer.node_id] += 1
            if answer is None or held.is_misreported(issuer.node_id):
                self._report(issuer.node_id, runner)
        return answer

    def _take_own(self, runner: Runner) -> bool:
        own_id, held = self._state.node_id, self._held[runner.runner_id]
        holder, number = (own_id, self._incarnation), next(self._own_numbers)
        granted = self._grant(runner, holder, number, held.held_from(own_id))
        if granted:
            held.grant(own_id, self._clock())
        return granted

    def _grant(self, runner: Runner, holder: tuple[str, int], number: int, held: int) -> bool:
        """Return whether this node, as an issuer, grants a place."""
        self._update_list()
        now = self._clock()
        entry = runner.entry
        part = self._parts.settled_part(runner.runner_id, entry.zone, entry.slots, now)
        if not part and self._brittleness(runner) is Brittleness.UNKNOWN:
            # One request finds out.
            part = min(1, self._parts.own_part(runner.runner_id, entry.zone, entry.slots))
        return self._counts.take(runner.runner_id, holder, number, held, part, now)

    def _brittleness(self, runner: Runner) -> Brittleness:
        pool = self._state.pool
        if pool.tolerated_rejections(runner) is not None:
            return Brittleness.BRITTLE
        has_answered = pool.has_answered(runner.entry.service)
        return Brittleness.SOUND if has_answered else Brittleness.UNKNOWN

    def _take_unissued(self, runner: Runner, rejections_per_second: float) -> bool:
        """Return whether a request may be sent although no issuer answers."""
        now, runner_id = self._clock(), runner.runner_id
        share = UNISSUED_SHARE * rejections_per_second / self._state.nodes.budget_node_count(now)
        if share <= 0 or len(runner.attempts):
            return False
        due_at = self._unissued_at.get(runner_id)
        if due_at is None and self._brittleness(runner) is Brittleness.BRITTLE:
            # At random, since other nodes may have lost their issuers at the same time.
            due_at = self._unissued_at[runner_id] = now + self._rng.random() / share
        if due_at is not None and now < due_at:
            return False
        self._unissued_at[runner_id] = now + 1 / share
        return True

    def _update_list(self) -> None:
        nodes = self._state.nodes
        if nodes.generation != self._listed_generation:
            self._listed_generation = nodes.generation
            self._parts.list_nodes(nodes.all(), self._clock())

    def _are_near(self, zone: str, other: str) -> bool:
        return self._state.topology.are_same_region(zone, other)

    async def run(self) -> None:
        """Repeat the reports of places until cancelled."""
        while True:
            await asyncio.sleep(REPEAT_SECONDS)
            self._update_list()
            brittle = self._state.pool.brittle_runners()
            if not brittle:
                self._unissued_at.clear()
            known = {runner.runner_id: runner for runner in brittle}
            for runner_id in list(self._held):
                runner = known.get(runner_id) or self._state.pool.get(runner_id)
                if runner is None or not self._repeat(runner):
                    del self._held[runner_id]
            for runner in brittle:
                self.report_change(runner)
            self._counts.expire(self._clock())

    def _repeat(self, runner: Runner) -> bool:
        """Report the places at a runner again; return whether there are any."""
        held = self._held[runner.runner_id]
        issuers = self._parts.issuers(runner.runner_id, runner.entry.zone)
        if issuers:
            held.move(issuers)
        self.report_change(runner)
        for issuer in set(held.issuers):
            self._report(issuer, runner)
        return bool(held.issuers) or held.asked.total() > 0

    def report_change(self, runner: Runner) -> None:
        """Adapt the places to the requests at a runner, and report those that are released."""
        is_brittle = self._state.pool.tolerated_rejections(runner) is not None
        if not is_brittle and runner.runner_id not in self._held:
            return
        issuers = self._issuers(runner) if is_brittle else []
        held = self._held[runner.runner_id]
        first = issuers[0] if issuers else None
        for issuer in held.update(len(runner.attempts), first, self._clock()):
            self._report(issuer, runner)
            # The issuer has this place again, whatever it answered before.
            self._full_until.pop((runner.runner_id, issuer), None)
            runner.signals.no_place_until = -math.inf

    def _report(self, issuer: str, runner: Runner) -> None:
        """Report to an issuer how many of its places are held."""
        if issuer == self._state.node_id:
            holder = issuer, self._incarnation
            held = self._held[runner.runner_id].held_from(issuer)
            number = next(self._own_numbers)
            self._counts.report(runner.runner_id, holder, number, held, self._clock())
            return
        node = self._state.nodes.get(issuer)
        if node is not None:
            self._send(node, self._pending.next_number(), runner, wants=False)

    def _send(self, issuer: NodeEntry, number: int, runner: Runner, *, wants: bool) -> None:
        """Send a report; a question asks for one place more than it reports."""
        held = self._held[runner.runner_id]
        held.reported[issuer.node_id] = held.held_from(issuer.node_id) - wants
        question = PlaceQuestion(
            PROTOCOL_VERSION,
            self._state.node_id,
            number,
            runner.runner_id,
            len(held.issuers) + held.asked.total() - wants,
            wants,
            held.reported[issuer.node_id],
            self._incarnation,
        )
        self._link.send(DatagramKind.PLACE_QUESTION, pack(question), issuer.address)

    def _take_question(self, payload: bytes, peer: str) -> None:
        question = unpack(payload, PlaceQuestion, peer)
        node = self._state.nodes.get(question.node_id)
        if node is None:
            return
        holder = question.node_id, question.incarnation
        held = question.used if question.held == ALL_PLACES else question.held
        runner_id, number = question.runner_id, question.number
        if not question.wants:
            self._counts.report(runner_id, holder, number, held, self._clock())
            return
        runner = self._state.pool.get(runner_id)
        granted = runner is not None and self._grant(runner, holder, number, held)
        brittleness = Brittleness.UNKNOWN if runner is None else self._brittleness(runner)
        answer = place_messages.PlaceAnswer(
            PROTOCOL_VERSION, self._state.node_id, number, granted, brittleness
        )
        self._link.send(DatagramKind.PLACE_ANSWER, pack(answer), node.address)

    def _take_answer(self, payload: bytes, peer: str) -> None:
        answer = unpack(payload, place_messages.PlaceAnswer, peer)
        self._pending.take(answer.number, answer)
