"""The ASGI application of a router."""

from __future__ import annotations

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from hillstack.daemon.node import Node
from hillstack.gateway.answers import not_ready_answer
from hillstack.gateway.applications import handle_application
from hillstack.gateway.completions import handle_completion
from hillstack.gateway.errors import CallerError, ErrorAnswer
from hillstack.gateway.parsing import authenticate
from hillstack.messages.types import Member

METHODS = ["GET", "POST", "PUT", "DELETE"]
CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATHS = frozenset({"/v1/completions", CHAT_PATH})


def make_app(node: Node) -> ASGIApp:
    """Return the application that serves callers and operators."""
    gateway = Gateway(node)
    routes = [
        Route("/healthz", gateway.health),
        Route("/readyz", gateway.ready),
        Route("/metrics", gateway.metrics),
        Route("/status", gateway.status),
        Route("/v1/models", gateway.models),
        Route("/{path:path}", gateway.application, methods=METHODS),
    ]
    return RequestGuard(Starlette(routes=routes), gateway)


class Gateway:
    """Handlers of the HTTP endpoints."""

    def __init__(self, node: Node) -> None:
        self.node = node

    async def health(self, request: Request) -> Response:
        """Answer 200 while the process runs."""
        return PlainTextResponse("ok\n")

    async def ready(self, request: Request) -> Response:
        """Answer 200 while the node serves requests, 503 before that and while it is stopping."""
        ready = self.node.is_ready()
        return PlainTextResponse("ready\n" if ready else "not ready\n", 200 if ready else 503)

    async def metrics(self, request: Request) -> Response:
        """Update the gauges and return all metrics in the Prometheus text format."""
        node = self.node
        node.metrics.cached_blocks.set(node.index.total_blocks())
        node.metrics.claims.set(len(node.control.claims))
        counts = {"alive": 0, "suspect": 0, "dead": 0, "left": 0}
        for member in node.membership.members():
            counts[member.state.name.lower()] += 1
        for state, count in counts.items():
            node.metrics.members.labels(state).set(count)
        node.metrics.gossip_sent_bytes.set(node.gossip_bytes_sent)
        page = generate_latest(node.metrics.registry)
        return Response(page, media_type=CONTENT_TYPE_LATEST)

    async def status(self, request: Request) -> Response:
        """Return this node's view of nodes and back ends, for operators."""
        node = self.node
        now = node.clock()
        backends = [
            {
                "id": backend.machine.machine_id,
                "kind": backend.machine.kind.value,
                "zone": backend.machine.zone,
                "accepts_work": backend.accepts_work(now),
                "draining": backend.draining or backend.machine.leaving,
                "incarnation": backend.incarnation,
                "weights_version": backend.weights_version,
                "running": backend.report.running,
                "waiting": backend.report.waiting,
                "cache_usage": backend.report.cache_usage,
            }
            for backend in node.fleet.all()
        ]
        current = node.adopter.current
        return JSONResponse(
            {
                "node": _member_fields(node.membership.own) | {"started": node.started},
                "ready": node.is_ready(),
                "bundle": {
                    "version": node.adopter.version,
                    "digest": current.digest if current else "",
                },
                "members": [_member_fields(member) for member in node.membership.members()],
                "backends": backends,
            }
        )

    async def models(self, request: Request) -> Response:
        """Return the list of models in OpenAI's format."""
        index = self.node.bundle_index
        if index is None:
            return not_ready_answer().response()
        try:
            authenticate(request.headers, index)
        except CallerError as error:
            return error.answer.response()
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": index.bundle.deployment}
            for name in index.models
        ]
        return JSONResponse({"object": "list", "data": models})

    async def completion(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve a text or chat completion, as plain ASGI.

        Streams bypass Starlette's middleware, whose wrappers would run for each chunk.
        """
        request = Request(scope, receive)
        try:
            response: ASGIApp = await handle_completion(
                self.node, request, chat=scope["path"] == CHAT_PATH
            )
        except CallerError as error:
            self.node.metrics.requests.labels("completion", error.answer.code).inc()
            response = error.answer.response()
        await response(scope, receive, send)

    async def application(self, request: Request) -> Response:
        """Serve an application route of the bundle."""
        kind = "application"
        try:
            response = await handle_application(self.node, request)
        except CallerError as error:
            self.node.metrics.requests.labels(kind, error.answer.code).inc()
            return error.answer.response()
        self.node.metrics.requests.labels(kind, "served").inc()
        return response


class RequestGuard:
    """Refuses oversized headers and counts open requests.

    While the node is stopping, every answer asks the caller to close the connection.
    """

    def __init__(self, app: ASGIApp, gateway: Gateway) -> None:
        self._app = app
        self._gateway = gateway
        self._node = gateway.node

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        size = sum(len(name) + len(value) for name, value in scope["headers"])
        app = self._app
        if scope["method"] == "POST" and scope["path"] in COMPLETION_PATHS:
            app = self._gateway.completion
        if size > self._node.settings.limits.max_header_bytes:
            app = _headers_too_long_answer()
        gauge = self._node.metrics.open_requests
        gauge.inc()
        try:
            await app(
                scope, receive, self._with_connection_close(send) if self._node.stopping else send
            )
        finally:
            gauge.dec()

    def _with_connection_close(self, send: Send) -> Send:
        async def send_closing(message: Message) -> None:
            if message["type"] == "http.response.start":
                headers = [*message["headers"], (b"connection", b"close")]
                message = dict(message) | {"headers": headers}
            await send(message)

        return send_closing


def _headers_too_long_answer() -> ASGIApp:
    answer = ErrorAnswer(431, "headers_too_long", "the headers are too long", step="check request")
    return answer.response()


def _member_fields(member: Member) -> dict[str, object]:
    return {
        "id": member.node_id,
        "zone": member.zone,
        "region": member.region,
        "address": member.address,
        "state": member.state.name.lower(),
        "incarnation": member.incarnation,
        "bundle_version": member.bundle_version,
    }
