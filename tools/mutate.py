"""Switches each mechanism off in turn and shows that the simulation then finds a violation.

A proof that cannot fail is a defect: a mutation that survives all seeds fails this command.
"""

from __future__ import annotations

import argparse
import logging
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

from hillstack.core.attempt import Outcome, RequestAttempts
from hillstack.core.claims import ClaimRound, ClaimTable
from hillstack.core.fleet import Backend
from hillstack.core.prefix import PrefixScope
from hillstack.core.rollout import BundleAdopter
from hillstack.daemon.bundle_sync import BundleSync
from hillstack.etcd import bundle_store
from hillstack.etcd.bundle_store import BundleStore
from hillstack.gateway import applications
from hillstack.gateway.completion_response import CompletionResponse
from hillstack.gateway.errors import ErrorAnswer
from hillstack.gateway.stream_relay import StreamRelay
from hillstack.simulation.chaos import run_seed

SEEDS = 240
BATCH = 16


@dataclass(frozen=True, slots=True)
class Mutation:
    """A mechanism that is switched off.

    Attributes:
        rule: The rule that must then be broken.
        owner: Class or module that holds the mechanism.
        name: Its attribute there.
        replacement: What stands in its place.
    """

    title: str
    rule: str
    owner: Any
    name: str
    replacement: Any


def _adopt_anything(self: Any, signed: Any, now: float) -> bool:
    """Adopt a bundle whatever its version."""
    known = self._current
    self._current = None
    try:
        return original_consider(self, signed, now)
    finally:
        self._current = self._current or known


original_consider: Callable[..., bool] = BundleAdopter.consider


def _accepts_draining(self: Backend, now: float) -> bool:
    return now >= self.suspect_until


async def _assume_lost_answers_succeeded(self: BundleStore, proposed: Any) -> None:
    return None


original_sync_consider: Callable[..., None] = BundleSync.consider


def _consider_first_only(self: Any, signed: Any, source: str) -> None:
    if self._adopter.version == 0:
        original_sync_consider(self, signed, source)


ALWAYS_DONE = property(lambda self: True, lambda self, value: None)

MUTATIONS = [
    Mutation("one grant is enough", "at_most_once", ClaimRound, "majority", lambda self: 1),
    Mutation("replicas always vouch", "at_most_once", ClaimTable, "can_vouch", lambda *_: True),
    Mutation(
        "non-repeatable work is retried",
        "at_most_once",
        RequestAttempts,
        "may_retry",
        lambda self: True,
    ),
    Mutation(
        "refusals always say not_run",
        "truthful_not_run",
        RequestAttempts,
        "outcome_of_refusal",
        lambda self: Outcome.NOT_RUN,
    ),
    Mutation(
        "echoed identifiers are not checked",
        "own_answer",
        applications,
        "_check_echo",
        lambda *_: None,
    ),
    Mutation(
        "identifiers in streams are not checked",
        "own_answer",
        StreamRelay,
        "_check_ids",
        lambda *_: None,
    ),
    Mutation("a stream's end is not checked", "whole_streams", StreamRelay, "done", ALWAYS_DONE),
    Mutation(
        "a resume need not be confirmed",
        "whole_streams",
        CompletionResponse,
        "_require_resume",
        lambda *_: None,
    ),
    Mutation(
        "refusals do not say when", "refusals_say_when", ErrorAnswer, "headers", lambda self: {}
    ),
    Mutation("tenants share a salt", "cache_truth", PrefixScope, "cache_salt", lambda self: "x"),
    Mutation(
        "draining is ignored", "leaving_gets_no_work", Backend, "accepts_work", _accepts_draining
    ),
    Mutation(
        "older bundles are adopted",
        "bundles_never_revert",
        BundleAdopter,
        "consider",
        _adopt_anything,
    ),
    Mutation(
        "roll-out without compare",
        "accepted_bundles_stand",
        bundle_store,
        "ValueIs",
        lambda key, value: _AlwaysTrue(key),
    ),
    Mutation(
        "lost answers are taken for success",
        "accepted_bundles_stand",
        BundleStore,
        "_resolve_outcome",
        _assume_lost_answers_succeeded,
    ),
    Mutation(
        "only the first bundle is taken",
        "accepted_bundles_stand",
        BundleSync,
        "consider",
        _consider_first_only,
    ),
]


class _AlwaysTrue:
    """A condition that equals any stored value."""

    def __init__(self, key: str) -> None:
        self.key = key
        self.value = self

    def __eq__(self, other: object) -> bool:
        return True

    def __ne__(self, other: object) -> bool:
        return False

    __hash__ = None  # type: ignore[assignment]


def main() -> int:
    """Run all mutations and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", help="run mutations whose title contains this text")
    arguments = parser.parse_args()
    survivors = 0
    for number, mutation in enumerate(MUTATIONS):
        if arguments.only and arguments.only not in mutation.title:
            continue
        seed = _first_failing_seed(number)
        found = seed is not None
        survivors += not found
        text = f"found by seed {seed}" if found else f"SURVIVED {SEEDS} seeds"
        print(f"{mutation.title:<45} {mutation.rule:<24} {text}", flush=True)
    return 1 if survivors else 0


def _first_failing_seed(number: int) -> int | None:
    with ProcessPoolExecutor(initializer=_apply, initargs=(number,)) as pool:
        for start in range(0, SEEDS, BATCH):
            seeds = range(start, start + BATCH)
            for seed, rules in zip(seeds, pool.map(_broken_rules, seeds), strict=True):
                if MUTATIONS[number].rule in rules:
                    return seed
    return None


def _apply(number: int) -> None:
    logging.disable(logging.CRITICAL)
    mutation = MUTATIONS[number]
    setattr(mutation.owner, mutation.name, mutation.replacement)


def _broken_rules(seed: int) -> set[str]:
    return {violation.rule for violation in run_seed(seed).violations}


if __name__ == "__main__":
    sys.exit(main())
