"""ASGI application that serves a node's metrics in the Prometheus text format."""

from __future__ import annotations

from prometheus_client.exposition import CONTENT_TYPE_LATEST
from starlette.types import Receive, Scope, Send

from hillstack.serving.metrics import FleetMetrics

METRICS_PATH = "/metrics"


class MetricsPage:
    """ASGI application that serves the metrics."""

    def __init__(self, metrics: FleetMetrics) -> None:
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        if scope["type"] != "http":
            return
        found = scope["path"] == METRICS_PATH
        body = self._metrics.text() if found else b""
        headers = [
            (b"content-type", CONTENT_TYPE_LATEST.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        status = 200 if found else 404
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})
