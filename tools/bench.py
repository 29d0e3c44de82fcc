"""Measures what a router costs beside a direct call to the same emulated engine.

Two figures: the time that it adds to the first token, from calls in turn (direct, routed, direct,
...), and the processor time that it spends on each token that it relays.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
import time
from pathlib import Path

import aiohttp
from local_fleet import LocalFleet, RouterHandle

from hillstack.simulation.workload import percentile

PAIRS = 300
STREAMS = 96
TOKENS_PER_STREAM = 400
PROMPT = "p" * 3_000
MILLISECONDS = 1_000.0
MICROSECONDS = 1_000_000.0


def main() -> int:
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", choices=["text", "json"], default="text")
    arguments = parser.parse_args()
    with LocalFleet("tampere", engines=4) as fleet:
        figures = asyncio.run(measure(fleet))
    if arguments.output == "json":
        print(json.dumps(figures))
        return 0
    for name, value in figures.items():
        print(f"{name:<44}{value:>12.3f}")
    return 0


async def measure(fleet: LocalFleet) -> dict[str, float]:
    """Return all figures."""
    router = fleet.routers[0]
    token = fleet.token(fleet.plan["tenants"][0])
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        direct, routed = await _first_tokens(session, fleet, router, token)
        tokens, seconds, cpu = await _relay(session, fleet, router, token)
    added = [later - earlier for earlier, later in zip(direct, routed, strict=True)]
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
    body = _body(fleet, f"{PROMPT}{number}", TOKENS_PER_STREAM)
    url = f"http://{router.callers}/v1/completions"
    tail = b""
    count = 0
    async with session.post(url, json=body, headers=headers) as response:
        response.raise_for_status()
        async for piece in response.content.iter_any():
            count += piece.count(b'"text":')
            tail = (tail + piece)[-20:]
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


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


if __name__ == "__main__":
    sys.exit(main())
