"""When an answer is overdue follows the answers seen."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hillstack.core.answer_times import INITIAL_SECONDS, MAX_SECONDS, MIN_SECONDS, AnswerTimes


def test_ordinary_work_of_a_slow_application_is_not_overdue() -> None:
    # F32: an attempt counted as overdue after 0.4 s, and 41 of 41 suspicions of a recorded day were
    # of application servers whose ordinary work takes up to 0.45 s.
    times = AnswerTimes()
    for number in range(200):
        times.observe("application", 0.0, 0.05 + 0.4 * (number % 9) / 8)
    assert times.overdue_after("application", 0.0) > 0.45


def test_answers_that_come_when_expected_are_overdue_soon() -> None:
    times = AnswerTimes()
    for _ in range(100):
        times.observe("engines", 0.3, 0.31)
    assert times.overdue_after("engines", 0.5) == 0.5 + MIN_SECONDS
    assert times.overdue_after("other", 0.5) == 0.5 + INITIAL_SECONDS


@given(
    seen=st.lists(st.tuples(st.floats(0, 9), st.floats(0, 9)), max_size=50),
    expected=st.floats(0, 5),
)
def test_an_answer_is_never_overdue_too_soon_or_too_late(
    seen: list[tuple[float, float]], expected: float
) -> None:
    times = AnswerTimes()
    for guess, took in seen:
        times.observe("s", guess, took)
    margin = times.overdue_after("s", expected) - expected
    assert MIN_SECONDS - 1e-9 <= margin <= MAX_SECONDS + 1e-9
