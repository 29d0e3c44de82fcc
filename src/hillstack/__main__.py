"""Runs the command line as ``python -m hillstack``."""

from hillstack.cli.main import run

run()
