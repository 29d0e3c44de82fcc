"""Notices to and from the other nodes, in datagrams.

What changes is collected for a short time and sent to all peers together.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from hillstack.addresses import split_address
from hillstack.core.runner_pool import PeerLoad, Runner
from hillstack.daemon.fleet_state import FleetState
from hillstack.errors import CodecError
from hillstack.messages import peer_notices
from hillstack.messages.peer_notices import (
    PROTOCOL_VERSION,
    AnnouncementNotice,
    LoadNotice,
    NodeNotice,
    PlacementNotice,
    WeightsNotice,
    WeightsPhase,
)

logger = logging.getLogger(__name__)

FLUSH_SECONDS = 0.05
REFRESH_SECONDS = 0.8
MAX_PLACEMENTS = 40
PEERS_AT_FULL_RATE = 12

PlacementHandler = Callable[[PlacementNotice, float], None]


class PeerExchange(asyncio.DatagramProtocol):
    """Sends and takes notices.

    Args:
        state: What the node knows.
        clock: Monotonic seconds.
    """

    def __init__(self, state: FleetState, clock: Callable[[], float]) -> None:
        self._state = state
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._placements: list[PlacementNotice] = []
        self._changed: dict[str, Runner] = {}
        self._weights: dict[str, WeightsNotice] = {}
        self._suspected: list[str] = []
        self._announcements: list[AnnouncementNotice] = []
        self._flush_handle: asyncio.TimerHandle | None = None
        self._on_placement: PlacementHandler | None = None
        self.ordered_at: float | None = None
        self.peer_ordered_at: float | None = None

    async def open(self, host: str, port: int) -> None:
        """Begin to listen."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def handle_placements(self, handler: PlacementHandler) -> None:
        """Call a handler for each placement that a peer tells of."""
        self._on_placement = handler

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def placed(self, notice: PlacementNotice) -> None:
        """Tell what was sent to a runner."""
        if len(self._placements) < MAX_PLACEMENTS:
            self._placements.append(notice)
        self._schedule()

    def load_changed(self, runner: Runner) -> None:
        """Tell the load that this node has on a runner."""
        self._changed[runner.runner_id] = runner
        self._schedule()

    def weights(self, notice: WeightsNotice) -> None:
        """Tell that a runner loads weights or serves a version, at once."""
        self._weights[notice.runner_id] = notice
        self.flush()

    def suspected(self, runner: Runner) -> None:
        """Tell that a runner is silent, at once."""
        self._suspected.append(runner.runner_id)
        self.flush()

    async def run(self) -> None:
        """Repeat this node's loads now and then, until cancelled."""
        while True:
            await asyncio.sleep(max(REFRESH_SECONDS, self.flush_seconds()))
            self.repeat_loads()

    def repeat_loads(self) -> None:
        """Send all of this node's loads again, since peers forget them after a while.

        Versions that were named lately go with them, for peers that have just started.
        """
        for runner in self._state.pool.all():
            if runner.attempts:
                self._changed[runner.runner_id] = runner
        self._announcements = self._recent_announcements()
        if self._changed or self._announcements or self.ordered_at is not None:
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
        if self._transport is None:
            return
        datagram = peer_notices.encode(self._take())
        for node_id, address in self._state.node_addresses.items():
            if node_id != self._state.node_id:
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
        if notice.ordered_ago_ms >= 0:
            ordered_at = now - notice.ordered_ago_ms / 1000
            self.peer_ordered_at = max(self.peer_ordered_at or ordered_at, ordered_at)
        for load in notice.loads:
            self._take_load(notice.node_id, load, now)
        for weights in notice.weights:
            self._take_weights(weights, now)
        for entry in notice.announcements:
            named_at = now - entry.age_ms / 1000
            self._state.versions.narrow(entry.model, entry.version, named_at)
        for runner_id in notice.suspected:
            runner = self._state.pool.get(runner_id)
            if runner is not None:
                self._state.pool.suspected_by_peer(runner, now)
        if self._on_placement is not None:
            for placement in notice.placements:
                self._on_placement(placement, now)

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

    def _take(self) -> NodeNotice:
        loads = [
            LoadNotice(
                runner.runner_id,
                len(runner.attempts),
                sum(1 for attempt in runner.attempts.values() if attempt.long),
                sum(attempt.total_tokens for attempt in runner.attempts.values()),
            )
            for runner in self._changed.values()
        ]
        ago = -1
        if self.ordered_at is not None:
            ago = int((self._clock() - self.ordered_at) * 1000)
        notice = NodeNotice(
            PROTOCOL_VERSION,
            self._state.node_id,
            self._placements,
            loads,
            list(self._weights.values()),
            ago,
            self._suspected,
            self._announcements,
        )
        self._placements, self._changed, self._weights = [], {}, {}
        self._suspected, self._announcements = [], []
        return notice

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
        elif notice.phase is WeightsPhase.CLOSING:
            self._state.pool.note_closing(runner, now)
        elif self._state.pool.observe_weights(runner, notice.model, notice.version):
            fields = {"runner": notice.runner_id, "version": notice.version, "source": "peer"}
            logger.info("weights served", extra=fields)
