"""Runs an ASGI application for simulated callers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import MutableMapping
from dataclasses import dataclass, field
from typing import Any

from starlette.types import ASGIApp


@dataclass(frozen=True, slots=True)
class AsgiCall:
    """A caller's request."""

    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class AsgiReply:
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def content(self) -> dict[str, Any]:
        """Return the JSON body; empty when it is none."""
        try:
            content = json.loads(self.body)
        except ValueError:
            return {}
        return content if isinstance(content, dict) else {}


async def run_asgi(app: ASGIApp, call: AsgiCall) -> AsgiReply:
    """Run a request through an application and return the whole answer."""
    messages: list[MutableMapping[str, Any]] = []
    body_sent = False

    async def receive() -> MutableMapping[str, Any]:
        nonlocal body_sent
        if not body_sent:
            body_sent = True
            return {"type": "http.request", "body": call.body, "more_body": False}
        never: asyncio.Future[MutableMapping[str, Any]]
        never = asyncio.get_running_loop().create_future()
        return await never

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
