"""Background work of a node: timers of idle servers, forwarded heartbeats, relay checks."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from typing import Any

import pytest

from hillstack.core.relay_choice import RelayChoice
from hillstack.daemon.notice_relay import NoticeRelay
from hillstack.daemon.peer_link import PeerLink
from hillstack.http_server import make_server
from hillstack.messages.datagrams import DatagramKind
from hillstack.messages.packing import unpack
from hillstack.messages.peer_notices import (
    PROTOCOL_VERSION,
    LoadNotice,
    NodeNotice,
    PlacementNotice,
    decode,
    encode,
)
from hillstack.messages.relay_batches import NodeReport, RelayBatch
from hillstack.platform.ingress import Readiness
from hillstack.platform.names import READY_PATH
from hillstack.serving.store_events import NodeListed
from hillstack.simulation.virtual_loop import Scheduler
from tests.fleet.builders import make_route, make_state, make_table

OBSERVATION_SECONDS = 0.35
QUESTION = f"GET {READY_PATH} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n".encode()


def test_an_idle_server_without_a_date_header_sets_no_timers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> tuple[int, bytes]:
        server = make_server(Readiness(lambda: True), "127.0.0.1:0", date_header=False)
        serving = asyncio.create_task(server._serve())
        while not server.started:  # noqa: ASYNC110 (uvicorn offers no event)
            await asyncio.sleep(0.01)
        made = _count_timers(monkeypatch)
        await asyncio.sleep(OBSERVATION_SECONDS)
        own_sleep = 1
        timers = len(made) - own_sleep
        answer = await _ask(server.servers[0].sockets[0].getsockname()[1])
        server.should_exit = True
        server.force_exit = True
        await serving
        return timers, answer

    timers, answer = asyncio.run(run())
    assert timers == 0
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert b"date:" not in answer.lower()


def test_a_server_that_is_stopped_before_it_starts_ends_at_once() -> None:
    async def run() -> bool:
        server = make_server(Readiness(lambda: True), "127.0.0.1:0", date_header=False)
        server.should_exit = True
        server.force_exit = True
        await server._serve()
        return server.should_exit

    assert asyncio.run(run())


async def _ask(port: int) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(QUESTION)
    answer = await reader.read()
    writer.close()
    return answer


def _count_timers(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return a list to which the time of each timer of the running loop is added from now on."""
    loop = asyncio.get_running_loop()
    made: list[float] = []
    call_at = loop.call_at

    def counted(when: float, *arguments: Any, **options: Any) -> Any:
        made.append(when)
        return call_at(when, *arguments, **options)

    monkeypatch.setattr(loop, "call_at", counted)
    return made


class _RecordingLink(PeerLink):
    """A link that records the batches to send."""

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[tuple[DatagramKind, RelayBatch]] = []

    def send_to_all(self, kind: DatagramKind, payload: bytes, addresses: Iterable[str]) -> None:
        self.sent.append((kind, unpack(payload, RelayBatch, "relay")))

    def forwarded(self, kind: DatagramKind) -> list[NodeNotice]:
        notices = [n for sent_kind, batch in self.sent if sent_kind is kind for n in batch.notices]
        return [decode(notice, "relay") for notice in notices]


def _report(number: int, placements: Sequence[PlacementNotice] = ()) -> NodeReport:
    load = LoadNotice("i-1", number % 3 + 1, 0, 100)
    notice = NodeNotice(PROTOCOL_VERSION, "node-2", 7, placements=list(placements))
    is_news = notice.is_news()
    return NodeReport(PROTOCOL_VERSION, "node-2", 7, [load], encode(notice), is_news=is_news)


def test_a_relay_does_not_forward_a_heartbeat_with_each_load() -> None:
    link = _RecordingLink()
    state = make_state(make_table(make_route()))
    choice = RelayChoice(state.node_id, state.nodes)
    now = 0.0
    relay = NoticeRelay(state, link, choice, "zone-a", lambda: now)

    async def run() -> None:
        nonlocal now
        for number in range(200):
            now = number / 100
            placed = PlacementNotice("i-1", "salt", [("a", 10)], 500, number=number)
            relay.forward_report(_report(number, [placed] if number % 50 == 10 else ()), now)
            relay.flush()

    asyncio.run(run())
    zone_notices = link.forwarded(DatagramKind.FINAL_BATCH)
    placement_numbers = [n.placements[0].number for n in zone_notices if n.placements]
    assert placement_numbers == [10, 60, 110, 160]
    # Its heartbeat is forwarded at least each 0.8 s, which is how often an idle node sends one.
    assert len(zone_notices) - len(placement_numbers) <= 4
    remote_notices = link.forwarded(DatagramKind.ZONE_BATCH)
    assert [n.placements[0].number for n in remote_notices if n.placements] == placement_numbers
    loads = [load for _, batch in link.sent for zone in batch.loads for load in zone.loads]
    assert len(loads) == 2 * 200


def test_a_node_that_does_not_relay_checks_less_often_whether_it_should(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scheduler = Scheduler()
    state = make_state(make_table(make_route()))
    for number in range(40):
        state.apply(NodeListed(f"node-{number}", f"10.0.0.2:{number + 1}", "zone-a"), 0.0)
    state.node_id = state.nodes.relay_order("zone-a")[-1]
    choice = RelayChoice(state.node_id, state.nodes)
    relay = NoticeRelay(state, PeerLink(), choice, "zone-a", scheduler.clock)
    loop = scheduler.new_loop()
    made: list[float] = []
    call_at = loop.call_at

    def counted(when: float, *arguments: Any, **options: Any) -> Any:
        made.append(when)
        return call_at(when, *arguments, **options)

    monkeypatch.setattr(loop, "call_at", counted)
    scheduler.spawn(loop, relay.run())
    scheduler.run_until(3.0)
    scheduler.close()
    assert len(made) <= 12
