"""The full policy: waiting, prefill, forced recomputation and distrust of gappy beliefs."""

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

CACHE_PRESSURE_FROM = 0.8


@dataclass(frozen=True, slots=True)
class CostWeights:
    """Weights of the cost, set in the bundle.

    Attributes:
        wait: Weight of a second of waiting.
        recompute: Weight of a second of prefill of uncached tokens.
        eviction: Weight of a second of prefill that others must repeat after an eviction.
        untrusted_discount: Share of matched blocks that count while a gap stands.
    """

    wait: float = 1.0
    recompute: float = 1.5
    eviction: float = 0.1
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
        return min(engines, key=lambda engine: (self.cost(request, engine), rng.random()))

    def cost(self, request: PlacementRequest, engine: EngineView) -> float:
        """Return the weighted cost of an engine, in seconds."""
        weights = self._weights
        matched = float(engine.matched_blocks)
        if not engine.trusted:
            matched *= weights.untrusted_discount
        uncached = max(1.0, request.prompt_tokens - matched * request.block_tokens)
        prefill = uncached / engine.prefill_rate
        pressure = max(0.0, engine.cache_usage - CACHE_PRESSURE_FROM) / (1 - CACHE_PRESSURE_FROM)
        wait = estimated_wait(engine) + 2 * engine.network_delay
        return (
            weights.wait * wait
            + weights.recompute * prefill
            + weights.eviction * pressure * prefill
        )
