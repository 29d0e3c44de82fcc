"""Baseline: the engine with the shortest estimated wait."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from hillstack.core.placement.base import (
    EngineView,
    PlacementPolicy,
    PlacementRequest,
    estimated_wait,
)


class LeastLoaded(PlacementPolicy):
    """Chooses the engine with the shortest wait, regardless of caches.

    Ties are broken by the number of running requests, then at random.
    """

    def choose(
        self, request: PlacementRequest, engines: Sequence[EngineView], rng: Random
    ) -> EngineView:
        """Return the engine with the shortest wait."""
        return min(
            engines, key=lambda engine: (estimated_wait(engine), engine.running, rng.random())
        )
