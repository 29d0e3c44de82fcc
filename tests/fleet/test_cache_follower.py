"""Reading the cache contents of runners and cache stores, in virtual time."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hillstack.core.cache_watch import CacheHolder, NodeLiveness, WatchAssignment
from hillstack.core.node_directory import NodeDirectory, NodeEntry
from hillstack.core.part_index import PartIndex, PromptPart
from hillstack.core.routing_table import KvCacheStore
from hillstack.daemon.cache_follower import (
    RETRY_SECONDS,
    CacheChanges,
    CacheEntry,
    CacheFollower,
    CacheListing,
)
from hillstack.errors import BackendError, BackendRefusedError, RunnerRestartedError
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.start_gate import StartGate
from hillstack.serving.store_events import NodeListed
from hillstack.simulation.virtual_loop import Scheduler
from tests.fleet.builders import ENGINES, make_entry, make_route, make_state, make_table

SALT = "shared|m|1"
STORE = KvCacheStore("10.9.9.9:1", "zone-a", 1_000_000, 200_000.0)


@dataclass
class FakeHolder:
    """A holder whose contents and changes are set by the test."""

    epoch: int = 1
    cursor: int = 0
    held: dict[str, int] = field(default_factory=dict)
    pending: list[CacheEntry] = field(default_factory=list)
    gap: bool = False
    failure: Exception | None = None
    lists: int = 0
    calls: int = 0

    def put(self, part_id: str, tokens: int) -> None:
        self.held[part_id] = tokens
        self.pending.append(CacheEntry(SALT, PromptPart(part_id, tokens)))

    def restart(self) -> None:
        self.epoch += 1
        self.held.clear()
        self.pending.clear()


class FakeFeed:
    def __init__(self) -> None:
        self.holders: dict[str, FakeHolder] = {}

    async def listing(self, holder: CacheHolder) -> CacheListing:
        found = self._find(holder)
        found.lists += 1
        found.pending.clear()
        entries = [CacheEntry(SALT, PromptPart(*item)) for item in found.held.items()]
        return CacheListing(found.epoch, found.cursor, entries)

    async def changes(self, holder: CacheHolder, since: int, wait_seconds: float) -> CacheChanges:
        found = self._find(holder)
        entries, found.pending = found.pending, []
        found.cursor = since + len(entries)
        return CacheChanges(found.epoch, found.cursor, entries, found.gap)

    def _find(self, holder: CacheHolder) -> FakeHolder:
        found = self.holders.setdefault(holder.holder_id, FakeHolder())
        found.calls += 1
        if found.failure is not None:
            raise found.failure
        return found


@dataclass
class FakePeers:
    zones: dict[str, str] = field(default_factory=lambda: {"node-1": "zone-a"})
    reported: list[tuple[str, str, int]] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    unavailable: list[str] = field(default_factory=list)
    sent: list[tuple[str, str, int]] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)

    def live_zones(self) -> dict[str, str]:
        return self.zones

    def cached(self, holder_id: str, entry: CacheEntry) -> None:
        self.reported.append((holder_id, entry.part.part_id, entry.part.tokens))

    def send_cache(self, node_id: str, holder_id: str, entries: Sequence[CacheEntry]) -> None:
        self.sent.append((node_id, holder_id, len(entries)))

    def cache_lost(self, holder_id: str) -> None:
        self.lost.append(holder_id)

    def restarted(self, runner_id: str) -> None:
        self.ended.append(runner_id)

    def cache_store_unavailable(self, address: str) -> None:
        self.unavailable.append(address)


@dataclass
class Bench:
    state: FleetState
    feed: FakeFeed
    peers: FakePeers
    follower: CacheFollower
    scheduler: Scheduler

    def run(self, seconds: float) -> None:
        self.scheduler.run_until(self.scheduler.now + seconds)

    def estimated(self, holder_id: str, part_id: str) -> int:
        part = PromptPart(part_id, 1_000_000)
        return self.state.index.matched_tokens(holder_id, SALT, [part])


@pytest.fixture
def bench() -> Iterator[Bench]:
    scheduler = Scheduler()
    state = make_state(make_table(make_route(), store=STORE), make_entry("i-1", ENGINES))
    state.apply(NodeListed("node-1", "10.0.0.1:1", "zone-a"), 0.0)
    feed, peers = FakeFeed(), FakePeers()
    feed.holders = {"i-1": FakeHolder(), STORE.address: FakeHolder()}
    follower = CacheFollower(state, feed, peers, scheduler.clock)
    scheduler.spawn(scheduler.new_loop(), follower.run())
    yield Bench(state, feed, peers, follower, scheduler)
    scheduler.close()


def test_a_node_that_starts_reads_the_existing_cache_contents(bench: Bench) -> None:
    # Guards against a restart of all nodes that loses the cache estimates (seen in Tampere
    # trouble-1: of 237,000 tokens whose prefill was repeated, 186,000 were prefilled after such a
    # restart).
    bench.feed.holders["i-1"].held = {"a": 4_000, "small": 50}
    bench.feed.holders[STORE.address].held = {"b": 2_000}
    bench.run(1.0)
    assert bench.estimated("i-1", "a") == 4_000
    assert bench.estimated("i-1", "small") == 50
    assert bench.estimated(STORE.address, "b") == 2_000
    assert set(bench.peers.reported) == {("i-1", "a", 4_000), (STORE.address, "b", 2_000)}


def test_an_eviction_corrects_the_estimate_and_is_reported(bench: Bench) -> None:
    bench.feed.holders["i-1"].held = {"a": 4_000}
    bench.run(1.0)
    bench.peers.reported.clear()
    bench.feed.holders["i-1"].put("a", 0)
    bench.run(1.0)
    assert bench.estimated("i-1", "a") == 0
    assert bench.peers.reported == [("i-1", "a", 0)]


def test_a_part_that_matches_the_estimate_is_not_reported(bench: Bench) -> None:
    bench.run(1.0)
    bench.state.index.record_cached("i-1", SALT, [PromptPart("a", 4_000)])
    bench.feed.holders["i-1"].put("a", 4_000)
    bench.run(1.0)
    assert bench.peers.reported == []


def test_a_part_in_prefill_counts_as_cached_after_its_confirmation(bench: Bench) -> None:
    bench.run(1.0)
    part = PromptPart("a", 4_000)
    bench.state.index.record_cached("i-1", SALT, [part], ready_at=100.0)
    assert bench.state.index.matched_tokens("i-1", SALT, [part], 2.0) == 0
    bench.feed.holders["i-1"].put("a", 4_000)
    bench.run(1.0)
    assert bench.state.index.matched_tokens("i-1", SALT, [part], 2.0) == 4_000


# Guards against a feed that nobody follows after an error of another kind than its calls raise.
def test_a_feed_is_followed_again_after_any_error(
    bench: Bench, caplog: pytest.LogCaptureFixture
) -> None:
    bench.run(1.0)
    holder = bench.feed.holders["i-1"]
    holder.failure = ValueError("not expected")
    calls = holder.calls
    bench.run(10 * RETRY_SECONDS)
    assert calls < holder.calls <= calls + 11
    assert "background task failed" in caplog.text
    holder.failure = None
    holder.held["a"] = 4_000
    bench.run(2 * RETRY_SECONDS + 1.0)
    assert bench.estimated("i-1", "a") == 4_000


def test_a_restarted_holder_has_lost_its_contents(bench: Bench) -> None:
    bench.feed.holders["i-1"].held = {"a": 4_000}
    bench.run(1.0)
    bench.feed.holders["i-1"].restart()
    bench.feed.holders["i-1"].held = {"c": 700}
    bench.run(1.0)
    assert (bench.estimated("i-1", "a"), bench.estimated("i-1", "c")) == (0, 700)
    assert bench.peers.lost == ["i-1"]


def test_a_gap_is_closed_by_a_list_at_a_bounded_rate(bench: Bench) -> None:
    holder = bench.feed.holders["i-1"]
    bench.run(1.0)
    bench.state.index.record_cached("i-1", SALT, [PromptPart("evicted", 900)])
    holder.gap = True
    bench.run(20.0)
    assert bench.estimated("i-1", "evicted") == 0
    assert 2 <= holder.lists <= 5


# Guards against an estimate that stays wrong: a gap soon after a list was passed over for good.
def test_a_gap_soon_after_a_list_is_closed_by_the_next_list(bench: Bench) -> None:
    holder = bench.feed.holders["i-1"]
    bench.run(1.0)
    bench.state.index.record_cached("i-1", SALT, [PromptPart("evicted", 900)])
    holder.gap = True
    bench.run(0.5)
    holder.gap = False
    bench.run(20.0)
    assert bench.estimated("i-1", "evicted") == 0
    assert holder.lists == 2


def test_a_list_does_not_remove_a_part_that_was_just_sent(bench: Bench) -> None:
    bench.state.index.record_cached("i-1", SALT, [PromptPart("sent", 900)], ready_at=0.4)
    bench.run(0.3)
    assert bench.feed.holders["i-1"].lists == 1
    assert bench.estimated("i-1", "sent") == 900


def test_a_store_without_an_answer_is_not_used_until_it_answers(bench: Bench) -> None:
    # While a cache store is down, each fetch from it takes a tenth of a second (seen in Tampere).
    bench.run(1.0)
    bench.feed.holders[STORE.address].failure = BackendError("reset", step="ask", peer="store")
    bench.run(1.0)
    assert bench.state.kv_cache_store_for("zone-a", bench.scheduler.now) is None
    assert STORE.address in bench.peers.unavailable
    bench.feed.holders[STORE.address].failure = None
    bench.run(4.0)
    assert bench.state.kv_cache_store_for("zone-b", bench.scheduler.now) == STORE


def test_a_store_that_refuses_the_list_call_is_still_used(bench: Bench) -> None:
    error = BackendRefusedError("status 429", step="ask", peer="store")
    bench.feed.holders[STORE.address].failure = error
    bench.run(2.0)
    assert bench.state.kv_cache_store_for("zone-b", bench.scheduler.now) == STORE


def test_a_failed_holder_is_polled_at_a_bounded_rate(bench: Bench) -> None:
    holder = bench.feed.holders["i-1"]
    holder.failure = BackendError("reset", step="ask", peer="i-1")
    bench.run(30.0)
    assert holder.calls <= 60
    holder.failure = None
    holder.held = {"a": 500}
    bench.run(1.0)
    assert bench.estimated("i-1", "a") == 500


def test_a_node_polls_only_the_holders_that_it_watches(bench: Bench) -> None:
    bench.run(1.0)
    assert set(bench.follower.watched()) == {"i-1", STORE.address}
    # node-1 is in another zone now, and node-2 in the zone of the holders, so node-2 watches them
    # all.
    bench.peers.zones = {"node-1": "zone-b", "node-2": "zone-a"}
    bench.run(1.0)
    assert bench.follower.watched() == []
    calls = bench.feed.holders["i-1"].calls
    bench.run(5.0)
    assert bench.feed.holders["i-1"].calls == calls
    bench.peers.zones = {"node-1": "zone-b"}
    bench.run(1.0)
    assert set(bench.follower.watched()) == {"i-1", STORE.address}


def test_a_new_peer_gets_all_large_parts(bench: Bench) -> None:
    bench.feed.holders["i-1"].held = {"a": 4_000, "b": 3_000, "small": 50}
    bench.run(1.0)
    bench.follower.send_initial_state("node-2")
    assert ("node-2", "i-1", 2) in bench.peers.sent


def test_a_registered_node_without_heartbeats_counts_as_alive_only_at_first() -> None:
    directory = NodeDirectory()
    directory.list_node(NodeEntry("node-2", "10.0.0.2:1", "zone-a"))
    liveness = NodeLiveness("node-1", directory, "zone-a", 10.0)
    assert liveness.is_alive("node-2", 11.0) and not liveness.is_alive("node-2", 12.5)
    assert liveness.record_contact("node-2", 1, 13.0)
    assert not liveness.record_contact("node-2", 1, 14.0)
    assert liveness.is_alive("node-2", 16.0) and not liveness.is_alive("node-2", 18.0)
    assert liveness.record_contact("node-2", 2, 20.0)
    assert liveness.is_alive("node-1", 99.0)


def watcher(holder: CacheHolder, zones: dict[str, str]) -> str | None:
    assignment = WatchAssignment()
    assignment.update([holder], zones)
    return assignment.watcher(holder.holder_id)


@given(
    zones=st.dictionaries(
        st.sampled_from([f"node-{n}" for n in range(9)]), st.sampled_from("abc"), min_size=1
    ),
    zone=st.sampled_from("abcd"),
)
def test_a_holder_is_watched_by_one_node_in_its_zone_if_there_is_one(
    zones: dict[str, str], zone: str
) -> None:
    holder = CacheHolder("i-1", "10.0.0.1:1", zone)
    chosen = watcher(holder, zones)
    assert chosen is not None and chosen in zones
    if zone in zones.values():
        assert zones[chosen] == zone
    fewer = {node_id: own for node_id, own in zones.items() if node_id == chosen or own == zone}
    assert watcher(holder, fewer) == chosen


@given(
    steps=st.lists(
        st.dictionaries(
            st.sampled_from([f"node-{n}" for n in range(9)]), st.sampled_from("abc"), max_size=9
        ),
        max_size=6,
    ),
    counts=st.lists(st.integers(0, 6), min_size=6, max_size=6),
)
def test_the_assignment_does_not_depend_on_its_history(
    steps: list[dict[str, str]], counts: list[int]
) -> None:
    holders = [CacheHolder(f"i-{n}", "10.0.0.1:1", "abcd"[n % 4]) for n in range(6)]
    kept = WatchAssignment()
    for zones, count in zip(steps, counts, strict=False):
        listed = holders[:count]
        kept.update(listed, zones)
        for holder in listed:
            assert kept.watcher(holder.holder_id) == watcher(holder, zones)
        assert kept.watcher("i-5") is None or count == 6


def test_a_joining_or_leaving_node_rescores_only_the_holders_of_its_zone() -> None:
    zones = {f"node-{n}": f"zone-{n % 5}" for n in range(200)}
    holders = [CacheHolder(f"i-{n}", "10.0.0.1:1", f"zone-{n % 5}") for n in range(60)]
    assignment = WatchAssignment()
    assignment.update(holders, zones)
    before = assignment.scores_made
    for _ in range(100):
        assignment.update(holders, zones)
    assert assignment.scores_made == before
    # Only the twelve holders of the new node's zone are scored, and only against the new node.
    assignment.update(holders, zones | {"node-new": "zone-1"})
    assert assignment.scores_made == before + 12
    assignment.update(holders, dict(zones))
    assert assignment.scores_made <= before + 12 + 12 * 40


def test_nodes_of_other_zones_are_alive_while_their_relay_sends() -> None:
    directory = NodeDirectory()
    for name, zone in (("node-1", "a"), ("node-2", "a"), ("node-3", "b")):
        directory.list_node(NodeEntry(name, "10.0.0.1:1", zone))
    liveness = NodeLiveness("node-1", directory, "a", 0.0)
    assert liveness.zones(1.0) == {"node-1": "a", "node-2": "a", "node-3": "b"}
    liveness.record_zone_contact("b", 4.0)
    liveness.record_contact("node-2", 1, 4.0)
    alive = liveness.zones(5.0)
    assert alive == {"node-1": "a", "node-2": "a", "node-3": "b"}
    liveness.record_contact("node-2", 1, 5.5)
    liveness.record_zone_contact("b", 5.5)
    assert liveness.zones(6.0) is alive
    assert liveness.zones(8.6) == {"node-1": "a"}


def test_without_nodes_a_holder_has_no_watcher() -> None:
    assert watcher(CacheHolder("i-1", "10.0.0.1:1", "a"), {}) is None


def test_the_index_stays_within_the_capacity_of_a_holder() -> None:
    index = PartIndex()
    index.set_capacity("i-1", 1_000)
    for number in range(5):
        assert index.confirm("i-1", SALT, PromptPart(f"p{number}", 400)) == 0
    assert index.part_count() == 2
    assert index.confirm("unknown", SALT, PromptPart("p", 400)) == 0


def test_caches_are_listed_as_soon_as_the_directory_is_read() -> None:
    scheduler = Scheduler()
    state = make_state(make_table(make_route(), store=STORE), make_entry("i-1", ENGINES))
    state.start_gate = StartGate()
    state.apply(NodeListed("node-1", "10.0.0.1:1", "zone-a"), 0.0)
    feed = FakeFeed()
    follower = CacheFollower(state, feed, FakePeers(), scheduler.clock)
    loop = scheduler.new_loop()
    scheduler.spawn(loop, follower.run())
    prompt = scheduler.spawn(loop, state.start_gate.wait_for_caches())
    scheduler.run_until(0.1)
    assert not feed.holders and not prompt.done()
    state.start_gate.open()
    scheduler.run_until(0.11)
    assert set(feed.holders) == {"i-1", STORE.address} and prompt.done()
    scheduler.close()


def test_a_save_that_was_never_made_is_removed_and_reported(bench: Bench) -> None:
    # A store skips a save that would have to wait for too long. Without the correction each fetch
    # of the part missed (seen in zamudio-reg scale-1).
    bench.run(1.0)
    index, now = bench.state.index, bench.scheduler.now
    index.record_cached(STORE.address, SALT, [PromptPart("came", 600)], ready_at=now + 0.1)
    index.record_cached(STORE.address, SALT, [PromptPart("lost", 500)], ready_at=now + 0.1)
    bench.feed.holders[STORE.address].pending = [CacheEntry(SALT, PromptPart("came", 600))]
    bench.run(3.0)
    assert bench.estimated(STORE.address, "came") == 600
    assert bench.estimated(STORE.address, "lost") == 0
    assert bench.peers.reported == [(STORE.address, "lost", 0)]


def test_a_holder_with_a_new_process_is_reported_as_restarted(
    bench: Bench,
) -> None:
    bench.feed.holders["i-1"].held = {"a": 4_000}
    bench.run(1.0)
    error = RunnerRestartedError("another process", step="cache feed", peer="i-1")
    bench.feed.holders["i-1"].failure = error
    bench.run(1.0)
    assert bench.peers.ended == ["i-1"]
    assert bench.state.pool.get("i-1") is None
    assert bench.estimated("i-1", "a") == 0
    calls = bench.feed.holders["i-1"].calls
    bench.run(3.0)
    assert bench.feed.holders["i-1"].calls == calls
