"""Finds free ports for emulators and nodes on the local machine."""

from __future__ import annotations

import random
import socket
from pathlib import Path

HOST = "127.0.0.1"
LOWEST_PORT = 10_000
DEFAULT_FIRST_EPHEMERAL_PORT = 32_768


def free_ports(count: int) -> list[int]:
    """Return distinct ports that are free now, for TCP and UDP.

    The ports lie below the ephemeral range. The system assigns ephemeral ports to outgoing
    connections and to listeners on port 0, and could assign one before the intended process binds
    it.
    """
    first_ephemeral = _first_ephemeral_port()
    sockets: list[socket.socket] = []
    ports: list[int] = []
    try:
        while len(ports) < count:
            port = random.randrange(LOWEST_PORT, first_ephemeral)
            if all(
                _reserve(sockets, kind, port) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
            ):
                ports.append(port)
    finally:
        for entry in sockets:
            entry.close()
    return ports


def _reserve(sockets: list[socket.socket], kind: socket.SocketKind, port: int) -> bool:
    entry = socket.socket(type=kind)
    sockets.append(entry)
    try:
        entry.bind((HOST, port))
    except OSError:
        return False
    return True


def _first_ephemeral_port() -> int:
    try:
        return int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    except (OSError, ValueError):
        return DEFAULT_FIRST_EPHEMERAL_PORT
