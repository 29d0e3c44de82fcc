"""Serves an emulator over HTTP until SIGTERM."""

from __future__ import annotations

from starlette.types import ASGIApp

from hillstack.http_server import make_server
from hillstack.logs import configure_logging

SHUTDOWN_SECONDS = 2


def run_emulator(app: ASGIApp, address: str, name: str) -> None:
    """Serve an emulator on one address until the process is stopped."""
    configure_logging("INFO", name)
    make_server(app, address, lifespan="on", shutdown_seconds=SHUTDOWN_SECONDS).run()
