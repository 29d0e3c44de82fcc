"""Keeps a node's state synchronized with the store.

At a fixed interval the node polls for changes, at a peer with a fresh copy or at the store itself.
Each answer contains the changes and proves how fresh the node's copy is.

While the store does not answer, the node polls it again at bounded intervals without waiting for
the earlier polls to time out, and asks peers in between. So a change is applied within the time in
which it must be in force, also right after the store was silent.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable, Collection, Iterable, Sequence
from random import Random
from typing import Protocol

from hillstack.config.fleet_settings import POLL_FRACTION
from hillstack.core.node_directory import NodeEntry, NodeGroup
from hillstack.core.relay_choice import RelayChoice
from hillstack.core.store_outage import OutageEvidence
from hillstack.core.store_revision import NO_REVISION, StoreRevision
from hillstack.daemon.change_log import ChangeLog, ListedKeys, StoreChange, StoredItem
from hillstack.daemon.item_applier import ItemApplier
from hillstack.daemon.store_polls import ChangesView, PolledStore, PollOutcome, StorePolls
from hillstack.daemon.store_relay import RelayedChanges
from hillstack.errors import (
    HistoryLostError,
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformThrottledError,
)
from hillstack.logs import error_fields
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.store_events import DutyHeld, NodeListed

logger = logging.getLogger(__name__)

# Longest long-poll timeout. The store answers at the next change, which comes within about ten
# milliseconds while runners write heartbeats. Without changes, a call per interval proves freshness
# well within the bounds.
WATCH_WAIT_SECONDS = 1.0
# A poll whose answer is later than its long-poll timeout by this is overdue: several times the
# usual duration of a call. If the latest answers were late themselves, the store is slow, and a
# poll is overdue only at ``SLOW_FACTOR`` times their lateness.
OVERDUE_SECONDS = 0.25
SLOW_FACTOR = 1.5
# Share of the known lateness that is left after an answer that was less late.
LATENESS_DECAY = 0.8
# A slow store takes up to a second to answer.
SLOW_ANSWER_SECONDS = 1.0
# Part of the time in which a change must be in force that is left for passing it to peers.
RELAY_SECONDS = 0.2
# In an outage all nodes together start a poll about this often, except for the first nodes of each
# group, whose changes the others apply.
SHARED_SPACING_SECONDS = 0.05
# A node starts a poll at least this often, however many nodes there are.
MAX_SPACING_SECONDS = 3.0
# Mean pause after a poll that failed without delay. In an outage hundreds of nodes poll the store,
# and each call has a cost.
REFUSED_PAUSE_SECONDS = 1.0
# Mean pause after the first read of the store has failed, and of a node without peers after a
# refused poll. Ten polls that are refused at once fit into the freshness bound of 4.5 s.
RETRY_SECONDS = 0.3
# Spreads the polls of nodes that are notified of a restore at once, so that the first ones can
# answer the others.
RESTORED_SPREAD_SECONDS = 0.2
# Pause before the whole store is reloaded. It is short, since lost history does not come back.
RELOAD_SECONDS = 0.05
# Shorter failures count as lost answers, not as an outage: a runner's entry expires only after
# three heartbeats, which take longer.
OUTAGE_SECONDS = 0.8
# Peers asked before the store, and others that are asked after the store has failed, besides the
# last one that gave a fresh answer. A third one before the store would add its timeout to the delay
# of a change.
MAX_PEERS_ASKED = 2
# A peer's copy is fresh while it is younger than two poll intervals and the delay of a slow answer.
FRESH_INTERVALS = 2.0
FRESH_MARGIN_SECONDS = 0.5
# Up to this number of nodes form one group, whose first node polls the store for all; its answers
# then take a percent of a core. In a larger deployment each zone forms a group, so that relayed
# changes stay inside the zone.
SINGLE_GROUP_NODES = 64

# Keys in one log line; the total count is logged too.
MAX_KEYS_LOGGED = 20


class SnapshotView(Protocol):
    """The whole content of the store."""

    @property
    def changes(self) -> Sequence[StoreChange]:
        """All items."""
        ...

    @property
    def revision(self) -> StoreRevision:
        """Revision from which to poll for changes."""
        ...

    @property
    def latest(self) -> StoreRevision:
        """The latest revision that any of the items may have."""
        ...


class Store(PolledStore, Protocol):
    """The calls that the sync needs, and the decoding of their results."""

    async def snapshot(self, *, allow_stale: bool = False) -> SnapshotView:
        """Return the whole content; raises ``PlatformError``."""
        ...

    async def announce_node(self, node: NodeEntry) -> StoreRevision:
        """Write a node's entry; return its revision; raises ``PlatformError``."""
        ...

    def read_items(self, items: Iterable[StoredItem]) -> list[StoreChange]:
        """Decode items; one that can't be decoded counts as removed."""
        ...

    def listed(self, keys: Iterable[str]) -> ListedKeys:
        """Decode the list of all keys."""
        ...


class Peers(Protocol):
    """The peers that can be asked for changes."""

    async def ask(self, node_id: str, revision: StoreRevision) -> RelayedChanges | None:
        """Return a peer's changes since a revision, or None without an answer."""
        ...


class StoreSync:
    """The loop that polls for changes and applies them.

    Args:
        store: The store.
        state: State of this node.
        log: Stores the changes for peers that ask.
        peers: Asks peers for changes, before the store.
        choice: Selects the peers.
        own: Entry of this node in the store.
        interval: Seconds between two polls.
        clock: Monotonic clock in seconds.
        rng: Source of randomness.
        is_lagging: Returns whether this node's event loop lags, so that it may miss answers.
    """

    def __init__(
        self,
        store: Store,
        state: FleetState,
        log: ChangeLog,
        peers: Peers,
        choice: RelayChoice,
        own: NodeEntry,
        interval: float,
        clock: Callable[[], float],
        rng: Random,
        is_lagging: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_lagging = is_lagging
        self._outage = OutageEvidence(OUTAGE_SECONDS)
        self._applier = ItemApplier(state, clock)
        self._store = store
        self._state = state
        self._log = log
        self._peers = peers
        self._choice = choice
        self._own = own
        self._interval = interval
        self._clock = clock
        self._rng = rng
        # When the calls to the store began to fail; None if the latest one was answered, or if a
        # peer has sent a fresh copy since.
        self._failing_since: float | None = None
        self._failed_at = 0.0
        self._polls = StorePolls(store, clock)
        # How late the latest answers of the store were (``PollOutcome.late_seconds``).
        self._late_seconds = 0.0
        # From then on the next poll may start, even if earlier ones have not ended.
        self._next_poll_at = float("-inf")
        # The peer whose changes were applied last; None for the store itself.
        self._source: str | None = None
        # The local copy differs from the store: one attempt to reload it, then polls continue.
        self._must_reload = False
        # The store no longer has the changes since this node's revision: no polls until reloaded.
        self._history_lost = False
        self._restore_event = asyncio.Event()
        state.store_era.handle_new(self._on_new_era)
        state.store_era.handle_decreased(self.request_reload)

    async def run(self) -> None:
        """Poll and apply changes until cancelled."""
        try:
            await self._run()
        finally:
            self._polls.cancel()

    async def _run(self) -> None:
        revision: StoreRevision | None = None
        while True:
            started_at = self._clock()
            try:
                if revision is None:
                    revision = await self._load(started_at)
                elif self._history_lost:
                    revision = await self._load_or_ask_peers(revision)
                else:
                    revision = await self._poll(revision)
                revision = await self._join(revision)
                await self._ask_announcement_times(revision)
            except HistoryLostError as error:
                logger.info("store history lost", extra=error_fields(error))
                self._history_lost = True
                await asyncio.sleep(RELOAD_SECONDS)
                continue
            except PlatformError as error:
                self._note_failure(error)
                await asyncio.sleep(RETRY_SECONDS * (0.5 + self._rng.random()))
                continue
            self._state.expire(self._clock())
            await self._wait_until(started_at + self._interval)

    async def _wait_until(self, moment: float) -> None:
        """Wait for the next poll, the end of a pending one, or a notice of a restore."""
        wait = max(0.0, moment - self._clock())
        if self._polls:
            await self._polls.wait_ended(wait)
        elif not self._restore_event.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self._restore_event.wait()
        if self._restore_event.is_set():
            self._restore_event.clear()
            await asyncio.sleep(RESTORED_SPREAD_SECONDS * self._rng.random())

    def _on_new_era(self, source: str) -> None:
        """Poll soon, because the store was restored to an older state."""
        self._restore_event.set()

    def request_reload(self) -> None:
        """Reload the whole store at the next poll, because the local copy differs from it."""
        self._must_reload = True

    async def _load(self, started_at: float) -> StoreRevision:
        snapshot = await self._store.snapshot()
        self._end_polls()
        self._note_success()
        items = [change.item for change in snapshot.changes]
        self._note_era(snapshot.revision, [item.key for item in items])
        self._applier.apply(snapshot.changes)
        self._log.load(items, snapshot.revision)
        self._retain([item.key for item in items], snapshot.revision)
        self._state.duty_known = True
        self._state.note_proof(snapshot.revision, started_at)
        self._state.start_gate.open()
        return snapshot.revision

    async def _try_load(self) -> StoreRevision | None:
        """Reload the whole store; None if it refuses, so that the caller asks peers instead."""
        self._must_reload = False
        try:
            return await self._load(self._clock())
        except PlatformError as error:
            logger.warning("not read anew", extra=error_fields(error))
            return None

    async def _load_or_ask_peers(self, revision: StoreRevision) -> StoreRevision:
        """Reload the whole store, which no longer has the needed changes, or ask peers for them.

        Raises:
            PlatformError: The store can't be read, and no peer has newer changes.
        """
        try:
            loaded = await self._load(self._clock())
        except PlatformError:
            relayed = await self._ask_others(self._groups()[-1], [], revision)
            if relayed is None:
                raise
            loaded = self._apply_relayed(relayed, revision)
        self._history_lost = False
        return loaded

    async def _join(self, revision: StoreRevision) -> StoreRevision:
        """Write this node's entry if needed, and find the other nodes; return the new revision.

        A read of the store from before this node's entry was written can lack nodes that start at
        the same time. Of any two nodes, the one whose entry is written later finds the other if it
        reads the store after that, and then sends its notices to the other.
        """
        await self._announce_if_missing()
        own = self._state.nodes.get(self._state.node_id)
        if self._state.peers_known or own is None:
            return revision
        if revision < own.revision:
            revision = await self._poll_at_once(revision)
        if revision >= own.revision:
            self._state.note_peers_known(self._clock())
        return revision

    async def _announce_if_missing(self) -> None:
        """Write this node's entry if it is missing from the store, differs or was removed."""
        known = self._state.nodes.get(self._state.node_id)
        if known is not None and known.equals_except_revision(self._own):
            return
        own = self._own
        revision = await self._store.announce_node(own)
        # Applied at once, because the change itself is returned only by a later poll.
        listed = NodeListed(own.node_id, own.address, own.zone, revision, own.link_megabits)
        self._state.apply(listed, self._clock())

    async def _poll(self, revision: StoreRevision) -> StoreRevision:
        """Apply the changes from the first peer with a fresh copy, or from the store.

        Raises:
            HistoryLostError: The store no longer has the changes, or was restored since then.
        """
        while True:
            if self._must_reload:
                loaded = await self._try_load()
                if loaded is not None:
                    return loaded
            groups = self._groups()
            asked = self._peers_before_this(groups)
            preceding = await self._ask_peers(asked, revision)
            if preceding is not None and not preceding.is_store_overdue:
                self._end_polls()
                return self._apply_relayed(preceding, revision)
            spacing = self._poll_spacing(len(asked))
            polled = await self._poll_store(revision, spacing)
            if polled is not None:
                return polled
            # The store may not serve this node, but others.
            relayed = await self._ask_others(groups[-1], asked, revision) or preceding
            if relayed is not None:
                return self._apply_relayed(relayed, revision)
            pause = self._interval * (0.5 + 0.5 * self._rng.random())
            polled = await self._await_poll(revision, pause, spacing)
            if polled is not None:
                return polled

    def nearer_peers(self) -> list[str]:
        """Return the peers that may be asked instead of a store in another region."""
        return self._peers_before_this(self._groups()) if self._spans_regions() else []

    def _spans_regions(self) -> bool:
        return self._choice.topology.has_regions()

    def _groups(self) -> list[NodeGroup]:
        """Return the groups in which this node looks for a peer to ask, the nearest first.

        In a deployment with regions, the changes of the store are sent to each region once.
        """
        if self._spans_regions():
            region = self._choice.region_group(self._choice.topology.region)
            if len(self._state.nodes.relay_order(region)) <= SINGLE_GROUP_NODES:
                return [region]
            return [self._own.zone, region]
        return [None if len(self._state.nodes) <= SINGLE_GROUP_NODES else self._own.zone]

    def _peers_before_this(self, groups: list[NodeGroup]) -> list[str]:
        """Return the first nodes of the nearest group that has nodes before this one."""
        now = self._clock()
        before = (self._choice.preceding_nodes(group, now) for group in groups)
        return next((nodes[:MAX_PEERS_ASKED] for nodes in before if nodes), [])

    async def _poll_at_once(self, revision: StoreRevision) -> StoreRevision:
        """Poll the store without waiting for a change."""
        started_at = self._clock()
        changes = await self._store.changes(revision, 0.0)
        self._note_success()
        return self._apply_polled(changes, started_at)

    async def _ask_others(
        self, group: NodeGroup, asked: list[str], revision: StoreRevision
    ) -> RelayedChanges | None:
        """Ask a few nodes of a group that were not asked yet; return the first fresh answer."""
        usable = self._choice.others(group, self._clock())
        others = [node for node in usable if node not in asked]
        chosen = self._rng.sample(others, min(MAX_PEERS_ASKED, len(others)))
        return await self._ask_peers(self._with_last_source(chosen, others), revision)

    def _with_last_source(self, chosen: list[str], others: list[str]) -> list[str]:
        """Return the peers to ask, first of all the last one that gave a fresh answer."""
        if self._source is None or self._source not in others:
            return chosen
        return [self._source, *(node for node in chosen if node != self._source)]

    async def _ask_peers(
        self, node_ids: Iterable[str], revision: StoreRevision
    ) -> RelayedChanges | None:
        """Return the answer of the first peer with a fresh copy; None if no peer has one.

        A peer that waits for an overdue answer of the store counts only if no other has one: the
        store may have lost its poll and serve others.
        """
        overdue: RelayedChanges | None = None
        for node_id in node_ids:
            relayed = await self._peers.ask(node_id, revision)
            if relayed is None:
                self._choice.mark_unreachable(node_id, self._clock())
            elif relayed.is_complete and self._is_fresh(relayed):
                if not relayed.is_store_overdue:
                    return relayed
                if overdue is None or relayed.revision > overdue.revision:
                    overdue = relayed
        return overdue

    def _apply_announcement_times(self, relayed: RelayedChanges) -> None:
        """Apply a peer's announcement times of the weights versions that this node knows."""
        now = self._clock()
        for named in relayed.named:
            self._state.narrow_weights_bound(named, relayed.node_id, now)

    async def _ask_announcement_times(self, revision: StoreRevision) -> None:
        """Ask peers when the weights versions were announced that this node found at its start.

        This node can't tell how long ago that was. Without an answer, it would after a while
        consider all runners with older weights outdated, though its peers still use them. Nodes
        that poll peers get the times with each answer, but the first node of a group polls the
        store only.
        """
        if not self._state.versions.lacks_announcement_time(self._clock()):
            return
        others = self._choice.others(self._groups()[-1], self._clock())
        for node_id in self._rng.sample(others, min(MAX_PEERS_ASKED, len(others))):
            relayed = await self._peers.ask(node_id, revision)
            if relayed is not None:
                self._apply_announcement_times(relayed)

    async def _poll_store(self, revision: StoreRevision, spacing: float) -> StoreRevision | None:
        """Start a poll of the store if it is time, and wait for its answer until it is overdue.

        Args:
            revision: The revision up to which this node has all changes.
            spacing: Seconds between the starts of two polls while the store does not answer.

        Returns:
            The new revision, or None without an answer.

        Raises:
            HistoryLostError: The store no longer has the changes, or was restored since then.
        """
        if revision.era < self._state.store_era.current:
            raise HistoryLostError(f"restored since {revision}", step="watch")
        wait = OVERDUE_SECONDS if self._state.is_store_overdue else math.inf
        if self._clock() >= self._next_poll_at:
            self._start_poll(revision, spacing)
        elif not self._polls:
            return None
        return await self._await_poll(revision, wait, spacing)

    async def _await_poll(
        self, revision: StoreRevision, seconds: float, spacing: float
    ) -> StoreRevision | None:
        """Wait until a poll ends, the next one is due or the time is over; apply an answer."""
        until_next_poll = max(0.0, self._next_poll_at - self._clock())
        outcome = await self._polls.next_outcome(min(seconds, until_next_poll))
        if outcome is None:
            self._state.is_store_overdue |= self._clock() >= self._next_poll_at
            return None
        if isinstance(outcome.answer, PlatformError):
            self._take_failure(outcome, outcome.answer, spacing)
            return None
        return self._take_answer(outcome, outcome.answer, revision)

    def _start_poll(self, revision: StoreRevision, spacing: float) -> None:
        """Start a poll, which waits for a change unless an earlier poll is unanswered."""
        if self._state.is_store_overdue:
            self._polls.start(revision, 0.0)
            self._next_poll_at = self._clock() + spacing
            return
        wait = min(WATCH_WAIT_SECONDS, self._interval)
        self._polls.start(revision, wait)
        self._next_poll_at = self._clock() + wait + self._overdue_seconds()

    def _overdue_seconds(self) -> float:
        slow = min(SLOW_ANSWER_SECONDS, SLOW_FACTOR * self._late_seconds)
        return max(OVERDUE_SECONDS, slow)

    def _poll_spacing(self, preceding: int) -> float:
        """Return the seconds between the starts of two polls while the store does not answer.

        An answer of a slow store, to a poll that starts this long after the store's return, still
        arrives before a change must be in force. A node after others in its group can rely on
        them, and polls less often in a large deployment: each call has a cost.
        """
        apply_seconds = self._interval / POLL_FRACTION
        spacing = max(self._interval, apply_seconds - SLOW_ANSWER_SECONDS - RELAY_SECONDS)
        if preceding >= MAX_PEERS_ASKED:
            shared = len(self._state.nodes) * SHARED_SPACING_SECONDS
            spacing = max(spacing, min(shared, MAX_SPACING_SECONDS))
        return spacing

    def _take_answer(
        self, outcome: PollOutcome, changes: ChangesView, revision: StoreRevision
    ) -> StoreRevision | None:
        """Apply the answer to a poll; return the new revision.

        None if a peer's changes were applied after the poll began. The answer then only shows that
        the store answers again, and the next poll starts at once.
        """
        self._end_polls()
        self._late_seconds = max(outcome.late_seconds, LATENESS_DECAY * self._late_seconds)
        self._note_success()
        if outcome.since != revision:
            return None
        return self._apply_polled(changes, outcome.started_at)

    def _take_failure(self, outcome: PollOutcome, error: PlatformError, spacing: float) -> None:
        """Record a failed poll, and decide when the next one starts.

        After the first poll that was cut off, the next one starts at once: the connection may be
        broken while new ones work.

        Raises:
            HistoryLostError: The store no longer has the changes.
        """
        if isinstance(error, HistoryLostError):
            self._end_polls()
            raise error
        is_first, self._state.is_store_overdue = not self._state.is_store_overdue, True
        self._note_failure(error)
        now = self._clock()
        if now - outcome.started_at >= OVERDUE_SECONDS:
            return
        may_be_connection = is_first and isinstance(error, PlatformOutcomeUnknownError)
        self._next_poll_at = now if may_be_connection else now + self._pause(spacing)

    def _pause(self, spacing: float) -> float:
        """Return the pause before the next poll of a store that fails calls without delay."""
        if len(self._state.nodes) <= 1:
            return RETRY_SECONDS * (0.5 + self._rng.random())
        longest = spacing * (0.75 + 0.25 * self._rng.random())
        return min(longest, REFUSED_PAUSE_SECONDS * (0.5 + self._rng.random()))

    def _end_polls(self) -> None:
        """Abandon all polls, because the store has answered; the next one may start at once."""
        self._polls.cancel()
        self._state.is_store_overdue = False
        self._next_poll_at = float("-inf")

    def _apply_polled(self, changes: ChangesView, started_at: float) -> StoreRevision:
        self._note_source(None)
        self._applier.apply(changes.changes)
        self._log.apply([change.item for change in changes.changes], changes.revision)
        self._state.note_proof(changes.revision, started_at)
        return changes.revision

    def _is_fresh(self, relayed: RelayedChanges) -> bool:
        """Return whether a peer's copy belongs to the store's current era and is recent."""
        if relayed.revision.era < self._state.store_era.current:
            return False
        return self._clock() - relayed.proved_at <= self._fresh_seconds()

    def _fresh_seconds(self) -> float:
        return FRESH_INTERVALS * self._interval + FRESH_MARGIN_SECONDS

    def _apply_relayed(self, relayed: RelayedChanges, revision: StoreRevision) -> StoreRevision:
        self._note_source(relayed.node_id)
        changes = self._store.read_items(relayed.items)
        self._apply_outage(relayed)
        if relayed.keys is not None:
            self._note_era(relayed.revision, relayed.keys)
        self._applier.apply(changes)
        self._log.apply(relayed.items, relayed.revision)
        if relayed.keys is not None:
            self._log.retain(relayed.keys, relayed.revision)
            self._retain(relayed.keys, relayed.revision)
        self._apply_announcement_times(relayed)
        self._state.note_proof(relayed.revision, relayed.proved_at)
        return max(revision, relayed.revision)

    def _apply_outage(self, relayed: RelayedChanges) -> None:
        """End this node's failure period, and apply a peer's report of an outage.

        The report is applied only if this node's own copy was stale at the end of the outage too.
        An outage that only one peer has seen must not extend the time bounds of other nodes.
        """
        if self._failing_since is not None:
            logger.info("store known again", extra={"by_way_of": self._source})
            self._failing_since = None
            self._outage.answered()
        ended_at = relayed.outage_ended_at
        if ended_at is None:
            return
        if ended_at - self._state.freshness.proved_at() > self._fresh_seconds():
            self._state.note_store_recovered(ended_at, self._clock())

    def _retain(self, keys: Collection[str], revision: StoreRevision) -> None:
        """Remove everything that is missing from a full key list read at a revision."""
        listed = self._store.listed(keys)
        now = self._clock()
        self._state.retain_runners(listed.runner_ids, now, revision)
        self._state.retain_nodes(listed.node_ids, now, revision)
        self._state.retain_rollouts(listed.rollouts, now, revision)
        if not listed.has_duty_holder:
            self._state.apply(DutyHeld(None), now)

    def _note_era(self, revision: StoreRevision, keys: Sequence[str]) -> None:
        """Record a restore of the store if a full list is of a later era than this node's copy."""
        before = self._log.revision
        if before == NO_REVISION or before.era >= revision.era:
            return
        now = self._clock()
        lost = self._log.keys_missing_from(keys)
        fields: dict[str, object] = {
            "before": str(before),
            "revision": str(revision),
            "age_seconds": round(self._state.freshness.age(now), 2),
            "lost": lost[:MAX_KEYS_LOGGED],
            "lost_count": len(lost),
            "by_way_of": self._source or "itself",
        }
        logger.warning("store read after a restore", extra=fields)
        self._state.note_restored(now)

    def _note_source(self, node_id: str | None) -> None:
        """Record the peer that sent the latest changes, or None for the store; log a new source."""
        if node_id == self._source:
            return
        self._source = node_id
        logger.info("store followed", extra={"by_way_of": node_id or "itself"})

    def _note_failure(self, error: PlatformError) -> None:
        now = self._clock()
        # At a start, requests no longer wait for the first read.
        self._state.start_gate.open()
        self._failed_at = now
        is_explained = isinstance(error, PlatformThrottledError) or self._is_lagging()
        self._outage.failed(now, is_explained=is_explained)
        if self._failing_since is None:
            self._failing_since = now
            age = self._state.freshness.age(now)
            fields = error_fields(error) | {"age_seconds": round(age, 2)}
            logger.warning("store lost", extra=fields)

    def _note_success(self) -> None:
        if self._failing_since is None:
            return
        failure_seconds = self._failed_at - self._failing_since
        self._failing_since = None
        outage_ended_at = self._outage.answered()
        fields = {
            "lost_seconds": round(failure_seconds, 2),
            "was_outage": outage_ended_at is not None,
        }
        logger.info("store regained", extra=fields)
        # Whatever made the calls fail, the calls of runners may have failed for the same reason.
        if failure_seconds >= OUTAGE_SECONDS:
            self._state.note_calls_failed(self._failed_at)
        if outage_ended_at is not None:
            self._state.note_store_recovered(outage_ended_at, self._clock())
