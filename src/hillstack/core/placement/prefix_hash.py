"""Baseline: consistent hashing of the prefix with bounded loads."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from hillstack.core.placement.base import EngineView, PlacementPolicy, PlacementRequest
from hillstack.core.rendezvous import ranked

PREFIX_BLOCKS = 4
LOAD_FACTOR = 1.25


class PrefixHash(PlacementPolicy):
    """Chooses the first engine in the prefix's rendezvous order that is below the load bound."""

    def choose(
        self, request: PlacementRequest, engines: Sequence[EngineView], rng: Random
    ) -> EngineView:
        """Return the engine for the prefix's first blocks."""
        by_id = {engine.engine_id: engine for engine in engines}
        head = request.hashes[:PREFIX_BLOCKS]
        key = str(head[-1]) if head else str(rng.random())
        load = sum(_load(engine) for engine in engines)
        bound = LOAD_FACTOR * (load + 1) / len(engines)
        order = ranked(key, by_id)
        for engine_id in order:
            if _load(by_id[engine_id]) <= bound:
                return by_id[engine_id]
        return by_id[order[0]]


def _load(engine: EngineView) -> int:
    return engine.running + engine.waiting
