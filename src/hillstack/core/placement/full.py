"""The full policy: waiting, prefill, what a prefill costs others, and distrust of gappy beliefs."""

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
        congestion: How much that weight grows with each second of mean wait over all engines. A
            prefill delays all who wait behind it, so the longer the queues, the more it costs.
        eviction: Weight of a second of prefill that others must repeat after an eviction.
        home_discount: Share of the prefill that the home engine of a prefix is spared in the
            comparison while no engine is warmer, so that nodes that know nothing of each other's
            fills agree on an engine.
        untrusted_discount: Share of matched blocks that count while a gap stands.
    """

    wait: float = 1.0
    recompute: float = 1.5
    congestion: float = 10.0
    eviction: float = 0.1
    home_discount: float = 0.2
    untrusted_discount: float = 0.5


class Full(PlacementPolicy):
    """The engine with the lowest weighted cost.

    A hot prefix spreads by itself: once its engine's queue costs more than a second prefill,
    another engine wins and from then on holds it as well. Blocks of a prefill in flight count as
    cached at their engine, so that concurrent requests wait there in place of a second fill.
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
        # The bound lets a single hot prefix spread: its own queue raises the mean as well.
        congestion = min(MAX_CONGESTION, weights.congestion * mean_wait)
        recompute = weights.recompute * (1 + congestion)
        return weights.wait * wait + (recompute + weights.eviction * pressure) * prefill


def _home(request: PlacementRequest, engines: Sequence[EngineView]) -> str | None:
    if not request.hashes:
        return None
    return owner(str(request.hashes[0]), (engine.engine_id for engine in engines))
