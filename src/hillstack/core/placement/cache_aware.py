"""Cache-aware policy: minimizes the wait plus the prefill of uncached tokens."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from hillstack.core.placement.base import (
    EngineView,
    PlacementPolicy,
    PlacementRequest,
    estimated_wait,
    uncached_tokens,
)


class CacheAware(PlacementPolicy):
    """Chooses the engine with the lowest time to the first token, by local cache estimates."""

    def choose(
        self, request: PlacementRequest, engines: Sequence[EngineView], rng: Random
    ) -> EngineView:
        """Return the engine with the lowest cost."""
        return min(engines, key=lambda engine: (_cost(request, engine), rng.random()))


def _cost(request: PlacementRequest, engine: EngineView) -> float:
    return estimated_wait(engine) + uncached_tokens(request, engine) / engine.prefill_rate
