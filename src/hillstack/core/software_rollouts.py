"""Rollouts of a service's software: what the operator asked for, how far each is, who may be used.

The operator asks that the traffic of a service move to runners of a target version, which run
beside the old ones. Until the target version is trusted it gets a bounded part of the requests
(``version_exposure``). Orders and records come from the store, so all nodes come to the same answer
from the same items.
"""

from __future__ import annotations

import enum
from collections import Counter
from dataclasses import dataclass, replace

from hillstack.core.store_revision import NO_REVISION, StoreRevision


class RolloutStage(enum.StrEnum):
    """How far a rollout is.

    Attributes:
        CANARY: The target version gets a bounded part of the requests and is judged.
        SHIFTING: It is trusted and gets all new requests; the old runners finish theirs.
        COMPLETE: The old runners are not needed any more and may end at any moment.
        REVERTED: The target version gets nothing more.
    """

    CANARY = "canary"
    SHIFTING = "shifting"
    COMPLETE = "complete"
    REVERTED = "reverted"


class VersionAccess(enum.Enum):
    """What runners of a version may get.

    Attributes:
        OPEN: Any request.
        CANARY: A bounded part of the requests.
        CLOSED: Nothing new.
    """

    OPEN = "open"
    CANARY = "canary"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """The operator's order to move a service to a version of its software.

    Attributes:
        target: The version.
        over_seconds: Time within which the rollout should be decided.
        revision: Of the order in the store: a later order is another rollout, but for the same one
            that is written again after a restore of the store.
        first_revision: Under which this node saw it first; None if that is ``revision``.
    """

    service: str
    target: str
    over_seconds: float
    revision: StoreRevision
    first_revision: StoreRevision | None = None

    @property
    def identity(self) -> StoreRevision:
        """What names the rollout on this node, as long as it stands."""
        return self.first_revision or self.revision


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """How far a rollout is, as its holder wrote it to the store.

    Attributes:
        order_revision: The order that it belongs to.
        reason: Why the stage was entered, for the operator.
        rejected: All versions of the service that were reverted or withdrawn before being trusted.
        revision: Of the record in the store; ``NO_REVISION`` until it is written.
        elapsed_seconds: Age of the order when the record was written: a node that has seen the
            order later than that takes it from here.
    """

    service: str
    target: str
    order_revision: StoreRevision
    stage: RolloutStage
    reason: str = ""
    rejected: tuple[str, ...] = ()
    revision: StoreRevision = NO_REVISION
    elapsed_seconds: float = 0.0


# Targets of earlier orders that are remembered as never trusted, over all services; beyond that the
# oldest is forgotten. Orders are given by hand, so there are few.
MOST_LEFT_VERSIONS = 256
# How far a stage is: one that a restored store has from its copy does not undo a later one.
STAGE_ORDER = (
    RolloutStage.CANARY,
    RolloutStage.SHIFTING,
    RolloutStage.COMPLETE,
    RolloutStage.REVERTED,
)
# The target version may get all requests.
TRUSTED = frozenset({RolloutStage.SHIFTING, RolloutStage.COMPLETE})


def is_trusted_before(order: RolloutOrder, record: RolloutRecord) -> bool:
    """Return whether an order names the version that an earlier one has brought the traffic to.

    To try it anew would leave nobody for most of the requests: the old runners may be gone.
    """
    return record.target == order.target and record.stage in TRUSTED


def is_of_order(record: RolloutRecord | None, order: RolloutOrder) -> bool:
    """Return whether a record is of an order, not of another one of its service."""
    return record is not None and record.order_revision == order.revision


def _is_behind(record: RolloutRecord, known: RolloutRecord) -> bool:
    """Return whether a record tells of an earlier order than another, or of an earlier stage."""
    if record.order_revision.number != known.order_revision.number:
        return record.order_revision.number < known.order_revision.number
    return STAGE_ORDER.index(record.stage) < STAGE_ORDER.index(known.stage)


class SoftwareRollouts:
    """The rollouts of all services as one node knows them."""

    def __init__(self) -> None:
        self._orders: dict[str, RolloutOrder] = {}
        self._records: dict[str, RolloutRecord] = {}
        # Services whose latest record a restored store does not have any more.
        self._lost_records: set[str] = set()
        # Identity of the order whose target was condemned, by service.
        self._condemned: dict[str, StoreRevision] = {}
        # Targets of earlier orders that were never trusted, the latest last: whether each was found
        # bad, by service and version; and how many there are of each service.
        self._left: dict[tuple[str, str], bool] = {}
        self._left_counts: Counter[str] = Counter()

    def take_order(self, order: RolloutOrder) -> bool:
        """Take over an order; return whether it is news."""
        known = self._orders.get(order.service)
        if known is not None and known.revision >= order.revision:
            return False
        if known is not None and self._is_written_again(known, order):
            self._orders[order.service] = replace(order, first_revision=known.identity)
            self._renumber_record(known, order)
            return False
        self._leave_behind(order.service)
        self._orders[order.service] = order
        return True

    def _is_written_again(self, known: RolloutOrder, order: RolloutOrder) -> bool:
        """Return whether an order is one that was known before the store was restored."""
        if order.revision.era == known.revision.era:
            return False
        return (order.target, order.over_seconds) == (known.target, known.over_seconds)

    def _renumber_record(self, known: RolloutOrder, order: RolloutOrder) -> None:
        record = self._records.get(order.service)
        if record is not None and is_of_order(record, known):
            self._records[order.service] = replace(record, order_revision=order.revision)

    def withdraw(self, service: str, revision: StoreRevision) -> bool:
        """Note that an order was taken away; return whether it was known."""
        known = self._orders.get(service)
        if known is None or known.revision > revision:
            return False
        self._leave_behind(service)
        del self._orders[service]
        return True

    def take_record(self, record: RolloutRecord) -> bool:
        """Take over a record; return whether it is news."""
        service = record.service
        known = self._records.get(service)
        if known is not None and known.revision >= record.revision:
            return False
        if known is not None and self._undoes(record, known):
            self._lose_record(known, record.revision)
            return False
        self._lost_records.discard(service)
        self._records[service] = record
        if record.stage in TRUSTED:
            self._forget_left(record.service, record.target)
        return True

    def _undoes(self, record: RolloutRecord, known: RolloutRecord) -> bool:
        """Return whether a record is one that the store has from before what it has lost."""
        order = self._orders.get(record.service)
        if order is not None and is_of_order(record, order) and not is_of_order(known, order):
            return False
        return record.revision.era > known.revision.era and _is_behind(record, known)

    def retain_records(self, listed: set[str], revision: StoreRevision) -> None:
        """Note which records a whole list of a restored store no longer has."""
        for service, record in list(self._records.items()):
            if service not in listed and record.revision.era < revision.era:
                self._lose_record(record, NO_REVISION)

    def _lose_record(self, record: RolloutRecord, revision: StoreRevision) -> None:
        """Keep a record that the store has lost, and note what it has in its place."""
        order = self._orders.get(record.service)
        of_order = record.order_revision
        if order is not None and order.revision.number == of_order.number:
            of_order = order.revision
        self._records[record.service] = replace(record, revision=revision, order_revision=of_order)
        self._lost_records.add(record.service)

    def has_lost_record(self, service: str) -> bool:
        """Return whether the record of the order that stands must be written again."""
        order = self._orders.get(service)
        if order is None or service not in self._lost_records:
            return False
        return is_of_order(self._records.get(service), order)

    def condemn(self, service: str, order_identity: StoreRevision) -> None:
        """Use the target version of an order no more, whatever its record says.

        A node that has seen enough bad answers, or heard of them, stops at once: the holder's
        record may be late, or can't be written while the store is away.
        """
        condemned = self._condemned.get(service, NO_REVISION)
        self._condemned[service] = max(order_identity, condemned)

    def orders(self) -> list[RolloutOrder]:
        """Return all orders that stand."""
        return list(self._orders.values())

    def order(self, service: str) -> RolloutOrder | None:
        """Return the order of a service that stands."""
        return self._orders.get(service)

    def record(self, service: str) -> RolloutRecord | None:
        """Return the latest record of a service, of whichever order."""
        return self._records.get(service)

    def stage(self, service: str) -> RolloutStage | None:
        """Return how far the rollout of the order that stands is; None without an order."""
        order = self._orders.get(service)
        if order is None:
            return None
        record = self._records.get(service)
        known = self._known_stage(order, record)
        # The old runners of a complete rollout are gone: there is nothing to go back to.
        is_complete = record is not None and record.stage is RolloutStage.COMPLETE
        if self._condemned.get(service) != order.identity:
            return known
        return known if is_complete and known in TRUSTED else RolloutStage.REVERTED

    def _known_stage(self, order: RolloutOrder, record: RolloutRecord | None) -> RolloutStage:
        """Return how far an order is by the latest record, whichever order that belongs to."""
        if record is None:
            return RolloutStage.CANARY
        if is_of_order(record, order):
            return record.stage
        return RolloutStage.SHIFTING if is_trusted_before(order, record) else RolloutStage.CANARY

    def concerns(self, service: str) -> bool:
        """Return whether the versions of a service may differ in what they may get."""
        if service in self._orders or service in self._records:
            return True
        return service in self._left_counts

    def left_undecided(self, service: str) -> frozenset[str]:
        """Return the targets of earlier orders that were not trusted when their order ended."""
        if service not in self._left_counts:
            return frozenset()
        return frozenset(version for of, version in self._left if of == service)

    def may_finish_shift(self, service: str, version: str) -> bool:
        """Return whether runners of a closed version may help out while its service shifts.

        It is the version that traffic moves away from, not one that was rejected.
        """
        if self.stage(service) is not RolloutStage.SHIFTING:
            return False
        return not self._is_rejected(service, version)

    def may_serve_alone(self, service: str, version: str) -> bool:
        """Return whether a closed version may serve where no other one is listed.

        Its order was withdrawn before anybody found out whether it is good, and nobody held it to
        be bad: it may be the version that the service had before.
        """
        if service in self._orders:
            return False
        known_bad = self._left.get((service, version))
        record = self._records.get(service)
        if record is None or record.target != version:
            return known_bad is False
        return not known_bad and record.stage is RolloutStage.CANARY

    def access(self, service: str, version: str) -> VersionAccess:
        """Return what runners of a service that have a version may get now."""
        order = self._orders.get(service)
        if order is None or version != order.target:
            return self._access_beside(service, version)
        match self.stage(service):
            case RolloutStage.CANARY:
                return VersionAccess.CANARY
            case RolloutStage.REVERTED:
                return VersionAccess.CLOSED
            case _:
                return VersionAccess.OPEN

    def _access_beside(self, service: str, version: str) -> VersionAccess:
        """Return what a version may get that is not the target of a standing order."""
        if self._is_rejected(service, version):
            return VersionAccess.CLOSED
        if self.stage(service) in TRUSTED:
            return VersionAccess.CLOSED
        return VersionAccess.OPEN

    def _is_rejected(self, service: str, version: str) -> bool:
        """Return whether a version was never trusted: by name, or left behind undecided."""
        if (service, version) in self._left:
            return True
        record = self._records.get(service)
        if record is None:
            return False
        if version in record.rejected:
            return True
        undecided = record.stage in (RolloutStage.CANARY, RolloutStage.REVERTED)
        return undecided and version == record.target

    def _leave_behind(self, service: str) -> None:
        """Remember the target of an order that is replaced or withdrawn, unless it is trusted.

        There may be no record of it yet, or, if it was condemned, one that still trusts it.
        """
        order = self._orders.get(service)
        if order is None:
            return
        self._forget_left(service, order.target)
        if self.stage(service) in TRUSTED:
            return
        self._left[service, order.target] = self.stage(service) is RolloutStage.REVERTED
        self._left_counts[service] += 1
        if len(self._left) > MOST_LEFT_VERSIONS:
            self._forget_left(*next(iter(self._left)))

    def _forget_left(self, service: str, version: str) -> None:
        if (service, version) not in self._left:
            return
        del self._left[service, version]
        self._left_counts[service] -= 1
        if not self._left_counts[service]:
            del self._left_counts[service]
