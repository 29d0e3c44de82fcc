"""Measures the overhead of a router compared with direct calls to the same emulated engine.

The benchmark measures the time that the router adds to the first token, from alternating calls
(direct, routed, direct, ...); the router's CPU time per relayed token; the router's memory for each
caller that does not read its answer; and the time from the start of a router to its first answer,
with the platform up and down.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import statistics
import sys
import time
import urllib.request
from pathlib import Path

import aiohttp
from local_fleet import LocalFleet, RouterHandle, get_json, post_json

from hillstack.simulation.statistics import percentile

PAIRS = 300
STREAMS = 96
TOKENS_PER_STREAM = 400
PROMPT = "p" * 3_000
SLOW_CALLERS = 64
SLOW_TOKENS = 20_000
SLOW_SECONDS = 25.0
SLOW_RECEIVE_BYTES = 4_096
EVENT_BYTES = 180
MILLISECONDS = 1_000.0
MICROSECONDS = 1_000_000.0


def main() -> int:
    """Run the benchmark and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", choices=["text", "json"], default="text")
    arguments = parser.parse_args()
    with LocalFleet("tampere", engines=4) as fleet:
        figures = asyncio.run(measure(fleet))
        figures |= asyncio.run(measure_slow_callers(fleet))
        figures |= measure_restarts(fleet)
    if arguments.output == "json":
        print(json.dumps(figures))
        return 0
    for name, value in figures.items():
        print(f"{name:<44}{value:>12.3f}")
    return 0


async def measure(fleet: LocalFleet) -> dict[str, float]:
    """Return the figures of first tokens and of relaying."""
    router = fleet.routers[0]
    token = fleet.token(fleet.plan["tenants"][0])
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        direct, routed = await _first_tokens(session, fleet, router, token)
        tokens, seconds, cpu = await _relay(session, fleet, router, token)
    added = [
        routed_time - direct_time for direct_time, routed_time in zip(direct, routed, strict=True)
    ]
    return {
        "first token direct p50 (ms)": statistics.median(direct) * MILLISECONDS,
        "first token direct p99 (ms)": percentile(direct, 99) * MILLISECONDS,
        "first token routed p50 (ms)": statistics.median(routed) * MILLISECONDS,
        "first token routed p99 (ms)": percentile(routed, 99) * MILLISECONDS,
        "added p50, pair by pair (ms)": statistics.median(added) * MILLISECONDS,
        "added p99, difference of p99 (ms)": (percentile(routed, 99) - percentile(direct, 99))
        * MILLISECONDS,
        "streams at once": float(STREAMS),
        "tokens relayed a second": tokens / seconds,
        "router cores used": cpu / seconds,
        "router time per token (microseconds)": cpu / tokens * MICROSECONDS,
        "tokens a second on one core": tokens / cpu,
    }


async def measure_slow_callers(fleet: LocalFleet) -> dict[str, float]:
    """Return the router's memory per stream whose caller does not read."""
    router = fleet.routers[0]
    process = router.process.process
    assert process is not None
    token = fleet.token(fleet.plan["tenants"][0])
    host, _, port = router.callers.rpartition(":")
    before = _resident_bytes(process.pid)
    writers = []
    for number in range(SLOW_CALLERS):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BYTES)
        connection.connect((host, int(port)))
        connection.setblocking(False)
        _, writer = await asyncio.open_connection(sock=connection, limit=1_024)
        body = json.dumps(_body(fleet, f"slow {number} {PROMPT}", SLOW_TOKENS)).encode()
        head = (
            f"POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\n"
            f"x-request-timeout: 120\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writers.append(writer)
    await asyncio.sleep(SLOW_SECONDS)
    growth = _resident_bytes(process.pid) - before
    # Tokens that the engines have generated, including tokens that the router has not read yet.
    emitted = sum(
        get_json(fleet.addresses[name], "/emulator/emitted") for name in fleet.engine_ids()
    )
    for writer in writers:
        writer.transport.abort()
    return {
        "slow callers": float(SLOW_CALLERS),
        "KB of router memory for each": growth / SLOW_CALLERS / 1_000,
        "KB that engines sent for each by then": emitted * EVENT_BYTES / SLOW_CALLERS / 1_000,
    }


def measure_restarts(fleet: LocalFleet) -> dict[str, float]:
    """Return the time from the start of a router to its first answer in seconds."""
    figures = {}
    for name, outage in (("platform up", False), ("platform down", True)):
        post_json(fleet.platform, "/emulator/faults", {"outage": outage})
        router = fleet.routers[1]
        router.process.kill()
        started = time.perf_counter()
        router.process.start()
        while not _serves(fleet, router):
            time.sleep(0.02)
        figures[f"start to first answer, {name} (s)"] = time.perf_counter() - started
    post_json(fleet.platform, "/emulator/faults", {})
    return figures


def _serves(fleet: LocalFleet, router: RouterHandle) -> bool:
    body = json.dumps(_body(fleet, "restarted", 1)).encode()
    headers = {"authorization": f"Bearer {fleet.token(fleet.plan['tenants'][0])}"}
    request = urllib.request.Request(
        f"http://{router.callers}/v1/completions", data=body, headers=headers
    )
    try:
        with urllib.request.urlopen(request, timeout=5) as response:
            return bool(response.status == 200)
    except OSError:
        return False


async def _first_tokens(
    session: aiohttp.ClientSession, fleet: LocalFleet, router: RouterHandle, token: str
) -> tuple[list[float], list[float]]:
    engine = fleet.addresses["engine-0"]
    direct, routed = [], []
    for number in range(PAIRS + 20):
        body = _body(fleet, f"{PROMPT}{number % 7}", 2)
        first = await _first_token(session, engine, body, token)
        second = await _first_token(session, router.callers, body, token)
        if number >= 20:
            direct.append(first)
            routed.append(second)
    return direct, routed


async def _first_token(
    session: aiohttp.ClientSession, address: str, body: dict[str, object], token: str
) -> float:
    started = time.perf_counter()
    headers = {"authorization": f"Bearer {token}"}
    url = f"http://{address}/v1/completions"
    async with session.post(url, json=body, headers=headers) as response:
        response.raise_for_status()
        await response.content.readany()
        elapsed = time.perf_counter() - started
        await response.read()
    return elapsed


async def _relay(
    session: aiohttp.ClientSession, fleet: LocalFleet, router: RouterHandle, token: str
) -> tuple[int, float, float]:
    process = router.process.process
    assert process is not None
    cpu_before, started = _cpu_seconds(process.pid), time.perf_counter()
    counts = await asyncio.gather(
        *(_stream(session, fleet, router, token, number) for number in range(STREAMS))
    )
    seconds = time.perf_counter() - started
    return sum(counts), seconds, _cpu_seconds(process.pid) - cpu_before


async def _stream(
    session: aiohttp.ClientSession, fleet: LocalFleet, router: RouterHandle, token: str, number: int
) -> int:
    headers = {"authorization": f"Bearer {token}"}
    body = _body(fleet, f"{number} {PROMPT}", TOKENS_PER_STREAM)
    url = f"http://{router.callers}/v1/completions"
    tail = b""
    count = 0
    async with session.post(url, json=body, headers=headers) as response:
        response.raise_for_status()
        async for chunk in response.content.iter_any():
            count += chunk.count(b'"text":')
            tail = (tail + chunk)[-20:]
    if not tail.endswith(b"data: [DONE]\n\n") or count < TOKENS_PER_STREAM:
        raise RuntimeError(f"stream {number} ended after {count} tokens: {tail!r}")
    return count


def _body(fleet: LocalFleet, prompt: str, tokens: int) -> dict[str, object]:
    return {
        "model": fleet.plan["model"],
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": True,
    }


def _resident_bytes(pid: int) -> int:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


if __name__ == "__main__":
    sys.exit(main())
