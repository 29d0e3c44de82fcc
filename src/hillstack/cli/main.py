"""The entry point of the command line."""

from __future__ import annotations

import typer

from hillstack.cli import bundle, emulator, experiment, fleet, router, status

app = typer.Typer(
    help="hillstack: a router for language-model traffic with long shared prompts.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    add_completion=False,
)
app.command("router")(router.run)
app.command("status")(status.show)
app.add_typer(bundle.app, name="bundle")
app.add_typer(emulator.app, name="emulator")
app.add_typer(experiment.app, name="experiment")
app.add_typer(fleet.app, name="fleet")


def run() -> None:
    """Run the command line."""
    app()
