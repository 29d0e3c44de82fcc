"""Answers that end in a reset of their connection are errors, also those without a length."""

from __future__ import annotations

import aiohttp
from aiohttp.client_proto import ResponseHandler


class ResetAwareHandler(ResponseHandler):
    """The protocol of one connection; aiohttp takes a reset for the end of an unframed answer."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer that the lost connection cut off."""
        payload = self._payload
        if exc is None or payload is None or payload.is_eof():
            super().connection_lost(exc)
            return
        error = aiohttp.ClientPayloadError(f"connection reset: {exc!r}")
        error.__cause__ = exc
        payload.set_exception(error)
        super().connection_lost(exc)
        # aiohttp has set an error of its own, which does not distinguish a reset from a time-out.
        payload.set_exception(error)
