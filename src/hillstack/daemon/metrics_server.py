"""Serves the metrics as soon as their address is free; the node runs without them until then."""

from __future__ import annotations

import asyncio
import logging
import socket

from hillstack.addresses import LISTEN_BACKLOG, split_address
from hillstack.daemon.metrics_page import MetricsPage
from hillstack.http_server import make_server

logger = logging.getLogger(__name__)

# The previous process may use the address until its grace period of 8 s ends. Scrapes arrive every
# 10 to 15 s.
RETRY_SECONDS = 0.5


async def serve_metrics(page: MetricsPage, address: str) -> None:
    """Serve the metrics until cancelled.

    The server ends the whole process if it fails to listen, so it gets a socket that is already
    listening.

    Args:
        page: The application.
        address: ``IP:PORT`` to listen on.
    """
    listener = await _listen_when_free(address)
    await make_server(page, address, date_header=False)._serve([listener])


async def _listen_when_free(address: str) -> socket.socket:
    is_reported = False
    while True:
        try:
            listener = _listen(address)
        except OSError as error:
            if not is_reported:
                fields = {"address": address, "error": str(error)}
                logger.warning("metrics not told", extra=fields)
            is_reported = True
            await asyncio.sleep(RETRY_SECONDS)
            continue
        if is_reported:
            logger.info("metrics told", extra={"address": address})
        return listener


def _listen(address: str) -> socket.socket:
    family = socket.AF_INET6 if address.startswith("[") else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(split_address(address))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
