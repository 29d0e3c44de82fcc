"""Changes of the store by way of other nodes, so that few nodes ask the store itself.

A node asks those of its group that come before it in the order of relays, and the store only where
none of them has fresh knowledge. So one node of a group, the first that reaches the store, watches
it for all.

How fresh the knowledge is passes on as an age, never as a time of day: the asker counts from the
moment when it sent the question, adds the age that the answer tells, and so never takes what it
knows for younger than it is, whatever is delayed, paused or lost on the way. In the same way it
learns when versions of weights were named.
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

# Some ten times the way there and back between zones, and a relay's longest work in between; a
# question or an answer that is lost costs this once.
ANSWER_SECONDS = 0.15
# A larger answer is not sent: the asker goes to the store. Some 16 pieces on an ordinary network,
# of which none may be lost.
MAX_ANSWER_BYTES = 24_000
MILLISECONDS = 1_000.0


@dataclass(frozen=True, slots=True)
class RelayedChanges:
    """What a peer knows of the store beyond a revision.

    Attributes:
        items: The changes.
        revision: Up to where they go.
        proved_at: Up to when the peer knew all that was acknowledged, on this node's clock.
        outage_ended_at: When the store came back for the peer; None if it was not away.
        keys: All keys that exist, where removals are not among the changes; else None.
        is_complete: Whether the changes are there.
        named: Versions of weights that were named lately, as far as the peer knows when; the times
            are on this node's clock and not too late.
    """

    items: list[StoredItem]
    revision: StoreRevision
    proved_at: float
    outage_ended_at: float | None
    keys: list[str] | None
    is_complete: bool
    named: list[NamedVersion] = field(default_factory=list)


class StoreRelay:
    """Asks peers for changes, and answers theirs from what this node knows.

    Args:
        state: What the node knows.
        log: The changes that this node knows of.
        link: Where datagrams are sent and come from.
        clock: Monotonic seconds.
    """

    def __init__(
        self, state: FleetState, log: ChangeLog, link: PeerLink, clock: Callable[[], float]
    ) -> None:
        self._state = state
        self._log = log
        self._link = link
        self._clock = clock
        self._pending: PendingAnswers[ChangesAnswer] = PendingAnswers(ANSWER_SECONDS)
        link.handle(DatagramKind.CHANGES_QUESTION, self._take_question)
        link.handle(DatagramKind.CHANGES_ANSWER, self._take_answer)

    async def ask(self, node_id: str, revision: StoreRevision) -> RelayedChanges | None:
        """Return what a peer knows beyond a revision; None if it does not answer or knows nothing.

        Args:
            node_id: The peer.
            revision: Up to where this node knows all.
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
            self._state.store_era.hear(answer.era, node_id)
        return _relayed(answer, asked_at)

    def _take_question(self, payload: bytes, peer: str) -> None:
        question = unpack(payload, ChangesQuestion, peer)
        node = self._state.nodes.get(question.node_id)
        if node is None:
            # It is new, and this node will hear of it from the store.
            return
        if question.era is not None:
            self._state.store_era.hear(question.era, question.node_id)
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
        asked = self._asked(question)
        if question.era is None and asked > self._log.revision:
            # An earlier build, before a restore: it would take no news for fresh knowledge.
            return self._ages_only(question)
        changes = self._log.since(asked)
        return ChangesAnswer(
            PROTOCOL_VERSION,
            self._state.node_id,
            question.number,
            changes.revision.number,
            self._age_ms(self._state.freshness.proved_at()),
            self._age_ms(self._state.outage_ended_at()),
            [ItemChange(item.key, item.revision.number, item.value) for item in changes.items],
            changes.keys,
            named=self._named(),
            era=changes.revision.era,
        )

    def _asked(self, question: ChangesQuestion) -> StoreRevision:
        """Return the revision of a question; an earlier build follows some era without a name."""
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
        )

    def _named(self) -> list[NamedWeights]:
        recent = self._state.versions.recent(self._clock())
        return [
            NamedWeights(entry.model, entry.version, self._rounded_up(entry.acknowledged_after))
            for entry in recent
        ]

    def _age_ms(self, moment: float) -> int | None:
        """Return how long ago a moment was, rounded up; None if there was none."""
        if moment == float("-inf"):
            return None
        return self._rounded_up(moment)

    def _rounded_up(self, moment: float) -> int:
        return int((self._clock() - moment) * MILLISECONDS) + 1


def _relayed(answer: ChangesAnswer, asked_at: float) -> RelayedChanges | None:
    if answer.age_ms is None:
        return None
    outage = answer.outage_age_ms
    # Changes that may be of any era are as good as none.
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
    )
