"""The groups of limits that all nodes share: tenants by configuration, runners by announcement."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from hillstack.core.runner_pool import RunnerPool
from hillstack.core.tenant_limits import LimitTolerance, TenantLimit
from hillstack.messages.datagrams import DatagramKind
from hillstack.serving.fleet_state import FleetState

# In 4 s a runner may get 1.5 times the requests that its limit allows, and five more.
RUNNER_TOLERANCE = LimitTolerance(window_seconds=4.0, overshoot=0.5, slack=5.0)
# Smaller than for tenants: at every rate, the fill of a bucket, the tokens that nodes bring at
# startup and the refill time that they have not transferred yet must fit into this tolerance
# together.
RUNNER_START_SHARE = 0.3


class LimitSource(Protocol):
    """Source of the limits of a group."""

    def has_limits(self) -> bool:
        """Return whether any limit is in effect."""
        ...

    def limit_of(self, name: str, reported_rate: float) -> TenantLimit | None:
        """Return a limit; None if it is not known.

        Args:
            name: Name of the tenant or runner.
            reported_rate: The rate that a peer sent with its question; 0 if it sent none.
        """
        ...

    def reported_rate(self, name: str) -> float:
        """Return the rate to send to peers with questions; 0 if the peers know it."""
        ...


class TenantLimitSource:
    """The limits of tenants, which all nodes know from the configuration.

    Args:
        state: The node's view of the fleet.
    """

    def __init__(self, state: FleetState) -> None:
        self._state = state

    def has_limits(self) -> bool:
        """Return whether any tenant has a limit."""
        return self._state.table is not None and self._state.table.has_limits()

    def limit_of(self, name: str, reported_rate: float) -> TenantLimit | None:
        """Return a tenant's limit; None if it has none."""
        return self._state.table.limit_of(name) if self._state.table is not None else None

    def reported_rate(self, name: str) -> float:
        """Return 0, since the peers know the rate."""
        return 0.0


class RunnerLimitSource:
    """The limits that runners announce, which nodes learn at different times.

    Args:
        pool: All runners.
        clock: Monotonic seconds.
    """

    def __init__(self, pool: RunnerPool, clock: Callable[[], float]) -> None:
        self._pool = pool
        self._clock = clock

    def has_limits(self) -> bool:
        """Return whether any runner has announced a limit."""
        return bool(self._pool.active_limits(self._clock()))

    def limit_of(self, name: str, reported_rate: float) -> TenantLimit | None:
        """Return a runner's limit: the lower of the locally known and the reported rate."""
        known = self._pool.limit_of(name, self._clock())
        rates = [rate for rate in (known, reported_rate) if rate]
        return TenantLimit(min(rates), burst=0.0) if rates else None

    def reported_rate(self, name: str) -> float:
        """Return the rate that this node knows for the runner; 0 if it knows none."""
        return self._pool.limit_of(name, self._clock()) or 0.0


@dataclass(frozen=True, slots=True)
class LimitScope:
    """A group of limits, and the kinds of datagrams used for it.

    Attributes:
        source: Source of the limits.
    """

    source: LimitSource
    question: DatagramKind = DatagramKind.TOKEN_QUESTION
    answer: DatagramKind = DatagramKind.TOKEN_ANSWER
    transfer_question: DatagramKind = DatagramKind.TRANSFER_QUESTION
    transfer_answer: DatagramKind = DatagramKind.TRANSFER_ANSWER


def tenant_scope(state: FleetState) -> LimitScope:
    """Return the scope of the tenants' limits."""
    return LimitScope(TenantLimitSource(state))


def runner_scope(pool: RunnerPool, clock: Callable[[], float]) -> LimitScope:
    """Return the scope of the runners' limits."""
    return LimitScope(
        RunnerLimitSource(pool, clock),
        DatagramKind.RUNNER_TOKEN_QUESTION,
        DatagramKind.RUNNER_TOKEN_ANSWER,
        DatagramKind.RUNNER_TRANSFER_QUESTION,
        DatagramKind.RUNNER_TRANSFER_ANSWER,
    )
