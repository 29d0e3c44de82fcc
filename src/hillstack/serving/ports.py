"""Interfaces that serving a request depends on."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from hillstack.core.runner_pool import Runner
from hillstack.core.stream_origins import StreamOrigin
from hillstack.core.tenant_limits import TenantLimit
from hillstack.serving.attempt_monitor import UNMONITORED, AttemptMonitor
from hillstack.serving.job import Job, PlacedAttempt
from hillstack.serving.types import Dispatch, HeaderList, ServingRequest


class RunnerAnswer(Protocol):
    """An answer of a runner whose head has arrived and whose body is still to be read."""

    @property
    def status(self) -> int:
        """HTTP status."""
        ...

    @property
    def headers(self) -> HeaderList:
        """Headers to pass on to the caller."""
        ...

    @property
    def signed(self) -> bool:
        """Whether the answer carries the runner's signature."""
        ...

    async def next_piece(self) -> bytes:
        """Return the next bytes of the body, or ``b""`` after its proper end.

        Raises:
            BackendBrokenError: The body broke off.
        """
        ...

    async def whole_body(self) -> bytes:
        """Return the whole body.

        Raises:
            BackendBrokenError: The body broke off.
        """
        ...

    def close(self) -> None:
        """Abandon the answer; if it is incomplete, the connection to the runner is closed."""
        ...


class RunnerClient(Protocol):
    """Sends requests to runners."""

    async def send(self, request: ServingRequest, dispatch: Dispatch) -> RunnerAnswer:
        """Send a request and return its answer once the head has arrived.

        Raises:
            RunnerRefusedError: The request was not run and never will be.
            BackendBrokenError: The request may have run.
        """
        ...


class TenantLimiter(Protocol):
    """Enforces the rate limits of tenants across all nodes."""

    async def take(self, tenant: str, limit: TenantLimit, cost: float, rank: int) -> float:
        """Charge a request to its tenant's limit.

        Args:
            tenant: Name of the tenant.
            limit: Limit of the tenant.
            cost: Cost of the request.
            rank: Urgency among the requests of the tenant; 0 is the most urgent.

        Returns:
            0 if the request may be sent; else the seconds until the limit has room for it.
        """
        ...

    def give_back(self, tenant: str, cost: float) -> None:
        """Refund the cost of a request that no runner has run."""
        ...


@dataclass(frozen=True, slots=True)
class PlaceAnswer:
    """Whether a request may be sent to a brittle runner.

    Attributes:
        granted: Whether it may be sent now.
        issuer: The node that granted or refused the place; empty if no issuer answered.
    """

    granted: bool
    issuer: str = ""


class PlaceSource(Protocol):
    """Grants places at brittle runners across all nodes."""

    async def take(self, runner: Runner, rejections_per_second: float) -> PlaceAnswer:
        """Return whether a request may be sent to a brittle runner now.

        Args:
            runner: The runner.
            rejections_per_second: Rejections that it tolerates.
        """
        ...


@dataclass(frozen=True, slots=True)
class OriginFinding:
    """What other nodes know of the version that began a stream.

    Attributes:
        software: The version; None if no node that was asked knows it.
        is_mixed: Whether one of them knows of several recent versions of the service.
        knows_versions: Whether one of them knows all recent versions of the service.
        was_asked: Whether there was a node to ask.
        versions: The recent versions that they know.
    """

    software: str | None
    is_mixed: bool
    knows_versions: bool
    was_asked: bool
    versions: frozenset[str] = frozenset()


class OriginSource(Protocol):
    """Reports to other nodes which versions began streams, and asks them."""

    def report(self, origins: Iterable[StreamOrigin]) -> None:
        """Report the origins of streams."""
        ...

    async def find(self, service: str, attempt_id: str) -> OriginFinding:
        """Return what other nodes know of the origin of a stream.

        Args:
            service: Service of the stream.
            attempt_id: The caller's try that brought its first event; empty if it is not known.
        """
        ...


class OriginRecords(Protocol):
    """Records in the store which versions began streams."""

    def record(self, origins: Iterable[StreamOrigin]) -> None:
        """Record the origins of streams, soon and as far as the store accepts them."""
        ...

    def record_versions(self) -> None:
        """Record the versions that are listed, soon, because there is a new one."""
        ...


class NoOriginRecords:
    """Records nothing."""

    def record(self, origins: Iterable[StreamOrigin]) -> None:
        """Ignore the origins."""

    def record_versions(self) -> None:
        """Ignore the versions."""


class ResponseSink(Protocol):
    """Receives the answer to the caller."""

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the head."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        ...

    async def finish(self) -> None:
        """End the answer as complete."""
        ...


class AttemptObserver(Protocol):
    """Observes attempts during a rollout."""

    def watch(self, job: Job, placed: PlacedAttempt, now: float) -> AttemptMonitor:
        """Return a monitor for an attempt that is about to be sent."""
        ...

    def ended(self, job: Job, now: float) -> None:
        """Record that the attempt of a request has ended and no longer loads its runner."""
        ...


class NoObserver:
    """Observes nothing."""

    def watch(self, job: Job, placed: PlacedAttempt, now: float) -> AttemptMonitor:
        """Return a monitor that discards everything."""
        return UNMONITORED

    def ended(self, job: Job, now: float) -> None:
        """Do nothing."""
        return
