"""Reads changes of the store through other nodes, so that few nodes query the store itself.

A node asks the first two reachable nodes of its group that precede it in the relay order, and
queries the store only if neither has a fresh copy. If the store fails, it asks a few other nodes of
the group. So one node of a group, the first one that can reach the store, polls it for the whole
group.

Freshness is transmitted as an age, never as a time of day. The asking node subtracts the age in the
answer from the moment at which it sent the question. So it never considers its copy fresher than it
is, however long a message is delayed or a node paused. The announcement times of weights versions
are transmitted in the same way.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from hillstack.core.store_revision import StoreRevision
from hillstack.core.weights_versions import NamedVersion
from hillstack.daemon.change_log import ChangeLog, StoredItem
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.pending_answers import PendingAnswers
from hillstack.messages.datagrams import DatagramKind
from hillstack.messages.packing import pack, unpack
from hillstack.messages.peer_notices import PROTOCOL_VERSION
from hillstack.messages.store_changes import (
    ChangesAnswer,
    ChangesQuestion,
    ItemChange,
    NamedWeights,
)
from hillstack.serving.fleet_state import FleetState

logger = logging.getLogger(__name__)

# About ten times the round trip between zones, plus the longest time for which a relay is busy.
# Each lost question or answer costs this time once.
ANSWER_SECONDS = 0.15
# A larger answer is not sent, and the asking node queries the store instead. On an ordinary network
# an answer of this size takes about 16 fragments, none of which may be lost.
MAX_ANSWER_BYTES = 24_000
# Time after a restore of the store for which earlier builds get all keys with each answer. By then
# the writes of the runners have raised the revisions above those from before the restore.
LIST_KEYS_SECONDS = 60.0
MILLISECONDS = 1_000.0


@dataclass(frozen=True, slots=True)
class RelayedChanges:
    """A peer's changes of the store since a revision.

    Attributes:
        items: The changes.
        revision: The revision up to which the changes are complete.
        proved_at: The time, on this node's clock, up to which the peer has all acknowledged writes.
        outage_ended_at: When the store last became reachable again for the peer; None if the peer
            saw no outage.
        keys: All existing keys, if the changes lack some removals; else None.
        is_complete: Whether the answer contains the changes; otherwise only the times are valid.
        named: Recently announced weights versions. Their times are on this node's clock and never
            later than the announcement.
        is_store_overdue: Whether the peer waits for an overdue answer of the store.
        node_id: The peer.
    """

    items: list[StoredItem]
    revision: StoreRevision
    proved_at: float
    outage_ended_at: float | None
    keys: list[str] | None
    is_complete: bool
    named: list[NamedVersion] = field(default_factory=list)
    is_store_overdue: bool = False
    node_id: str = ""


class StoreRelay:
    """Asks peers for changes of the store, and answers their questions from the change log.

    Args:
        state: State of this node.
        log: Changes that this node has applied.
        link: Sends and receives datagrams.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self, state: FleetState, log: ChangeLog, link: PeerLink, clock: Callable[[], float]
    ) -> None:
        self._state = state
        self._log = log
        self._link = link
        self._clock = clock
        self._restored_at = float("-inf")
        state.store_era.handle_new(self._note_restored)
        self._pending: PendingAnswers[ChangesAnswer] = PendingAnswers(ANSWER_SECONDS)
        link.handle(DatagramKind.CHANGES_QUESTION, self._take_question)
        link.handle(DatagramKind.CHANGES_ANSWER, self._take_answer)

    async def ask(self, node_id: str, revision: StoreRevision) -> RelayedChanges | None:
        """Return a peer's changes since a revision.

        Returns None if the peer does not answer or has not read the store yet.

        Args:
            node_id: The peer.
            revision: The revision up to which this node has all changes.
        """
        node = self._state.nodes.get(node_id)
        if node is None:
            return None
        asked_at = self._clock()

        def send(number: int) -> None:
            question = ChangesQuestion(
                PROTOCOL_VERSION, self._state.node_id, number, revision.number, revision.era
            )
            self._link.send(DatagramKind.CHANGES_QUESTION, pack(question), node.address)

        answer = await self._pending.ask(send)
        if answer is None:
            return None
        if answer.era is not None:
            self._state.store_era.observe(answer.era, node_id)
        return _relayed_changes(answer, asked_at)

    def _take_question(self, payload: bytes, peer: str) -> None:
        question = unpack(payload, ChangesQuestion, peer)
        node = self._state.nodes.get(question.node_id)
        if node is None:
            # The asking node is new; this node has not yet read its entry from the store.
            return
        if question.era is not None:
            self._state.store_era.observe(question.era, question.node_id)
        payload = pack(self._answer(question))
        if len(payload) > MAX_ANSWER_BYTES:
            fields = {"peer": question.node_id, "bytes": len(payload)}
            logger.info("changes too large for a datagram", extra=fields)
            payload = pack(self._ages_only(question))
        self._link.send(DatagramKind.CHANGES_ANSWER, payload, node.address)

    def _take_answer(self, payload: bytes, peer: str) -> None:
        answer = unpack(payload, ChangesAnswer, peer)
        self._pending.take(answer.number, answer)

    def _answer(self, question: ChangesQuestion) -> ChangesAnswer:
        asked = self._asked_revision(question)
        if question.era is None and asked > self._log.revision:
            # An earlier build that has not noticed a restore of the store: it would take an empty
            # list of changes as proof that its copy is fresh.
            return self._ages_only(question)
        changes = self._log.since(asked)
        keys = changes.keys
        if keys is None and question.era is None and self._is_recently_restored():
            # An earlier build may have items of the era before. It drops those that a full list of
            # keys lacks, once the revisions have risen above theirs.
            keys = self._log.keys()
        return ChangesAnswer(
            PROTOCOL_VERSION,
            self._state.node_id,
            question.number,
            changes.revision.number,
            self._age_ms(self._state.freshness.proved_at()),
            self._age_ms(self._state.outage_ended_at()),
            [ItemChange(item.key, item.revision.number, item.value) for item in changes.items],
            keys,
            named=self._named(),
            era=changes.revision.era,
            is_store_overdue=self._state.is_store_overdue,
        )

    def _is_recently_restored(self) -> bool:
        return self._clock() < self._restored_at + LIST_KEYS_SECONDS

    def _note_restored(self, source: str) -> None:
        self._restored_at = self._clock()

    def _asked_revision(self, question: ChangesQuestion) -> StoreRevision:
        """Return the revision in a question; a question of an earlier build names no era."""
        era = self._log.revision.era if question.era is None else question.era
        return StoreRevision(era, question.revision)

    def _ages_only(self, question: ChangesQuestion) -> ChangesAnswer:
        return ChangesAnswer(
            PROTOCOL_VERSION,
            self._state.node_id,
            question.number,
            question.revision,
            self._age_ms(self._state.freshness.proved_at()),
            self._age_ms(self._state.outage_ended_at()),
            is_complete=False,
            named=self._named(),
            era=self._log.revision.era,
            is_store_overdue=self._state.is_store_overdue,
        )

    def _named(self) -> list[NamedWeights]:
        recent = self._state.versions.recent(self._clock())
        return [
            NamedWeights(entry.model, entry.version, self._elapsed_ms(entry.acknowledged_after))
            for entry in recent
        ]

    def _age_ms(self, moment: float) -> int | None:
        """Return the age of a moment in milliseconds, rounded up; None for negative infinity."""
        if moment == float("-inf"):
            return None
        return self._elapsed_ms(moment)

    def _elapsed_ms(self, moment: float) -> int:
        return int((self._clock() - moment) * MILLISECONDS) + 1


def _relayed_changes(answer: ChangesAnswer, asked_at: float) -> RelayedChanges | None:
    if answer.age_ms is None:
        return None
    outage = answer.outage_age_ms
    # Without an era the changes can't be ordered, so the answer counts as incomplete.
    era = answer.era or 0
    return RelayedChanges(
        [
            StoredItem(item.key, StoreRevision(era, item.revision), item.value)
            for item in answer.items
        ],
        StoreRevision(era, answer.revision),
        asked_at - answer.age_ms / MILLISECONDS,
        asked_at - outage / MILLISECONDS if outage is not None else None,
        answer.keys,
        answer.is_complete and answer.era is not None,
        [
            NamedVersion(entry.model, entry.version, asked_at - entry.age_ms / MILLISECONDS)
            for entry in answer.named
        ],
        answer.is_store_overdue,
        answer.node_id,
    )
