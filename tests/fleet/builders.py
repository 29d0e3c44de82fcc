"""Builders of routes, runners and requests of a fleet for tests."""

from __future__ import annotations

from random import Random

from hillstack.core.freshness import Freshness
from hillstack.core.part_index import PromptPart
from hillstack.core.prompt_shape import PromptShape
from hillstack.core.routing_table import (
    EngineProfile,
    KvCacheStore,
    RequestLimits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    ServiceShare,
    TenantEntry,
)
from hillstack.core.runner_pool import RunnerEntry
from hillstack.core.shared_retry_budget import SharedRetryBudget
from hillstack.core.store_revision import StoreRevision
from hillstack.core.weights_versions import WeightsVersions
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.store_events import ConfigurationChanged, RunnerListed, WeightsNamed
from hillstack.serving.types import ServingRequest

HOST = "host.example"
MODEL = "model-a"
ENGINES = "engines"
APPLICATION = "application"
KEY = "key-1"
VERSION_GRACE_SECONDS = 7.6

ENGINE = EngineProfile(
    slots=32,
    kv_capacity_tokens=100_000,
    kv_token_bytes=160_000.0,
    link_megabits=1_000_000.0,
    models=(MODEL,),
)


def rev(number: int, era: int = 0) -> StoreRevision:
    """Return a revision of the store with the given number and era."""
    return StoreRevision(era, number)


def make_route(
    kind: RouteKind = RouteKind.SAFE,
    *,
    prefix: str = "/app/",
    service: str = APPLICATION,
    attempts: int = 2,
    resumable: bool = False,
    public: bool = False,
    timeout: float = 5.0,
    shares: tuple[ServiceShare, ...] | None = None,
) -> Route:
    return Route(
        name=f"route{prefix}",
        host=HOST,
        path_prefix=prefix,
        kind=kind,
        timeout_seconds=timeout,
        target_seconds=0.5,
        max_attempts=attempts,
        priority=1,
        public=public,
        sticky=kind is RouteKind.STREAM,
        resumable=resumable,
        shares=shares or (ServiceShare(service),),
        gap_seconds=0.5 if kind is RouteKind.STREAM else None,
    )


def make_table(
    *routes: Route,
    version: int = 1,
    keys: dict[str, TenantEntry] | None = None,
    store: KvCacheStore | None = None,
) -> RoutingTable:
    services = [Service(APPLICATION), Service(ENGINES, engine=ENGINE)]
    if store is not None:
        services.append(Service("kept", kv_cache_store=store))
    tenants = keys if keys is not None else {KEY: TenantEntry("tenant-1")}
    return RoutingTable.build(version, routes, services, tenants, RequestLimits())


def make_entry(
    runner_id: str,
    service: str = APPLICATION,
    *,
    zone: str = "zone-a",
    draining: bool = False,
    weights: int = 0,
    revision: int = 1,
    era: int = 0,
    software: str = "",
) -> RunnerEntry:
    return RunnerEntry(
        runner_id=runner_id,
        service=service,
        # Runners whose names have different lengths get different addresses.
        address=f"10.0.0.1:{8000 + len(runner_id)}",
        zone=zone,
        slots=8,
        draining=draining,
        weights={MODEL: weights} if weights else {},
        revision=rev(revision, era),
        software=software,
    )


def make_budget() -> SharedRetryBudget:
    return SharedRetryBudget(0.2, 54.0, 10.0)


def make_state(
    table: RoutingTable, *entries: RunnerEntry, weights: int = 1, freshness_bound: float = 4.0
) -> FleetState:
    versions = WeightsVersions(VERSION_GRACE_SECONDS)
    state = FleetState("node-1", Freshness(freshness_bound), versions, make_budget())
    state.apply(ConfigurationChanged(table), 0.0)
    state.apply(WeightsNamed(MODEL, weights), -100.0)
    for entry in entries:
        state.apply(RunnerListed(entry), 0.0)
    state.directory_known = True
    state.note_peers_known(0.0)
    state.duty_known = True
    state.freshness.prove(0.0)
    state.start_gate.open()
    state.start_gate.open_for_prompts()
    return state


def make_request(
    path: str = "/app/x",
    *,
    request_id: str = "r-1",
    key: str | None = KEY,
    patience: float | None = 5.0,
    parts: tuple[tuple[str, int], ...] = (),
    output: int = 50,
    arrived_at: float = 0.0,
    last_event_id: int | None = None,
) -> ServingRequest:
    shape = None
    if parts:
        shape = PromptShape(tuple(PromptPart(name, tokens) for name, tokens in parts), output)
    return ServingRequest(
        request_id=request_id,
        method="POST",
        host=HOST,
        path=path,
        target=path,
        headers=[],
        body=b"{}",
        arrived_at=arrived_at,
        patience_seconds=patience,
        key=key,
        model=MODEL if parts else "",
        shape=shape,
        last_event_id=last_event_id,
    )


def make_rng() -> Random:
    return Random(1)
