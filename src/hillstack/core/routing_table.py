"""Routes, services and tenants of one configuration version, looked up by request.

The table is immutable: a new configuration version makes a new table, so a request keeps the one
that it started with.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from hillstack.core.tenant_limits import TenantLimit

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1e6


class RouteKind(enum.StrEnum):
    """What may be done with a request of a route.

    Attributes:
        SAFE: It may run more than once.
        UNSAFE: It may run at most once.
        STREAM: It is answered by a series of events.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that a route sends requests to, and its weight among the route's services."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """A route.

    Attributes:
        path_prefix: Begins and ends with a slash.
        timeout_seconds: Longest time that a request may be held.
        target_seconds: Objective for the answer, for streams for the first event.
        max_attempts: Most runners that one request may be sent to.
        priority: Rank, 0 is the most urgent.
        public: Whether it needs no key.
        sticky: Whether its requests name the parts of their prompt.
        resumable: Whether a broken stream may go on at another runner.
        gap_seconds: Longest pause between two events that is still in time; None for no limit.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_seconds: float
    target_seconds: float
    max_attempts: int
    priority: int
    public: bool
    sticky: bool
    resumable: bool
    shares: tuple[ServiceShare, ...]
    gap_seconds: float | None = None

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.resumable)


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """What the runners of a service are able to do.

    Attributes:
        slots: Requests that run at once.
        kv_capacity_tokens: KV cache memory, shared by running requests and kept parts.
        kv_token_bytes: Bytes of KV cache for one token.
        link_megabits: Rate of moves of KV cache, megabits a second.
        models: Names of the models that they serve.
    """

    slots: int
    kv_capacity_tokens: int
    kv_token_bytes: float
    link_megabits: float
    models: tuple[str, ...] = ()

    def transfer_seconds(self, tokens: int, megabits: float) -> float:
        """Return how long a link of some megabits a second carries the KV cache of tokens."""
        return tokens * self.kv_token_bytes * BITS_PER_BYTE / (megabits * BITS_PER_MEGABIT)


@dataclass(frozen=True, slots=True)
class KeptCacheStore:
    """A store of KV cache outside the runners."""

    address: str
    zone: str
    capacity_tokens: int
    link_megabits: float


@dataclass(frozen=True, slots=True)
class Service:
    """A service: runners of one kind, or a store of KV cache."""

    name: str
    max_connections: int = 0
    engine: EngineProfile | None = None
    kept_cache: KeptCacheStore | None = None


@dataclass(frozen=True, slots=True)
class TenantEntry:
    """A tenant.

    Attributes:
        priority: Replaces the priority of the route, if given.
        isolated: Whether it shares no cached part with any other tenant.
        limit: What it may send, over all nodes together; None for no limit.
    """

    name: str
    priority: int | None = None
    isolated: bool = False
    limit: TenantLimit | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on what callers may send, and how long a connection may be idle."""

    max_body_bytes: int = 4_194_304
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One configuration version, indexed."""

    version: int
    services: dict[str, Service]
    tenants_by_key: dict[str, TenantEntry] | None
    limits: RequestLimits
    _routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    _gaps: dict[str, float] = field(default_factory=dict)
    _tenant_limits: dict[str, TenantLimit] = field(default_factory=dict)

    @classmethod
    def build(
        cls,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        tenants_by_key: dict[str, TenantEntry] | None,
        limits: RequestLimits,
    ) -> RoutingTable:
        """Index routes by host, the longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(entries, key=lambda route: -len(route.path_prefix)))
            for host, entries in by_host.items()
        }
        by_name = {service.name: service for service in services}
        gaps = _shortest_gaps(route for entries in by_host.values() for route in entries)
        entries = (tenants_by_key or {}).values()
        tenant_limits = {entry.name: entry.limit for entry in entries if entry.limit is not None}
        return cls(version, by_name, tenants_by_key, limits, ordered, gaps, tenant_limits)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix that begins the path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def routes(self) -> list[Route]:
        """Return all routes."""
        return [route for routes in self._routes_by_host.values() for route in routes]

    def limit_of(self, tenant: str) -> TenantLimit | None:
        """Return the limit of a tenant, by its name; None if it has none."""
        return self._tenant_limits.get(tenant)

    def has_limits(self) -> bool:
        """Return whether any tenant has a limit."""
        return bool(self._tenant_limits)

    def shortest_gap(self, service: str) -> float:
        """Return the shortest allowed pause of any route of a service; infinite for none."""
        return self._gaps.get(service, math.inf)

    def kept_cache_stores(self) -> list[KeptCacheStore]:
        """Return all stores of KV cache."""
        return [s.kept_cache for s in self.services.values() if s.kept_cache is not None]


def _shortest_gaps(routes: Iterable[Route]) -> dict[str, float]:
    gaps: dict[str, float] = {}
    for route in routes:
        if route.gap_seconds is None:
            continue
        for share in route.shares:
            gaps[share.service] = min(gaps.get(share.service, math.inf), route.gap_seconds)
    return gaps
