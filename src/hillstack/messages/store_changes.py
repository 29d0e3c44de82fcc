"""Requests and answers between nodes about changes of the store."""

from __future__ import annotations

import msgspec

from hillstack.messages.packing import PackedMessage


class ChangesQuestion(PackedMessage, array_like=True, frozen=True):
    """A request for all changes since a revision.

    Attributes:
        number: Number of the request, repeated in the answer.
        revision: Revision up to which the sender has all changes.
        era: Era of the store to which the revision belongs; None if the sender supports no eras.
    """

    node_id: str
    number: int
    revision: int
    era: int | None = None


class ItemChange(msgspec.Struct, array_like=True, frozen=True):
    """The latest change of a key; ``value`` is None if the key was removed."""

    key: str
    revision: int
    value: bytes | None


class NamedWeights(msgspec.Struct, array_like=True, frozen=True):
    """A version of a model's weights that was published in the store.

    Attributes:
        age_ms: Upper bound of the time since the publication, rounded up.
    """

    model: str
    version: int
    age_ms: int


class ChangesAnswer(PackedMessage, array_like=True, frozen=True):
    """A node's answer with the changes of the store that it has received.

    Attributes:
        number: Number of the request.
        revision: Revision up to which the changes are included.
        age_ms: Age of the sender's data when the answer was sent: the time since the sender, or the
            peer that supplied the data, sent its request to the store. None if the sender has no
            data.
        outage_age_ms: Time since the end of the last store outage for the sender; None if there was
            no outage.
        items: The changes.
        keys: All existing keys if the sender can no longer list every removal; else None.
        is_complete: Whether all changes fit in the answer; if not, the answer contains only ages.
        named: Versions of weights that were published recently, with their maximum ages when the
            answer was sent.
        era: Era of the store to which all revisions belong; None if the sender supports no eras.
        is_store_overdue: Whether the sender waits for the answer to a poll of the store that is
            overdue, so that others may know the store better.
    """

    node_id: str
    number: int
    revision: int
    age_ms: int | None = None
    outage_age_ms: int | None = None
    items: list[ItemChange] = msgspec.field(default_factory=list)
    keys: list[str] | None = None
    is_complete: bool = True
    named: list[NamedWeights] = msgspec.field(default_factory=list)
    era: int | None = None
    is_store_overdue: bool = False
