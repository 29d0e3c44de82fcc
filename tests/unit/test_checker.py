"""Each rule of the checker finds a violation in a history that was made to violate it."""

from __future__ import annotations

import pytest

from hillstack.simulation.checker import check
from hillstack.simulation.history import (
    Accept,
    Adopt,
    Event,
    Execute,
    Final,
    History,
    Invoke,
    Leave,
    Order,
    Return,
    Reuse,
    Work,
)


def invoke(request: str = "r1", key: str = "k", at: float = 1.0) -> Invoke:
    return Invoke(at, "router", request, key, "booking", False)


def answered(**changes: object) -> Return:
    fields: dict[str, object] = {
        "at": 2.0,
        "node": "router",
        "request": "r1",
        "key": "k",
        "status": 200,
        "outcome": "ran",
    }
    return Return(**(fields | changes))  # type: ignore[arg-type]


def streamed(positions: tuple[int, ...], *, done: bool, error: bool = False) -> Return:
    return answered(key="s", request="r9", positions=positions, expected=3, done=done, error=error)


VIOLATING_HISTORIES: list[tuple[str, list[Event]]] = [
    ("at_most_once", [invoke(), Execute(1.1, "a", "k"), Execute(1.2, "b", "k")]),
    (
        "truthful_not_run",
        [invoke(), Execute(1.1, "a", "k"), answered(status=503, outcome="not_run")],
    ),
    (
        "truthful_not_run",
        [
            invoke(),
            answered(status=503, outcome="not_run", retry_after=True),
            Execute(9.0, "a", "k"),
        ],
    ),
    ("truthful_ran", [invoke(), answered()]),
    ("own_answer", [invoke(), Execute(1.1, "a", "k"), answered(answer_key="other")]),
    ("whole_streams", [streamed((0, 2, 1), done=True)]),
    ("whole_streams", [streamed((0, 1), done=True)]),
    ("whole_streams", [streamed((0, 1, 1), done=True)]),
    ("whole_streams", [streamed((0, 1, 2), done=False)]),
    ("refusals_say_when", [answered(status=503, outcome="unknown")]),
    ("cache_truth", [Reuse(1.0, "e", "one", "one", "tenant-a", "tenant-b")]),
    ("cache_truth", [Reuse(1.0, "e", "two", "one", "salt", "salt")]),
    ("leaving_gets_no_work", [Leave(1.0, "a"), Work(9.0, "a")]),
    ("bundles_never_revert", [Adopt(1.0, "n", 1, 5, "x"), Adopt(2.0, "n", 1, 4, "y")]),
    ("bundles_never_revert", [Adopt(1.0, "n", 1, 5, "x"), Adopt(2.0, "m", 1, 5, "y")]),
    ("accepted_bundles_stand", [Accept(1.0, "o", 5, "x"), Accept(1.0, "p", 5, "y")]),
    ("accepted_bundles_stand", [Accept(1.0, "o", 5, "x"), Adopt(2.0, "n", 1, 5, "y")]),
    ("accepted_bundles_stand", [Accept(1.0, "o", 5, "x"), Final(9.0, "n", 4)]),
    ("fences_hold", [Order(1.0, "e", 7, True), Order(2.0, "e", 6, True)]),
]


@pytest.mark.parametrize(("rule", "events"), VIOLATING_HISTORIES, ids=lambda value: str(value)[:40])
def test_each_rule_finds_its_violation(rule: str, events: list[Event]) -> None:
    assert rule in {violation.rule for violation in check(History(events))}


def test_a_history_without_violations_passes() -> None:
    events: list[Event] = [
        invoke(),
        answered(status=503, outcome="not_run", retry_after=True),
        invoke("r2", at=3.0),
        Execute(3.1, "a", "k"),
        answered(request="r2", at=3.2, answer_key="k"),
        streamed((0, 1, 2), done=True),
        streamed((0,), done=False, error=True),
        Leave(1.0, "a"),
        Work(2.0, "a"),
        Adopt(1.0, "n", 1, 4, "x"),
        Adopt(2.0, "n", 1, 5, "y"),
        Adopt(3.0, "n", 2, 4, "x"),
        Accept(1.0, "o", 5, "y"),
        Final(9.0, "n", 5),
        Order(1.0, "e", 6, True),
        Order(2.0, "e", 5, False),
    ]
    assert check(History(events)) == []
