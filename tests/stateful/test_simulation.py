"""Runs a few seeds of the simulation; ``make simulate`` runs many."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest

from hillstack.simulation.chaos import run_seed
from hillstack.simulation.history import to_lines


@pytest.fixture(autouse=True)
def _disable_logging() -> Iterator[None]:
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize("seed", range(6))
def test_seed(seed: int) -> None:
    result = run_seed(seed)
    assert not result.violations, result.faults


# Seeds of fixed faults. 1304 and 1337: a router without a bundle answered "not run". 1082: a router
# was cut off from the machine list. 1211: a router resumed after a freeze.
@pytest.mark.parametrize("seed", [1304, 1337, 1082, 1211])
def test_seed_of_a_fixed_fault(seed: int) -> None:
    assert not run_seed(seed).violations


def test_two_routers_in_a_zone() -> None:
    assert not run_seed(7, routers_per_zone=2).violations


def test_the_same_seed_gives_the_same_history() -> None:
    first, second = run_seed(3), run_seed(3)
    assert to_lines(first.history.events) == to_lines(second.history.events)
