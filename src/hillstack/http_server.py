"""One way to make a uvicorn server: stock event loop, logs through ``logging``."""

from __future__ import annotations

import asyncio
from typing import Any, Literal

import uvicorn

from hillstack.addresses import LISTEN_BACKLOG, split_address

KEEP_ALIVE_SECONDS = 5


class WaitingServer(uvicorn.Server):
    """A server that sleeps until it is told to end.

    The library's own wakes up ten times a second to renew the ``Date`` header and to look whether
    it should end. Three servers that do not were 30 of 75 timers a second of a node without
    traffic.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        self._told_to_end = asyncio.Event()
        super().__init__(config)

    @property
    def should_exit(self) -> bool:
        """Whether the server has been told to end."""
        return self._told_to_end.is_set()

    @should_exit.setter
    def should_exit(self, ending: bool) -> None:
        if ending:
            self._told_to_end.set()
        else:
            self._told_to_end.clear()

    async def main_loop(self) -> None:
        """Set the headers of all answers, and wait for the end."""
        await self.on_tick(0)
        await self._told_to_end.wait()


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
        date_header: Whether answers carry a ``Date``, which a timer renews.
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
        # Nothing here believes an address that a caller writes into a header.
        proxy_headers=False,
        date_header=date_header,
        backlog=backlog,
        timeout_keep_alive=keep_alive_seconds,
        timeout_graceful_shutdown=shutdown_seconds,
    )
    return uvicorn.Server(config) if date_header else WaitingServer(config)
