"""Starts stand-ins of the platform and of runners on loopback addresses, and writes the store."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import uvicorn
from aiohttp import web

from hillstack.emulator.fleet_store import FleetStore

HOST = "127.0.0.1"


class Record:
    """The record of a case: what was sent, answered and run, a line each.

    Args:
        path: Where the record is written.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def note(self, what: str, fields: dict[str, object]) -> None:
        """Write a line."""
        at = time.monotonic() - self._started_at
        self._file.write(f"{at:9.3f} {what} {json.dumps(fields)}\n")

    def close(self) -> None:
        """Write out what is left."""
        self._file.close()


async def serve_store(store: FleetStore) -> str:
    """Serve the store in this process; return its address."""
    store.era = None
    config = uvicorn.Config(
        store.app(), host=HOST, port=0, ws="none", lifespan="off", log_config=None
    )
    server = uvicorn.Server(config)
    task = asyncio.create_task(server._serve())
    while not server.started:
        if task.done():
            task.result()
        await asyncio.sleep(0.01)
    return f"{HOST}:{server.servers[0].sockets[0].getsockname()[1]}"


async def serve_app(app: web.Application) -> tuple[web.AppRunner, str]:
    """Serve an application on a free port; return its server and its address."""
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    return runner, f"{HOST}:{runner.addresses[0][1]}"
