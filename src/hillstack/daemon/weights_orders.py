"""Orders to load weights, and the interface for sending them to runners."""

from __future__ import annotations

import enum
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Protocol


class OrderOutcome(enum.StrEnum):
    """Outcome of an order, from the status of the runner's answer.

    Attributes:
        DONE: The runner reports the order as done (200). Whether it has counted the order is known
            from its next report.
        TAKEN: The runner has accepted the order and loads the weights (202).
        CONFLICT: The runner executes another order, or has accepted another number of orders than
            expected (409).
        FENCED: The runner has seen a higher fence (412).
        OTHER_INSTANCE: Another instance than the ordered runner answered (421).
        REJECTED: Any other status.
    """

    DONE = "done"
    TAKEN = "taken"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_INSTANCE = "other_instance"
    REJECTED = "rejected"


class RunningRequests(enum.Enum):
    """How a runner treats its running requests when it loads weights.

    Attributes:
        FINISH: The requests finish first; the runner accepts no others until then.
        RESET: The requests are aborted.
        CONTINUE: The requests pause during the load and continue with the new weights.
    """

    FINISH = enum.auto()
    RESET = enum.auto()
    CONTINUE = enum.auto()


@dataclass(frozen=True, slots=True)
class WeightsOrder:
    """An order to load a version of a model's weights.

    Attributes:
        fence: Fence of the duty's holder, which increases with each holder; a runner refuses an
            order with a lower fence than it has seen.
        expected_orders: Number of orders that the runner has accepted before this one. An order
            that arrives late finds another number and is refused.
    """

    runner_id: str
    address: str
    model: str
    version: int
    holder: str
    fence: int
    expected_orders: int
    running: RunningRequests = RunningRequests.CONTINUE


@dataclass(frozen=True, slots=True)
class RunnerReport:
    """A runner's report on its weights, some hundred milliseconds old.

    Attributes:
        weights: Version of the weights by model.
        busy: Whether the runner is executing an order.
        orders_taken: Number of orders accepted since the runner's start.
    """

    weights: dict[str, int]
    busy: bool
    orders_taken: int


class OrderSender(Protocol):
    """Sends orders and report calls to runners."""

    async def report(self, runner_id: str, address: str) -> RunnerReport:
        """Return a runner's report on its weights; raises ``BackendError``."""
        ...

    async def order_weights(self, order: WeightsOrder) -> OrderOutcome:
        """Send an order; raises ``BackendError`` if there is no answer."""
        ...


class OrderPaths(Protocol):
    """Knows which runners this node reaches over its own connections."""

    def is_lost(self, address: str) -> bool:
        """Return whether other nodes reach an address while this node does not."""
        ...

    def check(self, address: str, cause: str) -> Awaitable[None] | None:
        """Start to check the path to an address; None if that is done already."""
        ...
