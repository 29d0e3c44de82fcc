"""Starts a deployment on loopback, sends load through it and prints the results."""

from __future__ import annotations

import argparse
import asyncio
import sys
import time

from local_fleet import LocalFleet, get_json

from hillstack.emulator.load_driver import (
    LoadDriver,
    LoadPlan,
    LoadResult,
    check_executions,
)
from hillstack.simulation.workload import WORKLOADS

RATES = {"tampere": 25.0, "lagos": 12.0}
BOOKING_RATE = 5.0
SECONDS = 30.0
KEY_SETTLE_SECONDS = 2.5


def main() -> int:
    """Run the demonstration and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("deployment", choices=sorted(WORKLOADS))
    parser.add_argument("--seconds", type=float, default=SECONDS)
    arguments = parser.parse_args()
    print(f"starting {arguments.deployment} ...", flush=True)
    started = time.monotonic()
    with LocalFleet(arguments.deployment) as fleet:
        count = len(fleet.processes)
        print(f"{count} processes ready after {time.monotonic() - started:.1f} s", flush=True)
        time.sleep(KEY_SETTLE_SECONDS)
        result = drive(fleet, arguments.deployment, arguments.seconds)
        recomputed = check_and_collect(fleet, result)
        codes = [router.process.stop() for router in fleet.routers]
    print_table(result, recomputed)
    if any(codes):
        print(f"a router did not stop cleanly: {codes}")
    return 1 if result.wrong or any(codes) or not result.served else 0


def drive(fleet: LocalFleet, deployment: str, seconds: float) -> LoadResult:
    """Send the load of a deployment and return the result."""
    plan = LoadPlan(
        routers=[router.callers for router in fleet.routers],
        tokens={tenant: fleet.token(tenant) for tenant in fleet.plan["tenants"]},
        workload=WORKLOADS[deployment],
        model=fleet.plan["model"],
        booking_path=fleet.plan["booking_path"],
        lookup_path=fleet.plan["lookup_path"],
        rate=RATES[deployment],
        booking_rate=BOOKING_RATE,
        seconds=seconds,
        seed=1,
    )
    return asyncio.run(LoadDriver(plan).run(_print_progress))


def check_and_collect(fleet: LocalFleet, result: LoadResult) -> float:
    """Verify bookings against executions; return the share of prefills that repeat a block."""
    keys = []
    for name in fleet.application_ids():
        executions = get_json(fleet.addresses[name], "/emulator/executions") or []
        keys += [entry["key"] for entry in executions if entry["method"] == "POST"]
    check_executions(result, keys)
    prefilled = recomputed = 0
    counts_by_engine = [
        get_json(fleet.addresses[name], "/emulator/prefills") for name in fleet.engine_ids()
    ]
    seen: set[int] = set()
    for counts in counts_by_engine:
        for block, count in counts or []:
            prefilled += count
            recomputed += count - (block not in seen)
            seen.add(block)
    return recomputed / prefilled if prefilled else 0.0


def _print_progress(elapsed: float, result: LoadResult) -> None:
    line = (
        f"\r{elapsed:5.1f} s  sent {result.sent}  served {result.served}  "
        f"refused {result.refused}  failed {result.failed}  wrong {result.wrong}   "
    )
    print(line, end="", flush=True)


def print_table(result: LoadResult, recomputed: float) -> None:
    """Print the table of results."""
    rows = [
        ("completions sent", str(result.sent)),
        ("completions served whole and right", str(result.served)),
        ("refused with Retry-After", str(result.refused)),
        ("failed with an explicit error", str(result.failed)),
        ("wrong or missing answers", str(result.wrong)),
        ("bookings sent / served", f"{result.bookings_sent} / {result.bookings_served}"),
        ("look-ups served", str(result.lookups_served)),
        ("prefix hit rate", f"{result.hit_rate():.1%}"),
        ("blocks prefilled again (wasted)", f"{recomputed:.1%}"),
        ("time to first token p50", f"{result.first_token_seconds(50) * 1000:.0f} ms"),
        ("time to first token p95", f"{result.first_token_seconds(95) * 1000:.0f} ms"),
        ("time to first token p99", f"{result.first_token_seconds(99) * 1000:.0f} ms"),
    ]
    print("\n")
    for name, value in rows:
        print(f"  {name:<38}{value:>16}")
    for problem in result.problems:
        print(f"  problem: {problem}")


if __name__ == "__main__":
    sys.exit(main())
