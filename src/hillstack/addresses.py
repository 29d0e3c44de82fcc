"""Addresses of the form ``IP:PORT``."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``; brackets around an IPv6 number are dropped."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
