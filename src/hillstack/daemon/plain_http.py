"""Loads the HTTP client without TLS, and the HTTP server without its command line.

A node's calls go to numeric addresses in plain HTTP. The client library makes two TLS contexts when
it is imported, with all certificates of the system, which is a third of a node's start. It does
without where Python has no TLS, so it is imported as if there were none.

The server's package imports its command line, a library for that, and its supervisors of processes:
27 modules and a twentieth of a node's start. A node uses two modules of it.
"""

from __future__ import annotations

# These use TLS when they can, and are shared with the rest of the process: loaded as they are.
import asyncio  # noqa: F401
import importlib.util
import ssl
import sys
import urllib.request  # noqa: F401

TLS_MODULE = "ssl"
CLIENT_MODULE = "aiohttp"
SERVER_MODULE = "uvicorn"


def load_http_client() -> None:
    """Import the client library; without effect where it is loaded already."""
    if CLIENT_MODULE in sys.modules:
        return
    sys.modules[TLS_MODULE] = None  # type: ignore[assignment]
    try:
        import aiohttp  # noqa: F401
    finally:
        sys.modules[TLS_MODULE] = ssl


def load_http_server() -> None:
    """Import the server library; without effect where it is loaded already."""
    spec = importlib.util.find_spec(SERVER_MODULE)
    if SERVER_MODULE in sys.modules or spec is None:
        return
    # The package itself is not run: only these two of its names are used.
    package = sys.modules[SERVER_MODULE] = importlib.util.module_from_spec(spec)
    from uvicorn.config import Config
    from uvicorn.server import Server

    vars(package).update(Config=Config, Server=Server)
