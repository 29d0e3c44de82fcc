"""What a node believes to be cached after it, or a peer, has sent a request.

Parts count as kept from the moment when the request is sent, since a request that follows to the
same runner waits behind it and finds them. They can be fetched from there only once they are read:
at the first event of the answer, or, where nobody tells of it, long after that was expected. A part
that is fetched too early is not there, and is read again.
"""

from __future__ import annotations

from collections.abc import Sequence

from hillstack.core.part_index import PromptPart
from hillstack.core.placement.expected_delay import PromptShape
from hillstack.core.routing_table import KeptCacheStore
from hillstack.messages.peer_notices import PlacementNotice
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import PlacedAttempt

UNTOLD_FACTOR = 2.0
UNTOLD_SECONDS = 1.0
SAVE_SETUP_SECONDS = 0.03
BITS_PER_MEGABIT = 1e6


class CacheBeliefs:
    """Keeps the index of cached parts up to date with what is sent.

    Args:
        state: What the node knows.
    """

    def __init__(self, state: FleetState) -> None:
        self._state = state

    def sent(self, placed: PlacedAttempt, shape: PromptShape, now: float) -> None:
        """Note an attempt that is being sent: its runner will read the parts."""
        if placed.salt is None:
            return
        ready_at = now + _until_surely_read(placed.delay)
        self._note(placed.runner.runner_id, placed.salt, shape.parts, ready_at, now)

    def read(self, placed: PlacedAttempt, shape: PromptShape, now: float) -> None:
        """Note the first event of an attempt: its runner has read the parts."""
        if placed.salt is not None:
            self._note(placed.runner.runner_id, placed.salt, shape.parts, now, now)

    def peer_sent(self, notice: PlacementNotice, now: float) -> None:
        """Take over what a peer has sent, or what a runner has read for it."""
        delay = 0.0 if notice.is_read else _until_surely_read(notice.delay_ms / 1000)
        parts = notice.prompt_parts()
        self._note(notice.runner_id, notice.salt, parts, now + delay, now)

    def _note(
        self,
        runner_id: str,
        salt: str,
        parts: Sequence[PromptPart],
        ready_at: float,
        now: float,
    ) -> None:
        runner = self._state.pool.get(runner_id)
        if runner is None:
            return
        index = self._state.index
        index.note(runner_id, salt, parts, runner.committed_tokens(now), ready_at)
        store = self._state.kept_cache_store(runner.entry.zone, now)
        engine = self._state.engine_of(runner.entry.service)
        if store is not None and engine is not None:
            stored_at = ready_at + _save_seconds(parts, engine.kv_token_bytes, store)
            index.note(store.address, salt, parts, ready_at=stored_at)


def _until_surely_read(delay: float) -> float:
    return UNTOLD_SECONDS + UNTOLD_FACTOR * delay


def _save_seconds(parts: Sequence[PromptPart], token_bytes: float, store: KeptCacheStore) -> float:
    """Return the time until parts that were just read are in the store."""
    bits = sum(part.tokens for part in parts) * token_bytes * 8
    return SAVE_SETUP_SECONDS + bits / (max(1.0, store.link_megabits) * BITS_PER_MEGABIT)
