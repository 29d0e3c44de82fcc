"""Exit codes and error reporting of the commands."""

from __future__ import annotations

import enum
from collections.abc import Iterator
from contextlib import contextmanager

import typer

from hillstack.errors import (
    BundleError,
    HillstackError,
    PlatformError,
    PlatformOutcomeUnknownError,
    RolloutConflictError,
    SettingsError,
    SignatureError,
)


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    FAILED = 1
    INVALID = 2
    UNSIGNED = 3
    CONFLICT = 4
    PLATFORM = 5
    OUTCOME_UNKNOWN = 6
    INCOMPLETE = 7


def exit_code_of(error: HillstackError) -> ExitCode:
    """Return the exit code of an error."""
    by_kind: list[tuple[type[HillstackError], ExitCode]] = [
        (SettingsError, ExitCode.INVALID),
        (RolloutConflictError, ExitCode.CONFLICT),
        (SignatureError, ExitCode.UNSIGNED),
        (BundleError, ExitCode.INVALID),
        (PlatformOutcomeUnknownError, ExitCode.OUTCOME_UNKNOWN),
        (PlatformError, ExitCode.PLATFORM),
    ]
    for kind, code in by_kind:
        if isinstance(error, kind):
            return code
    return ExitCode.FAILED


@contextmanager
def errors_to_exit_codes() -> Iterator[None]:
    """Print an error to standard error and exit with the exit code of its type."""
    try:
        yield
    except HillstackError as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(exit_code_of(error)) from error
