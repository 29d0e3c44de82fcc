"""Rollouts of service software: the operator's orders, their stages, and which versions may serve.

The operator orders that the traffic of a service move to runners of a target version, which run
beside the old runners. Until the target version is trusted it gets a bounded part of the requests
(``version_exposure``). Orders and records come from the store, so nodes with the same items make
the same decisions.
"""

from __future__ import annotations

import enum
from collections import Counter
from dataclasses import dataclass, replace

from hillstack.core.store_revision import NO_REVISION, StoreRevision


class RolloutStage(enum.StrEnum):
    """Stage of a rollout.

    Attributes:
        CANARY: The target version gets a bounded part of the requests and is judged.
        SHIFTING: The target version is trusted and gets all new requests; the old runners finish
            the requests they have.
        COMPLETE: The old runners are no longer needed and may stop at any time.
        REVERTED: The target version gets no more requests.
    """

    CANARY = "canary"
    SHIFTING = "shifting"
    COMPLETE = "complete"
    REVERTED = "reverted"


class VersionAccess(enum.Enum):
    """Which requests may be sent to runners of a version.

    Attributes:
        OPEN: Any request.
        CANARY: A bounded part of the requests.
        CLOSED: No new requests.
    """

    OPEN = "open"
    CANARY = "canary"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """The operator's order to move a service to a version of its software.

    Attributes:
        service: The service.
        target: The target version.
        over_seconds: Time within which the rollout should be decided.
        revision: Revision of the order in the store. An order with a later revision is another
            rollout, unless it is the same order written again after a restore of the store.
        first_revision: Revision under which this node first saw the order; None if that is
            ``revision``.
    """

    service: str
    target: str
    over_seconds: float
    revision: StoreRevision
    first_revision: StoreRevision | None = None

    @property
    def identity(self) -> StoreRevision:
        """Identifies the rollout on this node for as long as its order is in effect."""
        return self.first_revision or self.revision


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """State of a rollout, as its lease holder wrote it to the store.

    Attributes:
        service: The service.
        target: The target version of the order.
        order_revision: Revision of the order that the record belongs to.
        stage: Stage of the rollout.
        reason: Why the stage was entered, for the operator.
        rejected: All versions of the service that were reverted or withdrawn before being trusted.
        revision: Revision of the record in the store; ``NO_REVISION`` until it is written.
        elapsed_seconds: Age of the order when the record was written. A node that saw the order
            later than it was given learns its age from here.
    """

    service: str
    target: str
    order_revision: StoreRevision
    stage: RolloutStage
    reason: str = ""
    rejected: tuple[str, ...] = ()
    revision: StoreRevision = NO_REVISION
    elapsed_seconds: float = 0.0


# Greatest number of stored targets of earlier orders that were never trusted, over all services;
# beyond it the oldest is dropped. Orders are given manually, so there are few.
MAX_UNTRUSTED_VERSIONS = 256
# Stages in order. An earlier stage from the backup of a restored store does not replace a later
# one.
STAGE_ORDER = (
    RolloutStage.CANARY,
    RolloutStage.SHIFTING,
    RolloutStage.COMPLETE,
    RolloutStage.REVERTED,
)
# Stages in which the target version may get all requests.
TRUSTED = frozenset({RolloutStage.SHIFTING, RolloutStage.COMPLETE})


def is_trusted_before(order: RolloutOrder, record: RolloutRecord) -> bool:
    """Return whether an order targets the version to which an earlier order moved the traffic.

    Another canary stage would leave no runner for most requests, since the old runners may have
    stopped.
    """
    return record.target == order.target and record.stage in TRUSTED


def is_of_order(record: RolloutRecord | None, order: RolloutOrder) -> bool:
    """Return whether a record belongs to the order, rather than to another order of the service."""
    return record is not None and record.order_revision == order.revision


def _is_behind(record: RolloutRecord, known: RolloutRecord) -> bool:
    """Return whether a record has an earlier order than the known one, or an earlier stage."""
    if record.order_revision.number != known.order_revision.number:
        return record.order_revision.number < known.order_revision.number
    return STAGE_ORDER.index(record.stage) < STAGE_ORDER.index(known.stage)


class SoftwareRollouts:
    """The rollouts of all services, as known to one node."""

    def __init__(self) -> None:
        self._orders: dict[str, RolloutOrder] = {}
        self._records: dict[str, RolloutRecord] = {}
        # Services whose latest record is missing in a restored store.
        self._lost_records: set[str] = set()
        # By service, the identity of the order whose target this node no longer uses.
        self._condemned: dict[str, StoreRevision] = {}
        # Targets of earlier orders that were never trusted, latest last. By service and version:
        # whether the version was found bad.
        self._untrusted: dict[tuple[str, str], bool] = {}
        # Number of entries of ``_untrusted`` per service.
        self._untrusted_counts: Counter[str] = Counter()

    def apply_order(self, order: RolloutOrder) -> bool:
        """Apply an order; return whether it begins a new rollout."""
        known = self._orders.get(order.service)
        if known is not None and known.revision >= order.revision:
            return False
        if known is not None and self._is_written_again(known, order):
            self._orders[order.service] = replace(order, first_revision=known.identity)
            self._renumber_record(known, order)
            return False
        self._store_untrusted(order.service)
        self._orders[order.service] = order
        return True

    def _is_written_again(self, known: RolloutOrder, order: RolloutOrder) -> bool:
        """Return whether an order is the known one, written again after a restore of the store."""
        if order.revision.era == known.revision.era:
            return False
        return (order.target, order.over_seconds) == (known.target, known.over_seconds)

    def _renumber_record(self, known: RolloutOrder, order: RolloutOrder) -> None:
        record = self._records.get(order.service)
        if record is not None and is_of_order(record, known):
            self._records[order.service] = replace(record, order_revision=order.revision)

    def withdraw(self, service: str, revision: StoreRevision) -> bool:
        """Remove an order that was withdrawn; return whether it was known."""
        known = self._orders.get(service)
        if known is None or known.revision > revision:
            return False
        self._store_untrusted(service)
        del self._orders[service]
        return True

    def apply_record(self, record: RolloutRecord) -> bool:
        """Apply a record; return whether it replaced the known one."""
        service = record.service
        known = self._records.get(service)
        if known is not None and known.revision >= record.revision:
            return False
        if known is not None and self._is_outdated(record, known):
            self._mark_lost(known, record.revision)
            return False
        self._lost_records.discard(service)
        self._records[service] = record
        if record.stage in TRUSTED:
            self._forget_untrusted(record.service, record.target)
        return True

    def _is_outdated(self, record: RolloutRecord, known: RolloutRecord) -> bool:
        """Return whether a record comes from the backup of a restored store and is out of date."""
        order = self._orders.get(record.service)
        if order is not None and is_of_order(record, order) and not is_of_order(known, order):
            return False
        return record.revision.era > known.revision.era and _is_behind(record, known)

    def mark_unlisted_records_lost(self, listed: set[str], revision: StoreRevision) -> None:
        """Mark the records that are missing in a full list of a restored store."""
        for service, record in list(self._records.items()):
            if service not in listed and record.revision.era < revision.era:
                self._mark_lost(record, NO_REVISION)

    def _mark_lost(self, record: RolloutRecord, revision: StoreRevision) -> None:
        """Retain a record that the store has lost, with the revision of what replaced it there."""
        order = self._orders.get(record.service)
        of_order = record.order_revision
        if order is not None and order.revision.number == of_order.number:
            of_order = order.revision
        self._records[record.service] = replace(record, revision=revision, order_revision=of_order)
        self._lost_records.add(record.service)

    def has_lost_record(self, service: str) -> bool:
        """Return whether the record of the current order must be written again."""
        order = self._orders.get(service)
        if order is None or service not in self._lost_records:
            return False
        return is_of_order(self._records.get(service), order)

    def condemn(self, service: str, order_identity: StoreRevision) -> None:
        """Stop using the target version of an order, whatever its record contains.

        A node that has evidence of a bad version, its own or reported by a peer, stops using the
        version at once: the lease holder's record may be late, or can't be written while the store
        is unavailable.
        """
        condemned = self._condemned.get(service, NO_REVISION)
        self._condemned[service] = max(order_identity, condemned)

    def orders(self) -> list[RolloutOrder]:
        """Return all current orders."""
        return list(self._orders.values())

    def order(self, service: str) -> RolloutOrder | None:
        """Return the current order of a service; None if there is none."""
        return self._orders.get(service)

    def record(self, service: str) -> RolloutRecord | None:
        """Return the latest record of a service, of any order."""
        return self._records.get(service)

    def stage(self, service: str) -> RolloutStage | None:
        """Return the stage of a service's current order; None without an order."""
        order = self._orders.get(service)
        if order is None:
            return None
        record = self._records.get(service)
        known = self._known_stage(order, record)
        # A complete rollout can't be reverted, since its old runners may have stopped.
        is_complete = record is not None and record.stage is RolloutStage.COMPLETE
        if self._condemned.get(service) != order.identity:
            return known
        return known if is_complete and known in TRUSTED else RolloutStage.REVERTED

    def _known_stage(self, order: RolloutOrder, record: RolloutRecord | None) -> RolloutStage:
        """Return the stage of an order according to the latest record, of any order."""
        if record is None:
            return RolloutStage.CANARY
        if is_of_order(record, order):
            return record.stage
        return RolloutStage.SHIFTING if is_trusted_before(order, record) else RolloutStage.CANARY

    def concerns(self, service: str) -> bool:
        """Return whether a service may have versions with different access."""
        if service in self._orders or service in self._records:
            return True
        return service in self._untrusted_counts

    def untrusted_targets(self, service: str) -> frozenset[str]:
        """Return the targets of earlier orders that were not trusted when those orders ended."""
        if service not in self._untrusted_counts:
            return frozenset()
        return frozenset(version for of, version in self._untrusted if of == service)

    def may_serve_during_shift(self, service: str, version: str) -> bool:
        """Return whether runners of a closed version may still get requests during the shift.

        This applies to the version that traffic moves away from, not to a rejected one.
        """
        if self.stage(service) is not RolloutStage.SHIFTING:
            return False
        return not self._is_rejected(service, version)

    def may_serve_alone(self, service: str, version: str) -> bool:
        """Return whether a closed version may serve if no other version is listed.

        This applies to a version whose order was withdrawn without any verdict: it may be the
        version that the service ran before.
        """
        if service in self._orders:
            return False
        known_bad = self._untrusted.get((service, version))
        record = self._records.get(service)
        if record is None or record.target != version:
            return known_bad is False
        return not known_bad and record.stage is RolloutStage.CANARY

    def access(self, service: str, version: str) -> VersionAccess:
        """Return the current access of a version of a service."""
        order = self._orders.get(service)
        if order is None or version != order.target:
            return self._access_of_other(service, version)
        match self.stage(service):
            case RolloutStage.CANARY:
                return VersionAccess.CANARY
            case RolloutStage.REVERTED:
                return VersionAccess.CLOSED
            case _:
                return VersionAccess.OPEN

    def _access_of_other(self, service: str, version: str) -> VersionAccess:
        """Return the access of a version that is not the target of a current order."""
        if self._is_rejected(service, version):
            return VersionAccess.CLOSED
        if self.stage(service) in TRUSTED:
            return VersionAccess.CLOSED
        return VersionAccess.OPEN

    def _is_rejected(self, service: str, version: str) -> bool:
        """Return whether a version was rejected, or its order ended before it was trusted."""
        if (service, version) in self._untrusted:
            return True
        record = self._records.get(service)
        if record is None:
            return False
        if version in record.rejected:
            return True
        undecided = record.stage in (RolloutStage.CANARY, RolloutStage.REVERTED)
        return undecided and version == record.target

    def _store_untrusted(self, service: str) -> None:
        """Store the target of an order that is replaced or withdrawn, unless it is trusted.

        The record can't show this: it may not exist yet, or may still trust a target that this node
        no longer uses.
        """
        order = self._orders.get(service)
        if order is None:
            return
        self._forget_untrusted(service, order.target)
        if self.stage(service) in TRUSTED:
            return
        self._untrusted[service, order.target] = self.stage(service) is RolloutStage.REVERTED
        self._untrusted_counts[service] += 1
        if len(self._untrusted) > MAX_UNTRUSTED_VERSIONS:
            self._forget_untrusted(*next(iter(self._untrusted)))

    def _forget_untrusted(self, service: str, version: str) -> None:
        if (service, version) not in self._untrusted:
            return
        del self._untrusted[service, version]
        self._untrusted_counts[service] -= 1
        if not self._untrusted_counts[service]:
            del self._untrusted_counts[service]
