"""Serves the metrics, as soon as their address is free: a node does its work without them."""

from __future__ import annotations

import asyncio
import logging
import socket

from hillstack.addresses import LISTEN_BACKLOG, split_address
from hillstack.daemon.metrics_page import MetricsPage
from hillstack.http_server import make_server

logger = logging.getLogger(__name__)

# The process before may hold the address until its grace of 8 s ends; scrapes come each 10 to 15 s.
RETRY_SECONDS = 0.5


async def serve_metrics(page: MetricsPage, address: str) -> None:
    """Serve the metrics until cancelled.

    The server ends the whole process if it can't listen, so it is given a socket that does.

    Args:
        page: The application.
        address: ``IP:PORT`` on which it listens.
    """
    listener = await _listen_when_free(address)
    await make_server(page, address, date_header=False)._serve([listener])


async def _listen_when_free(address: str) -> socket.socket:
    is_told = False
    while True:
        try:
            listener = _listen(address)
        except OSError as error:
            if not is_told:
                fields = {"address": address, "error": str(error)}
                logger.warning("metrics not told", extra=fields)
            is_told = True
            await asyncio.sleep(RETRY_SECONDS)
            continue
        if is_told:
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
