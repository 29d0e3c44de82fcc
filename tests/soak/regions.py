"""Two regions with a slow link of low bandwidth between them, emulated by proxies.

The store returns to each region proxy addresses for the other region's runners and nodes, so that
all cross-region traffic passes the proxies: TCP to runners, datagrams and relayed connections to
nodes. Connections to the store and from callers aren't part of the link.
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

from tests.fleet.deployment import free_port
from tests.processes.fault_proxy import FaultProxy, Mode

REGION_OF_ZONE = {"zone-a": "east", "zone-b": "west"}
# Prefix of the names under which the proxy knows the link to each runner and node.
LINK_PREFIX = "link to "
ONE_WAY_LATENCY_SECONDS = 0.02
# Applies to each connection separately, and to all datagrams to one node together.
LINK_BYTES_PER_SECOND = 400_000
# Maximum queueing delay before the link; datagrams beyond it are dropped.
QUEUE_SECONDS = 0.2


class Regions:
    """The link between the regions and the addresses that are reached over it.

    Args:
        proxy: Proxies the connections to runners.
        host: Host on which the link's end for nodes listens.
    """

    def __init__(self, proxy: FaultProxy, host: str = "127.0.0.1") -> None:
        self._proxy = proxy
        self._host = host
        self._fronts: dict[str, dict[str, str]] = {zone: {} for zone in REGION_OF_ZONE}
        self._link_names: list[str] = []
        self._cuts = 0
        self._nodes: dict[str, DatagramFront] = {}

    def add_runner(self, runner_id: str, zone: str, address: str) -> None:
        """Route the other zone's connections to a runner through the link."""
        name = LINK_PREFIX + runner_id
        front = self._proxy.front(name, address)
        self._add_link(name)
        self._publish_front(zone, address, front)

    async def add_node(self, name: str, zone: str, address: str) -> None:
        """Route the other zone's datagrams and connections to a node through the link.

        The next process of the node listens on the same port.
        """
        front = self._nodes.get(name)
        if front is None:
            front = self._nodes[name] = DatagramFront(self._host)
            # Free for datagrams and connections, and not assigned by the system meanwhile.
            port = free_port()
            await front.open(port)
            # The node knows nodes of the other region by the host of the link.
            self._proxy.front(LINK_PREFIX + name, address, port=port, keeps_client_host=False)
            self._add_link(LINK_PREFIX + name)
        front.forward_to(address)
        self._publish_front(zone, address, front.address)

    @contextlib.contextmanager
    def cut(self) -> Iterator[None]:
        """Cut the link while the block runs; it works again when the last overlapping cut ends."""
        self._cuts += 1
        self._set_cut()
        try:
            yield
        finally:
            self._cuts -= 1
            self._set_cut()

    @contextlib.contextmanager
    def delayed_datagrams(
        self, rng: Random, min_seconds: float, max_seconds: float
    ) -> Iterator[None]:
        """Add a random delay in the given range to each datagram while the block runs."""
        for front in self._nodes.values():
            front.extra_seconds = lambda: rng.uniform(min_seconds, max_seconds)
        try:
            yield
        finally:
            for front in self._nodes.values():
                front.extra_seconds = lambda: 0.0

    def _add_link(self, name: str) -> None:
        self._proxy.set_link(name, ONE_WAY_LATENCY_SECONDS, LINK_BYTES_PER_SECOND)
        self._link_names.append(name)
        self._set_cut()

    def _set_cut(self) -> None:
        for name in self._link_names:
            self._proxy.set(name, Mode.SILENT if self._cuts else Mode.PASS)
        for front in self._nodes.values():
            front.is_cut = self._cuts > 0

    def view(self, app: ASGIApp, zone: str) -> ASGIApp:
        """Wrap the store's application so that a zone gets proxy addresses for the other zone."""
        return StoreView(app, self._fronts[zone])

    def close(self) -> None:
        """Close the datagram fronts of nodes; ``FaultProxy`` owns the fronts of runners."""
        for front in self._nodes.values():
            front.close()

    def _publish_front(self, zone: str, address: str, front: str) -> None:
        for other in REGION_OF_ZONE:
            if other != zone:
                self._fronts[other][address] = front


class DatagramFront(asyncio.DatagramProtocol):
    """An address that forwards datagrams to a node with the link's latency and bandwidth."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self._host = host
        self.address = ""
        self.is_cut = False
        self.extra_seconds: Callable[[], float] = lambda: 0.0
        self._target: tuple[str, int] = ("", 0)
        self._free_at = 0.0

    async def open(self, port: int = 0) -> None:
        """Start listening on a port; 0 for any."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, port)
        )
        host, port = self._transport.get_extra_info("sockname")[:2]
        self.address = f"{host}:{port}"

    def forward_to(self, address: str) -> None:
        """Set the address to which datagrams are forwarded."""
        host, _, port = address.rpartition(":")
        self._target = host, int(port)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Forward a datagram after its time on the link, or drop it if the queue is full."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        leaves_at = max(now, self._free_at) + len(data) / LINK_BYTES_PER_SECOND
        if self.is_cut or leaves_at - now > QUEUE_SECONDS:
            return
        self._free_at = leaves_at
        arrives_at = leaves_at + ONE_WAY_LATENCY_SECONDS + self.extra_seconds()
        loop.call_at(arrives_at, self._forward, data)

    def close(self) -> None:
        """Stop listening."""
        self._transport.close()

    def _forward(self, data: bytes) -> None:
        if not self.is_cut and not self._transport.is_closing():
            self._transport.sendto(data, self._target)


class StoreView:
    """A store's application whose answers have some addresses replaced by proxy addresses."""

    def __init__(self, app: ASGIApp, fronts: dict[str, str]) -> None:
        self._app = app
        self._fronts = fronts

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one ASGI request."""
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
        # Entries of other writers may be no text.
        entry = base64.b64decode(value)
        for address, front in self._fronts.items():
            entry = entry.replace(f'"{address}"'.encode(), f'"{front}"'.encode())
        return base64.b64encode(entry).decode()


def translate(body: bytes, change: Callable[[str], str]) -> bytes:
    """Return a store's answer with the values of its items changed."""
    if b'"value"' not in body:
        return body

    def changed(pairs: dict[str, Any]) -> dict[str, Any]:
        if isinstance(pairs.get("value"), str):
            pairs["value"] = change(pairs["value"])
        return pairs

    return json.dumps(json.loads(body, object_hook=changed)).encode()
