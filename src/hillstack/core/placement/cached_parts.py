"""Finds the holders of a prompt's cached parts and the transfer that saves the most time."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from hillstack.core.part_index import PartIndex
from hillstack.core.prompt_shape import PromptShape
from hillstack.core.routing_table import EngineProfile, KvCacheStore
from hillstack.core.runner_pool import Runner
from hillstack.core.topology import ONE_REGION, Topology

# Fixed time of a transfer: the round trip to the other runner and the wait there. A miss alone
# costs a millisecond.
MOVE_SETUP_SECONDS = 0.004
# Transfers between zones take twice as long and between regions ten times as long as within a zone,
# by the platform's specification.
CROSS_ZONE_MOVE_FACTOR = 2.0
CROSS_REGION_MOVE_FACTOR = 10.0
# Price of a token that is transferred between regions, as a delay. In the platform's price list it
# is three times the price of a transfer within a region, which this module does not count, and
# about a thirty-fifth of the price of a repeated prefill (``REPEATED_PREFILL_SECONDS_PER_TOKEN``).
CROSS_REGION_MOVE_SECONDS_PER_TOKEN = 0.000008
# Weight of a cross-region transfer's duration as a cost. It blocks the links of both runners for
# other transfers, which run one after another, ten times as long as a transfer within a region. In
# a calculation with known caches, half a region during a burst has many late prompts without this
# cost, and none with it.
CROSS_REGION_LINK_COST_FACTOR = 1.0
# Below two blocks of 16 tokens, a prefill is as fast as a transfer.
MIN_MOVE_TOKENS = 32
# Price of a token that is prefilled again, as a delay. With this weight the tokens of repeated
# prefills fell from 107,000 to 38,000 on a day of low load (docs/PLATFORM.md).
REPEATED_PREFILL_SECONDS_PER_TOKEN = 0.0003


@dataclass(frozen=True, slots=True)
class PlacementInputs:
    """Inputs of a placement decision that are equal for all candidates.

    Attributes:
        zone: Zone of this node.
        engine: Capabilities of the service's runners.
        prefill_rate: Prompt tokens prefilled per second.
        stores: KV cache stores from which parts may be fetched.
        now: Time on the node's clock.
        target_seconds: Objective for the first event.
        gap_seconds: The strictest limit, over all routes of the service, on the pause between two
            events of a stream.
        idle_until: Until when an idle connection of this node may be used, by address.
        topology: Zones and regions; by default all zones are in one region.
        round_trip_seconds: Delay that the round trip to the candidates adds to each of them.
        round_trip_cost: Further cost of this round trip, as a delay.
        failed_zones: Zones of the runners excluded for this request: those already tried and, in
            the first of two passes, those that peers report as leaving.
    """

    zone: str
    engine: EngineProfile
    prefill_rate: float
    stores: Sequence[KvCacheStore]
    now: float
    target_seconds: float
    gap_seconds: float
    idle_until: Mapping[str, float] = field(default_factory=dict)
    topology: Topology = ONE_REGION
    round_trip_seconds: float = 0.0
    round_trip_cost: float = 0.0
    failed_zones: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Move:
    """A transfer of cached parts to a runner.

    Attributes:
        address: Address of the holder; None if nothing is transferred.
        tokens: Transferred tokens.
        seconds: Expected duration.
        cost: Cost in addition to the duration, as a delay; 0 within a region.
        is_cross_region: Whether the holder is in another region.
    """

    address: str | None = None
    tokens: int = 0
    seconds: float = 0.0
    cost: float = 0.0
    is_cross_region: bool = False


NO_MOVE = Move()


@dataclass(frozen=True, slots=True)
class Moves:
    """The transfers that save the most time.

    Attributes:
        near: The best transfer within the region.
        across: The best transfer from another region; None unless it has more tokens than ``near``.
    """

    near: Move
    across: Move | None = None


@dataclass(frozen=True, slots=True)
class _Source:
    """A holder from which shared parts can be fetched, with the number of tokens available now."""

    address: str
    zone: str
    tokens: int


@dataclass(slots=True)
class CachedParts:
    """The holders of a prompt's parts under one salt.

    Attributes:
        known_tokens: Maximum number of shared tokens that any runner has or is prefilling, or that
            a store in another region has.
        matched: Cached leading tokens of the whole prompt, by runner with any.
    """

    known_tokens: int
    matched: dict[str, int]
    _sources: list[_Source]
    _inputs: PlacementInputs
    _moves: dict[tuple[str, int], Moves] = field(default_factory=dict)

    def moves(self, runner: Runner, matched: int) -> Moves:
        """Return the best transfers to a runner that already has ``matched`` tokens.

        The result is cached by zone and matched tokens, so that a placement decision costs runners
        plus sources, not their product. A runner never fetches from itself, since it has no fewer
        tokens than it offers.
        """
        key = (runner.entry.zone, matched)
        moves = self._moves.get(key)
        if moves is None:
            moves = self._moves[key] = self._find_moves(*key)
        return moves

    def _find_moves(self, zone: str, matched: int) -> Moves:
        inputs = self._inputs
        near, near_gain = NO_MOVE, -math.inf
        across, across_gain = NO_MOVE, -math.inf
        for source in self._sources:
            tokens = source.tokens - matched
            if tokens < MIN_MOVE_TOKENS:
                continue
            seconds = move_seconds(tokens, source.zone, zone, inputs)
            gain = tokens / inputs.prefill_rate - seconds
            if inputs.topology.are_same_region(source.zone, zone):
                if gain > near_gain:
                    near, near_gain = Move(source.address, tokens, seconds), gain
                continue
            cost = (
                CROSS_REGION_MOVE_SECONDS_PER_TOKEN * tokens
                + CROSS_REGION_LINK_COST_FACTOR * seconds
            )
            gain += REPEATED_PREFILL_SECONDS_PER_TOKEN * tokens - cost
            if gain > across_gain:
                across = Move(source.address, tokens, seconds, cost, is_cross_region=True)
                across_gain = gain
        return Moves(near, across if across.tokens > near.tokens else None)


def find_cached_parts(
    index: PartIndex,
    shape: PromptShape,
    salt: str,
    inputs: PlacementInputs,
    holders: Collection[Runner],
) -> CachedParts:
    """Return the holders that have cached or are prefilling parts of a prompt.

    Args:
        index: Estimated cache contents of the holders.
        shape: The prompt.
        salt: Salt under which the parts are cached.
        inputs: Inputs that are equal for all candidates.
        holders: Runners from which cached parts may be fetched.
    """
    holder_ids = index.holders_with_part(salt, shape.parts[0].part_id)
    known = 0
    matched: dict[str, int] = {}
    sources: list[_Source] = []
    for holder in holders:
        holder_id = holder.runner_id
        if holder_id not in holder_ids:
            continue
        matched[holder_id] = index.matched_tokens(holder_id, salt, shape.parts)
        known = max(known, min(shape.shared_tokens, matched[holder_id]))
        ready_tokens = index.matched_tokens(holder_id, salt, shape.shared, inputs.now)
        sources.append(_Source(holder.address, holder.entry.zone, ready_tokens))
    for store in inputs.stores:
        ready_tokens = index.matched_tokens(store.address, salt, shape.shared, inputs.now)
        sources.append(_Source(store.address, store.zone, ready_tokens))
        if not inputs.topology.is_own_region(store.zone):
            # Parts in a store of this region are fetched, so they are not repeated. Parts that only
            # a remote store has would be prefilled again.
            known = max(known, ready_tokens)
    return CachedParts(known, matched, sources, inputs)


def move_seconds(tokens: int, source_zone: str, zone: str, inputs: PlacementInputs) -> float:
    """Return the expected seconds of a transfer of cached tokens.

    The slowest link counts, of the runners and of all stores, whichever holder is the source.
    """
    rate = inputs.engine.link_megabits
    for store in inputs.stores:
        if store.link_megabits > 0:
            rate = min(rate, store.link_megabits)
    seconds = MOVE_SETUP_SECONDS + inputs.engine.transfer_seconds(tokens, rate)
    if source_zone == zone:
        return seconds
    if inputs.topology.are_same_region(source_zone, zone):
        return seconds * CROSS_ZONE_MOVE_FACTOR
    return seconds * CROSS_REGION_MOVE_FACTOR
