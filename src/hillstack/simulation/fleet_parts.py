"""The parts of a simulated fleet: requests, engines, routers and the oracle."""

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
    """What became of one request.

    Attributes:
        first_token_at: When the caller had the first token; None when it was refused or lost.
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
    """An engine and its published state."""

    engine_id: str
    zone: str
    model: EngineModel
    incarnation: int = 1
    stepping: bool = False
    alive: bool = True
    sequence: int = 0
    load_history: deque[tuple[float, LoadReport]] = field(default_factory=lambda: deque(maxlen=64))
    on_way: int = 0

    def life(self) -> str:
        """Return the name of the incarnation."""
        return f"{self.engine_id}/{self.incarnation}"


@dataclass(slots=True)
class SimulatedRouter:
    """A router's decisions and beliefs."""

    zone: str
    fleet: Fleet
    index: CacheIndex
    decisions: RequestRouter
    lost: dict[str, list[Callable[[], None]]] = field(default_factory=dict)


@dataclass(slots=True)
class Flight:
    """An attempt on its way to an engine or running there."""

    record: RequestRecord
    router: SimulatedRouter
    request: CompletionRequest
    engine: SimulatedEngine
    attempt_id: str
    placement: Placement
    incarnation: int


class OracleRouter(RequestRouter):
    """A request router that sees engines as they are."""

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
            load = model.running + model.waiting + engine.on_way
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
