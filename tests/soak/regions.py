"""Two regions with a slow, narrow link between them, led through proxies of the soak's own.

The store shows each region the other's runners and nodes at addresses of the proxies, so that what
nodes send across goes through these: TCP to runners, datagrams to nodes. Ways to the store and to
callers are not part of the link.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

from starlette.types import ASGIApp, Message, Receive, Scope, Send

from tests.processes.fault_proxy import FaultProxy, Mode

REGION_OF_ZONE = {"zone-a": "east", "zone-b": "west"}
ONE_WAY_SECONDS = 0.02
# For each connection, and for all datagrams to one node.
LINK_BYTES_A_SECOND = 400_000
# Of a queue before the link: what comes then is lost.
QUEUE_SECONDS = 0.2


class Regions:
    """The link, and the addresses behind it.

    Args:
        proxy: Fronts of runners.
    """

    def __init__(self, proxy: FaultProxy) -> None:
        self._proxy = proxy
        self._fronts: dict[str, dict[str, str]] = {zone: {} for zone in REGION_OF_ZONE}
        self._runners: list[str] = []
        self._cuts = 0
        self._nodes: dict[str, DatagramFront] = {}

    def add_runner(self, runner_id: str, zone: str, address: str) -> None:
        """Lead a zone's runner through the link for the other one."""
        name = f"link to {runner_id}"
        front = self._proxy.front(name, address)
        self._proxy.set_link(name, ONE_WAY_SECONDS, LINK_BYTES_A_SECOND)
        self._runners.append(name)
        self._set_cut()
        self._show(zone, address, front)

    async def add_node(self, name: str, zone: str, address: str) -> None:
        """Lead datagrams for a zone's node, or its next process, through the link."""
        front = self._nodes.get(name)
        if front is None:
            front = self._nodes[name] = DatagramFront()
            await front.open()
        front.lead_to(address)
        self._show(zone, address, front.address)

    @contextlib.contextmanager
    def cut(self) -> Iterator[None]:
        """Cut the link while the block runs; of several cuts the last one joins it."""
        self._cuts += 1
        self._set_cut()
        try:
            yield
        finally:
            self._cuts -= 1
            self._set_cut()

    @contextlib.contextmanager
    def late_words(self, rng: Random, least: float, most: float) -> Iterator[None]:
        """Let each datagram take so many seconds more while the block runs."""
        for front in self._nodes.values():
            front.extra_seconds = lambda: rng.uniform(least, most)
        try:
            yield
        finally:
            for front in self._nodes.values():
                front.extra_seconds = lambda: 0.0

    def _set_cut(self) -> None:
        for name in self._runners:
            self._proxy.set(name, Mode.SILENT if self._cuts else Mode.PASS)
        for front in self._nodes.values():
            front.is_cut = self._cuts > 0

    def view(self, app: ASGIApp, zone: str) -> ASGIApp:
        """Return a store's application as a zone sees it."""
        return StoreView(app, self._fronts[zone])

    def close(self) -> None:
        """Close the fronts of nodes; those of runners are the proxy's."""
        for front in self._nodes.values():
            front.close()

    def _show(self, zone: str, address: str, front: str) -> None:
        for other in REGION_OF_ZONE:
            if other != zone:
                self._fronts[other][address] = front


class DatagramFront(asyncio.DatagramProtocol):
    """An address from which datagrams go on to a node, later and not too many."""

    def __init__(self) -> None:
        self.address = ""
        self.is_cut = False
        self.extra_seconds: Callable[[], float] = lambda: 0.0
        self._target: tuple[str, int] = ("", 0)
        self._free_at = 0.0

    async def open(self) -> None:
        """Begin to listen."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        host, port = self._transport.get_extra_info("sockname")[:2]
        self.address = f"{host}:{port}"

    def lead_to(self, address: str) -> None:
        """Set where datagrams go."""
        host, _, port = address.rpartition(":")
        self._target = host, int(port)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Hand a datagram on after its time on the link."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        leaves_at = max(now, self._free_at) + len(data) / LINK_BYTES_A_SECOND
        if self.is_cut or leaves_at - now > QUEUE_SECONDS:
            return
        self._free_at = leaves_at
        arrives_at = leaves_at + ONE_WAY_SECONDS + self.extra_seconds()
        loop.call_at(arrives_at, self._hand_on, data)

    def close(self) -> None:
        """Stop listening."""
        self._transport.close()

    def _hand_on(self, data: bytes) -> None:
        if not self.is_cut and not self._transport.is_closing():
            self._transport.sendto(data, self._target)


class StoreView:
    """A store in whose answers some addresses stand for others."""

    def __init__(self, app: ASGIApp, fronts: dict[str, str]) -> None:
        self._app = app
        self._fronts = fronts

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        head: list[Message] = []

        async def translated(message: Message) -> None:
            if message["type"] == "http.response.start":
                head.append(message)
                return
            body = translate(message.get("body", b""), self._translate)
            length = (b"content-length", str(len(body)).encode())
            others = [each for each in head[0]["headers"] if each[0] != length[0]]
            await send({**head[0], "headers": [*others, length]})
            await send({**message, "body": body})

        await self._app(scope, receive, translated)

    def _translate(self, value: str) -> str:
        text = base64.b64decode(value).decode()
        for address, front in self._fronts.items():
            text = text.replace(f'"{address}"', f'"{front}"')
        return base64.b64encode(text.encode()).decode()


def translate(body: bytes, change: Callable[[str], str]) -> bytes:
    """Return a store's answer with the values of its items changed."""
    if b'"value"' not in body:
        return body

    def changed(pairs: dict[str, Any]) -> dict[str, Any]:
        if isinstance(pairs.get("value"), str):
            pairs["value"] = change(pairs["value"])
        return pairs

    return json.dumps(json.loads(body, object_hook=changed)).encode()
