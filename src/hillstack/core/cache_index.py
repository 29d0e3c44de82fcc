"""This node's estimate of the blocks that each engine has cached.

The index has one partition for each engine, which belongs to one incarnation of the engine. A new
incarnation drops the whole partition. A partition with missing event batches is untrusted until a
replay or a reset closes the gap.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field


@dataclass(slots=True)
class Partition:
    """Estimated cache contents of one incarnation of an engine.

    Attributes:
        incarnation: Incarnation of the engine process.
        blocks: Hashes of blocks that events reported as stored.
        expected: Hashes of blocks that a request in flight will store, with the time at which
            the expectation expires.
        next_sequence: Sequence number of the next event batch; None before the first.
        trusted: Whether no event batch is missing.
    """

    incarnation: str
    blocks: set[int] = field(default_factory=set)
    expected: dict[int, float] = field(default_factory=dict)
    next_sequence: int | None = None
    trusted: bool = True


@dataclass(frozen=True, slots=True)
class SequenceGap:
    """Missing event batches: ``first`` up to, not including, ``end``."""

    engine_id: str
    first: int
    end: int


class CacheIndex:
    """Estimated cache contents of all engines that this node watches."""

    def __init__(self) -> None:
        self._partitions: dict[str, Partition] = {}

    def observe_incarnation(self, engine_id: str, incarnation: str) -> bool:
        """Record the engine's incarnation and return whether it is new.

        The partition of the earlier incarnation is dropped: an engine restarts with an empty cache.
        """
        partition = self._partitions.get(engine_id)
        if partition is not None and partition.incarnation == incarnation:
            return False
        self._partitions[engine_id] = Partition(incarnation)
        return True

    def remove(self, engine_id: str) -> None:
        """Drop the partition of an engine."""
        self._partitions.pop(engine_id, None)

    def partition(self, engine_id: str) -> Partition | None:
        """Return the partition of an engine, or None if there is none."""
        return self._partitions.get(engine_id)

    def observe_sequence(
        self, engine_id: str, incarnation: str, sequence: int
    ) -> SequenceGap | None:
        """Record the sequence number of an event batch that is about to be applied.

        Returns:
            The gap before this batch, or None. After a gap the partition is untrusted until
            ``close_gap`` or ``reset`` is called.
        """
        self.observe_incarnation(engine_id, incarnation)
        partition = self._partitions[engine_id]
        expected = partition.next_sequence
        if expected is None:
            expected = 0
        partition.next_sequence = max(expected, sequence + 1)
        if sequence <= expected:
            return None
        partition.trusted = False
        return SequenceGap(engine_id, expected, sequence)

    def close_gap(self, engine_id: str) -> None:
        """Record that the missing batches have been applied."""
        partition = self._partitions.get(engine_id)
        if partition is not None:
            partition.trusted = True

    def reset(self, engine_id: str) -> None:
        """Drop the blocks of an engine whose missing batches cannot be replayed.

        Later events fill the partition again.
        """
        partition = self._partitions.get(engine_id)
        if partition is not None:
            partition.blocks.clear()
            partition.expected.clear()
            partition.trusted = True

    def stored(self, engine_id: str, incarnation: str, hashes: Iterable[int]) -> None:
        """Add blocks that the engine reports as stored."""
        partition = self._current(engine_id, incarnation)
        if partition is None:
            return
        added = list(hashes)
        partition.blocks.update(added)
        for block in added:
            partition.expected.pop(block, None)

    def removed(self, engine_id: str, incarnation: str, hashes: Iterable[int]) -> None:
        """Remove blocks that the engine reports as evicted."""
        partition = self._current(engine_id, incarnation)
        if partition is not None:
            partition.blocks.difference_update(hashes)

    def cleared(self, engine_id: str, incarnation: str) -> None:
        """Remove all blocks: the engine has emptied its cache."""
        partition = self._current(engine_id, incarnation)
        if partition is not None:
            partition.blocks.clear()

    def expect(self, engine_id: str, hashes: Sequence[int], until: float) -> None:
        """Add blocks that a request just sent will store, so that similar requests follow it."""
        partition = self._partitions.get(engine_id)
        if partition is None:
            return
        for block in hashes:
            if block not in partition.blocks:
                partition.expected[block] = until

    def correct(self, engine_id: str, hashes: Sequence[int], cached_blocks: int) -> None:
        """Add all blocks of a finished request, which are cached now.

        The first ``cached_blocks`` were already cached when the request started, as its answer
        reported; expectations for these are dropped. Expectations for the others stay until they
        expire.
        """
        partition = self._partitions.get(engine_id)
        if partition is None:
            return
        partition.blocks.update(hashes)
        for block in hashes[:cached_blocks]:
            partition.expected.pop(block, None)

    def matched_blocks(self, engine_id: str, hashes: Sequence[int], now: float) -> int:
        """Return how many leading blocks the engine has cached or computes, by the estimate."""
        partition = self._partitions.get(engine_id)
        if partition is None:
            return 0
        matched = 0
        for block in hashes:
            if block not in partition.blocks and partition.expected.get(block, 0.0) <= now:
                break
            matched += 1
        return matched

    def expire(self, now: float) -> None:
        """Drop expected blocks whose time has passed."""
        for partition in self._partitions.values():
            expired = [block for block, until in partition.expected.items() if until <= now]
            for block in expired:
                del partition.expected[block]

    def total_blocks(self) -> int:
        """Return the estimated number of cached blocks, summed over all engines."""
        return sum(len(partition.blocks) for partition in self._partitions.values())

    def _current(self, engine_id: str, incarnation: str) -> Partition | None:
        partition = self._partitions.get(engine_id)
        if partition is None or partition.incarnation != incarnation:
            return None
        return partition
