"""``hillstack experiment``: routing measured on an emulated fleet in virtual time."""

from __future__ import annotations

import typer

app = typer.Typer(help="Measure routing in virtual time.", no_args_is_help=True)


@app.callback()
def main() -> None:
    """Measure routing in virtual time."""
