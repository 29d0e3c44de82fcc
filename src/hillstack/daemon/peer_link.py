"""The datagram socket between nodes; delivery is not acknowledged."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Any

from hillstack.addresses import split_address
from hillstack.errors import CodecError
from hillstack.messages.datagrams import DatagramKind, unwrap, wrap

logger = logging.getLogger(__name__)

# Size of the cache of parsed addresses: several times the nodes of the largest planned deployment.
MAX_PARSED_ADDRESSES = 8_192

PayloadHandler = Callable[[bytes, str], None]


class PeerLink(asyncio.DatagramProtocol):
    """Sends datagrams to peers, and passes received ones to the handler of their kind.

    Attributes:
        dropped: Number of datagrams that were not sent because the send buffer was full.
    """

    def __init__(self) -> None:
        self._transport: asyncio.DatagramTransport | None = None
        self._handlers: dict[DatagramKind, PayloadHandler] = {}
        self._endpoints: dict[str, tuple[str, int]] = {}
        self._paused = False
        self.dropped = 0

    async def open(self, host: str, port: int) -> None:
        """Bind the socket and start receiving."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def handle(self, kind: DatagramKind, handler: PayloadHandler) -> None:
        """Set the handler for the payload and the sender's IP address of each datagram of a kind.

        A datagram for which the handler raises ``CodecError`` is dropped.
        """
        self._handlers[kind] = handler

    def send(self, kind: DatagramKind, payload: bytes, address: str) -> None:
        """Send a datagram to one address."""
        self.send_to_all(kind, payload, (address,))

    def send_to_all(self, kind: DatagramKind, payload: bytes, addresses: Iterable[str]) -> None:
        """Send one datagram to several addresses."""
        transport = self._transport
        if transport is None:
            return
        datagram = wrap(kind, payload)
        for address in addresses:
            if self._paused:
                self._drop()
                continue
            transport.sendto(datagram, self._endpoint(address))

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport

    def pause_writing(self) -> None:
        """Drop datagrams while the send buffer is full, since later ones supersede them."""
        self._paused = True

    def resume_writing(self) -> None:
        """Resume sending."""
        self._paused = False

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass a received datagram to its handler."""
        peer = str(addr[0])
        try:
            kind, payload = unwrap(data, peer)
            handler = self._handlers.get(kind)
            if handler is not None:
                handler(payload, peer)
        except CodecError as error:
            logger.debug("datagram dropped", extra={"peer": error.peer, "error": error.message})

    def error_received(self, exc: Exception) -> None:
        """Log a send error; the silence of a missing peer is detected elsewhere."""
        logger.debug("datagram refused", extra={"error": str(exc)})

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _drop(self) -> None:
        if self.dropped == 0:
            logger.warning("datagrams dropped: send buffer is full")
        self.dropped += 1

    def _endpoint(self, address: str) -> tuple[str, int]:
        endpoint = self._endpoints.get(address)
        if endpoint is None:
            if len(self._endpoints) >= MAX_PARSED_ADDRESSES:
                self._endpoints.clear()
            endpoint = self._endpoints[address] = split_address(address)
        return endpoint
