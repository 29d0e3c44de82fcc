"""Requests, engines, routers and the oracle of the fleet simulation."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from hillstack.core.cache_index import CacheIndex
from hillstack.core.fleet import Fleet, LoadReport
from hillstack.core.placement.base import EngineView, Placement
from hillstack.core.request_router import CompletionRequest, RequestRouter
from hillstack.simulation.engine_model import EngineModel, EngineRequest
from hillstack.simulation.workload import Arrival


@dataclass(slots=True)
class RequestRecord:
    """The outcome of one request; times are in virtual seconds.

    Attributes:
        retry_after: Seconds after which the last refusal asked the caller to retry.
        came_back: Whether the caller sent the request again after a refusal.
        admitted_on_return: Whether the request was admitted when it was sent again.
        first_token_at: When the caller received the first token; None if the request was refused
            or lost.
    """

    arrival: Arrival
    cache_salt: str
    refused_at: float | None = None
    retry_after: float = 0.0
    came_back: bool = False
    admitted_on_return: bool = False
    first_token_at: float | None = None
    finished_at: float | None = None
    cached_tokens: int = 0
    prompt_tokens: int = 0
    attempts: int = 0


@dataclass(slots=True)
class SimulatedEngine:
    """An engine and the state that it publishes to routers.

    Attributes:
        stepping: Whether a step is running.
        sequence: Sequence number of the next cache event batch.
        load_history: Times and load reports, from which routers read with a lag.
        in_transit: Attempts sent to the engine that have not arrived yet.
    """

    engine_id: str
    zone: str
    model: EngineModel
    incarnation: int = 1
    stepping: bool = False
    alive: bool = True
    sequence: int = 0
    load_history: deque[tuple[float, LoadReport]] = field(default_factory=lambda: deque(maxlen=64))
    in_transit: int = 0

    def incarnation_id(self) -> str:
        """Return an identifier of the current incarnation."""
        return f"{self.engine_id}/{self.incarnation}"


@dataclass(slots=True)
class SimulatedRouter:
    """A router with its view of the engines and its cache index.

    Attributes:
        undelivered_events: Lost cache events by engine, which a replay applies later.
    """

    zone: str
    fleet: Fleet
    index: CacheIndex
    request_router: RequestRouter
    undelivered_events: dict[str, list[Callable[[], None]]] = field(default_factory=dict)


@dataclass(slots=True)
class AttemptInFlight:
    """An attempt that is on its way to an engine or runs there."""

    record: RequestRecord
    router: SimulatedRouter
    request: CompletionRequest
    engine: SimulatedEngine
    attempt_id: str
    placement: Placement
    incarnation: int


class OracleRouter(RequestRouter):
    """A request router that reads the true state of the engines, without delay or loss."""

    engines: dict[str, SimulatedEngine]

    def _views(
        self, request: CompletionRequest, now: float, excluded: Collection[str]
    ) -> list[EngineView]:
        views = []
        for engine in self.engines.values():
            if engine.engine_id in excluded or not engine.alive:
                continue
            model = engine.model
            probe = EngineRequest("", request.hashes.for_version(1), request.prompt_tokens, 0)
            load = model.running + model.waiting + engine.in_transit
            views.append(
                EngineView(
                    engine_id=engine.engine_id,
                    zone=engine.zone,
                    matched_blocks=model.matched_blocks(probe),
                    weights_version=1,
                    trusted=True,
                    queued_tokens=float(model.waiting_tokens()),
                    waiting=max(0, load - model.profile.max_running),
                    running=min(load, model.profile.max_running),
                    max_running=model.profile.max_running,
                    cache_usage=model.cache.usage(),
                    prefill_rate=model.profile.prefill_rate,
                )
            )
        return views
