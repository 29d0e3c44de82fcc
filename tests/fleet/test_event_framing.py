"""Framing of complete events and their order, however the bytes are split."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hillstack.errors import CrossedAnswerError
from hillstack.serving.event_framing import MAX_EVENT_BYTES, EventFraming


def make_stream(count: int) -> bytes:
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, count + 1))


@given(st.integers(1, 20), st.lists(st.integers(1, 40), max_size=30))
def test_any_split_of_the_bytes_gives_the_same_events(count: int, cuts: list[int]) -> None:
    stream = make_stream(count)
    framing = EventFraming(None)
    passed = b""
    rest = stream
    for cut in [*cuts, len(stream)]:
        events = framing.feed(rest[:cut], "peer") if rest[:cut] else b""
        assert events == b"" or events.endswith(b"\n\n")
        passed += events
        rest = rest[cut:]
    assert passed == stream
    assert framing.last_event_id == count
    assert not framing.inside_event


def test_an_incomplete_event_is_dropped_at_the_next_attempt() -> None:
    framing = EventFraming(None)
    framing.feed(make_stream(2) + b"id: 3\nda", "peer")
    assert framing.inside_event
    framing.start_attempt()
    assert framing.feed(b"id: 3\ndata: whole\n\n", "peer") == b"id: 3\ndata: whole\n\n"


def test_a_stream_that_restarts_from_the_beginning_is_rejected() -> None:
    framing = EventFraming(None)
    framing.feed(make_stream(2), "peer")
    framing.start_attempt()
    with pytest.raises(CrossedAnswerError):
        framing.feed(make_stream(1), "peer")


def test_events_may_start_with_other_fields_and_lack_an_identifier() -> None:
    framing = EventFraming(None)
    data = b"weights: 2\nid: 1\ndata: x\n\n: comment\n\n"
    assert framing.feed(data, "peer") == data
    assert framing.last_event_id == 1


def test_an_endless_event_is_refused() -> None:
    with pytest.raises(CrossedAnswerError):
        EventFraming(None).feed(b"x" * (MAX_EVENT_BYTES + 1), "peer")
