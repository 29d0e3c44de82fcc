"""Estimates which prompt parts are cached where after this node or a peer has sent a request.

The parts of a prompt count as cached as soon as the request is sent, because a later request to the
same runner queues behind it and finds them. They can be fetched from there only once they are
prefilled: at the first event of the answer or, if no event is reported, long after it was expected.
A part that is fetched too early is missing and has to be prefilled again.

A runner that is asked to save a prompt sends everything that it has prefilled to the KV cache
store, one request after another over the store's link. That link is narrow, so ``should_save``
selects the prompts that are saved, and a part counts as stored only once the link has transferred
the part and everything queued before it.
"""

from __future__ import annotations

from collections.abc import Sequence

from hillstack.core.part_index import PromptPart
from hillstack.core.prompt_shape import PromptShape
from hillstack.core.routing_table import KvCacheStore, RoutingTable
from hillstack.messages.peer_notices import PlacementNotice
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import PlacedAttempt

# Without a report, a prompt counts as prefilled after twice the expected time plus one second.
# Fetches that came earlier found parts missing.
UNCONFIRMED_PREFILL_FACTOR = 2.0
UNCONFIRMED_PREFILL_SECONDS = 1.0
# From the first event of an answer to the first byte of a save.
SAVE_SETUP_SECONDS = 0.03
# By the platform's specification, a transfer that would wait more than 2 s is not started; less a
# margin.
MAX_SAVE_WAIT_SECONDS = 1.8


class CacheEstimates:
    """Updates the index of cached parts with the requests that are sent.

    Args:
        state: State of the node.
    """

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._link_free_at: dict[str, float] = {}
        self._cached_seconds_per_token: dict[tuple[str, str], float] = {}
        self._cached_for_table: RoutingTable | None = None

    def should_save(self, store: KvCacheStore, salt: str, shape: PromptShape, now: float) -> bool:
        """Return whether a prompt has parts that the store lacks and later requests will need.

        False also if the store's link is reserved for so long that the save would probably not
        start (``MAX_SAVE_WAIT_SECONDS``). The last part usually belongs to this prompt alone, so
        it is worth saving only if it is already in the index.
        """
        index = self._state.index
        parts = shape.shared
        if index.is_cached_anywhere(salt, shape.parts[-1].part_id):
            parts = shape.parts
        wanted = sum(part.tokens for part in parts)
        if index.matched_tokens(store.address, salt, parts) >= wanted:
            return False
        return self._link_free_at.get(store.address, now) - now < MAX_SAVE_WAIT_SECONDS

    def sent(self, placed: PlacedAttempt, shape: PromptShape, now: float) -> None:
        """Add the parts of an attempt that is being sent, which its runner will prefill."""
        if placed.salt is None:
            return
        ready_at = now + _prefill_bound_seconds(placed.delay)
        runner_id = placed.runner.runner_id
        self._add_parts(runner_id, placed.salt, shape.parts, ready_at, now)
        if placed.save_to is not None:
            self._reserve_link(placed.save_to, runner_id, placed.prefill_tokens, now)
            self._add_saved_parts(placed.save_to, runner_id, placed.salt, shape.parts, ready_at)

    def prefilled(self, placed: PlacedAttempt, shape: PromptShape, now: float) -> None:
        """Mark the parts of an attempt as prefilled, at the first event of its answer."""
        if placed.salt is None:
            return
        runner_id = placed.runner.runner_id
        self._add_parts(runner_id, placed.salt, shape.parts, now, now)
        if placed.save_to is not None:
            self._add_saved_parts(placed.save_to, runner_id, placed.salt, shape.parts, now)

    def peer_sent(self, notice: PlacementNotice, now: float) -> None:
        """Add the parts of a request that a peer has sent."""
        if notice.save_to is not None:
            self._reserve_link(notice.save_to, notice.runner_id, notice.prefill_tokens, now)
        self._add_peer_parts(notice, now + _prefill_bound_seconds(notice.delay_ms / 1000), now)

    def peer_prefilled(self, notice: PlacementNotice, now: float) -> None:
        """Mark the parts of a request that a peer has sent as prefilled.

        The parts were added when the request was sent, so usually only the time from which they
        can be fetched changes.
        """
        parts = notice.prompt_parts()
        if not self._state.index.note_ready(notice.runner_id, notice.salt, parts, now):
            self._add_parts(notice.runner_id, notice.salt, parts, now, now)
        if notice.save_to is not None:
            stored_at = self._stored_at(notice.save_to, notice.runner_id, parts, now)
            if not self._state.index.note_ready(notice.save_to, notice.salt, parts, stored_at):
                self._state.index.record_cached(
                    notice.save_to, notice.salt, parts, ready_at=stored_at
                )

    def _add_peer_parts(self, notice: PlacementNotice, ready_at: float, now: float) -> None:
        parts = notice.prompt_parts()
        self._add_parts(notice.runner_id, notice.salt, parts, ready_at, now)
        if notice.save_to is not None:
            self._add_saved_parts(notice.save_to, notice.runner_id, notice.salt, parts, ready_at)

    def _add_parts(
        self, runner_id: str, salt: str, parts: Sequence[PromptPart], ready_at: float, now: float
    ) -> None:
        runner = self._state.pool.get(runner_id)
        if runner is not None:
            reserved = runner.committed_tokens(now)
            self._state.index.record_cached(runner_id, salt, parts, reserved, ready_at)

    def _add_saved_parts(
        self,
        address: str,
        runner_id: str,
        salt: str,
        parts: Sequence[PromptPart],
        ready_at: float,
    ) -> None:
        """Add parts to a store, available once its link has transferred the saves before them."""
        stored_at = self._stored_at(address, runner_id, parts, ready_at)
        self._state.index.record_cached(address, salt, parts, ready_at=stored_at)

    def _stored_at(
        self, address: str, runner_id: str, parts: Sequence[PromptPart], ready_at: float
    ) -> float:
        """Return when parts that are prefilled at ``ready_at`` will be in a store."""
        seconds = self._save_seconds(address, runner_id, sum(part.tokens for part in parts))
        stored_at = max(ready_at + seconds, self._link_free_at.get(address, ready_at))
        return stored_at + SAVE_SETUP_SECONDS

    def _reserve_link(self, address: str, runner_id: str, tokens: int, now: float) -> None:
        """Reserve a store's link for a number of tokens, behind the transfers already reserved.

        The time is reserved immediately, not from when the tokens will be prefilled, because the
        link transfers other saves in the meantime.
        """
        seconds = self._save_seconds(address, runner_id, tokens)
        self._link_free_at[address] = max(self._link_free_at.get(address, now), now) + seconds

    def _save_seconds(self, address: str, runner_id: str, tokens: int) -> float:
        runner = self._state.pool.get(runner_id)
        if runner is None:
            return 0.0
        # Called three times for each prompt that any node sends, so the result is cached until the
        # configuration changes.
        if self._cached_for_table is not self._state.table:
            self._cached_for_table = self._state.table
            self._cached_seconds_per_token.clear()
        key = (address, runner.entry.service)
        seconds = self._cached_seconds_per_token.get(key)
        if seconds is None:
            seconds = self._cached_seconds_per_token[key] = self._seconds_per_token(*key)
        return tokens * seconds

    def _seconds_per_token(self, address: str, service: str) -> float:
        """Return the transfer time of a token to a store; 0 for an unknown store or service."""
        table = self._state.table
        stores = table.kv_cache_stores() if table is not None else []
        store = next((store for store in stores if store.address == address), None)
        engine = self._state.engine_of(service)
        if engine is None or store is None:
            return 0.0
        return engine.transfer_seconds(1, max(1.0, store.link_megabits))


def _prefill_bound_seconds(delay: float) -> float:
    return UNCONFIRMED_PREFILL_SECONDS + UNCONFIRMED_PREFILL_FACTOR * delay
