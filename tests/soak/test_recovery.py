"""What the soak accepts of a node after its last fault."""

from __future__ import annotations

from typing import Any

import pytest

from tests.soak.recovery import polls_store_itself, wrong_gauges

EXPECTED = {"runners_accepting": 7.0, "configuration_version": 28.0}


@pytest.mark.parametrize("accepting", [6.0, 8.0])
def test_a_node_with_too_few_or_too_many_runners_is_wrong(accepting: float) -> None:
    gauges = EXPECTED | {"runners_accepting": accepting}
    assert wrong_gauges(gauges, EXPECTED, may_keep_removed=False) == {
        "runners_accepting": accepting
    }


def test_a_node_that_may_keep_removed_runners_may_lack_none_and_no_configuration() -> None:
    more = EXPECTED | {"runners_accepting": 8.0}
    fewer = EXPECTED | {"runners_accepting": 6.0}
    outdated = more | {"configuration_version": 27.0}
    assert wrong_gauges(more, EXPECTED, may_keep_removed=True) == {}
    assert wrong_gauges(fewer, EXPECTED, may_keep_removed=True) == {"runners_accepting": 6.0}
    assert wrong_gauges(outdated, EXPECTED, may_keep_removed=True) == {
        "configuration_version": 27.0
    }
    assert wrong_gauges({}, EXPECTED, may_keep_removed=True) == dict.fromkeys(EXPECTED)


@pytest.mark.parametrize(
    ("sources", "polls"),
    [
        (["started"], True),
        (["started", "node-1"], False),
        (["started", "node-1", "itself"], True),
        (["started", "itself", "node-1"], False),
        (["started", "node-1", "started"], True),
    ],
)
def test_the_log_shows_whether_a_node_polls_the_store_itself(
    sources: list[str], polls: bool
) -> None:
    log: list[dict[str, Any]] = [
        {"message": "started"}
        if source == "started"
        else {"message": "store followed", "by_way_of": source}
        for source in sources
    ]
    assert polls_store_itself(log) is polls
