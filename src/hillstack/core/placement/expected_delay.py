"""Placement by the expected time to the first event and by the effect on other streams.

The expected delay of a runner is the sum of the prefills ahead of the request, the transfer of
cached parts from other holders, the prefill of the remaining tokens, and penalties if slots or
memory run out. A rendezvous hash of the last shared part and the runner decides near ties. Nodes
with little information thereby agree on a runner for each part, and nodes that decide at the same
time choose different runners for different prompts.

A long prefill slows the steps of all streams on its runner, so that they pause: its cost grows with
the number of streams there. Long streams are gathered on few runners.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

import msgspec

from hillstack.core.part_index import PartIndex, PromptPart
from hillstack.core.placement.cached_parts import (
    NO_MOVE,
    REPEATED_PREFILL_SECONDS_PER_TOKEN,
    CachedParts,
    Move,
    PlacementInputs,
    find_cached_parts,
)
from hillstack.core.prompt_shape import PromptShape
from hillstack.core.rendezvous import score
from hillstack.core.runner_load import RunnerLoad
from hillstack.core.runner_pool import Runner

# Spreads requests over runners of similar cost, since peers learn of a prefill about 50 ms late.
# With 0.04 and no shared order for short streams, fewer streams are late at 59 runners
# (docs/DECISIONS.md, size).
HASH_BONUS_SECONDS = 0.04
# A request beyond the slots waits for a stream to end: about a second in all observed deployments.
SLOT_PENALTY_SECONDS = 1.0
# When the memory is exceeded, streams are preempted and prefilled again: some seconds for all.
MEMORY_PENALTY_SECONDS = 2.0
# A runner that has just refused a request usually refuses the next one too. Four times the pause
# after a refusal (``runner_pool.SHED_SECONDS``): it affects the choice of a runner and is too small
# to cause an overload by itself.
SHED_PENALTY_SECONDS = 0.5
# Round trip between zones (one way takes 0.9 to 1.4 ms on the observed deployments).
REMOTE_PENALTY_SECONDS = 0.002
# Cost of a runner to which this node has no idle connection. A new connection occupies the
# runner for a millisecond and costs both sides system calls. At 64 nodes, 45 runners and 250
# requests/s, new connections for 4,900 requests fell from 2,749 without the penalty to 2,270 with
# 0.02 and 1,753 with 0.06; served requests, late requests and repeated prefills were equal within
# noise. The penalty is larger than the hash bonus and smaller than a repeated prefill of a shared
# part of 6,300 tokens (0.16 s).
NEW_CONNECTION_PENALTY_SECONDS = 0.06
# Cost of a runner in a zone where another runner was already tried for the request, since a failure
# often affects a whole zone. As much as a prefill of 10,000 tokens.
FAILED_ZONE_SECONDS = 0.2
HASH_RANGE = float(2**64)
SHARED_ORDER_KEY = "long streams"
# Safety factor and margin on the expected delay of a request that must begin before newer weights
# are due: twice the delay and 0.4 s. They are wide, since a request that begins too late is
# worthless.
BEGIN_SAFETY_FACTOR = 2.0
BEGIN_MARGIN_SECONDS = 0.4
# A late answer costs as much as a second of delay: it keeps less than a third of its value.
LATE_PENALTY_SECONDS = 1.0
# Width of the soft step of lateness, as a share of the objective: about the error of the expected
# delay.
LATE_SOFTNESS = 0.1
# Prefills longer than this share of the allowed pause make streams late occasionally. Results with
# 0.5 and 0.7 are equal within noise (docs/PLATFORM.md).
PAUSE_SHARE = 0.7
# Cost for each stream that would pause. Results with 0.08 and 0.3 are equal within noise
# (docs/PLATFORM.md).
PAUSE_PENALTY_SECONDS = 0.08
# Share of a prefill's duration by which it delays each stream on the runner. Results with 0.02 to
# 0.2 are equal within noise (docs/PLATFORM.md).
SLOWDOWN_SHARE = 0.02
# Bonus for gathering long streams. Results with 0.06 and 0.15 are equal within noise
# (docs/PLATFORM.md).
GATHER_BONUS_SECONDS = 0.06
# Maximum sum of the bonuses: a candidate whose delay exceeds the best cost by more is skipped.
MAX_BONUS_SECONDS = HASH_BONUS_SECONDS + GATHER_BONUS_SECONDS
# Long streams are gathered on a runner up to this share of its slots and half of its memory, so
# that short streams still fit. Where long streams hold a third of all slots, 0.3 fills this share
# on every runner and leaves no runner free for long prefills: of 230 streams that paused too long,
# 206 had a prefill of 16,000 tokens or more on the same runner within half a second. With 0.8 the
# served value was 0.55 and 0.56 instead of 0.48 and 0.50 on two days at 45 runners, and equal
# within noise at 6 to 9 runners.
GATHER_SLOT_SHARE = 0.8
GATHER_MEMORY_SHARE = 0.5
# Seconds after the announcement of newer weights from which a request on older weights loses a
# fifth of its value, and the cost of that loss, as a delay.
SUPERSEDED_SECONDS = 1.5
SUPERSEDED_PENALTY_SECONDS = 0.25


class Candidate(msgspec.Struct, frozen=True):
    """A runner that may get the request.

    Attributes:
        runner: The runner.
        salt: Salt under which the runner caches the prompt's parts for its weights.
        weights_version: Weights version that the request would ask for.
        begin_before: Latest time at which the request may begin, since newer weights are due.
        superseded_at: When newer weights were announced; infinite if these are the newest.
        fetch_until: Time until which the request may be sent with a fetch of cached parts.
    """

    runner: Runner
    salt: str
    weights_version: int = 0
    begin_before: float = math.inf
    superseded_at: float = math.inf
    fetch_until: float = math.inf


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen runner, with the expected delay and the transfer of cached parts.

    Attributes:
        candidate: The chosen candidate.
        delay: Expected seconds to the first event.
        waiting: Part of the delay before transfer and prefill: the wait for other requests'
            prefills, and the penalties for exhausted slots or memory, a refusal and another zone.
        prefill_tokens: Tokens that the runner will have to prefill.
        matched_tokens: Estimated tokens of the prompt that the runner has cached.
        fetch_from: Address to fetch cached parts from; None without a fetch.
        moved_tokens: Tokens that the fetch would transfer.
        repeated_tokens: Tokens of the prefill that another runner has already prefilled or is
            prefilling.
        cost: Total cost as a delay, comparable between choices for one request.
        fetches_across: Whether the fetch is from another region.
    """

    candidate: Candidate
    delay: float
    waiting: float
    prefill_tokens: int
    matched_tokens: int
    fetch_from: str | None
    moved_tokens: int
    repeated_tokens: int = 0
    cost: float = 0.0
    fetches_across: bool = False


@dataclass(slots=True)
class _ScoredCandidate:
    """A candidate with its computed cost and delay.

    Attributes:
        missing: Tokens that the runner would have to prefill.
        matched: Estimated tokens that the runner has cached.
        move: Transfer of cached parts to the runner.
        repeated: Tokens of the prefill that another holder has already.
    """

    candidate: Candidate
    cost: float
    delay: float
    waiting: float
    missing: int
    matched: int
    move: Move
    repeated: int

    def choice(self) -> Choice:
        return Choice(
            self.candidate,
            self.delay,
            self.waiting,
            self.missing,
            self.matched,
            self.move.address,
            self.move.tokens,
            self.repeated,
            self.cost,
            self.move.is_cross_region,
        )


class ExpectedDelayPlacement:
    """Chooses the runner with the lowest cost, based on the expected time to the first event."""

    def __init__(self, index: PartIndex) -> None:
        self._index = index
        self._ordered_ids: frozenset[str] = frozenset()
        self._order: dict[str, float] = {}

    def choose(
        self,
        shape: PromptShape,
        candidates: Sequence[Candidate],
        inputs: PlacementInputs,
        holders: Collection[Runner],
    ) -> Choice | None:
        """Return the best choice, or None if no candidate is suitable.

        Args:
            shape: The prompt.
            candidates: Runners that may get the request.
            inputs: Inputs that are equal for all candidates.
            holders: Runners from which cached parts may be fetched.
        """
        best: _ScoredCandidate | None = None
        lowest_cost = math.inf
        cached_by_salt: dict[str, CachedParts] = {}
        # Only long streams are gathered.
        positions: dict[str, float] = {}
        if shape.is_long:
            positions = self._positions(candidate.runner.runner_id for candidate in candidates)
        # Runners with the shortest queue first: the others are then skipped for their queue alone,
        # before their load is summed up. The order does not affect the choice.
        for candidate in sorted(candidates, key=_prefill_done_at):
            cached = cached_by_salt.get(candidate.salt)
            if cached is None:
                cached = find_cached_parts(self._index, shape, candidate.salt, inputs, holders)
                cached_by_salt[candidate.salt] = cached
            position = positions.get(candidate.runner.runner_id, 0.0)
            scored = _score_candidate(shape, candidate, inputs, cached, position, lowest_cost)
            if scored is not None:
                best, lowest_cost = scored, scored.cost
        return best.choice() if best is not None else None

    def _positions(self, runner_ids: Iterable[str]) -> dict[str, float]:
        """Return the shared order of runners, cached until the set of runners changes."""
        ids = frozenset(runner_ids)
        if ids != self._ordered_ids:
            self._ordered_ids, self._order = ids, shared_order(ids)
        return self._order


def _prefill_done_at(candidate: Candidate) -> float:
    return candidate.runner.prefill_done_at


def _score_candidate(
    shape: PromptShape,
    candidate: Candidate,
    inputs: PlacementInputs,
    cached: CachedParts,
    position: float,
    lowest_cost: float,
) -> _ScoredCandidate | None:
    """Return the cost of a candidate.

    Returns None if the request would begin too late, or if the cost is not below ``lowest_cost``.
    """
    runner = candidate.runner
    now = inputs.now
    queue = runner.prefill_wait(now)
    matched = cached.matched.get(runner.runner_id, 0)
    move = _best_move(shape, candidate, inputs, cached, matched, queue)
    missing = max(1, shape.prompt_tokens - matched - move.tokens)
    prefill = missing / inputs.prefill_rate
    if queue + move.seconds + prefill - MAX_BONUS_SECONDS >= lowest_cost:
        return None
    load = runner.load(now)
    waiting = queue + _contention_delay(shape, runner, load, inputs)
    delay = waiting + move.seconds + prefill + inputs.round_trip_seconds
    if delay - MAX_BONUS_SECONDS >= lowest_cost:
        return None
    if now + BEGIN_SAFETY_FACTOR * delay + BEGIN_MARGIN_SECONDS > candidate.begin_before:
        return None
    repeated = max(0, cached.known_tokens - matched - move.tokens)
    cost = delay + lateness(delay, inputs.target_seconds) + inputs.round_trip_cost + move.cost
    if inputs.idle_until.get(runner.address, 0.0) <= now:
        cost += NEW_CONNECTION_PENALTY_SECONDS
    if load.running:
        cost += _interference(load.running, queue, prefill, inputs)
    cost += REPEATED_PREFILL_SECONDS_PER_TOKEN * repeated
    if now + delay > candidate.superseded_at + SUPERSEDED_SECONDS:
        cost += SUPERSEDED_PENALTY_SECONDS
    if inputs.failed_zones and runner.entry.zone in inputs.failed_zones:
        cost += FAILED_ZONE_SECONDS
    if shape.is_long:
        cost -= _gather_bonus(shape, load, inputs, position)
        cost -= _hash_bonus(shape.parts[-1], runner)
    elif shape.shared:
        cost -= _hash_bonus(shape.shared[-1], runner)
    if cost >= lowest_cost:
        return None
    return _ScoredCandidate(candidate, cost, delay, waiting, missing, matched, move, repeated)


def _best_move(
    shape: PromptShape,
    candidate: Candidate,
    inputs: PlacementInputs,
    cached: CachedParts,
    matched: int,
    queue: float,
) -> Move:
    """Return the transfer to a candidate that saves the most; none if it may not fetch any more."""
    if inputs.now >= candidate.fetch_until:
        return NO_MOVE
    moves = cached.moves(candidate.runner, matched)
    if moves.across is not None and _is_worthwhile(
        moves.across, moves.near, queue, shape, matched, inputs
    ):
        return moves.across
    return moves.near


def _is_worthwhile(
    across: Move,
    near: Move,
    queue: float,
    shape: PromptShape,
    matched: int,
    inputs: PlacementInputs,
) -> bool:
    """Return whether a fetch from another region costs less than the best fetch within the region.

    Each cost includes the prefill of the tokens that the fetch does not transfer.
    """
    costs = []
    for move in (across, near):
        missing = max(1, shape.prompt_tokens - matched - move.tokens)
        delay = queue + move.seconds + missing / inputs.prefill_rate + inputs.round_trip_seconds
        cost = delay + lateness(delay, inputs.target_seconds) + move.cost
        costs.append(cost + REPEATED_PREFILL_SECONDS_PER_TOKEN * missing)
    return costs[0] < costs[1]


def _interference(streams: int, queue: float, prefill: float, inputs: PlacementInputs) -> float:
    """Return the cost of the delay that a prefill causes to the streams on the runner."""
    interference = SLOWDOWN_SHARE * prefill * streams
    if queue + prefill > PAUSE_SHARE * inputs.gap_seconds:
        interference += PAUSE_PENALTY_SECONDS * streams
    return interference


def _gather_bonus(
    shape: PromptShape, load: RunnerLoad, inputs: PlacementInputs, position: float
) -> float:
    """Return the bonus of a runner with room for long streams, higher for earlier positions."""
    engine = inputs.engine
    if load.long_running >= GATHER_SLOT_SHARE * engine.slots:
        return 0.0
    committed = load.committed_tokens + shape.total_tokens
    if committed > GATHER_MEMORY_SHARE * engine.kv_capacity_tokens:
        return 0.0
    return GATHER_BONUS_SECONDS * (1.0 - position)


def _contention_delay(
    shape: PromptShape, runner: Runner, load: RunnerLoad, inputs: PlacementInputs
) -> float:
    """Return the penalties for exhausted slots or memory, a recent refusal and another zone."""
    penalty = 0.0
    slots = inputs.engine.slots
    excess = load.running + 1 - slots
    if excess > 0:
        penalty += SLOT_PENALTY_SECONDS * (1 + excess / slots)
    wanted = load.committed_tokens + shape.total_tokens
    over = wanted / inputs.engine.kv_capacity_tokens - 1.0
    if over > 0:
        penalty += MEMORY_PENALTY_SECONDS * (0.2 + over)
    if inputs.now < runner.shed_until:
        penalty += SHED_PENALTY_SECONDS
    if runner.entry.zone != inputs.zone:
        penalty += REMOTE_PENALTY_SECONDS
    return penalty


def _hash_bonus(part: PromptPart, runner: Runner) -> float:
    """Return a small bonus in proportion to the rendezvous score of a part and a runner.

    For a shared part, nodes with little information thereby agree on a runner. For a part that only
    one request has, the bonus spreads requests over runners of similar cost.
    """
    return HASH_BONUS_SECONDS * score(part.part_id, runner.runner_id) / HASH_RANGE


def shared_order(runner_ids: Iterable[str]) -> dict[str, float]:
    """Return the position of each runner, from 0 to 1, in an order on which all nodes agree.

    Long streams are gathered on the first runners of the order. Since the order needs no messages
    between nodes, outdated load reports do not send all long streams to the same runner.
    """
    ordered = sorted(runner_ids, key=lambda runner_id: score(SHARED_ORDER_KEY, runner_id))
    return {runner_id: place / len(ordered) for place, runner_id in enumerate(ordered)}


def lateness(delay: float, target: float) -> float:
    """Return the cost of a delay near or above the objective, a logistic step."""
    if target <= 0:
        return 0.0
    over = (delay - 0.9 * target) / (LATE_SOFTNESS * target)
    if over < -8.0:
        return 0.0
    return LATE_PENALTY_SECONDS / (1.0 + math.exp(-min(over, 8.0)))
