"""Membership of nodes by probing and gossip, following the SWIM protocol.

Each node probes one other node per interval: usually one of its own zone, periodically one of
another zone. A node that answers neither the direct probe nor the indirect probes through other
nodes becomes suspect; it becomes dead unless it refutes the suspicion in time. Membership changes
are piggybacked on probes and their acknowledgements, each a bounded number of times, so that the
load of a node does not grow with the number of nodes. Dead nodes and seeds that are not members are
probed periodically, so that the two sides of a network partition find each other again.
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

MAX_UPDATES_PER_MESSAGE = 10
TRANSMIT_FACTOR = 3
REMOTE_PROBE_EVERY = 4
RECONNECT_PROBE_EVERY = 5
INDIRECT_PROBE_HELPERS = 2
FORGET_DEAD_SECONDS = 4_000.0


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """Intervals of the protocol, in seconds."""

    probe_interval: float = 0.5
    suspect_timeout: float = 3.0

    @property
    def indirect_after(self) -> float:
        """Time without an acknowledgement after which other nodes are asked to probe the target."""
        return self.probe_interval

    @property
    def suspect_after(self) -> float:
        """Time without an acknowledgement after which a probed node becomes suspect."""
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
class _IndirectProbe:
    origin_address: str
    origin_sequence: int
    expires_at: float


class Membership:
    """The member list of one node.

    Args:
        own: This node in state alive, with its start time in milliseconds as incarnation.
        seeds: Addresses that are probed until they belong to members.
        timing: Intervals of the protocol.
        rng: Source of randomness.

    Attributes:
        leaving: Back ends that are leaving; every message carries them.
    """

    def __init__(
        self, own: Member, seeds: Iterable[str], timing: MembershipTiming, rng: Random
    ) -> None:
        self._own = own
        self._seeds = [seed for seed in seeds if seed != own.address]
        self._timing = timing
        self._rng = rng
        self._members: dict[str, Member] = {}
        # Time at which each suspect, dead or left member entered that state; all others are alive.
        self._not_alive: dict[str, float] = {}
        self._generation = 0
        self._by_zone: dict[str, list[str]] | None = None
        self._transmits: dict[str, int] = {}
        self._probes: dict[int, _Probe] = {}
        self._indirect_probes: dict[int, _IndirectProbe] = {}
        self._sequence = 0
        self._round = 0
        self._next_probe_at = 0.0
        self._local_queue: list[str] = []
        self._remote_queue: list[str] = []
        self._acknowledged: set[str] = set()
        self._synchronized = False
        self._refutations = 0
        self.leaving: tuple[LeavingNotice, ...] = ()

    @property
    def refutations(self) -> int:
        """How often this node refuted a report that it is suspect, dead or has left."""
        return self._refutations

    @property
    def generation(self) -> int:
        """A number that rises with each change of the member list or of what is known of this node.

        These are a changed member entry, a node's first acknowledgement of a probe, a refutation,
        the departure of this node, and its first merge of a full list. The number does not rise
        when a dead member is forgotten or when only a member's bundle version changes.
        """
        return self._generation

    def is_known_to_zone(self) -> bool:
        """Return whether all nodes of the zone have this node in their member lists.

        This is known once a peer has sent its full member list and every node of the zone in it has
        acknowledged a probe of this node: a node that acknowledges has merged the sender.
        """
        others = set(self.by_zone().get(self._own.zone, ())) - {self._own.node_id}
        return self._synchronized and others <= self._acknowledged

    def on_synchronized(self, members: Iterable[Member], now: float) -> None:
        """Merge the full member list of a peer."""
        if not self._synchronized:
            self._synchronized = True
            self._mark_changed()
        self.merge(members, now, announce=False)

    @property
    def own(self) -> Member:
        """This node's own member entry, as sent to others."""
        return self._own

    def members(self) -> list[Member]:
        """Return all other known members, including dead ones."""
        return list(self._members.values())

    def serving(self) -> list[Member]:
        """Return the nodes, including this one, that are not dead and have not left."""
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
        """Set the bundle version in force on this node; every message carries it."""
        self._own = replace(self._own, bundle_version=version)

    def leave(self) -> list[Datagram]:
        """Return messages that announce to a few other nodes that this node leaves."""
        self._own = replace(self._own, state=MemberState.LEFT)
        self._mark_changed()
        alive = [entry for entry in self._members.values() if entry.state is MemberState.ALIVE]
        targets = self._rng.sample(alive, min(len(alive), 2 * INDIRECT_PROBE_HELPERS))
        return [Datagram(target.address, self._ping()) for target in targets]

    def on_tick(self, now: float) -> list[Datagram]:
        """Advance timers; to be called several times per probe interval."""
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
            self._announce_if_contradicted(message.sender)
            return [Datagram(address, self._ack(message.sequence))]
        if isinstance(message, PingRequest):
            return [self._probe_for_other(message, address, now)]
        return self._on_ack(message, now)

    def merge(self, updates: Iterable[Member], now: float, *, announce: bool = True) -> None:
        """Merge member entries received from other nodes.

        Args:
            updates: The member entries.
            now: Time on the node's clock.
            announce: Whether to gossip the changes. Entries of a full list are not gossiped: each
                node exchanges full lists itself, and a new node would gossip every entry.
        """
        for update in updates:
            if update.node_id == self._own.node_id:
                self._refute(update)
            elif self._apply(update, now) and announce:
                self._announce(update.node_id)

    def digest(self) -> int:
        """Return a digest of all members, including this node; equal lists have equal digests."""
        all_members = [self._own, *self._members.values()]
        entries = sorted((m.node_id, m.incarnation, m.state) for m in all_members)
        return xxh3_64_intdigest(repr(entries).encode())

    def snapshot(self) -> tuple[Member, ...]:
        """Return this node and all members, for the exchange of full lists."""
        return (self._own, *self._members.values())

    def _refute(self, update: Member) -> None:
        if self._own.state is MemberState.LEFT:
            return
        if update.incarnation < self._own.incarnation:
            return
        if update.state is MemberState.ALIVE and update.incarnation == self._own.incarnation:
            return
        self._refutations += 1
        self._mark_changed()
        self._own = replace(self._own, incarnation=update.incarnation + 1)
        self._announce(self._own.node_id)

    def _apply(self, update: Member, now: float) -> bool:
        """Apply an update; return whether it changed the member's entry or state."""
        known = self._members.get(update.node_id)
        if known is not None and not _supersedes(update, known):
            self._raise_bundle_version(known, update)
            return False
        self._members[update.node_id] = update
        if update.state is MemberState.ALIVE:
            self._not_alive.pop(update.node_id, None)
        else:
            self._not_alive[update.node_id] = now
        self._mark_changed()
        return True

    def _raise_bundle_version(self, known: Member, update: Member) -> None:
        if update.incarnation == known.incarnation and update.bundle_version > known.bundle_version:
            raised = replace(known, bundle_version=update.bundle_version)
            self._members[known.node_id] = raised

    def _change_state(self, member: Member, state: MemberState, now: float) -> None:
        """Change a member's state because of this node's own probes, and announce the change."""
        self._apply(replace(member, state=state), now)
        self._announce(member.node_id)

    def _mark_changed(self) -> None:
        self._generation += 1
        self._by_zone = None

    def _announce(self, node_id: str) -> None:
        self._transmits[node_id] = 0

    def _announce_if_contradicted(self, sender: Member) -> None:
        # This node holds another state of the sender than the sender itself, such as dead. The
        # acknowledgement must carry that state, so that the sender refutes it.
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
            disconnected = self._disconnected_addresses()
            if disconnected:
                effects.append(Datagram(self._rng.choice(disconnected), self._ping()))
        return effects

    def _disconnected_addresses(self) -> list[str]:
        known = {member.address for member in self._members.values()}
        unknown_seeds = [seed for seed in self._seeds if seed not in known]
        not_alive = [self._members[node_id] for node_id in self._not_alive]
        dead = [member.address for member in not_alive if member.state is MemberState.DEAD]
        return unknown_seeds + dead

    def _next_target(self) -> Member | None:
        is_remote_round = self._round % REMOTE_PROBE_EVERY == 0
        first = self._pop_target(is_remote_round)
        return first if first is not None else self._pop_target(not is_remote_round)

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
        chosen = self._rng.sample(helpers, min(INDIRECT_PROBE_HELPERS, len(helpers)))
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
        for sequence, indirect in list(self._indirect_probes.items()):
            if indirect.expires_at <= now:
                del self._indirect_probes[sequence]

    def _probe_for_other(self, request: PingRequest, address: str, now: float) -> Datagram:
        ping = self._ping()
        expires_at = now + self._timing.suspect_after
        self._indirect_probes[ping.sequence] = _IndirectProbe(address, request.sequence, expires_at)
        return Datagram(request.target_address, ping)

    def _on_ack(self, ack: Ack, now: float) -> list[Datagram]:
        if ack.sender.node_id not in self._acknowledged:
            self._acknowledged.add(ack.sender.node_id)
            self._mark_changed()
        self._probes.pop(ack.sequence, None)
        indirect = self._indirect_probes.pop(ack.sequence, None)
        if indirect is None:
            return []
        forwarded = Ack(indirect.origin_sequence, ack.sender, self._updates(), self.leaving)
        return [Datagram(indirect.origin_address, forwarded)]

    def _ping(self) -> Ping:
        self._sequence += 1
        return Ping(self._sequence, self._own, self._updates(), self.leaving)

    def _ack(self, sequence: int) -> Ack:
        return Ack(sequence, self._own, self._updates(), self.leaving)

    def _updates(self) -> tuple[Member, ...]:
        limit = TRANSMIT_FACTOR * math.ceil(math.log2(len(self._members) + 2))
        waiting = sorted(self._transmits, key=lambda node_id: self._transmits[node_id])
        chosen = []
        for node_id in waiting[:MAX_UPDATES_PER_MESSAGE]:
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
