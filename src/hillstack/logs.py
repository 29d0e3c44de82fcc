"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from hillstack.errors import HillstackError

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}


def configure_logging(level: str, node: str) -> None:
    """Send all logs to standard error as JSON lines.

    Args:
        level: Least severe level that is logged.
        node: Identifier of the process, on every line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(FIELDS, rename_fields=RENAMED, static_fields={"node": node}))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    for name in ("uvicorn", "uvicorn.error", "uvicorn.access"):
        logger = logging.getLogger(name)
        logger.handlers = []
        logger.propagate = True
    logging.getLogger("uvicorn.access").setLevel(logging.WARNING)
    logging.getLogger("uvicorn.error").setLevel(logging.WARNING)


def error_fields(error: HillstackError) -> dict[str, str]:
    """Return the log fields of an error: the step and the peer."""
    return {"step": error.step, "peer": error.peer, "error": error.message}
