"""Measures how the cost of each control role grows, and prints the slopes for docs/CAPACITY.md.

Membership runs at 30, 100, 300 and 1,500 nodes in one process with the real codec; then hollow
nodes, which share processes, join real routers over real sockets. The other parts measure one
operation at growing sizes.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import multiprocessing
import os
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from random import Random

import ormsgpack
from local_fleet import LocalFleet, free_ports, get_json

from hillstack.backends.cache_events import apply_events
from hillstack.config.bundle import Bundle
from hillstack.config.signing import SignedBundle, generate_key, public_key_of, sign
from hillstack.core.admission import Admission, AdmissionRequest
from hillstack.core.bundle_index import index_bundle
from hillstack.core.cache_index import CacheIndex
from hillstack.core.claims import ClaimLimits, ClaimTable, OwnershipHistory
from hillstack.core.fleet import Fleet, LoadReport
from hillstack.core.membership import Datagram, Membership, MembershipTiming
from hillstack.core.prefix import FixedHashes, block_hashes
from hillstack.core.request_router import CompletionRequest, RequestRouter
from hillstack.core.rollout import BundleAdopter
from hillstack.daemon.peer_transport import GossipProtocol
from hillstack.messages.codec import Codec
from hillstack.messages.types import (
    Ack,
    BackendKind,
    ClaimRequest,
    Machine,
    Member,
    MemberState,
    Message,
    Ping,
    PingRequest,
)

KEY = b"k" * 32
ZONES = 15
SIZES = (30, 100, 300, 1_500)
TICK_SECONDS = 0.125
SETTLE_SECONDS = 8.0
MEASURE_SECONDS = 8.0
HOLLOW_PROCESSES = 6
HOLLOW_SIZES = (30, 100, 300)
HOLLOW_SETTLE_SECONDS = 12.0
HOLLOW_MEASURE_SECONDS = 8.0
MICROSECONDS = 1e6
ADMISSIONS_A_SECOND = 33


class MembershipScale:
    """Many memberships in one process, in virtual time, with the real codec."""

    def __init__(self, size: int) -> None:
        self.rng = Random(size)
        self.codec = Codec(KEY)
        self.now = 0.0
        self.bytes = 0
        self.messages = 0
        self.nodes: dict[str, Membership] = {}
        members = [_member(number) for number in range(size)]
        for number, member in enumerate(members):
            node = Membership(member, [], MembershipTiming(), Random(number))
            node.merge(members, 0.0, announce=False)
            self.nodes[member.address] = node

    def run(self, seconds: float) -> None:
        """Advance all nodes."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_SECONDS
            for address, node in list(self.nodes.items()):
                self._deliver(address, node.on_tick(self.now))

    def _deliver(self, sender: str, datagrams: list[Datagram]) -> None:
        for datagram in datagrams:
            frame = self.codec.encode(datagram.message)
            self.bytes += len(frame)
            self.messages += 1
            target = self.nodes.get(datagram.address)
            if target is not None:
                message = self.codec.decode(frame, sender)
                assert isinstance(message, Ping | Ack | PingRequest)
                self._deliver(datagram.address, target.on_message(message, sender, self.now))


def measure_membership(size: int) -> dict[str, float]:
    """Return the cost of a quiet node and how fast changes spread."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    single = Membership(_member(0), [], MembershipTiming(), Random(0))
    single.merge([_member(number) for number in range(size)], 0.0)
    single.on_tick(0.0)
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    scale = MembershipScale(size)
    scale.run(SETTLE_SECONDS)
    scale.bytes = scale.messages = 0
    started = time.process_time()
    scale.run(MEASURE_SECONDS)
    cpu = time.process_time() - started
    figures = {
        "nodes": size,
        "messages/s a node": scale.messages / MEASURE_SECONDS / size,
        "KB/s a node": scale.bytes / MEASURE_SECONDS / size / 1_000,
        "CPU ms/s a node": cpu / MEASURE_SECONDS / size * 1_000,
        "memory KB a node": memory / 1_000,
    }
    figures["version on all nodes after s"] = _spread_version(scale)
    figures["death known to all after s"] = _spread_death(scale)
    return figures


def _spread_version(scale: MembershipScale) -> float:
    """Return the time until all nodes would have heard of a new bundle version."""
    first = next(iter(scale.nodes.values()))
    started = scale.now
    first.set_bundle_version(7)
    waiting = [node for node in scale.nodes.values() if node is not first]
    while waiting and scale.now < started + 60:
        scale.run(TICK_SECONDS)
        still = []
        for node in waiting:
            if any(member.bundle_version >= 7 for member in node.members()):
                node.set_bundle_version(7)
            else:
                still.append(node)
        waiting = still
    return scale.now - started if not waiting else float("nan")


def _spread_death(scale: MembershipScale) -> float:
    address, dead = list(scale.nodes.items())[1]
    started = scale.now
    del scale.nodes[address]
    dead_id = dead.own.node_id
    while scale.now < started + 120:
        scale.run(1.0)
        unaware = [
            node
            for node in scale.nodes.values()
            if any(m.node_id == dead_id and m.state < MemberState.DEAD for m in node.members())
        ]
        if not unaware:
            return scale.now - started
    return float("nan")


def measure_events() -> dict[str, float]:
    """Return the cost of cache events in batches, and the memory of a believed block."""
    rng = Random(1)
    batches = 2_000
    payloads = []
    for number in range(batches):
        base = number * 8
        stored = [hash_of(base + offset) for offset in range(8)]
        events: list[list[object]] = [["BlockStored", stored, None, [], 1_000, None]]
        if number > 1_000:
            removed = [hash_of(rng.randrange((number - 900) * 8)) for _ in range(8)]
            events.append(["BlockRemoved", removed])
        payloads.append(ormsgpack.packb([0.0, events, None]))
    index = CacheIndex()
    index.observe_incarnation("engine", "life")
    started = time.process_time()
    for sequence, payload in enumerate(payloads):
        index.observe_sequence("engine", "life", sequence)
        apply_events(index, "engine", "life", ormsgpack.unpackb(payload)[1])
    cpu = time.process_time() - started
    blocks = batches * 8 + (batches - 1_001) * 8
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    other = CacheIndex()
    other.observe_incarnation("engine", "life")
    for start in range(0, 180_000, 8):
        other.stored("engine", "life", [hash_of(start + offset) for offset in range(8)])
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        "microseconds a block event": cpu / blocks * MICROSECONDS,
        "microseconds a batch of 8": cpu / batches * MICROSECONDS,
        "bytes a believed block": memory / 180_000,
    }


def hash_of(number: int) -> int:
    """Return a hash that looks like a block's."""
    return (number * 0x9E3779B97F4A7C15) & ((1 << 64) - 1)


def measure_decision(engines: int) -> dict[str, float]:
    """Return the time of hashing, admission and placement of one request."""
    fleet, index = Fleet(), CacheIndex()
    machines = [
        Machine(
            f"engine-{n}", BackendKind.ENGINE, "engines", "zone-0", f"10.0.{n // 250}.{n % 250}:1"
        )
        for n in range(engines)
    ]
    fleet.update_machines(machines)
    prompt = b"x" * 12_000
    hashes = tuple(block_hashes(prompt, 1_000, 1, "salt"))
    for machine in machines:
        index.observe_incarnation(machine.machine_id, "life")
        fleet.observe_status(machine.machine_id, "life", 1, False)
        fleet.observe_load(machine.machine_id, LoadReport(4, 0, 0.9, 500.0), 0.0)
        index.stored(machine.machine_id, "life", hashes[:6])
    bundle = make_bundle(8)
    router = RequestRouter(bundle, fleet, index, "zone-0", Random(1))
    request = CompletionRequest("tenant-0", bundle.models[0], FixedHashes(hashes), 12_000, 100, 1e9)
    rounds = max(50, 4_000 // engines)
    hashing = _time(lambda: block_hashes(prompt, 1_000, 1, "salt"), 2_000)
    admitting = _time(lambda: router.admit(request, 1.0), rounds)
    placing = _time(lambda: router.place(request, 1.0), rounds)

    def decide() -> None:
        router.admit(request, 1.0)
        router.place(request, 1.0)

    deciding = _time(decide, rounds)
    return {
        "engines": engines,
        "hash 12,000 tokens us": hashing,
        "admit us": admitting,
        "place alone us": placing,
        "admit and place us": deciding,
    }


def measure_admission(tenants: int) -> dict[str, float]:
    """Return the time of an admission while many tenants are active."""
    names = [f"tenant-{number}" for number in range(tenants)]
    admission = Admission(dict.fromkeys(names, 1.0), 2.0, 10.0)
    requests = [AdmissionRequest(name, 5_000.0, 0.0, 0.0, 60.0) for name in names]
    for request in requests:
        admission.try_admit(request, 0.0)
    moments = iter(range(10**9))

    def admit() -> None:
        number = next(moments)
        admission.try_admit(requests[number % tenants], number / ADMISSIONS_A_SECOND)

    return {"active tenants": tenants, "admission us": _time(admit, 2_000)}


def measure_bundle(tenants: int) -> dict[str, float]:
    """Return the size of a bundle and what it costs to put it in force."""
    bundle = make_bundle(tenants)
    private, _ = generate_key()
    payload = bundle.canonical().decode()
    unsigned = SignedBundle(payload=payload)
    signature = sign(unsigned.signed_bytes(), "partner", private)
    signed = unsigned.model_copy(update={"signatures": (signature,)})
    keyset = {"version": 1, "threshold": 1, "keys": {"partner": public_key_of(private)}}
    from hillstack.config.bundle import Keyset

    adopter = BundleAdopter(Keyset.model_validate(keyset), "zone-0")
    started = time.process_time()
    adopter.consider(signed, 0.0)
    index_bundle(bundle)
    cpu = time.process_time() - started
    return {
        "tenants": tenants,
        "bundle KB": len(signed.model_dump_json()) / 1_000,
        "adopt ms": cpu * 1_000,
    }


def measure_claims() -> dict[str, float]:
    """Return the cost of a claim and its memory."""
    ownership = OwnershipHistory("node-0")
    ownership.record(["node-0"], 0.0)
    table = ClaimTable(ownership)
    limits = ClaimLimits(900.0, 2.0)
    count = 20_000
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(count):
        table.claim(
            ClaimRequest(f"tenant/route/{number:036d}", f"a{number}", "d", 50.0), 60.0, limits
        )
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    numbers = iter(range(10**9))
    cost = _time(
        lambda: table.claim(ClaimRequest(f"x/{next(numbers)}", "a", "d", 50.0), 60.0, limits),
        20_000,
    )
    return {"claim us": cost, "bytes a claim": memory / count}


def make_bundle(tenants: int) -> Bundle:
    """Return a bundle with many tenants."""
    return Bundle.model_validate(
        {
            "version": 1,
            "deployment": "scale",
            "zones": [f"zone-{number}" for number in range(ZONES)],
            "partners": [{"name": "partner", "share": 1.0}],
            "tenants": [
                {"name": f"tenant-{n}", "partner": "partner", "key_hash": f"{n:064x}"}
                for n in range(tenants)
            ],
            "models": [{"name": "model", "pool": "engines", "weights_version": 1}],
            "pools": [{"name": "engines", "kind": "engine"}],
            "priorities": [{"name": "normal", "level": 10}],
        }
    )


def measure_real_router(hollow: int) -> dict[str, float]:
    """Return what a real router spends on control beside hollow nodes, on real sockets."""
    with LocalFleet("tampere", engines=3) as fleet:
        seeds = [router.peers for router in fleet.routers]
        key = _peer_key(fleet)
        context = multiprocessing.get_context("spawn")
        processes = []
        if hollow:
            ports = free_ports(hollow)
            for number in range(HOLLOW_PROCESSES):
                arguments = (number, ports[number::HOLLOW_PROCESSES], seeds, key)
                process = context.Process(target=run_hollow, args=arguments, daemon=True)
                process.start()
                processes.append(process)
        time.sleep(HOLLOW_SETTLE_SECONDS)
        router = fleet.routers[0]
        assert router.process.process is not None
        pid = router.process.process.pid
        cpu, sent = _cpu_seconds(pid), _gossip_bytes(router.callers)
        time.sleep(HOLLOW_MEASURE_SECONDS)
        cpu, sent = _cpu_seconds(pid) - cpu, _gossip_bytes(router.callers) - sent
        status = get_json(router.callers, "/status")
        alive = sum(1 for member in status["members"] if member["state"] == "alive")
        for process in processes:
            process.terminate()
            process.join()
        return {
            "hollow nodes": hollow,
            "alive members seen": alive,
            "CPU ms/s": cpu / HOLLOW_MEASURE_SECONDS * 1_000,
            "gossip KB/s sent": sent / HOLLOW_MEASURE_SECONDS / 1_000,
            "resident MB": _resident_mb(pid),
        }


def run_hollow(process_number: int, ports: list[int], seeds: list[str], key: str) -> None:
    """Run hollow nodes, each with a membership and a UDP socket of its own."""
    asyncio.run(_run_hollow(process_number, ports, seeds, bytes.fromhex(key)))


async def _run_hollow(process_number: int, ports: list[int], seeds: list[str], key: bytes) -> None:
    codec = Codec(key)
    loop = asyncio.get_running_loop()
    nodes = []
    for number, port in enumerate(ports):
        address = f"127.0.0.1:{port}"
        name = f"hollow-{process_number}-{number}"
        zone = f"zone-{number % ZONES}"
        own = Member(name, "region", zone, address, int(time.time() * 1_000), MemberState.ALIVE)
        membership = Membership(own, seeds, MembershipTiming(), Random(name))
        nodes.append((membership, await _open(loop, codec, membership, address)))
    while True:
        for membership, protocol in nodes:
            _send(protocol, membership.on_tick(time.monotonic()))
        await asyncio.sleep(TICK_SECONDS)


async def _open(
    loop: asyncio.AbstractEventLoop, codec: Codec, membership: Membership, address: str
) -> GossipProtocol:
    def on_gossip(message: Message, sender: str) -> None:
        if isinstance(message, Ping | Ack | PingRequest):
            _send(protocol, membership.on_message(message, sender, time.monotonic()))

    protocol = GossipProtocol(codec, on_gossip)
    host, _, port = address.rpartition(":")
    await loop.create_datagram_endpoint(lambda: protocol, local_addr=(host, int(port)))
    return protocol


def _send(protocol: GossipProtocol, datagrams: list[Datagram]) -> None:
    for datagram in datagrams:
        protocol.send(datagram.address, datagram.message)


def _peer_key(fleet: LocalFleet) -> str:
    for line in fleet.routers[0].settings.read_text().splitlines():
        if line.startswith("key = "):
            return line.split('"')[1]
    raise RuntimeError("no peer key")


def _gossip_bytes(address: str) -> float:
    import urllib.request

    with urllib.request.urlopen(f"http://{address}/metrics", timeout=10) as response:
        for line in response.read().decode().splitlines():
            if line.startswith("hillstack_gossip_sent_bytes "):
                return float(line.split()[1])
    raise RuntimeError("no gossip metric")


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def _member(number: int) -> Member:
    address = f"10.{number // 250}.{number % 250}.1:7100"
    return Member(
        f"node-{number}", "region", f"zone-{number % ZONES}", address, 1, MemberState.ALIVE
    )


def _time(work: Callable[[], object], rounds: int) -> float:
    started = time.process_time()
    for _ in range(rounds):
        work()
    return (time.process_time() - started) / rounds * MICROSECONDS


def print_table(title: str, rows: list[dict[str, float]]) -> None:
    """Print figures as a Markdown table."""
    print(f"\n### {title}\n")
    print("| " + " | ".join(rows[0]) + " |")
    print("|" + "---|" * len(rows[0]))
    for row in rows:
        print("| " + " | ".join(f"{value:,.3g}" for value in row.values()) + " |", flush=True)


def main() -> int:
    """Measure all parts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", default="", help="measure only parts with this in their title")
    parser.add_argument("--json", type=Path, help="also write the figures to this file")
    arguments = parser.parse_args()
    parts: dict[str, Callable[[], list[dict[str, float]]]] = {
        "membership (simulated, real codec)": lambda: [measure_membership(n) for n in SIZES],
        "cache events": lambda: [measure_events()],
        "decision": lambda: [measure_decision(engines) for engines in (4, 16, 64, 256)],
        "admission": lambda: [measure_admission(tenants) for tenants in (8, 740, 7_400)],
        "bundle": lambda: [measure_bundle(tenants) for tenants in (8, 100, 1_000, 7_400)],
        "claims": lambda: [measure_claims()],
        "a real router beside hollow nodes (real sockets)": lambda: [
            measure_real_router(count) for count in (0, *HOLLOW_SIZES)
        ],
    }
    figures = {}
    for title, measure in parts.items():
        if arguments.part in title:
            figures[title] = measure()
            print_table(title, figures[title])
    if arguments.json:
        arguments.json.write_text(json.dumps(figures, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
