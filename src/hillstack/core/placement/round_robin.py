"""Baseline: round robin over the engines."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from hillstack.core.placement.base import EngineView, PlacementPolicy, PlacementRequest


class RoundRobin(PlacementPolicy):
    """Chooses the engines in turn, regardless of load and caches."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, request: PlacementRequest, engines: Sequence[EngineView], rng: Random
    ) -> EngineView:
        """Return the next engine by identifier."""
        ordered = sorted(engines, key=lambda engine: engine.engine_id)
        self._next += 1
        return ordered[self._next % len(ordered)]
