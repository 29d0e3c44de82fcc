"""Tests of the table of answers in time, counted from callers' first try."""

from __future__ import annotations

import msgspec
import pytest
from first_try import Report, Tally, table, tally

ROW = {"in_aim": 60, "late": 10, "refused": 4, "failed": 6, "not_owed": 20, "worth": 0.7}


def make_report(*names: str) -> Report:
    rows = [{"name": name, "n": 100, **ROW} for name in names]
    return msgspec.convert({"classes": rows, "other": 1}, Report)


def test_reports_of_one_side_are_summed_without_unscored_requests() -> None:
    tallies = tally([make_report("a", "b"), make_report("a")])
    assert tallies == {"a": Tally(160, 120, 20, 8, 12), "b": Tally(80, 60, 10, 4, 6)}
    assert tallies["a"].share() == pytest.approx(0.75)


def test_kinds_missing_on_one_side_are_shown() -> None:
    lines = table(tally([make_report("a", "b")]), tally([make_report("a")]))
    assert len(lines) == 3
    assert "0.750  0.750" in lines[1] and "0.750  0.000" in lines[2]
