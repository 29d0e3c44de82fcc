"""Placement by the expected time to the first event, and by what it does to other streams.

For each runner: the prefills that are ahead, the move of cached parts from where they are kept, the
prefill of what is left, and penalties where slots or memory run out. Ties go to the runner that a
hash of the last shared part names, so that nodes which know little agree on a home for each part.

A long prefill slows the steps of all streams at its runner, so that they pause. Long streams are
therefore kept together on few runners, and long prefills away from them.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from hillstack.core.part_index import PartIndex, PromptPart
from hillstack.core.rendezvous import score
from hillstack.core.routing_table import EngineProfile, KeptCacheStore
from hillstack.core.runner_pool import Runner

MOVE_SETUP_SECONDS = 0.004
REMOTE_MOVE_FACTOR = 2.0
MIN_MOVE_TOKENS = 32
HASH_BONUS_SECONDS = 0.02
SLOT_PENALTY_SECONDS = 1.0
MEMORY_PENALTY_SECONDS = 2.0
SHED_PENALTY_SECONDS = 0.5
REMOTE_PENALTY_SECONDS = 0.002
HASH_RANGE = float(2**64)
LONG_STREAMS = "long streams"
BEGIN_FACTOR = 2.0
BEGIN_MARGIN_SECONDS = 0.4
LATE_PENALTY_SECONDS = 1.0
LATE_SOFTNESS = 0.1
PAUSE_SHARE = 0.7
PAUSE_PENALTY_SECONDS = 0.08
SLOWDOWN_SHARE = 0.02
LONG_OUTPUT_TOKENS = 100
GATHER_BONUS_SECONDS = 0.06
AVOID_SECONDS = 0.03
GATHER_SLOT_SHARE = 0.3
GATHER_MEMORY_SHARE = 0.5
REPEATED_PREFILL_SECONDS_PER_TOKEN = 0.0003
SUPERSEDED_SECONDS = 1.5
SUPERSEDED_PENALTY_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class PromptShape:
    """A prompt as placement sees it.

    Attributes:
        parts: Parts in order; all but the last are shared with other prompts.
        output_tokens: Most tokens that may be generated.
    """

    parts: tuple[PromptPart, ...]
    output_tokens: int

    @property
    def prompt_tokens(self) -> int:
        """Return the tokens of all parts."""
        return sum(part.tokens for part in self.parts)

    @property
    def total_tokens(self) -> int:
        """Return the memory that the request may come to use, in tokens."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_long(self) -> bool:
        """Return whether it is expected to generate for long."""
        return self.output_tokens > LONG_OUTPUT_TOKENS

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Return the parts that other prompts may have too."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Return the tokens of the shared parts."""
        return sum(part.tokens for part in self.shared)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A runner that may take the request, and the salt that its weights ask for.

    Attributes:
        weights_version: Version that the request asks for.
        begin_before: When a request must have begun at the latest, since newer weights are due.
        superseded_at: When newer weights were named; infinite if these are the newest.
    """

    runner: Runner
    salt: str
    weights_version: int = 0
    begin_before: float = math.inf
    superseded_at: float = math.inf


@dataclass(frozen=True, slots=True)
class Choice:
    """A placement.

    Attributes:
        delay: Expected seconds to the first event.
        waiting: Part of the delay that is spent behind other requests.
        prefill_tokens: Tokens that the runner will have to prefill.
        matched_tokens: Tokens believed cached at the runner.
        fetch_from: Address to fetch cached parts from; None when there is nothing to fetch.
        moved_tokens: Tokens that the fetch would move.
        repeated_tokens: Tokens of the prefill that some runner has read or is reading already.
    """

    candidate: Candidate
    delay: float
    waiting: float
    prefill_tokens: int
    matched_tokens: int
    fetch_from: str | None
    moved_tokens: int
    repeated_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What is the same for all candidates of one decision.

    Attributes:
        target_seconds: Objective for the first event.
        gap_seconds: Shortest allowed pause of the service's streams.
    """

    zone: str
    engine: EngineProfile
    prefill_rate: float
    stores: Sequence[KeptCacheStore]
    now: float
    target_seconds: float
    gap_seconds: float


@dataclass(frozen=True, slots=True)
class _Source:
    """A holder from which shared parts can be fetched now, and how much of them."""

    holder_id: str
    address: str
    zone: str
    tokens: int


@dataclass(frozen=True, slots=True)
class _KeptParts:
    """Who keeps the shared parts of a prompt.

    Attributes:
        known_tokens: The most that any runner has read or is reading.
    """

    known_tokens: int
    sources: list[_Source]


@dataclass(frozen=True, slots=True)
class _Move:
    """A fetch of cached parts; without an address there is none."""

    address: str | None = None
    tokens: int = 0
    seconds: float = 0.0


class ExpectedDelayPlacement:
    """Chooses the runner with the least expected time to the first event."""

    def __init__(self, index: PartIndex) -> None:
        self._index = index
        self._ordered_ids: frozenset[str] = frozenset()
        self._order: dict[str, float] = {}

    def choose(
        self,
        shape: PromptShape,
        candidates: Sequence[Candidate],
        surroundings: Surroundings,
        holders: Collection[Runner],
    ) -> Choice | None:
        """Return the best choice, or None without candidates.

        Args:
            shape: The prompt.
            candidates: Runners that may take it.
            surroundings: Node, engine, time.
            holders: Runners from which parts may be fetched.
        """
        best: Choice | None = None
        best_cost = float("inf")
        kept_by_salt: dict[str, _KeptParts] = {}
        positions = self._positions(candidate.runner.runner_id for candidate in candidates)
        for candidate in candidates:
            kept = kept_by_salt.get(candidate.salt)
            if kept is None:
                kept = self._kept_parts(shape, candidate.salt, surroundings, holders)
                kept_by_salt[candidate.salt] = kept
            choice = self._evaluate(shape, candidate, surroundings, kept)
            begins_at = surroundings.now + BEGIN_FACTOR * choice.delay + BEGIN_MARGIN_SECONDS
            if begins_at > candidate.begin_before:
                continue
            position = positions[candidate.runner.runner_id]
            cost = self._cost(shape, choice, surroundings, position)
            if cost < best_cost:
                best, best_cost = choice, cost
        return best

    def _positions(self, runner_ids: Iterable[str]) -> dict[str, float]:
        """Return the shared order of runners, which is kept until they change."""
        ids = frozenset(runner_ids)
        if ids != self._ordered_ids:
            self._ordered_ids, self._order = ids, shared_order(ids)
        return self._order

    def _kept_parts(
        self, shape: PromptShape, salt: str, around: Surroundings, holders: Collection[Runner]
    ) -> _KeptParts:
        """Return who keeps, or is reading, how much of the shared parts under a salt."""
        index, now = self._index, around.now
        known = 0
        sources: list[_Source] = []
        for holder in holders:
            matched = index.matched_tokens(holder.runner_id, salt, shape.shared)
            if matched == 0:
                continue
            known = max(known, matched)
            read = index.matched_tokens(holder.runner_id, salt, shape.shared, now)
            sources.append(_Source(holder.runner_id, holder.address, holder.entry.zone, read))
        for store in around.stores:
            read = index.matched_tokens(store.address, salt, shape.shared, now)
            sources.append(_Source(store.address, store.address, store.zone, read))
        return _KeptParts(known, sources)

    def _evaluate(
        self, shape: PromptShape, candidate: Candidate, around: Surroundings, kept: _KeptParts
    ) -> Choice:
        runner = candidate.runner
        matched = self._index.matched_tokens(runner.runner_id, candidate.salt, shape.parts)
        move = _best_move(kept, candidate, matched, around)
        missing = max(1, shape.prompt_tokens - matched - move.tokens)
        waiting = runner.prefill_wait(around.now) + self._pressure(shape, runner, around)
        delay = waiting + move.seconds + missing / around.prefill_rate
        repeated = max(0, kept.known_tokens - matched - move.tokens)
        return Choice(
            candidate, delay, waiting, missing, matched, move.address, move.tokens, repeated
        )

    def _cost(
        self, shape: PromptShape, choice: Choice, around: Surroundings, position: float
    ) -> float:
        runner = choice.candidate.runner
        cost = choice.delay + lateness(choice.delay, around.target_seconds)
        cost += self._harm(choice, runner, around)
        cost += REPEATED_PREFILL_SECONDS_PER_TOKEN * choice.repeated_tokens
        begins_at = around.now + choice.delay
        if begins_at > choice.candidate.superseded_at + SUPERSEDED_SECONDS:
            cost += SUPERSEDED_PENALTY_SECONDS
        if shape.is_long:
            cost -= self._gather_bonus(shape, runner, around, position)
            return cost - _hash_bonus(shape.parts[-1], runner)
        cost += AVOID_SECONDS * (1.0 - position)
        return cost - _hash_bonus(shape.shared[-1], runner) if shape.shared else cost

    def _harm(self, choice: Choice, runner: Runner, around: Surroundings) -> float:
        """Return the cost of what the prefill does to the long streams at the runner."""
        prefill = choice.prefill_tokens / around.prefill_rate
        streams = runner.long_running(around.now)
        if not streams:
            return 0.0
        busy = runner.prefill_wait(around.now) + prefill
        harm = SLOWDOWN_SHARE * prefill * streams
        if busy > PAUSE_SHARE * around.gap_seconds:
            harm += PAUSE_PENALTY_SECONDS * streams
        return harm

    def _gather_bonus(
        self, shape: PromptShape, runner: Runner, around: Surroundings, position: float
    ) -> float:
        """Return the bonus of a runner early in the shared order that has room for streams."""
        engine = around.engine
        committed = runner.committed_tokens(around.now) + shape.total_tokens
        if runner.long_running(around.now) >= GATHER_SLOT_SHARE * engine.slots:
            return 0.0
        if committed > GATHER_MEMORY_SHARE * engine.kv_capacity_tokens:
            return 0.0
        return GATHER_BONUS_SECONDS * (1.0 - position)

    def _pressure(self, shape: PromptShape, runner: Runner, around: Surroundings) -> float:
        penalty = 0.0
        excess = runner.running(around.now) + 1 - around.engine.slots
        if excess > 0:
            penalty += SLOT_PENALTY_SECONDS * (1 + excess / around.engine.slots)
        wanted = runner.committed_tokens(around.now) + shape.total_tokens
        over = wanted / around.engine.kv_capacity_tokens - 1.0
        if over > 0:
            penalty += MEMORY_PENALTY_SECONDS * (0.2 + over)
        if around.now < runner.shed_until:
            penalty += SHED_PENALTY_SECONDS
        if runner.entry.zone != around.zone:
            penalty += REMOTE_PENALTY_SECONDS
        return penalty


def _hash_bonus(part: PromptPart, runner: Runner) -> float:
    """Return a small bonus that a hash draws.

    Of a shared part, it names a home on which nodes that know little agree; of a request's own
    part, it spreads requests over runners that look alike.
    """
    return HASH_BONUS_SECONDS * score(part.part_id, runner.runner_id) / HASH_RANGE


def _best_move(kept: _KeptParts, candidate: Candidate, matched: int, around: Surroundings) -> _Move:
    """Return the move that saves the most time to a runner that has some tokens itself."""
    here = candidate.runner
    best, best_gain = _Move(), float("-inf")
    for source in kept.sources:
        tokens = source.tokens - matched
        if tokens < MIN_MOVE_TOKENS or source.holder_id == here.runner_id:
            continue
        seconds = move_seconds(tokens, source.zone, here.entry.zone, around)
        gain = tokens / around.prefill_rate - seconds
        if gain > best_gain:
            best, best_gain = _Move(source.address, tokens, seconds), gain
    return best


def shared_order(runner_ids: Iterable[str]) -> dict[str, float]:
    """Return the position of each runner, from 0 to 1, in an order on which all nodes agree.

    Long streams are gathered at its beginning without a word between the nodes, so that late news
    of loads does not send them all to whichever runner looked best.
    """
    ordered = sorted(runner_ids, key=lambda runner_id: score(LONG_STREAMS, runner_id))
    return {runner_id: place / len(ordered) for place, runner_id in enumerate(ordered)}


def move_seconds(tokens: int, source_zone: str, zone: str, around: Surroundings) -> float:
    """Return the seconds that a move of cached tokens is expected to take."""
    rate = around.engine.link_megabits
    for store in around.stores:
        if store.link_megabits > 0:
            rate = min(rate, store.link_megabits)
    bits = tokens * around.engine.kv_token_bytes * 8
    seconds = MOVE_SETUP_SECONDS + bits / (rate * 1e6)
    return seconds if source_zone == zone else seconds * REMOTE_MOVE_FACTOR


def lateness(delay: float, target: float) -> float:
    """Return the cost of a delay near or over the objective: a soft step."""
    if target <= 0:
        return 0.0
    over = (delay - 0.9 * target) / (LATE_SOFTNESS * target)
    if over < -8.0:
        return 0.0
    return LATE_PENALTY_SECONDS / (1.0 + math.exp(-min(over, 8.0)))
