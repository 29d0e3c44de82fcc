"""Keeps a node's state in step with the store.

A paced look at what has changed, by way of a peer that knows or at the store itself. Each answer
brings the changes and proves how fresh the node's knowledge is.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Collection, Iterable, Sequence
from random import Random
from typing import Protocol

from hillstack.core.node_directory import NodeEntry, NodeGroup
from hillstack.core.outage import OutageEvidence
from hillstack.core.relay_choice import RelayChoice
from hillstack.core.store_revision import NO_REVISION, StoreRevision
from hillstack.daemon.change_log import ChangeLog, ListedKeys, StoreChange, StoredItem
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

# The store answers at the next change, which comes within some ten milliseconds where runners write
# heartbeats; without any, a call a second proves freshness well within the bounds.
WATCH_WAIT_SECONDS = 1.0
# Between failed looks: the freshness bound of 4.5 s leaves room for ten.
RETRY_SECONDS = 0.3
# Spreads the looks of nodes that hear of a restore at once: the first ones answer the others.
RESTORED_SPREAD_SECONDS = 0.2
# Before everything is read anew; history that is gone stays gone.
RELOAD_SECONDS = 0.05
# Shorter failures are lost answers: no entry of a runner lapses in them (three heartbeats).
OUTAGE_SECONDS = 0.8
# A node whose peers answer, but with old knowledge, asks the store itself no more often than that:
# in an outage hundreds of nodes do, and each call costs.
DIRECT_PAUSE_SECONDS = 1.0
# Peers that are asked before the store; a third would add its wait to a change that is due.
MAX_PEERS_ASKED = 2
# A peer's knowledge is fresh while it is younger than two looks and the wait for a slow answer.
FRESH_LOOKS = 2.0
FRESH_MARGIN_SECONDS = 0.5
# Up to so many nodes are one group, whose first node watches the store for all: its answers take a
# percent of a core then. In a larger deployment each zone is one, so that what is handed on stays
# inside it.
SINGLE_GROUP_NODES = 64


# Keys in one line of the log; their count is told besides.
MAX_KEYS_LOGGED = 20


class SnapshotView(Protocol):
    """Everything that the store holds."""

    @property
    def changes(self) -> Sequence[StoreChange]:
        """All items."""
        ...

    @property
    def revision(self) -> StoreRevision:
        """Revision from which to watch."""
        ...

    @property
    def latest(self) -> StoreRevision:
        """Revision up to which some of the items may go."""
        ...


class ChangesView(Protocol):
    """Changes since a revision."""

    @property
    def changes(self) -> Sequence[StoreChange]:
        """The changes in order."""
        ...

    @property
    def revision(self) -> StoreRevision:
        """Revision up to which they go."""
        ...


class Store(Protocol):
    """The calls that the sync needs, and the reading of what they bring."""

    async def snapshot(self, *, may_be_old: bool = False) -> SnapshotView:
        """Return everything; raises ``PlatformError``."""
        ...

    async def changes(self, revision: StoreRevision, wait_seconds: float) -> ChangesView:
        """Return the changes after a revision; raises ``PlatformError``."""
        ...

    async def announce_node(self, node: NodeEntry) -> StoreRevision:
        """Write a node's entry; return its revision; raises ``PlatformError``."""
        ...

    def read_items(self, items: Iterable[StoredItem]) -> list[StoreChange]:
        """Return what items mean; one that can't be read counts as removed."""
        ...

    def listed(self, keys: Iterable[str]) -> ListedKeys:
        """Return what a whole list of keys says."""
        ...


class Peers(Protocol):
    """Peers that may know what has changed."""

    async def ask(self, node_id: str, revision: StoreRevision) -> RelayedChanges | None:
        """Return what a peer knows beyond a revision, or None."""
        ...


class StoreSync:
    """The loop that follows the store.

    Args:
        store: The store.
        state: What the node knows.
        log: Where changes are kept for peers that ask.
        peers: Peers that are asked before the store.
        choice: Which of them.
        own: What the others need to know of this node.
        interval: Seconds between two looks.
        clock: Monotonic seconds.
        rng: Source of randomness.
        is_behind: Whether this node is late with its own reading, so that it may miss answers.
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
        is_behind: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_behind = is_behind
        self._outage = OutageEvidence(OUTAGE_SECONDS)
        self._store = store
        self._state = state
        self._log = log
        self._peers = peers
        self._choice = choice
        self._own = own
        self._interval = interval
        self._clock = clock
        self._rng = rng
        self._lost_at: float | None = None
        self._failed_at = 0.0
        self._direct_from = float("-inf")
        self._refusal: PlatformError | None = None
        self._source: str | None = None
        self._must_read_anew = False
        self._history_lost = False
        self._woken = asyncio.Event()
        state.store_era.handle_new(self._wake)
        state.store_era.handle_fallen(self.read_anew)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        revision: StoreRevision | None = None
        while True:
            started_at = self._clock()
            try:
                if revision is None:
                    revision = await self._load(started_at)
                elif self._history_lost:
                    revision = await self._load_or_ask_peers(revision)
                else:
                    revision = await self._follow(revision)
                revision = await self._join(revision)
                await self._ask_when_named(revision)
            except HistoryLostError as error:
                logger.info("store history lost", extra=error_fields(error))
                self._history_lost = True
                await asyncio.sleep(RELOAD_SECONDS)
                continue
            except PlatformError as error:
                if error is not self._refusal:
                    self._lost(error)
                await asyncio.sleep(RETRY_SECONDS * (0.5 + self._rng.random()))
                continue
            self._state.expire(self._clock())
            await self._pause_until(started_at + self._interval)

    async def _pause_until(self, moment: float) -> None:
        """Wait for the next look, or until the store is heard to be another one."""
        wait = max(0.0, moment - self._clock())
        if not self._woken.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self._woken.wait()
        if self._woken.is_set():
            self._woken.clear()
            await asyncio.sleep(RESTORED_SPREAD_SECONDS * self._rng.random())

    def _wake(self, told_by: str) -> None:
        """Look soon at a store that has come back with an older state."""
        self._woken.set()

    def read_anew(self) -> None:
        """Read the whole store at the next look, since something is known otherwise."""
        self._must_read_anew = True

    async def _load(self, started_at: float) -> StoreRevision:
        snapshot = await self._store.snapshot()
        self._regained()
        items = [change.item for change in snapshot.changes]
        self._note_era(snapshot.revision, [item.key for item in items])
        self._apply(snapshot.changes)
        self._log.load(items, snapshot.revision)
        self._retain([item.key for item in items], snapshot.revision)
        self._state.duty_known = True
        self._state.note_proof(snapshot.revision, started_at)
        self._state.start_gate.open()
        return snapshot.revision

    async def _try_load(self) -> StoreRevision | None:
        """Read the whole store; a node that it turns away goes on with what its peers know."""
        self._must_read_anew = False
        try:
            return await self._load(self._clock())
        except PlatformError as error:
            logger.warning("not read anew", extra=error_fields(error))
            return None

    async def _load_or_ask_peers(self, revision: StoreRevision) -> StoreRevision:
        """Read the whole store, which lacks the changes that this node needs, or ask its peers.

        Raises:
            PlatformError: The store turns this node away, and no peer knows more.
        """
        try:
            loaded = await self._load(self._clock())
        except PlatformError:
            relayed = await self._ask_others(self._groups()[-1], [], revision)
            if relayed is None:
                raise
            loaded = self._take_relayed(relayed, revision)
        self._history_lost = False
        return loaded

    async def _join(self, revision: StoreRevision) -> StoreRevision:
        """Let the other nodes know this one, and know them; return up to where it knows all.

        What it reads before its own entry is written lacks those that start with it. Of any two
        nodes the one that is listed later finds the other if it reads after that, and is heard.
        """
        await self._announce_if_missing()
        own = self._state.nodes.get(self._state.node_id)
        if self._state.peers_known or own is None:
            return revision
        if revision < own.revision:
            revision = await self._look_again(revision)
        if revision >= own.revision:
            self._state.note_peers_known(self._clock())
        return revision

    async def _announce_if_missing(self) -> None:
        """Write this node's entry if it is not listed, or was taken off the list."""
        known = self._state.nodes.get(self._state.node_id)
        if known is not None and known.is_same_but_revision(self._own):
            return
        own = self._own
        revision = await self._store.announce_node(own)
        # Known at once: the change itself comes back only with a later look.
        listed = NodeListed(own.node_id, own.address, own.zone, revision, own.link_megabits)
        self._state.apply(listed, self._clock())

    async def _follow(self, revision: StoreRevision) -> StoreRevision:
        """Take over what has changed, from the first peer with fresh knowledge or the store."""
        if self._must_read_anew:
            loaded = await self._try_load()
            if loaded is not None:
                return loaded
        groups = self._groups()
        was_known = self._refusal is None
        asked = self._peers_before_this(groups)
        relayed = await self._ask_peers(asked, revision)
        if relayed is not None:
            return self._take_relayed(relayed, revision)
        failure = await self._try_store(revision, may_pause=len(self._state.nodes) > 1)
        if isinstance(failure, StoreRevision):
            return failure
        # The store turns this node away: it may serve others.
        relayed = await self._ask_others(groups[-1], asked, revision)
        if relayed is not None:
            return self._take_relayed(relayed, revision)
        if was_known and isinstance(failure, PlatformOutcomeUnknownError):
            return await self._look_again(revision)
        raise failure

    def nearer_peers(self) -> list[str]:
        """Return the peers that may be asked in the place of a store in another region."""
        return self._peers_before_this(self._groups()) if self._spans_regions() else []

    def _spans_regions(self) -> bool:
        return self._choice.topology.has_regions()

    def _groups(self) -> list[NodeGroup]:
        """Return the groups in which this node looks for a peer to ask, the nearest first.

        Where there are regions, the changes of the store cross to each of them once.
        """
        if self._spans_regions():
            region = self._choice.region_group(self._choice.topology.region)
            if len(self._state.nodes.relay_order(region)) <= SINGLE_GROUP_NODES:
                return [region]
            return [self._own.zone, region]
        return [None if len(self._state.nodes) <= SINGLE_GROUP_NODES else self._own.zone]

    def _peers_before_this(self, groups: list[NodeGroup]) -> list[str]:
        """Return the first nodes of the nearest group in which any come before this one."""
        now = self._clock()
        before = (self._choice.before_this(group, now) for group in groups)
        return next((nodes[:MAX_PEERS_ASKED] for nodes in before if nodes), [])

    async def _look_again(self, revision: StoreRevision) -> StoreRevision:
        """Look at once after a first look without an answer, and without waiting for a change.

        Its connection may have gone silent while new ones work. This answer comes over a new one
        and proves freshness right away. With looks a second apart, knowledge grows 4.2 s old where
        a pause comes first, 3.7 s at most without one; the shortest bound seen is 4.5 s.
        """
        revision = await self._follow_store(revision, wait_seconds=0.0)
        self._refusal = None
        return revision

    async def _ask_others(
        self, group: NodeGroup, asked: list[str], revision: StoreRevision
    ) -> RelayedChanges | None:
        """Return what a few nodes of a group say that were not asked before; None without one."""
        usable = self._choice.others(group, self._clock())
        others = [node for node in usable if node not in asked]
        chosen = self._rng.sample(others, min(MAX_PEERS_ASKED, len(others)))
        return await self._ask_peers(self._with_last_source(chosen, others), revision)

    def _with_last_source(self, chosen: list[str], others: list[str]) -> list[str]:
        """Return the peers to ask, the one that helped the last time first."""
        if self._source is None or self._source not in others:
            return chosen
        return [self._source, *(node for node in chosen if node != self._source)]

    async def _ask_peers(
        self, node_ids: Iterable[str], revision: StoreRevision
    ) -> RelayedChanges | None:
        """Return what the first of several peers with fresh knowledge says; None without one."""
        for node_id in node_ids:
            relayed = await self._peers.ask(node_id, revision)
            if relayed is None:
                self._choice.pass_over(node_id, self._clock())
            elif relayed.is_complete and self._is_fresh(relayed):
                self._note_source(node_id)
                return relayed
        return None

    def _take_named(self, relayed: RelayedChanges, node_id: str) -> None:
        """Take over when versions of weights were named, of those that are known here."""
        now = self._clock()
        for named in relayed.named:
            self._state.narrow_weights_named(named, node_id, now)

    async def _ask_when_named(self, revision: StoreRevision) -> None:
        """Ask peers when versions were named that this node has found at its start.

        They may have been named long ago, for all it knows: without an answer all runners with
        older weights are too old once it has run for a while, though its peers use them on. Nodes
        that follow peers are told anyway; the first one of a group asks nobody else.
        """
        if not self._state.versions.lacks_naming(self._clock()):
            return
        others = self._choice.others(self._groups()[-1], self._clock())
        for node_id in self._rng.sample(others, min(MAX_PEERS_ASKED, len(others))):
            relayed = await self._peers.ask(node_id, revision)
            if relayed is not None:
                self._take_named(relayed, node_id)

    async def _try_store(
        self, revision: StoreRevision, *, may_pause: bool
    ) -> StoreRevision | PlatformError:
        """Return the new revision, or why the store could not be asked now.

        Args:
            revision: Up to where this node knows all.
            may_pause: Whether the last failure may stand for a while, since peers are asked too.
        """
        if may_pause and self._refusal is not None and self._clock() < self._direct_from:
            return self._refusal
        try:
            revision = await self._follow_store(revision)
        except HistoryLostError:
            raise
        except PlatformError as error:
            pause = DIRECT_PAUSE_SECONDS * (0.5 + self._rng.random())
            self._direct_from = self._clock() + pause
            self._refusal = error
            self._lost(error)
            return error
        self._refusal = None
        return revision

    async def _follow_store(
        self, revision: StoreRevision, wait_seconds: float = WATCH_WAIT_SECONDS
    ) -> StoreRevision:
        started_at = self._clock()
        if revision.era < self._state.store_era.current:
            raise HistoryLostError(f"restored since {revision}", step="watch")
        changes = await self._store.changes(revision, wait_seconds)
        self._regained()
        self._note_source(None)
        self._apply(changes.changes)
        self._log.take([change.item for change in changes.changes], changes.revision)
        self._state.note_proof(changes.revision, started_at)
        return changes.revision

    def _is_fresh(self, relayed: RelayedChanges) -> bool:
        """Return whether a peer's knowledge is of the store as it stands, and young."""
        if relayed.revision.era < self._state.store_era.current:
            return False
        return self._clock() - relayed.proved_at <= self._fresh_seconds()

    def _fresh_seconds(self) -> float:
        return FRESH_LOOKS * self._interval + FRESH_MARGIN_SECONDS

    def _take_relayed(self, relayed: RelayedChanges, revision: StoreRevision) -> StoreRevision:
        changes = self._store.read_items(relayed.items)
        self._take_outage(relayed)
        if relayed.keys is not None:
            self._note_era(relayed.revision, relayed.keys)
        self._apply(changes)
        self._log.take(relayed.items, relayed.revision)
        if relayed.keys is not None:
            self._log.retain(relayed.keys, relayed.revision)
            self._retain(relayed.keys, relayed.revision)
        self._take_named(relayed, self._source or "")
        self._state.note_proof(relayed.revision, relayed.proved_at)
        return max(revision, relayed.revision)

    def _take_outage(self, relayed: RelayedChanges) -> None:
        """Take over that the store was away, if this node had no fresh knowledge meanwhile either.

        An outage that one peer alone has seen moves nobody else's bounds.
        """
        if self._lost_at is not None:
            logger.info("store known again", extra={"by_way_of": self._source})
            self._lost_at = None
            self._outage.answered()
        ended_at = relayed.outage_ended_at
        if ended_at is None:
            return
        if ended_at - self._state.freshness.proved_at() > self._fresh_seconds():
            self._state.store_regained(ended_at, self._clock())

    def _retain(self, keys: Collection[str], revision: StoreRevision) -> None:
        """Drop what a whole list, as of a revision, no longer has."""
        listed = self._store.listed(keys)
        now = self._clock()
        self._state.retain_runners(listed.runner_ids, now, revision)
        self._state.retain_nodes(listed.node_ids, now, revision)
        self._state.retain_rollouts(listed.rollouts, now, revision)
        if not listed.duty_held:
            self._state.apply(DutyHeld(None), now)

    def _note_era(self, revision: StoreRevision, keys: Sequence[str]) -> None:
        """Note that a whole list is of a later era than what this node knew."""
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
        if node_id == self._source:
            return
        self._source = node_id
        logger.info("store followed", extra={"by_way_of": node_id or "itself"})

    def _apply(self, changes: Iterable[StoreChange]) -> None:
        now = self._clock()
        for change in changes:
            if change.event is not None:
                not_before = self._state.proofs.latest_before(change.item.revision)
                self._state.apply(change.event, not_before, now)

    def _lost(self, error: PlatformError) -> None:
        now = self._clock()
        self._state.start_gate.open()
        self._failed_at = now
        is_explained = isinstance(error, PlatformThrottledError) or self._is_behind()
        self._outage.failed(now, is_explained=is_explained)
        if self._lost_at is None:
            self._lost_at = now
            age = self._state.freshness.age(now)
            fields = error_fields(error) | {"age_seconds": round(age, 2)}
            logger.warning("store lost", extra=fields)

    def _regained(self) -> None:
        if self._lost_at is None:
            return
        lasted = self._failed_at - self._lost_at
        self._lost_at = None
        away_until = self._outage.answered()
        fields = {"lost_seconds": round(lasted, 2), "was_outage": away_until is not None}
        logger.info("store regained", extra=fields)
        if lasted >= OUTAGE_SECONDS:
            self._state.note_calls_failed(self._failed_at)
        if away_until is not None:
            self._state.store_regained(away_until, self._clock())
