"""The era of the store: outdated answers, revisions of earlier eras, and invalid headers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

import pytest

from hillstack.core.store_era import STORE, StoreEra
from hillstack.core.store_revision import StoreRevision
from hillstack.daemon.change_log import ChangeLog, StoredItem
from hillstack.daemon.key_value import Put, RevisionIs
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.store_relay import LIST_KEYS_SECONDS, StoreRelay
from hillstack.emulator.fleet_store import FleetStore
from hillstack.emulator.free_ports import free_ports
from hillstack.errors import HistoryLostError, OutdatedAnswerError, PlatformOutcomeUnknownError
from hillstack.http_server import make_server
from hillstack.messages.datagrams import DatagramKind, unwrap, wrap
from hillstack.messages.packing import pack, unpack
from hillstack.messages.peer_notices import PROTOCOL_VERSION
from hillstack.messages.store_changes import ChangesAnswer, ChangesQuestion
from hillstack.platform.connections import make_store_session
from hillstack.platform.store import MetadataStore
from hillstack.serving.store_events import NodeListed
from tests.fleet.builders import make_route, make_state, make_table, rev
from tests.fleet.node_network import NodeNetwork, list_runners, write_runner

Scenario = Callable[[FleetStore, MetadataStore], Awaitable[None]]


def with_store(scenario: Scenario) -> None:
    """Run a scenario with the emulated store, over HTTP."""

    async def play() -> None:
        stand_in = FleetStore()
        address = f"127.0.0.1:{free_ports(1)[0]}"
        server = make_server(stand_in.app(), address)
        serving = asyncio.create_task(server.serve())
        while not server.started:  # noqa: ASYNC110 (uvicorn offers no event)
            await asyncio.sleep(0.01)
        session = make_store_session()
        try:
            await scenario(stand_in, MetadataStore(address, session))
        finally:
            await session.close()
            server.should_exit = True
            await serving

    asyncio.run(play())


class NewEras:
    """Records the source of each new era."""

    def __init__(self) -> None:
        self.told_by: list[str] = []
        self.fallen = 0
        self.era = StoreEra()
        self.era.handle_new(self.told_by.append)
        self.era.handle_decreased(self._note_fallen)

    def _note_fallen(self) -> None:
        self.fallen += 1


def test_the_first_era_received_is_not_reported_as_new() -> None:
    eras = NewEras()
    assert eras.era.era_of_answer(7, 0, allow_stale=False) == 7
    assert eras.told_by == []
    assert eras.era.era_of_answer(9, 7, allow_stale=False) == 9
    eras.era.observe(10, "node-2")
    assert eras.told_by == [STORE, "node-2"]


# Guards against accepting an answer from before a restore that arrives after the notice of it.
def test_an_answer_from_before_a_restore_is_outdated() -> None:
    eras = NewEras()
    eras.era.observe(3, STORE)
    eras.era.observe(4, "node-2")
    assert eras.era.era_of_answer(3, 3, allow_stale=False) is None
    assert eras.era.era_of_answer(None, 3, allow_stale=False) is None
    assert eras.fallen == 0


def test_a_list_that_may_be_old_does_not_show_a_decreased_era() -> None:
    eras = NewEras()
    eras.era.observe(4, STORE)
    assert eras.era.era_of_answer(3, 4, allow_stale=True) is None
    assert eras.fallen == 0


# Guards against rejecting all answers of a store whose era decreases.
def test_a_store_with_a_decreased_era_is_reloaded_once_and_followed() -> None:
    eras = NewEras()
    eras.era.observe(4, STORE)
    for _ in range(3):
        assert eras.era.era_of_answer(2, 4, allow_stale=False) == 4
    assert eras.fallen == 1


def test_a_store_without_eras_stays_in_the_first_one() -> None:
    async def scenario(stand_in: FleetStore, store: MetadataStore) -> None:
        stand_in.era = None
        first = stand_in.put("key", b"1")
        snapshot = await store.snapshot()
        assert snapshot.revision == rev(first)
        assert (await store.changes(snapshot.revision, 0.0)).revision == rev(first)

    with_store(scenario)


def test_reads_after_a_restore_are_of_the_new_era() -> None:
    async def scenario(stand_in: FleetStore, store: MetadataStore) -> None:
        stand_in.put("key", b"1")
        copy = stand_in.copy()
        last = stand_in.put("key", b"2")
        before = await store.snapshot()
        stand_in.restore(copy)
        stand_in.put("other", b"3")
        with pytest.raises(HistoryLostError):
            await store.changes(before.revision, 0.0)
        after = await store.snapshot()
        assert after.revision == rev(last, era=1) > before.revision
        assert [change.item.revision.era for change in after.changes] == [1, 1]
        assert store.era == 1

    with_store(scenario)


# Guards against a condition on a revision number that the restored store has reused.
def test_a_condition_of_an_earlier_era_never_holds() -> None:
    async def scenario(stand_in: FleetStore, store: MetadataStore) -> None:
        copy = stand_in.copy()
        await store.transact([], [Put("key", b"lost")])
        known = await store.get("key")
        assert known is not None
        stand_in.restore(copy)
        number = stand_in.put("key", b"another")
        assert number == known.mod_revision.number
        # Once before the node has learned of the restore, once after it.
        with pytest.raises(PlatformOutcomeUnknownError):
            await store.transact([RevisionIs("key", known.mod_revision)], [Put("x", b"")])
        assert (
            await store.transact([RevisionIs("key", known.mod_revision)], [Put("y", b"")]) is None
        )
        assert stand_in.value("y") is None

    with_store(scenario)


def test_pages_of_two_eras_are_rejected() -> None:
    async def scenario(stand_in: FleetStore, store: MetadataStore) -> None:
        for number in range(4):
            stand_in.put(f"key-{number}", b"1")
        copy = stand_in.copy()
        stand_in.page_items = 2
        stand_in.on_page = lambda: stand_in.restore(copy) if stand_in.era == 0 else None
        with pytest.raises(OutdatedAnswerError):
            await store.snapshot()
        assert len((await store.snapshot()).changes) == 4

    with_store(scenario)


@pytest.mark.parametrize("text", ["-1", "three", "1.5", "9" * 40, "\u00b2"])
def test_an_invalid_era_header_is_logged_once_and_ignored(
    text: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario(stand_in: FleetStore, store: MetadataStore) -> None:
        stand_in.era_override = text
        number = stand_in.put("key", b"1")
        for _ in range(3):
            assert (await store.snapshot()).revision == rev(number)

    with caplog.at_level(logging.ERROR):
        with_store(scenario)
    logged = [line for line in caplog.records if line.message == "store era can't be read"]
    assert len(logged) == 1


# Guards against accepting a copy from before a restore as fresh because it was proved recently.
def test_a_peer_that_does_not_know_of_the_restore_proves_no_freshness() -> None:
    network = NodeNetwork(2, 1)
    list_runners(network)
    network.run(4.0)
    order = next(iter(network.nodes.values())).state.nodes.relay_order(None)
    first, second = (network.nodes[node_id] for node_id in order)
    network.store.down_for = None
    second.state.store_era.observe(1, "node-9")
    proved_at = second.state.freshness.proved_at()
    network.run(1.5)
    assert first.log.revision.era == second.log.revision.era == 0
    assert second.state.freshness.proved_at() == proved_at
    network.close()


# Guards against a node that gets no changes while the store refuses it and its history is lost.
def test_a_node_that_the_store_refuses_learns_of_a_restore_from_its_peers() -> None:
    network = NodeNetwork(2, 1)
    list_runners(network)
    network.run(4.0)
    order = next(iter(network.nodes.values())).state.nodes.relay_order(None)
    first = order[0]
    copy = network.store.copy()
    network.run(1.0)
    network.store.restore(copy)
    network.store.down_for = {first}
    write_runner(network, "i-3", state="draining", seq=9)
    network.nodes[first].state.store_era.observe(network.store.era, STORE)
    network.run(2.0)
    runner = network.nodes[first].state.pool.get("i-3")
    network.close()
    assert runner is not None and runner.is_leaving


def test_an_answer_of_an_earlier_build_counts_as_incomplete() -> None:
    sent: list[bytes] = []
    link = PeerLink()
    state = make_state(make_table(make_route()))
    state.apply(NodeListed("node-2", "10.0.0.2:1", "zone-a"), 0.0)
    relay = StoreRelay(state, ChangeLog(), link, lambda: 0.0)

    class Transport:
        def sendto(self, data: bytes, endpoint: tuple[str, int]) -> None:
            sent.append(data)

    async def scenario() -> None:
        link.connection_made(Transport())
        asking = asyncio.create_task(relay.ask("node-2", rev(5)))
        await asyncio.sleep(0)
        _, payload = unwrap(sent[0], "peer")
        number = unpack(payload, ChangesQuestion, "peer").number
        answer = ChangesAnswer(PROTOCOL_VERSION, "node-2", number, 9, 10)
        link.datagram_received(wrap(DatagramKind.CHANGES_ANSWER, pack(answer)), ("10.0.0.2", 1))
        relayed = await asking
        assert relayed is not None and not relayed.is_complete

    asyncio.run(scenario())


# Guards against a node of an earlier build that keeps runners which a restored store lacks.
def test_an_earlier_build_gets_all_keys_after_a_restore() -> None:
    sent: list[bytes] = []
    link, log, now = PeerLink(), ChangeLog(), [100.0]
    state = make_state(make_table(make_route()))
    state.apply(NodeListed("node-2", "10.0.0.2:1", "zone-a"), 0.0)
    state.note_proof(rev(30), 100.0)
    StoreRelay(state, log, link, lambda: now[0])
    log.load([StoredItem("servers/i-1", rev(20), b"{}")], rev(30))

    class Transport:
        def sendto(self, data: bytes, endpoint: tuple[str, int]) -> None:
            sent.append(data)

    link.connection_made(Transport())

    def keys_for(revision: int) -> list[str] | None:
        question = ChangesQuestion(PROTOCOL_VERSION, "node-2", 1, revision)
        link.datagram_received(wrap(DatagramKind.CHANGES_QUESTION, pack(question)), ("10.0.0.2", 1))
        _, payload = unwrap(sent[-1], "peer")
        return unpack(payload, ChangesAnswer, "peer").keys

    assert keys_for(30) is None
    state.store_era.observe(1, STORE)
    state.store_era.observe(2, STORE)
    log.load([StoredItem("servers/i-2", StoreRevision(2, 10), b"{}")], StoreRevision(2, 40))
    assert keys_for(40) == ["servers/i-2"]
    now[0] += LIST_KEYS_SECONDS
    assert keys_for(40) is None
