"""The ends of answers that have neither a length nor chunks.

Such an answer ends with its connection. The operating system also closes the connections of a
process that is killed, so the end of the connection does not prove that the answer is complete.
"""

from __future__ import annotations

import logging

import aiohttp

from hillstack.platform import names
from hillstack.serving.metrics import FleetMetrics

logger = logging.getLogger(__name__)


def is_unframed(response: aiohttp.ClientResponse) -> bool:
    """Return whether only the end of its connection ends an answer."""
    headers = response.headers
    return "Content-Length" not in headers and "chunked" not in headers.get("Transfer-Encoding", "")


class AnswerEnds:
    """Logs and counts the ends of answers that end with their connection.

    Args:
        metrics: Counts the ends; None to log them only.
    """

    def __init__(self, metrics: FleetMetrics | None = None) -> None:
        self._metrics = metrics

    def note(self, response: aiohttp.ClientResponse, peer: str) -> None:
        """Record that an answer without a length has ended.

        Args:
            response: The answer.
            peer: The runner process that sent it.
        """
        fields = {"request": response.headers.get(names.REQUEST_ID), "runner": peer}
        logger.info("answer ended with its connection", extra=fields)
        if self._metrics is not None:
            self._metrics.unframed_answers.labels("unproven").inc()
