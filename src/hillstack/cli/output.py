"""Command output as text or JSON."""

from __future__ import annotations

import enum
import json
from collections.abc import Sequence
from typing import Annotated

import typer


class Output(enum.StrEnum):
    """The output format of a command."""

    TEXT = "text"
    JSON = "json"


OutputOption = Annotated[Output, typer.Option("--output", help="Form of the output.")]


def emit(output: Output, fields: object, text: str) -> None:
    """Print the fields as JSON, or the text, depending on the output format."""
    typer.echo(json.dumps(fields) if output is Output.JSON else text)


def print_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a header and rows in aligned columns."""
    cells = [[str(cell) for cell in row] for row in [header, *rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    typer.echo("")
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        typer.echo("  ".join(padded).rstrip())
