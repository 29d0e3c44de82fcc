"""Placement of prompts on the runners of a fleet by expected delay."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hillstack.core.part_index import PartIndex, PromptPart
from hillstack.core.placement import cached_parts
from hillstack.core.placement.cached_parts import PlacementInputs, find_cached_parts, move_seconds
from hillstack.core.placement.expected_delay import (
    Candidate,
    Choice,
    ExpectedDelayPlacement,
    _score_candidate,
    lateness,
    shared_order,
)
from hillstack.core.prompt_shape import PromptShape
from hillstack.core.routing_table import KvCacheStore
from hillstack.core.runner_load import OwnAttempt, RunnerLoad
from hillstack.core.runner_pool import Runner
from tests.fleet.builders import ENGINE, ENGINES, make_entry

RATE = 40_000.0
SALT = "shared|m|1"
SHARED = PromptPart("shared", 8_000)
OWN = PromptPart("own", 1_000)


def make_runner(name: str, zone: str = "zone-a") -> Runner:
    return Runner(make_entry(name, ENGINES, zone=zone, weights=1))


def choose(
    index: PartIndex,
    runners: list[Runner],
    *,
    output: int = 50,
    stores: Sequence[KvCacheStore] = (),
    begin_before: float = math.inf,
    shared: PromptPart = SHARED,
) -> Choice | None:
    inputs = PlacementInputs("zone-a", ENGINE, RATE, stores, 0.0, 0.6, 0.5)
    candidates = [Candidate(runner, SALT, 1, begin_before) for runner in runners]
    shape = PromptShape((shared, OWN), output)
    return ExpectedDelayPlacement(index).choose(shape, candidates, inputs, runners)


def make_index(*holders: str) -> PartIndex:
    index = PartIndex()
    for holder in holders:
        index.set_capacity(holder, 100_000)
    return index


def test_a_prompt_is_placed_on_the_runner_that_caches_its_shared_part() -> None:
    index = make_index("i-1", "i-2")
    index.record_cached("i-2", SALT, [SHARED])
    choice = choose(index, [make_runner("i-1"), make_runner("i-2")])
    assert choice is not None
    assert choice.candidate.runner.runner_id == "i-2"
    assert choice.matched_tokens == 8_000 and choice.prefill_tokens == 1_000


def test_a_busy_warm_runner_is_the_source_of_a_transfer() -> None:
    index = make_index("i-1", "i-2")
    index.record_cached("i-2", SALT, [SHARED])
    warm, cold = make_runner("i-2"), make_runner("i-1")
    warm.prefill_done_at = 2.0
    choice = choose(index, [cold, warm])
    assert choice is not None
    assert choice.candidate.runner is cold
    assert choice.fetch_from == warm.address and choice.moved_tokens == 8_000


def test_a_kv_cache_store_is_a_source() -> None:
    store = KvCacheStore("10.9.9.9:1", "zone-a", 1_000_000, 200_000.0)
    index = make_index("i-1", store.address)
    index.record_cached(store.address, SALT, [SHARED])
    choice = choose(index, [make_runner("i-1")], stores=[store])
    assert choice is not None and choice.fetch_from == store.address


def test_the_nearest_of_several_stores_is_the_source() -> None:
    far = KvCacheStore("10.9.9.8:1", "zone-b", 1_000_000, 200_000.0)
    near = KvCacheStore("10.9.9.9:1", "zone-a", 1_000_000, 200_000.0)
    index = make_index("i-1", far.address, near.address)
    for store in (far, near):
        index.record_cached(store.address, SALT, [SHARED])
    choice = choose(index, [make_runner("i-1")], stores=[far, near])
    assert choice is not None and choice.fetch_from == near.address


def test_nothing_is_fetched_under_another_salt() -> None:
    index = make_index("i-1", "i-2")
    index.record_cached("i-2", "shared|m|0", [SHARED])
    choice = choose(index, [make_runner("i-1"), make_runner("i-2")])
    assert choice is not None and choice.fetch_from is None


def test_long_prefills_avoid_runners_with_long_streams() -> None:
    index = make_index("i-1", "i-2")
    streaming, idle = make_runner("i-1"), make_runner("i-2")
    for number in range(8):
        streaming.attempts.add(str(number), OwnAttempt(0, 300, 0.0, 1.0, long=True, started=True))
    idle.prefill_done_at = 0.1
    choice = choose(index, [streaming, idle], shared=PromptPart("long", 15_000))
    assert choice is not None and choice.candidate.runner is idle


def choose_stream(runners: list[Runner], own: str = "o") -> Runner:
    inputs = PlacementInputs("zone-a", ENGINE, RATE, (), 0.0, 0.6, 0.5)
    shape = PromptShape((PromptPart("s", 100), PromptPart(own, 600)), 800)
    candidates = [Candidate(runner, SALT) for runner in runners]
    index = make_index(*(runner.runner_id for runner in runners))
    choice = ExpectedDelayPlacement(index).choose(shape, candidates, inputs, runners)
    assert choice is not None
    return choice.candidate.runner


def test_long_streams_are_gathered_on_the_same_runners_by_all_nodes() -> None:
    runners = [make_runner(f"i-{number}") for number in range(12)]
    order = shared_order(runner.runner_id for runner in runners)
    chosen = {choose_stream(runners, f"own-{number}").runner_id for number in range(100)}
    # The streams are spread over a few runners, since nodes learn of each other's streams late.
    assert 2 <= len(chosen) <= 6
    assert all(order[runner_id] < 0.5 for runner_id in chosen)


def test_long_streams_are_gathered_until_most_slots_are_theirs() -> None:
    runners = [make_runner(f"i-{number}") for number in range(12)]
    order = shared_order(runner.runner_id for runner in runners)
    first = min(runners, key=lambda runner: order[runner.runner_id])
    for number in range(ENGINE.slots // 2):
        first.attempts.add(str(number), OwnAttempt(0, 300, 0.0, 1.0, long=True, started=True))
    chosen = {choose_stream(runners, f"own-{number}").runner_id for number in range(100)}
    assert first.runner_id in chosen


def test_adding_or_removing_runners_keeps_the_order_of_the_others() -> None:
    names = [f"i-{number}" for number in range(9)]
    whole = shared_order(names)
    rest = shared_order(names[1:])
    assert sorted(rest, key=lambda name: rest[name]) == [
        name for name in sorted(whole, key=lambda name: whole[name]) if name != names[0]
    ]


def test_short_streams_are_spread_over_runners_of_equal_cost() -> None:
    # Guards against herding, seen on kuitu-varaus-large: with a shared order for short streams too,
    # 195 nodes sent their prompts to the same few runners before load reports of the prefills
    # arrived.
    runners = [make_runner(f"i-{number}") for number in range(12)]
    index = make_index(*(runner.runner_id for runner in runners))
    counts: Counter[str] = Counter()
    for number in range(240):
        choice = choose(index, runners, shared=PromptPart(f"part-{number}", 4_000))
        assert choice is not None
        counts[choice.candidate.runner.runner_id] += 1
    assert len(counts) == 12 and max(counts.values()) <= 40


def test_prefills_avoid_runners_with_many_short_streams() -> None:
    busy, idle = make_runner("i-1"), make_runner("i-2")
    for number in range(10):
        busy.attempts.add(str(number), OwnAttempt(0, 300, 0.0, 1.0, started=True))
    index = make_index("i-1", "i-2")
    for number in range(20):
        choice = choose(index, [busy, idle], shared=PromptPart(f"part-{number}", 15_000))
        assert choice is not None and choice.candidate.runner is idle


def test_a_full_runner_gathers_no_more() -> None:
    index = make_index("i-1", "i-2")
    full, free = make_runner("i-1"), make_runner("i-2")
    for number in range(ENGINE.slots):
        full.attempts.add(str(number), OwnAttempt(0, 300, 0.0, 1.0, long=True, started=True))
    choice = choose(index, [full, free], output=800)
    assert choice is not None and choice.candidate.runner is free


def test_a_prompt_waits_for_a_part_that_is_being_prefilled() -> None:
    index = make_index("i-1", "i-2")
    prefilling, idle = make_runner("i-1"), make_runner("i-2")
    index.record_cached("i-1", SALT, [SHARED], ready_at=0.4)
    prefilling.prefill_done_at = 0.35
    choice = choose(index, [prefilling, idle])
    assert choice is not None and choice.candidate.runner is prefilling
    assert choice.repeated_tokens == 0


def test_a_part_is_prefilled_again_if_the_wait_is_too_long() -> None:
    index = make_index("i-1", "i-2")
    prefilling, idle = make_runner("i-1"), make_runner("i-2")
    index.record_cached("i-1", SALT, [SHARED], ready_at=9.0)
    prefilling.prefill_done_at = 9.0
    choice = choose(index, [prefilling, idle])
    assert choice is not None and choice.candidate.runner is idle
    assert choice.repeated_tokens == SHARED.tokens


def test_no_runner_is_chosen_that_would_begin_too_late() -> None:
    index = make_index("i-1")
    runner = make_runner("i-1")
    runner.prefill_done_at = 1.0
    assert choose(index, [runner], begin_before=2.0) is None
    assert choose(index, [runner], begin_before=9.0) is not None


def test_newer_weights_are_preferred_some_time_after_their_announcement() -> None:
    index = make_index("i-1", "i-2")
    old, new = make_runner("i-1"), make_runner("i-2")
    inputs = PlacementInputs("zone-a", ENGINE, RATE, (), 10.0, 0.6, 0.5)
    new.prefill_done_at = 10.15
    shape = PromptShape((SHARED, OWN), 50)
    chosen = []
    for superseded_at in (9.5, 8.0):
        candidates = [Candidate(old, SALT, 1, superseded_at=superseded_at), Candidate(new, SALT, 2)]
        choice = ExpectedDelayPlacement(index).choose(shape, candidates, inputs, [old, new])
        assert choice is not None
        chosen.append(choice.candidate.runner)
    assert chosen == [old, new]


def test_lateness_is_a_step_at_the_objective() -> None:
    assert lateness(0.1, 0.6) < 0.01 < 0.9 < lateness(0.9, 0.6)
    assert lateness(9.0, 0.0) == 0.0


@given(st.integers(0, 2**32))
def test_the_choice_equals_that_of_computing_the_full_cost_of_every_runner(seed: int) -> None:
    rng = Random(seed)
    index = PartIndex()
    runners = [make_runner(f"i-{number}", f"zone-{number % 3}") for number in range(12)]
    parts = [PromptPart("common", 1_000), PromptPart("subject", 2_000), PromptPart("own", 1_500)]
    now = 10.0
    for runner in runners:
        index.set_capacity(runner.runner_id, ENGINE.kv_capacity_tokens)
        runner.prefill_done_at = now + rng.choice([-1.0, 0.0, rng.uniform(0.0, 0.6)])
        load = RunnerLoad(rng.randint(0, 34), rng.randint(0, 20), rng.randint(0, 120_000))
        runner.peer_loads.report("zone", load, now)
        runner.shed_until = now + rng.choice([-1.0, 1.0])
        known = parts[: rng.randint(0, 3)]
        index.record_cached(runner.runner_id, "salt", known, ready_at=now + rng.choice([-1.0, 1.0]))
    shape = PromptShape(tuple(parts), rng.choice([5, 600]))
    candidates = [
        Candidate(runner, "salt", 1, rng.choice([math.inf, now + 0.9]), rng.choice([math.inf, 8.0]))
        for runner in rng.sample(runners, rng.randint(1, 12))
    ]
    inputs = PlacementInputs("zone-0", ENGINE, 38_000.0, (), now, 0.5, 0.5)
    policy = ExpectedDelayPlacement(index)
    chosen = policy.choose(shape, candidates, inputs, runners)
    costs = _full_costs(index, shape, candidates, inputs, runners)
    for runner in runners:
        # A runner is thus never chosen as the source of parts that it lacks itself.
        fetched = index.matched_tokens(runner.runner_id, "salt", shape.shared, now)
        assert fetched <= index.matched_tokens(runner.runner_id, "salt", shape.parts)
    if chosen is None:
        assert not costs
    else:
        assert costs[chosen.candidate.runner.runner_id] == min(costs.values())


def _full_costs(
    index: PartIndex,
    shape: PromptShape,
    candidates: Sequence[Candidate],
    inputs: PlacementInputs,
    runners: Sequence[Runner],
) -> dict[str, float]:
    """Return the cost of each candidate that begins in time, each computed independently."""
    positions = shared_order(candidate.runner.runner_id for candidate in candidates)
    costs: dict[str, float] = {}
    for candidate in candidates:
        cached = find_cached_parts(index, shape, candidate.salt, inputs, runners)
        position = positions[candidate.runner.runner_id]
        scored = _score_candidate(shape, candidate, inputs, cached, position, math.inf)
        if scored is not None:
            costs[candidate.runner.runner_id] = scored.cost
    return costs


def test_the_cost_of_a_decision_does_not_grow_with_runners_times_holders(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    computed: list[int] = []

    def counted(tokens: int, *arguments: Any) -> float:
        computed.append(tokens)
        return move_seconds(tokens, *arguments)

    monkeypatch.setattr(cached_parts, "move_seconds", counted)
    runners = [make_runner(f"i-{number}") for number in range(60)]
    index = make_index(*(runner.runner_id for runner in runners))
    parts = (PromptPart("common", 1_000), PromptPart("subject", 2_000), PromptPart("own", 500))
    for number, runner in enumerate(runners):
        index.record_cached(runner.runner_id, "salt", parts[: 1 + number % 2])
    candidates = [Candidate(runner, "salt") for runner in runners]
    inputs = PlacementInputs("zone-a", ENGINE, 38_000.0, (), 0.0, 0.5, 0.5)
    ExpectedDelayPlacement(index).choose(PromptShape(parts, 5), candidates, inputs, runners)
    assert len(computed) <= 2 * len(runners)
