"""What is limited over all nodes together: tenants by configuration, runners by their own word."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from hillstack.core.runner_pool import RunnerPool
from hillstack.core.tenant_limits import LimitTolerance, TenantLimit
from hillstack.messages.datagrams import DatagramKind
from hillstack.serving.fleet_state import FleetState

# In 4 s a runner may get half as much again as its limit allows, and five requests more.
RUNNER_TOLERANCE = LimitTolerance(window_seconds=4.0, overshoot=0.5, slack=5.0)
# Less than at a tenant's limit: what fills a bucket, what nodes bring with their start and what
# they have not handed over yet must fit that margin together at each rate.
RUNNER_START_SHARE = 0.3


class LimitSource(Protocol):
    """Knows the limits."""

    def has_limits(self) -> bool:
        """Return whether there are any."""
        ...

    def limit_of(self, name: str, told_rate: float) -> TenantLimit | None:
        """Return a limit; None if it is not known.

        Args:
            name: Whose it is.
            told_rate: The rate that a peer tells with it; 0 if it tells none.
        """
        ...

    def told_rate(self, name: str) -> float:
        """Return the rate that peers are told with questions; 0 if they know it."""
        ...


class TenantLimitSource:
    """The limits of tenants: all nodes know them from the configuration.

    Args:
        state: What the node knows.
    """

    def __init__(self, state: FleetState) -> None:
        self._state = state

    def has_limits(self) -> bool:
        """Return whether some tenant has one."""
        return self._state.table is not None and self._state.table.has_limits()

    def limit_of(self, name: str, told_rate: float) -> TenantLimit | None:
        """Return a tenant's limit; None if it has none."""
        return self._state.table.limit_of(name) if self._state.table is not None else None

    def told_rate(self, name: str) -> float:
        """Return 0: peers know it."""
        return 0.0


class RunnerLimitSource:
    """The limits that runners name: nodes hear of them at different times.

    Args:
        pool: All runners.
        clock: Monotonic seconds.
    """

    def __init__(self, pool: RunnerPool, clock: Callable[[], float]) -> None:
        self._pool = pool
        self._clock = clock

    def has_limits(self) -> bool:
        """Return whether some runner names one."""
        return bool(self._pool.limited(self._clock()))

    def limit_of(self, name: str, told_rate: float) -> TenantLimit | None:
        """Return a runner's limit: the lower one where a peer knows another one."""
        known = self._pool.limit_of(name, self._clock())
        rates = [rate for rate in (known, told_rate) if rate]
        return TenantLimit(min(rates), burst=0.0) if rates else None

    def told_rate(self, name: str) -> float:
        """Return the rate that this node knows; 0 if it knows none."""
        return self._pool.limit_of(name, self._clock()) or 0.0


@dataclass(frozen=True, slots=True)
class LimitScope:
    """A group of limits, and the datagrams that speak of them.

    Attributes:
        source: Knows the limits.
    """

    source: LimitSource
    question: DatagramKind = DatagramKind.TOKEN_QUESTION
    answer: DatagramKind = DatagramKind.TOKEN_ANSWER
    transfer_question: DatagramKind = DatagramKind.TRANSFER_QUESTION
    transfer_answer: DatagramKind = DatagramKind.TRANSFER_ANSWER


def tenant_scope(state: FleetState) -> LimitScope:
    """Return the limits of tenants."""
    return LimitScope(TenantLimitSource(state))


def runner_scope(pool: RunnerPool, clock: Callable[[], float]) -> LimitScope:
    """Return the limits of runners."""
    return LimitScope(
        RunnerLimitSource(pool, clock),
        DatagramKind.RUNNER_TOKEN_QUESTION,
        DatagramKind.RUNNER_TOKEN_ANSWER,
        DatagramKind.RUNNER_TRANSFER_QUESTION,
        DatagramKind.RUNNER_TRANSFER_ANSWER,
    )
