"""Runs a Starlette application on one address until SIGTERM."""

from __future__ import annotations

import uvicorn
from starlette.types import ASGIApp

from hillstack.addresses import split_address
from hillstack.logs import configure_logging


def make_server(app: ASGIApp, address: str) -> uvicorn.Server:
    """Return a uvicorn server on the stock event loop that logs through ``logging``."""
    host, port = split_address(address)
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop="asyncio",
        http="httptools",
        ws="none",
        lifespan="on",
        log_config=None,
        access_log=False,
        timeout_graceful_shutdown=2,
    )
    return uvicorn.Server(config)


def run_emulator(app: ASGIApp, address: str, name: str) -> None:
    """Serve an emulator until it is stopped."""
    configure_logging("INFO", name)
    make_server(app, address).run()
