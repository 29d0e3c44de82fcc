"""Questions and answers between nodes about changes of the store."""

from __future__ import annotations

import msgspec

from hillstack.messages.packing import PackedMessage


class ChangesQuestion(PackedMessage, array_like=True, frozen=True):
    """Asks for all that has changed since a revision.

    Attributes:
        number: Comes back in the answer.
        era: The era of the store that the revision is of; None if the sender knows none.
    """

    node_id: str
    number: int
    revision: int
    era: int | None = None


class ItemChange(msgspec.Struct, array_like=True, frozen=True):
    """The latest change of a key; without a value it was removed."""

    key: str
    revision: int
    value: bytes | None


class NamedWeights(msgspec.Struct, array_like=True, frozen=True):
    """A version of a model's weights that was named, and how long ago at the most, rounded up."""

    model: str
    version: int
    age_ms: int


class ChangesAnswer(PackedMessage, array_like=True, frozen=True):
    """What a node knows of the store.

    Attributes:
        number: Number of the question.
        revision: Up to where the changes go.
        age_ms: How long ago the sender asked the store, or its own source, for what it knows; None
            if it knows nothing. Counted to the moment of sending.
        outage_age_ms: How long ago the last outage of the store ended for the sender; None without.
        items: The changes.
        keys: All keys that exist, where removals are not told one by one; else None.
        is_complete: Whether everything fitted; if not, only ages are told.
        named: Versions of weights that were named lately, with ages counted to the moment of
            sending, as far as they are proved to the sender.
        era: The era of the store that all revisions are of; None if the sender knows none.
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
