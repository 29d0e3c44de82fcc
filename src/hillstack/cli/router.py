"""``hillstack router``: runs the router daemon."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from hillstack.cli.exits import ExitCode, errors_to_exit_codes
from hillstack.config.settings import load_settings
from hillstack.logs import configure_logging


def run(
    settings: Annotated[Path, typer.Option(help="Settings file (TOML).")],
    overrides: Annotated[
        list[str] | None,
        typer.Option("--set", help="Override a setting: section.name=value. May stand often."),
    ] = None,
    check: Annotated[bool, typer.Option("--check", help="Check the settings and exit.")] = False,
) -> None:
    """Run a router until SIGTERM."""
    with errors_to_exit_codes():
        loaded = load_settings(settings, parse_overrides(overrides or []))
    if check:
        typer.echo(f"{settings}: valid")
        return
    from hillstack.daemon.server import run_router

    configure_logging(loaded.log.level, loaded.node.id)
    run_router(loaded)


def parse_overrides(entries: list[str]) -> dict[str, str]:
    """Return the overrides by dotted key.

    An entry without ``=`` ends the process with ``ExitCode.INVALID``.
    """
    overrides = {}
    for entry in entries:
        key, separator, value = entry.partition("=")
        if not separator:
            typer.echo(f"error: --set {entry}: not section.name=value", err=True)
            raise typer.Exit(ExitCode.INVALID)
        overrides[key] = value
    return overrides
