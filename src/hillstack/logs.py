"""Structured logs: one JSON object per line, on standard error or standard output."""

from __future__ import annotations

import logging
import math
import os
import sys
from collections.abc import Callable

import msgspec

from hillstack import clock
from hillstack.errors import HillstackError

# Attributes that ``logging`` sets on every record; all other attributes come from the caller's
# ``extra``.
RECORD_FIELDS = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}


class JsonLineFormatter(logging.Formatter):
    """Formats a record as a JSON object: time, level, logger, message, node, caller's fields.

    Args:
        node: Identifier of the process, included in every line.
    """

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node
        # Values of other types are written with ``str``, so that no field prevents its line.
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as one line of JSON."""
        line: dict[str, object] = {
            "time": self.formatTime(record),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
            "node": self._node,
        }
        line |= {k: v for k, v in record.__dict__.items() if k not in RECORD_FIELDS}
        if record.exc_info:
            line["exc_info"] = self.formatException(record.exc_info)
        if record.stack_info:
            line["stack_info"] = self.formatStack(record.stack_info)
        return self._encoder.encode(line).decode()


def configure_logging(level: str, node: str) -> None:
    """Send all logs to standard error as JSON lines.

    Args:
        level: Lowest severity that is logged.
        node: Identifier of the process, included in every line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(make_json_formatter(node))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    for name in ("uvicorn", "uvicorn.error", "uvicorn.access"):
        logger = logging.getLogger(name)
        logger.handlers = []
        logger.propagate = True
    logging.getLogger("uvicorn.access").setLevel(logging.WARNING)
    logging.getLogger("uvicorn.error").setLevel(logging.WARNING)


def make_json_formatter(node: str) -> logging.Formatter:
    """Return a formatter of JSON lines that include the node's identifier."""
    return JsonLineFormatter(node)


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor at a limited rate and without blocking.

    Lines above the rate, and lines for which the reader is too slow, are dropped and counted. The
    next line that is written includes the count.

    Args:
        descriptor: File descriptor to write to; it is set to non-blocking.
        lines_per_second: Maximum rate, averaged over a second.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_second: int,
        clock: Callable[[], float] = clock.seconds,
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rate = float(lines_per_second)
        self._clock = clock
        self._tokens = self._rate
        self._refilled_at = clock()
        self._unsent = b""
        self.dropped = 0
        self.total_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it."""
        if not self._take_token() or not self._write_unsent():
            self.dropped += 1
            self.total_dropped += 1
            return
        if self.dropped:
            record.dropped = self.dropped
        try:
            line = (self.format(record) + "\n").encode()
        except Exception:
            self.handleError(record)
            return
        self._unsent = line
        if self._write_unsent() or self._unsent != line:
            self.dropped = 0

    def _take_token(self) -> bool:
        now = self._clock()
        gained = (now - self._refilled_at) * self._rate
        self._tokens = min(self._rate, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _write_unsent(self) -> bool:
        """Write the rest of the last line; return whether it is written completely."""
        if not self._unsent:
            return True
        try:
            written = os.write(self._descriptor, self._unsent)
        except OSError:
            return False
        self._unsent = self._unsent[written:]
        return not self._unsent


def configure_bounded_logging(level: str, node: str, lines_per_second: int) -> BoundedHandler:
    """Send all logs to standard output as JSON lines, with a rate limit and without blocking."""
    handler = BoundedHandler(sys.stdout.fileno(), lines_per_second)
    handler.setFormatter(make_json_formatter(node))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    for name in ("uvicorn", "uvicorn.error", "uvicorn.access", "asyncio"):
        logging.getLogger(name).setLevel(logging.CRITICAL)
    return handler


def dropped_lines() -> int:
    """Return how many lines the bounded handler has dropped since the start of the process."""
    handlers = logging.getLogger().handlers
    return sum(h.total_dropped for h in handlers if isinstance(h, BoundedHandler))


def rounded_seconds(seconds: float) -> float | None:
    """Return seconds rounded for the log; None for an infinite or undefined value."""
    return round(seconds, 3) if math.isfinite(seconds) else None


def error_fields(error: HillstackError) -> dict[str, str]:
    """Return the log fields of an error: step, peer and message."""
    return {"step": error.step, "peer": error.peer, "error": error.message}
