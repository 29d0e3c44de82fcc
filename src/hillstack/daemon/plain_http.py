"""Loads the HTTP client without TLS.

A node's calls go to numeric addresses in plain HTTP. The client library makes two TLS contexts when
it is imported, with all certificates of the system, which is a third of a node's start. It does
without where Python has no TLS, so it is imported as if there were none.
"""

from __future__ import annotations

# These use TLS when they can, and are shared with the rest of the process: loaded as they are.
import asyncio  # noqa: F401
import ssl
import sys
import urllib.request  # noqa: F401

TLS_MODULE = "ssl"
CLIENT_MODULE = "aiohttp"


def load_http_client() -> None:
    """Import the client library; without effect where it is loaded already."""
    if CLIENT_MODULE in sys.modules:
        return
    sys.modules[TLS_MODULE] = None  # type: ignore[assignment]
    try:
        import aiohttp  # noqa: F401
    finally:
        sys.modules[TLS_MODULE] = ssl
