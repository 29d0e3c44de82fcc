"""Closes a connection so that the peer learns of it at once, whatever is unsent.

``close`` of a transport first sends what is unsent, as fast as the peer reads, and the operating
system does the same with what it has accepted. A runner that reads a long request slowly would get
the rest of it, and work on it, long after this node has left it. A reset discards unsent bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import struct
from typing import Any

# Linux: the bytes in the send queue that were not sent yet, without those that are unacknowledged.
SIOCOUTQNSD = 0x894B
# State of a TCP connection that neither side has closed, the first byte of ``TCP_INFO``.
ESTABLISHED = 1
NO_LINGER = struct.pack("ii", 1, 0)


def close_at_once(transport: asyncio.Transport) -> None:
    """Close a connection: with a reset if bytes are unsent, else as usual.

    A reset is not used without need, since it is sent only once and may be lost.
    """
    connection = transport.get_extra_info("socket")
    if not unsent_bytes(transport, connection):
        transport.close()
        return
    if connection is not None:
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()


def unsent_bytes(transport: asyncio.Transport, connection: Any) -> int:
    """Return the bytes that wait in the transport or in the operating system's send queue.

    Args:
        transport: The transport.
        connection: Its socket; None if it has none.
    """
    waiting = transport.get_write_buffer_size()
    if waiting or connection is None:
        return waiting
    # Not every system can tell; then only the transport's own buffer counts.
    with contextlib.suppress(OSError, ValueError):
        answer = fcntl.ioctl(connection.fileno(), SIOCOUTQNSD, bytes(4))
        return int(struct.unpack("i", answer)[0])
    return 0


def has_peer_closed(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed or reset the connection, also behind unread bytes."""
    connection = transport.get_extra_info("socket")
    # Not every system can tell; then the close is read after the bytes before it.
    with contextlib.suppress(OSError):
        return bool(connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != ESTABLISHED)
    return False
