"""Orders to load weights, and what a node needs to give them."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol


class OrderOutcome(enum.StrEnum):
    """What a runner answered to an order."""

    DONE = "done"
    TAKEN = "taken"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_INSTANCE = "other_instance"
    REJECTED = "rejected"


class RunningRequests(enum.Enum):
    """What becomes of the requests that run at a runner when it loads weights.

    Attributes:
        FINISH: They end first; the runner takes no others meanwhile.
        RESET: They are broken off.
        CONTINUE: They pause for the load and go on under the new weights.
    """

    FINISH = enum.auto()
    RESET = enum.auto()
    CONTINUE = enum.auto()


@dataclass(frozen=True, slots=True)
class WeightsOrder:
    """An order to load a version of a model's weights.

    Attributes:
        fence: Rises from holder to holder of the duty; a runner refuses a lower one.
        expected_orders: Orders that the runner has taken before this one. An order that is
            carried out late finds another number and is refused.
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
    """What a runner says of itself, as of some hundred milliseconds ago.

    Attributes:
        busy: Whether it is carrying out an order.
        orders_taken: Orders taken since its start.
    """

    weights: dict[str, int]
    busy: bool
    orders_taken: int


class OrderSender(Protocol):
    """Talks to runners about their weights."""

    async def report(self, runner_id: str, address: str) -> RunnerReport:
        """Return what a runner says of itself; raises ``BackendError``."""
        ...

    async def order_weights(self, order: WeightsOrder) -> OrderOutcome:
        """Give an order; raises ``BackendError`` when no answer came."""
        ...
