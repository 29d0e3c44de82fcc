"""Cuts the paths of single node processes through a fault proxy.

All nodes connect to a proxied address from 127.0.0.1. The system's table of sockets tells which
process has opened a connection.
"""

from __future__ import annotations

import contextlib
import enum
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

TCP_TABLE = Path("/proc/net/tcp")


class CutKind(enum.Enum):
    """What a cut does to the connections of the nodes that it affects.

    Attributes:
        HANG: Open and new connections are accepted and pass nothing until the cut ends.
        RESET: Open and new connections are reset.
        REFUSE_NEW: New connections are reset; open ones go on.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse_new"


@dataclass(eq=False, frozen=True, slots=True)
class NodeCut:
    """A cut between some nodes and some proxied addresses.

    Attributes:
        names: Names of the proxied addresses; None for all.
        pids: Returns the processes that are cut off; a restarted node has another one.
    """

    kind: CutKind
    names: frozenset[str] | None
    pids: Callable[[], set[int]]

    def affects(self, name: str, client_port: int, proxy_port: int) -> bool:
        """Return whether the cut affects a connection to a proxied address."""
        if self.names is not None and name not in self.names:
            return False
        return is_opened_by(self.pids(), client_port, proxy_port)


def is_opened_by(pids: set[int], client_port: int, server_port: int) -> bool:
    """Return whether one of the processes has opened a TCP connection on loopback."""
    inode = _socket_inode(client_port, server_port)
    return inode is not None and any(_has_socket(pid, inode) for pid in pids)


def _socket_inode(client_port: int, server_port: int) -> str | None:
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        local, remote = (int(fields[index].rpartition(":")[2], 16) for index in (1, 2))
        if (local, remote) == (client_port, server_port):
            return fields[9]
    return None


def _has_socket(pid: int, inode: str) -> bool:
    with contextlib.suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                if os.readlink(entry.path) == f"socket:[{inode}]":
                    return True
    return False
