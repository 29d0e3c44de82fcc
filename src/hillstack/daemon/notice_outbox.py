"""Collects what a node has to tell its peers, until it is sent."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

from hillstack.core.runner_pool import Runner
from hillstack.daemon.cache_follower import CacheEntry
from hillstack.messages.peer_notices import (
    PROTOCOL_VERSION,
    AnnouncementNotice,
    CacheNotice,
    LimitNotice,
    LoadNotice,
    NodeNotice,
    PlacementNotice,
    WeightsNotice,
)
from hillstack.messages.rollout_reports import RolloutReport
from hillstack.messages.runner_ends import RunnerEndNotice

# A datagram's worth of placements of some 150 bytes; what is beyond stays untold.
MAX_PLACEMENTS = 40
# Parts of 15 bytes each that fit a datagram of 1,400 bytes.
MAX_CACHE_PARTS = 80
# Runners that leave at a time, of 20 bytes each; those beyond are told with a later heartbeat.
MAX_LEAVING = 16
# Runners of which the limit has changed, of 30 bytes each; as those that leave.
MAX_LIMITS = 16
# A rack of runners that ends at once; what is beyond stays untold.
MAX_RUNNER_ENDS = 16


class NoticeOutbox:
    """Changes that the peers have not been told yet; each collection is bounded.

    Args:
        node_id: This node.
        incarnation: Differs from start to start.
    """

    def __init__(self, node_id: str, incarnation: int) -> None:
        self._node_id = node_id
        self._incarnation = incarnation
        self._placements: list[PlacementNotice] = []
        self._reads: list[int] = []
        self._changed: dict[str, Runner] = {}
        self._weights: dict[str, WeightsNotice] = {}
        self._suspected: list[str] = []
        self._announcements: list[AnnouncementNotice] = []
        self._cache: dict[tuple[str, str], dict[str, int]] = {}
        self._cache_lost: list[str] = []
        self._unavailable: set[str] = set()
        self._runner_ends: list[RunnerEndNotice] = []
        self._rollouts: list[RolloutReport] = []
        self._restarted: list[str] = []
        self._leaving: list[str] = []
        self._limits: dict[str, LimitNotice] = {}
        self._store_era: int | None = None

    def add_placement(self, notice: PlacementNotice) -> None:
        """Tell what was sent to a runner; beyond the bound it stays untold."""
        if len(self._placements) < MAX_PLACEMENTS:
            self._placements.append(notice)

    def add_read(self, number: int) -> None:
        """Tell that the prompt of a placement is read."""
        if len(self._reads) < MAX_PLACEMENTS:
            self._reads.append(number)

    def add_load(self, runner: Runner) -> None:
        """Tell the load that this node has on a runner when the notice is made."""
        self._changed[runner.runner_id] = runner

    def add_weights(self, notice: WeightsNotice) -> None:
        """Tell the latest phase of a runner."""
        self._weights[notice.runner_id] = notice

    def add_suspected(self, runner_id: str) -> None:
        """Tell that a runner is silent."""
        self._suspected.append(runner_id)

    def add_restarted(self, runner_id: str) -> None:
        """Tell that a runner's process has ended, and a later one of its name has started."""
        self._restarted.append(runner_id)

    def add_leaving(self, runner_id: str) -> None:
        """Tell that a runner says that it leaves; beyond the bound it stays untold for now."""
        if len(self._leaving) < MAX_LEAVING and runner_id not in self._leaving:
            self._leaving.append(runner_id)

    def add_limit(self, notice: LimitNotice) -> None:
        """Tell the latest that a runner says of its limit; beyond the bound it stays untold."""
        if len(self._limits) < MAX_LIMITS or notice.runner_id in self._limits:
            self._limits[notice.runner_id] = notice

    def set_announcements(self, announcements: list[AnnouncementNotice]) -> None:
        """Tell the versions that were named lately."""
        self._announcements = announcements

    def add_cached(self, holder_id: str, entry: CacheEntry) -> None:
        """Tell what a holder keeps of a part."""
        parts = self._cache.setdefault((holder_id, entry.salt), {})
        parts[entry.part.part_id] = entry.part.tokens

    def add_cache_lost(self, holder_id: str) -> None:
        """Tell that a holder has lost everything."""
        for key in [key for key in self._cache if key[0] == holder_id]:
            del self._cache[key]
        self._cache_lost.append(holder_id)

    def add_unavailable(self, address: str) -> None:
        """Tell that a store of kept KV cache does not answer."""
        self._unavailable.add(address)

    def add_runner_end(self, notice: RunnerEndNotice) -> None:
        """Tell of a runner that ended; beyond the bound it stays untold."""
        if len(self._runner_ends) < MAX_RUNNER_ENDS:
            self._runner_ends.append(notice)

    def runner_end_only(self, ended: RunnerEndNotice) -> NodeNotice:
        """Return a notice of one runner that ended."""
        return NodeNotice(PROTOCOL_VERSION, self._node_id, self._incarnation, runner_ends=[ended])

    def limits_only(self, limits: list[LimitNotice]) -> NodeNotice:
        """Return a notice of limits of runners."""
        told = limits[:MAX_LIMITS]
        return NodeNotice(PROTOCOL_VERSION, self._node_id, self._incarnation, limits=told)

    def set_rollouts(self, reports: list[RolloutReport]) -> None:
        """Tell what was seen of the rollouts that are under way."""
        self._rollouts = reports

    def set_store_era(self, era: int) -> None:
        """Tell that the store is in an era that this node has just heard of."""
        self._store_era = era

    def take(self) -> list[NodeNotice]:
        """Return all that was collected, as one notice, or several where there is much."""
        chunks = list(_chunks(self._cache))
        first = NodeNotice(
            PROTOCOL_VERSION,
            self._node_id,
            self._incarnation,
            placements=self._placements,
            loads=[_load(runner) for runner in self._changed.values()],
            weights=list(self._weights.values()),
            suspected=self._suspected,
            announcements=self._announcements,
            cache_lost=self._cache_lost,
            cache=chunks[0] if chunks else [],
            unavailable=list(self._unavailable),
            reads=self._reads,
            runner_ends=self._runner_ends,
            rollouts=self._rollouts,
            restarted=self._restarted,
            leaving=self._leaving,
            limits=list(self._limits.values()),
            store_era=self._store_era,
        )
        self._store_era = None
        self._placements, self._reads, self._changed, self._weights = [], [], {}, {}
        self._suspected, self._announcements, self._leaving = [], [], []
        self._runner_ends, self._rollouts, self._restarted = [], [], []
        self._cache, self._cache_lost, self._unavailable = {}, [], set()
        self._limits = {}
        return [first, *(self._cache_only(chunk) for chunk in chunks[1:])]

    def cache_of(self, holder_id: str, entries: Iterable[CacheEntry]) -> list[NodeNotice]:
        """Return notices of what a holder keeps."""
        parts: dict[tuple[str, str], dict[str, int]] = {}
        for entry in entries:
            by_id = parts.setdefault((holder_id, entry.salt), {})
            by_id[entry.part.part_id] = entry.part.tokens
        return [self._cache_only(chunk) for chunk in _chunks(parts)]

    def _cache_only(self, chunk: list[CacheNotice]) -> NodeNotice:
        return NodeNotice(PROTOCOL_VERSION, self._node_id, self._incarnation, cache=chunk)


def _load(runner: Runner) -> LoadNotice:
    return LoadNotice.of(runner.runner_id, runner.attempts.load())


def _chunks(
    collected: dict[tuple[str, str], dict[str, int]],
) -> Iterator[list[CacheNotice]]:
    """Yield the notices of parts in groups that fit a datagram."""
    group: list[CacheNotice] = []
    room = MAX_CACHE_PARTS
    for (holder_id, salt), parts in collected.items():
        rest: Sequence[tuple[str, int]] = list(parts.items())
        while rest:
            group.append(CacheNotice(holder_id, salt, list(rest[:room])))
            taken = min(room, len(rest))
            rest = rest[room:]
            room -= taken
            if room == 0:
                yield group
                group, room = [], MAX_CACHE_PARTS
    if group:
        yield group
