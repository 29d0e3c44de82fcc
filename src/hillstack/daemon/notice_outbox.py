"""Collects the changes that a node reports to its peers, until they are sent."""

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

# Placements of about 150 bytes each, 6,000 bytes together: they fit into a jumbo frame of 9,000
# bytes. Further ones are not sent.
MAX_PLACEMENTS = 40
# Parts of 15 bytes each; they fit into an ordinary frame, a datagram of 1,400 bytes.
MAX_CACHE_PARTS = 80
# Leaving runners per notice, of 20 bytes each; further ones go with a later heartbeat.
MAX_LEAVING = 16
# Changed runner limits per notice, of 30 bytes each; further ones go with a later heartbeat.
MAX_LIMITS = 16
# Weights phases per notice to a node that has just started, of 40 bytes each.
MAX_WEIGHTS = 24
# Crashed runners per notice: a rack of runners that fails at once. Further ones are not sent.
MAX_RUNNER_ENDS = 16


class NoticeOutbox:
    """Changes that were not sent to the peers yet.

    Placements, prefill reports, leaving runners, limits and runner crashes are bounded. The other
    collections are not; most of them hold one entry per runner or rollout.

    Args:
        node_id: Identifier of this node.
        incarnation: Random number that differs for each start of the process.
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
        """Report a prompt that was sent to a runner; dropped if the outbox is full."""
        if len(self._placements) < MAX_PLACEMENTS:
            self._placements.append(notice)

    def add_read(self, number: int) -> None:
        """Report that the runner has processed the prompt of a placement; dropped if full."""
        if len(self._reads) < MAX_PLACEMENTS:
            self._reads.append(number)

    def add_load(self, runner: Runner) -> None:
        """Report this node's load on a runner, as of the moment at which the notice is built."""
        self._changed[runner.runner_id] = runner

    def add_weights(self, notice: WeightsNotice) -> None:
        """Report the latest weights phase of a runner; replaces an unsent one."""
        self._weights[notice.runner_id] = notice

    def add_suspected(self, runner_id: str) -> None:
        """Report that a runner does not respond."""
        self._suspected.append(runner_id)

    def add_restarted(self, runner_id: str) -> None:
        """Report that a runner's process has ended and a new one has started under its name."""
        self._restarted.append(runner_id)

    def add_leaving(self, runner_id: str) -> None:
        """Report that a runner has announced that it leaves; dropped for now if full."""
        if len(self._leaving) < MAX_LEAVING and runner_id not in self._leaving:
            self._leaving.append(runner_id)

    def add_limit(self, notice: LimitNotice) -> None:
        """Report the latest limit that a runner has announced; dropped if the outbox is full."""
        if len(self._limits) < MAX_LIMITS or notice.runner_id in self._limits:
            self._limits[notice.runner_id] = notice

    def set_announcements(self, announcements: list[AnnouncementNotice]) -> None:
        """Report the recently announced weights versions."""
        self._announcements = announcements

    def add_cached(self, holder_id: str, entry: CacheEntry) -> None:
        """Report how many tokens of a prompt part a holder has cached."""
        parts = self._cache.setdefault((holder_id, entry.salt), {})
        parts[entry.part.part_id] = entry.part.tokens

    def add_cache_lost(self, holder_id: str) -> None:
        """Report that a holder has lost its whole cache."""
        for key in [key for key in self._cache if key[0] == holder_id]:
            del self._cache[key]
        self._cache_lost.append(holder_id)

    def add_unavailable(self, address: str) -> None:
        """Report that a KV cache store does not answer."""
        self._unavailable.add(address)

    def add_runner_end(self, notice: RunnerEndNotice) -> None:
        """Report the crash of a runner; dropped if the outbox is full."""
        if len(self._runner_ends) < MAX_RUNNER_ENDS:
            self._runner_ends.append(notice)

    def runner_end_only(self, ended: RunnerEndNotice) -> NodeNotice:
        """Return a notice with only the crash of one runner."""
        return NodeNotice(PROTOCOL_VERSION, self._node_id, self._incarnation, runner_ends=[ended])

    def limits_only(self, limits: list[LimitNotice]) -> NodeNotice:
        """Return a notice with only the limits of runners."""
        sent = limits[:MAX_LIMITS]
        return NodeNotice(PROTOCOL_VERSION, self._node_id, self._incarnation, limits=sent)

    def weights_only(self, weights: Sequence[WeightsNotice]) -> list[NodeNotice]:
        """Return notices with only the weights phases of runners."""
        return [
            NodeNotice(
                PROTOCOL_VERSION,
                self._node_id,
                self._incarnation,
                weights=list(weights[first : first + MAX_WEIGHTS]),
            )
            for first in range(0, len(weights), MAX_WEIGHTS)
        ]

    def set_rollouts(self, reports: list[RolloutReport]) -> None:
        """Report the observations of the running rollouts."""
        self._rollouts = reports

    def set_store_era(self, era: int) -> None:
        """Report an era of the store of which this node has just learned."""
        self._store_era = era

    def take(self) -> list[NodeNotice]:
        """Return and clear everything collected, as one notice and further ones for cache parts.

        Only cache parts are split into several notices; the first notice contains everything else,
        whatever its size.
        """
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
        """Return notices with the cached parts of a holder."""
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
    """Yield the cache notices in groups that fit into a datagram."""
    group: list[CacheNotice] = []
    free_parts = MAX_CACHE_PARTS
    for (holder_id, salt), parts in collected.items():
        remaining: Sequence[tuple[str, int]] = list(parts.items())
        while remaining:
            group.append(CacheNotice(holder_id, salt, list(remaining[:free_parts])))
            added = min(free_parts, len(remaining))
            remaining = remaining[free_parts:]
            free_parts -= added
            if free_parts == 0:
                yield group
                group, free_parts = [], MAX_CACHE_PARTS
    if group:
        yield group
