"""A node whose connections come from its own address, so that a proxy can tell nodes apart.

This module is run in place of ``hillstack.daemon.fleet_main``. The environment variable
``BOUND_HOST`` contains the address, such as 127.0.0.5.
"""

from __future__ import annotations

import os
import socket
from typing import Any

HOST_VARIABLE = "BOUND_HOST"
# Name of this module.
BOUND_MAIN = "tests.fleet.bound_main"
# Linux: ``bind`` chooses no port, ``connect`` does, so ports are shared between destinations.
IP_BIND_ADDRESS_NO_PORT = 24


def main() -> None:
    """Run a node with bound connections."""
    from hillstack.daemon.plain_http import load_http_client

    load_http_client()
    from hillstack.platform import connections

    make_socket = connections.make_socket

    def make_bound_socket(address: Any) -> socket.socket:
        made = make_socket(address)
        made.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        made.bind((os.environ[HOST_VARIABLE], 0))
        return made

    connections.make_socket = make_bound_socket
    from hillstack.daemon.fleet_main import main as node_main

    node_main()


if __name__ == "__main__":
    main()
