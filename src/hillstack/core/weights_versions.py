"""Decides on which versions of a model's weights a request may still begin.

A bounded time after the announcement of a version was acknowledged, no request may begin on an
older version. A node knows the time of the acknowledgement only as an interval: the announcement
was not in the store when the previous answer of the store was requested. The bound counts from the
start of that interval. The start may be moved later only on proof: an answer of the store to this
node, or a peer's answer to a question of this node, either counted from when the question was sent.
An unsolicited message is no proof, since its delay is unknown. When such messages counted from
their arrival and were forwarded, they moved the bound on 69 nodes by 0.9 s per second with message
delays of 0.05 to 0.6 s, so that older weights stayed in use indefinitely.

In this module ``acknowledged_after`` is the start of that interval. ``not_before`` is the start of
the grace period, usually the same time; it is later after an outage and on a node that has just
started. The bound, or deadline, is the end of the grace period. "Named" in a type, a value or a
message means announced.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, replace

from hillstack.core.cache_sources import (
    MIN_LOAD_SECONDS,
    order_delay_seconds,
    source_valid_seconds,
)
from hillstack.core.store_revision import NO_REVISION, StoreRevision


class BoundCause(enum.StrEnum):
    """Cause of the latest change of a version's bound.

    Attributes:
        NAMED: The version was announced; the bound has not moved since.
        START: The version was announced before this node was subject to a bound.
        PEER: A peer proved a later time of the announcement.
        OUTAGE: The store was unavailable.
    """

    NAMED = "named"
    START = "start"
    PEER = "peer"
    OUTAGE = "outage"


@dataclass(frozen=True, slots=True)
class Announcement:
    """An announced version.

    Attributes:
        version: The version.
        acknowledged_after: Latest time proved to this node to precede the acknowledgement of the
            announcement.
        not_before: Time from which the bound counts on this node; later than
            ``acknowledged_after`` after an outage, and on a node that has just started. It is never
            sent to other nodes.
        told_by: Source of ``acknowledged_after``: the store, or the peer that proved it.
        cause: Cause of the latest change of ``not_before``.
        revision: Revision of the store's item that announces the version; a peer needs it to
            determine the time of the announcement.
        received_at: When this node learned of the announcement, which was acknowledged before.
    """

    version: int
    acknowledged_after: float
    not_before: float = -math.inf
    told_by: str = ""
    cause: BoundCause = BoundCause.NAMED
    revision: StoreRevision = NO_REVISION
    received_at: float = -math.inf


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """An announced version of a model's weights with the time that precedes its acknowledgement.

    Attributes:
        model: The model.
        version: The version.
        acknowledged_after: Latest time proved to precede the acknowledgement.
        revision: Revision of the store's item that announces the version.
    """

    model: str
    version: int
    acknowledged_after: float
    revision: StoreRevision = NO_REVISION


@dataclass(frozen=True, slots=True)
class BoundMove:
    """A change of a version's bound.

    Attributes:
        model: The model.
        announcement: The announcement after the change.
        seconds: By how much longer runners with older weights may be used.
    """

    model: str
    announcement: Announcement
    seconds: float


class WeightsVersions:
    """The announced versions of each model.

    Args:
        grace_seconds: Time after an announcement during which older versions may be used.
    """

    def __init__(self, grace_seconds: float) -> None:
        self.grace = grace_seconds
        self._announced: dict[str, list[Announcement]] = {}

    def announce(self, model: str, announcement: Announcement) -> bool:
        """Add a version; return whether it is newer than all known versions.

        Args:
            model: The model.
            announcement: The version. Its bound counts from ``not_before``, but no earlier than
                from ``acknowledged_after``.
        """
        known = self._announced.setdefault(model, [])
        if known and known[-1].version >= announcement.version:
            return False
        after = announcement.acknowledged_after
        if announcement.not_before <= after:
            announcement = replace(announcement, not_before=after, cause=BoundCause.NAMED)
        known.append(announcement)
        return True

    def apply_proof(self, named: NamedVersion, told_by: str = "") -> list[BoundMove]:
        """Apply a proof that a version was announced no earlier than a time, if that is later.

        Args:
            named: The version and the proved time (see the module's description).
            told_by: Source of the proof.

        Returns:
            The bounds that moved.
        """
        known = self._announced.get(named.model, [])
        after = [_narrowed(entry, named, told_by) for entry in known]
        self._announced[named.model] = after
        return _moves(named.model, known, after)

    def recent(self, now: float) -> list[NamedVersion]:
        """Return the versions whose announcement may be younger than the grace period.

        Extensions of the grace period after an outage or a start are not considered, so a version
        may be missing although older ones are still in use.
        """
        return [
            NamedVersion(model, entry.version, entry.acknowledged_after, entry.revision)
            for model, known in self._announced.items()
            for entry in known
            if now - entry.acknowledged_after < self.grace
        ]

    def lacks_announcement_time(self, now: float) -> bool:
        """Return whether the announcement time of any version in its grace period is unknown."""
        return any(
            entry.acknowledged_after == -math.inf and now < entry.not_before + self.grace
            for known in self._announced.values()
            for entry in known
        )

    def announcements(self, model: str) -> list[Announcement]:
        """Return the announced versions of a model, oldest first."""
        return list(self._announced.get(model, ()))

    def restart(self, not_before: float) -> list[BoundMove]:
        """Restart the grace period of all versions at a time, such as the end of a store outage.

        Returns:
            The bounds that moved.
        """
        moves: list[BoundMove] = []
        for model, known in self._announced.items():
            after = [_counting_from(entry, not_before, BoundCause.OUTAGE) for entry in known]
            self._announced[model] = after
            moves += _moves(model, known, after)
        return moves

    def newest(self, model: str) -> int:
        """Return the newest version; 0 if none is known."""
        known = self._announced.get(model)
        return known[-1].version if known else 0

    def oldest_allowed(self, model: str, begins_at: float) -> int:
        """Return the oldest version on which a request may begin at the given time."""
        allowed = 0
        for announcement in self._announced.get(model, ()):
            if begins_at < announcement.not_before + self.grace:
                break
            allowed = announcement.version
        return allowed

    def bound_start(self, model: str, version: int) -> float:
        """Return from when the bound of the next version above ``version`` counts.

        The result is infinite if there is no later version.
        """
        following = self.superseding(model, version)
        return following.not_before if following is not None else math.inf

    def superseded_at(self, model: str, version: int) -> float:
        """Return when the next version above ``version`` was announced, at the earliest.

        The result is infinite if there is no later version. Unlike the result of ``bound_start`` it
        does not move when bounds restart after an outage.
        """
        following = self.superseding(model, version)
        return following.acknowledged_after if following is not None else math.inf

    def deadline(self, model: str, version: int) -> float:
        """Return when runners with ``version`` must no longer be used."""
        return self.bound_start(model, version) + self.grace

    def superseding(self, model: str, version: int) -> Announcement | None:
        """Return the next announced version above ``version``, or None."""
        announced = self._announced.get(model, ())
        return next((entry for entry in announced if entry.version > version), None)

    def may_order_from(self, model: str, version: int) -> float:
        """Return from when a runner with ``version`` may be ordered to load a newer one.

        It may be ordered earlier if all nodes know the newer version (``cache_sources``). The
        result is infinite if there is no later version.
        """
        following = self.superseding(model, version)
        if following is None:
            return math.inf
        return following.received_at + order_delay_seconds(self.grace)

    def fetch_until(self, model: str, version: int, proved_at: float) -> float:
        """Return until when a fetch under the salt of a version may begin (``cache_sources``).

        Args:
            model: The model.
            version: The version.
            proved_at: Time up to which this node has all acknowledged changes of the store.
        """
        following = self.superseding(model, version)
        if following is None:
            return proved_at + source_valid_seconds(self.grace)
        return min(
            following.acknowledged_after + source_valid_seconds(self.grace),
            following.received_at + MIN_LOAD_SECONDS,
        )

    def models(self) -> list[str]:
        """Return the models with announced versions."""
        return list(self._announced)


def _narrowed(entry: Announcement, named: NamedVersion, told_by: str) -> Announcement:
    """Return an announcement updated by a proof for its version or an earlier one."""
    after = named.acknowledged_after
    if entry.version < named.version or after <= entry.acknowledged_after:
        return entry
    known = replace(entry, acknowledged_after=after, told_by=told_by)
    return _counting_from(known, after, BoundCause.PEER)


def _counting_from(entry: Announcement, not_before: float, cause: BoundCause) -> Announcement:
    """Return an announcement whose bound counts from ``not_before``, if that is later."""
    if not_before <= entry.not_before:
        return entry
    return replace(entry, not_before=not_before, cause=cause)


def _moves(model: str, before: list[Announcement], after: list[Announcement]) -> list[BoundMove]:
    return [
        BoundMove(model, new, new.not_before - old.not_before)
        for old, new in zip(before, after, strict=True)
        if new.not_before > old.not_before
    ]
