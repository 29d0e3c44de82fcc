"""Log records of announced weights versions and of the bound until which older ones are used."""

from __future__ import annotations

import logging

import pytest

from hillstack.core.weights_versions import BoundCause, NamedVersion
from hillstack.serving.store_events import WeightsNamed
from tests.fleet.builders import MODEL, VERSION_GRACE_SECONDS, make_route, make_state, make_table


def records(caplog: pytest.LogCaptureFixture, message: str) -> list[dict[str, object]]:
    return [vars(record) for record in caplog.records if record.getMessage() == message]


def test_the_log_contains_time_source_and_due_time_of_an_announcement(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    state = make_state(make_table(make_route()))
    state.note_weights_named(WeightsNamed(MODEL, 2), 10.0, "node-7", 10.5)
    named = records(caplog, "weights named")[-1]
    assert named["source"] == "node-7"
    assert named["named_seconds_ago"] == 0.5
    assert named["due_in_seconds"] == VERSION_GRACE_SECONDS - 0.5
    assert named["bound_by"] is BoundCause.NAMED


def test_each_move_of_a_bound_is_logged_with_its_cause(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    state = make_state(make_table(make_route()))
    state.note_weights_named(WeightsNamed(MODEL, 2), 10.0, "store", 10.5)
    state.narrow_weights_bound(NamedVersion(MODEL, 2, 10.75), "node-7", 11.0)
    state.narrow_weights_bound(NamedVersion(MODEL, 2, 10.25), "node-8", 11.0)
    state.note_store_recovered(13.0)
    moved = records(caplog, "weights bound moved")
    logged = [(move["bound_by"], move["source"], move["later_seconds"]) for move in moved]
    # The first version was announced long ago; its bound restarts as well.
    assert logged[0] == (BoundCause.PEER, "node-7", 0.75)
    assert logged[-1] == (BoundCause.OUTAGE, "node-7", 2.25)


def test_the_bound_of_a_version_announced_in_an_outage_counts_from_the_end_of_the_outage(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    state = make_state(make_table(make_route()))
    state.note_store_recovered(13.0)
    state.note_weights_named(WeightsNamed(MODEL, 2), 10.0, "store", 13.5)
    assert records(caplog, "weights named")[-1]["bound_by"] is BoundCause.OUTAGE
