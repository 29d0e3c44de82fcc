"""Membership of nodes by probing and gossip, after SWIM.

Each node probes one other node per interval: mostly of its own zone, now and then of another. A
node that does not answer, also not to others asked to probe it, becomes suspect, and dead unless
it refutes in time. Changes travel on probes and their answers, each a bounded number of times, so
that the load of a node does not grow with the number of nodes. Dead nodes and seeds are probed
now and then, so that the two sides of a cut find each other again.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from xxhash import xxh3_64_intdigest

from hillstack.messages.types import (
    Ack,
    Gossip,
    LeavingNotice,
    Member,
    MemberState,
    Ping,
    PingRequest,
)

UPDATES_PER_MESSAGE = 10
TRANSMIT_FACTOR = 3
REMOTE_PROBE_EVERY = 4
RECONNECT_PROBE_EVERY = 5
HELPERS = 2
FORGET_DEAD_SECONDS = 4_000.0


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """Intervals of the protocol, in seconds."""

    probe_interval: float = 0.5
    suspect_timeout: float = 3.0

    @property
    def indirect_after(self) -> float:
        """Silence after which others are asked to probe."""
        return self.probe_interval

    @property
    def suspect_after(self) -> float:
        """Silence after which a probed node is suspect."""
        return 2 * self.probe_interval


@dataclass(frozen=True, slots=True)
class Datagram:
    """Effect: send a message to an address."""

    address: str
    message: Gossip


@dataclass(slots=True)
class _Probe:
    target_id: str
    sent_at: float
    helpers_asked: bool = False


@dataclass(slots=True)
class _Relay:
    origin_address: str
    origin_sequence: int
    expires_at: float


class Membership:
    """The member list of one node.

    Args:
        own: This node, alive, with its start time in milliseconds as incarnation.
        seeds: Addresses probed until they are members.
        timing: Intervals.
        rng: Source of randomness.

    Attributes:
        leaving: Back ends that leave, told to others with each message.
    """

    def __init__(
        self, own: Member, seeds: Iterable[str], timing: MembershipTiming, rng: Random
    ) -> None:
        self._own = own
        self._seeds = [seed for seed in seeds if seed != own.address]
        self._timing = timing
        self._rng = rng
        self._members: dict[str, Member] = {}
        # Suspect, dead and left members and the time of that change; all others are alive.
        self._not_alive: dict[str, float] = {}
        self._generation = 0
        self._by_zone: dict[str, list[str]] | None = None
        self._transmits: dict[str, int] = {}
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._sequence = 0
        self._round = 0
        self._next_probe_at = 0.0
        self._local_queue: list[str] = []
        self._remote_queue: list[str] = []
        self._heard: set[str] = set()
        self._synchronized = False
        self._refutations = 0
        self.leaving: tuple[LeavingNotice, ...] = ()

    @property
    def refutations(self) -> int:
        """How often this node refuted a belief that it is suspect or dead."""
        return self._refutations

    @property
    def generation(self) -> int:
        """A number that rises whenever a member changes state or a node is heard from first."""
        return self._generation

    def is_known_to_zone(self) -> bool:
        """Return whether a peer gave its member list and all nodes of the zone answered here.

        Whoever answered has this node in its own list.
        """
        others = set(self.by_zone().get(self._own.zone, ())) - {self._own.node_id}
        return self._synchronized and others <= self._heard

    def on_synchronized(self, members: Iterable[Member], now: float) -> None:
        """Take in the whole member list of a peer."""
        if not self._synchronized:
            self._synchronized = True
            self._note_change()
        self.merge(members, now, announce=False)

    @property
    def own(self) -> Member:
        """This node as it announces itself."""
        return self._own

    def members(self) -> list[Member]:
        """Return all other members known, dead ones included."""
        return list(self._members.values())

    def serving(self) -> list[Member]:
        """Return this node and the others that are not dead and have not left."""
        others = [entry for entry in self._members.values() if entry.state <= MemberState.SUSPECT]
        if self._own.state is MemberState.ALIVE:
            others.append(self._own)
        return others

    def by_zone(self) -> dict[str, list[str]]:
        """Return the identifiers of serving nodes by zone."""
        if self._by_zone is None:
            self._by_zone = {}
            for member in self.serving():
                self._by_zone.setdefault(member.zone, []).append(member.node_id)
        return self._by_zone

    def address_of(self, node_id: str) -> str | None:
        """Return the peer address of a member."""
        if node_id == self._own.node_id:
            return self._own.address
        member = self._members.get(node_id)
        return member.address if member else None

    def set_bundle_version(self, version: int) -> None:
        """Announce the bundle version in force here; every message carries it."""
        self._own = replace(self._own, bundle_version=version)

    def leave(self) -> list[Datagram]:
        """Announce that this node leaves, to a few others at once."""
        self._own = replace(self._own, state=MemberState.LEFT)
        self._note_change()
        alive = [entry for entry in self._members.values() if entry.state is MemberState.ALIVE]
        targets = self._rng.sample(alive, min(len(alive), 2 * HELPERS))
        return [Datagram(target.address, self._ping()) for target in targets]

    def on_tick(self, now: float) -> list[Datagram]:
        """Advance timers; call several times per probe interval."""
        effects = self._check_probes(now)
        self._expire(now)
        if now >= self._next_probe_at and self._own.state is MemberState.ALIVE:
            self._next_probe_at = now + self._timing.probe_interval
            effects += self._probe_next(now)
        return effects

    def on_message(self, message: Gossip, address: str, now: float) -> list[Datagram]:
        """Handle a message that arrived from ``address``."""
        self.merge((message.sender, *message.updates), now)
        if isinstance(message, Ping):
            self._tell_if_wrong(message.sender)
            return [Datagram(address, self._ack(message.sequence))]
        if isinstance(message, PingRequest):
            return [self._relay_probe(message, address, now)]
        return self._on_ack(message, now)

    def merge(self, updates: Iterable[Member], now: float, *, announce: bool = True) -> None:
        """Take in what others say about members.

        Args:
            announce: Whether to pass changes on. What came as a whole list is not passed on: each
                node exchanges whole lists itself, and a new node would gossip all of them.
        """
        for update in updates:
            if update.node_id == self._own.node_id:
                self._refute(update)
            elif self._apply(update, now) and announce:
                self._announce(update.node_id)

    def digest(self) -> int:
        """Return a digest of all members, this one included, that is equal for equal lists."""
        everyone = [self._own, *self._members.values()]
        entries = sorted((m.node_id, m.incarnation, m.state) for m in everyone)
        return xxh3_64_intdigest(repr(entries).encode())

    def snapshot(self) -> tuple[Member, ...]:
        """Return this node and all members, for a full exchange."""
        return (self._own, *self._members.values())

    def _refute(self, update: Member) -> None:
        if self._own.state is MemberState.LEFT:
            return
        if update.incarnation < self._own.incarnation:
            return
        if update.state is MemberState.ALIVE and update.incarnation == self._own.incarnation:
            return
        self._refutations += 1
        self._note_change()
        self._own = replace(self._own, incarnation=update.incarnation + 1)
        self._announce(self._own.node_id)

    def _apply(self, update: Member, now: float) -> bool:
        """Take over an update and return whether it was news."""
        known = self._members.get(update.node_id)
        if known is not None and not _supersedes(update, known):
            self._raise_bundle_version(known, update)
            return False
        self._members[update.node_id] = update
        if update.state is MemberState.ALIVE:
            self._not_alive.pop(update.node_id, None)
        else:
            self._not_alive[update.node_id] = now
        self._note_change()
        return True

    def _raise_bundle_version(self, known: Member, update: Member) -> None:
        if update.incarnation == known.incarnation and update.bundle_version > known.bundle_version:
            raised = replace(known, bundle_version=update.bundle_version)
            self._members[known.node_id] = raised

    def _change_state(self, member: Member, state: MemberState, now: float) -> None:
        """Change a member's state by this node's own finding, and pass it on."""
        self._apply(replace(member, state=state), now)
        self._announce(member.node_id)

    def _note_change(self) -> None:
        self._generation += 1
        self._by_zone = None

    def _announce(self, node_id: str) -> None:
        self._transmits[node_id] = 0

    def _tell_if_wrong(self, sender: Member) -> None:
        # A node believed dead speaks: the answer must carry that belief, so that it refutes.
        known = self._members.get(sender.node_id)
        if known is not None and known.state is not sender.state:
            self._announce(sender.node_id)

    def _probe_next(self, now: float) -> list[Datagram]:
        self._round += 1
        effects = []
        target = self._next_target()
        if target is not None:
            ping = self._ping()
            self._probes[ping.sequence] = _Probe(target.node_id, now)
            effects.append(Datagram(target.address, ping))
        if target is None or self._round % RECONNECT_PROBE_EVERY == 0:
            lost = self._lost_addresses()
            if lost:
                effects.append(Datagram(self._rng.choice(lost), self._ping()))
        return effects

    def _lost_addresses(self) -> list[str]:
        known = {member.address for member in self._members.values()}
        unmet = [seed for seed in self._seeds if seed not in known]
        gone = [self._members[node_id] for node_id in self._not_alive]
        dead = [member.address for member in gone if member.state is MemberState.DEAD]
        return unmet + dead

    def _next_target(self) -> Member | None:
        remote_turn = self._round % REMOTE_PROBE_EVERY == 0
        first = self._pop_target(remote_turn)
        return first if first is not None else self._pop_target(not remote_turn)

    def _pop_target(self, remote: bool) -> Member | None:
        queue = self._remote_queue if remote else self._local_queue
        for _ in range(2):
            while queue:
                member = self._members.get(queue.pop())
                if member is not None and member.state <= MemberState.SUSPECT:
                    return member
            queue.extend(
                member.node_id
                for member in self._members.values()
                if member.state <= MemberState.SUSPECT and (member.zone != self._own.zone) == remote
            )
            self._rng.shuffle(queue)
        return None

    def _check_probes(self, now: float) -> list[Datagram]:
        effects = []
        for sequence, probe in list(self._probes.items()):
            target = self._members.get(probe.target_id)
            silence = now - probe.sent_at
            if target is None or silence >= self._timing.suspect_after:
                del self._probes[sequence]
                self._suspect(target, now)
            elif silence >= self._timing.indirect_after and not probe.helpers_asked:
                probe.helpers_asked = True
                effects += self._ask_helpers(sequence, target)
        return effects

    def _ask_helpers(self, sequence: int, target: Member) -> list[Datagram]:
        helpers = [
            member
            for member in self._members.values()
            if member.state is MemberState.ALIVE and member.node_id != target.node_id
        ]
        chosen = self._rng.sample(helpers, min(HELPERS, len(helpers)))
        request = PingRequest(sequence, self._own, target.address, self._updates(), self.leaving)
        return [Datagram(helper.address, request) for helper in chosen]

    def _suspect(self, target: Member | None, now: float) -> None:
        if target is not None and target.state is MemberState.ALIVE:
            self._change_state(target, MemberState.SUSPECT, now)

    def _expire(self, now: float) -> None:
        for node_id, changed_at in list(self._not_alive.items()):
            member, age = self._members[node_id], now - changed_at
            if member.state is MemberState.SUSPECT and age >= self._timing.suspect_timeout:
                self._change_state(member, MemberState.DEAD, now)
            elif member.state >= MemberState.DEAD and age >= FORGET_DEAD_SECONDS:
                del self._members[node_id]
                del self._not_alive[node_id]
                self._transmits.pop(node_id, None)
        for sequence, relay in list(self._relays.items()):
            if relay.expires_at <= now:
                del self._relays[sequence]

    def _relay_probe(self, request: PingRequest, address: str, now: float) -> Datagram:
        ping = self._ping()
        expires_at = now + self._timing.suspect_after
        self._relays[ping.sequence] = _Relay(address, request.sequence, expires_at)
        return Datagram(request.target_address, ping)

    def _on_ack(self, ack: Ack, now: float) -> list[Datagram]:
        if ack.sender.node_id not in self._heard:
            self._heard.add(ack.sender.node_id)
            self._note_change()
        self._probes.pop(ack.sequence, None)
        relay = self._relays.pop(ack.sequence, None)
        if relay is None:
            return []
        forwarded = Ack(relay.origin_sequence, ack.sender, self._updates(), self.leaving)
        return [Datagram(relay.origin_address, forwarded)]

    def _ping(self) -> Ping:
        self._sequence += 1
        return Ping(self._sequence, self._own, self._updates(), self.leaving)

    def _ack(self, sequence: int) -> Ack:
        return Ack(sequence, self._own, self._updates(), self.leaving)

    def _updates(self) -> tuple[Member, ...]:
        limit = TRANSMIT_FACTOR * math.ceil(math.log2(len(self._members) + 2))
        waiting = sorted(self._transmits, key=lambda node_id: self._transmits[node_id])
        chosen = []
        for node_id in waiting[:UPDATES_PER_MESSAGE]:
            member = self._own if node_id == self._own.node_id else self._members.get(node_id)
            self._transmits[node_id] += 1
            if member is None or self._transmits[node_id] >= limit:
                del self._transmits[node_id]
            if member is not None:
                chosen.append(member)
        return tuple(chosen)


def _supersedes(update: Member, known: Member) -> bool:
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return update.state > known.state
