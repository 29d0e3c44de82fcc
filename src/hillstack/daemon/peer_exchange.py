"""Notices to and from the other nodes, in datagrams.

What changes is collected for a short time and sent to all peers together. Large prefills are told
sooner than loads: there are few of them, and each counts.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from hillstack.addresses import split_address
from hillstack.core.cache_watch import NodeLiveness
from hillstack.core.runner_pool import PeerLoad, Runner
from hillstack.daemon.cache_follower import CacheEntry
from hillstack.daemon.notice_outbox import NoticeOutbox
from hillstack.errors import CodecError
from hillstack.messages import peer_notices
from hillstack.messages.peer_notices import (
    AnnouncementNotice,
    CacheNotice,
    LoadNotice,
    NodeNotice,
    PlacementNotice,
    WeightsNotice,
    WeightsPhase,
)
from hillstack.serving.fleet_state import FleetState

logger = logging.getLogger(__name__)

FLUSH_SECONDS = 0.05
PLACEMENT_SECONDS = 0.02
REFRESH_SECONDS = 0.8
PEERS_AT_FULL_RATE = 12
INCARNATION_BITS = 32

PlacementHandler = Callable[[PlacementNotice, float], None]
PeerHandler = Callable[[str], None]


class PeerExchange(asyncio.DatagramProtocol):
    """Sends and takes notices.

    Args:
        state: What the node knows.
        clock: Monotonic seconds.
        rng: Source of randomness.
    """

    def __init__(self, state: FleetState, clock: Callable[[], float], rng: Random) -> None:
        self._state = state
        self._clock = clock
        self._outbox = NoticeOutbox(state.node_id, rng.getrandbits(INCARNATION_BITS))
        self._liveness = NodeLiveness(state.node_id, clock())
        self._transport: asyncio.DatagramTransport | None = None
        self._flush_handle: asyncio.TimerHandle | None = None
        self._placement_handle: asyncio.TimerHandle | None = None
        self._on_placement: PlacementHandler | None = None
        self._on_new_peer: PeerHandler | None = None
        # Each node asks the store at its own times: the first to hear of a version tells the rest.
        state.handle_weights_named(self._tell_announcements)

    async def open(self, host: str, port: int) -> None:
        """Begin to listen."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def handle_placements(self, handler: PlacementHandler) -> None:
        """Call a handler for each placement that a peer tells of."""
        self._on_placement = handler

    def handle_new_peers(self, handler: PeerHandler) -> None:
        """Call a handler with the name of each peer whose process is heard for the first time."""
        self._on_new_peer = handler

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def live_zones(self) -> dict[str, str]:
        """Return the zone of each node that is alive."""
        now = self._clock()
        return {
            node_id: zone
            for node_id, zone in self._state.node_zones.items()
            if self._liveness.is_alive(node_id, now)
        }

    def placed(self, notice: PlacementNotice) -> None:
        """Tell what was sent to a runner, soon: until then the peers send there too."""
        self._outbox.add_placement(notice)
        if self._placement_handle is None:
            loop = asyncio.get_running_loop()
            self._placement_handle = loop.call_later(PLACEMENT_SECONDS, self._flush_placements)

    def load_changed(self, runner: Runner) -> None:
        """Tell the load that this node has on a runner."""
        self._outbox.add_load(runner)
        self._schedule()

    def cached(self, holder_id: str, entry: CacheEntry) -> None:
        """Tell what a holder keeps of a part."""
        self._outbox.add_cached(holder_id, entry)
        self._schedule()

    def cache_lost(self, holder_id: str) -> None:
        """Tell that a holder has lost everything, at once."""
        self._outbox.add_cache_lost(holder_id)
        self.flush()

    def store_unavailable(self, address: str) -> None:
        """Tell that a store of kept KV cache does not answer, at once."""
        self._outbox.add_unavailable(address)
        self.flush()

    def send_cache(self, node_id: str, holder_id: str, entries: Sequence[CacheEntry]) -> None:
        """Tell one peer what a holder keeps."""
        address = self._state.node_addresses.get(node_id)
        if address is None or self._transport is None:
            return
        for notice in self._outbox.cache_of(holder_id, entries):
            self._transport.sendto(peer_notices.encode(notice), split_address(address))

    def weights(self, notice: WeightsNotice) -> None:
        """Tell that a runner loads weights or serves a version, at once."""
        self._outbox.add_weights(notice)
        self.flush()

    def suspected(self, runner: Runner) -> None:
        """Tell that a runner is silent, at once."""
        self._outbox.add_suspected(runner.runner_id)
        self.flush()

    async def run(self) -> None:
        """Repeat this node's loads now and then, until cancelled.

        The first notice goes out as soon as the peers are known: they answer with what is cached.
        """
        await self._state.start_gate.passed()
        while True:
            self.repeat_loads()
            await asyncio.sleep(max(REFRESH_SECONDS, self.flush_seconds()))

    def repeat_loads(self) -> None:
        """Send all of this node's loads again, since peers forget them after a while.

        Versions that were named lately go with them, for peers that have just started. It is the
        node's heartbeat too, so it is sent when there is nothing to tell.
        """
        for runner in self._state.pool.all():
            if runner.attempts:
                self._outbox.add_load(runner)
        self._outbox.set_announcements(self._recent_announcements())
        self.flush()

    def _recent_announcements(self) -> list[AnnouncementNotice]:
        now = self._clock()
        versions = self._state.versions
        return [
            AnnouncementNotice(model, entry.version, int((now - entry.acknowledged_after) * 1000))
            for model in versions.models()
            for entry in versions.announcements(model)
            if now - entry.acknowledged_after < versions.grace
        ]

    def flush(self) -> None:
        """Send everything that was collected."""
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
        self._send_to_all(self._outbox.take())

    def _flush_placements(self) -> None:
        self._placement_handle = None
        self._send_to_all([self._outbox.take_placements()])

    def _send_to_all(self, notices: Sequence[NodeNotice]) -> None:
        if self._transport is None:
            return
        datagrams = [peer_notices.encode(notice) for notice in notices]
        for node_id, address in self._state.node_addresses.items():
            if node_id == self._state.node_id:
                continue
            for datagram in datagrams:
                self._transport.sendto(datagram, split_address(address))

    def flush_seconds(self) -> float:
        """Return how long changes are collected: longer with more peers.

        So the datagrams a second that a node sends and takes do not grow with the deployment.
        """
        peers = len(self._state.node_addresses)
        return FLUSH_SECONDS * max(1.0, peers / PEERS_AT_FULL_RATE)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Take a peer's notice."""
        try:
            notice = peer_notices.decode(data, str(addr[0]))
        except CodecError as error:
            logger.debug("notice dropped", extra={"peer": error.peer, "error": error.message})
            return
        now = self._clock()
        is_new = self._liveness.heard(notice.node_id, notice.incarnation, now)
        self._take_loads(notice, now)
        self._take_cache(notice, now)
        for entry in notice.announcements:
            self._take_announcement(entry, now)
        if self._on_placement is not None:
            for placement in notice.placements:
                self._on_placement(placement, now)
        if is_new and self._on_new_peer is not None:
            self._on_new_peer(notice.node_id)

    def error_received(self, exc: Exception) -> None:
        """Pass over a refused datagram: the peer is not there."""

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def _schedule(self) -> None:
        if self._flush_handle is None:
            loop = asyncio.get_running_loop()
            self._flush_handle = loop.call_later(self.flush_seconds(), self.flush)

    def _take_loads(self, notice: NodeNotice, now: float) -> None:
        for load in notice.loads:
            self._take_load(notice.node_id, load, now)
        for weights in notice.weights:
            self._take_weights(weights, now)
        for runner_id in notice.suspected:
            runner = self._state.pool.get(runner_id)
            if runner is not None:
                self._state.pool.suspected_by_peer(runner, now)

    def _take_announcement(self, entry: AnnouncementNotice, now: float) -> None:
        """Take over when a version was named; or that it was, before the store is asked again."""
        named_at = now - entry.age_ms / 1000
        if entry.version > self._state.versions.newest(entry.model):
            self._state.note_weights_named(entry.model, entry.version, named_at, "peer")
        else:
            self._state.versions.narrow(entry.model, entry.version, named_at)

    def _tell_announcements(self) -> None:
        self._outbox.set_announcements(self._recent_announcements())
        self.flush()

    def _take_cache(self, notice: NodeNotice, now: float) -> None:
        for holder_id in notice.cache_lost:
            self._state.index.clear(holder_id)
        for cached in notice.cache:
            self._take_cached(cached)
        for address in notice.unavailable:
            self._state.note_unavailable(address, now)

    def _take_cached(self, notice: CacheNotice) -> None:
        self._state.note_cache_heard(notice.holder_id)
        for part in notice.prompt_parts():
            self._state.index.confirm(notice.holder_id, notice.salt, part)

    def _take_load(self, node_id: str, load: LoadNotice, now: float) -> None:
        runner = self._state.pool.get(load.runner_id)
        if runner is not None:
            peer_load = PeerLoad(load.running, load.long_running, load.committed_tokens, now)
            self._state.pool.note_peer_load(runner, node_id, peer_load)

    def _take_weights(self, notice: WeightsNotice, now: float) -> None:
        runner = self._state.pool.get(notice.runner_id)
        if runner is None:
            return
        if notice.phase is WeightsPhase.LOADING:
            self._state.pool.note_loading(runner, notice.model, notice.version, now)
            runner.peer_ordered_at = now
        elif self._state.pool.observe_weights(runner, notice.model, notice.version):
            fields = {"runner": notice.runner_id, "version": notice.version, "source": "peer"}
            logger.info("weights served", extra=fields)
