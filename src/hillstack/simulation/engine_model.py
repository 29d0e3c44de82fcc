"""A model of an inference engine: continuous batching over a block cache.

The model advances in steps, as an engine does: each step prefills up to a budget of prompt tokens
and decodes one token for each running request. The model has no clock: each step returns its
duration. The emulator runs the model in real time, the simulation in virtual time.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

PREFILL_BUDGET_TOKENS = 2_048
STEP_OVERHEAD_SECONDS = 0.004
DECODE_SECONDS_PER_REQUEST = 0.0002


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Speed and capacity of an engine.

    Attributes:
        prefill_rate: Prompt tokens prefilled per second.
        max_running: Maximum number of requests in the batch.
        cache_blocks: Capacity of the cache in blocks.
        block_tokens: Tokens per block.
    """

    prefill_rate: float = 8_000.0
    max_running: int = 32
    cache_blocks: int = 400
    block_tokens: int = 1_000


@dataclass(slots=True)
class EngineRequest:
    """A request inside an engine.

    Attributes:
        hashes: Hashes of the full blocks of its prompt.
        priority: Scheduling priority; lower values are admitted first.
        emitted: Tokens emitted so far. A resumed stream starts above zero.
        computed_tokens: Prompt tokens prefilled or found in the cache.
        cached_blocks: Leading blocks found in the cache on admission.
        arrival: Arrival number, which orders requests of equal priority.
    """

    request_id: str
    hashes: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    emitted: int = 0
    computed_tokens: int = 0
    cached_blocks: int = 0
    arrival: int = 0


@dataclass(frozen=True, slots=True)
class StepResult:
    """The outcome of one step.

    Attributes:
        seconds: Duration of the step.
        emitted: Requests that emit a token at the end of the step.
        finished: Requests that finish with the token emitted in this step.
        stored: Hashes of the blocks newly cached, in prompt order within a request.
        removed: Hashes of blocks evicted.
        prefilled: Hashes of all blocks computed, including blocks that another request cached
            in the meantime.
    """

    seconds: float
    emitted: tuple[EngineRequest, ...]
    finished: tuple[EngineRequest, ...]
    stored: tuple[int, ...]
    removed: tuple[int, ...]
    prefilled: tuple[int, ...]


@dataclass(slots=True)
class BlockCache:
    """A block cache with reference counts, which evicts the least recently used idle block.

    Attributes:
        references: Number of requests that hold each cached block.
        idle: Cached blocks that no request holds, least recently used first.
        reserved: Blocks set aside for running requests and not computed yet.
    """

    capacity: int
    references: dict[int, int] = field(default_factory=dict)
    idle: OrderedDict[int, None] = field(default_factory=OrderedDict)
    reserved: int = 0

    def __contains__(self, block: int) -> bool:
        return block in self.references

    def __len__(self) -> int:
        return len(self.references)

    def usage(self) -> float:
        """Return the share of the capacity that is cached or reserved."""
        return min(1.0, (len(self.references) + self.reserved) / self.capacity)

    def available(self) -> int:
        """Return how many blocks could be allocated, counting idle blocks as evictable."""
        return self.capacity - self.reserved - (len(self.references) - len(self.idle))

    def hold(self, block: int) -> None:
        """Add a reference to a cached block, which protects it from eviction."""
        self.references[block] += 1
        self.idle.pop(block, None)

    def release(self, block: int) -> None:
        """Drop a reference; the block stays cached until it is evicted."""
        count = self.references.get(block, 0)
        if count <= 0:
            return
        self.references[block] = count - 1
        if count == 1:
            self.idle[block] = None

    def store(self, block: int) -> bool:
        """Cache a block with a reference for its request; return whether the block is new."""
        if block in self.references:
            self.hold(block)
            return False
        self.references[block] = 1
        return True

    def evict_to_fit(self) -> list[int]:
        """Evict idle blocks until the cache fits its capacity; return the evicted blocks."""
        removed = []
        while len(self.references) + self.reserved > self.capacity and self.idle:
            block, _ = self.idle.popitem(last=False)
            del self.references[block]
            removed.append(block)
        return removed


class EngineModel:
    """The scheduler and the block cache of an engine."""

    def __init__(self, profile: EngineProfile) -> None:
        self.profile = profile
        self.cache = BlockCache(profile.cache_blocks)
        self._waiting: list[EngineRequest] = []
        self._running: list[EngineRequest] = []
        self._held: dict[str, list[int]] = {}
        self._reserved: dict[str, int] = {}
        self._arrivals = 0

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests waiting for the batch."""
        return len(self._waiting)

    def waiting_tokens(self) -> int:
        """Return the prompt tokens not yet prefilled, of waiting and running requests."""
        block_tokens = self.profile.block_tokens
        total = 0
        for request in self._waiting:
            cached = self.matched_blocks(request) * block_tokens
            total += max(0, request.prompt_tokens - cached)
        for request in self._running:
            total += max(0, request.prompt_tokens - request.computed_tokens)
        return total

    def is_idle(self) -> bool:
        """Return whether no request is waiting or running."""
        return not self._waiting and not self._running

    def submit(self, request: EngineRequest) -> None:
        """Queue a request."""
        self._arrivals += 1
        request.arrival = self._arrivals
        self._waiting.append(request)
        self._waiting.sort(key=lambda entry: (entry.priority, entry.arrival))

    def cancel(self, request_id: str) -> None:
        """Remove a request, waiting or running."""
        self._waiting = [entry for entry in self._waiting if entry.request_id != request_id]
        for request in self._running:
            if request.request_id == request_id:
                self._running.remove(request)
                self._release(request)
                return

    def import_blocks(self, hashes: tuple[int, ...]) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Cache blocks computed by another engine; return the stored and the evicted blocks."""
        stored = [block for block in hashes if self.cache.store(block)]
        for block in hashes:
            self.cache.release(block)
        removed = self.cache.evict_to_fit()
        return tuple(stored), tuple(removed)

    def clear_cache(self) -> None:
        """Evict all blocks that no request holds."""
        for block in list(self.cache.idle):
            del self.cache.references[block]
        self.cache.idle.clear()

    def step(self) -> StepResult:
        """Admit waiting requests and run one step of the batch."""
        self._admit()
        stored: list[int] = []
        prefilled: list[int] = []
        budget = PREFILL_BUDGET_TOKENS
        prefilled_tokens = 0
        emitted = []
        for request in self._running:
            remaining = request.prompt_tokens - request.computed_tokens
            if remaining > 0:
                chunk = min(remaining, budget)
                budget -= chunk
                prefilled_tokens += chunk
                self._compute(request, chunk, stored, prefilled)
            if request.computed_tokens >= request.prompt_tokens:
                request.emitted += 1
                emitted.append(request)
        finished = [entry for entry in emitted if entry.emitted >= entry.output_tokens]
        for request in finished:
            self._running.remove(request)
            self._release(request)
        removed = self.cache.evict_to_fit()
        seconds = (
            STEP_OVERHEAD_SECONDS
            + prefilled_tokens / self.profile.prefill_rate
            + DECODE_SECONDS_PER_REQUEST * len(emitted)
        )
        return StepResult(
            seconds,
            tuple(emitted),
            tuple(finished),
            tuple(stored),
            tuple(removed),
            tuple(prefilled),
        )

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.profile.max_running:
            request = self._waiting[0]
            needed = self._blocks_needed(request)
            if needed > self.cache.available() and self._running:
                return
            self._waiting.pop(0)
            self._start(request)

    def _start(self, request: EngineRequest) -> None:
        matched = self.matched_blocks(request)
        request.cached_blocks = matched
        request.computed_tokens = matched * self.profile.block_tokens
        # The last prompt token is always computed: the first output token is sampled from it.
        request.computed_tokens = min(request.computed_tokens, request.prompt_tokens - 1)
        held = list(request.hashes[:matched])
        for block in held:
            self.cache.hold(block)
        self._held[request.request_id] = held
        reserved = self._blocks_needed(request) - matched
        self._reserved[request.request_id] = reserved
        self.cache.reserved += reserved
        self._running.append(request)

    def _compute(
        self, request: EngineRequest, chunk: int, stored: list[int], prefilled: list[int]
    ) -> None:
        block_tokens = self.profile.block_tokens
        first = request.computed_tokens // block_tokens
        request.computed_tokens += chunk
        last = min(request.computed_tokens // block_tokens, len(request.hashes))
        for block in request.hashes[max(first, request.cached_blocks) : last]:
            prefilled.append(block)
            if self.cache.store(block):
                stored.append(block)
            self._held[request.request_id].append(block)
            self.cache.reserved -= 1
            self._reserved[request.request_id] -= 1

    def _release(self, request: EngineRequest) -> None:
        self.cache.reserved -= self._reserved.pop(request.request_id, 0)
        # Blocks at the end of the prompt become idle first and are evicted first, because other
        # requests are more likely to share the blocks at the start.
        for block in reversed(self._held.pop(request.request_id, [])):
            self.cache.release(block)

    def _blocks_needed(self, request: EngineRequest) -> int:
        tokens = request.prompt_tokens + request.output_tokens
        return -(-tokens // self.profile.block_tokens)

    def matched_blocks(self, request: EngineRequest) -> int:
        """Return the number of leading blocks of a request that are cached."""
        matched = 0
        for block in request.hashes:
            if block not in self.cache:
                break
            matched += 1
        return matched
