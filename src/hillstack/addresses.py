"""Addresses of the form ``IP:PORT``, and how many callers may wait at one."""

from __future__ import annotations

import ipaddress

HIGHEST_PORT = 65_535
# Connections that wait while the program loads: a second of several times the busiest node seen.
LISTEN_BACKLOG = 2_048


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``; brackets around an IPv6 number are dropped."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_address(text: str) -> bool:
    """Return whether a text is ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port[:6]) <= HIGHEST_PORT
