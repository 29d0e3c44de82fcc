"""Which version of a model's weights a request may still begin on.

Each version that is named must be the oldest in use a bounded time after its announcement was
acknowledged. A node knows the announcement only up to an interval: it was not there when the last
answer before was asked for. The earlier end counts. It may be taken for later only on proof: a
node's own answers, or a peer's answer to its own question, which counts from when that was sent. A
word that comes unasked is late by its way, which nobody knows. Counted from its arrival and told
on, it moved the bound of 69 nodes by 0.9 s a second where words took 0.05 to 0.6 s, so that older
weights were used without end.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, replace

from hillstack.core.store_revision import NO_REVISION, StoreRevision


class BoundCause(enum.StrEnum):
    """What the bound of a version was last set or moved by.

    Attributes:
        NAMED: The version was named: nothing has moved it since.
        START: It was named before this node could be held to a bound.
        PEER: A peer knows better when it was named.
        OUTAGE: The store was away.
    """

    NAMED = "named"
    START = "start"
    PEER = "peer"
    OUTAGE = "outage"


@dataclass(frozen=True, slots=True)
class Announcement:
    """A version that was named.

    Attributes:
        version: The version.
        acknowledged_after: It was acknowledged no earlier than that: the latest such time that was
            proved to this node.
        not_before: The bound counts for this node from there on; later than ``acknowledged_after``
            after an outage, and for a node that has just started. Never told to others.
        told_by: Who knows ``acknowledged_after``: this node by its own looks, or a peer.
        cause: What ``not_before`` was last set or moved by.
        revision: Of the store's item that names it; a peer needs it to say when that was.
    """

    version: int
    acknowledged_after: float
    not_before: float = -math.inf
    told_by: str = ""
    cause: BoundCause = BoundCause.NAMED
    revision: StoreRevision = NO_REVISION


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """A version of a model's weights that was acknowledged no earlier than a time.

    Attributes:
        revision: Of the store's item that names it.
    """

    model: str
    version: int
    acknowledged_after: float
    revision: StoreRevision = NO_REVISION


@dataclass(frozen=True, slots=True)
class BoundMove:
    """The bound of a version that moved.

    Attributes:
        model: The model.
        announcement: The version, as it is known now.
        seconds: How much later runners with older weights may be used.
    """

    model: str
    announcement: Announcement
    seconds: float


class WeightsVersions:
    """The versions named for each model.

    Args:
        grace_seconds: Time after an announcement until which older versions may be used.
    """

    def __init__(self, grace_seconds: float) -> None:
        self.grace = grace_seconds
        self._announced: dict[str, list[Announcement]] = {}

    def announce(self, model: str, announcement: Announcement) -> bool:
        """Note a version; return whether it is newer than all known ones.

        Args:
            model: The model.
            announcement: The version. Its bound counts from when it was acknowledged at the
                earliest, whatever ``not_before`` says.
        """
        known = self._announced.setdefault(model, [])
        if known and known[-1].version >= announcement.version:
            return False
        after = announcement.acknowledged_after
        if announcement.not_before <= after:
            announcement = replace(announcement, not_before=after, cause=BoundCause.NAMED)
        known.append(announcement)
        return True

    def narrow(self, named: NamedVersion, told_by: str = "") -> list[BoundMove]:
        """Take over that a version was named no earlier than a time, where that says more.

        Args:
            named: The version, and a time that is proved: see the module.
            told_by: Who knows it.

        Returns:
            The bounds that have moved.
        """
        known = self._announced.get(named.model, [])
        after = [_narrowed(entry, named, told_by) for entry in known]
        self._announced[named.model] = after
        return _moves(named.model, known, after)

    def recent(self, now: float) -> list[NamedVersion]:
        """Return the versions that were named so lately that older ones may still be in use."""
        return [
            NamedVersion(model, entry.version, entry.acknowledged_after, entry.revision)
            for model, known in self._announced.items()
            for entry in known
            if now - entry.acknowledged_after < self.grace
        ]

    def lacks_naming(self, now: float) -> bool:
        """Return whether a version is not due yet of which nothing is known when it was named."""
        return any(
            entry.acknowledged_after == -math.inf and now < entry.not_before + self.grace
            for known in self._announced.values()
            for entry in known
        )

    def announcements(self, model: str) -> list[Announcement]:
        """Return the versions named for a model, oldest first."""
        return list(self._announced.get(model, ()))

    def restart(self, not_before: float) -> list[BoundMove]:
        """Count the grace of all versions from a time on: it counts only in stable stretches.

        Returns:
            The bounds that have moved.
        """
        moves: list[BoundMove] = []
        for model, known in self._announced.items():
            after = [_counting_from(entry, not_before, BoundCause.OUTAGE) for entry in known]
            self._announced[model] = after
            moves += _moves(model, known, after)
        return moves

    def newest(self, model: str) -> int:
        """Return the newest version, 0 when none is known."""
        known = self._announced.get(model)
        return known[-1].version if known else 0

    def oldest_allowed(self, model: str, begins_at: float) -> int:
        """Return the oldest version on which a request may begin at a time."""
        allowed = 0
        for announcement in self._announced.get(model, ()):
            if begins_at < announcement.not_before + self.grace:
                break
            allowed = announcement.version
        return allowed

    def named_after(self, model: str, version: int) -> float:
        """Return when the next version above ``version`` was named; infinite when none was."""
        following = self.superseding(model, version)
        return following.not_before if following is not None else math.inf

    def superseded_at(self, model: str, version: int) -> float:
        """Return when a version above ``version`` was first named; infinite when none was.

        Unlike ``named_after`` it does not move when bounds begin again after an outage.
        """
        following = self.superseding(model, version)
        return following.acknowledged_after if following is not None else math.inf

    def deadline(self, model: str, version: int) -> float:
        """Return when runners older than the next version above ``version`` must not be used."""
        return self.named_after(model, version) + self.grace

    def superseding(self, model: str, version: int) -> Announcement | None:
        """Return the first version above ``version`` that was named, or None."""
        announced = self._announced.get(model, ())
        return next((entry for entry in announced if entry.version > version), None)

    def models(self) -> list[str]:
        """Return the models for which versions were named."""
        return list(self._announced)


def _narrowed(entry: Announcement, named: NamedVersion, told_by: str) -> Announcement:
    """Return an announcement with what is proved of it, or of an earlier version."""
    after = named.acknowledged_after
    if entry.version < named.version or after <= entry.acknowledged_after:
        return entry
    known = replace(entry, acknowledged_after=after, told_by=told_by)
    return _counting_from(known, after, BoundCause.PEER)


def _counting_from(entry: Announcement, not_before: float, cause: BoundCause) -> Announcement:
    """Return an announcement whose bound counts from a time on, if that is later."""
    if not_before <= entry.not_before:
        return entry
    return replace(entry, not_before=not_before, cause=cause)


def _moves(model: str, before: list[Announcement], after: list[Announcement]) -> list[BoundMove]:
    return [
        BoundMove(model, new, new.not_before - old.not_before)
        for old, new in zip(before, after, strict=True)
        if new.not_before > old.not_before
    ]
