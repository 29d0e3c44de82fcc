"""The interface of placement policies."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random


# Not frozen: one is made for each engine and request, and a frozen one takes twice as long to make.
@dataclass(slots=True)
class EngineView:
    """What a policy sees of an engine; policies do not change it.

    Attributes:
        matched_blocks: Leading blocks of the prompt believed cached there.
        weights_version: Version of the weights that it serves.
        trusted: Whether the beliefs have no gap.
        queued_tokens: Prompt tokens waiting for prefill, estimated.
        waiting: Requests waiting for a slot, estimated.
        running: Requests running, estimated.
        max_running: Slots of the engine.
        cache_usage: Share of its cache in use, 0 to 1.
        prefill_rate: Prompt tokens prefilled per second.
        network_delay: Extra one-way delay to it, in seconds.
    """

    engine_id: str
    zone: str
    matched_blocks: int
    weights_version: int
    trusted: bool
    queued_tokens: float
    waiting: int
    running: int
    max_running: int
    cache_usage: float
    prefill_rate: float
    network_delay: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What a policy sees of a request."""

    hashes: Sequence[int]
    prompt_tokens: int
    block_tokens: int


@dataclass(frozen=True, slots=True)
class Placement:
    """The engine chosen, the seconds until it starts the prefill, and the weights it serves."""

    engine_id: str
    estimated_wait: float
    uncached_tokens: int
    weights_version: int


class PlacementPolicy(ABC):
    """Chooses an engine for a request."""

    @abstractmethod
    def choose(
        self, request: PlacementRequest, engines: Sequence[EngineView], rng: Random
    ) -> EngineView:
        """Return one of ``engines``, which is not empty."""


def uncached_tokens(request: PlacementRequest, engine: EngineView) -> int:
    """Return the prompt tokens that the engine would have to prefill."""
    return max(1, request.prompt_tokens - engine.matched_blocks * request.block_tokens)


def estimated_wait(engine: EngineView) -> float:
    """Return the estimated seconds until the engine starts a new request's prefill."""
    queue = engine.queued_tokens / engine.prefill_rate
    excess = engine.running + engine.waiting - engine.max_running
    slot_wait = max(0, excess + 1) * SLOT_TURNOVER_SECONDS / engine.max_running
    return queue + slot_wait


SLOT_TURNOVER_SECONDS = 2.0
