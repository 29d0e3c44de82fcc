"""Routes, services and tenants of one configuration version, indexed for requests.

The table is immutable. Each configuration version has a table of its own, and a request uses the
same table from its start to its end.
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
    """How the requests of a route may be run.

    Attributes:
        SAFE: A request may run more than once.
        UNSAFE: A request may run at most once.
        STREAM: The answer is a series of events.
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
    """A route from a host and path prefix to services.

    Attributes:
        path_prefix: Prefix of the request path; begins and ends with a slash.
        timeout_seconds: Longest time for which a request may be held.
        target_seconds: Latency objective for the answer, or for the first event of a stream.
        max_attempts: Maximum number of attempts of one request that runners did not refuse.
        priority: Rank of the route's requests; 0 is the most urgent.
        public: Whether requests need no key.
        sticky: Whether requests name the parts of their prompt.
        resumable: Whether a broken stream may be resumed on another runner.
        shares: The services with their weights.
        gap_seconds: Longest pause between two events that is in time; None for no limit.
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
    """Capabilities of the runners of a service.

    Attributes:
        slots: Number of requests that run concurrently.
        kv_capacity_tokens: KV cache memory, shared by running requests and cached parts.
        kv_token_bytes: Bytes of KV cache for one token.
        link_megabits: Rate of KV cache transfers, in Mbit/s.
        models: Names of the models that the runners serve.
    """

    slots: int
    kv_capacity_tokens: int
    kv_token_bytes: float
    link_megabits: float
    models: tuple[str, ...] = ()

    def transfer_seconds(self, tokens: int, megabits: float) -> float:
        """Return the seconds to transfer the KV cache of tokens at a rate in Mbit/s."""
        return tokens * self.kv_token_bytes * BITS_PER_BYTE / (megabits * BITS_PER_MEGABIT)


@dataclass(frozen=True, slots=True)
class KvCacheStore:
    """A KV cache store outside the runners."""

    address: str
    zone: str
    capacity_tokens: int
    link_megabits: float


@dataclass(frozen=True, slots=True)
class Service:
    """A service: runners of one kind, or a KV cache store."""

    name: str
    max_connections: int = 0
    engine: EngineProfile | None = None
    kv_cache_store: KvCacheStore | None = None


@dataclass(frozen=True, slots=True)
class TenantEntry:
    """A tenant with its priority, isolation and limit.

    Attributes:
        priority: Overrides the priority of the route; None to use the route's.
        isolated: Whether the tenant shares no cached parts with other tenants.
        limit: Limit on the tenant's requests over all nodes together; None for no limit.
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
    """Routes, services and tenants of one configuration version, with their indexes."""

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
        """Build the table, with the routes of each host sorted by descending prefix length."""
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
        """Return the route of a host with the longest prefix of a path, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def routes(self) -> list[Route]:
        """Return all routes."""
        return [route for routes in self._routes_by_host.values() for route in routes]

    def limit_of(self, tenant: str) -> TenantLimit | None:
        """Return the limit of the tenant with a name; None without a limit."""
        return self._tenant_limits.get(tenant)

    def has_limits(self) -> bool:
        """Return whether any tenant has a limit."""
        return bool(self._tenant_limits)

    def shortest_gap(self, service: str) -> float:
        """Return the strictest limit of a service's routes on event gaps; infinite without one."""
        return self._gaps.get(service, math.inf)

    def kv_cache_stores(self) -> list[KvCacheStore]:
        """Return all KV cache stores."""
        return [s.kv_cache_store for s in self.services.values() if s.kv_cache_store is not None]


def _shortest_gaps(routes: Iterable[Route]) -> dict[str, float]:
    gaps: dict[str, float] = {}
    for route in routes:
        if route.gap_seconds is None:
            continue
        for share in route.shares:
            gaps[share.service] = min(gaps.get(share.service, math.inf), route.gap_seconds)
    return gaps
