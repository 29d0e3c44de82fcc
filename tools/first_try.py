"""Compares answers in time, counted from callers' first try, before and after a change.

The tool reads the reports that ``fleetbench run ... --report FILE`` writes and prints a row for
each kind of request. The column ``in_aim`` of a report counts a request once, however often the
caller tried it. The column leaves out a request that was refused first and was in time only when
measured from a later try. Such a request earns only a part of its credit. If ``in_aim`` counted it,
the credit of its kind would be less than ``in_aim`` and ``late`` earn; in all 48 rows of kinds
without sizes (24 plays), the credit is equal or higher.

The reports of each side are summed, so that a side may cover several days and seeds.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec


class KindOfRequest(msgspec.Struct):
    """A row of a report: the counts of one kind of request.

    Attributes:
        n: Requests of callers.
        in_aim: Requests answered in time, counted from the first try.
        not_owed: Requests that are not scored.
    """

    name: str
    n: int
    in_aim: int
    late: int
    refused: int
    failed: int
    not_owed: int


class Report(msgspec.Struct):
    """The part of a report that is read."""

    classes: list[KindOfRequest]


@dataclass(slots=True)
class Tally:
    """Sums of the counts of one kind of request over several reports."""

    owed: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0

    def add(self, row: KindOfRequest) -> None:
        """Add the counts of a report's row."""
        self.owed += row.n - row.not_owed
        self.in_time += row.in_aim
        self.late += row.late
        self.refused += row.refused
        self.failed += row.failed

    def share(self) -> float:
        """Return the share of the scored requests that were answered in time from the first try."""
        return self.in_time / self.owed if self.owed else 0.0


def tally(reports: Iterable[Report]) -> dict[str, Tally]:
    """Sum the counts of all reports by kind of request."""
    tallies: dict[str, Tally] = {}
    for report in reports:
        for row in report.classes:
            tallies.setdefault(row.name, Tally()).add(row)
    return tallies


def table(before: dict[str, Tally], after: dict[str, Tally]) -> list[str]:
    """Return the lines of a table that compares both sides."""
    titles = ("owed", 12), ("in time", 15), ("late", 11), ("refused", 11), ("failed", 11)
    lines = [f"{'kind':20} " + " ".join(f"{title:>{width}}" for title, width in titles)]
    for name, old in before.items():
        new = after.get(name, Tally())
        lines.append(
            f"{name:20} {old.owed:>6}{new.owed:>6} {old.share():>8.3f}{new.share():>7.3f}"
            f" {old.late:>6}{new.late:>5} {old.refused:>6}{new.refused:>5}"
            f" {old.failed:>6}{new.failed:>5}"
        )
    return lines


def _read(paths: Iterable[Path]) -> list[Report]:
    return [msgspec.json.decode(path.read_bytes(), type=Report) for path in paths]


def main() -> None:
    """Print the table for the reports named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", nargs="+", type=Path, required=True)
    parser.add_argument("--after", nargs="+", type=Path, required=True)
    options = parser.parse_args()
    print("\n".join(table(tally(_read(options.before)), tally(_read(options.after)))))


if __name__ == "__main__":
    main()
