"""Events that a node derives from changes of the store."""

from __future__ import annotations

from dataclasses import dataclass, field

from hillstack.core.crash_ledger import CrashLedger
from hillstack.core.routing_table import RoutingTable
from hillstack.core.runner_pool import RunnerEntry
from hillstack.core.software_rollouts import RolloutOrder, RolloutRecord
from hillstack.core.store_revision import NO_REVISION, StoreRevision


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """The operator wrote a configuration."""

    table: RoutingTable


@dataclass(frozen=True, slots=True)
class RunnerListed:
    """The directory lists a runner, or its entry changed."""

    entry: RunnerEntry


@dataclass(frozen=True, slots=True)
class RunnerUnlisted:
    """The directory no longer lists a runner, or its entry can't be read.

    Attributes:
        listed_as: Name in the directory, which several processes may have had in turn.
        revision: Revision of the removal, which does not affect later entries; None if unknown.
    """

    listed_as: str
    revision: StoreRevision | None = None


@dataclass(frozen=True, slots=True)
class WeightsNamed:
    """The operator named a version of a model's weights, at a revision of the store."""

    model: str
    version: int
    revision: StoreRevision = NO_REVISION


@dataclass(frozen=True, slots=True)
class RolloutOrdered:
    """The operator ordered a rollout of software."""

    order: RolloutOrder


@dataclass(frozen=True, slots=True)
class RolloutWithdrawn:
    """The operator withdrew the order of a rollout, at a revision of the store."""

    service: str
    revision: StoreRevision


@dataclass(frozen=True, slots=True)
class RolloutRecorded:
    """The node that decides a rollout recorded its progress."""

    record: RolloutRecord


@dataclass(frozen=True, slots=True)
class NodeListed:
    """A node has listed its zone and the address at which it listens for peers."""

    node_id: str
    address: str
    zone: str = ""
    revision: StoreRevision = NO_REVISION
    link_megabits: float = 0.0


@dataclass(frozen=True, slots=True)
class NodeUnlisted:
    """A node was removed from the list because its machine seems to have failed permanently."""

    node_id: str


@dataclass(frozen=True, slots=True)
class DutyHeld:
    """The lease for ordering weights has a holder, or is free if ``holder`` is None.

    Attributes:
        fence: Fencing token of the holder's orders; 0 if the lease is free.
    """

    holder: str | None
    fence: int = 0


@dataclass(frozen=True, slots=True)
class RolloutDutyHeld:
    """The lease for deciding a service's rollout has a holder, or is free if ``holder`` is None."""

    service: str
    holder: str | None


@dataclass(frozen=True, slots=True)
class CrashLedgerChanged:
    """The ledger of the crashes under a request was written, or removed.

    Attributes:
        fingerprint: The request (``core.request_fingerprint``).
        ledger: The ledger; None if there is none any more.
    """

    fingerprint: int
    ledger: CrashLedger | None


@dataclass(frozen=True, slots=True)
class PartLedgerChanged:
    """The ledger of the trials of a prompt part was written, or removed.

    Attributes:
        part: Name of the part (``core.request_fingerprint``).
        ledger: The ledger; None if there is none any more.
    """

    part: int
    ledger: CrashLedger | None


@dataclass(frozen=True, slots=True)
class ServiceVersionsRecorded:
    """The store records the software versions that may have begun streams of a service.

    Attributes:
        versions: The versions; None if there is no record any more.
    """

    service: str
    versions: frozenset[str] | None


@dataclass(frozen=True, slots=True)
class StreamsRecorded:
    """The store records streams that began at one version of a service.

    Attributes:
        attempts: The callers' tries that brought their first events.
    """

    service: str
    software: str
    attempts: tuple[str, ...]


StreamRecord = ServiceVersionsRecorded | StreamsRecorded
StoreEvent = (
    ConfigurationChanged
    | RunnerListed
    | RunnerUnlisted
    | WeightsNamed
    | RolloutOrdered
    | RolloutWithdrawn
    | RolloutRecorded
    | NodeListed
    | NodeUnlisted
    | DutyHeld
    | RolloutDutyHeld
    | CrashLedgerChanged
    | PartLedgerChanged
    | StreamRecord
)


@dataclass(frozen=True, slots=True)
class ListedRollouts:
    """Services with software rollouts according to a complete list of the store.

    Attributes:
        ordered: Services with a rollout order.
        recorded: Services with a record of a rollout's progress.
        held: Services whose rollout some node decides.
    """

    ordered: set[str] = field(default_factory=set)
    recorded: set[str] = field(default_factory=set)
    held: set[str] = field(default_factory=set)
