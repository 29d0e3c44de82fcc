"""Subscribes to the cache events that engines publish over ZeroMQ in the format of vLLM.

On a gap in the sequence numbers, the subscriber marks the engine's cache estimate as untrusted and
requests a replay of the missing events. If the engine no longer holds all of them or the replay
times out, the subscriber drops the estimate, and later events rebuild it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from typing import Any

import ormsgpack
import zmq
import zmq.asyncio

from hillstack.core.cache_index import CacheIndex, SequenceGap
from hillstack.messages.types import Machine

logger = logging.getLogger(__name__)

REPLAY_TIMEOUT_SECONDS = 2.0
RECEIVE_QUEUE_BATCHES = 10_000


class CacheEventSubscriber:
    """Applies the cache events of one engine to the cache index.

    Args:
        engine_id: Identifier of the engine.
        incarnation: Incarnation of the engine that publishes the events.
        events_address: ``IP:PORT`` of the publishing socket.
        replay_address: ``IP:PORT`` of the replay socket.
        index: Index that stores the estimate of the engine's cache.
        context: ZeroMQ context shared by all subscribers.
    """

    def __init__(
        self,
        engine_id: str,
        incarnation: str,
        events_address: str,
        replay_address: str,
        index: CacheIndex,
        context: zmq.asyncio.Context,
    ) -> None:
        self._engine_id = engine_id
        self._incarnation = incarnation
        self._events_address = events_address
        self._replay_address = replay_address
        self._index = index
        self._context = context

    async def run(self) -> None:
        """Receive and apply events until cancelled."""
        socket = self._context.socket(zmq.SUB)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_BATCHES)
        socket.setsockopt(zmq.SUBSCRIBE, b"")
        socket.connect(f"tcp://{self._events_address}")
        try:
            # Events published before the subscription took effect are fetched by a full replay.
            await self._replay(SequenceGap(self._engine_id, 0, 0))
            while True:
                frames = await socket.recv_multipart()
                await self._on_batch(frames)
        finally:
            socket.close()

    async def _on_batch(self, frames: list[bytes]) -> None:
        if len(frames) != 3:
            logger.warning("malformed event batch", extra={"peer": self._events_address})
            return
        sequence = int.from_bytes(frames[1], "big")
        if self._already_applied(sequence):
            return
        gap = self._index.observe_sequence(self._engine_id, self._incarnation, sequence)
        if gap is not None:
            await self._replay(gap)
        self._apply(frames[2])

    def _already_applied(self, sequence: int) -> bool:
        partition = self._index.partition(self._engine_id)
        expected = partition.next_sequence if partition else None
        return expected is not None and sequence < expected

    async def _replay(self, gap: SequenceGap) -> None:
        try:
            complete = await asyncio.wait_for(self._fetch(gap), REPLAY_TIMEOUT_SECONDS)
        except (TimeoutError, zmq.ZMQError):
            complete = False
        if complete:
            self._index.close_gap(self._engine_id)
            return
        self._index.reset(self._engine_id)
        fields = {"peer": self._replay_address, "step": "replay events"}
        logger.info("beliefs dropped, events cannot be replayed", extra=fields)

    async def _fetch(self, gap: SequenceGap) -> bool:
        """Fetch and apply the missing batches; return whether all of them were received.

        With ``gap.end == 0``, all batches that the engine still holds are requested.
        """
        socket = self._context.socket(zmq.DEALER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.connect(f"tcp://{self._replay_address}")
        expected = gap.first
        try:
            await socket.send_multipart([b"", gap.first.to_bytes(8, "big")])
            while True:
                frames = await socket.recv_multipart()
                sequence = int.from_bytes(frames[-2], "big", signed=True)
                if sequence < 0:
                    return expected >= gap.end
                if gap.end and sequence >= gap.end:
                    continue
                if sequence != expected:
                    return False
                expected += 1
                if not gap.end:
                    self._index.observe_sequence(self._engine_id, self._incarnation, sequence)
                self._apply(frames[-1])
        finally:
            socket.close()

    def _apply(self, payload: bytes) -> None:
        try:
            events = ormsgpack.unpackb(payload)[1]
            apply_events(self._index, self._engine_id, self._incarnation, events)
        except (ValueError, TypeError, IndexError, KeyError, RecursionError) as error:
            fields = {"peer": self._events_address, "step": "decode events", "error": repr(error)}
            logger.warning("malformed event batch", extra=fields)


class CacheEventFeeds:
    """Subscriptions to the cache events of all engines, over one ZeroMQ context.

    Args:
        index: Index that stores the estimates of the engines' caches.
    """

    def __init__(self, index: CacheIndex) -> None:
        self._index = index
        self._context = zmq.asyncio.Context()

    async def follow(self, machine: Machine, incarnation: str) -> None:
        """Apply an engine's events to the index until cancelled."""
        subscriber = CacheEventSubscriber(
            machine.machine_id,
            incarnation,
            machine.events_address,
            machine.replay_address,
            self._index,
            self._context,
        )
        await subscriber.run()

    def close(self) -> None:
        """Close all sockets."""
        self._context.destroy(linger=0)


def apply_events(
    index: CacheIndex, engine_id: str, incarnation: str, events: Iterable[list[Any]]
) -> None:
    """Apply decoded events to the index; each event is an array with the event name first."""
    for event in events:
        kind = event[0]
        if kind == "BlockStored":
            index.stored(engine_id, incarnation, event[1])
        elif kind == "BlockRemoved":
            index.removed(engine_id, incarnation, event[1])
        elif kind == "AllBlocksCleared":
            index.cleared(engine_id, incarnation)
