"""The interface of placement policies."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random


# Not frozen: a view is created for each engine and request, and creating a frozen one takes twice
# as long.
@dataclass(slots=True)
class EngineView:
    """The input of a policy about an engine; policies must not modify it.

    Attributes:
        matched_blocks: Estimated number of leading blocks of the prompt that the engine has cached.
        weights_version: Version of the weights that the engine serves.
        trusted: Whether no cache event of the engine is missing.
        queued_tokens: Prompt tokens waiting for prefill, estimated.
        waiting: Requests waiting for a slot, estimated.
        running: Requests running, estimated.
        max_running: Slots of the engine.
        cache_usage: Share of the engine's cache in use, 0 to 1.
        prefill_rate: Prompt tokens prefilled per second.
        network_delay: Extra one-way delay to the engine, in seconds.
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
    """The input of a policy about a request.

    Attributes:
        hashes: Block hashes of the prompt, first block first.
        prompt_tokens: Tokens of the prompt.
        block_tokens: Tokens in a block.
    """

    hashes: Sequence[int]
    prompt_tokens: int
    block_tokens: int


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen engine with its estimated wait.

    Attributes:
        estimated_wait: Estimated seconds until the engine starts the prefill.
        uncached_tokens: Prompt tokens that the engine has to prefill.
        weights_version: Version of the weights that the engine serves.
    """

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
