"""Loads the HTTP client without TLS, and the HTTP server without its command line.

A node calls numeric addresses over plain HTTP. On import, the client library creates two TLS
contexts with all certificates of the system, which takes a third of a node's startup time. The
library also works in a Python without TLS, so it is imported as if there were no ``ssl`` module.

The server package imports its command line, a command-line library and its process supervisors: 27
modules, which take a twentieth of a node's startup time. A node uses only two modules of the
package.
"""

from __future__ import annotations

# These modules use TLS if available and are shared with the rest of the process, so they are
# imported first, while TLS is visible.
import asyncio  # noqa: F401
import importlib.util
import ssl
import sys
import urllib.request  # noqa: F401

TLS_MODULE = "ssl"
CLIENT_MODULE = "aiohttp"
SERVER_MODULE = "uvicorn"


def load_http_client() -> None:
    """Import the client library without TLS; does nothing if it is already loaded."""
    if CLIENT_MODULE in sys.modules:
        return
    sys.modules[TLS_MODULE] = None  # type: ignore[assignment]
    try:
        import aiohttp  # noqa: F401
    finally:
        sys.modules[TLS_MODULE] = ssl


def load_http_server() -> None:
    """Import the needed part of the server library; does nothing if it is already loaded."""
    spec = importlib.util.find_spec(SERVER_MODULE)
    if SERVER_MODULE in sys.modules or spec is None:
        return
    # The code of the package itself is not run; it gets only the two names that a node uses.
    package = sys.modules[SERVER_MODULE] = importlib.util.module_from_spec(spec)
    from uvicorn.config import Config
    from uvicorn.server import Server

    vars(package).update(Config=Config, Server=Server)
