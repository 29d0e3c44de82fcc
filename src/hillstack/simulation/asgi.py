"""Runs ASGI applications in process, so that simulated callers need no sockets."""

from __future__ import annotations

import asyncio
import json
from collections.abc import MutableMapping
from dataclasses import dataclass, field
from typing import Any

from starlette.types import ASGIApp


@dataclass(frozen=True, slots=True)
class AsgiCall:
    """An HTTP request of a simulated caller."""

    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class AsgiReply:
    """A complete HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def content(self) -> dict[str, Any]:
        """Return the JSON object in the body, or an empty dict if the body holds none."""
        try:
            content = json.loads(self.body)
        except ValueError:
            return {}
        return content if isinstance(content, dict) else {}


async def run_asgi(app: ASGIApp, call: AsgiCall) -> AsgiReply:
    """Run one request through an application and return the complete response."""
    messages: list[MutableMapping[str, Any]] = []
    body_sent = False

    async def receive() -> MutableMapping[str, Any]:
        nonlocal body_sent
        if not body_sent:
            body_sent = True
            return {"type": "http.request", "body": call.body, "more_body": False}
        never_disconnects: asyncio.Future[MutableMapping[str, Any]]
        never_disconnects = asyncio.get_running_loop().create_future()
        return await never_disconnects

    async def send(message: MutableMapping[str, Any]) -> None:
        messages.append(message)

    await app(_scope(call), receive, send)
    start = messages[0]
    headers = {name.decode(): value.decode() for name, value in start["headers"]}
    body = b"".join(message.get("body", b"") for message in messages[1:])
    return AsgiReply(start["status"], headers, body)


def _scope(call: AsgiCall) -> dict[str, Any]:
    headers = [(name.lower().encode(), value.encode()) for name, value in call.headers.items()]
    return {
        "type": "http",
        "asgi": {"version": "3.0"},
        "http_version": "1.1",
        "method": call.method,
        "scheme": "http",
        "path": call.path,
        "raw_path": call.path.encode(),
        "query_string": b"",
        "root_path": "",
        "headers": headers,
        "client": ("10.9.0.1", 1),
        "server": ("10.1.0.1", 8100),
    }
