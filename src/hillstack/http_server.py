"""One way to make a uvicorn server: stock event loop, logs through ``logging``."""

from __future__ import annotations

from typing import Any, Literal

import uvicorn

from hillstack.addresses import LISTEN_BACKLOG, split_address

KEEP_ALIVE_SECONDS = 5


def make_server(
    app: Any,
    address: str,
    *,
    lifespan: Literal["on", "off"] = "off",
    keep_alive_seconds: int = KEEP_ALIVE_SECONDS,
    backlog: int = LISTEN_BACKLOG,
    shutdown_seconds: int | None = None,
    date_header: bool = True,
) -> uvicorn.Server:
    """Return a server of an ASGI application.

    Args:
        app: The application.
        address: ``IP:PORT`` on which it listens.
        lifespan: Whether the application is told of start and stop.
        keep_alive_seconds: How long a connection may rest between requests.
        backlog: Connections that wait to be taken.
        shutdown_seconds: Longest wait for open requests at a stop; None for no limit.
        date_header: Whether answers carry a ``Date``.
    """
    host, port = split_address(address)
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop="asyncio",
        http="httptools",
        ws="none",
        lifespan=lifespan,
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=date_header,
        backlog=backlog,
        timeout_keep_alive=keep_alive_seconds,
        timeout_graceful_shutdown=shutdown_seconds,
    )
    return uvicorn.Server(config)
