"""Measures the CPU time of a node for the batches that it receives from its zone's relay.

The batches have the content that a profile of 79 nodes in front of 45 runners showed: 13 notices,
9 of which only show that their senders are alive; four placements of prompts, four prompts read
and four cache changes; and 12 loads of runners.
"""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable
from random import Random

from hillstack.core.freshness import Freshness
from hillstack.core.relay_choice import RelayChoice
from hillstack.core.routing_table import (
    EngineProfile,
    KvCacheStore,
    RequestLimits,
    RoutingTable,
    Service,
)
from hillstack.core.runner_pool import RunnerEntry
from hillstack.core.shared_retry_budget import SharedRetryBudget
from hillstack.core.store_revision import StoreRevision
from hillstack.core.weights_versions import WeightsVersions
from hillstack.daemon.peer_exchange import PeerExchange
from hillstack.daemon.peer_link import PeerLink
from hillstack.messages import peer_notices
from hillstack.messages.datagrams import DatagramKind, wrap
from hillstack.messages.packing import pack
from hillstack.messages.peer_notices import (
    PROTOCOL_VERSION,
    CacheNotice,
    LoadNotice,
    NodeNotice,
    PlacementNotice,
)
from hillstack.messages.relay_batches import RelayBatch, ZoneLoads
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.placement import RunnerPlacement
from hillstack.serving.store_events import ConfigurationChanged, NodeListed, RunnerListed

NODES = 79
RUNNERS = 45
ZONES = ("zone-0", "zone-1", "zone-2")
STORE = KvCacheStore("10.9.9.9:1", "zone-1", 2_531_133, 410_000.0)
ENGINE = EngineProfile(16, 86_721, 163_840.0, 1_100_000.0, ("model",))
SALT = "shared|model|3"
PROMPTS = 4
LIVENESS_NOTICES = 9
LOADS = 12
SUBJECTS = 400
BATCHES = 200
BATCHES_PER_SECOND = 45
ROUNDS = 30
CALLS_PER_ROUND = 120


def measure_notices() -> tuple[float, float]:
    """Return the receiver's CPU time for one batch, and for the batches of one second."""
    rng = Random(7)
    state = _state()
    link = PeerLink()
    choice = RelayChoice(state.node_id, state.nodes)
    peers = PeerExchange(state, link, choice, ZONES[0], time.monotonic, rng)
    placement = RunnerPlacement(state, peers, ZONES[0], rng)
    peers.handle_placements(placement.observe_placement, placement.observe_prefilled)
    numbers = itertools.count(1)
    datagrams = itertools.cycle([_batch(rng, numbers) for _ in range(BATCHES)])
    batch = _fastest_round(lambda: link.datagram_received(next(datagrams), ("10.0.0.1", 1)))
    return batch, batch * BATCHES_PER_SECOND


def _fastest_round(work: Callable[[], object]) -> float:
    """Return the CPU time of a call in the fastest of several rounds.

    On a machine that runs other programs, a core is only half as fast in some of the rounds.
    """
    rounds = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(CALLS_PER_ROUND):
            work()
        rounds.append((time.process_time() - started) / CALLS_PER_ROUND)
    return min(rounds)


def _state() -> FleetState:
    versions = WeightsVersions(7.6)
    state = FleetState("node-0", Freshness(4.5), versions, SharedRetryBudget(0.2, 198.0, 10.0))
    services = [Service("engines", engine=ENGINE), Service("kept", kv_cache_store=STORE)]
    table = RoutingTable.build(1, [], services, {}, RequestLimits())
    state.apply(ConfigurationChanged(table), 0.0)
    for number in range(NODES):
        zone = ZONES[number % len(ZONES)]
        state.apply(
            NodeListed(f"node-{number}", f"10.0.0.{number}:1", zone, StoreRevision(0, 1), 10.0), 0.0
        )
    for number in range(RUNNERS):
        zone, address = ZONES[number % len(ZONES)], f"10.0.1.{number}:1"
        runner_id = _runner(number)
        entry = RunnerEntry(
            runner_id, "engines", address, zone, 16, False, {"model": 3}, StoreRevision(0, 1)
        )
        state.apply(RunnerListed(entry), 0.0)
    return state


def _runner(number: int) -> str:
    return f"i-{number:010x}"


def _batch(rng: Random, numbers: itertools.count[int]) -> bytes:
    notices = [_node_notice(rng) for _ in range(LIVENESS_NOTICES)]
    for _ in range(PROMPTS):
        subject, number = rng.randrange(SUBJECTS), next(numbers)
        parts = [(f"common-{subject % 4}", 2_520), (f"part-{subject}", 3_780)]
        runner_id = _runner(rng.randrange(RUNNERS))
        placement = PlacementNotice(runner_id, SALT, parts, 2_890, 110, number, STORE.address)
        cached = CacheNotice(runner_id, SALT, [(f"part-{rng.randrange(SUBJECTS)}", 3_780)])
        notices.append(_node_notice(rng, [placement], [cached], [number]))
    loads = [
        LoadNotice(_runner(runner), rng.randint(1, 9), 1, 20_000)
        for runner in rng.sample(range(RUNNERS), LOADS)
    ]
    encoded = [peer_notices.encode(notice) for notice in notices]
    batch = RelayBatch(PROTOCOL_VERSION, "node-1", ZONES[0], [ZoneLoads(ZONES[1], loads)], encoded)
    return wrap(DatagramKind.FINAL_BATCH, pack(batch))


def _node_notice(
    rng: Random,
    placements: list[PlacementNotice] | None = None,
    cache: list[CacheNotice] | None = None,
    reads: list[int] | None = None,
) -> NodeNotice:
    node_id = f"node-{3 * rng.randrange(1, NODES // 3)}"
    return NodeNotice(
        PROTOCOL_VERSION, node_id, 5, placements or [], cache=cache or [], reads=reads or []
    )
