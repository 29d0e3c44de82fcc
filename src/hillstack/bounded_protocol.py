"""An HTTP server protocol that bounds what a caller may send around the body of a request.

The library reads a head of any length into memory, and drops chunk extensions of any length.
"""

from __future__ import annotations

import asyncio

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from hillstack.framing_meter import FramingMeter

HEAD_TOO_LONG = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


class BoundedHttpProtocol(HttpToolsProtocol):
    """Closes a connection on which a request has too many bytes around its body."""

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Prepare to count."""
        super().connection_made(transport)
        self._meter = FramingMeter()
        self._body_bytes = 0
        self._is_in_head = True

    def on_message_begin(self) -> None:
        """Start to count for the next request."""
        super().on_message_begin()
        self._meter.begin()
        self._body_bytes = 0
        self._is_in_head = True

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""
        self._is_in_head = False
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Count the bytes of the body, except for those that arrive after the answer."""
        if not self.cycle.response_complete:
            self._body_bytes += len(body)
        super().on_body(body)

    def data_received(self, data: bytes) -> None:
        """Process received bytes, and close the connection if the request has too many."""
        super().data_received(data)
        is_too_long = self._meter.add(len(data), self._body_bytes)
        if not is_too_long or self.transport.is_closing():
            return
        if self._is_in_head:
            self.transport.write(HEAD_TOO_LONG)
            self.transport.close()
        else:
            self.transport.abort()
