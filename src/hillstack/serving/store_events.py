"""What changes of the store mean to a node."""

from __future__ import annotations

from dataclasses import dataclass, field

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
        listed_as: Its name in the directory, which several processes may have had.
        revision: Of the removal; an entry with a later one stands. None if it is not known.
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
    """The operator took the order of a rollout away, at a revision of the store."""

    service: str
    revision: StoreRevision


@dataclass(frozen=True, slots=True)
class RolloutRecorded:
    """The holder of a rollout wrote how far it is."""

    record: RolloutRecord


@dataclass(frozen=True, slots=True)
class NodeListed:
    """A node of this system has said where it listens for its peers, and in which zone it is."""

    node_id: str
    address: str
    zone: str = ""
    revision: StoreRevision = NO_REVISION
    link_megabits: float = 0.0


@dataclass(frozen=True, slots=True)
class NodeUnlisted:
    """A node was taken off the list, since its machine seems to be gone for good."""

    node_id: str


@dataclass(frozen=True, slots=True)
class DutyHeld:
    """The duty of ordering weights is held, or is free when ``holder`` is None.

    Attributes:
        fence: Of the holder's orders; 0 if the duty is free.
    """

    holder: str | None
    fence: int = 0


@dataclass(frozen=True, slots=True)
class RolloutDutyHeld:
    """The duty of deciding a service's rollout is held, or is free when ``holder`` is None."""

    service: str
    holder: str | None


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
)


@dataclass(frozen=True, slots=True)
class ListedRollouts:
    """What a whole list of the store says of rollouts of software.

    Attributes:
        ordered: The services with an order.
        recorded: The services of which it is written how far a rollout is.
        held: The services whose rollout some node decides.
    """

    ordered: set[str] = field(default_factory=set)
    recorded: set[str] = field(default_factory=set)
    held: set[str] = field(default_factory=set)
