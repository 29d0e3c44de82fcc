"""Creates uvicorn servers with the standard event loop and logs through ``logging``."""

from __future__ import annotations

import asyncio
from typing import Any, Literal

import uvicorn

from hillstack.addresses import LISTEN_BACKLOG, split_address
from hillstack.bounded_protocol import BoundedHttpProtocol

KEEP_ALIVE_SECONDS = 5


class TicklessServer(uvicorn.Server):
    """A server without a periodic timer; it waits for an event until it should exit.

    The library's server runs a timer ten times a second to update the ``Date`` header and to check
    whether it should exit. For the three servers of a node without traffic, this was 30 of 75
    timers a second.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        self._exit_requested = asyncio.Event()
        super().__init__(config)

    @property
    def should_exit(self) -> bool:
        """Whether the server should exit."""
        return self._exit_requested.is_set()

    @should_exit.setter
    def should_exit(self, ending: bool) -> None:
        if ending:
            self._exit_requested.set()
        else:
            self._exit_requested.clear()

    async def main_loop(self) -> None:
        """Set the default headers once, and wait until the server should exit."""
        await self.on_tick(0)
        await self._exit_requested.wait()


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
        address: ``IP:PORT`` to listen on.
        lifespan: Whether the application gets startup and shutdown events.
        keep_alive_seconds: How long a connection may be idle between requests.
        backlog: Maximum number of connections that wait to be accepted.
        shutdown_seconds: Maximum wait for open requests when stopping; None for no limit.
        date_header: Whether answers have a ``Date`` header, which a timer updates.
    """
    host, port = split_address(address)
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop="asyncio",
        http=BoundedHttpProtocol,
        ws="none",
        lifespan=lifespan,
        log_config=None,
        access_log=False,
        server_header=False,
        # Addresses in headers are set by the caller and not trusted.
        proxy_headers=False,
        date_header=date_header,
        backlog=backlog,
        timeout_keep_alive=keep_alive_seconds,
        timeout_graceful_shutdown=shutdown_seconds,
    )
    return uvicorn.Server(config) if date_header else TicklessServer(config)
