"""Addresses of the form ``IP:PORT``, and the backlog of listening sockets."""

# Connections that may wait while the program loads: those of one second at several times the load
# of the busiest observed node.
LISTEN_BACKLOG = 2_048


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``; brackets around an IPv6 address are removed."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
