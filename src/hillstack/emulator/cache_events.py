"""Publishes cache events as vLLM does: msgpack batches over ZeroMQ, with replay.

A batch consists of the frames ``topic, sequence (8 bytes, big endian), payload``. The payload is
``[timestamp, [event, ...], data_parallel_rank]``, and each event is an array that starts with its
name. A request on the replay socket names a start sequence. The answer contains the buffered
batches from that sequence on, followed by an end marker with sequence -1.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Sequence
from random import Random

import ormsgpack
import zmq
import zmq.asyncio

REPLAY_BUFFER_BATCHES = 10_000
END_OF_REPLAY = (-1).to_bytes(8, "big", signed=True)
TOPIC = b"kv-events"


def stored_event(hashes: Sequence[int], parent: int | None, block_tokens: int) -> list[object]:
    """Return a BlockStored event, without token IDs.

    The hashes come from ``block_hashes``, which routers use too.
    """
    return ["BlockStored", list(hashes), parent, [], block_tokens, None]


def removed_event(hashes: Sequence[int]) -> list[object]:
    """Return a BlockRemoved event."""
    return ["BlockRemoved", list(hashes)]


def cleared_event() -> list[object]:
    """Return an AllBlocksCleared event."""
    return ["AllBlocksCleared"]


class CacheEventPublisher:
    """Publishes batches of cache events, with injected delay and loss.

    Args:
        events_address: ``IP:PORT`` of the publishing socket.
        replay_address: ``IP:PORT`` of the replay socket.
        delay: Seconds by which each batch is delayed.
        loss: Share of batches that are not published. A replay still contains them.
    """

    def __init__(
        self, events_address: str, replay_address: str, delay: float, loss: float, rng: Random
    ) -> None:
        self.delay = delay
        self.loss = loss
        self._rng = rng
        self._context = zmq.asyncio.Context()
        self._publish = self._context.socket(zmq.PUB)
        self._publish.bind(f"tcp://{events_address}")
        self._replay = self._context.socket(zmq.ROUTER)
        self._replay.bind(f"tcp://{replay_address}")
        self._buffer: deque[tuple[int, bytes]] = deque(maxlen=REPLAY_BUFFER_BATCHES)
        self._outbox: asyncio.Queue[tuple[float, int, bytes]] = asyncio.Queue()
        self._sequence = 0

    def publish(self, events: Sequence[list[object]]) -> None:
        """Queue a batch of events."""
        if not events:
            return
        payload = ormsgpack.packb([time.time(), list(events), None])
        self._buffer.append((self._sequence, payload))
        self._outbox.put_nowait((time.monotonic() + self.delay, self._sequence, payload))
        self._sequence += 1

    async def run(self) -> None:
        """Publish batches and answer replay requests until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._send())
                group.create_task(self._answer_replays())
        finally:
            self._context.destroy(linger=0)

    async def _send(self) -> None:
        while True:
            due, sequence, payload = await self._outbox.get()
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if self._rng.random() >= self.loss:
                frames = [TOPIC, sequence.to_bytes(8, "big"), payload]
                await self._publish.send_multipart(frames)

    async def _answer_replays(self) -> None:
        while True:
            frames = await self._replay.recv_multipart()
            identity, start = frames[0], int.from_bytes(frames[-1], "big")
            for sequence, payload in list(self._buffer):
                if sequence >= start:
                    number = sequence.to_bytes(8, "big")
                    await self._replay.send_multipart([identity, b"", number, payload])
            await self._replay.send_multipart([identity, b"", END_OF_REPLAY, b""])
