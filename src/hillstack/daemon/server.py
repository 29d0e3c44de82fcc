"""Lifecycle of a router process: startup, serving, planned stop."""

from __future__ import annotations

import asyncio
import logging
import signal

import uvicorn

from hillstack.config.settings import RouterSettings
from hillstack.core.cache_index import CacheIndex
from hillstack.core.fleet import Fleet
from hillstack.daemon.network_environment import NetworkEnvironment
from hillstack.daemon.node import Node
from hillstack.daemon.suspensions import SuspendAwareEventLoop
from hillstack.gateway.app import make_app
from hillstack.http_server import make_server

logger = logging.getLogger(__name__)

DRAIN_CHECK_SECONDS = 0.05
LISTEN_BACKLOG = 4_096


class RouterProcess:
    """Runs one router until SIGTERM or SIGINT; must be created inside a running event loop.

    Steps of a planned stop: the node reports that it is not ready and leaves the membership. It
    still accepts connections for a while, since callers learn of the stop with a delay, and every
    answer asks the caller to close the connection. Then the listener closes, idle connections reach
    the keep-alive limit, and the process ends after the last open request, however long it takes.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self._settings = settings
        index = CacheIndex()
        self._node = Node(settings, NetworkEnvironment(settings, index), Fleet(), index)
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Serve until stopped."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        node = self._node
        await node.start()
        server = self._make_server()
        # Unlike ``serve``, ``_serve`` installs no signal handlers: the router decides when to stop.
        serving = asyncio.create_task(server._serve())
        logger.info("listening", extra={"callers": self._settings.listen.callers})
        stopping = asyncio.create_task(self._stop.wait())
        await asyncio.wait({serving, stopping}, return_when=asyncio.FIRST_COMPLETED)
        if not serving.done():
            await self._drain(server)
        server.should_exit = True
        await serving
        await node.stop()
        logger.info("stopped")

    def _make_server(self) -> uvicorn.Server:
        settings = self._settings
        return make_server(
            make_app(self._node),
            settings.listen.callers,
            keep_alive_seconds=int(max(1.0, settings.stop.keep_alive_seconds)),
            backlog=LISTEN_BACKLOG,
        )

    async def _drain(self, server: uvicorn.Server) -> None:
        logger.info("stopping")
        await self._node.leave()
        await asyncio.sleep(self._settings.stop.linger_seconds)
        for listener in server.servers:
            listener.close()
        # Each connection closes by itself, after its next answer or after the keep-alive limit.
        while server.server_state.connections:  # noqa: ASYNC110 (uvicorn offers no event)
            await asyncio.sleep(DRAIN_CHECK_SECONDS)


def run_router(settings: RouterSettings) -> None:
    """Run a router until it is stopped."""

    async def main() -> None:
        await RouterProcess(settings).run()

    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        runner.run(main())
