"""Output for people and for programs."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import Annotated

import typer


class Output(enum.StrEnum):
    """The form of a command's output."""

    TEXT = "text"
    JSON = "json"


OutputOption = Annotated[Output, typer.Option("--output", help="Form of the output.")]


def print_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print aligned columns."""
    cells = [[str(cell) for cell in row] for row in [header, *rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    typer.echo("")
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        typer.echo("  ".join(padded).rstrip())
