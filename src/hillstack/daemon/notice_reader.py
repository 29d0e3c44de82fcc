"""Applies the notices of peers to the state of this node."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from hillstack.core.store_revision import StoreRevision
from hillstack.messages.peer_notices import (
    NO_LIMIT,
    AnnouncementNotice,
    CacheNotice,
    LimitNotice,
    LoadNotice,
    NodeNotice,
    PlacementNotice,
    WeightsNotice,
    WeightsPhase,
)
from hillstack.messages.rollout_reports import RolloutReport
from hillstack.messages.runner_ends import RunnerEndNotice
from hillstack.serving.crash_logs import log_reported_crash
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.store_events import WeightsNamed

logger = logging.getLogger(__name__)

MILLISECONDS = 1_000.0

PlacementHandler = Callable[[str, PlacementNotice, float], None]
ReadHandler = Callable[[str, int, float], None]
# Arguments: node, its incarnation, its report, time of receipt.
RolloutHandler = Callable[[str, int, RolloutReport, float], None]
LimitHandler = Callable[[str], None]
RunnerEndHandler = Callable[[str, RunnerEndNotice, float], None]


class NoticeReader:
    """Updates a node's state from the notices of its peers.

    Args:
        state: State of this node.
        zone: Zone of this node.
    """

    def __init__(self, state: FleetState, zone: str) -> None:
        self._state = state
        self._zone = zone
        self._on_placement: PlacementHandler | None = None
        self._on_read: ReadHandler | None = None
        self._on_rollout: RolloutHandler | None = None
        self._on_runner_end: RunnerEndHandler | None = None
        self._on_outdated_limit: LimitHandler = lambda _: None
        self._on_announced: Callable[[], None] = lambda: None

    def handle_placements(self, on_placement: PlacementHandler, on_read: ReadHandler) -> None:
        """Set the handlers for each placement of a peer, and for its prompt being prefilled."""
        self._on_placement = on_placement
        self._on_read = on_read

    def handle_rollouts(self, handler: RolloutHandler) -> None:
        """Set the handler for each report of a peer on a software rollout."""
        self._on_rollout = handler

    def handle_runner_crashes(self, handler: RunnerEndHandler) -> None:
        """Set the handler for each runner crash that a peer reports."""
        self._on_runner_end = handler

    def handle_announcements(self, handler: Callable[[], None]) -> None:
        """Set the handler for each weights version that a peer announces first."""
        self._on_announced = handler

    def handle_outdated_limits(self, handler: LimitHandler) -> None:
        """Set the handler for each runner for which a peer reports a limit that has ended."""
        self._on_outdated_limit = handler

    def apply(self, notice: NodeNotice, now: float) -> None:
        """Apply a peer's notice except for its loads, which ``apply_loads`` applies."""
        if not notice.is_news():
            return
        for weights in notice.weights:
            self._apply_weights(weights, now)
        for runner_id in notice.suspected:
            runner = self._state.pool.get(runner_id)
            if runner is not None:
                self._state.pool.apply_peer_suspicion(runner, now)
        for runner_id in notice.restarted:
            runner = self._state.pool.get(runner_id)
            if runner is not None:
                self._state.note_restarted(runner, now)
        for runner_id in notice.leaving:
            runner = self._state.pool.get(runner_id)
            if runner is not None:
                self._state.pool.apply_leaving_hint(runner, now)
        for limit in notice.limits:
            self._apply_limit(limit, now)
        self._apply_cache(notice, now)
        if notice.store_era is not None:
            self._state.store_era.observe(notice.store_era, notice.node_id)
        for entry in notice.announcements:
            self._apply_announcement(notice.node_id, entry, now)
        if self._on_placement is not None:
            for placement in notice.placements:
                self._on_placement(notice.node_id, placement, now)
        if self._on_read is not None:
            for number in notice.reads:
                self._on_read(notice.node_id, number, now)
        if self._on_runner_end is not None:
            for ended in notice.runner_ends:
                if self._is_new_crash(ended):
                    log_reported_crash(ended, notice.node_id)
                self._on_runner_end(notice.node_id, ended, now)
        if self._on_rollout is not None:
            for report in notice.rollouts:
                self._on_rollout(notice.node_id, notice.incarnation, report, now)

    def _is_new_crash(self, notice: RunnerEndNotice) -> bool:
        """Return whether a notice reports a crash that this node does not know."""
        if not notice.requests or notice.taken_back or notice.probation_ms is not None:
            return False
        return self._state.runner_crashes.get(notice.runner_id) is None

    def apply_loads(self, reporter: str, loads: Iterable[LoadNotice], now: float) -> None:
        """Apply the loads that a peer has on runners."""
        pool = self._state.pool
        for notice in loads:
            runner = pool.get(notice.runner_id)
            if runner is not None:
                pool.note_peer_load(runner, reporter, notice.load(), now)

    def apply_zone_loads(self, zone: str, loads: Iterable[LoadNotice], now: float) -> None:
        """Apply the loads that all nodes of a zone together have on runners."""
        pool = self._state.pool
        reporter = f"zone {zone}"
        is_local_zone = zone == self._zone
        for notice in loads:
            runner = pool.get(notice.runner_id)
            if runner is None:
                continue
            load = notice.load()
            if is_local_zone and len(runner.attempts):
                # The sum of the zone includes this node's load as of up to 0.15 s ago (the times
                # for which this node and its relay collect), so the result is approximate.
                load = load.without(runner.attempts.load())
            pool.note_peer_load(runner, reporter, load, now)

    def _apply_announcement(self, peer: str, entry: AnnouncementNotice, now: float) -> None:
        """Apply the announcement of a weights version that was not read from the store yet.

        The version was announced after the latest moment at which this node knows that the store
        did not have it. The time of receipt at the peer is not used, since it is later than the
        announcement by the delay of the message.
        """
        state = self._state
        state.announcement_receipts.note(peer, entry.model, entry.version)
        if entry.known_in_region:
            for node in state.nodes.all():
                if state.topology.region_of(node.zone) == entry.known_in_region:
                    state.announcement_receipts.note(node.node_id, entry.model, entry.version)
        if entry.version > state.versions.newest(entry.model):
            revision = self._announced_revision(entry)
            named = WeightsNamed(entry.model, entry.version, revision)
            not_before = state.proofs.latest_before(revision)
            state.note_weights_named(named, not_before, peer, now)
            self._on_announced()

    def _announced_revision(self, entry: AnnouncementNotice) -> StoreRevision:
        """Return the revision of an announcement.

        If the peer runs a build without eras, the earliest known era is assumed.
        """
        era = entry.store_era
        if era is None:
            era = self._state.proofs.earliest_era() or 0
        return StoreRevision(era, entry.revision)

    def _apply_limit(self, limit: LimitNotice, now: float) -> None:
        pool, age_seconds = self._state.pool, max(0.0, limit.age_ms / MILLISECONDS)
        if limit.rate == NO_LIMIT:
            pool.apply_limit_end_hint(limit.runner_id, age_seconds, now)
        elif pool.apply_limit_hint(limit.runner_id, limit.rate, age_seconds, now):
            self._on_outdated_limit(limit.runner_id)

    def _apply_cache(self, notice: NodeNotice, now: float) -> None:
        for holder_id in notice.cache_lost:
            self._state.index.clear(holder_id)
        for cached in notice.cache:
            self._apply_cached(cached)
        for address in notice.unavailable:
            self._state.note_unavailable(address, now)

    def _apply_cached(self, notice: CacheNotice) -> None:
        self._state.note_cache_known(notice.holder_id)
        for part in notice.prompt_parts():
            self._state.index.confirm(notice.holder_id, notice.salt, part)

    def _apply_weights(self, notice: WeightsNotice, now: float) -> None:
        runner = self._state.pool.get(notice.runner_id)
        if runner is None:
            return
        if notice.phase is WeightsPhase.LOADING:
            self._state.pool.note_loading(runner, notice.model, notice.version, now)
            if notice.is_ordered:
                runner.peer_ordered_at = now
        elif self._state.pool.observe_weights(runner, notice.model, notice.version):
            fields = {"runner": notice.runner_id, "version": notice.version, "source": "peer"}
            logger.info("weights served", extra=fields)
