"""The full policy: minimizes a weighted cost of wait, prefill, congestion and evictions.

Cached blocks of an engine count less while cache events of it are missing.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from hillstack.core.placement.base import (
    EngineView,
    PlacementPolicy,
    PlacementRequest,
    estimated_wait,
)
from hillstack.core.rendezvous import owner

CACHE_PRESSURE_FROM = 0.8
MAX_CONGESTION = 12.0


@dataclass(frozen=True, slots=True)
class CostWeights:
    """Weights of the cost, set in the bundle.

    Attributes:
        wait: Weight of a second of waiting.
        recompute: Weight of a second of prefill of uncached tokens.
        congestion: Relative increase of the recompute weight for each second of mean wait over all
            engines. A prefill delays all requests behind it, so its cost grows with the queues.
        eviction: Weight of a second of prefill that other requests must repeat after an eviction.
        home_discount: Share of the prefill cost that is not counted for the home engine of a
            prefix, while no other engine has more blocks cached. Nodes that do not know of each
            other's fills thereby agree on an engine.
        untrusted_discount: Share of the matched blocks that counts while events are missing.
    """

    wait: float = 1.0
    recompute: float = 1.5
    congestion: float = 10.0
    eviction: float = 0.1
    home_discount: float = 0.2
    untrusted_discount: float = 0.5


class Full(PlacementPolicy):
    """Chooses the engine with the lowest weighted cost.

    A hot prefix spreads by itself: once the queue of its engine costs more than another prefill,
    another engine is chosen and then has the prefix cached too. Blocks of a prefill in flight count
    as cached on their engine, so that concurrent requests wait there instead of repeating the fill.
    """

    def __init__(self, weights: CostWeights) -> None:
        self._weights = weights

    def choose(
        self, request: PlacementRequest, engines: Sequence[EngineView], rng: Random
    ) -> EngineView:
        """Return the engine with the lowest weighted cost."""
        mean_wait = sum(estimated_wait(engine) for engine in engines) / len(engines)
        home = _home(request, engines)
        best_match = max(engine.matched_blocks for engine in engines)

        def order(engine: EngineView) -> tuple[float, float]:
            is_home = engine.engine_id == home and engine.matched_blocks >= best_match
            return self.cost(request, engine, mean_wait, is_home), rng.random()

        return min(engines, key=order)

    def cost(
        self, request: PlacementRequest, engine: EngineView, mean_wait: float, is_home: bool
    ) -> float:
        """Return the weighted cost of an engine, in seconds."""
        weights = self._weights
        matched = float(engine.matched_blocks)
        if not engine.trusted:
            matched *= weights.untrusted_discount
        uncached = max(1.0, request.prompt_tokens - matched * request.block_tokens)
        prefill = uncached / engine.prefill_rate
        if is_home:
            prefill *= 1 - weights.home_discount
        pressure = max(0.0, engine.cache_usage - CACHE_PRESSURE_FROM) / (1 - CACHE_PRESSURE_FROM)
        wait = estimated_wait(engine) + 2 * engine.network_delay
        # The bound lets a single hot prefix spread: its own queue also raises the mean wait.
        congestion = min(MAX_CONGESTION, weights.congestion * mean_wait)
        recompute = weights.recompute * (1 + congestion)
        return weights.wait * wait + (recompute + weights.eviction * pressure) * prefill


def _home(request: PlacementRequest, engines: Sequence[EngineView]) -> str | None:
    if not request.hashes:
        return None
    return owner(str(request.hashes[0]), (engine.engine_id for engine in engines))
