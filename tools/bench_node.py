"""Measures the CPU time that a fleet node needs at several sizes of the deployment.

The benchmark runs the node's production classes in one process on one core and measures:

- Choosing a runner for a prompt of 9,190 tokens, with all zones in one region, and with two regions
  where the local region, three of five zones, can serve the request in time. Every peer, or every
  zone's relay in deployments with relays, has reported a load for every runner.
- Assigning which node watches which cache, while nothing changes.
- Tenant limits: a request for which the node holds leased tokens, and a token question for four
  tenants to the holder of the zone's buckets, from encoding the question to decoding the answer.
- Notices: one batch from a relay (``notice_cost``), and all batches of one second.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Callable
from dataclasses import astuple, dataclass
from random import Random

from notice_cost import measure_notices

from hillstack.core.cache_watch import CacheHolder, WatchAssignment
from hillstack.core.part_index import PartIndex, PromptPart
from hillstack.core.placement.cached_parts import PlacementInputs
from hillstack.core.placement.expected_delay import (
    Candidate,
    ExpectedDelayPlacement,
)
from hillstack.core.prompt_shape import PromptShape
from hillstack.core.relay_choice import DIRECT_NODES
from hillstack.core.routing_table import EngineProfile, KvCacheStore
from hillstack.core.runner_load import RunnerLoad
from hillstack.core.runner_pool import RunnerEntry, RunnerPool
from hillstack.core.store_revision import StoreRevision
from hillstack.core.tenant_limits import LimitTolerance, LimitUnit, TenantLimit
from hillstack.core.token_buckets import TokenBuckets
from hillstack.core.token_leases import TokenLeases
from hillstack.core.topology import Topology
from hillstack.messages.limit_messages import (
    TenantGrant,
    TenantTokens,
    TokenAnswer,
    TokenQuestion,
)
from hillstack.messages.packing import pack, unpack
from hillstack.messages.peer_notices import PROTOCOL_VERSION

SIZES = ((8, 5), (69, 45), (195, 59), (600, 180), (1_500, 1_080))
LIMIT_SIZES = ((8, 16), (79, 16), (195, 16), (1_500, 16), (1_500, 7_400))
TENANTS_PER_NODE = 4
LIMIT = TenantLimit(1e9, 1e9, LimitUnit.TOKENS)
ZONES = 5
ONE_REGION = Topology("zone-0")
TWO_REGIONS = Topology(
    "zone-0", "a", {f"zone-{number}": "aaabb"[number] for number in range(ZONES)}
)
SALT = "shared|model|1"
SHARED_TOKENS = (4_000, 1_800, 500)
UNIQUE_TOKENS = 2_890
OUTPUT_TOKENS = 10
SUBJECTS = 40
HOLDERS_PER_SUBJECT = 4
ASSIGNMENTS_PER_SECOND = 4
ENGINE = EngineProfile(16, 85_754, 163_840.0, 1_100_000.0, ("model",))
MEASURED_SECONDS = 0.5
MICROSECONDS = 1_000_000.0


@dataclass(frozen=True, slots=True)
class NodeCost:
    """CPU time of a node's work at one size of the deployment, in microseconds.

    Attributes:
        choose: Choosing a runner, with all zones in one region.
        choose_with_regions: Choosing a runner, with zones in two regions.
        assign: Assigning caches to watchers, per second without changes.
    """

    nodes: int
    runners: int
    choose: float
    choose_with_regions: float
    assign: float


def main() -> int:
    """Run the measurements and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", choices=["text", "json"], default="text")
    arguments = parser.parse_args()
    costs = [measure(nodes, runners) for nodes, runners in SIZES]
    if arguments.output == "json":
        print(json.dumps([list(astuple(cost)) for cost in costs]))
        return 0
    print(f"{'nodes':>6}{'runners':>9}{'choose us':>12}{'two regions':>13}{'assign us/s':>13}")
    for cost in costs:
        choices = f"{cost.choose:>12.1f}{cost.choose_with_regions:>13.1f}"
        print(f"{cost.nodes:>6}{cost.runners:>9}{choices}{cost.assign:>13.2f}")
    print(f"\n{'nodes':>6}{'tenants':>9}{'spend us':>12}{'question us':>13}")
    for nodes, tenants in LIMIT_SIZES:
        spend, question = measure_limits(nodes, tenants)
        print(f"{nodes:>6}{tenants:>9}{spend:>12.1f}{question:>13.1f}")
    batch, batches = measure_notices()
    print(f"\n{'batch us':>12}{'batches us/s':>14}")
    print(f"{batch * MICROSECONDS:>12.1f}{batches * MICROSECONDS:>14.1f}")
    return 0


def measure_limits(nodes: int, tenants: int) -> tuple[float, float]:
    """Return the CPU time of spending leased tokens and of a token question, in microseconds."""
    tolerance = LimitTolerance(8.0, 0.1, 110_000.0)
    buckets = TokenBuckets(tolerance, lease_seconds=1.2)
    in_zone = max(1, nodes // ZONES) if nodes > DIRECT_NODES else nodes
    for number in range(in_zone):
        buckets.contribute(f"node-{number}", 1, 0, 5.0, nodes, 0.0)
    for tenant in range(tenants):
        buckets.take_tokens(f"tenant-{tenant}", LIMIT, 1.0, 0, 0.0)
    call_numbers = iter(range(1, 10**9))

    def ask_holder() -> object:
        call_number = next(call_numbers)
        now = call_number / (2 * in_zone)
        names = [f"tenant-{(call_number + place) % tenants}" for place in range(TENANTS_PER_NODE)]
        reports = [TenantTokens(name, 500.0, [], 9_000.0) for name in names]
        node_id = f"node-{call_number % in_zone}"
        question = TokenQuestion(PROTOCOL_VERSION, node_id, 1, call_number, 0.5, False, reports)
        return _answer(buckets, unpack(pack(question), TokenQuestion, "peer"), nodes, now)

    leases = TokenLeases(0.0)
    leases.add("tenant-0", 1e15, 1e9, 0.0)
    spend = _seconds(lambda: leases.spend("tenant-0", 1.0, 1.0))
    return spend * MICROSECONDS, _seconds(ask_holder) * MICROSECONDS


def _answer(buckets: TokenBuckets, question: TokenQuestion, nodes: int, now: float) -> TokenAnswer:
    node_id = question.node_id
    buckets.contribute(node_id, 1, question.number, question.seconds, nodes, now)
    grants = []
    for report in question.tenants:
        buckets.end_lease(report.tenant, LIMIT, node_id, report.returned, now)
        leased = buckets.lease(report.tenant, LIMIT, node_id, report.ahead, now)
        grants.append(TenantGrant(report.tenant, [], leased))
    answer = TokenAnswer(PROTOCOL_VERSION, question.number, grants)
    return unpack(pack(answer), TokenAnswer, "peer")


def measure(nodes: int, runners: int) -> NodeCost:
    """Measure the costs at one size of the deployment."""
    rng = Random(nodes * runners)
    pool = _pool(nodes, runners, rng)
    return NodeCost(
        nodes,
        runners,
        _seconds(_choice(pool, rng, ONE_REGION)) * MICROSECONDS,
        _seconds(_choice(pool, rng, TWO_REGIONS)) * MICROSECONDS,
        _seconds(_assignment(pool, nodes)) * MICROSECONDS * ASSIGNMENTS_PER_SECOND,
    )


def _pool(nodes: int, runners: int, rng: Random) -> RunnerPool:
    pool = RunnerPool()
    reporters = nodes if nodes <= DIRECT_NODES else ZONES
    for number in range(runners):
        zone = f"zone-{number % ZONES}"
        entry = RunnerEntry(
            f"runner-{number}",
            "engines",
            f"10.0.0.1:{number}",
            zone,
            16,
            False,
            {"model": 1},
            StoreRevision(0, 1),
        )
        runner = pool.update(entry)
        assert runner is not None
        for reporter in range(reporters):
            load = RunnerLoad(rng.randint(1, 2), rng.randint(0, 1), 9_000)
            pool.note_peer_load(runner, f"reporter-{reporter}", load, 0.0)
        runner.prefill_done_at = max(0.0, rng.uniform(-0.3, 0.5))
    return pool


def _choice(pool: RunnerPool, rng: Random, topology: Topology) -> Callable[[], object]:
    index = PartIndex()
    store = KvCacheStore("10.9.9.9:1", "zone-0", 1_000_000, 200_000.0)
    index.set_capacity(store.address, store.capacity_tokens)
    runners = pool.all()
    for runner in runners:
        index.set_capacity(runner.runner_id, ENGINE.kv_capacity_tokens)
    shapes = []
    for subject in range(SUBJECTS):
        shared = tuple(
            PromptPart(f"part-{subject}-{place}", tokens)
            for place, tokens in enumerate(SHARED_TOKENS)
        )
        shapes.append(PromptShape((*shared, PromptPart(f"own-{subject}", UNIQUE_TOKENS)), 10))
        for runner in rng.sample(runners, min(HOLDERS_PER_SUBJECT, len(runners))):
            index.record_cached(runner.runner_id, SALT, shared)
        index.record_cached(store.address, SALT, shared)
    policy = ExpectedDelayPlacement(index)
    inputs = PlacementInputs("zone-0", ENGINE, 38_400.0, (store,), 0.1, 0.8, 0.6, {}, topology)
    local_runners = [runner for runner in runners if topology.is_own_region(runner.entry.zone)]
    call_numbers = iter(range(10**9))

    def choose() -> object:
        candidates = [Candidate(runner, SALT, 1) for runner in local_runners]
        shape = shapes[next(call_numbers) % SUBJECTS]
        return policy.choose(shape, candidates, inputs, runners)

    return choose


def _assignment(pool: RunnerPool, nodes: int) -> Callable[[], object]:
    holders = [CacheHolder(r.runner_id, r.address, r.entry.zone) for r in pool.all()]
    zones = {f"node-{number}": f"zone-{number % ZONES}" for number in range(nodes)}
    assignment = WatchAssignment()
    assignment.update(holders, zones)
    return lambda: assignment.update(holders, zones)


def _seconds(work: Callable[[], object]) -> float:
    """Return the mean CPU time of one call, over half a second of calls."""
    work()
    started = time.process_time()
    calls = 0
    while time.process_time() - started < MEASURED_SECONDS:
        work()
        calls += 1
    return (time.process_time() - started) / calls


if __name__ == "__main__":
    sys.exit(main())
