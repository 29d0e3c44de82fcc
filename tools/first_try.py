"""In-time answers counted from callers' first try, by kind of request, before and after a change.

Reads what ``fleetbench run ... --report FILE`` writes. Its column ``in_aim`` counts a request once,
whatever its tries, and none that was refused and was in time only from its second try on. Such a
request earns a part of its credit: were it counted there, the credit of its kind would be less
than what ``in_aim`` and ``late`` earn. In each of 48 rows of kinds without sizes (24 plays) it is
that or more.

Reports of one side are added up, so that each side may hold several days and seeds.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec


class KindOfRequest(msgspec.Struct):
    """A row of a report.

    Attributes:
        n: Requests of callers.
        in_aim: Those answered in time, counted from the first try.
        not_owed: Those that count for nothing.
    """

    name: str
    n: int
    in_aim: int
    late: int
    refused: int
    failed: int
    not_owed: int


class Report(msgspec.Struct):
    """What is read of a report."""

    classes: list[KindOfRequest]


@dataclass(slots=True)
class Tally:
    """Requests of one kind in several reports."""

    owed: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0

    def add(self, row: KindOfRequest) -> None:
        """Add a row of a report."""
        self.owed += row.n - row.not_owed
        self.in_time += row.in_aim
        self.late += row.late
        self.refused += row.refused
        self.failed += row.failed

    def share(self) -> float:
        """Return the share of owed requests that were in time from the first try."""
        return self.in_time / self.owed if self.owed else 0.0


def tally(reports: Iterable[Report]) -> dict[str, Tally]:
    """Return the requests of each kind in all reports together."""
    tallies: dict[str, Tally] = {}
    for report in reports:
        for row in report.classes:
            tallies.setdefault(row.name, Tally()).add(row)
    return tallies


def table(before: dict[str, Tally], after: dict[str, Tally]) -> list[str]:
    """Return the lines that compare two sides."""
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
    """Print the table of the reports that are named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", nargs="+", type=Path, required=True)
    parser.add_argument("--after", nargs="+", type=Path, required=True)
    options = parser.parse_args()
    print("\n".join(table(tally(_read(options.before)), tally(_read(options.after)))))


if __name__ == "__main__":
    main()
