"""Which runners a node reaches by its own connections, and through which peers it reaches others.

"This node does not reach the runner" and "the runner is down" are two facts. A path counts as lost
only if a peer reaches the runner while this node does not; a runner that nobody reaches is left to
the suspicions of ``runner_pool``. Paths are kept by address, as the network does.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field

from hillstack.core.rendezvous import ranked

# A peer that received bytes from a runner this much later than this node reached it after this node
# was cut off. One that was cut off at the same time may have received bytes a little later.
LATER_CONTACT_SECONDS = 0.2
# How long a relay that failed for an address is not used for it.
RELAY_PAUSE_SECONDS = 1.0
# Answers of peers are used for this long; while a path is lost, they are asked again sooner.
ANSWER_VALID_SECONDS = 2.0
# Addresses with a recorded contact: several times the runners of the largest deployment.
MAX_CONTACTS = 16_384


@dataclass(frozen=True, slots=True)
class PeerReach:
    """A peer's answer about its own contact with runners.

    Attributes:
        answered_at: When this node asked, on its own clock.
        heard_at: When the peer last received bytes, by address, on this node's clock.
        lost: Addresses that the peer itself does not reach.
    """

    node_id: str
    zone: str
    answered_at: float
    heard_at: dict[str, float]
    lost: frozenset[str]


@dataclass(slots=True)
class LostPath:
    """An address that this node does not reach while a peer does.

    Attributes:
        since: When the path was found lost.
        probe_at: When the path is next probed.
        used_at: When a connection to the address was last needed.
    """

    since: float
    probe_at: float
    used_at: float


@dataclass(slots=True)
class RunnerPaths:
    """The state of the paths from one node.

    Args:
        node_id: The node.
        zone: Zone of the node; relays of this zone come first.
    """

    node_id: str
    zone: str
    lost: dict[str, LostPath] = field(default_factory=dict)
    _contact_at: dict[str, float] = field(default_factory=dict)
    _peers: dict[str, PeerReach] = field(default_factory=dict)
    _paused_until: dict[tuple[str, str], float] = field(default_factory=dict)
    # When bytes last arrived through a peer, by peer and address.
    _relayed_at: dict[tuple[str, str], float] = field(default_factory=dict)
    # The peer that relayed the latest connection, by address.
    _latest_relays: dict[str, str] = field(default_factory=dict)

    def record_contact(self, address: str, now: float) -> None:
        """Record bytes that arrived over this node's own connection."""
        if len(self._contact_at) >= MAX_CONTACTS and address not in self._contact_at:
            self._contact_at.clear()
        self._contact_at[address] = now

    def contact_at(self, address: str) -> float:
        """Return when bytes last arrived over this node's own connections; minus infinity if never.

        Bytes that came through a relay don't count.
        """
        return self._contact_at.get(address, float("-inf"))

    def is_lost(self, address: str) -> bool:
        """Return whether this node reaches an address only through peers."""
        return address in self.lost

    def mark_lost(self, address: str, now: float, probe_after: float) -> bool:
        """Record that a peer reaches an address and this node does not.

        Returns:
            Whether the path was not lost before.
        """
        if address in self.lost:
            return False
        self.lost[address] = LostPath(now, now + probe_after, now)
        return True

    def restore(self, address: str) -> LostPath | None:
        """Record that this node's own connection was answered; return the lost path, if it was."""
        return self.lost.pop(address, None)

    def note_use(self, address: str, now: float) -> None:
        """Record that a connection to an address is needed."""
        path = self.lost.get(address)
        if path is not None:
            path.used_at = now

    def probes_due(self, now: float, interval: float, limit: int) -> list[str]:
        """Return the lost paths to probe now, those waiting longest first, and plan the next probe.

        Args:
            now: Time on the node's clock.
            interval: Seconds until the next probe of each returned path.
            limit: Maximum number of paths.
        """
        due = sorted(
            (path.probe_at, address) for address, path in self.lost.items() if now >= path.probe_at
        )
        chosen = [address for _, address in due[:limit]]
        for address in chosen:
            self.lost[address].probe_at = now + interval
        return chosen

    def note_answer(self, answer: PeerReach) -> None:
        """Record a peer's answer, in place of its earlier ones."""
        self._peers[answer.node_id] = answer

    def pause_relay(self, node_id: str, address: str, now: float) -> None:
        """Record that a peer failed as the relay for an address."""
        self._paused_until[node_id, address] = now + RELAY_PAUSE_SECONDS

    def note_relay(self, node_id: str, address: str) -> None:
        """Record that a peer has opened a connection to an address."""
        self._latest_relays[address] = node_id

    def record_relayed_contact(self, node_id: str, address: str, now: float) -> None:
        """Record bytes that arrived through a peer."""
        self._relayed_at[node_id, address] = now

    def pause_latest_relay(self, address: str, now: float) -> None:
        """Record that the latest relayed connection to an address is silent."""
        node_id = self._latest_relays.get(address)
        if node_id is not None:
            self.pause_relay(node_id, address, now)

    def needs_answers(self, address: str, now: float, max_age: float) -> bool:
        """Return whether no peer reported within ``max_age`` seconds that it may reach an address.

        Args:
            address: The address.
            now: Time on the node's clock.
            max_age: Greatest age of an answer, in seconds.
        """
        relays = (self._peers[node_id] for node_id in self.relays(address, now))
        return not any(now - peer.answered_at <= max_age for peer in relays)

    def has_relays(self, address: str, now: float) -> bool:
        """Return whether a peer has answered that may reach an address, or failed to lately."""
        return any(self._may_reach(peer, address, now) for peer in self._peers.values())

    def relays(self, address: str, now: float, *, with_paused: bool = False) -> list[str]:
        """Return the peers that may reach an address, the best first.

        Peers that have reached the address since this node was cut off come first, those of this
        node's zone before others. The other peers follow, those with the latest contact first, and
        alternately of this zone and of others, because a whole zone may be cut off. Among equal
        peers the order differs from node to node, which spreads the load.

        Args:
            address: The address.
            now: Time on the node's clock.
            with_paused: Whether peers that failed as relays lately are included.
        """
        usable = [
            peer
            for peer in self._peers.values()
            if self._may_reach(peer, address, now)
            and (with_paused or not self._is_paused(peer, address, now))
        ]
        by_name = {peer.node_id: peer for peer in usable}
        spread = [by_name[n] for n in ranked(f"{self.node_id} {address}", list(by_name))]
        lost = self.lost.get(address)
        cut_at = lost.since if lost is not None else self.contact_at(address)
        reached_at = {peer.node_id: self._reached_at(peer, address) for peer in usable}
        proven: list[PeerReach] = []
        others: list[PeerReach] = []
        for peer in sorted(spread, key=lambda peer: -reached_at[peer.node_id]):
            is_later = reached_at[peer.node_id] > cut_at + LATER_CONTACT_SECONDS
            (proven if is_later else others).append(peer)
        proven.sort(key=lambda peer: (peer.zone != self.zone, spread.index(peer)))
        return [peer.node_id for peer in [*proven, *self._alternate_zones(others)]]

    def _reached_at(self, peer: PeerReach, address: str) -> float:
        """Return when a peer last received bytes of an address, for itself or for this node."""
        heard_at = peer.heard_at.get(address, float("-inf"))
        return max(heard_at, self._relayed_at.get((peer.node_id, address), float("-inf")))

    def _alternate_zones(self, peers: list[PeerReach]) -> list[PeerReach]:
        own_zone = [peer for peer in peers if peer.zone == self.zone]
        elsewhere = [peer for peer in peers if peer.zone != self.zone]
        pairs = itertools.zip_longest(own_zone, elsewhere)
        return [peer for pair in pairs for peer in pair if peer is not None]

    def _may_reach(self, peer: PeerReach, address: str, now: float) -> bool:
        return now - peer.answered_at <= ANSWER_VALID_SECONDS and address not in peer.lost

    def _is_paused(self, peer: PeerReach, address: str, now: float) -> bool:
        return now < self._paused_until.get((peer.node_id, address), float("-inf"))

    def retain(self, addresses: Iterable[str], now: float) -> list[str]:
        """Drop the state of addresses that are no longer known, and outdated answers.

        Returns:
            The dropped addresses whose paths were lost.
        """
        known = set(addresses)
        dropped = [address for address in self.lost if address not in known]
        for address in dropped:
            del self.lost[address]
        self._latest_relays = {
            address: node_id for address, node_id in self._latest_relays.items() if address in known
        }
        self._relayed_at = {
            relay: at for relay, at in self._relayed_at.items() if now - at <= ANSWER_VALID_SECONDS
        }
        self._peers = {
            node_id: peer
            for node_id, peer in self._peers.items()
            if now - peer.answered_at <= ANSWER_VALID_SECONDS
        }
        self._paused_until = {
            relay: until for relay, until in self._paused_until.items() if now < until
        }
        return dropped
