"""Addresses of the form ``IP:PORT``, and how many callers may wait at one."""

# Connections that wait while the program loads: a second of several times the busiest node seen.
LISTEN_BACKLOG = 2_048


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``; brackets around an IPv6 number are dropped."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
